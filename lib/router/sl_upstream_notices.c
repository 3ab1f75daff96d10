/*
 * Notices: announcements that upstreams make in their responses, that they
 * leave, or that they need back-off for a time. Limits on their rate are kept
 * here as well, see sl_upstream_limits.c.
 *
 * The store may learn of a notice later, or be unavailable. So a notice has
 * precedence over the upstream's registration, and outlives it, since an old
 * entry may reappear with a store that was unavailable. The notice that an
 * upstream leaves is revoked only by a newer instance of that upstream.
 *
 * Digests report for a while that an upstream leaves, with the age of its
 * announcement. Peers then send no requests to the upstream either, unless
 * they know of an instance that started later. An upstream asks a single
 * router for back-off, so that it is not reported.
 */
#include "sl_router_internal.h"

/* Time for which digests report that an upstream leaves. Peers that start
 * meanwhile learn of it, too, while the store may still list the upstream. */
#define Sl_REPORT_LEAVING_US (60 * Sl_US_PER_S)
/* Time for which a notice is kept: longer than a leaving upstream still serves
 * requests, and longer than the store is unavailable. */
#define Sl_NOTICE_LIFETIME_US (600 * Sl_US_PER_S)
/* Longest back-off that is accepted; an upstream that asks for more is faulty.
 */
#define Sl_MAX_BACKOFF_US Sl_NOTICE_LIFETIME_US

/* ---- notices ---- */

struct sl_upstream_notice *
SlUpstreamNotices_GetOrAdd(struct sl_router *router,
                           const struct sl_router_upstream *upstream)
{
    struct sl_upstream_notice *notice = g_hash_table_lookup(
        router->upstream_notices, &upstream->registration.id);
    if (notice == NULL) {
        notice = g_new0(struct sl_upstream_notice, 1);
        notice->id = upstream->registration.id;
        g_hash_table_insert(router->upstream_notices, &notice->id, notice);
    }
    return notice;
}

/* Returns true if the registration is of an instance that started after the
 * notice. A different start time alone does not prove that: the notice may
 * have come from an instance whose registration had not been read yet. */
static bool
is_newer_instance(const struct sl_upstream_notice *notice,
                  const struct sl_registration *reg)
{
    if (reg->start_wall_ms != 0 && notice->start_wall_ms != 0) {
        return reg->start_wall_ms != notice->start_wall_ms &&
               reg->start_wall_ms > notice->leave_announced_wall_ms;
    }
    return reg->sequence < notice->sequence;
}

/* Returns true if the notice is no longer needed. */
static gboolean
is_outdated(gpointer key, gpointer value, gpointer data)
{
    const struct sl_router *router = data;
    const struct sl_upstream_notice *notice = value;
    (void)key;
    return router->now_us - notice->leave_announced_us >
               Sl_NOTICE_LIFETIME_US &&
           router->now_us > notice->backoff_until_us &&
           router->now_us - notice->limit.stated_us > Sl_NOTICE_LIFETIME_US &&
           !g_hash_table_contains(router->upstreams, &notice->id);
}

void
SlUpstreamNotices_Sweep(struct sl_router *router)
{
    g_hash_table_foreach_remove(router->upstream_notices, is_outdated, router);
}

void
SlUpstreamNotices_OnUpstreamStart(struct sl_router *router,
                                  struct sl_router_upstream *upstream)
{
    struct sl_upstream_notice *notice = g_hash_table_lookup(
        router->upstream_notices, &upstream->registration.id);
    upstream->leave_announced_us = 0;
    upstream->leaving_is_local = false;
    if (notice == NULL) {
        return;
    }
    /* The new instance may have asked for back-off before its registration was
     * read. */
    upstream->backoff_until_us = notice->backoff_until_us;
    upstream->limit = notice->limit;
    if (notice->leave_announced_us != 0 &&
        is_newer_instance(notice, &upstream->registration)) {
        notice->leave_announced_us = 0;
    }
    upstream->leave_announced_us = notice->leave_announced_us;
    upstream->leaving_is_local = notice->leave_announced_us != 0;
}

/* ---- leaving ---- */

/* Records and logs that the upstream leaves. `reporter` is the peer that has
 * reported this; NULL: the upstream has announced it to this router. */
