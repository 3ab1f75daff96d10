/* Declarations shared by the files of sl_quarantine.
 *
 * sl_reports.c      exchange with the other routers
 * sl_quarantine.c   takes evidence, and decides
 * sl_ends.c         ends of engines, with their suspects
 * sl_blocks.c       blocks
 * sl_blame.c        whether chance explains the ends of a suspect
 * sl_begun_table.c  calls that have begun, by key
 * sl_prompt_keys.c  keys of prompts
 */
#ifndef Sl_QUARANTINE_INTERNAL_H
#define Sl_QUARANTINE_INTERNAL_H

#include "sl_quarantine.h"

#include <assert.h>
#include <string.h>

/* ---- keys ---- */

bool SlPromptKeys_Holds(const struct sl_prompt_keys *prompt, uint32_t key);

/* ---- calls that have begun ---- */

/* Calls of this router that have begun. Their counts decay with time. */
struct sl_begun_table;

struct sl_begun_table *SlBegunTable_New(void);
void SlBegunTable_Free(struct sl_begun_table *table);
/* Counts a call that has begun, with the key among others. The key of its
 * service is one of them. */
void SlBegunTable_CountKey(struct sl_begun_table *table, int64_t now_us,
                           uint32_t key);
/* Records that a call with the key has begun at another router. */
void SlBegunTable_NoteKey(struct sl_begun_table *table, int64_t begun_us,
                          uint32_t key);
/* Returns when a call with the key last began; INT64_MIN if that is not
 * known. */
int64_t SlBegunTable_LastUs(const struct sl_begun_table *table, uint32_t key);
/* Returns the share of the recent calls to the service that held the key, 0 to
 * 1. */
double SlBegunTable_Share(const struct sl_begun_table *table, int64_t now_us,
                          uint32_t service, uint32_t key);
/* Returns the recent number of calls with the key, which decays. */
double SlBegunTable_Calls(const struct sl_begun_table *table, int64_t now_us,
                          uint32_t key);
/* Returns the number of calls with the key since the table has it. */
uint64_t SlBegunTable_Total(const struct sl_begun_table *table, uint32_t key);

/* ---- blame ---- */

/* What is known of a suspect. */
struct sl_blame {
    bool is_whole;         /* a whole prompt, not a part */
    unsigned ends;         /* of which it is a suspect */
    unsigned started_ends; /* those of them at which a call with it had
                              started */
    unsigned ends_total;   /* of engines of the service in the same time,
                              whatever their suspects */
    int64_t spread_us;     /* from the first to the last of `ends` */
    /* Of the calls to the service. */
    double calls;       /* recent ones that have begun */
    double begun_share; /* share of them that held the key */
    double begun_since; /* those that have begun without it since the first of
                           `ends` */
};

/* Return the probability that a sound key is a suspect of so many ends by
 * chance, and does not begin in the meantime: at all, and with a call that had
 * started. */
double SlBlame_SoundChance(const struct sl_blame *blame);
double SlBlame_SoundStartedChance(const struct sl_blame *blame);
/* Returns true if that is too small, so that the key is to be blocked. */
bool SlBlame_IsGuilty(const struct sl_blame *blame);

/* ---- the quarantine ---- */

/* Bounds of the state. The oldest items are forgotten first. */
#define Sl_MAX_ENDS 64
#define Sl_MAX_SUSPECTS 24 /* of an end */
#define Sl_MAX_BLOCKS 32

/* A key that a call held which had not begun when its engine ended. */
struct sl_suspect {
    uint32_t key;
    bool has_started;   /* a call with it had started */
    double begun_share; /* largest share of the calls that held it, of those
                           that a router has reported */
};

/* The end of an engine. */
struct sl_end {
    uint32_t engine;  /* hash of its id */
    uint32_t service; /* key of its service */
    int64_t at_us;
    uint64_t begun_before; /* calls to the service that had begun at this
                              router by then */
    size_t suspect_count;
    struct sl_suspect suspects[Sl_MAX_SUSPECTS];
};

