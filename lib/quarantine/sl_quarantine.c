/* The quarantine: takes evidence, and decides which requests are refused. */
#include "sl_quarantine_internal.h"

/* Time before an end in which a call has begun, so that its keys are no
 * suspects. */
#define Sl_BEGUN_SHORTLY_US Sl_US_PER_S
/* Keys that have begun since they were suspects, kept at most, and how long.
 */
#define Sl_MAX_CLEARED 32
#define Sl_CLEARED_LIFETIME_US (60 * Sl_US_PER_S)
/* Time in which the outcome of a trial is known. */
#define Sl_TRIAL_US (10 * Sl_US_PER_S)

/* ---- create, free ---- */

struct sl_quarantine *
SlQuarantine_New(void)
{
    struct sl_quarantine *quarantine = g_new0(struct sl_quarantine, 1);
    quarantine->begun = SlBegunTable_New();
    quarantine->ends = g_array_new(FALSE, FALSE, sizeof(struct sl_end));
    quarantine->blocks =
        g_array_new(FALSE, FALSE, sizeof(struct sl_quarantine_block));
    quarantine->cleared =
        g_array_new(FALSE, FALSE, sizeof(struct sl_cleared_key));
    quarantine->changes =
        g_array_new(FALSE, FALSE, sizeof(struct sl_quarantine_change));
    return quarantine;
}

void
SlQuarantine_Free(struct sl_quarantine *quarantine)
{
    if (quarantine != NULL) {
        SlBegunTable_Free(quarantine->begun);
        g_array_free(quarantine->ends, TRUE);
        g_array_free(quarantine->blocks, TRUE);
        g_array_free(quarantine->cleared, TRUE);
        g_array_free(quarantine->changes, TRUE);
        g_free(quarantine);
    }
}

/* ---- changes ---- */

void
SlQuarantine_AddChange(struct sl_quarantine *quarantine,
                       enum sl_quarantine_change_type type,
                       const struct sl_quarantine_block *block,
                       const struct sl_blame *blame, bool is_reported)
{
    struct sl_quarantine_change change = {
        .type = type,
        .block = *block,
        .is_reported = is_reported,
    };
    if (blame != NULL) {
        change.ends = blame->ends;
        change.ends_total = blame->ends_total;
    }
    g_array_append_val(quarantine->changes, change);
}

const struct sl_quarantine_change *
SlQuarantine_Changes(const struct sl_quarantine *quarantine, size_t *count)
{
    *count = quarantine->changes->len;
    return (const struct sl_quarantine_change *)quarantine->changes->data;
}

void
SlQuarantine_ClearChanges(struct sl_quarantine *quarantine)
{
    g_array_set_size(quarantine->changes, 0);
}

bool
SlQuarantine_TakeNews(struct sl_quarantine *quarantine)
{
    bool has_news = quarantine->has_news;
    quarantine->has_news = false;
    return has_news;
}

/* ---- ends ---- */

/* Adds a key that a call held which had not begun at the end, unless a call
 * with it has begun shortly before. */
static void
accuse(const struct sl_quarantine *quarantine, int64_t now_us,
       struct sl_end *end, uint32_t key, bool has_started)
{
    size_t index = SlEnd_SuspectIndex(end, key);
    if (index < end->suspect_count) {
        struct sl_suspect *known = &end->suspects[index];
        known->has_started = known->has_started || has_started;
        return;
    }
    bool has_begun = !SlPromptKeys_IsWhole(key) &&
                     SlBegunTable_LastUs(quarantine->begun, key) >=
                         end->at_us - Sl_BEGUN_SHORTLY_US;
    if (end->suspect_count < Sl_MAX_SUSPECTS && !has_begun) {
        end->suspects[end->suspect_count++] = (struct sl_suspect){
            key, has_started,
            SlBegunTable_Share(quarantine->begun, now_us, end->service, key)};
    }
}

/* Adds the keys of the calls that had started, or of the others. */
static void
accuse_calls(const struct sl_quarantine *quarantine, int64_t now_us,
             struct sl_end *end, const struct sl_unbegun_call *calls,
             size_t count, bool has_started)
{
    for (size_t i = 0; i < count; i++) {
        const struct sl_prompt_keys *prompt = &calls[i].prompt;
        if (calls[i].has_started != has_started) {
            continue;
        }
        for (size_t j = 0; j < prompt->part_count; j++) {
            accuse(quarantine, now_us, end, prompt->parts[j], has_started);
        }
        if (has_started) {
            accuse(quarantine, now_us, end, prompt->whole, true);
        }
    }
}

void
SlQuarantine_OnEnd(struct sl_quarantine *quarantine, int64_t now_us,
                   const struct sl_ended_engine *ended,
                   const struct sl_unbegun_call *calls, size_t count)
{
    struct sl_end end = {.engine = ended->engine,
                         .service = ended->service,
                         .at_us = ended->at_us};
    /* There may be too many keys for an end: those of calls that had started
     * come first. */
    accuse_calls(quarantine, now_us, &end, calls, count, true);
    accuse_calls(quarantine, now_us, &end, calls, count, false);
    SlEnds_Add(quarantine, now_us, &end);
}

