/* Token bucket that first attempts fill and retries drain. */
#include "sl_common.h"

struct sl_token_bucket
SlTokenBucket_New(double share, double max_tokens)
{
    return (struct sl_token_bucket){
        .tokens = max_tokens, .share = share, .max_tokens = max_tokens};
}

void
SlTokenBucket_Refill(struct sl_token_bucket *bucket)
{
    bucket->tokens = MIN(bucket->tokens + bucket->share, bucket->max_tokens);
}

bool
SlTokenBucket_Take(struct sl_token_bucket *bucket)
{
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens -= 1;
    return true;
}
