/*
 * sl_gossip: what routers tell each other, in datagrams of msgpack.
 *
 * A datagram says what holds now, never what has changed: a lost one is made
 * good by the next, and an old one is told by its sequence number. Nothing
 * that must be exact goes this way; what it carries makes choices better and
 * splits the fleet's allowances.
 *
 * Sections:
 *   1. Digest   what a datagram says
 *   2. Codec    to bytes and back
 *   3. Members  routers that one tells a new one of
 *   4. Pages    records of the store that one router hands to another, for
 *               when the store refuses some of them; over a connection
 */
#ifndef Sl_GOSSIP_H
#define Sl_GOSSIP_H

#include "sl_common.h"

#define Sl_GOSSIP_VERSION 6
/* Below the payload of one Ethernet frame, so that none is fragmented. */
#define Sl_GOSSIP_MAX_BYTES 1400

/* ---- 1. Digest -------------------------------------------------------- */

#define Sl_GOSSIP_MAX_LOADS 48
#define Sl_GOSSIP_MAX_FAULTS 24
#define Sl_GOSSIP_MAX_TALLIES 8
#define Sl_GOSSIP_MAX_ROLLOUTS 4
#define Sl_GOSSIP_MAX_SESSIONS 32
#define Sl_GOSSIP_FEED_COUNT 3

/* The sender's own work at one upstream. */
struct sl_gossip_load {
    uint32_t upstream; /* hash of its id */
    uint32_t in_flight;
    uint32_t backlog_ms; /* of prompts that are not read yet */
};

enum sl_fault_kind {
    Sl_FAULT_FAILING,
    Sl_FAULT_REPLACED, /* another one has its address: it is gone for good */
    Sl_FAULT_LEAVING,  /* it has said so in an answer */
    Sl_FAULT_KIND_COUNT,
};

/* An upstream that the sender has found of no use. */
struct sl_gossip_fault {
    uint32_t upstream; /* hash of its id */
    enum sl_fault_kind kind;
    uint32_t age_ms; /* LEAVING: since the answer, in steps of 10 ms */
};

/* By what an answer shows that its version is bad. */
enum sl_symptom {
    Sl_SYMPTOM_FAILED,
    Sl_SYMPTOM_SLOW,
    Sl_SYMPTOM_COUNT,
};

/* Answers that could show a sign, and those that did; in tenths. */
struct sl_gossip_symptom {
    uint16_t answers;
    uint16_t bad;
};

/* Recent answers on one route. */
struct sl_gossip_tally {
    uint32_t route; /* hash of its name */
    struct sl_gossip_symptom target[Sl_SYMPTOM_COUNT];
    struct sl_gossip_symptom base[Sl_SYMPTOM_COUNT];
};

/* Calls to the service of a roll-out since its order was seen. */
struct sl_gossip_calls {
    uint32_t all;
    uint32_t target; /* of them, to the version that it brings in */
};

/* How the sender sees one roll-out. */
struct sl_gossip_rollout {
    uint64_t order;               /* offset of the order */
    uint32_t elapsed_ms;          /* since it was first seen by anybody */
    uint32_t base_in_flight;      /* own requests at versions to be left */
    struct sl_gossip_calls calls; /* own */
    uint32_t counted_ms;          /* for how long they have been counted */
    bool is_suspect;              /* the sender has found the target bad */
    size_t tally_count;
    struct sl_gossip_tally tallies[Sl_GOSSIP_MAX_TALLIES];
    /* Sessions that were at a version to be left since the last digest. */
    size_t session_count;
    uint32_t sessions[Sl_GOSSIP_MAX_SESSIONS];
};

struct sl_gossip {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name address; /* "IP:PORT" for datagrams */
    uint64_t boot;
    uint64_t sequence; /* grows by one with each datagram of this boot */
    bool leaving;
    /* Routers of its failure domain that the sender believes to live, itself
     * left out. */
    uint32_t known;
    uint8_t relay;   /* the receiver is to hand it on, in this place; 0: not */
    uint32_t age_ms; /* since the sender said it; of one that is handed on */
    uint64_t offsets[Sl_GOSSIP_FEED_COUNT]; /* next record of each feed */
    /* Since the store last answered the sender, or a router whose news the
     * sender has. */
    uint32_t staleness_ms;
    size_t load_count;
    struct sl_gossip_load loads[Sl_GOSSIP_MAX_LOADS];
    size_t fault_count;
    struct sl_gossip_fault faults[Sl_GOSSIP_MAX_FAULTS];
    size_t rollout_count;
    struct sl_gossip_rollout rollouts[Sl_GOSSIP_MAX_ROLLOUTS];
};

/* ---- 2. Codec --------------------------------------------------------- */

/* Appends the digest's bytes. Loads, and then sessions, that do not fit into
 * Sl_GOSSIP_MAX_BYTES are left out. */
void SlGossip_Encode(const struct sl_gossip *digest, struct sl_buf *out);
enum sl_errno SlGossip_Decode(struct sl_str bytes, struct sl_gossip *digest,
                              struct sl_error *err);
/* It was said so long ago: what it tells the age of gets older. */
void SlGossip_AddAge(struct sl_gossip *digest, int64_t age_us);

/* ---- 3. Members ------------------------------------------------------ */

/* Members of one datagram: as many as fit, this many at most. */
#define Sl_PEER_LIST_MAX 40

/* A router that peers and the store name. */
struct sl_member {
    struct sl_name vm;
    struct sl_name domain;
    struct sl_name address; /* "IP:PORT" for datagrams */
};

/* Appends the bytes of a datagram; returns how many members it holds. */
size_t SlPeerList_Encode(const struct sl_member *members, size_t count,
                         struct sl_buf *out);
/* False when the bytes are no such datagram; a digest is none. `members` has
 * room for Sl_PEER_LIST_MAX. */
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
    uint64_t end;           /* offset of the next record */
    uint64_t complete_from; /* drops of keys are known from this offset on */
    bool is_snapshot;       /* keys that it does not hold are gone */
    size_t count;
    const struct sl_page_record *records;
};

/* Largest page that is taken: all records of a large deployment. */
#define Sl_PAGE_MAX_BYTES ((size_t)16 * 1024 * 1024)

void SlPage_Encode(const struct sl_page *page, struct sl_buf *out);

struct sl_page_reader;

/* Decodes a page; NULL with the reason in `err`. The page's views point into
 * `bytes` and are valid until the reader is freed. */
struct sl_page_reader *SlPage_Decode(struct sl_str bytes, struct sl_page *page,
                                     struct sl_error *err);
void SlPage_Free(struct sl_page_reader *reader);

#endif
