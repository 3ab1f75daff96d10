/*
 * What upstreams ask for in their answers: to get nothing new, as they leave,
 * or nothing for a time. Answers stores that do not know of it yet, or cannot
 * be asked: what an upstream has said itself goes before its registration, and
 * is kept when that goes, as an old entry may come back with a store that was
 * away. Only a newer start takes a leaving back.
 *
 * Peers are told of leaving for a while, with the age of the answer: they
 * leave the upstream alone, too, unless they know of a start since then. Quiet
 * is wanted from one router, so nobody is told of it.
 */
#include "sl_router_internal.h"

/* Peers are told for so long: those that start meanwhile, too, while the store
 * may still list the upstream. */
#define Sl_LEFT_TOLD_US (60 * Sl_US_PER_S)
/* What upstreams have said is kept for so long: beyond the time that any of
 * them serves on, and any store is away. */
#define Sl_WISH_KEPT_US (600 * Sl_US_PER_S)
/* Longest quiet that an upstream is believed to want; one that asks for more
 * has a fault of its own. */
#define Sl_MAX_QUIET_US Sl_WISH_KEPT_US

/* ---- what was said ---- */

static struct sl_upstream_notice *
wish_of(struct sl_router *router, const struct sl_upstream *upstream)
{
    struct sl_upstream_notice *wish =
        g_hash_table_lookup(router->upstream_notices, &upstream->reg.id);
    if (wish == NULL) {
        wish = g_new0(struct sl_upstream_notice, 1);
        wish->id = upstream->reg.id;
        g_hash_table_insert(router->upstream_notices, &wish->id, wish);
    }
    return wish;
}

/* The answer may have come from a start whose registration was not read yet:
 * only one that was born after the answer is newer. */
static bool
is_newer_start(const struct sl_upstream_notice *wish,
               const struct sl_registration *reg)
{
    if (reg->start_wall_ms != 0 && wish->start_wall_ms != 0) {
        return reg->start_wall_ms != wish->start_wall_ms &&
               reg->start_wall_ms > wish->left_wall_ms;
    }
    return reg->sequence < wish->sequence;
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    const struct sl_router *router = data;
    const struct sl_upstream_notice *wish = value;
    (void)key;
    return router->now_us - wish->left_us > Sl_WISH_KEPT_US &&
           router->now_us > wish->backoff_until_us &&
           !g_hash_table_contains(router->upstreams, &wish->id);
}

void
SlUpstreamNotices_Sweep(struct sl_router *router)
{
    g_hash_table_foreach_remove(router->upstream_notices, is_forgotten,
                                router);
}

void
SlUpstreamNotices_OnUpstreamStart(struct sl_router *router,
                                  struct sl_upstream *upstream)
{
    struct sl_upstream_notice *wish =
        g_hash_table_lookup(router->upstream_notices, &upstream->reg.id);
    upstream->left_us = 0;
    upstream->leaving_is_local = false;
    if (wish == NULL) {
        return;
    }
    /* The new start may have asked for it before its registration was read. */
    upstream->backoff_until_us = wish->backoff_until_us;
    if (wish->left_us != 0 && is_newer_start(wish, &upstream->reg)) {
        wish->left_us = 0;
    }
    upstream->left_us = wish->left_us;
    upstream->leaving_is_local = wish->left_us != 0;
}

/* ---- leaving ---- */

