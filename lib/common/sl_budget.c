/* Retry budget: a token bucket filled by first attempts. */
#include "sl_common.h"

struct sl_budget
SlBudget_New(double share, double max_tokens)
{
    return (struct sl_budget){
        .tokens = max_tokens, .share = share, .max_tokens = max_tokens};
}

void
SlBudget_OnFirst(struct sl_budget *budget)
{
    budget->tokens = MIN(budget->tokens + budget->share, budget->max_tokens);
}

bool
SlBudget_Take(struct sl_budget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}
