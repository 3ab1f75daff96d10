/*
 * Finds out which engines have ended, as opposed to single connections that
 * broke.
 *
 * A call that breaks leads to a health check of its engine. The engine has
 * ended if the check fails, if another upstream answers at its address, or if
 * it registers as a new instance. A check that fails proves nothing while this
 * router has other calls there that go on: the engine may refuse further
 * connections. Nor does it if nothing else is heard soon after: it may be this
 * VM that is cut off.
 */
#include "sl_router_internal.h"

/* Broken calls that are kept at most, the newest ones. */
#define Sl_MAX_BROKEN_CALLS 256
/* Time for which a broken call is kept until its engine is known to have
 * ended. */
#define Sl_BROKEN_CALL_LIFETIME_US (10 * Sl_US_PER_S)
/* Largest difference between the times at which calls break when their engine
 * ends. A router that is busy learns of them one after the other. */
#define Sl_END_SPREAD_US (500 * Sl_US_PER_MS)
/* Age of a failed check after which it is repeated before it counts. */
#define Sl_MAX_CHECK_AGE_US (250 * Sl_US_PER_MS)

static struct sl_broken_call *
broken_call_at(const struct sl_router *router, guint index)
{
    return &g_array_index(router->broken_calls, struct sl_broken_call, index);
}

void
SlEngineEnds_OnCallBroken(struct sl_router *router,
                          const struct sl_routed_request *request)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    if (!request->service->is_engine) {
        return;
    }
    if (router->broken_calls->len == Sl_MAX_BROKEN_CALLS) {
        g_array_remove_index(router->broken_calls, 0);
    }
    struct sl_broken_call broken = {
        .upstream = call->upstream->registration.id,
        .service = request->service->name,
        .prompt = request->prompt,
        .broken_us = router->now_us,
        .has_head = call->has_head,
        .has_begun = call->has_begun,
    };
    g_array_append_val(router->broken_calls, broken);
    SlStallMonitor_CheckUpstream(router, call->upstream);
}

void
SlEngineEnds_OnUnreachable(struct sl_router *router,
                           const struct sl_router_upstream *upstream)
{
    for (guint i = 0; i < router->broken_calls->len; i++) {
        struct sl_broken_call *call = broken_call_at(router, i);
        if (SlName_Equal(&call->upstream, &upstream->registration.id)) {
            call->unreachable_us = router->now_us;
        }
    }
}

void
SlEngineEnds_OnReplaced(struct sl_router *router,
                        const struct sl_router_upstream *upstream)
{
    for (guint i = 0; i < router->broken_calls->len; i++) {
        struct sl_broken_call *call = broken_call_at(router, i);
        if (SlName_Equal(&call->upstream, &upstream->registration.id)) {
            call->is_replaced = true;
        }
    }
}

/* The end of an engine, as this router saw it. */
struct sl_engine_end {
    struct sl_name upstream;
    struct sl_name service;
    int64_t at_us;
    size_t begun_count; /* calls that broke after they had begun */
    size_t unbegun_count;
    struct sl_unbegun_call unbegun[Sl_MAX_BROKEN_CALLS]; /* the others */
};

/* Adds a broken call to the end if it broke at the same time. */
static void
add_to_end(struct sl_engine_end *end, const struct sl_broken_call *call)
{
    if (end->at_us - call->broken_us > Sl_END_SPREAD_US) {
        return;
    }
    if (call->has_begun) {
        end->begun_count++;
    }
    else {
        end->unbegun[end->unbegun_count++] =
            (struct sl_unbegun_call){call->prompt, call->has_head};
    }
}

/* Removes the calls that broke at the same upstream as `last`, the newest of
 * them, and sets `end` to the end that they belong to. */
