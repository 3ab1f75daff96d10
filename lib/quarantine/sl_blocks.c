/* Blocks: sets of keys of which a request must not hold all. None of them
 * holds all keys of another one. */
#include "sl_quarantine_internal.h"

/* Time from the last end to the first trial of a block. It doubles with each
 * trial that fails, this often at most. */
#define Sl_BLOCK_US (30 * Sl_US_PER_S)
#define Sl_MAX_DOUBLINGS 6
/* Longest duration of a block. */
#define Sl_MAX_BLOCK_US (Sl_BLOCK_US << Sl_MAX_DOUBLINGS)
/* Time after which a block that is due for a trial is dropped, if there was
 * none. */
#define Sl_BLOCK_IDLE_US (600 * Sl_US_PER_S)
/* Times in reports are later by the time that the report took. Routers would
 * carry each other further and further, so that a smaller difference does not
 * count. */
#define Sl_MIN_DIFFERENCE_US (2 * Sl_US_PER_S)
/* Time that a report usually takes at most. */
#define Sl_REPORT_LATENCY_US (300 * Sl_US_PER_MS)

struct sl_quarantine_block *
SlBlocks_At(const struct sl_quarantine *quarantine, guint index)
{
    return &g_array_index(quarantine->blocks, struct sl_quarantine_block,
                          index);
}

/* Marks the block as news for the peers. */
static void
set_news(struct sl_quarantine *quarantine,
         const struct sl_quarantine_block *block)
{
    quarantine->has_news = true;
    quarantine->next_block = (guint)(block - SlBlocks_At(quarantine, 0));
}

/* ---- keys ---- */

static bool
block_holds(const struct sl_quarantine_block *block, uint32_t key)
{
    for (size_t i = 0; i < block->key_count; i++) {
        if (block->keys[i] == key) {
            return true;
        }
    }
    return false;
}

/* Returns true if `block` holds all keys of `other`. */
static bool
holds_all_of(const struct sl_quarantine_block *block,
             const struct sl_quarantine_block *other)
{
    for (size_t i = 0; i < other->key_count; i++) {
        if (!block_holds(block, other->keys[i])) {
            return false;
        }
    }
    return true;
}

static void
remove_key(struct sl_quarantine_block *block, uint32_t key)
{
    size_t kept = 0;
    for (size_t i = 0; i < block->key_count; i++) {
        if (block->keys[i] != key) {
            block->keys[kept++] = block->keys[i];
        }
    }
    block->key_count = kept;
}

static bool
is_of_whole(const struct sl_quarantine_block *block)
{
    return SlPromptKeys_IsWhole(block->keys[0]);
}

/* Returns the time for which a block lasts after a trial is due, if there is
 * none. That of a whole prompt needs no trial. */
static int64_t
idle_us(const struct sl_quarantine_block *block)
{
    return is_of_whole(block) ? 0 : Sl_BLOCK_IDLE_US;
}

int64_t
SlBlocks_ExpiryUs(const struct sl_quarantine_block *block)
{
    return block->trial_due_us + idle_us(block);
}

static int64_t
duration_us(unsigned failed_trials)
{
    return Sl_BLOCK_US << MIN(failed_trials, Sl_MAX_DOUBLINGS);
}

/* ---- add ---- */

/* Makes room for a block. Blocks of whole prompts go first, then those whose
 * last end is longest ago. */
static void
evict(struct sl_quarantine *quarantine)
{
    guint oldest = 0;
    for (guint i = 1; i < quarantine->blocks->len; i++) {
        const struct sl_quarantine_block *block = SlBlocks_At(quarantine, i);
        const struct sl_quarantine_block *best =
            SlBlocks_At(quarantine, oldest);
        if (is_of_whole(block) != is_of_whole(best)
                ? is_of_whole(block)
                : block->last_end_us < best->last_end_us) {
            oldest = i;
        }
    }
    SlQuarantine_AddChange(quarantine, Sl_QUARANTINE_EXPIRED,
                           SlBlocks_At(quarantine, oldest), NULL, false);
    g_array_remove_index(quarantine->blocks, oldest);
}

/* Returns the later one of two times, of which `reported` may be late. */
static int64_t
later_us(int64_t known_us, int64_t reported_us)
{
    return reported_us > known_us + Sl_MIN_DIFFERENCE_US ? reported_us
                                                         : known_us;
}

/* Takes over what is newer in `block`, which has the same keys. */
static void
update(struct sl_quarantine *quarantine, struct sl_quarantine_block *known,
       const struct sl_quarantine_block *block)
{
    int64_t trial_due_us = later_us(known->trial_due_us, block->trial_due_us);
    if (trial_due_us != known->trial_due_us ||
        block->failed_trials > known->failed_trials) {
        set_news(quarantine, known);
    }
    known->last_end_us = later_us(known->last_end_us, block->last_end_us);
    known->trial_due_us = trial_due_us;
    known->failed_trials = MAX(known->failed_trials, block->failed_trials);
}

/* Returns true if a block is known whose keys are all in `block`; updates it
 * if they are the same. */
static bool
is_covered(struct sl_quarantine *quarantine,
           const struct sl_quarantine_block *block)
{
    for (guint i = 0; i < quarantine->blocks->len; i++) {
        struct sl_quarantine_block *known = SlBlocks_At(quarantine, i);
        if (!holds_all_of(block, known)) {
            continue;
        }
        if (known->key_count == block->key_count) {
            update(quarantine, known, block);
        }
        return true;
    }
    return false;
}

