/* Declarations shared by the files of sl_kept.
 *
 * sl_kept.c         decision, evidence and reports
 * sl_kept_homes.c   homes of a part
 * sl_kept_load.c    how much of the load a part makes up
 * sl_kept_engine.c  what an engine is claimed to hold
 * sl_read_time.c    time to read a prompt, learned from responses
 */
#ifndef Sl_KEPT_INTERNAL_H
#define Sl_KEPT_INTERNAL_H

#include "sl_kept.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* ---- engines ---- */

struct sl_kept_engine {
    uint32_t id;
    double trust;
    /* Tokens that all routers are estimated to have sent there. */
    double sent_tokens;
    double room_tokens; /* memory beside running requests; 0: not known */
    GHashTable *parts;  /* key -> struct sl_claimed_part, owned; NULL: none */
    GQueue by_age;      /* the same, least recently used first */
};

/* Sets, for each part of the prompt, the likelihood that the engine has kept
 * it, if its claims are trusted: 0 if the part isn't claimed, to 1. */
void SlKeptEngine_Claims(const struct sl_kept_engine *engine,
                         const struct sl_kept_prompt *prompt,
                         double claims[Sl_KEPT_MAX_PARTS]);

/* ---- load ---- */

/* Parts by their load, which decays. */
struct sl_part_load;

struct sl_part_load *SlPartLoad_New(void);
void SlPartLoad_Free(struct sl_part_load *load);
void SlPartLoad_Add(struct sl_part_load *load, int64_t now_us, uint32_t part,
                    int64_t tokens);
/* Returns the part's share of the tokens of all requests lately, 0 to 1; 0 if
 * it was asked for too seldom to tell. */
double SlPartLoad_Share(const struct sl_part_load *load, int64_t now_us,
                        uint32_t part);

/* ---- read times ---- */

/* Time until a response begins, as a line over the tokens that are read. */
struct sl_read_time {
    uint32_t model; /* hash of its name */
    /* Sums over the responses, of which older ones count less. */
    double count;
    double tokens;
    double took;
    double tokens_tokens;
    double tokens_took;
};

void SlReadTime_Add(struct sl_read_time *time, int64_t tokens,
                    int64_t took_us);
/* Sets the time to read no token, and that to read one more, in us. Returns
 * false if it isn't known. */
bool SlReadTime_Line(const struct sl_read_time *time, double *base_us,
                     double *us_per_token);

/* ---- all parts ---- */

/* Models whose read times are learned. */
#define Sl_KEPT_MAX_MODELS 16
/* Parts sent away from home that are remembered. */
#define Sl_KEPT_MAX_STRAYS 32

struct sl_kept_stray {
    uint32_t engine; /* hash of its name */
    uint32_t part;
    int64_t sent_us;
    unsigned reports_left; /* in which it is told */
};

struct sl_kept {
    struct sl_part_load *load;
    double guess_share;
    size_t model_count;
    struct sl_read_time read_times[Sl_KEPT_MAX_MODELS];
    size_t next_stray; /* index of the oldest one, which the next replaces */
    struct sl_kept_stray strays[Sl_KEPT_MAX_STRAYS];
};

#endif
