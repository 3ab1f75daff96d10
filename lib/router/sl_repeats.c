/*
 * The fleet's budget of repeats, split without asking anybody. Answers
 * failures that would otherwise be multiplied by retries: all routers together
 * may send a service a share of its requests a second time, and a number more.
 * A router spends the share of its own requests, and an even part of the
 * number among the routers that are believed to live.
 */
#include "sl_router_internal.h"

/* Part of the even share that is spent: the belief may be wrong by one. */
#define Sl_EXTRA_USED 0.7
/* Below this part of a full budget only failures are repeated: a doubtful
 * answer is still an answer. */
#define Sl_DOUBT_RESERVE 0.15

static struct sl_budget *
budget_of(struct sl_router *router, const struct sl_name *service)
{
    const struct sl_bounds *bounds = &router->options.bounds;
    struct sl_budget *budget = g_hash_table_lookup(router->budgets, service);
    double max_tokens = Sl_EXTRA_USED * bounds->retry_extra /
                        (double)SlPeers_FleetSize(router);
    if (budget == NULL) {
        budget = g_new0(struct sl_budget, 1);
        *budget = SlBudget_New(bounds->retry_ratio, max_tokens);
        g_hash_table_insert(router->budgets,
                            g_memdup2(service, sizeof(*service)), budget);
    }
    budget->share = bounds->retry_ratio;
    budget->max_tokens = max_tokens;
    budget->tokens = MIN(budget->tokens, max_tokens);
    return budget;
}

void
SlRepeats_OnFirst(struct sl_router *router, const struct sl_name *service)
{
    SlBudget_OnFirst(budget_of(router, service));
}

bool
SlRepeats_Take(struct sl_router *router, const struct sl_name *service,
               enum sl_repeat_reason reason)
{
    struct sl_budget *budget = budget_of(router, service);
    if (reason == Sl_REPEAT_DOUBT &&
        budget->tokens < Sl_DOUBT_RESERVE * budget->max_tokens + 1) {
        return false;
    }
    return SlBudget_Take(budget);
}

double
SlRepeats_Left(struct sl_router *router, const struct sl_name *service)
{
    return budget_of(router, service)->tokens;
}
