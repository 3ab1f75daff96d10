/* What teams, routes and sessions hold and wait for, and how long requests
 * occupy a slot. Entries exist only while they have requests, so that the
 * state is bounded by the requests under way and by the reports of peers. */
#include "sl_sharing_internal.h"

/* Weight of a new run time in the moving average, once it covers as many. */
#define Sl_RUN_WEIGHT_COUNT 20

/* ---- state ---- */

static guint
claim_hash(gconstpointer key)
{
    const struct sl_sharing_claim *claim = key;
    uint64_t hash =
        SlHash_Mix((uint64_t)claim->service << 32 | (uint64_t)claim->team);
    return (guint)SlHash_Mix(
        hash ^ ((uint64_t)claim->route << 32 | (uint64_t)claim->session));
}

static gboolean
claim_equal(gconstpointer left, gconstpointer right)
{
    const struct sl_sharing_claim *a = left;
    const struct sl_sharing_claim *b = right;
    return a->service == b->service && a->team == b->team &&
           a->route == b->route && a->session == b->session;
}

static void
free_service(gpointer data)
{
    struct sl_sharing_service *service = data;
    g_hash_table_destroy(service->teams);
    g_free(service);
}

struct sl_sharing *
SlSharing_New(void)
{
    struct sl_sharing *sharing = g_new0(struct sl_sharing, 1);
    sharing->services = g_hash_table_new_full(NULL, NULL, NULL, free_service);
    sharing->parts =
        g_hash_table_new_full(claim_hash, claim_equal, NULL, g_free);
    sharing->peers = g_hash_table_new_full(SlName_TableHash, SlName_TableEqual,
                                           NULL, g_free);
    sharing->oldest_us = Sl_NEVER_US;
    sharing->run_us = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    sharing->usual_deadlines = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    sharing->buckets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return sharing;
}

void
SlSharing_Free(struct sl_sharing *sharing)
{
    if (sharing == NULL) {
        return;
    }
    g_hash_table_destroy(sharing->services);
    g_hash_table_destroy(sharing->parts);
    g_hash_table_destroy(sharing->peers);
    g_hash_table_destroy(sharing->run_us);
    g_hash_table_destroy(sharing->usual_deadlines);
    g_hash_table_destroy(sharing->buckets);
    g_free(sharing);
}

uint32_t
SlSharing_Key(struct sl_str name)
{
    uint32_t key = (uint32_t)SlHash_Bytes(0, name);
    return key == 0 ? 1 : key;
}

bool
SlSharing_HasRoom(GHashTable *table)
{
    return g_hash_table_size(table) < Sl_SHARING_MAX_NAMES;
}

/* ---- counts ---- */

struct sl_sharing_service *
SlSharing_FindService(const struct sl_sharing *sharing, uint32_t service)
{
    return g_hash_table_lookup(sharing->services, GUINT_TO_POINTER(service));
}

static bool
is_zero(const struct sl_sharing_count *count)
{
    return count->held == 0 && count->waiting == 0 && count->peers_held == 0 &&
           count->peers_waiting == 0;
}

static void
add_to(struct sl_sharing_count *count, const struct sl_sharing_count *change)
{
    count->held += change->held;
    count->waiting += change->waiting;
    count->peers_held += change->peers_held;
    count->peers_waiting += change->peers_waiting;
}

/* Adds the change to the counts of its service and team. Removes those that
 * are zero then. */
static void
change_team(struct sl_sharing *sharing, const struct sl_sharing_count *change)
{
    gpointer service_key = GUINT_TO_POINTER(change->key.service);
    gpointer team_key = GUINT_TO_POINTER(change->key.team);
    struct sl_sharing_service *service =
        SlSharing_FindService(sharing, change->key.service);
    if (service == NULL) {
        service = g_new0(struct sl_sharing_service, 1);
        service->teams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        g_hash_table_insert(sharing->services, service_key, service);
    }
    struct sl_sharing_count *team =
        g_hash_table_lookup(service->teams, team_key);
    if (team == NULL) {
        team = g_new0(struct sl_sharing_count, 1);
        team->key.service = change->key.service;
        team->key.team = change->key.team;
        g_hash_table_insert(service->teams, team_key, team);
    }
    add_to(team, change);
    add_to(&service->count, change);
    if (is_zero(team)) {
        g_hash_table_remove(service->teams, team_key);
    }
    if (g_hash_table_size(service->teams) == 0) {
        g_hash_table_remove(sharing->services, service_key);
    }
}