static void
take_end(struct sl_router *router, const struct sl_broken_call *last,
         struct sl_engine_end *end)
{
    end->upstream = last->upstream;
    end->service = last->service;
    end->at_us = last->broken_us;
    end->begun_count = 0;
    end->unbegun_count = 0;
    for (guint i = router->broken_calls->len; i > 0; i--) {
        const struct sl_broken_call *call = broken_call_at(router, i - 1);
        if (SlName_Equal(&call->upstream, &end->upstream)) {
            add_to_end(end, call);
            g_array_remove_index(router->broken_calls, i - 1);
        }
    }
}

static void
on_end(struct sl_router *router, const struct sl_engine_end *end)
{
    SlLogLine_Begin(router, "upstream_ended");
    SlLogLine_Name(router, "upstream", &end->upstream);
    SlLogLine_Name(router, "service", &end->service);
    SlLogLine_Int(router, "begun", (int64_t)end->begun_count);
    SlLogLine_Int(router, "unbegun", (int64_t)end->unbegun_count);
    SlLogLine_Int(router, "ended_ms",
                  (router->now_us - end->at_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouterMetrics_OnEngineEnded(router, &end->service);
    SlKeptParts_OnEnded(router, &end->upstream);
    SlPromptGuard_OnEnd(router, &end->upstream, &end->service, end->at_us,
                        end->unbegun, end->unbegun_count);
}

/* Returns true if the upstream has sent bytes since, or other calls of this
 * router there may still go on: connections break at once when a process ends,
 * unless they are silent. */
static bool
may_go_on(const struct sl_router *router,
          const struct sl_router_upstream *upstream,
          const struct sl_broken_call *call)
{
    return upstream != NULL &&
           (upstream->last_bytes_us > call->broken_us ||
            (upstream->in_flight > 0 &&
             router->now_us - call->broken_us < Sl_END_SPREAD_US));
}

/* Returns true if the call's upstream is known to have ended. */
static bool
is_certain(const struct sl_router *router, const struct sl_broken_call *call)
{
    const struct sl_router_upstream *upstream =
        g_hash_table_lookup(router->upstreams, &call->upstream);
    return call->is_replaced ||
           (call->unreachable_us != 0 &&
            router->last_bytes_us > call->unreachable_us &&
            !may_go_on(router, upstream, call));
}

/* Repeats the health check of an upstream that failed when nothing was heard
 * for a while. */
static void
repeat_old_check(struct sl_router *router, guint index)
{
    struct sl_broken_call *call = broken_call_at(router, index);
    struct sl_router_upstream *upstream =
        g_hash_table_lookup(router->upstreams, &call->upstream);
    if (call->unreachable_us != 0 && upstream != NULL &&
        router->last_bytes_us > call->unreachable_us &&
        router->now_us - call->unreachable_us > Sl_MAX_CHECK_AGE_US) {
        call->unreachable_us = 0;
        SlStallMonitor_CheckUpstream(router, upstream);
    }
}

void
SlEngineEnds_Update(struct sl_router *router)
{
    guint i = router->broken_calls->len;
    while (i > 0) {
        repeat_old_check(router, i - 1);
        struct sl_broken_call call = *broken_call_at(router, i - 1);
        if (is_certain(router, &call)) {
            struct sl_engine_end end;
            take_end(router, &call, &end);
            on_end(router, &end);
        }
        else if (router->now_us - call.broken_us >
                 Sl_BROKEN_CALL_LIFETIME_US) {
            g_array_remove_index(router->broken_calls, i - 1);
        }
        i = MIN(i - 1, router->broken_calls->len);
    }
}

bool
SlEngineEnds_IsUndecided(const struct sl_router *router,
                         const struct sl_name *upstream)
{
    const struct sl_router_upstream *known =
        g_hash_table_lookup(router->upstreams, upstream);
    for (guint i = 0; i < router->broken_calls->len; i++) {
        const struct sl_broken_call *call = broken_call_at(router, i);
        if (SlName_Equal(&call->upstream, upstream)) {
            return call->unreachable_us != 0 ||
                   (known != NULL && known->health_check.token != 0);
        }
    }
    return false;
}
