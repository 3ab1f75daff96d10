/*
 * sl_kept: which parts of prompts the engines are likely to hold still, and
 * what that is worth.
 *
 * An engine keeps what it has read while its memory has room; the parts that
 * were used least recently yield. Parts that several prompts share have a home
 * in each failure domain, found by rendezvous hashing, so that all routers
 * send to the same engine without telling each other. A part that is asked for
 * more often than its home can serve gets a second and third home, and loses
 * them when that passes. Where the wait at a home costs more than what is
 * saved, the request goes where there is room.
 *
 * What is held is an estimate. It is trusted as far as the responses show it
 * right: one whose first event came later than the rest of its prompt explains
 * lowers the trust in that engine.
 *
 * Nothing here has a clock or a network. Times are in microseconds on the
 * caller's monotonic clock. Keys are hashes of a part and the model, as
 * engines keep parts for each model by itself.
 *
 * Sections, from simple to advanced:
 *   1. Engines    what one engine is likely to hold
 *   2. Parts      how often a part is asked for, and its homes
 *   3. Decision   expected saving against the wait
 *   4. Reports    exchange with the other routers
 */
#ifndef Sl_KEPT_H
#define Sl_KEPT_H

#include "sl_gossip.h"

/* Parts of a prompt that are considered; further ones count as not kept. */
#define Sl_KEPT_MAX_PARTS 16

struct sl_kept_part {
    uint32_t key;
    int64_t tokens;
};

/* The parts of a prompt in their order. The last one belongs to the request
 * alone, or to its session. */
struct sl_kept_prompt {
    size_t part_count;
    struct sl_kept_part parts[Sl_KEPT_MAX_PARTS];
    int64_t tokens; /* of the whole prompt */
};

/* Returns the key of a part for a model. */
uint32_t SlKept_Key(uint64_t part, struct sl_str model);

/* ---- 1. Engines ------------------------------------------------------- */

struct sl_kept_engine;

/* Returns an engine that holds nothing, which the caller frees. `id` is a hash
 * of its name, by which all routers rank it alike. */
struct sl_kept_engine *SlKeptEngine_New(uint32_t id);
void SlKeptEngine_Free(struct sl_kept_engine *engine);
/* Forgets what it holds: it has ended, or has restarted. */
void SlKeptEngine_Reset(struct sl_kept_engine *engine);
/* A prompt is sent there. `memory_tokens` is the engine's memory, and
 * `held_tokens` what its running requests hold of it: the least recently used
 * parts beyond the rest yield. */
void SlKeptEngine_OnSent(struct sl_kept_engine *engine, int64_t now_us,
                         const struct sl_kept_prompt *prompt,
                         int64_t memory_tokens, int64_t held_tokens);
/* The response to a prompt of which `expected_tokens` were expected to be kept
 * has begun after `took_us`. Prefill of the rest would take `rest_us`, that of
 * the whole prompt `whole_us`. */
void SlKeptEngine_OnBegun(struct sl_kept_engine *engine, int64_t now_us,
                          int64_t expected_tokens, int64_t took_us,
                          int64_t rest_us, int64_t whole_us);
/* A peer has sent a prompt with the part there. */
void SlKeptEngine_OnReport(struct sl_kept_engine *engine, int64_t now_us,
                           const struct sl_gossip_kept_part *report);
/* Removes what is too old to matter. */
void SlKeptEngine_Expire(struct sl_kept_engine *engine, int64_t now_us);
/* Returns the trust in the estimate, 0 to 1. */
double SlKeptEngine_Trust(const struct sl_kept_engine *engine);

/* ---- 2. Parts --------------------------------------------------------- */

/* What is known of all parts. */
struct sl_kept;

struct sl_kept *SlKept_New(void);
void SlKept_Free(struct sl_kept *kept);
/* A request with the prompt is sent. `routers` is the number of routers that
 * share the load: what this one sees counts for all. */
void SlKept_OnRequest(struct sl_kept *kept, int64_t now_us,
                      const struct sl_kept_prompt *prompt, size_t routers);
/* Returns the number of homes of the part in a failure domain of `engines`
 * engines: 0 for a part that nobody asks for again. */
size_t SlKept_Homes(const struct sl_kept *kept, int64_t now_us, uint32_t part,
                    size_t engines);
void SlKept_Expire(struct sl_kept *kept, int64_t now_us);

/* ---- 3. Decision ------------------------------------------------------ */

/* Returns the tokens of the prompt that the engine is expected to have kept.
 * `rank` is its place among the engines of its failure domain by rendezvous
 * with the deepest shared part, from 0. */
int64_t SlKept_ExpectedTokens(const struct sl_kept *kept, int64_t now_us,
                              const struct sl_kept_engine *engine,
                              const struct sl_kept_prompt *prompt, size_t rank,
                              size_t engines);

/* ---- 4. Reports ------------------------------------------------------- */

/* Adds parts that this router has sent away from their homes, newest first,
 * to the report; returns their number. */
size_t SlKept_FillReport(struct sl_kept *kept, int64_t now_us,
                         struct sl_gossip_kept_part *parts, size_t max);

#endif
