/*
 * Model cascade: the smallest of a route's models responds first. If the
 * confidence of its response is low, the request is escalated to a larger
 * model. Small models answer most requests well enough, and the prefill of the
 * largest takes several times as long. If the larger model's response may be
 * late, as estimates go, less confidence is accepted, so that an upstream with
 * a prefill backlog does not get more work whose responses would be late.
 *
 * The confidence to expect of a larger model is learned from pairs of
 * responses to the same request, by bins of the smaller model's confidence.
 * The next model is the smallest one that is expected to be confident enough.
 * The response of the largest model is always accepted.
 */
#include "sl_router_internal.h"

/* Least confidence, of 0 to 100, of a first response that is accepted; see the
 * table in docs/design/router-choices.md. */
#define Sl_MIN_FIRST_CONFIDENCE 55
/* Least confidence of a second response that is accepted. It is lower, as a
 * third run costs more than it gains. */
#define Sl_MIN_SECOND_CONFIDENCE 40
/* Bounds of the share of the latency objective that must be left when the
 * larger model's response is expected to begin. Between them it follows from
 * the error of earlier estimates; while that is not known, it is the largest.
 * With less left, the two thresholds fall in proportion. */
#define Sl_MIN_SLACK_SHARE 0.05
#define Sl_MAX_SLACK_SHARE 0.3
/* Expected gain in confidence from a larger model, until it is learned. */
#define Sl_INITIAL_CONFIDENCE_GAIN 10.0
/* Weight of a new pair of responses in the moving average of the gain. */
#define Sl_GAIN_WEIGHT 0.05

struct sl_confidence_gain *
SlModelCascade_NewGain(void)
{
    struct sl_confidence_gain *gain = g_new0(struct sl_confidence_gain, 1);
    for (size_t i = 0; i < Sl_CONFIDENCE_BINS; i++) {
        gain->bins[i] = Sl_INITIAL_CONFIDENCE_GAIN;
    }
    return gain;
}

/* Returns the expected gain from the first model to the second one. Adds the
 * initial gain if the pair is new. */
static struct sl_confidence_gain *
get_or_add_gain(struct sl_router *router, const struct sl_name *first,
                const struct sl_name *second)
{
    char key[2 * Sl_NAME_MAX_BYTES + 2];
    /* A name can hold a space, but no line break. */
    g_snprintf(key, sizeof(key), "%s\n%s", first->text, second->text);
    struct sl_confidence_gain *gain =
        g_hash_table_lookup(router->confidence_gains, key);
    if (gain == NULL) {
        gain = SlModelCascade_NewGain();
        g_hash_table_insert(router->confidence_gains, g_strdup(key), gain);
    }
    return gain;
}

static size_t
bin_of(int confidence)
{
    return MIN((size_t)confidence * Sl_CONFIDENCE_BINS / 100,
               (size_t)Sl_CONFIDENCE_BINS - 1);
}

size_t
SlModelCascade_Next(struct sl_router *router,
                    const struct sl_routed_request *request, int confidence)
{
    const struct sl_route *route = request->route;
    size_t last = route->model_count - 1;
    if (request->escalated_confidence >= 0) {
        return last; /* escalated before: at most one more attempt is left */
    }
    for (size_t next = request->model + 1; next < last; next++) {
        const struct sl_confidence_gain *gain = get_or_add_gain(
            router, &route->models[request->model], &route->models[next]);
        if (confidence + gain->bins[bin_of(confidence)] >=
            Sl_MIN_FIRST_CONFIDENCE) {
            return next;
        }
    }
    return last;
}

/* Returns the share of the thresholds that holds for the request: 1 if the
 * response of the model at index `model` is expected in time, or there is no
 * objective; 0 if it would be late, or no upstream can take the request now.
 */
static double
threshold_share(struct sl_router *router,
                const struct sl_routed_request *request, size_t model)
{
    int64_t target_latency_us = request->route->target_latency_us;
    struct sl_routed_request next = *request;
    next.model = model;
    next.upstream_call.upstream = NULL; /* may be chosen again, at no cost */
    struct sl_placement placement = SlPlacement_Choose(router, &next);
    if (target_latency_us <= 0) {
        return 1;
    }
    if (placement.upstream == NULL) {
        return 0;
    }
    int64_t margin_us = Sl_NEVER_US;
    int64_t first_event_us = placement.first_event_us;
    if (SlUpstreams_PrefillBacklogUs(router, placement.upstream) == 0) {
        first_event_us =
            SlLatency_FirstEventUs(router, &request->route->models[model],
                                   first_event_us, &margin_us);
    }
    int64_t begins_us = router->now_us + first_event_us;
    double target_us = (double)target_latency_us;
    double slack =
        (double)(request->arrived_us + target_latency_us - begins_us) /
        target_us;
    return CLAMP(slack / CLAMP((double)margin_us / target_us,
                               Sl_MIN_SLACK_SHARE, Sl_MAX_SLACK_SHARE),
                 0, 1);
}

bool
SlModelCascade_Accepts(struct sl_router *router,
                       const struct sl_routed_request *request, int confidence)
{
    bool is_first = request->escalated_confidence < 0;
    double threshold =
        is_first ? Sl_MIN_FIRST_CONFIDENCE : Sl_MIN_SECOND_CONFIDENCE;
    if (confidence < 0 || /* not given */
        confidence >= threshold) {
        return true;
    }
    size_t next = SlModelCascade_Next(router, request, confidence);
    return confidence >= threshold * threshold_share(router, request, next);
}

void
SlModelCascade_Learn(struct sl_router *router,
                     const struct sl_routed_request *request, int confidence)
{
    if (request->escalated_confidence < 0 || confidence < 0) {
        return;
    }
    struct sl_confidence_gain *gain = get_or_add_gain(
        router, &request->route->models[request->escalated_model],
        &request->route->models[request->model]);
    double *bin = &gain->bins[bin_of(request->escalated_confidence)];
    double observed = confidence - request->escalated_confidence;
    *bin += Sl_GAIN_WEIGHT * (observed - *bin);
}
