/* Latency estimates: the prefill time of models, learned from responses of
 * idle upstreams, and the run time of requests. They tell when to expect a
 * first event, and when a full upstream has room again. */
#include "sl_router_internal.h"

/* Estimate for a model without an observation: a small one on a fast
 * accelerator. */
#define Sl_FIRST_OVERHEAD_US (30.0 * (double)Sl_US_PER_MS)
#define Sl_INITIAL_US_PER_TOKEN 20.0
/* Weight of a new observation in the moving averages. */
#define Sl_SAMPLE_WEIGHT 0.1
/* Prompts shorter than SHORT update the overhead, those longer than LONG the
 * time per token. */
#define Sl_SHORT_PROMPT_TOKENS 200
#define Sl_LONG_PROMPT_TOKENS 1000

/* Run time of a service without an observation. */
#define Sl_FIRST_RUN_US (50 * Sl_US_PER_MS)

static struct sl_latency_estimate
estimate_of(const struct sl_router *router, const struct sl_name *model)
{
    const struct sl_latency_estimate *estimate =
        g_hash_table_lookup(router->latency_estimates, model);
    struct sl_latency_estimate first = {Sl_FIRST_OVERHEAD_US,
                                        Sl_INITIAL_US_PER_TOKEN};
    return estimate != NULL ? *estimate : first;
}

int64_t
SlLatency_PrefillUs(const struct sl_router *router,
                    const struct sl_name *model, int64_t uncached)
{
    struct sl_latency_estimate estimate = estimate_of(router, model);
    return (int64_t)(estimate.overhead_us +
                     estimate.us_per_token * (double)uncached);
}

void
SlLatency_LearnPrefill(struct sl_router *router, const struct sl_name *model,
                       int64_t uncached, int64_t took_us)
{
    struct sl_latency_estimate *estimate =
        g_hash_table_lookup(router->latency_estimates, model);
    if (estimate == NULL) {
        struct sl_name *key = g_memdup2(model, sizeof(*model));
        estimate = g_new0(struct sl_latency_estimate, 1);
        estimate->overhead_us = Sl_FIRST_OVERHEAD_US;
        estimate->us_per_token = Sl_INITIAL_US_PER_TOKEN;
        g_hash_table_insert(router->latency_estimates, key, estimate);
    }
    if (uncached < Sl_SHORT_PROMPT_TOKENS) {
        double overhead_us =
            (double)took_us - estimate->us_per_token * (double)uncached;
        estimate->overhead_us +=
            Sl_SAMPLE_WEIGHT * (MAX(overhead_us, 0) - estimate->overhead_us);
    }
    else if (uncached > Sl_LONG_PROMPT_TOKENS) {
        double rate =
            MAX((double)took_us - estimate->overhead_us, 0) / (double)uncached;
        estimate->us_per_token +=
            Sl_SAMPLE_WEIGHT * (rate - estimate->us_per_token);
    }
}

/* ---- means by name ---- */

static int64_t
mean_of(GHashTable *means, const struct sl_name *name, int64_t fallback_us)
{
    const double *mean_us = g_hash_table_lookup(means, name);
    return mean_us == NULL ? fallback_us : (int64_t)*mean_us;
}

static void
learn_mean(GHashTable *means, const struct sl_name *name, int64_t took_us)
{
    double *mean_us = g_hash_table_lookup(means, name);
    if (mean_us == NULL) {
        mean_us = g_new0(double, 1);
        *mean_us = (double)took_us;
        g_hash_table_insert(means, g_memdup2(name, sizeof(*name)), mean_us);
    }
    *mean_us += Sl_SAMPLE_WEIGHT * ((double)took_us - *mean_us);
}

int64_t
SlLatency_MeanRunUs(const struct sl_router *router,
                    const struct sl_name *service)
{
    return mean_of(router->mean_run_us, service, Sl_FIRST_RUN_US);
}

void
SlLatency_LearnRun(struct sl_router *router, const struct sl_name *service,
                   int64_t took_us)
{
    learn_mean(router->mean_run_us, service, took_us);
}

int64_t
SlLatency_RouteHeadUs(const struct sl_router *router,
                      const struct sl_name *route)
{
    return mean_of(router->mean_route_head_us, route, 0);
}

void
SlLatency_LearnRouteHead(struct sl_router *router, const struct sl_name *route,
                         int64_t took_us)
{
    learn_mean(router->mean_route_head_us, route, took_us);
}
