/* Waiting requests of an agent, in the order in which they will run.
 *
 * Each priority is a level, each team with waiting requests has a lane in it.
 * Lanes take turns by the number of requests that they have had (start-time
 * fair queueing with equal costs), a lane runs its earliest deadline first.
 * Every operation takes O(log n) time; only the helpers that look ahead visit
 * the lanes of one level. */
#include "sl_policy.h"

/* Shortest wait worth a caller's new attempt. */
#define Sl_RETRY_AFTER_MIN_US (100 * Sl_US_PER_MS)

/* ---- types ---- */

struct sl_lane {
    struct sl_name team;
    uint64_t served;     /* turns had, in the level's virtual time */
    uint64_t number;     /* breaks ties */
    GSequence *items;    /* struct sl_item, by deadline */
    GSequenceIter *turn; /* in the level's turns; NULL while empty */
};

struct sl_level {
    size_t count;
    uint64_t turns_had; /* virtual time: turns of the lane served last */
    GHashTable *lanes;  /* team -> struct sl_lane, owned */
    GSequence *turns;   /* lanes that have items, next one first */
};

struct sl_item {
    struct sl_queue_item queued;
    uint64_t number; /* order of arrival */
    struct sl_level *level;
    struct sl_lane *lane;
    GSequenceIter *in_lane;
    GSequenceIter *by_deadline;
};

struct sl_queue {
    struct sl_queue_options options;
    struct sl_level levels[Sl_PRIORITY_MAX + 1];
    GHashTable *items;      /* id -> struct sl_item, owned */
    GSequence *by_deadline; /* every item */
    uint64_t next_number;
    bool last_was_urgent;
};

/* ---- helpers ---- */

