/*
 * Finds out which engines have ended, as opposed to single connections that
 * broke.
 *
 * A call that breaks leads to a health check of its engine. The engine has
 * ended if it cannot be reached, if another upstream answers at its address,
 * or if it registers as a new instance. The first of these proves nothing
 * until anything else is heard: it may be this VM that is cut off.
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
/* Time after an end in which further calls that break belong to it. */
#define Sl_SAME_END_US (2 * Sl_US_PER_S)

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
        .broken_us = router->now_us,
        .has_begun = call->has_begun,
    };
    g_array_append_val(router->broken_calls, broken);
    SlStallMonitor_CheckUpstream(router, call->upstream);
}

void
SlEngineEnds_OnGone(struct sl_router *router,
                    const struct sl_router_upstream *upstream)
{
    for (guint i = 0; i < router->broken_calls->len; i++) {
        struct sl_broken_call *call = broken_call_at(router, i);
        if (SlName_Equal(&call->upstream, &upstream->registration.id)) {
            call->is_upstream_gone = true;
        }
    }
}

/* The end of an engine, as this router saw it. */
struct sl_engine_end {
    struct sl_name upstream;
    struct sl_name service;
    int64_t at_us;
    int64_t begun_count;   /* calls that broke after their response had begun
                              to go on */
    int64_t unbegun_count; /* others that broke */
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
        end->unbegun_count++;
    }
}

/* Removes the calls that broke at the same upstream as `last`, the newest of
 * them, and returns the end that they belong to. */
static struct sl_engine_end
take_end(struct sl_router *router, const struct sl_broken_call *last)
{
    struct sl_engine_end end = {
        .upstream = last->upstream,
        .service = last->service,
        .at_us = last->broken_us,
    };
    for (guint i = router->broken_calls->len; i > 0; i--) {
        const struct sl_broken_call *call = broken_call_at(router, i - 1);
        if (SlName_Equal(&call->upstream, &end.upstream)) {
            add_to_end(&end, call);
            g_array_remove_index(router->broken_calls, i - 1);
        }
    }
    return end;
}

static void
on_end(struct sl_router *router, const struct sl_engine_end *end)
{
    SlLogLine_Begin(router, "upstream_ended");
    SlLogLine_Name(router, "upstream", &end->upstream);
    SlLogLine_Name(router, "service", &end->service);
    SlLogLine_Int(router, "begun", end->begun_count);
    SlLogLine_Int(router, "unbegun", end->unbegun_count);
    SlLogLine_Int(router, "ended_ms",
                  (router->now_us - end->at_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouterMetrics_OnEngineEnded(router, &end->service);
}

void
SlEngineEnds_Update(struct sl_router *router)
{
    for (guint i = router->broken_calls->len; i > 0; i--) {
        if (i > router->broken_calls->len) {
            continue; /* removed with an end that was found before */
        }
        const struct sl_broken_call *call = broken_call_at(router, i - 1);
        if (call->is_upstream_gone &&
            router->last_bytes_us > call->broken_us) {
            struct sl_broken_call last = *call;
            struct sl_engine_end end = take_end(router, &last);
            on_end(router, &end);
        }
        else if (router->now_us - call->broken_us >
                 Sl_BROKEN_CALL_LIFETIME_US) {
            g_array_remove_index(router->broken_calls, i - 1);
        }
    }
}
