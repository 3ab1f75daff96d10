/*
 * Reports to the other routers. A report has room for a few items of each
 * kind: it begins with those that have changed, and the next one goes on where
 * it ends. What a router has learned from a report is in its own reports, so
 * that it reaches routers which the first one does not.
 */
#include "sl_quarantine_internal.h"

/* Time for which an end, or that a key has begun, is reported. */
#define Sl_REPORT_US (10 * Sl_US_PER_S)

static uint32_t
to_ms(int64_t us)
{
    return (uint32_t)CLAMP(us / Sl_US_PER_MS, 0, (int64_t)UINT32_MAX);
}

/* ---- suspects ---- */

/* A suspect of an end that is reported. */
struct sl_ranked_suspect {
    struct sl_suspect suspect;
    unsigned ends;
};

/* Orders suspects: those of calls that had started, then those with the most
 * ends, then those that the fewest calls hold that have begun. */
static gint
compare_suspects(gconstpointer left, gconstpointer right)
{
    const struct sl_ranked_suspect *a = left;
    const struct sl_ranked_suspect *b = right;
    if (a->suspect.has_started != b->suspect.has_started) {
        return a->suspect.has_started ? -1 : 1;
    }
    if (a->ends != b->ends) {
        return a->ends > b->ends ? -1 : 1;
    }
    if (a->suspect.begun_share != b->suspect.begun_share) {
        return a->suspect.begun_share < b->suspect.begun_share ? -1 : 1;
    }
    return a->suspect.key < b->suspect.key   ? -1
           : a->suspect.key > b->suspect.key ? 1
                                             : 0;
}

/* Adds the suspects that are parts to the report of the end. Whole prompts
 * are left out: their requests are at one router. */
static void
fill_suspects(const struct sl_quarantine *quarantine, int64_t now_us,
              const struct sl_end *end, struct sl_gossip_end *report)
{
    struct sl_ranked_suspect ranked[Sl_MAX_SUSPECTS];
    size_t count = 0;
    for (size_t i = 0; i < end->suspect_count; i++) {
        struct sl_suspect suspect = end->suspects[i];
        if (!SlPromptKeys_IsWhole(suspect.key)) {
            suspect.begun_share =
                MAX(suspect.begun_share,
                    SlBegunTable_Share(quarantine->begun, now_us, end->service,
                                       suspect.key));
            ranked[count++] = (struct sl_ranked_suspect){
                suspect, SlEnds_Count(quarantine, suspect.key)};
        }
    }
    qsort(ranked, count, sizeof(ranked[0]), compare_suspects);
    report->suspect_count = MIN(count, Sl_GOSSIP_MAX_SUSPECTS);
    for (size_t i = 0; i < report->suspect_count; i++) {
        const struct sl_suspect *suspect = &ranked[i].suspect;
        report->suspects[i] = (struct sl_gossip_suspect){
            .key = suspect->key,
            .has_started = suspect->has_started,
            .begun_share =
                (uint8_t)(suspect->begun_share * Sl_GOSSIP_SHARE_STEPS + 0.5),
        };
    }
}

/* ---- fill ---- */

static void
fill_ends(struct sl_quarantine *quarantine, int64_t now_us,
          struct sl_gossip_quarantine *report)
{
    guint count = quarantine->ends->len;
    guint first = quarantine->next_end;
    report->end_count = 0;
    for (guint i = 0; i < count && report->end_count < Sl_GOSSIP_MAX_ENDS;
         i++) {
        guint index = (first + i) % count;
        const struct sl_end *end =
            &g_array_index(quarantine->ends, struct sl_end, index);
        if (now_us - end->at_us >= Sl_REPORT_US ||
            SlBlocks_Explain(quarantine, end, NULL)) {
            continue;
        }
        struct sl_gossip_end *item = &report->ends[report->end_count++];
        item->engine = end->engine;
        item->service = end->service;
        item->age_ms = to_ms(now_us - end->at_us);
        fill_suspects(quarantine, now_us, end, item);
        quarantine->next_end = index + 1;
    }
}