static void
set_leaving(struct sl_router *router, struct sl_router_upstream *upstream,
            const struct sl_name *reporter, int64_t announced_us)
{
    SlLogLine_Begin(router, "upstream_leaving");
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Name(router, "service", &upstream->registration.service);
    SlLogLine_Int(router, "draining", upstream->registration.draining);
    if (reporter != NULL) {
        SlLogLine_Name(router, "told_by", reporter);
    }
    SlLogLine_Int(router, "said_ms",
                  (router->now_us - announced_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    upstream->leave_announced_us = announced_us;
    upstream->leaving_is_local = reporter == NULL;
    router->capacity_changed = true;
    router->loads_changed = true;
}

/* Handles an announcement to this router that the upstream leaves. */
static void
on_leaving(struct sl_router *router, struct sl_router_upstream *upstream)
{
    if (upstream->leave_announced_us != 0 && upstream->leaving_is_local) {
        return;
    }
    struct sl_upstream_notice *notice =
        SlUpstreamNotices_GetOrAdd(router, upstream);
    notice->start_wall_ms = upstream->registration.start_wall_ms;
    notice->sequence = upstream->registration.sequence;
    notice->leave_announced_us = router->now_us;
    notice->leave_announced_wall_ms = router->wall_ms;
    set_leaving(router, upstream, NULL, router->now_us);
}

bool
SlUpstreamNotices_IsOfEarlierInstance(
    const struct sl_router *router, const struct sl_router_upstream *upstream,
    int64_t age_us)
{
    if (upstream->registration.start_wall_ms != 0) {
        return upstream->registration.start_wall_ms >
               router->wall_ms - age_us / Sl_US_PER_MS;
    }
    return router->now_us - age_us <= upstream->restarted_us;
}

void
SlUpstreamNotices_OnReportedLeaving(struct sl_router *router,
                                    const struct sl_name *reporter,
                                    struct sl_router_upstream *upstream,
                                    int64_t age_us)
{
    if (upstream->leave_announced_us != 0 ||
        SlUpstreamNotices_IsOfEarlierInstance(router, upstream, age_us)) {
        return;
    }
    set_leaving(router, upstream, reporter, router->now_us - age_us);
}

bool
SlUpstreamNotices_ShouldReportLeaving(
    const struct sl_router *router, const struct sl_router_upstream *upstream)
{
    return upstream->leave_announced_us != 0 && upstream->leaving_is_local &&
           router->now_us - upstream->leave_announced_us <
               Sl_REPORT_LEAVING_US;
}

/* ---- back-off ---- */

bool
SlUpstreamNotices_IsBackingOff(const struct sl_router *router,
                               const struct sl_router_upstream *upstream)
{
    return upstream->backoff_until_us > router->now_us;
}

/* Handles an upstream's request for back-off. */
static void
on_backoff(struct sl_router *router, struct sl_router_upstream *upstream,
           int64_t for_us)
{
    struct sl_upstream_notice *notice =
        SlUpstreamNotices_GetOrAdd(router, upstream);
    if (!SlUpstreamNotices_IsBackingOff(router, upstream)) {
        SlLogLine_Begin(router, "upstream_quiet");
        SlLogLine_Name(router, "upstream", &upstream->registration.id);
        SlLogLine_Int(router, "for_ms", for_us / Sl_US_PER_MS);
        SlLogLine_End(router, Sl_LOG_INFO);
    }
    /* A request for a shorter time does not revoke one for a longer time. */
    notice->backoff_until_us =
        MAX(notice->backoff_until_us, router->now_us + for_us);
    upstream->backoff_until_us = notice->backoff_until_us;
}

static void
log_invalid_retry_after(struct sl_router *router,
                        const struct sl_router_upstream *upstream,
                        const struct sl_response_head *head)
{
    SlLogLine_Begin(router, "retry_after_odd");
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Int(router, "status", head->status);
    SlLogLine_Int(router, "asked_ms", head->retry_after_us / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_WARN);
}

/* ---- responses ---- */

void
SlUpstreamNotices_OnHead(struct sl_router *router,
                         struct sl_router_upstream *upstream,
                         const struct sl_response_head *head)
{
    if (head->wrong_instance) {
        return; /* the response is of another upstream */
    }
    if (head->is_leaving) {
        on_leaving(router, upstream);
    }
    if (head->retry_after_is_invalid ||
        head->retry_after_us > Sl_MAX_BACKOFF_US) {
        log_invalid_retry_after(router, upstream, head);
    }
    bool asks_backoff = head->status == 503 || head->not_executed;
    if (asks_backoff && head->retry_after_us > 0) {
        on_backoff(router, upstream,
                   MIN(head->retry_after_us, Sl_MAX_BACKOFF_US));
    }
}
