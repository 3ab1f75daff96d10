/*
 * Declarations shared by the files of sl_sharing.
 *
 * sl_admission.c        whether a request is refused
 * sl_sharing_allot.c    what this router may send
 * sl_sharing_order.c    which request goes first, fair shares
 * sl_sharing_reports.c  exchange with the other routers
 * sl_sharing.c          what teams hold and wait for; run times
 */
#ifndef Sl_SHARING_INTERNAL_H
#define Sl_SHARING_INTERNAL_H

#include "sl_sharing.h"

/* Requests of a team, route or session, or of all of a service. */
struct sl_sharing_count {
    struct sl_sharing_claim key; /* members beyond its level are 0 */
    int64_t held;                /* of this router */
    int64_t waiting;             /* of this router */
    int64_t peers_held;
    int64_t peers_waiting;
};

/* A service with requests. */
struct sl_sharing_service {
    struct sl_sharing_count count;
    GHashTable *teams; /* key -> struct sl_sharing_count, owned */
};

/* A peer's report. */
struct sl_sharing_peer {
    struct sl_name vm;
    int64_t sent_us;
    size_t count;
    struct sl_gossip_share shares[Sl_GOSSIP_MAX_SHARES];
};

/* Peers whose reports count at most. */
#define Sl_SHARING_MAX_PEERS 4096
/* Entries of the tables by service and by route, which a configuration names:
 * far more than a deployment has. */
#define Sl_SHARING_MAX_NAMES 1024

struct sl_sharing {
    /* Entries exist as long as they have requests. */
    GHashTable *services; /* key -> struct sl_sharing_service, owned */
    /* Claim of a route or session -> its struct sl_sharing_count, owned. */
    GHashTable *parts;
    GHashTable *peers;           /* vm -> struct sl_sharing_peer, owned */
    int64_t oldest_us;           /* no report was sent before */
    GHashTable *run_us;          /* service -> struct sl_sharing_mean, owned */
    GHashTable *usual_deadlines; /* route -> double, us, owned */
    GHashTable *buckets; /* service -> struct sl_sharing_bucket, owned */
};

/* Requests of teams above their share that this router may send to a service
 * at once. */
struct sl_sharing_bucket {
    int64_t share; /* of the last allotment */
    double tokens;
    int64_t filled_us; /* when tokens were last added */
    int64_t contended_since_us;
    int64_t contended_seen_us; /* when it was last found contended */
};

/* A moving average. */
struct sl_sharing_mean {
    double value;
    int64_t count; /* observations, up to those that the average covers */
};

/* Returns the service's entry, or NULL. */
struct sl_sharing_service *
SlSharing_FindService(const struct sl_sharing *sharing, uint32_t service);
/* Adds what a peer's share says of its team, or with `sign` -1 removes it. */
void SlSharing_AddPeerShare(struct sl_sharing *sharing,
                            const struct sl_gossip_share *share, int64_t sign);
/* Returns what the claim's route or session holds at this router; members of
 * the claim beyond that level are 0. */
int64_t SlSharing_PartHeld(const struct sl_sharing *sharing,
                           const struct sl_sharing_claim *claim);
/* Handles that a request is sent: takes a token if its team is above its
 * share. */
void SlSharing_TakeToken(struct sl_sharing *sharing,
                         const struct sl_sharing_claim *claim);
/* Returns true if the table may get an entry of another name. */
bool SlSharing_HasRoom(GHashTable *table);

#endif