/* A key that has begun after it had become a suspect. */
struct sl_cleared_key {
    uint32_t key;
    int64_t begun_us;
};

struct sl_quarantine {
    struct sl_begun_table *begun;
    GArray *ends;    /* struct sl_end, in the order in which they were heard */
    GArray *blocks;  /* struct sl_quarantine_block */
    GArray *cleared; /* struct sl_cleared_key, oldest first */
    GArray *changes; /* struct sl_quarantine_change */
    bool has_news;
    /* Indices of the items that the next report begins with: those that have
     * changed, or those that follow the last report's. */
    guint next_end;
    guint next_block;
    guint next_cleared;
};

/* Adds a change. `blame` may be NULL. */
void SlQuarantine_AddChange(struct sl_quarantine *quarantine,
                            enum sl_quarantine_change_type type,
                            const struct sl_quarantine_block *block,
                            const struct sl_blame *blame, bool is_reported);
/* Handles that a call with the key has begun, here or at another router: it is
 * no suspect of earlier ends, and no reason for a block. */
void SlQuarantine_Clear(struct sl_quarantine *quarantine, uint32_t key,
                        int64_t begun_us, bool is_reported);
/* Returns when a call with the key has begun after it had become a suspect;
 * INT64_MIN if that is not known. */
int64_t SlQuarantine_ClearedUs(const struct sl_quarantine *quarantine,
                               uint32_t key);

/* ---- ends ---- */

/* Returns the index of the key among the end's suspects; their number if it is
 * none. */
size_t SlEnd_SuspectIndex(const struct sl_end *end, uint32_t key);
bool SlEnd_HasSuspect(const struct sl_end *end, uint32_t key);
/* Returns the number of ends of which the key is a suspect. */
unsigned SlEnds_Count(const struct sl_quarantine *quarantine, uint32_t key);
/* Adds the end, or adds its suspects to those of the same end that are known,
 * but for keys that have begun since. Then blocks the suspects that are
 * guilty. */
void SlEnds_Add(struct sl_quarantine *quarantine, int64_t now_us,
                const struct sl_end *end);
/* Removes the suspect from ends before `begun_us`. Returns true if it was one.
 */
bool SlEnds_RemoveSuspect(struct sl_quarantine *quarantine, uint32_t key,
                          int64_t begun_us);
void SlEnds_Expire(struct sl_quarantine *quarantine, int64_t now_us);

/* ---- blocks ---- */

struct sl_quarantine_block *SlBlocks_At(const struct sl_quarantine *quarantine,
                                        guint index);
/* Returns true if a block of parts explains the end: all its keys are suspects
 * of the end. Blocks that hold `*except` do not count; NULL: all count. */
bool SlBlocks_Explain(const struct sl_quarantine *quarantine,
                      const struct sl_end *end, const uint32_t *except);
/* Blocks requests that hold all of the keys, which are ascending, by which an
 * engine ended at `end_us`. */
void SlBlocks_AddGuilty(struct sl_quarantine *quarantine, const uint32_t *keys,
                        size_t count, int64_t end_us,
                        const struct sl_blame *blame);
/* Returns when the block ends if there is no trial. */
int64_t SlBlocks_ExpiryUs(const struct sl_quarantine_block *block);
/* Adds a block that a peer has reported, but for keys that have begun since,
 * or updates an equal one by what is newer. Its `trial_due_us` follows from
 * `expiry_us`. */
void SlBlocks_AddReported(struct sl_quarantine *quarantine, int64_t now_us,
                          const struct sl_quarantine_block *block,
                          int64_t expiry_us);
/* Updates the blocks that explain the end, which are thus confirmed. */
void SlBlocks_Confirm(struct sl_quarantine *quarantine,
                      const struct sl_end *end);
/* Removes the key from blocks whose last end is before `begun_us`, and lifts
 * those that have no other key. Returns true if it was in one. */
bool SlBlocks_RemoveKey(struct sl_quarantine *quarantine, uint32_t key,
                        int64_t begun_us, bool is_reported);
void SlBlocks_Expire(struct sl_quarantine *quarantine, int64_t now_us);

#endif
