/*
 * The fleet's budget of repeats, split without asking anybody. Answers
 * failures that would otherwise be multiplied by retries: in a sliding window
 * all routers together may send a service a share of its requests a second
 * time, and a number more. A router spends the share of its own requests, and
 * an even part of the number among the routers that are known: who has fallen
 * silent may be cut off, and spends its part.
 */
#include "sl_router_internal.h"

/* Part of the even share that is spent: the belief may be wrong by one. */
#define Sl_EXTRA_USED 0.7
/* Part of what is allowed from which on only failures are repeated: a doubtful
 * answer is still an answer. */
#define Sl_DOUBT_PART 0.85

/* ---- windows ---- */

static int64_t
slot_us(const struct sl_router *router)
{
    return MAX(router->options.bounds.retry_window_us / Sl_RETRY_WINDOW_SLOTS,
               1);
}

/* Drops what the window has left behind. */
static struct sl_retry_window *
window_of(struct sl_router *router, const struct sl_name *service)
{
    struct sl_retry_window *window =
        g_hash_table_lookup(router->repeats, service);
    int64_t slot = router->now_us / slot_us(router);
    if (window == NULL) {
        window = g_new0(struct sl_retry_window, 1);
        window->slot = slot;
        g_hash_table_insert(router->repeats,
                            g_memdup2(service, sizeof(*service)), window);
    }
    for (int64_t i = 0; i < Sl_RETRY_WINDOW_SLOTS + 1 && window->slot < slot;
         i++) {
        size_t at = (size_t)(++window->slot % (Sl_RETRY_WINDOW_SLOTS + 1));
        window->requests[at] = 0;
        window->retries[at] = 0;
    }
    window->slot = slot;
    return window;
}

static size_t
slot_index(const struct sl_retry_window *window)
{
    return (size_t)(window->slot % (Sl_RETRY_WINDOW_SLOTS + 1));
}

/* Requests of whole slots only, repeats of any part: never too much. */
static void
sum_window(const struct sl_retry_window *window, double *requests,
           double *repeats)
{
    size_t oldest = (size_t)((window->slot + 1) % (Sl_RETRY_WINDOW_SLOTS + 1));
    *requests = 0;
    *repeats = 0;
    for (size_t i = 0; i < Sl_RETRY_WINDOW_SLOTS + 1; i++) {
        *requests += i == oldest ? 0 : window->requests[i];
        *repeats += window->retries[i];
    }
}

/* ---- public ---- */

void
SlRetryBudget_OnRequest(struct sl_router *router,
                        const struct sl_name *service)
{
    struct sl_retry_window *window = window_of(router, service);
    window->requests[slot_index(window)] += 1;
}

double
SlRetryBudget_Left(struct sl_router *router, const struct sl_name *service,
                   enum sl_retry_reason reason)
{
    const struct sl_bounds *bounds = &router->options.bounds;
    double requests;
    double repeats;
    sum_window(window_of(router, service), &requests, &repeats);
    double allowed = bounds->retry_ratio * requests +
                     Sl_EXTRA_USED * bounds->retry_extra /
                         (double)SlPeers_SharerCount(router);
    if (reason == Sl_RETRY_LOW_CONFIDENCE) {
        allowed *= Sl_DOUBT_PART;
    }
    return allowed - repeats;
}

bool
SlRetryBudget_Take(struct sl_router *router, const struct sl_name *service,
                   enum sl_retry_reason reason)
{
    bool allowed = SlRetryBudget_Left(router, service, reason) >= 1;
    SlRouterMetrics_OnRetry(router, service, reason, allowed);
    if (allowed) {
        struct sl_retry_window *window = window_of(router, service);
        window->retries[slot_index(window)] += 1;
    }
    return allowed;
}
