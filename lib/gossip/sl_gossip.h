/*
 * sl_gossip: messages between routers. Digests and peer lists are msgpack
 * datagrams; pages of records are sent over a connection.
 *
 * A digest holds the sender's current state, never a change to it: the next
 * digest replaces a lost one, and the sequence number identifies a late one.
 * Nothing that must be exact is sent this way. Digests improve the choice of
 * upstreams and split the fleet's allowances among the routers.
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

#define Sl_GOSSIP_VERSION 6
/* Fits into the payload of one Ethernet frame, so that no datagram is
 * fragmented. */
#define Sl_GOSSIP_MAX_BYTES 1400

/* ---- 1. Digest -------------------------------------------------------- */

#define Sl_GOSSIP_MAX_LOADS 48
#define Sl_GOSSIP_MAX_FAULTS 24
#define Sl_GOSSIP_MAX_TALLIES 8
#define Sl_GOSSIP_MAX_ROLLOUTS 4
#define Sl_GOSSIP_MAX_SESSIONS 32
#define Sl_GOSSIP_FEED_COUNT 3

/* Load that the sender itself puts on one upstream. */
struct sl_gossip_load {
    uint32_t upstream; /* hash of its id */
    uint32_t in_flight;
    uint32_t backlog_ms; /* time to prefill the sender's waiting prompts */
};

enum sl_fault_kind {
    Sl_FAULT_FAILING,
    Sl_FAULT_REPLACED, /* another upstream answers at its address: it will not
                          come back */
    Sl_FAULT_LEAVING,  /* it has announced in a response that it leaves */
    Sl_FAULT_KIND_COUNT,
};

/* An upstream that the sender has found unfit for new requests. */
struct sl_gossip_fault {
    uint32_t upstream; /* hash of its id */
    enum sl_fault_kind kind;
    uint32_t age_ms; /* LEAVING: time since that response, in steps of 10 ms */
};

/* How a response shows that the version of its upstream is bad. */
enum sl_symptom {
    Sl_SYMPTOM_FAILED,
    Sl_SYMPTOM_SLOW,
    Sl_SYMPTOM_COUNT,
};

/* Responses in which a symptom could have shown, and those in which it did.
 * Both are counted in tenths of a response. */
struct sl_gossip_symptom {
    uint16_t responses;
    uint16_t bad;
};

/* Recent responses on one route. */
struct sl_gossip_tally {
    uint32_t route; /* hash of its name */
    struct sl_gossip_symptom target[Sl_SYMPTOM_COUNT];
    struct sl_gossip_symptom
        baseline[Sl_SYMPTOM_COUNT]; /* baseline versions */
};

/* The sender's calls to the service of a roll-out since it read the order. */
struct sl_gossip_calls {
    uint32_t total;
    uint32_t target; /* those of them to the roll-out's target version */
};

/* The sender's view of one roll-out. */
struct sl_gossip_rollout {
    uint64_t order;               /* offset of the order */
    uint32_t elapsed_ms;          /* since any router first read the order */
    uint32_t baseline_in_flight;  /* the sender's requests at baseline
                                 versions */
    struct sl_gossip_calls calls; /* the sender's */
    uint32_t counted_ms;          /* time over which `calls` were counted */
    bool is_suspect;              /* the sender has found the target bad */
    size_t tally_count;
    struct sl_gossip_tally tallies[Sl_GOSSIP_MAX_TALLIES];
    /* Hashes of sessions that used a baseline version since the last
     * digest. */
    size_t session_count;
    uint32_t sessions[Sl_GOSSIP_MAX_SESSIONS];
};

struct sl_gossip_digest {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name address; /* "IP:PORT" for datagrams */
    uint64_t boot;          /* random, never 0; differs at every start */
    uint64_t sequence;      /* grows by one with each datagram of this boot */
    bool leaving;
    /* Number of other routers of its failure domain that the sender believes
     * to be live. */
    uint32_t live_domain_peers;
    /* Place of the receiver among the relays of its failure domain: 1 forwards
     * the digest at once, 2 only if the first one has not; 0: the receiver
     * does not forward it. */
    uint8_t relay;
    uint32_t age_ms; /* of a forwarded digest: time since it was first sent */
    uint64_t offsets[Sl_GOSSIP_FEED_COUNT]; /* next record of each feed */
    /* How old the sender's copy of the store may be: time since the store last
     * answered the sender, or a router whose updates the sender has.
     * UINT32_MAX: unknown. */
    uint32_t staleness_ms;
    size_t load_count;
    struct sl_gossip_load loads[Sl_GOSSIP_MAX_LOADS];
    size_t fault_count;
    struct sl_gossip_fault faults[Sl_GOSSIP_MAX_FAULTS];
    size_t rollout_count;
    struct sl_gossip_rollout rollouts[Sl_GOSSIP_MAX_ROLLOUTS];
};

/* ---- 2. Codec --------------------------------------------------------- */

/* Appends the encoded digest to `out`. Loads, and then sessions, that do not
 * fit into Sl_GOSSIP_MAX_BYTES are left out. */
void SlGossip_Encode(const struct sl_gossip_digest *digest,
                     struct sl_buf *out);
/* Returns Sl_ERR_INVALID, with the reason in `err`, for bytes that are not a
 * digest of Sl_GOSSIP_VERSION; `digest` may then be partly filled. */
enum sl_errno SlGossip_Decode(struct sl_str bytes,
                              struct sl_gossip_digest *digest,
                              struct sl_error *err);
/* Adds `age_us` to all ages and elapsed times in the digest; those that would
 * overflow stay at UINT32_MAX. */
void SlGossip_AddAge(struct sl_gossip_digest *digest, int64_t age_us);

/* ---- 3. Members ------------------------------------------------------ */

/* Largest number of members in one datagram; fewer where they do not fit. */
#define Sl_PEER_LIST_MAX 40

/* A router of the fleet, as listed by peers and by the store. */
struct sl_member {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name address; /* "IP:PORT" for datagrams */
};

/* Appends one datagram with the first of the members to `out`; returns how
 * many it holds. */
size_t SlPeerList_Encode(const struct sl_member *members, size_t count,
                         struct sl_buf *out);
/* Returns false if the bytes are not a peer list; those of a digest never are.
 * `members` has room for Sl_PEER_LIST_MAX. */
bool SlPeerList_Decode(struct sl_str bytes, struct sl_member *members,
                       size_t *count);

/* ---- 4. Pages --------------------------------------------------------- */

/* The newest record of a key, as stored. */
struct sl_page_record {
    uint64_t offset;
    struct sl_str key;
    struct sl_str value; /* empty: the key was dropped */
};

struct sl_page {
    uint64_t next_offset;   /* offset of the next record */
    uint64_t complete_from; /* the sender knows all drops of keys from this
                               offset on */
    bool is_snapshot;       /* keys that the page does not hold are gone */
    size_t count;
    const struct sl_page_record *records;
};

/* Largest uncompressed page that is accepted: it holds all records of a large
 * deployment. */
#define Sl_PAGE_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* Appends the encoded, usually compressed page to `out`. */
void SlPage_Encode(const struct sl_page *page, struct sl_buf *out);

struct sl_page_reader;

/* Decodes a page. Returns NULL, with the reason in `err`, if the bytes are not
 * a page. The views in `page` point into the reader's memory and are valid
 * until the reader is freed. */
struct sl_page_reader *SlPage_Decode(struct sl_str bytes, struct sl_page *page,
                                     struct sl_error *err);
void SlPage_Free(struct sl_page_reader *reader);

#endif
