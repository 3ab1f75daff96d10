/* Time to read a prompt: a line over its tokens, fitted by least squares. */
#include "sl_kept_internal.h"

/* Share of their weight that older responses keep with each new one. */
#define Sl_READ_TIME_DECAY 0.99
/* Responses from which on the line is known. */
#define Sl_MIN_RESPONSES 8.0
/* Largest deviation of a response from the line that counts, as a share: long
 * delays have other reasons. */
#define Sl_MAX_DEVIATION 0.5
/* Least standard deviation of their tokens. */
#define Sl_MIN_TOKENS_DEVIATION 500.0

void
SlReadTime_Add(struct sl_read_time *time, int64_t tokens, int64_t took_us)
{
    double x = (double)tokens;
    double y = (double)took_us;
    double base_us = 0;
    double us_per_token = 0;
    if (SlReadTime_Line(time, &base_us, &us_per_token)) {
        double usual_us = base_us + us_per_token * x;
        y = CLAMP(y, usual_us * (1 - Sl_MAX_DEVIATION),
                  usual_us * (1 + Sl_MAX_DEVIATION));
    }
    time->count = time->count * Sl_READ_TIME_DECAY + 1;
    time->tokens = time->tokens * Sl_READ_TIME_DECAY + x;
    time->took = time->took * Sl_READ_TIME_DECAY + y;
    time->tokens_tokens = time->tokens_tokens * Sl_READ_TIME_DECAY + x * x;
    time->tokens_took = time->tokens_took * Sl_READ_TIME_DECAY + x * y;
}

bool
SlReadTime_Line(const struct sl_read_time *time, double *base_us,
                double *us_per_token)
{
    if (time->count < Sl_MIN_RESPONSES) {
        return false;
    }
    double mean = time->tokens / time->count;
    double variance = time->tokens_tokens / time->count - mean * mean;
    double mean_took = time->took / time->count;
    if (variance < Sl_MIN_TOKENS_DEVIATION * Sl_MIN_TOKENS_DEVIATION) {
        return false;
    }
    *us_per_token =
        (time->tokens_took / time->count - mean * mean_took) / variance;
    *base_us = mean_took - *us_per_token * mean;
    return *us_per_token > 0;
}
