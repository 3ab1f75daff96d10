/*
 * sl_kept: which parts of prompts the engines are likely to hold still, and
 * what that is worth.
 *
 * An engine keeps what it has read while its memory has room; the parts that
 * were used least recently yield. Parts that several prompts share have a home
 * in each failure domain, found by rendezvous hashing, so that all routers
 * send to the same engine without telling each other. A part that makes up
 * more of the load than one engine's share gets a second and third home, and
 * loses them when that passes. Where the wait at a home costs more than what
 * is saved, the request goes where there is room, and the peers are told.
 *
 * What is held is an estimate. A part that this router or a peer has sent to
 * an engine is claimed to be there. A part at its home that this router has
 * not sent there is a guess: other routers may have. Claims and guesses are
 * trusted as far as the responses show them right: one whose first event came
 * later than the rest of its prompt explains lowers the trust.
 *
 * Nothing here has a clock or a network. Times are in microseconds on the
 * caller's monotonic clock. Keys are hashes of a part and the model, as
 * engines keep parts for each model by itself.
 *
 * Sections, from simple to advanced:
 *   1. Prompts   keys of parts
 *   2. Engines   what one engine is likely to hold
 *   3. Parts     how much of the load a part makes up, and its homes
 *   4. Decision  what an engine is expected to have kept of a prompt
 *   5. Evidence  what responses tell
 *   6. Reports   exchange with the other routers
 */
#ifndef Sl_KEPT_H
#define Sl_KEPT_H

#include "sl_gossip.h"

/* ---- 1. Prompts ------------------------------------------------------- */

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
/* Returns the key of the deepest shared part, which the prompt's homes depend
 * on; 0 if the prompt shares none. */
uint32_t SlKeptPrompt_SharedKey(const struct sl_kept_prompt *prompt);
/* Returns the tokens of the shared parts. */
int64_t SlKeptPrompt_SharedTokens(const struct sl_kept_prompt *prompt);

/* ---- 2. Engines ------------------------------------------------------- */

struct sl_kept_engine;

/* The memory of an engine, which running requests and kept parts share. */
struct sl_kept_memory {
    int64_t tokens;      /* 0: not known; parts are kept for a fixed time */
    int64_t held_tokens; /* by running requests */
    size_t routers;      /* that send there; each one counts for all, itself
                            included */
};

/* Returns an engine that holds nothing, which the caller frees. `id` is a hash
 * of its name, by which all routers rank it alike. */
struct sl_kept_engine *SlKeptEngine_New(uint32_t id);
void SlKeptEngine_Free(struct sl_kept_engine *engine);
/* Forgets what it holds: it has ended, or has restarted. */
void SlKeptEngine_Reset(struct sl_kept_engine *engine);
/* A prompt is sent there: the least recently used parts beyond its memory
 * yield. */
void SlKeptEngine_OnSent(struct sl_kept_engine *engine, int64_t now_us,
                         const struct sl_kept_prompt *prompt,
                         const struct sl_kept_memory *memory);
/* A peer has sent a prompt with the part there. */
void SlKeptEngine_OnReport(struct sl_kept_engine *engine, int64_t now_us,
                           const struct sl_gossip_kept_part *report);
/* Removes what is too old to matter. */
void SlKeptEngine_Expire(struct sl_kept_engine *engine, int64_t now_us);
/* Returns the trust in the claims, 0 to 1. */
double SlKeptEngine_Trust(const struct sl_kept_engine *engine);
/* Returns the number of parts that it is claimed to hold. */
size_t SlKeptEngine_PartCount(const struct sl_kept_engine *engine);

/* ---- 3. Parts --------------------------------------------------------- */

/* Largest number of homes of a part in a failure domain. */
#define Sl_KEPT_MAX_HOMES 3
/* Failure domains in which parts have homes. */
#define Sl_KEPT_MAX_DOMAINS 8

/* What is known of all parts. */
struct sl_kept;

