/*
 * The fleet's retry budget. It keeps retries from multiplying the load of a
 * service that fails: within a sliding window, all routers together may retry
 * a share of the service's requests (`retry_ratio`), plus a fixed number
 * (`retry_extra`).
 *
 * Routers split the budget without coordination. Each router may retry the
 * given share of its own requests, plus an equal part of the fixed number.
 * Routers that have recently fallen silent count in that split: they may only
 * be cut off from this router, and then still use their part.
 */
#include "sl_router_internal.h"

/* Share of its part of `retry_extra` that a router uses: the number of routers
 * among which that number is split may be off by one. */
#define Sl_EXTRA_USED_SHARE 0.7
/* Share of the budget that escalations may use. The rest is kept for retries
 * after failures: a response with low confidence is still a response. */
#define Sl_ESCALATION_SHARE 0.85

/* ---- windows ---- */

/* Returns the length of a time slot. */
static int64_t
slot_us(const struct sl_router *router)
{
    return MAX(router->options.bounds.retry_window_us / Sl_RETRY_WINDOW_SLOTS,
               1);
}

/* Advances the service's window to the current time, and returns it. Adds the
 * window if the service is new. */
static struct sl_retry_window *
advance_window(struct sl_router *router, const struct sl_name *service)
{
    struct sl_retry_window *window =
        g_hash_table_lookup(router->retry_windows, service);
    int64_t slot = router->now_us / slot_us(router);
    if (window == NULL) {
        window = g_new0(struct sl_retry_window, 1);
        window->slot = slot;
        g_hash_table_insert(router->retry_windows,
                            g_memdup2(service, sizeof(*service)), window);
    }
    for (int64_t i = 0; i < Sl_RETRY_WINDOW_SLOTS + 1 && window->slot < slot;
         i++) {
        size_t index = (size_t)(++window->slot % (Sl_RETRY_WINDOW_SLOTS + 1));
        window->requests[index] = 0;
        window->retries[index] = 0;
    }
    window->slot = slot;
    return window;
}

/* Returns the index of the newest slot. */
static size_t
slot_index(const struct sl_retry_window *window)
{
    return (size_t)(window->slot % (Sl_RETRY_WINDOW_SLOTS + 1));
}

/* Sets `requests` and `retries` to the sums of the window. Of the oldest slot,
 * which the window covers only in part, counts the retries but not the
 * requests, so that the budget is never exceeded. */
static void
sum_window(const struct sl_retry_window *window, double *requests,
           double *retries)
{
    size_t oldest = (size_t)((window->slot + 1) % (Sl_RETRY_WINDOW_SLOTS + 1));
    *requests = 0;
    *retries = 0;
    for (size_t i = 0; i < Sl_RETRY_WINDOW_SLOTS + 1; i++) {
        *requests += i == oldest ? 0 : window->requests[i];
        *retries += window->retries[i];
    }
}

/* ---- public ---- */

void
SlRetryBudget_OnRequest(struct sl_router *router,
                        const struct sl_name *service)
{
    struct sl_retry_window *window = advance_window(router, service);
    window->requests[slot_index(window)] += 1;
}

double
SlRetryBudget_Requests(struct sl_router *router, const struct sl_name *service)
{
    double requests;
    double retries;
    sum_window(advance_window(router, service), &requests, &retries);
    return requests;
}

double
SlRetryBudget_Remaining(struct sl_router *router,
                        const struct sl_name *service,
                        enum sl_retry_reason reason)
{
    const struct sl_bounds *bounds = &router->options.bounds;
    double requests;
    double retries;
    sum_window(advance_window(router, service), &requests, &retries);
    double allowed = bounds->retry_ratio * requests +
                     Sl_EXTRA_USED_SHARE * bounds->retry_extra /
                         (double)SlPeers_AllowanceSharerCount(router);
    if (reason == Sl_RETRY_LOW_CONFIDENCE) {
        allowed *= Sl_ESCALATION_SHARE;
    }
    return allowed - retries;
}

bool
SlRetryBudget_Take(struct sl_router *router, const struct sl_name *service,
                   enum sl_retry_reason reason)
{
    bool allowed = SlRetryBudget_Remaining(router, service, reason) >= 1;
    SlRouterMetrics_OnRetry(router, service, reason, allowed);
    if (allowed) {
        struct sl_retry_window *window = advance_window(router, service);
        window->retries[slot_index(window)] += 1;
    }
    return allowed;
}
