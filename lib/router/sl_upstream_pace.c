/* The pace of upstreams: what responses and peers tell of it, and what it does
 * to estimated times. */
#include "sl_pace.h"
#include "sl_router_internal.h"

#include <math.h>

/* Returns the name of the source for operators. */
static const char *
source_name(enum sl_pace_source source)
{
    static const char *const names[] = {
        [Sl_PACE_UNKNOWN] = "unknown",
        [Sl_PACE_STATED] = "stated",
        [Sl_PACE_MEASURED] = "measured",
        [Sl_PACE_REPORTED] = "reported",
    };
    return names[source];
}

double
SlUpstreamPace_Factor(const struct sl_router *router,
                      const struct sl_router_upstream *upstream)
{
    return SlPace_Estimate(upstream->pace, router->now_us).factor;
}

void
SlUpstreamPace_OnHead(struct sl_router *router,
                      struct sl_router_upstream *upstream,
                      const struct sl_response_head *head)
{
    if (head->pace_percent > 0) {
        SlPace_OnStated(upstream->pace, router->now_us, head->pace_percent);
    }
}

bool
SlUpstreamPace_IsLightlyLoaded(const struct sl_router *router,
                               const struct sl_router_upstream *upstream)
{
    return 2 * SlUpstreams_Load(router, upstream) <=
           upstream->registration.slots;
}

int64_t
SlUpstreamPace_UsualUs(const struct sl_upstream_call *call, int64_t took_us)
{
    int64_t percent = call->head.pace_percent;
    if (percent == 0) {
        return took_us;
    }
    double factor = CLAMP((double)percent / 100, Sl_PACE_MIN, Sl_PACE_MAX);
    return (int64_t)((double)took_us / factor);
}

void
SlUpstreamPace_OnMeasured(struct sl_router *router,
                          const struct sl_upstream_call *call,
                          int64_t usual_us, int64_t took_us)
{
    if (call->was_lightly_loaded && !call->was_cold) {
        SlPace_OnMeasured(call->upstream->pace, router->now_us, usual_us,
                          took_us);
    }
}

void
SlUpstreamPace_LearnRun(struct sl_router *router,
                        const struct sl_routed_request *request,
                        int64_t took_us)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    if (call->was_lightly_loaded && !call->was_cold) {
        SlLatency_LearnLightRun(router, &request->service->name,
                                SlUpstreamPace_UsualUs(call, took_us));
    }
}

/* ---- log and dump ---- */

/* Returns an estimate in per cent. */
static int64_t
percent_of(double factor)
{
    return (int64_t)lround(100 * factor);
}

void
SlUpstreamPace_AddToLog(struct sl_router *router,
                        const struct sl_router_upstream *upstream)
{
    struct sl_upstream_pace pace =
        SlPace_Estimate(upstream->pace, router->now_us);
    if (pace.factor != 1) {
        SlLogLine_Int(router, "pace", percent_of(pace.factor));
        SlLogLine_C(router, "pace_source", source_name(pace.source));
        SlLogLine_Int(router, "pace_age_ms", pace.age_us / Sl_US_PER_MS);
    }
}

void
SlUpstreamPace_Dump(const struct sl_router *router,
                    const struct sl_router_upstream *upstream,
                    struct sl_buf *out)
{
    struct sl_upstream_pace pace =
        SlPace_Estimate(upstream->pace, router->now_us);
    if (pace.source != Sl_PACE_UNKNOWN) {
        SlBuf_Printf(out,
                     ",\"pace\":%d,\"pace_source\":\"%s\","
                     "\"pace_doubt\":%d,\"pace_age_ms\":%d",
                     (int)percent_of(pace.factor), source_name(pace.source),
                     (int)percent_of(pace.doubt),
                     (int)(pace.age_us / Sl_US_PER_MS));
    }
}

static void
set_service_metrics(struct sl_router *router, const struct sl_name *service)
{
    const struct sl_name mean = SlName_Of("mean");
    const struct sl_name largest = SlName_Of("largest");
    double sum = 0;
    double most = 0;
    int64_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_upstream *upstream = value;
        if (SlName_Equal(&upstream->registration.service, service)) {
            double factor = SlUpstreamPace_Factor(router, upstream);
            sum += factor;
            most = MAX(most, factor);
            count++;
        }
    }
    SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_UPSTREAM_PACE, service,
                  &mean, count > 0 ? sum / (double)count : 0);
    SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_UPSTREAM_PACE, service,
                  &largest, most);
}

void
SlUpstreamPace_SetMetrics(struct sl_router *router)
{
    for (size_t i = 0; router->routing != NULL &&
                       i < SlRouting_ServiceCount(router->routing);
         i++) {
        set_service_metrics(router,
                            &SlRouting_Service(router->routing, i)->name);
    }
}

/* ---- digests ---- */

/* Adds the report to the digest, instead of the oldest one if it is full. */
static void
add_report(struct sl_gossip_digest *digest,
           const struct sl_gossip_pace *report)
{
    size_t oldest = 0;
    if (digest->pace_count < Sl_GOSSIP_MAX_PACES) {
        digest->paces[digest->pace_count++] = *report;
        return;
    }
    for (size_t i = 1; i < Sl_GOSSIP_MAX_PACES; i++) {
        if (digest->paces[i].age_ms > digest->paces[oldest].age_ms) {
            oldest = i;
        }
    }
    if (report->age_ms < digest->paces[oldest].age_ms) {
        digest->paces[oldest] = *report;
    }
}

void
SlUpstreamPace_AddToDigest(const struct sl_router *router,
                           struct sl_gossip_digest *digest)
{
    GHashTableIter iter;
    gpointer value;
    digest->pace_count = 0;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_upstream *upstream = value;
        struct sl_gossip_pace report = {.upstream = upstream->key};
        if (SlPace_FillReport(upstream->pace, router->now_us, &report)) {
            add_report(digest, &report);
        }
    }
}

void
SlUpstreamPace_OnDigest(struct sl_router *router,
                        const struct sl_gossip_digest *digest)
{
    for (size_t i = 0; i < digest->pace_count; i++) {
        struct sl_gossip_pace report = digest->paces[i];
        struct sl_router_upstream *upstream =
            SlUpstreams_FirstWithKey(router, report.upstream);
        if (upstream == NULL || upstream->next_with_key != NULL) {
            continue; /* unknown here, or it is not known which one */
        }
        /* A relay adds its delay. */
        report.age_ms = (uint32_t)MIN((uint64_t)report.age_ms + digest->age_ms,
                                      UINT32_MAX);
        SlPace_OnReport(upstream->pace, router->now_us, &report);
    }
}
