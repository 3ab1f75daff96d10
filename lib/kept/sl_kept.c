/* What is expected to be kept, how far that is trusted, and what the peers are
 * told. */
#include "sl_kept_internal.h"

/* Share of guesses that count as right before any response tells. */
#define Sl_INITIAL_GUESS_SHARE 0.5
/* Weight of a new response in the trust and in the share of right guesses. */
#define Sl_EVIDENCE_WEIGHT 0.1
/* Least tokens that a response tells of: the time to read fewer is lost among
 * other delays. */
#define Sl_MIN_EVIDENCE_TOKENS 1000
/* Share that one response shows, at least and at most. Beyond 0 to 1, so that
 * its other delays don't shift the mean. */
#define Sl_MIN_SHOWN_SHARE (-1.0)
#define Sl_MAX_SHOWN_SHARE 2.0
/* Number of reports in which a part is told that was sent away from its home.
 */
#define Sl_REPORTS_OF_STRAY 2
/* Time for which a part that was sent away from its home is reported. */
#define Sl_REPORT_US (10 * Sl_US_PER_S)

struct sl_kept *
SlKept_New(void)
{
    struct sl_kept *kept = g_new0(struct sl_kept, 1);
    kept->load = SlPartLoad_New();
    kept->guess_share = Sl_INITIAL_GUESS_SHARE;
    return kept;
}

void
SlKept_Free(struct sl_kept *kept)
{
    if (kept != NULL) {
        SlPartLoad_Free(kept->load);
        g_free(kept);
    }
}

/* ---- prompts ---- */

uint32_t
SlKept_Key(uint64_t part, struct sl_str model)
{
    return (uint32_t)SlHash_Bytes(part, model);
}

uint32_t
SlKeptPrompt_SharedKey(const struct sl_kept_prompt *prompt)
{
    return prompt->part_count < 2 ? 0
                                  : prompt->parts[prompt->part_count - 2].key;
}

int64_t
SlKeptPrompt_SharedTokens(const struct sl_kept_prompt *prompt)
{
    int64_t tokens = 0;
    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        tokens += prompt->parts[i].tokens;
    }
    return tokens;
}

/* ---- parts ---- */

void
SlKept_OnRequest(struct sl_kept *kept, int64_t now_us,
                 const struct sl_kept_prompt *prompt)
{
    SlPartLoad_Add(kept->load, now_us, SlKeptPrompt_SharedKey(prompt),
                   prompt->tokens);
}

size_t
SlKept_Homes(const struct sl_kept *kept, int64_t now_us, uint32_t part,
             size_t engines)
{
    double shares_of_engines =
        SlPartLoad_Share(kept->load, now_us, part) * (double)engines;
    return (size_t)CLAMP(ceil(shares_of_engines), 1, Sl_KEPT_MAX_HOMES);
}

/* ---- decision ---- */

struct sl_kept_estimate
SlKept_Estimate(const struct sl_kept *kept,
                const struct sl_kept_engine *engine,
                const struct sl_kept_prompt *prompt, bool is_home)
{
    struct sl_kept_estimate estimate = {.is_home = is_home};
    double expected_tokens = 0;
    double claim =
        1; /* likelihood that all parts so far are claimed rightly */
    double claims[Sl_KEPT_MAX_PARTS];
    double likelihood = 1; /* the same of claims and guesses, with trust */
    SlKeptEngine_Claims(engine, prompt, claims);
    for (size_t i = 0; i < prompt->part_count; i++) {
        const struct sl_kept_part *part = &prompt->parts[i];
        bool may_be_guessed = is_home && i + 1 < prompt->part_count;
        claim = MIN(claim, claims[i]);
        likelihood =
            MIN(likelihood, MAX(claim * engine->trust,
                                may_be_guessed ? kept->guess_share : 0));
        if (likelihood <= 0) {
            break;
        }
        if (claim > 0) {
            estimate.claimed_tokens += part->tokens;
        }
        else {
            estimate.guessed_tokens += part->tokens;
        }
        expected_tokens += likelihood * (double)part->tokens;
    }
    estimate.expected_tokens =
        MIN((int64_t)(expected_tokens + 0.5), prompt->tokens);
    return estimate;
}

