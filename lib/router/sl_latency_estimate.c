/* Latency estimates: the prefill time of models, learned from responses of
 * idle upstreams; the run time of requests; and the time to the head of
 * responses. They tell when to expect a response, when a full upstream has
 * room again, and whether a response is slow. */
#include "sl_router_internal.h"

#include <math.h>

/* Initial estimates for a model are those of a small model on a fast
 * accelerator. The overhead is the part of the time to the head of a response
 * that does not depend on the prompt's length. */
#define Sl_INITIAL_OVERHEAD_US (30.0 * (double)Sl_US_PER_MS)
/* Prefill time per prompt token that is not in the prefix cache. */
#define Sl_INITIAL_US_PER_TOKEN 20.0
/* Weight of a new observation in the moving averages. */
#define Sl_SAMPLE_WEIGHT 0.1
/* Prompts with fewer uncached tokens update the overhead. */
#define Sl_SHORT_PROMPT_TOKENS 200
/* Prompts with more uncached tokens update the time per token. */
#define Sl_LONG_PROMPT_TOKENS 1000
/* Prompts with more uncached tokens update the time per pair of tokens, once
 * the time per token is known from shorter ones. */
#define Sl_HUGE_PROMPT_TOKENS 12000
/* Number of these from which on it is known. */
#define Sl_MIN_TOKEN_TIMES 10
/* Number of uncached tokens at which the pairs take as long as the tokens, at
 * least: a bound of the time per pair. */
#define Sl_EQUAL_PAIRS_TOKENS 20000
/* Comparisons of estimated with actual times from which on estimates are
 * corrected. */
#define Sl_MIN_RATIOS 10
/* Mean deviations by which the first event may be late. */
#define Sl_MARGIN_DEVIATIONS 2.0
/* Bounds of one comparison. */
#define Sl_MIN_RATIO 0.2
#define Sl_MAX_RATIO 4.0

/* Run time of requests to a service without an observation. */
#define Sl_INITIAL_RUN_US (50 * Sl_US_PER_MS)

static struct sl_latency_estimate
estimate_of(const struct sl_router *router, const struct sl_name *model)
{
    const struct sl_latency_estimate *estimate =
        g_hash_table_lookup(router->latency_estimates, model);
    struct sl_latency_estimate initial = {
        .overhead_us = Sl_INITIAL_OVERHEAD_US,
        .us_per_token = Sl_INITIAL_US_PER_TOKEN,
    };
    return estimate != NULL ? *estimate : initial;
}

static double
prefill_us(const struct sl_latency_estimate *estimate, double tokens)
{
    return estimate->us_per_token * tokens +
           estimate->us_per_pair * tokens * tokens;
}

int64_t
SlLatency_PrefillUs(const struct sl_router *router,
                    const struct sl_name *model, int64_t uncached_tokens)
{
    struct sl_latency_estimate estimate = estimate_of(router, model);
    return (int64_t)(estimate.overhead_us +
                     prefill_us(&estimate, (double)uncached_tokens));
}

static struct sl_latency_estimate *
get_or_add_estimate(struct sl_router *router, const struct sl_name *model)
{
    struct sl_latency_estimate *estimate =
        g_hash_table_lookup(router->latency_estimates, model);
    if (estimate == NULL) {
        estimate = g_new0(struct sl_latency_estimate, 1);
        *estimate = estimate_of(router, model);
        g_hash_table_insert(router->latency_estimates,
                            g_memdup2(model, sizeof(*model)), estimate);
    }
    return estimate;
}

static void
update_average(double *average, double observed)
{
    *average += Sl_SAMPLE_WEIGHT * (observed - *average);
}

