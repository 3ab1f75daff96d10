/* Ends of engines, with the keys that they may have ended by. */
#include "sl_quarantine_internal.h"

/* Ends of an engine at times that differ by less are one end, as several
 * routers saw it. */
#define Sl_SAME_END_US Sl_US_PER_S
/* Time for which an end counts. */
#define Sl_END_LIFETIME_US (600 * Sl_US_PER_S)

static struct sl_end *
end_at(const struct sl_quarantine *quarantine, guint index)
{
    return &g_array_index(quarantine->ends, struct sl_end, index);
}

/* ---- suspects ---- */

/* Returns the index of the key among the end's suspects; their number if it is
 * none. */
size_t
SlEnd_SuspectIndex(const struct sl_end *end, uint32_t key)
{
    size_t index = 0;
    while (index < end->suspect_count && end->suspects[index].key != key) {
        index++;
    }
    return index;
}

bool
SlEnd_HasSuspect(const struct sl_end *end, uint32_t key)
{
    return SlEnd_SuspectIndex(end, key) < end->suspect_count;
}

unsigned
SlEnds_Count(const struct sl_quarantine *quarantine, uint32_t key)
{
    unsigned count = 0;
    for (guint i = 0; i < quarantine->ends->len; i++) {
        count += SlEnd_HasSuspect(end_at(quarantine, i), key) ? 1 : 0;
    }
    return count;
}

/* Returns what is known of a key of the service. Ends that blocks of other
 * keys explain do not count. */
static struct sl_blame
find_blame(const struct sl_quarantine *quarantine, int64_t now_us,
           uint32_t service, uint32_t key)
{
    const struct sl_begun_table *begun = quarantine->begun;
    struct sl_blame blame = {
        .is_whole = SlPromptKeys_IsWhole(key),
        .calls = SlBegunTable_Calls(begun, now_us, service),
        .begun_share = SlBegunTable_Share(begun, now_us, service, key),
    };
    uint64_t begun_total = SlBegunTable_Total(begun, service);
    uint64_t begun_before = begun_total;
    int64_t first_us = INT64_MAX;
    int64_t last_us = INT64_MIN;
    for (guint i = 0; i < quarantine->ends->len; i++) {
        const struct sl_end *end = end_at(quarantine, i);
        size_t suspect = SlEnd_SuspectIndex(end, key);
        if (suspect < end->suspect_count &&
            !SlBlocks_Explain(quarantine, end, &key)) {
            blame.ends++;
            blame.started_ends += end->suspects[suspect].has_started ? 1 : 0;
            last_us = MAX(last_us, end->at_us);
            blame.begun_share =
                MAX(blame.begun_share, end->suspects[suspect].begun_share);
            begun_before = MIN(begun_before, end->begun_before);
            first_us = MIN(first_us, end->at_us);
        }
    }
    for (guint i = 0; i < quarantine->ends->len; i++) {
        const struct sl_end *end = end_at(quarantine, i);
        blame.ends_total += end->service == service &&
                                    end->at_us >= first_us &&
                                    !SlBlocks_Explain(quarantine, end, &key)
                                ? 1
                                : 0;
    }
    blame.spread_us = blame.ends > 0 ? last_us - first_us : 0;
    blame.begun_since = (double)(begun_total - begun_before);
    return blame;
}

/* Returns true if the two keys are suspects of the very same ends. */
static bool
have_same_ends(const struct sl_quarantine *quarantine, uint32_t a, uint32_t b)
{
    for (guint i = 0; i < quarantine->ends->len; i++) {
        const struct sl_end *end = end_at(quarantine, i);
        if (SlEnd_HasSuspect(end, a) != SlEnd_HasSuspect(end, b)) {
            return false;
        }
    }
    return true;
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;
    return x < y ? -1 : x > y;
}

/* Fills `keys` with the key, a suspect of the end, and those that cannot be
 * told from it, ascending. Parts and whole prompts are kept apart. Returns
 * their number. */
static size_t
find_inseparable(const struct sl_quarantine *quarantine,
                 const struct sl_end *end, uint32_t key,
                 uint32_t keys[Sl_GOSSIP_MAX_BLOCK_KEYS])
{
    size_t count = 0;
    keys[count++] = key;
    for (size_t i = 0;
         i < end->suspect_count && count < Sl_GOSSIP_MAX_BLOCK_KEYS; i++) {
        uint32_t other = end->suspects[i].key;
        if (other != key &&
            SlPromptKeys_IsWhole(other) == SlPromptKeys_IsWhole(key) &&
            have_same_ends(quarantine, key, other)) {
            keys[count++] = other;
        }
    }
    qsort(keys, count, sizeof(keys[0]), compare_keys);
    return count;
}

/* ---- add ---- */

/* Blocks the suspects of the end that are guilty. Of several whole prompts
 * with the same ends, no request holds all. */