static gint
compare(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

static gint
compare_items(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct sl_item *left = a;
    const struct sl_item *right = b;
    (void)unused;
    gint order = compare(left->queued.deadline_us, right->queued.deadline_us);
    return order != 0 ? order
                      : compare((int64_t)left->number, (int64_t)right->number);
}

static gint
compare_lanes(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct sl_lane *left = a;
    const struct sl_lane *right = b;
    (void)unused;
    gint order = compare((int64_t)left->served, (int64_t)right->served);
    return order != 0 ? order
                      : compare((int64_t)left->number, (int64_t)right->number);
}

static void
free_lane(gpointer data)
{
    struct sl_lane *lane = data;
    g_sequence_free(lane->items);
    g_free(lane);
}

static size_t
length_of(const struct sl_lane *lane)
{
    return (size_t)g_sequence_get_length(lane->items);
}

static gpointer
first_of(GSequence *sequence)
{
    GSequenceIter *begin = g_sequence_get_begin_iter(sequence);
    return g_sequence_iter_is_end(begin) ? NULL : g_sequence_get(begin);
}

/* Of the lane that would run last, the item with the latest deadline. */
static struct sl_item *
last_of(const struct sl_level *level)
{
    GSequenceIter *end = g_sequence_get_end_iter(level->turns);
    if (g_sequence_iter_is_begin(end)) {
        return NULL;
    }
    struct sl_lane *lane = g_sequence_get(g_sequence_iter_prev(end));
    GSequenceIter *past = g_sequence_get_end_iter(lane->items);
    return g_sequence_get(g_sequence_iter_prev(past));
}

static size_t
level_index(int64_t priority)
{
    return (size_t)CLAMP(priority, 0, Sl_PRIORITY_MAX);
}

static struct sl_lane *
lane_of(struct sl_queue *queue, struct sl_level *level,
        const struct sl_name *team)
{
    struct sl_lane *lane = g_hash_table_lookup(level->lanes, team);
    if (lane == NULL) {
        lane = g_new0(struct sl_lane, 1);
        lane->team = *team;
        lane->number = queue->next_number;
        lane->items = g_sequence_new(NULL);
        g_hash_table_insert(level->lanes, &lane->team, lane);
    }
    return lane;
}

/* Gives a lane that got its first item its place among the turns. A lane
 * that was empty saves up no turns. */
static void
enter_turns(struct sl_level *level, struct sl_lane *lane)
{
    if (lane->turn == NULL) {
        lane->served = MAX(lane->served, level->turns_had);
        lane->turn =
            g_sequence_insert_sorted(level->turns, lane, compare_lanes, NULL);
    }
}

static void
leave_turns(struct sl_lane *lane)
{
    if (lane->turn != NULL && length_of(lane) == 0) {
        g_sequence_remove(lane->turn);
        lane->turn = NULL;
    }
}

/* Takes an item out of every index. An empty level forgets its lanes, so
 * that the memory is bounded by what waits. */
static void
detach(struct sl_queue *queue, struct sl_item *item)
{
    struct sl_level *level = item->level;
    g_sequence_remove(item->in_lane);
    g_sequence_remove(item->by_deadline);
    leave_turns(item->lane);
    level->count--;
    if (level->count == 0) {
        g_hash_table_remove_all(level->lanes);
        level->turns_had = 0;
    }
    g_hash_table_remove(queue->items, &item->queued.id);
}

/* Counts a turn of the item's lane, then takes the item out. */
static void
serve(struct sl_queue *queue, struct sl_item *item, struct sl_queue_item *out)
{
    struct sl_lane *lane = item->lane;
    *out = item->queued;
    item->level->turns_had = MAX(item->level->turns_had, lane->served);
    lane->served++;
    g_sequence_sort_changed(lane->turn, compare_lanes, NULL);
    detach(queue, item);
}

static size_t
count_above(const struct sl_queue *queue, int64_t priority)
{
    size_t count = 0;
    for (size_t i = 0; i < level_index(priority); i++) {
        count += queue->levels[i].count;
    }
    return count;
}

/* Items of the level that run before a new one of `team`, when lanes take
 * turns. */
static size_t
count_turns_before(const struct sl_level *level, const struct sl_name *team)
{
    GHashTableIter iter;
    gpointer value;
    const struct sl_lane *own = g_hash_table_lookup(level->lanes, team);
    size_t turns = own == NULL ? 0 : length_of(own);
    size_t count = 0;
    g_hash_table_iter_init(&iter, level->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += MIN(length_of(value), turns + (value != own));
    }
    return count;
}

/* No place, and nothing of lower priority that could give way. */
static bool
is_full_for(const struct sl_queue *queue, const struct sl_queue_item *item)
{
    size_t lower = 0;
    for (size_t i = level_index(item->priority) + 1; i <= Sl_PRIORITY_MAX;
         i++) {
        lower += queue->levels[i].count;
    }
    return lower == 0 &&
           g_hash_table_size(queue->items) >= queue->options.max_waiting;
}

/* ---- public ---- */

struct sl_queue *
SlQueue_New(const struct sl_queue_options *options)
{
    struct sl_queue *queue = g_new0(struct sl_queue, 1);
    queue->options = *options;
    for (size_t i = 0; i <= Sl_PRIORITY_MAX; i++) {
        queue->levels[i].lanes = g_hash_table_new_full(
            SlName_TableHash, SlName_TableEqual, NULL, free_lane);
        queue->levels[i].turns = g_sequence_new(NULL);
    }
    queue->items =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    queue->by_deadline = g_sequence_new(NULL);
    return queue;
}

void
SlQueue_Free(struct sl_queue *queue)
{
    if (queue == NULL) {
        return;
    }
    for (size_t i = 0; i <= Sl_PRIORITY_MAX; i++) {
        g_sequence_free(queue->levels[i].turns);
        g_hash_table_destroy(queue->levels[i].lanes);
    }
    g_sequence_free(queue->by_deadline);
    g_hash_table_destroy(queue->items);
    g_free(queue);
}

bool
SlQueue_Push(struct sl_queue *queue, const struct sl_queue_item *queued)
{
    if (SlQueue_Length(queue) >= queue->options.max_waiting ||
        g_hash_table_contains(queue->items, &queued->id)) {
        return false;
    }
    struct sl_item *item = g_new0(struct sl_item, 1);
    item->queued = *queued;
    item->number = queue->next_number++;
    item->level = &queue->levels[level_index(queued->priority)];
    item->lane = lane_of(queue, item->level, &queued->team);
    item->in_lane =
        g_sequence_insert_sorted(item->lane->items, item, compare_items, NULL);
    item->by_deadline = g_sequence_insert_sorted(queue->by_deadline, item,
                                                 compare_items, NULL);
    item->level->count++;
    enter_turns(item->level, item->lane);
    g_hash_table_insert(queue->items, &item->queued.id, item);
    return true;
}

bool
SlQueue_Pop(struct sl_queue *queue, struct sl_queue_item *out)
{
    for (size_t i = 0; i <= Sl_PRIORITY_MAX; i++) {
        struct sl_lane *lane = first_of(queue->levels[i].turns);
        if (lane != NULL) {
            serve(queue, first_of(lane->items), out);
            return true;
        }
    }
    return false;
}

bool
SlQueue_PopUrgentFirst(struct sl_queue *queue, int64_t now_us,
                       int64_t window_us, struct sl_queue_item *out)
{
    struct sl_item *first = first_of(queue->by_deadline);
    bool is_urgent = first != NULL && !queue->last_was_urgent &&
                     first->queued.deadline_us > now_us &&
                     first->queued.deadline_us - now_us <= window_us;
    queue->last_was_urgent = is_urgent;
    if (is_urgent) {
        serve(queue, first, out);
        return true;
    }
    return SlQueue_Pop(queue, out);
}

bool
SlQueue_PopExpired(struct sl_queue *queue, int64_t now_us,
                   struct sl_queue_item *out)
{
    struct sl_item *first = first_of(queue->by_deadline);
    if (first == NULL || first->queued.deadline_us > now_us) {
        return false;
    }
    *out = first->queued;
    detach(queue, first);
    return true;
}

bool
SlQueue_Displace(struct sl_queue *queue, const struct sl_queue_item *item,
                 struct sl_queue_item *out)
{
    for (size_t i = Sl_PRIORITY_MAX; i > level_index(item->priority); i--) {
        struct sl_item *last = last_of(&queue->levels[i]);
        if (last != NULL) {
            *out = last->queued;
            detach(queue, last);
            return true;
        }
    }
    return false;
}

bool
SlQueue_Remove(struct sl_queue *queue, uint64_t id)
{
    struct sl_item *item = g_hash_table_lookup(queue->items, &id);
    if (item == NULL) {
        return false;
    }
    detach(queue, item);
    return true;
}

size_t
SlQueue_Length(const struct sl_queue *queue)
{
    return g_hash_table_size(queue->items);
}

size_t
SlQueue_CountAhead(const struct sl_queue *queue, int64_t priority)
{
    return count_above(queue, priority) +
           queue->levels[level_index(priority)].count;
}

struct sl_admission
SlQueue_Admit(const struct sl_queue *queue, const struct sl_queue_item *item,
              const struct sl_admission_context *ask)
{
    const struct sl_level *level = &queue->levels[level_index(item->priority)];
    size_t ahead = count_above(queue, item->priority) +
                   count_turns_before(level, &item->team);
    struct sl_admission admission = {.admit = true};
    if (ahead > 0 || ask->in_flight >= ask->limit) {
        double turns = (double)ahead + 1;
        admission.wait_us = (int64_t)(turns * (double)ask->service_time_us /
                                      (double)MAX(ask->limit, 1));
    }
    int64_t left_us = item->deadline_us - ask->now_us - ask->service_time_us;
    if (is_full_for(queue, item)) {
        admission.admit = false;
        admission.retry_after_us =
            MAX(admission.wait_us, Sl_RETRY_AFTER_MIN_US);
    }
    else if (admission.wait_us > 0 && admission.wait_us > left_us) {
        admission.admit = false;
        admission.retry_after_us =
            MAX(admission.wait_us - MAX(left_us, 0), Sl_RETRY_AFTER_MIN_US);
    }
    return admission;
}