void
SlLatency_LearnPrefill(struct sl_router *router, const struct sl_name *model,
                       int64_t uncached_tokens, int64_t took_us)
{
    struct sl_latency_estimate *estimate = get_or_add_estimate(router, model);
    double tokens = (double)uncached_tokens;
    double read_us = (double)took_us - estimate->overhead_us;
    if (uncached_tokens < Sl_SHORT_PROMPT_TOKENS) {
        double overhead_us = (double)took_us - prefill_us(estimate, tokens);
        update_average(&estimate->overhead_us, MAX(overhead_us, 0));
    }
    else if (uncached_tokens > Sl_HUGE_PROMPT_TOKENS &&
             estimate->token_count == Sl_MIN_TOKEN_TIMES) {
        double pairs_us = read_us - estimate->us_per_token * tokens;
        double largest = estimate->us_per_token / Sl_EQUAL_PAIRS_TOKENS;
        update_average(&estimate->us_per_pair,
                       CLAMP(pairs_us / (tokens * tokens), 0, largest));
    }
    else if (uncached_tokens > Sl_LONG_PROMPT_TOKENS) {
        double pairs_us = estimate->us_per_pair * tokens * tokens;
        if (uncached_tokens <= Sl_HUGE_PROMPT_TOKENS &&
            estimate->token_count < Sl_MIN_TOKEN_TIMES) {
            estimate->token_count++;
        }
        update_average(&estimate->us_per_token,
                       MAX(read_us - pairs_us, 0) / tokens);
    }
}

void
SlLatency_LearnFirstEvent(struct sl_router *router,
                          const struct sl_name *model, int64_t uncached_tokens,
                          int64_t estimated_us, int64_t took_us)
{
    if (uncached_tokens <= Sl_LONG_PROMPT_TOKENS || estimated_us <= 0) {
        return;
    }
    struct sl_latency_estimate *estimate = get_or_add_estimate(router, model);
    double ratio = CLAMP((double)took_us / (double)estimated_us, Sl_MIN_RATIO,
                         Sl_MAX_RATIO);
    /* A mean of the first ones, then a moving average. */
    unsigned count = MIN(estimate->ratio_count + 1, Sl_MIN_RATIOS);
    estimate->first_event_ratio +=
        (ratio - estimate->first_event_ratio) / (double)count;
    estimate->ratio_deviation += (fabs(ratio - estimate->first_event_ratio) -
                                  estimate->ratio_deviation) /
                                 (double)count;
    estimate->ratio_count = count;
}

int64_t
SlLatency_FirstEventUs(const struct sl_router *router,
                       const struct sl_name *model, int64_t estimated_us,
                       int64_t *margin_us)
{
    struct sl_latency_estimate estimate = estimate_of(router, model);
    if (estimate.ratio_count < Sl_MIN_RATIOS) {
        *margin_us = Sl_NEVER_US;
        return estimated_us;
    }
    *margin_us = (int64_t)(Sl_MARGIN_DEVIATIONS * estimate.ratio_deviation *
                           (double)estimated_us);
    /* An estimate is never raised: a model that is thought to be late gets no
     * requests whose times would correct that. */
    return (int64_t)(MIN(estimate.first_event_ratio, 1) *
                     (double)estimated_us);
}

/* ---- moving averages by name of a service or route ---- */

/* Returns the average, or `initial_us` if there was no observation. */
static int64_t
mean_us_of(GHashTable *means, const struct sl_name *name, int64_t initial_us)
{
    const double *mean_us = g_hash_table_lookup(means, name);
    return mean_us == NULL ? initial_us : (int64_t)*mean_us;
}

static void
update_mean(GHashTable *means, const struct sl_name *name, int64_t took_us)
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
    return mean_us_of(router->mean_run_us, service, Sl_INITIAL_RUN_US);
}

void
SlLatency_LearnRun(struct sl_router *router, const struct sl_name *service,
                   int64_t took_us)
{
    update_mean(router->mean_run_us, service, took_us);
}

int64_t
SlLatency_LightRunUs(const struct sl_router *router,
                     const struct sl_name *service)
{
    return mean_us_of(router->light_run_us, service, Sl_INITIAL_RUN_US);
}

void
SlLatency_LearnLightRun(struct sl_router *router,
                        const struct sl_name *service, int64_t took_us)
{
    update_mean(router->light_run_us, service, took_us);
}

int64_t
SlLatency_RouteHeadUs(const struct sl_router *router,
                      const struct sl_name *route)
{
    return mean_us_of(router->mean_route_head_us, route, 0);
}

void
SlLatency_LearnRouteHead(struct sl_router *router, const struct sl_name *route,
                         int64_t took_us)
{
    update_mean(router->mean_route_head_us, route, took_us);
}
