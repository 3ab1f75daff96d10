/*
 * sl_gossip: messages between routers. Digests and peer lists are msgpack
 * datagrams; pages of records are sent over a connection.
 *
 * A digest holds the sender's current state, never a change to it: the next
 * digest replaces a lost one, and the sequence number identifies a late one.
 * Nothing that must be exact is sent this way. Digests serve to choose
 * upstreams by the load of all routers, to split the fleet's allowances among
 * the routers, and to announce new records of the store.
 *
 * Sections:
 *   1. Digest   contents of a digest
 *   2. Codec    encoding and decoding of digests
 *   3. Members  list of routers, sent to a router that has just started
 *   4. Pages    records of the store that one router transfers to another,
 *               for when the store refuses some of the routers
 */
#ifndef Sl_GOSSIP_H
#define Sl_GOSSIP_H

#include "sl_common.h"

/* Datagrams of another version are rejected. */
#define Sl_GOSSIP_VERSION 9
/* Largest datagram. It fits into the payload of one Ethernet frame, so that it
 * is not fragmented. */
#define Sl_GOSSIP_MAX_BYTES 1400

/* ---- 1. Digest -------------------------------------------------------- */

/* Largest numbers of items in one digest. */
#define Sl_GOSSIP_MAX_LOADS 48
#define Sl_GOSSIP_MAX_FAULTS 24
#define Sl_GOSSIP_MAX_ROLLOUTS 4
#define Sl_GOSSIP_MAX_TALLIES 8   /* of each roll-out */
#define Sl_GOSSIP_MAX_SESSIONS 32 /* of each roll-out */
#define Sl_GOSSIP_MAX_ENDS 4
#define Sl_GOSSIP_MAX_SUSPECTS 8 /* of each end */
#define Sl_GOSSIP_MAX_BLOCKS 4
#define Sl_GOSSIP_MAX_BLOCK_KEYS 4 /* of each block */
#define Sl_GOSSIP_MAX_CLEARED 6
#define Sl_GOSSIP_MAX_SHARES 12
#define Sl_GOSSIP_MAX_PACES 12
#define Sl_GOSSIP_MAX_KEPT_PARTS 12
#define Sl_GOSSIP_MAX_LIMITS 4
#define Sl_GOSSIP_MAX_DEMANDS 2

/* Least pace of a response that is reported. */
#define Sl_GOSSIP_MIN_PACE (-1)
/* Steps of shares. */
#define Sl_GOSSIP_SHARE_STEPS 127

/* Feeds whose offsets a digest holds. A feed is a topic of the store that the
 * routers follow, such as the registrations of upstreams. */
#define Sl_GOSSIP_FEED_COUNT 3

/* Load that the sender itself puts on one upstream. */
struct sl_gossip_load {
    uint32_t upstream;   /* hash of its id */
    uint32_t in_flight;  /* the sender's requests there */
    uint32_t backlog_ms; /* time to prefill the sender's waiting prompts */
    /* Tokens that the sender's requests there may hold in its memory, prompts
     * and answers together; 0 where memory is not counted. */
    uint32_t held_tokens;
};

/* What a team has of a service through the sender. */
struct sl_gossip_share {
    uint32_t service; /* hash of its name */
    uint32_t team;    /* hash of its name; 0: the teams that are not listed,
                         and requests without a team */
    uint16_t held;    /* requests at upstreams */
    uint16_t waiting; /* requests in the sender's queue */
};

/* How long work takes at an upstream, as the sender has learned. */
struct sl_gossip_pace {
    uint32_t upstream; /* hash of its id */
    uint16_t percent;  /* of the usual time; 100: as usual */
    uint32_t age_ms;   /* since the sender learned it */
};

/* A prompt part that an upstream is likely to have in its prefix cache, as a
 * prompt with it was sent there. */
struct sl_gossip_kept_part {
    uint32_t upstream; /* hash of its id */
    uint32_t part;     /* hash of the part and the model */
    uint32_t age_ms;   /* since the sender last sent a prompt with it there */
};

/* What an upstream has stated about the rate of requests that it takes. */
struct sl_gossip_limit {
    uint32_t upstream;   /* hash of its id */
    uint32_t per_1000_s; /* requests in 1,000 s, of all routers together; 0:
                            not limited */
    uint32_t age_ms;     /* since it stated that */
};

/* What clients want of a service with limited upstreams through the sender. */
struct sl_gossip_demand {
    uint32_t service;  /* hash of its name */
    uint32_t requests; /* in the last window of the retry budget */
};

/* What is wrong with an upstream. */
enum sl_gossip_fault_kind {
    Sl_FAULT_FAILING,
    Sl_FAULT_REPLACED, /* another upstream answers at its address: the
                          upstream will not come back */
    Sl_FAULT_LEAVING,  /* the upstream has announced in a response that it
                          leaves */
    Sl_FAULT_KIND_COUNT,
};

