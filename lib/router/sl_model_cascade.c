/*
 * Which of a route's models answers: the smallest first, and a larger one
 * when its confidence in the answer is low. Answers requests of unlike
 * difficulty, of which small models answer most, and load: the largest model
 * reads a prompt several times as long as the others. The less time is left
 * for its answer, the less sure the smaller model has to be: an upstream that
 * is behind with prompts does not get further behind with answers that would
 * come late.
 *
 * How sure a larger model will be is learned from pairs of answers to the same
 * request, by steps of the smaller one's confidence. The next model is the
 * smallest that is expected to be sure enough; the largest has the last word.
 */
#include "sl_router_internal.h"

/* An answer is passed on from this confidence on; see the table in
 * docs/design/router-choices.md. */
#define Sl_ACCEPT_CONFIDENCE 55
/* A second answer is passed on from here: a third run costs more than the
 * doubt. */
#define Sl_ACCEPT_SECOND 40
/* With this part of the latency objective left, an answer must be as sure as
 * that; with less, in proportion less. */
#define Sl_FULL_SLACK 0.3
/* Until it is learned, the next model is this much surer. */
#define Sl_FIRST_GAIN 10.0
/* Weight of one new pair. */
#define Sl_GAIN_WEIGHT 0.05

struct sl_confidence_gain *
SlModelCascade_NewGain(void)
{
    struct sl_confidence_gain *gain = g_new0(struct sl_confidence_gain, 1);
    for (size_t i = 0; i < Sl_CONFIDENCE_BINS; i++) {
        gain->bins[i] = Sl_FIRST_GAIN;
    }
    return gain;
}

/* What is known of the second model's gain over the first. */
static struct sl_confidence_gain *
gain_of(struct sl_router *router, const struct sl_name *first,
        const struct sl_name *second)
{
    char key[2 * Sl_NAME_MAX_BYTES + 2];
    g_snprintf(key, sizeof(key), "%s %s", first->text, second->text);
    struct sl_confidence_gain *gain =
        g_hash_table_lookup(router->confidence_gains, key);
    if (gain == NULL) {
        gain = SlModelCascade_NewGain();
        g_hash_table_insert(router->confidence_gains, g_strdup(key), gain);
    }
    return gain;
}

static size_t
step_of(int confidence)
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
        return last; /* one more attempt is left at most */
    }
    for (size_t next = request->model + 1; next < last; next++) {
        const struct sl_confidence_gain *gain = gain_of(
            router, &route->models[request->model], &route->models[next]);
        if (confidence + gain->bins[step_of(confidence)] >=
            Sl_ACCEPT_CONFIDENCE) {
            return next;
        }
    }
    return last;
}

/* Part of the route's objective that would be left when an answer of the model
 * begins; negative when it would come late. */
static double
slack_of(struct sl_router *router, const struct sl_routed_request *request,
         size_t model)
{
    int64_t target_us = request->route->target_us;
    struct sl_routed_request next = *request;
    next.model = model;
    next.upstream_call.upstream = NULL; /* it may be asked again */
    struct sl_placement choice = SlPlacement_Choose(router, &next);
    if (target_us <= 0) {
        return 1;
    }
    if (choice.upstream == NULL) {
        return 0;
    }
    int64_t begins_us = router->now_us + choice.first_us;
    return (double)(request->arrived_us + target_us - begins_us) /
           (double)target_us;
}

bool
SlModelCascade_Accepts(struct sl_router *router,
                       const struct sl_routed_request *request, int confidence)
{
    bool is_first = request->escalated_confidence < 0;
    double wanted = is_first ? Sl_ACCEPT_CONFIDENCE : Sl_ACCEPT_SECOND;
    if (confidence < 0 || /* it says nothing */
        confidence >= wanted) {
        return true;
    }
    size_t next = SlModelCascade_Next(router, request, confidence);
    double part = slack_of(router, request, next) / Sl_FULL_SLACK;
    return confidence >= wanted * CLAMP(part, 0, 1);
}

void
SlModelCascade_Learn(struct sl_router *router,
                     const struct sl_routed_request *request, int confidence)
{
    if (request->escalated_confidence < 0 || confidence < 0) {
        return;
    }
    struct sl_confidence_gain *gain =
        gain_of(router, &request->route->models[request->escalated_model],
                &request->route->models[request->model]);
    double *step = &gain->bins[step_of(request->escalated_confidence)];
    double seen = confidence - request->escalated_confidence;
    *step += Sl_GAIN_WEIGHT * (seen - *step);
}
