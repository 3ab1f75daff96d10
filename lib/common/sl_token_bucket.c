/* Retry budget: a token bucket filled by first attempts. */
#include "sl_common.h"

struct sl_token_bucket
SlTokenBucket_New(double share, double max_tokens)
{
    return (struct sl_token_bucket){
        .tokens = max_tokens, .share = share, .max_tokens = max_tokens};
}

void
SlTokenBucket_Refill(struct sl_token_bucket *budget)
{
    budget->tokens = MIN(budget->tokens + budget->share, budget->max_tokens);
}

bool
SlTokenBucket_Take(struct sl_token_bucket *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}