/* An upstream that the sender has found unfit for new requests. */
struct sl_gossip_fault {
    uint32_t upstream; /* hash of its id */
    enum sl_gossip_fault_kind kind;
    uint32_t age_ms; /* Sl_FAULT_LEAVING: time since the announcement, rounded
                        down to 10 ms when sent; else not used */
};

/* Recent responses of one version or of several. Their numbers are in tenths
 * of a response: old ones count in part. */
struct sl_gossip_responses {
    uint16_t count;
    uint16_t failed;
    uint16_t timed; /* those whose usual time is known */
    uint16_t slow;  /* those of them that took several times as long */
    uint16_t paces; /* the newest timed ones, which do not count in part */
    /* Mean of the pace and of its square; both in thousandths, the pace from
     * Sl_GOSSIP_MIN_PACE on. */
    uint16_t mean_pace;
    uint16_t mean_square;
};

/* Responses on one route. */
struct sl_gossip_tally {
    uint32_t route;                      /* hash of its name */
    struct sl_gossip_responses target;   /* the version that the roll-out
                                            introduces */
    struct sl_gossip_responses baseline; /* the versions that it replaces */
};

/* The sender's calls to the service of a roll-out since it read the order. */
struct sl_gossip_calls {
    uint32_t total;
    uint32_t target; /* calls to the roll-out's target version, in `total` */
};

/* The sender's view of one roll-out. */
struct sl_gossip_rollout {
    uint64_t order_offset; /* offset of the operator's order in the store */
    uint32_t elapsed_ms;   /* since any router first read the order */
    /* The sender's requests in flight at baseline versions. */
    uint32_t baseline_in_flight;
    struct sl_gossip_calls calls; /* the sender's */
    uint32_t counted_ms;          /* time over which `calls` were counted */
    bool is_suspect;              /* the sender has found the target bad */
    size_t tally_count;
    struct sl_gossip_tally tallies[Sl_GOSSIP_MAX_TALLIES];
    /* Hashes of sessions that used a baseline version since the sender's last
     * digest. */
    size_t session_count;
    uint32_t sessions[Sl_GOSSIP_MAX_SESSIONS];
};

/* A key of a prompt that an engine may have ended by. */
struct sl_gossip_suspect {
    uint32_t key;
    bool has_started;    /* a call with the key had the head of its response */
    uint8_t begun_share; /* share of the calls that have begun lately, in
                            steps of 1/Sl_GOSSIP_SHARE_STEPS, that held the
                            key */
};

/* The end of an engine's process. */
struct sl_gossip_end {
    uint32_t engine;  /* hash of its id */
    uint32_t service; /* key of its service */
    uint32_t age_ms;
    size_t suspect_count;
    struct sl_gossip_suspect suspects[Sl_GOSSIP_MAX_SUSPECTS];
};

/* Keys; prompts that hold all of them are refused. */
struct sl_gossip_block {
    uint32_t end_age_ms;    /* since the last end of an engine by them */
    uint32_t expires_in_ms; /* until the block ends if nobody tests it */
    uint32_t failed_trials; /* number of tests by which an engine has ended */
    size_t key_count;       /* 1 or more */
    uint32_t keys[Sl_GOSSIP_MAX_BLOCK_KEYS];
};

/* A key that a call has begun with after it had become a suspect. */
struct sl_gossip_cleared {
    uint32_t key;
    uint32_t age_ms; /* since the call has begun */
};

/* The sender's evidence against prompts that end engines. */
struct sl_gossip_quarantine {
    size_t end_count;
    struct sl_gossip_end ends[Sl_GOSSIP_MAX_ENDS];
    size_t block_count;
    struct sl_gossip_block blocks[Sl_GOSSIP_MAX_BLOCKS];
    size_t cleared_count;
    struct sl_gossip_cleared cleared[Sl_GOSSIP_MAX_CLEARED];
};