/* ---- calls that have begun ---- */

static struct sl_cleared_key *
cleared_at(const struct sl_quarantine *quarantine, guint index)
{
    return &g_array_index(quarantine->cleared, struct sl_cleared_key, index);
}

int64_t
SlQuarantine_ClearedUs(const struct sl_quarantine *quarantine, uint32_t key)
{
    for (guint i = 0; i < quarantine->cleared->len; i++) {
        if (cleared_at(quarantine, i)->key == key) {
            return cleared_at(quarantine, i)->begun_us;
        }
    }
    return INT64_MIN;
}

/* Adds the key to those that reports list as begun. */
static void
note_cleared(struct sl_quarantine *quarantine, uint32_t key, int64_t begun_us)
{
    struct sl_cleared_key cleared = {.key = key, .begun_us = begun_us};
    for (guint i = quarantine->cleared->len; i > 0; i--) {
        if (cleared_at(quarantine, i - 1)->key == key) {
            g_array_remove_index(quarantine->cleared, i - 1);
        }
    }
    if (quarantine->cleared->len == Sl_MAX_CLEARED) {
        g_array_remove_index(quarantine->cleared, 0);
    }
    quarantine->next_cleared = quarantine->cleared->len;
    g_array_append_val(quarantine->cleared, cleared);
    quarantine->has_news = true;
}

void
SlQuarantine_Clear(struct sl_quarantine *quarantine, uint32_t key,
                   int64_t begun_us, bool is_reported)
{
    bool was_suspect = SlEnds_RemoveSuspect(quarantine, key, begun_us);
    bool was_blocked =
        SlBlocks_RemoveKey(quarantine, key, begun_us, is_reported);
    if (was_suspect || was_blocked) {
        note_cleared(quarantine, key, begun_us);
    }
}

void
SlQuarantine_OnBegun(struct sl_quarantine *quarantine, int64_t now_us,
                     const struct sl_prompt_keys *prompt)
{
    SlBegunTable_CountKey(quarantine->begun, now_us, prompt->service);
    for (size_t i = 0; i < prompt->part_count; i++) {
        SlBegunTable_CountKey(quarantine->begun, now_us, prompt->parts[i]);
        SlQuarantine_Clear(quarantine, prompt->parts[i], now_us, false);
    }
    SlQuarantine_Clear(quarantine, prompt->whole, now_us, false);
}

/* ---- decisions ---- */

/* Returns true if the prompt holds all keys of the block. */
static bool
is_hit(const struct sl_quarantine_block *block,
       const struct sl_prompt_keys *prompt)
{
    for (size_t i = 0; i < block->key_count; i++) {
        if (!SlPromptKeys_Holds(prompt, block->keys[i])) {
            return false;
        }
    }
    return true;
}

struct sl_quarantine_verdict
SlQuarantine_Check(const struct sl_quarantine *quarantine,
                   const struct sl_prompt_keys *prompt)
{
    struct sl_quarantine_verdict verdict = {0};
    for (guint i = 0; i < quarantine->blocks->len; i++) {
        const struct sl_quarantine_block *block = SlBlocks_At(quarantine, i);
        if (is_hit(block, prompt) &&
            (!verdict.is_blocked ||
             block->trial_due_us > verdict.trial_due_us)) {
            verdict.is_blocked = true;
            verdict.key = block->keys[0];
            verdict.trial_due_us = block->trial_due_us;
        }
    }
    return verdict;
}

void
SlQuarantine_BeginTrial(struct sl_quarantine *quarantine, int64_t now_us,
                        const struct sl_prompt_keys *prompt)
{
    for (guint i = 0; i < quarantine->blocks->len; i++) {
        struct sl_quarantine_block *block = SlBlocks_At(quarantine, i);
        if (is_hit(block, prompt)) {
            block->is_in_trial = true;
            block->trial_due_us = now_us + Sl_TRIAL_US;
            quarantine->has_news = true;
            quarantine->next_block = i;
        }
    }
}

bool
SlQuarantine_IsSuspect(const struct sl_quarantine *quarantine,
                       const struct sl_prompt_keys *prompt)
{
    for (size_t i = 0; i < prompt->part_count; i++) {
        if (SlEnds_Count(quarantine, prompt->parts[i]) > 0) {
            return true;
        }
    }
    return SlEnds_Count(quarantine, prompt->whole) > 0;
}

const struct sl_quarantine_block *
SlQuarantine_Blocks(const struct sl_quarantine *quarantine, size_t *count)
{
    *count = quarantine->blocks->len;
    return (const struct sl_quarantine_block *)quarantine->blocks->data;
}

/* ---- expiry ---- */

void
SlQuarantine_Expire(struct sl_quarantine *quarantine, int64_t now_us)
{
    SlBlocks_Expire(quarantine, now_us);
    SlEnds_Expire(quarantine, now_us);
    while (quarantine->cleared->len > 0 &&
           now_us -
                   g_array_index(quarantine->cleared, struct sl_cleared_key, 0)
                       .begun_us >
               Sl_CLEARED_LIFETIME_US) {
        g_array_remove_index(quarantine->cleared, 0);
    }
}
