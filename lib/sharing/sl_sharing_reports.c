/* Reports of what teams hold and wait for, between routers. A report replaces
 * the last one of its sender, so that a lost one does no harm. */
#include "sl_sharing_internal.h"

#include <string.h>

/* Services of which a report tells what the teams that are not listed have
 * together. */
#define Sl_MAX_REMAINDERS 2

/* ---- this router's report ---- */

static uint16_t
saturate(int64_t count)
{
    return (uint16_t)CLAMP(count, 0, UINT16_MAX);
}

/* Largest first; the rest of the order only makes it the same everywhere. */
static gint
compare_size(gconstpointer left, gconstpointer right)
{
    const struct sl_sharing_count *a =
        *(const struct sl_sharing_count *const *)left;
    const struct sl_sharing_count *b =
        *(const struct sl_sharing_count *const *)right;
    int64_t a_size = a->held + a->waiting;
    int64_t b_size = b->held + b->waiting;
    if (a_size != b_size) {
        return a_size > b_size ? -1 : 1;
    }
    if (a->key.service != b->key.service) {
        return a->key.service < b->key.service ? -1 : 1;
    }
    return a->key.team < b->key.team ? -1 : a->key.team > b->key.team;
}

/* Returns what the teams have at this router, the largest first. */
static GPtrArray *
list_own(const struct sl_sharing *sharing)
{
    GPtrArray *own = g_ptr_array_new();
    GHashTableIter services;
    gpointer value;
    g_hash_table_iter_init(&services, sharing->services);
    while (g_hash_table_iter_next(&services, NULL, &value)) {
        const struct sl_sharing_service *service = value;
        GHashTableIter teams;
        g_hash_table_iter_init(&teams, service->teams);
        while (g_hash_table_iter_next(&teams, NULL, &value)) {
            const struct sl_sharing_count *team = value;
            if (team->held + team->waiting > 0) {
                g_ptr_array_add(own, value);
            }
        }
    }
    g_ptr_array_sort(own, compare_size);
    return own;
}

/* Adds a team to the share of those that are not listed. */
static void
add_remainder(struct sl_gossip_share *remainders, size_t *count, size_t max,
              const struct sl_sharing_count *team)
{
    size_t i = 0;
    while (i < *count && remainders[i].service != team->key.service) {
        i++;
    }
    if (i == *count) {
        if (*count == max) {
            return;
        }
        remainders[i] = (struct sl_gossip_share){.service = team->key.service};
        (*count)++;
    }
    remainders[i].held = saturate(remainders[i].held + team->held);
    remainders[i].waiting = saturate(remainders[i].waiting + team->waiting);
}

size_t
SlSharing_FillReport(const struct sl_sharing *sharing,
                     struct sl_gossip_share *shares, size_t max)
{
    GPtrArray *own = list_own(sharing);
    size_t listed =
        own->len <= max ? own->len : max - MIN(max, Sl_MAX_REMAINDERS);
    size_t remainders = 0;
    for (guint i = 0; i < own->len; i++) {
        const struct sl_sharing_count *team = own->pdata[i];
        if (i >= listed) {
            add_remainder(shares + listed, &remainders, max - listed, team);
            continue;
        }
        shares[i] = (struct sl_gossip_share){
            .service = team->key.service,
            .team = team->key.team,
            .held = saturate(team->held),
            .waiting = saturate(team->waiting),
        };
    }
    g_ptr_array_free(own, TRUE);
    return listed + remainders;
}

/* ---- reports of peers ---- */

/* Adds what the peer reports to the counts, or with `sign` -1 removes it. */
static void
count_report(struct sl_sharing *sharing, const struct sl_sharing_peer *peer,
             int64_t sign)
{
    for (size_t i = 0; i < peer->count; i++) {
        SlSharing_AddPeerShare(sharing, &peer->shares[i], sign);
    }
}

void
SlSharing_OnReport(struct sl_sharing *sharing, int64_t sent_us,
                   const struct sl_name *vm,
                   const struct sl_gossip_share *shares, size_t count)
{
    struct sl_sharing_peer *peer = g_hash_table_lookup(sharing->peers, vm);
    if (peer == NULL) {
        if (count == 0 ||
            g_hash_table_size(sharing->peers) >= Sl_SHARING_MAX_PEERS) {
            return;
        }
        peer = g_new0(struct sl_sharing_peer, 1);
        peer->vm = *vm;
        g_hash_table_insert(sharing->peers, &peer->vm, peer);
    }
    count_report(sharing, peer, -1);
    if (count == 0) {
        g_hash_table_remove(sharing->peers, vm);
        return;
    }
    peer->sent_us = sent_us;
    peer->count = MIN(count, G_N_ELEMENTS(peer->shares));
    memcpy(peer->shares, shares, peer->count * sizeof(*shares));
    count_report(sharing, peer, 1);
    sharing->oldest_us = MIN(sharing->oldest_us, sent_us);
}

void
SlSharing_OnPeerGone(struct sl_sharing *sharing, const struct sl_name *vm)
{
    SlSharing_OnReport(sharing, 0, vm, NULL, 0);
}

void
SlSharing_Expire(struct sl_sharing *sharing, int64_t now_us,
                 int64_t max_age_us)
{
    if (now_us - sharing->oldest_us <= max_age_us) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    sharing->oldest_us = Sl_NEVER_US;
    g_hash_table_iter_init(&iter, sharing->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_sharing_peer *peer = value;
        if (now_us - peer->sent_us > max_age_us) {
            count_report(sharing, peer, -1);
            g_hash_table_iter_remove(&iter);
        }
        else {
            sharing->oldest_us = MIN(sharing->oldest_us, peer->sent_us);
        }
    }
}

void
SlSharing_OnPause(struct sl_sharing *sharing, int64_t paused_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sharing->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_sharing_peer *peer = value;
        peer->sent_us += paused_us;
    }
}

int64_t
SlSharing_ReportAgeUs(const struct sl_sharing *sharing, int64_t now_us)
{
    int64_t oldest_us = now_us;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sharing->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_sharing_peer *peer = value;
        oldest_us = MIN(oldest_us, peer->sent_us);
    }
    return now_us - oldest_us;
}

size_t
SlSharing_PeerCount(const struct sl_sharing *sharing)
{
    return g_hash_table_size(sharing->peers);
}
