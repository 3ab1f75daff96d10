/*
 * What this router may send to a service.
 *
 * The load of an upstream is known with the age of the digests. Routers that
 * all see the same free place all take it, and the upstreams get more than
 * they hold. A pace does not have this fault: it follows from what the teams
 * want, which changes more slowly than what is free at each moment. Teams that
 * want less than their shares have no part in this: there is room for them.
 */
#include "sl_sharing_internal.h"

/* Requests that upstreams should hold under contention, in slots: the next one
 * is there when a run ends, and none waits there for long. */
#define Sl_HELD_PER_SLOT 1.5
/* Bounds of the correction of the pace, while upstreams hold more or less than
 * that. */
#define Sl_MIN_CORRECTION 0.7
#define Sl_MAX_CORRECTION 1.1
/* Least part of the pace of a router. */
#define Sl_MIN_PART 0.0001
/* Longest break of one contention. */
#define Sl_CONTENTION_BREAK_US (200 * Sl_US_PER_MS)
/* Time for which unused tokens are kept. */
#define Sl_BURST_US (20 * Sl_US_PER_MS)

/* Returns the part of the service's pace, 0 to 1, that this router may use for
 * the teams above their share: of the share of each, in proportion to what the
 * team wants here. */
static double
own_part(const struct sl_sharing_service *service, int64_t share)
{
    double own_sum = 0;
    double sum = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_sharing_count *team = value;
        int64_t own = team->held + team->waiting;
        int64_t all = own + team->peers_held + team->peers_waiting;
        double part = (double)MIN(all, MAX(share, 1));
        sum += part;
        if (all > share) {
            own_sum += part * (double)own / (double)all;
        }
    }
    return own_sum / sum;
}

static struct sl_sharing_bucket *
find_or_add_bucket(struct sl_sharing *sharing, uint32_t service)
{
    gpointer key = GUINT_TO_POINTER(service);
    struct sl_sharing_bucket *bucket =
        g_hash_table_lookup(sharing->buckets, key);
    if (bucket == NULL && SlSharing_HasRoom(sharing->buckets)) {
        bucket = g_new0(struct sl_sharing_bucket, 1);
        bucket->tokens = 1;
        bucket->share = INT64_MAX;
        bucket->contended_seen_us = -Sl_CONTENTION_BREAK_US - 1;
        g_hash_table_insert(sharing->buckets, key, bucket);
    }
    return bucket;
}

void
SlSharing_TakeToken(struct sl_sharing *sharing,
                    const struct sl_sharing_claim *claim)
{
    struct sl_sharing_bucket *bucket =
        find_or_add_bucket(sharing, claim->service);
    if (bucket != NULL && SlSharing_IsAboveShare(sharing, claim->service,
                                                 claim->team, bucket->share)) {
        bucket->tokens = MAX(bucket->tokens - 1, 0);
    }
}

bool
SlSharing_IsAboveShare(const struct sl_sharing *sharing, uint32_t service,
                       uint32_t team, int64_t share)
{
    struct sl_sharing_holding holding = SlSharing_Team(sharing, service, team);
    return holding.held + holding.waiting > share;
}

/* Returns for how long the service has been contended. */
static int64_t
note_contended(struct sl_sharing_bucket *bucket, int64_t now_us)
{
    if (now_us - bucket->contended_seen_us > Sl_CONTENTION_BREAK_US) {
        bucket->contended_since_us = now_us;
    }
    bucket->contended_seen_us = now_us;
    return now_us - bucket->contended_since_us;
}

struct sl_sharing_allotment
SlSharing_Allot(struct sl_sharing *sharing, int64_t now_us, uint32_t service,
                int64_t usable_slots, int64_t run_us)
{
    const struct sl_sharing_service *entry =
        SlSharing_FindService(sharing, service);
    struct sl_sharing_bucket *bucket = find_or_add_bucket(sharing, service);
    struct sl_sharing_holding all = SlSharing_Service(sharing, service);
    double run = (double)MAX(run_us, 1);
    double slots = (double)MAX(usable_slots, 1);
    double room = Sl_HELD_PER_SLOT * slots;
    struct sl_sharing_allotment allotment = {
        .share = INT64_MAX,
        .interval_us = (int64_t)(run / slots),
    };
    if (entry == NULL || bucket == NULL || usable_slots == 0) {
        return allotment;
    }
    bucket->share = SlSharing_FairShare(sharing, service, (int64_t)room);
    if (bucket->share == INT64_MAX) {
        return allotment;
    }
    double part = MAX(own_part(entry, bucket->share), Sl_MIN_PART);
    double correction = CLAMP(room / (double)MAX(all.held, 1),
                              Sl_MIN_CORRECTION, Sl_MAX_CORRECTION);
    double per_us = part * slots / run * correction;
    double burst = MAX(1, per_us * (double)Sl_BURST_US);
    bucket->tokens = MIN(
        bucket->tokens + per_us * (double)(now_us - bucket->filled_us), burst);
    bucket->filled_us = now_us;
    allotment.is_contended = true;
    allotment.contended_us = note_contended(bucket, now_us);
    allotment.share = bucket->share;
    allotment.interval_us = (int64_t)(1 / per_us);
    allotment.free_us =
        bucket->tokens >= 1 ? 0 : (int64_t)((1 - bucket->tokens) / per_us) + 1;
    return allotment;
}

int64_t
SlSharing_LastShare(const struct sl_sharing *sharing, uint32_t service)
{
    const struct sl_sharing_bucket *bucket =
        g_hash_table_lookup(sharing->buckets, GUINT_TO_POINTER(service));
    return bucket == NULL ? INT64_MAX : bucket->share;
}