struct sl_kept *SlKept_New(void);
void SlKept_Free(struct sl_kept *kept);
/* A request with the prompt is sent. */
void SlKept_OnRequest(struct sl_kept *kept, int64_t now_us,
                      const struct sl_kept_prompt *prompt);
/* Returns the number of homes of the part in a failure domain of `engines`
 * engines, 1 or more. */
size_t SlKept_Homes(const struct sl_kept *kept, int64_t now_us, uint32_t part,
                    size_t engines);

/* Homes of a part among the engines that can take a request. */
struct sl_kept_homes {
    uint32_t part;
    size_t domain_count;
    struct sl_kept_domain {
        uint32_t domain; /* hash of its name */
        size_t engines;
        size_t home_count;                   /* once chosen */
        uint64_t weights[Sl_KEPT_MAX_HOMES]; /* the largest, descending */
    } domains[Sl_KEPT_MAX_DOMAINS];
};

/* To be called for each engine that can take a request, then
 * SlKeptHomes_Choose(). `homes` begins with the part alone. */
void SlKeptHomes_Add(struct sl_kept_homes *homes, uint32_t domain,
                     const struct sl_kept_engine *engine);
void SlKeptHomes_Choose(struct sl_kept_homes *homes,
                        const struct sl_kept *kept, int64_t now_us);
/* Returns true if the engine is a home. */
bool SlKeptHomes_Has(const struct sl_kept_homes *homes, uint32_t domain,
                     const struct sl_kept_engine *engine);

/* ---- 4. Decision ------------------------------------------------------ */

/* What the choice between engines depends on. */
struct sl_kept_choice {
    bool has_homes; /* else only claims count */
    struct sl_kept_prompt prompt;
    struct sl_kept_homes homes;
};

/* What an engine is expected to have kept of a prompt. */
struct sl_kept_estimate {
    bool is_home;
    int64_t claimed_tokens;  /* sent there by this router or a peer */
    int64_t guessed_tokens;  /* at home, perhaps sent there by others */
    int64_t expected_tokens; /* of both, trust considered */
};

/* Returns the estimate. `is_home`: the engine is a home of the prompt's
 * deepest shared part. */
struct sl_kept_estimate SlKept_Estimate(const struct sl_kept *kept,
                                        const struct sl_kept_engine *engine,
                                        const struct sl_kept_prompt *prompt,
                                        bool is_home);

/* Returns the tokens of shared parts that the engine would have to read, as
 * far as expected, although it is no home of theirs; 0 if they have no home.
 */
int64_t SlKept_StrayTokens(const struct sl_kept_choice *choice,
                           const struct sl_kept_estimate *estimate);

/* ---- 5. Evidence ------------------------------------------------------ */

/* A response that has begun at an engine that read no other prompt. */
struct sl_kept_response {
    uint32_t model; /* hash of its name */
    struct sl_kept_estimate estimate;
    int64_t prompt_tokens;
    int64_t took_us;
};

/* Handles the response. Returns the share of the claimed and guessed tokens
 * that seem to have been kept, 0 to 1; -1 if it does not tell. */
double SlKept_OnBegun(struct sl_kept *kept, struct sl_kept_engine *engine,
                      const struct sl_kept_response *response);
/* Returns the share of guesses that were right lately, 0 to 1. */
double SlKept_GuessShare(const struct sl_kept *kept);

/* ---- 6. Reports ------------------------------------------------------- */

/* A prompt is sent to an engine that is no home of its deepest shared part. */
void SlKept_OnStray(struct sl_kept *kept, int64_t now_us, uint32_t engine,
                    uint32_t part);
/* Adds the parts that this router has sent away from their homes lately,
 * newest first, to the report; returns their number. Each is reported twice,
 * as reports may be lost. */
size_t SlKept_FillReport(struct sl_kept *kept, int64_t now_us,
                         struct sl_gossip_kept_part *parts, size_t max);

#endif