struct sl_gossip_digest {
    struct sl_name vm;      /* VM that the sender runs on; names the router */
    struct sl_name domain;  /* the sender's failure domain */
    struct sl_name address; /* "IP:PORT" for datagrams and pulls */
    uint64_t boot;          /* random number of the sender's process, not 0 */
    uint64_t sequence;      /* grows by one with each digest of this boot */
    bool is_leaving;        /* the sender drains and will exit */
    bool is_carrying;       /* the store has come back from a copy, which may
                               lack records that the sender has */
    /* Number of other routers of its failure domain that the sender believes
     * to be live. */
    uint32_t live_domain_peers;
    /* Whether the receiver forwards the digest within its failure domain.
     * 0: no. 1: at once. 2: after a delay, unless the receiver with 1 has
     * forwarded it by then. */
    uint8_t relay;
    uint32_t age_ms; /* of a forwarded digest: time since it was first sent */
    /* By feed, the offset of the first record that the sender lacks. */
    uint64_t offsets[Sl_GOSSIP_FEED_COUNT];
    /* How old the sender's copy of the store may be: time since the store last
     * answered the sender, or another router whose records the sender has all.
     * UINT32_MAX: unknown. */
    uint32_t staleness_ms;
    size_t load_count;
    struct sl_gossip_load loads[Sl_GOSSIP_MAX_LOADS];
    size_t fault_count;
    struct sl_gossip_fault faults[Sl_GOSSIP_MAX_FAULTS];
    size_t rollout_count;
    struct sl_gossip_rollout rollouts[Sl_GOSSIP_MAX_ROLLOUTS];
    struct sl_gossip_quarantine quarantine;
    size_t share_count;
    struct sl_gossip_share shares[Sl_GOSSIP_MAX_SHARES];
    size_t pace_count;
    struct sl_gossip_pace paces[Sl_GOSSIP_MAX_PACES];
    size_t kept_part_count;
    struct sl_gossip_kept_part kept_parts[Sl_GOSSIP_MAX_KEPT_PARTS];
    size_t limit_count;
    struct sl_gossip_limit limits[Sl_GOSSIP_MAX_LIMITS];
    size_t demand_count;
    struct sl_gossip_demand demands[Sl_GOSSIP_MAX_DEMANDS];
};

/* ---- 2. Codec --------------------------------------------------------- */

/* Appends the encoded digest to `out`. Tallies, items of the quarantine,
 * demands, limits, shares, loads, paces, kept parts and then sessions that do
 * not fit into Sl_GOSSIP_MAX_BYTES are left out. */
void SlGossip_Encode(const struct sl_gossip_digest *digest,
                     struct sl_buf *out);
/* Decodes one datagram. Returns Sl_OK; or Sl_ERR_INVALID, with the reason in
 * `err`, if it is not a digest of Sl_GOSSIP_VERSION: `digest` may then be
 * partly filled. */
enum sl_errno SlGossip_Decode(struct sl_str bytes,
                              struct sl_gossip_digest *digest,
                              struct sl_error *err);
/* Adds `age_us` to all ages and elapsed times in the digest; those that would
 * overflow stay at UINT32_MAX. */
void SlGossip_AddAge(struct sl_gossip_digest *digest, int64_t age_us);

/* ---- 3. Members ------------------------------------------------------ */

/* Largest number of members in a peer list, which is one datagram; long names
 * leave room for fewer. */
#define Sl_PEER_LIST_MAX 40

/* A router of the fleet, as listed by peers and by the store. */
struct sl_member {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name address; /* "IP:PORT" for datagrams */
};

/* Appends a peer list with as many of the first `count` members as fit to
 * `out`; returns their number. */
size_t SlPeerList_Encode(const struct sl_member *members, size_t count,
                         struct sl_buf *out);
/* Decodes a peer list into `members`, which has room for Sl_PEER_LIST_MAX, and
 * sets `count`. Returns false if the bytes are not a peer list; a digest never
 * decodes as one. */
bool SlPeerList_Decode(struct sl_str bytes, struct sl_member *members,
                       size_t *count);

/* ---- 4. Pages --------------------------------------------------------- */

/* The newest record of a key, as stored. */
struct sl_page_record {
    uint64_t offset;
    struct sl_str key;
    struct sl_str value; /* empty: the key was dropped */
};

/* Records of one feed, from an offset that the receiver has asked for. */
struct sl_page {
    uint64_t next_offset;   /* offset of the first record that the sender
                               lacks */
    uint64_t complete_from; /* the sender knows all drops of keys from this
                               offset on */
    bool is_snapshot;       /* keys that the page does not hold were dropped */
    size_t count;
    const struct sl_page_record *records;
};

/* Largest uncompressed page that is decoded: all records of a large deployment
 * fit into it. */
#define Sl_PAGE_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* Appends the encoded page to `out`, compressed if that makes it shorter. */
void SlPage_Encode(const struct sl_page *page, struct sl_buf *out);

/* Owner of the memory of a decoded page. */
struct sl_page_reader;

/* Decodes a page into `page`, whose records, keys and values are valid until
 * the caller frees the returned reader with SlPage_Free(). Returns NULL, with
 * the reason in `err`, if the bytes are not a page. */
struct sl_page_reader *SlPage_Decode(struct sl_str bytes, struct sl_page *page,
                                     struct sl_error *err);
void SlPage_Free(struct sl_page_reader *reader);

#endif