static void
judge_suspects(struct sl_quarantine *quarantine, int64_t now_us, guint index)
{
    for (size_t i = 0; i < end_at(quarantine, index)->suspect_count; i++) {
        const struct sl_end *end = end_at(quarantine, index);
        uint32_t keys[Sl_GOSSIP_MAX_BLOCK_KEYS];
        uint32_t key = end->suspects[i].key;
        struct sl_blame blame =
            find_blame(quarantine, now_us, end->service, key);
        if (!SlBlame_IsGuilty(&blame)) {
            continue;
        }
        size_t count = find_inseparable(quarantine, end, key, keys);
        if (count == 1 || !blame.is_whole) {
            SlBlocks_AddGuilty(quarantine, keys, count, end->at_us, &blame);
        }
    }
}

/* Returns the index of the same end as another router saw it; the number of
 * ends if there is none. */
static guint
find_same_end(const struct sl_quarantine *quarantine, const struct sl_end *end)
{
    for (guint i = quarantine->ends->len; i > 0; i--) {
        const struct sl_end *known = end_at(quarantine, i - 1);
        if (known->engine == end->engine &&
            ABS(known->at_us - end->at_us) < Sl_SAME_END_US) {
            return i - 1;
        }
    }
    return quarantine->ends->len;
}

/* Removes the oldest end; one without suspects if there is any. */
static void
evict_end(struct sl_quarantine *quarantine)
{
    guint index = 0;
    for (guint i = quarantine->ends->len; i > 0; i--) {
        if (end_at(quarantine, i - 1)->suspect_count == 0) {
            index = i - 1;
        }
    }
    g_array_remove_index(quarantine->ends, index);
}

/* Returns the place for a further suspect of the end: if there is no room,
 * that of one whose call had not started, in favor of one whose call had.
 * Returns NULL if there is none. */
static struct sl_suspect *
find_place(struct sl_end *end, bool has_started)
{
    if (end->suspect_count < Sl_MAX_SUSPECTS) {
        return &end->suspects[end->suspect_count++];
    }
    for (size_t i = 0; has_started && i < end->suspect_count; i++) {
        if (!end->suspects[i].has_started) {
            return &end->suspects[i];
        }
    }
    return NULL;
}

/* Adds a suspect to the end, or updates it. Returns true if that is new
 * evidence. */
static bool
add_suspect(struct sl_quarantine *quarantine, struct sl_end *end,
            const struct sl_suspect *suspect)
{
    size_t index = SlEnd_SuspectIndex(end, suspect->key);
    if (index < end->suspect_count) {
        struct sl_suspect *known = &end->suspects[index];
        bool is_new = suspect->has_started && !known->has_started;
        known->begun_share = MAX(known->begun_share, suspect->begun_share);
        known->has_started = known->has_started || suspect->has_started;
        return is_new;
    }
    if (SlBegunTable_LastUs(quarantine->begun, suspect->key) > end->at_us) {
        return false;
    }
    struct sl_suspect *place = find_place(end, suspect->has_started);
    if (place == NULL) {
        return false;
    }
    *place = *suspect;
    if (suspect->has_started && SlEnds_Count(quarantine, suspect->key) == 2) {
        struct sl_quarantine_block single = {.key_count = 1,
                                             .keys = {suspect->key}};
        SlQuarantine_AddChange(quarantine, Sl_QUARANTINE_SUSPECTED, &single,
                               NULL, false);
    }
    return true;
}

void
SlEnds_Add(struct sl_quarantine *quarantine, int64_t now_us,
           const struct sl_end *end)
{
    guint index = find_same_end(quarantine, end);
    if (index == quarantine->ends->len) {
        struct sl_end added = *end;
        added.begun_before =
            SlBegunTable_Total(quarantine->begun, end->service);
        added.suspect_count = 0;
        if (quarantine->ends->len == Sl_MAX_ENDS) {
            evict_end(quarantine);
        }
        index = quarantine->ends->len;
        g_array_append_val(quarantine->ends, added);
    }
    struct sl_end *known = end_at(quarantine, index);
    bool has_new = false;
    known->at_us = MIN(known->at_us, end->at_us);
    for (size_t i = 0; i < end->suspect_count; i++) {
        has_new = add_suspect(quarantine, known, &end->suspects[i]) || has_new;
    }
    if (has_new) {
        quarantine->has_news = true;
        quarantine->next_end = index;
        SlBlocks_Confirm(quarantine, known);
        judge_suspects(quarantine, now_us, index);
    }
}

/* ---- remove ---- */

/* Removes the suspect from ends before `begun_us`. Returns true if it was one.
 */
bool
SlEnds_RemoveSuspect(struct sl_quarantine *quarantine, uint32_t key,
                     int64_t begun_us)
{
    bool was_suspect = false;
    for (guint i = 0; i < quarantine->ends->len; i++) {
        struct sl_end *end = end_at(quarantine, i);
        size_t index = SlEnd_SuspectIndex(end, key);
        if (index < end->suspect_count && end->at_us < begun_us) {
            end->suspects[index] = end->suspects[--end->suspect_count];
            was_suspect = true;
        }
    }
    return was_suspect;
}

void
SlEnds_Expire(struct sl_quarantine *quarantine, int64_t now_us)
{
    for (guint i = quarantine->ends->len; i > 0; i--) {
        if (now_us - end_at(quarantine, i - 1)->at_us > Sl_END_LIFETIME_US) {
            g_array_remove_index(quarantine->ends, i - 1);
        }
    }
}
