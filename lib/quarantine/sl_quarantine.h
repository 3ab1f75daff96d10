/*
 * sl_quarantine: finds the prompts that end the engines which begin to answer
 * them, and decides which requests are refused for that.
 *
 * This is a case of group testing. An end of an engine is a positive test of
 * all calls that had not begun there: one of their prompts may be deadly, by
 * one of its parts or as a whole. It is most likely that of a call whose
 * response had just started. A call that has begun elsewhere is a negative
 * test: all parts of its prompt are sound. A part that has not begun since,
 * and is among the suspects of so many ends that chance does not explain it,
 * is blocked. If several parts are suspects of the very same ends,
 * only requests that hold all of them are refused, until a further end or a
 * call that has begun tells them apart.
 *
 * A block is tested again after a time: one request is let through as a trial,
 * whose outcome lifts the block or makes it last twice as long.
 *
 * Each router has a quarantine. They exchange reports, as no router sees more
 * than a few of the ends. The state is bounded, and all of it ages.
 *
 * Times are in microseconds on the caller's monotonic clock.
 *
 * Sections, from simple to advanced:
 *   1. Prompts     keys of a prompt's parts
 *   2. Quarantine  create, free
 *   3. Evidence    calls that have begun, ends of engines
 *   4. Decisions   which requests are refused
 *   5. Reports     exchange with the other routers
 *   6. Changes     what has changed, for logs and metrics
 */
#ifndef Sl_QUARANTINE_H
#define Sl_QUARANTINE_H

#include "sl_gossip.h"

/* ---- 1. Prompts ------------------------------------------------------- */

/* Shared parts of a prompt that are told apart; further ones count only as
 * part of the whole. */
#define Sl_PROMPT_MAX_PARTS 15

/* Keys of a prompt, which are hashes. They differ between services. */
struct sl_prompt_keys {
    uint32_t service;
    uint32_t whole; /* of the whole prompt; odd */
    size_t part_count;
    /* Of the parts but the last, which belongs to the request alone; even. */
    uint32_t parts[Sl_PROMPT_MAX_PARTS];
};

/* Sets the keys of a prompt with the `count` parts `ids`, sent to the service.
 * A prompt without parts is identified by the id of its request. */
void SlPromptKeys_Set(struct sl_prompt_keys *prompt, struct sl_str service,
                      const uint64_t *ids, size_t count,
                      struct sl_str request_id);
/* Returns the key of the service. */
uint32_t SlPromptKeys_Service(struct sl_str service);
/* Returns true if the key is of a whole prompt, not of a part. */
bool SlPromptKeys_IsWhole(uint32_t key);

/* ---- 2. Quarantine ---------------------------------------------------- */

struct sl_quarantine;

/* Returns an empty quarantine, which the caller frees. */
struct sl_quarantine *SlQuarantine_New(void);
void SlQuarantine_Free(struct sl_quarantine *quarantine);

/* ---- 3. Evidence ------------------------------------------------------ */

/* Handles that a call has begun: its prompt is sound. To be called once a
 * call. */
void SlQuarantine_OnBegun(struct sl_quarantine *quarantine, int64_t now_us,
                          const struct sl_prompt_keys *prompt);
/* A call that had not begun when its engine ended. */
struct sl_unbegun_call {
    struct sl_prompt_keys prompt;
    bool has_started; /* it had the head of its response */
};

/* An engine that has ended. */
struct sl_ended_engine {
    uint32_t engine;  /* hash of its id */
    uint32_t service; /* key of its service */
    int64_t at_us;
};

/* Handles the end of an engine. There may be no calls that had not begun
 * there. */
void SlQuarantine_OnEnd(struct sl_quarantine *quarantine, int64_t now_us,
                        const struct sl_ended_engine *ended,
                        const struct sl_unbegun_call *calls, size_t count);
/* Removes what is too old to matter. */
void SlQuarantine_Expire(struct sl_quarantine *quarantine, int64_t now_us);

/* ---- 4. Decisions ----------------------------------------------------- */

/* Keys of which a request must not hold all. */
struct sl_quarantine_block {
    size_t key_count;
    uint32_t keys[Sl_GOSSIP_MAX_BLOCK_KEYS]; /* ascending */
    int64_t last_end_us;    /* of an engine with these suspects */
    int64_t trial_due_us;   /* no request is let through before */
    unsigned failed_trials; /* number of trials by which an engine has ended */
    bool is_in_trial;       /* this router has let a request through */
};

/* Whether a request is refused. */
struct sl_quarantine_verdict {
    bool is_blocked;
    uint32_t key; /* of a part that is blocked, or of the whole prompt */
    /* When the block may be tested by a trial; later than now unless one is
     * due. */
    int64_t trial_due_us;
};

struct sl_quarantine_verdict
SlQuarantine_Check(const struct sl_quarantine *quarantine,
                   const struct sl_prompt_keys *prompt);
/* Begins a trial of the blocks that the prompt is refused for. Further ones
 * are due only after a time in which the outcome is known. */
void SlQuarantine_BeginTrial(struct sl_quarantine *quarantine, int64_t now_us,
                             const struct sl_prompt_keys *prompt);
/* Returns true if the prompt, or a part of it, is a suspect of any end. */
bool SlQuarantine_IsSuspect(const struct sl_quarantine *quarantine,
                            const struct sl_prompt_keys *prompt);
/* Returns the blocks, and their number; valid until the next call of any other
 * function. */
const struct sl_quarantine_block *
SlQuarantine_Blocks(const struct sl_quarantine *quarantine, size_t *count);

/* ---- 5. Reports ------------------------------------------------------- */

/* Fills in this router's report. */
void SlQuarantine_FillReport(struct sl_quarantine *quarantine, int64_t now_us,
                             struct sl_gossip_quarantine *report);
/* Adds a peer's report, whose ages count up to now. */
void SlQuarantine_OnReport(struct sl_quarantine *quarantine, int64_t now_us,
                           const struct sl_gossip_quarantine *report);
/* Returns true if there is something that the peers should hear of at once,
 * and resets that. */
bool SlQuarantine_TakeNews(struct sl_quarantine *quarantine);

/* ---- 6. Changes ------------------------------------------------------- */

enum sl_quarantine_change_type {
    Sl_QUARANTINE_SUSPECTED, /* a key is a suspect of a second end */
    Sl_QUARANTINE_BLOCKED,
    Sl_QUARANTINE_TRIAL_FAILED, /* an engine has ended by a trial */
    Sl_QUARANTINE_RELEASED,     /* a call with the blocked keys has begun */
    Sl_QUARANTINE_EXPIRED,      /* nobody has asked for a trial */
};

struct sl_quarantine_change {
    enum sl_quarantine_change_type type;
    struct sl_quarantine_block block; /* SUSPECTED: only the key is set */
    unsigned ends;                    /* BLOCKED: with these suspects */
    unsigned ends_total; /* BLOCKED: in the same time, whatever their
                            suspects */
    bool is_reported;    /* learned from a peer's report */
};

/* Returns the changes since the last SlQuarantine_ClearChanges(), and their
 * number; valid until the next call of any other function. */
const struct sl_quarantine_change *
SlQuarantine_Changes(const struct sl_quarantine *quarantine, size_t *count);
void SlQuarantine_ClearChanges(struct sl_quarantine *quarantine);

#endif