/* Adds the change to the count of its key, which is of a route or session. */
static void
change_part(struct sl_sharing *sharing, const struct sl_sharing_count *change)
{
    struct sl_sharing_count *part =
        g_hash_table_lookup(sharing->parts, &change->key);
    if (part == NULL) {
        part = g_new0(struct sl_sharing_count, 1);
        part->key = change->key;
        g_hash_table_insert(sharing->parts, &part->key, part);
    }
    add_to(part, change);
    if (is_zero(part)) {
        g_hash_table_remove(sharing->parts, &change->key);
    }
}

/* Changes what a claim's team, route and session hold and wait for. */
static void
change_claim(struct sl_sharing *sharing, const struct sl_sharing_claim *claim,
             int64_t held, int64_t waiting)
{
    struct sl_sharing_count change = {
        .key = *claim,
        .held = held,
        .waiting = waiting,
    };
    change_team(sharing, &change);
    if (claim->session != 0) {
        change_part(sharing, &change);
        change.key.session = 0;
    }
    change_part(sharing, &change);
}

void
SlSharing_OnQueued(struct sl_sharing *sharing,
                   const struct sl_sharing_claim *claim)
{
    change_claim(sharing, claim, 0, 1);
}

void
SlSharing_OnUnqueued(struct sl_sharing *sharing,
                     const struct sl_sharing_claim *claim)
{
    change_claim(sharing, claim, 0, -1);
}

void
SlSharing_OnSent(struct sl_sharing *sharing,
                 const struct sl_sharing_claim *claim)
{
    change_claim(sharing, claim, 1, 0);
    SlSharing_TakeToken(sharing, claim);
}

void
SlSharing_OnEnded(struct sl_sharing *sharing,
                  const struct sl_sharing_claim *claim)
{
    change_claim(sharing, claim, -1, 0);
}

void
SlSharing_AddPeerShare(struct sl_sharing *sharing,
                       const struct sl_gossip_share *share, int64_t sign)
{
    const struct sl_sharing_count change = {
        .key = {.service = share->service, .team = share->team},
        .peers_held = sign * share->held,
        .peers_waiting = sign * share->waiting,
    };
    change_team(sharing, &change);
}

int64_t
SlSharing_PartHeld(const struct sl_sharing *sharing,
                   const struct sl_sharing_claim *claim)
{
    const struct sl_sharing_count *part =
        g_hash_table_lookup(sharing->parts, claim);
    return part == NULL ? 0 : part->held;
}

static struct sl_sharing_holding
holding_of(const struct sl_sharing_count *count)
{
    const struct sl_sharing_holding none = {0};
    const struct sl_sharing_holding holding = {
        .held = count == NULL ? 0 : count->held + count->peers_held,
        .waiting = count == NULL ? 0 : count->waiting + count->peers_waiting,
    };
    return count == NULL ? none : holding;
}

struct sl_sharing_holding
SlSharing_Team(const struct sl_sharing *sharing, uint32_t service,
               uint32_t team)
{
    const struct sl_sharing_service *entry =
        SlSharing_FindService(sharing, service);
    return holding_of(
        entry == NULL
            ? NULL
            : g_hash_table_lookup(entry->teams, GUINT_TO_POINTER(team)));
}

struct sl_sharing_holding
SlSharing_Service(const struct sl_sharing *sharing, uint32_t service)
{
    const struct sl_sharing_service *entry =
        SlSharing_FindService(sharing, service);
    return holding_of(entry == NULL ? NULL : &entry->count);
}

/* ---- run times ---- */

void
SlSharing_OnRan(struct sl_sharing *sharing, uint32_t service, int64_t took_us,
                int64_t load, int64_t slots)
{
    struct sl_sharing_mean *mean =
        g_hash_table_lookup(sharing->run_us, GUINT_TO_POINTER(service));
    if (mean == NULL) {
        if (!SlSharing_HasRoom(sharing->run_us)) {
            return;
        }
        mean = g_new0(struct sl_sharing_mean, 1);
        g_hash_table_insert(sharing->run_us, GUINT_TO_POINTER(service), mean);
    }
    /* The part of the time that was spent in the upstream's own queue. */
    double run_us =
        (double)took_us * (double)slots / (double)MAX(MAX(load, slots), 1);
    mean->count = MIN(mean->count + 1, Sl_RUN_WEIGHT_COUNT);
    mean->value += (run_us - mean->value) / (double)mean->count;
}

int64_t
SlSharing_RunUs(const struct sl_sharing *sharing, uint32_t service,
                int64_t initial_us)
{
    const struct sl_sharing_mean *mean =
        g_hash_table_lookup(sharing->run_us, GUINT_TO_POINTER(service));
    return mean == NULL ? initial_us : (int64_t)mean->value;
}
