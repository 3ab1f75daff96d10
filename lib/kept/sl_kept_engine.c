/*
 * What an engine is claimed to hold. Age is counted in tokens rather than in
 * time: a part yields once the engine has read as much as its memory has room
 * for since the part was last used. This router sees only its own requests
 * there, and takes the other routers to send as much each.
 */
#include "sl_kept_internal.h"

/* Parts that are claimed at most, of one engine. */
#define Sl_MAX_CLAIMED_PARTS 4096
/* Time without use after which a part is no longer claimed. */
#define Sl_CLAIM_LIFETIME_US (120 * Sl_US_PER_S)
/* The same for an engine whose memory isn't known. */
#define Sl_CLAIM_UNSIZED_US (30 * Sl_US_PER_S)
/* Share of the room from which on a part may have yielded, and the one at
 * which it surely has: what the other routers send there is an estimate. */
#define Sl_YIELD_FROM 0.5
#define Sl_YIELD_UNTIL 1.5

struct sl_claimed_part {
    uint32_t key;
    int64_t used_us;
    double used_at;   /* `sent_tokens` then */
    bool is_reported; /* by a peer, and not sent by this router since */
    GList link;       /* in `by_age` */
};

struct sl_kept_engine *
SlKeptEngine_New(uint32_t id)
{
    struct sl_kept_engine *engine = g_new0(struct sl_kept_engine, 1);
    engine->id = id;
    engine->trust = 1;
    return engine;
}

void
SlKeptEngine_Reset(struct sl_kept_engine *engine)
{
    if (engine->parts != NULL) {
        g_hash_table_destroy(engine->parts);
    }
    engine->parts = NULL;
    g_queue_init(&engine->by_age);
    engine->trust = 1;
}

void
SlKeptEngine_Free(struct sl_kept_engine *engine)
{
    if (engine != NULL) {
        SlKeptEngine_Reset(engine);
        g_free(engine);
    }
}

static struct sl_claimed_part *
part_of(const struct sl_kept_engine *engine, uint32_t key)
{
    return engine->parts == NULL
               ? NULL
               : g_hash_table_lookup(engine->parts, GUINT_TO_POINTER(key));
}

static void
remove_oldest(struct sl_kept_engine *engine)
{
    const struct sl_claimed_part *part = engine->by_age.head->data;
    uint32_t key = part->key;
    g_queue_unlink(&engine->by_age, engine->by_age.head);
    g_hash_table_remove(engine->parts, GUINT_TO_POINTER(key));
}

/* Claims the part, or makes it the most recently used one. */
static void
use_part(struct sl_kept_engine *engine, int64_t now_us, uint32_t key,
         bool is_reported)
{
    struct sl_claimed_part *part = part_of(engine, key);
    if (part != NULL) {
        g_queue_unlink(&engine->by_age, &part->link);
    }
    else {
        if (engine->by_age.length == Sl_MAX_CLAIMED_PARTS) {
            remove_oldest(engine);
        }
        if (engine->parts == NULL) {
            engine->parts = g_hash_table_new_full(
                g_direct_hash, g_direct_equal, NULL, g_free);
        }
        part = g_new0(struct sl_claimed_part, 1);
        part->key = key;
        part->link.data = part;
        g_hash_table_insert(engine->parts, GUINT_TO_POINTER(key), part);
    }
    part->used_us = now_us;
    part->used_at = engine->sent_tokens;
    part->is_reported = is_reported;
    g_queue_push_tail_link(&engine->by_age, &part->link);
}

static bool
has_yielded(const struct sl_kept_engine *engine,
            const struct sl_claimed_part *part)
{
    return engine->room_tokens > 0 && engine->sent_tokens - part->used_at >
                                          Sl_YIELD_UNTIL * engine->room_tokens;
}

void
SlKeptEngine_OnSent(struct sl_kept_engine *engine, int64_t now_us,
                    const struct sl_kept_prompt *prompt,
                    const struct sl_kept_memory *memory)
{
    double unclaimed_tokens = (double)prompt->tokens;
    for (size_t i = 0;
         i < prompt->part_count && part_of(engine, prompt->parts[i].key);
         i++) {
        unclaimed_tokens -= (double)prompt->parts[i].tokens;
    }
    engine->sent_tokens +=
        MAX(unclaimed_tokens, 0) * (double)MAX(memory->routers, 1);
    engine->room_tokens =
        memory->tokens > 0
            ? (double)MAX(memory->tokens - memory->held_tokens, 1)
            : 0;
    for (size_t i = 0; i < prompt->part_count; i++) {
        use_part(engine, now_us, prompt->parts[i].key, false);
    }
    while (has_yielded(
        engine, engine->by_age.head == NULL
                    ? &(struct sl_claimed_part){.used_at = engine->sent_tokens}
                    : engine->by_age.head->data)) {
        remove_oldest(engine);
    }
}

void
SlKeptEngine_OnReport(struct sl_kept_engine *engine, int64_t now_us,
                      const struct sl_gossip_kept_part *report)
{
    int64_t used_us = now_us - report->age_ms * Sl_US_PER_MS;
    const struct sl_claimed_part *part = part_of(engine, report->part);
    if (part == NULL || part->used_us < used_us) {
        use_part(engine, used_us, report->part, true);
    }
}

void
SlKeptEngine_Expire(struct sl_kept_engine *engine, int64_t now_us)
{
    int64_t lifetime_us =
        engine->room_tokens > 0 ? Sl_CLAIM_LIFETIME_US : Sl_CLAIM_UNSIZED_US;
    while (engine->by_age.head != NULL) {
        const struct sl_claimed_part *part = engine->by_age.head->data;
        if (now_us - part->used_us <= lifetime_us) {
            break;
        }
        remove_oldest(engine);
    }
}

static double
claim_of(const struct sl_kept_engine *engine,
         const struct sl_claimed_part *part)
{
    if (part == NULL) {
        return 0;
    }
    if (engine->room_tokens <= 0) {
        return 1;
    }
    double used_room =
        (engine->sent_tokens - part->used_at) / engine->room_tokens;
    return CLAMP(
        (Sl_YIELD_UNTIL - used_room) / (Sl_YIELD_UNTIL - Sl_YIELD_FROM), 0, 1);
}

void
SlKeptEngine_Claims(const struct sl_kept_engine *engine,
                    const struct sl_kept_prompt *prompt,
                    double claims[Sl_KEPT_MAX_PARTS])
{
    double reported = 0;
    for (size_t i = prompt->part_count; i > 0; i--) {
        const struct sl_claimed_part *part =
            part_of(engine, prompt->parts[i - 1].key);
        double claim = claim_of(engine, part);
        if (part != NULL && part->is_reported) {
            /* Peers report the deepest shared part alone: it was sent with
             * those before it. */
            reported = MAX(reported, claim);
        }
        claims[i - 1] = MAX(claim, reported);
    }
}

double
SlKeptEngine_Trust(const struct sl_kept_engine *engine)
{
    return engine->trust;
}

size_t
SlKeptEngine_PartCount(const struct sl_kept_engine *engine)
{
    return engine->by_age.length;
}