/* Adds the block unless it is covered; blocks that it covers end. */
static void
add(struct sl_quarantine *quarantine, const struct sl_quarantine_block *block,
    const struct sl_blame *blame)
{
    if (is_covered(quarantine, block)) {
        return;
    }
    for (guint i = quarantine->blocks->len; i > 0; i--) {
        if (holds_all_of(SlBlocks_At(quarantine, i - 1), block)) {
            g_array_remove_index(quarantine->blocks, i - 1);
        }
    }
    if (quarantine->blocks->len == Sl_MAX_BLOCKS) {
        evict(quarantine);
    }
    g_array_append_val(quarantine->blocks, *block);
    SlQuarantine_AddChange(quarantine, Sl_QUARANTINE_BLOCKED, block, blame,
                           blame == NULL);
    set_news(quarantine, SlBlocks_At(quarantine, quarantine->blocks->len - 1));
}

void
SlBlocks_AddGuilty(struct sl_quarantine *quarantine, const uint32_t *keys,
                   size_t count, int64_t end_us, const struct sl_blame *blame)
{
    struct sl_quarantine_block block = {
        .key_count = count,
        .last_end_us = end_us,
        .trial_due_us = end_us + Sl_BLOCK_US,
    };
    memcpy(block.keys, keys, count * sizeof(keys[0]));
    add(quarantine, &block, blame);
}

/* Returns true if a call with the key has begun after an end that a report
 * says was at `end_us`, which is later than it was. */
static bool
has_begun_since(const struct sl_quarantine *quarantine, uint32_t key,
                int64_t end_us)
{
    return SlBegunTable_LastUs(quarantine->begun, key) >=
               end_us - Sl_REPORT_LATENCY_US ||
           SlQuarantine_ClearedUs(quarantine, key) >=
               end_us - Sl_MIN_DIFFERENCE_US;
}

void
SlBlocks_AddReported(struct sl_quarantine *quarantine, int64_t now_us,
                     const struct sl_quarantine_block *block,
                     int64_t expiry_us)
{
    struct sl_quarantine_block added = *block;
    if (expiry_us - now_us < Sl_MIN_DIFFERENCE_US) {
        return; /* it has ended here, and will soon end at the peer */
    }
    added.key_count = 0;
    for (size_t i = 0; i < block->key_count; i++) {
        if (!has_begun_since(quarantine, block->keys[i], block->last_end_us)) {
            added.keys[added.key_count++] = block->keys[i];
        }
    }
    added.trial_due_us =
        MIN(expiry_us - idle_us(block), now_us + Sl_MAX_BLOCK_US);
    added.failed_trials = MIN(block->failed_trials, Sl_MAX_DOUBLINGS);
    if (added.key_count > 0) {
        add(quarantine, &added, NULL);
    }
}

/* ---- ends ---- */

/* Returns true if the keys of the block are all suspects of the end. */
static bool
block_explains(const struct sl_quarantine_block *block,
               const struct sl_end *end)
{
    for (size_t i = 0; i < block->key_count; i++) {
        if (!SlEnd_HasSuspect(end, block->keys[i])) {
            return false;
        }
    }
    return true;
}

bool
SlBlocks_Explain(const struct sl_quarantine *quarantine,
                 const struct sl_end *end, const uint32_t *except)
{
    for (guint i = 0; i < quarantine->blocks->len; i++) {
        const struct sl_quarantine_block *block = SlBlocks_At(quarantine, i);
        if (!is_of_whole(block) &&
            (except == NULL || !block_holds(block, *except)) &&
            block_explains(block, end)) {
            return true;
        }
    }
    return false;
}

/* Updates the blocks that explain the end, which are thus confirmed. */
void
SlBlocks_Confirm(struct sl_quarantine *quarantine, const struct sl_end *end)
{
    for (guint i = 0; i < quarantine->blocks->len; i++) {
        struct sl_quarantine_block *block = SlBlocks_At(quarantine, i);
        if (end->at_us <= block->last_end_us || !block_explains(block, end)) {
            continue;
        }
        block->last_end_us = end->at_us;
        if (block->is_in_trial) {
            block->is_in_trial = false;
            block->failed_trials++;
            set_news(quarantine, block);
            /* The timeout of the trial no longer counts. */
            block->trial_due_us = 0;
            SlQuarantine_AddChange(quarantine, Sl_QUARANTINE_TRIAL_FAILED,
                                   block, NULL, false);
        }
        block->trial_due_us =
            MAX(block->trial_due_us,
                end->at_us + duration_us(block->failed_trials));
    }
}

/* ---- release ---- */

/* Removes the key from blocks whose last end is before `begun_us`, and lifts
 * those that have no other key. Returns true if it was in one. */
bool
SlBlocks_RemoveKey(struct sl_quarantine *quarantine, uint32_t key,
                   int64_t begun_us, bool is_reported)
{
    bool was_blocked = false;
    for (guint i = quarantine->blocks->len; i > 0; i--) {
        struct sl_quarantine_block *block = SlBlocks_At(quarantine, i - 1);
        if (block->last_end_us >= begun_us || !block_holds(block, key)) {
            continue;
        }
        was_blocked = true;
        if (block->key_count == 1) {
            SlQuarantine_AddChange(quarantine, Sl_QUARANTINE_RELEASED, block,
                                   NULL, is_reported);
            g_array_remove_index(quarantine->blocks, i - 1);
        }
        else {
            remove_key(block, key);
        }
    }
    return was_blocked;
}

void
SlBlocks_Expire(struct sl_quarantine *quarantine, int64_t now_us)
{
    for (guint i = quarantine->blocks->len; i > 0; i--) {
        const struct sl_quarantine_block *block =
            SlBlocks_At(quarantine, i - 1);
        if (now_us >= SlBlocks_ExpiryUs(block)) {
            SlQuarantine_AddChange(quarantine, Sl_QUARANTINE_EXPIRED, block,
                                   NULL, false);
            g_array_remove_index(quarantine->blocks, i - 1);
        }
    }
}