static void
fill_blocks(struct sl_quarantine *quarantine, int64_t now_us,
            struct sl_gossip_quarantine *report)
{
    guint count = quarantine->blocks->len;
    report->block_count = MIN(count, Sl_GOSSIP_MAX_BLOCKS);
    for (size_t i = 0; i < report->block_count; i++) {
        const struct sl_quarantine_block *block =
            &g_array_index(quarantine->blocks, struct sl_quarantine_block,
                           quarantine->next_block++ % count);
        struct sl_gossip_block *item = &report->blocks[i];
        item->end_age_ms = to_ms(now_us - block->last_end_us);
        item->expires_in_ms = to_ms(SlBlocks_ExpiryUs(block) - now_us);
        item->failed_trials = block->failed_trials;
        item->key_count = block->key_count;
        memcpy(item->keys, block->keys, sizeof(item->keys));
    }
}

static void
fill_cleared(struct sl_quarantine *quarantine, int64_t now_us,
             struct sl_gossip_quarantine *report)
{
    guint count = quarantine->cleared->len;
    guint first = quarantine->next_cleared;
    report->cleared_count = 0;
    for (guint i = 0;
         i < count && report->cleared_count < Sl_GOSSIP_MAX_CLEARED; i++) {
        guint index = (first + i) % count;
        const struct sl_cleared_key *cleared =
            &g_array_index(quarantine->cleared, struct sl_cleared_key, index);
        if (now_us - cleared->begun_us < Sl_REPORT_US) {
            struct sl_gossip_cleared *item =
                &report->cleared[report->cleared_count++];
            item->key = cleared->key;
            item->age_ms = to_ms(now_us - cleared->begun_us);
            quarantine->next_cleared = index + 1;
        }
    }
}

void
SlQuarantine_FillReport(struct sl_quarantine *quarantine, int64_t now_us,
                        struct sl_gossip_quarantine *report)
{
    fill_ends(quarantine, now_us, report);
    fill_blocks(quarantine, now_us, report);
    fill_cleared(quarantine, now_us, report);
}

/* ---- reports of peers ---- */

static void
add_reported_end(struct sl_quarantine *quarantine, int64_t now_us,
                 const struct sl_gossip_end *report)
{
    struct sl_end end = {
        .engine = report->engine,
        .service = report->service,
        .at_us = now_us - report->age_ms * Sl_US_PER_MS,
        .suspect_count = report->suspect_count,
    };
    for (size_t i = 0; i < report->suspect_count; i++) {
        const struct sl_gossip_suspect *suspect = &report->suspects[i];
        end.suspects[i] = (struct sl_suspect){
            suspect->key, suspect->has_started,
            (double)suspect->begun_share / Sl_GOSSIP_SHARE_STEPS};
    }
    SlEnds_Add(quarantine, now_us, &end);
}

static void
add_reported_block(struct sl_quarantine *quarantine, int64_t now_us,
                   const struct sl_gossip_block *report)
{
    struct sl_quarantine_block block = {
        .key_count = report->key_count,
        .last_end_us = now_us - report->end_age_ms * Sl_US_PER_MS,
        .failed_trials = report->failed_trials,
    };
    memcpy(block.keys, report->keys, sizeof(block.keys));
    SlBlocks_AddReported(quarantine, now_us, &block,
                         now_us + report->expires_in_ms * Sl_US_PER_MS);
}

void
SlQuarantine_OnReport(struct sl_quarantine *quarantine, int64_t now_us,
                      const struct sl_gossip_quarantine *report)
{
    /* First the keys that have begun, which ends and blocks do not count. */
    for (size_t i = 0; i < report->cleared_count; i++) {
        int64_t begun_us = now_us - report->cleared[i].age_ms * Sl_US_PER_MS;
        SlBegunTable_NoteKey(quarantine->begun, begun_us,
                             report->cleared[i].key);
        SlQuarantine_Clear(quarantine, report->cleared[i].key, begun_us, true);
    }
    for (size_t i = 0; i < report->block_count; i++) {
        add_reported_block(quarantine, now_us, &report->blocks[i]);
    }
    for (size_t i = 0; i < report->end_count; i++) {
        add_reported_end(quarantine, now_us, &report->ends[i]);
    }
}