static void
leave(struct sl_router *router, struct sl_upstream *upstream,
      const struct sl_name *reporter, int64_t said_us)
{
    SlLogLine_Begin(router, "upstream_leaving");
    SlLogLine_Name(router, "upstream", &upstream->reg.id);
    SlLogLine_Name(router, "service", &upstream->reg.service);
    SlLogLine_Int(router, "draining", upstream->reg.draining);
    if (reporter != NULL) {
        SlLogLine_Name(router, "told_by", reporter);
    }
    SlLogLine_Int(router, "said_ms",
                  (router->now_us - said_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    upstream->left_us = said_us;
    upstream->leaving_is_local = reporter == NULL;
    router->capacity_changed = true;
    router->loads_changed = true;
}

static void
on_leaving(struct sl_router *router, struct sl_upstream *upstream)
{
    if (upstream->left_us != 0 && upstream->leaving_is_local) {
        return;
    }
    struct sl_upstream_notice *wish = wish_of(router, upstream);
    wish->start_wall_ms = upstream->reg.start_wall_ms;
    wish->sequence = upstream->reg.sequence;
    wish->left_us = router->now_us;
    wish->left_wall_ms = router->wall_ms;
    leave(router, upstream, NULL, router->now_us);
}

/* Was something that old said by a start before the present one? This router
 * may have started later than either. */
static bool
is_of_earlier_start(const struct sl_router *router,
                    const struct sl_upstream *upstream, int64_t age_us)
{
    if (upstream->reg.start_wall_ms != 0) {
        return upstream->reg.start_wall_ms >
               router->wall_ms - age_us / Sl_US_PER_MS;
    }
    return router->now_us - age_us <= upstream->restarted_us;
}

void
SlUpstreamNotices_OnReportedLeaving(struct sl_router *router,
                                    const struct sl_name *reporter,
                                    struct sl_upstream *upstream,
                                    int64_t age_us)
{
    if (upstream->left_us != 0 ||
        is_of_earlier_start(router, upstream, age_us)) {
        return;
    }
    leave(router, upstream, reporter, router->now_us - age_us);
}

bool
SlUpstreamNotices_ShouldReportLeaving(const struct sl_router *router,
                                      const struct sl_upstream *upstream)
{
    return upstream->left_us != 0 && upstream->leaving_is_local &&
           router->now_us - upstream->left_us < Sl_LEFT_TOLD_US;
}

/* ---- quiet ---- */

bool
SlUpstreamNotices_IsBackingOff(const struct sl_router *router,
                               const struct sl_upstream *upstream)
{
    return upstream->backoff_until_us > router->now_us;
}

static void
on_quiet(struct sl_router *router, struct sl_upstream *upstream,
         int64_t for_us)
{
    struct sl_upstream_notice *wish = wish_of(router, upstream);
    if (!SlUpstreamNotices_IsBackingOff(router, upstream)) {
        SlLogLine_Begin(router, "upstream_quiet");
        SlLogLine_Name(router, "upstream", &upstream->reg.id);
        SlLogLine_Int(router, "for_ms", for_us / Sl_US_PER_MS);
        SlLogLine_End(router, Sl_LOG_INFO);
    }
    /* A shorter time after a longer one takes nothing back. */
    wish->backoff_until_us =
        MAX(wish->backoff_until_us, router->now_us + for_us);
    upstream->backoff_until_us = wish->backoff_until_us;
}

static void
log_odd(struct sl_router *router, const struct sl_upstream *upstream,
        const struct sl_response_head *head)
{
    SlLogLine_Begin(router, "retry_after_odd");
    SlLogLine_Name(router, "upstream", &upstream->reg.id);
    SlLogLine_Int(router, "status", head->status);
    SlLogLine_Int(router, "asked_ms", head->retry_after_us / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_WARN);
}

/* ---- answers ---- */

void
SlUpstreamNotices_OnHead(struct sl_router *router,
                         struct sl_upstream *upstream,
                         const struct sl_response_head *head)
{
    if (head->wrong_instance) {
        return; /* another one speaks */
    }
    if (head->is_leaving) {
        on_leaving(router, upstream);
    }
    if (head->retry_after_is_invalid ||
        head->retry_after_us > Sl_MAX_QUIET_US) {
        log_odd(router, upstream, head);
    }
    bool is_asked = head->status == 503 || head->not_executed;
    if (is_asked && head->retry_after_us > 0) {
        on_quiet(router, upstream, MIN(head->retry_after_us, Sl_MAX_QUIET_US));
    }
}