int64_t
SlKept_StrayTokens(const struct sl_kept_choice *choice,
                   const struct sl_kept_estimate *estimate)
{
    if (!choice->has_homes || estimate->is_home) {
        return 0;
    }
    return MAX(SlKeptPrompt_SharedTokens(&choice->prompt) -
                   estimate->expected_tokens,
               0);
}

/* ---- evidence ---- */

static struct sl_read_time *
read_time_of(struct sl_kept *kept, uint32_t model)
{
    for (size_t i = 0; i < kept->model_count; i++) {
        if (kept->read_times[i].model == model) {
            return &kept->read_times[i];
        }
    }
    if (kept->model_count == Sl_KEPT_MAX_MODELS) {
        return NULL;
    }
    struct sl_read_time *time = &kept->read_times[kept->model_count++];
    *time = (struct sl_read_time){.model = model};
    return time;
}

static double
moved_towards(double mean, double shown)
{
    return CLAMP(mean + Sl_EVIDENCE_WEIGHT * (shown - mean), 0, 1);
}

double
SlKept_OnBegun(struct sl_kept *kept, struct sl_kept_engine *engine,
               const struct sl_kept_response *response)
{
    const struct sl_kept_estimate *estimate = &response->estimate;
    int64_t doubtful_tokens =
        estimate->claimed_tokens + estimate->guessed_tokens;
    struct sl_read_time *time = read_time_of(kept, response->model);
    double base_us = 0;
    double us_per_token = 0;
    bool is_known =
        time != NULL && SlReadTime_Line(time, &base_us, &us_per_token);
    if (time != NULL && doubtful_tokens < Sl_MIN_EVIDENCE_TOKENS) {
        /* The tokens that were read are known well enough. */
        SlReadTime_Add(time,
                       response->prompt_tokens - estimate->expected_tokens,
                       response->took_us);
    }
    bool is_guess = estimate->guessed_tokens > estimate->claimed_tokens;
    if (!is_known || doubtful_tokens < Sl_MIN_EVIDENCE_TOKENS) {
        return -1;
    }
    double whole_us = base_us + us_per_token * (double)response->prompt_tokens;
    double shown = (whole_us - (double)response->took_us) /
                   (us_per_token * (double)doubtful_tokens);
    shown = CLAMP(shown, Sl_MIN_SHOWN_SHARE, Sl_MAX_SHOWN_SHARE);
    if (is_guess) {
        kept->guess_share = moved_towards(kept->guess_share, shown);
    }
    else {
        engine->trust = moved_towards(engine->trust, shown);
    }
    return CLAMP(shown, 0, 1);
}

double
SlKept_GuessShare(const struct sl_kept *kept)
{
    return kept->guess_share;
}

/* ---- reports ---- */

void
SlKept_OnStray(struct sl_kept *kept, int64_t now_us, uint32_t engine,
               uint32_t part)
{
    kept->strays[kept->next_stray] =
        (struct sl_kept_stray){engine, part, now_us, Sl_REPORTS_OF_STRAY};
    kept->next_stray = (kept->next_stray + 1) % Sl_KEPT_MAX_STRAYS;
}

size_t
SlKept_FillReport(struct sl_kept *kept, int64_t now_us,
                  struct sl_gossip_kept_part *parts, size_t max)
{
    size_t count = 0;
    for (size_t i = 1; i <= Sl_KEPT_MAX_STRAYS && count < max; i++) {
        struct sl_kept_stray *stray =
            &kept->strays[(kept->next_stray + Sl_KEPT_MAX_STRAYS - i) %
                          Sl_KEPT_MAX_STRAYS];
        if (stray->part == 0 || now_us - stray->sent_us > Sl_REPORT_US) {
            break;
        }
        if (stray->reports_left == 0) {
            continue;
        }
        stray->reports_left--;
        parts[count++] = (struct sl_gossip_kept_part){
            .upstream = stray->engine,
            .part = stray->part,
            .age_ms = (uint32_t)((now_us - stray->sent_us) / Sl_US_PER_MS),
        };
    }
    return count;
}
