/*
 * Which request goes first, and the fair share of a team.
 *
 * The order is that of max-min fairness: who holds the least gets the next
 * place, and holds one more then. So the k-th request of a team that holds h
 * has the level h + k, and requests are sorted by their levels. The requests
 * of a team are sorted in the same way by routes, those of a route by
 * sessions.
 */
#include "sl_sharing_internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- order ---- */

static int
compare_numbers(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

/* Compares by what stands before the level: priority, service, and the members
 * of the claim down to the team, route or session. */
static int
compare_groups(const struct sl_sharing_waiter *a,
               const struct sl_sharing_waiter *b, size_t depth)
{
    const uint64_t of_a[] = {(uint64_t)a->priority, a->claim.service,
                             a->claim.team, a->claim.route, a->claim.session};
    const uint64_t of_b[] = {(uint64_t)b->priority, b->claim.service,
                             b->claim.team, b->claim.route, b->claim.session};
    for (size_t i = 0; i < depth; i++) {
        int result = compare_numbers(of_a[i], of_b[i]);
        if (result != 0) {
            return result;
        }
    }
    return 0;
}

/* Compares within a group: those who come back go first, then by level, then
 * by arrival. */
static int
compare_in_group(const struct sl_sharing_waiter *a,
                 const struct sl_sharing_waiter *b)
{
    if (a->has_returned != b->has_returned) {
        return a->has_returned ? -1 : 1;
    }
    if (a->level != b->level) {
        return a->level < b->level ? -1 : 1;
    }
    return compare_numbers(a->arrival, b->arrival);
}

/* Number of members that identify a group, for compare_groups(). */
enum sl_group_depth {
    Sl_TEAM_DEPTH = 3,
    Sl_ROUTE_DEPTH = 4,
    Sl_SESSION_DEPTH = 5,
};

static int
compare_in_sessions(const void *a, const void *b)
{
    int result = compare_groups(a, b, Sl_SESSION_DEPTH);
    return result != 0 ? result : compare_in_group(a, b);
}

static int
compare_in_routes(const void *a, const void *b)
{
    int result = compare_groups(a, b, Sl_ROUTE_DEPTH);
    return result != 0 ? result : compare_in_group(a, b);
}

static int
compare_in_teams(const void *a, const void *b)
{
    int result = compare_groups(a, b, Sl_TEAM_DEPTH);
    return result != 0 ? result : compare_in_group(a, b);
}

static int
compare_levels(const void *left, const void *right)
{
    const struct sl_sharing_waiter *a = left;
    const struct sl_sharing_waiter *b = right;
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->level != b->level) {
        return a->level < b->level ? -1 : 1;
    }
    return compare_numbers(a->arrival, b->arrival);
}

/* Returns what the waiter's group holds. */
static int64_t
held_by_group(const struct sl_sharing *sharing,
              const struct sl_sharing_waiter *waiter, size_t depth)
{
    struct sl_sharing_claim claim = waiter->claim;
    if (depth == Sl_TEAM_DEPTH) {
        return SlSharing_Team(sharing, claim.service, claim.team).held;
    }
    if (depth == Sl_ROUTE_DEPTH) {
        claim.session = 0;
    }
    return SlSharing_PartHeld(sharing, &claim);
}

/* Sets the levels of waiters that are sorted by groups. */
static void
set_levels(const struct sl_sharing *sharing, struct sl_sharing_waiter *waiters,
           size_t count, size_t depth)
{
    int64_t level = 0;
    for (size_t i = 0; i < count; i++) {
        if (depth == Sl_SESSION_DEPTH && waiters[i].claim.session == 0) {
            /* Each request without a session is one of its own. */
            waiters[i].level = 0;
            continue;
        }
        level =
            i > 0 && compare_groups(&waiters[i - 1], &waiters[i], depth) == 0
                ? level + 1
                : held_by_group(sharing, &waiters[i], depth);
        waiters[i].level = level;
    }
}

void
SlSharing_Sort(const struct sl_sharing *sharing,
               struct sl_sharing_waiter *waiters, size_t count)
{
    static const struct {
        size_t depth;
        int (*compare)(const void *, const void *);
    } steps[] = {
        {Sl_SESSION_DEPTH, compare_in_sessions},
        {Sl_ROUTE_DEPTH, compare_in_routes},
        {Sl_TEAM_DEPTH, compare_in_teams},
    };
    for (size_t i = 0; i < count; i++) {
        waiters[i].level = 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(steps) && count > 0; i++) {
        qsort(waiters, count, sizeof(*waiters), steps[i].compare);
        set_levels(sharing, waiters, count, steps[i].depth);
    }
    if (count > 0) {
        qsort(waiters, count, sizeof(*waiters), compare_levels);
    }
}

/* ---- fair shares ---- */

static int
compare_wants(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return a < b ? -1 : a > b;
}

int64_t
SlSharing_FairShare(const struct sl_sharing *sharing, uint32_t service,
                    int64_t room)
{
    const struct sl_sharing_service *entry =
        SlSharing_FindService(sharing, service);
    struct sl_sharing_holding all = SlSharing_Service(sharing, service);
    if (entry == NULL || all.held + all.waiting <= room) {
        return INT64_MAX;
    }
    size_t count = 0;
    int64_t *wants = g_new(int64_t, g_hash_table_size(entry->teams));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_sharing_count *team = value;
        wants[count++] = team->held + team->peers_held + team->waiting +
                         team->peers_waiting;
    }
    qsort(wants, count, sizeof(*wants), compare_wants);
    int64_t left = MAX(room, 0);
    int64_t share = 0;
    for (size_t i = 0; i < count; i++) {
        share = left / (int64_t)(count - i);
        if (wants[i] > share) {
            break;
        }
        left -= wants[i];
    }
    g_free(wants);
    return share;
}

/* ---- clients that come back ---- */

/* A deadline shorter than this share of the usual one is of a client that has
 * tried before. */
#define Sl_RETURNED_SHARE 0.9
/* Weights of a deadline in the usual one. Longer ones count more, as those of
 * the clients that come back are not the usual ones. */
#define Sl_LONGER_WEIGHT 0.1
#define Sl_SHORTER_WEIGHT 0.005

int64_t
SlSharing_TriedUs(struct sl_sharing *sharing, uint32_t route,
                  int64_t deadline_us)
{
    double *usual_us =
        g_hash_table_lookup(sharing->usual_deadlines, GUINT_TO_POINTER(route));
    if (deadline_us <= 0) {
        return 0;
    }
    if (usual_us == NULL) {
        if (SlSharing_HasRoom(sharing->usual_deadlines)) {
            usual_us = g_new(double, 1);
            *usual_us = (double)deadline_us;
            g_hash_table_insert(sharing->usual_deadlines,
                                GUINT_TO_POINTER(route), usual_us);
        }
        return 0;
    }
    double missing_us = *usual_us - (double)deadline_us;
    bool has_returned = (double)deadline_us < Sl_RETURNED_SHARE * *usual_us;
    *usual_us -=
        missing_us * (missing_us < 0 ? Sl_LONGER_WEIGHT : Sl_SHORTER_WEIGHT);
    return has_returned ? (int64_t)missing_us : 0;
}
