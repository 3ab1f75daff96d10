/* Waiting requests of an agent, in the order in which they will run.
 *
 * Each priority is a level, and each team with waiting requests has a queue in
 * the level. The queues of a level are served by start-time fair queueing with
 * equal costs: each queue has a start tag, a virtual time, and the queue with
 * the lowest tag is served next. Within a queue the earliest deadline is
 * served first. All operations take O(log n) time, except
 * count_served_before(), which visits every queue of a level. */
#include "sl_policy.h"

/* Shortest time after which clients are asked to retry. */
#define Sl_RETRY_AFTER_MIN_US (100 * Sl_US_PER_MS)

/* ---- types ---- */

/* The waiting requests of a team in a level. */
struct sl_team_queue {
    struct sl_name team;
    uint64_t start_tag; /* virtual time at which the queue is served next */
    uint64_t number;    /* order of equal start tags */
    GSequence *items;   /* struct sl_item, by deadline */
    GSequenceIter *position; /* in the level's `order`; NULL while empty */
};

/* The waiting requests of one priority. */
struct sl_level {
    size_t count;            /* number of items */
    uint64_t virtual_time;   /* highest start tag served so far */
    GHashTable *team_queues; /* team -> struct sl_team_queue, owned */
    GSequence *order;        /* queues that have items, the next one first */
};

/* A waiting request. */
struct sl_item {
    struct sl_queue_item queued;
    uint64_t number; /* order of arrival */
    struct sl_level *level;
    struct sl_team_queue *team_queue;
    GSequenceIter *in_team_queue; /* position in team_queue->items */
    GSequenceIter *by_deadline;   /* position in the queue's by_deadline */
};

struct sl_queue {
    struct sl_queue_options options;
    struct sl_level levels[Sl_PRIORITY_MAX + 1];
    GHashTable *items;      /* id -> struct sl_item, owned */
    GSequence *by_deadline; /* struct sl_item, of all levels */
    uint64_t next_number;
    bool last_was_urgent; /* see SlQueue_PopUrgentFirst() */
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
compare_team_queues(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct sl_team_queue *left = a;
    const struct sl_team_queue *right = b;
    (void)unused;
    gint order = compare((int64_t)left->start_tag, (int64_t)right->start_tag);
    return order != 0 ? order
                      : compare((int64_t)left->number, (int64_t)right->number);
}

static void
free_team_queue(gpointer data)
{
    struct sl_team_queue *team_queue = data;
    g_sequence_free(team_queue->items);
    g_free(team_queue);
}

static size_t
length_of(const struct sl_team_queue *team_queue)
{
    return (size_t)g_sequence_get_length(team_queue->items);
}

static gpointer
first_of(GSequence *sequence)
{
    GSequenceIter *begin = g_sequence_get_begin_iter(sequence);
    return g_sequence_iter_is_end(begin) ? NULL : g_sequence_get(begin);
}

/* Returns the item with the latest deadline in the queue that would be served
 * last, or NULL if the level is empty. */
static struct sl_item *
last_item_of(const struct sl_level *level)
{
    GSequenceIter *end = g_sequence_get_end_iter(level->order);
    if (g_sequence_iter_is_begin(end)) {
        return NULL;
    }
    struct sl_team_queue *team_queue =
        g_sequence_get(g_sequence_iter_prev(end));
    GSequenceIter *past = g_sequence_get_end_iter(team_queue->items);
    return g_sequence_get(g_sequence_iter_prev(past));
}

static size_t
level_index(int64_t priority)
{
    return (size_t)CLAMP(priority, 0, Sl_PRIORITY_MAX);
}

static struct sl_team_queue *
find_or_add_team_queue(struct sl_queue *queue, struct sl_level *level,
                       const struct sl_name *team)
{
    struct sl_team_queue *team_queue =
        g_hash_table_lookup(level->team_queues, team);
    if (team_queue == NULL) {
        team_queue = g_new0(struct sl_team_queue, 1);
        team_queue->team = *team;
        /* The number of the team's first item, which the caller adds. */
        team_queue->number = queue->next_number;
        team_queue->items = g_sequence_new(NULL);
        g_hash_table_insert(level->team_queues, &team_queue->team, team_queue);
    }
    return team_queue;
}

/* Schedules a queue that is not scheduled yet. Its start tag is at least the
 * level's virtual time, so a team gains nothing from the time in which its
 * queue was empty. */
static void
schedule(struct sl_level *level, struct sl_team_queue *team_queue)
{
    if (team_queue->position == NULL) {
        team_queue->start_tag =
            MAX(team_queue->start_tag, level->virtual_time);
        team_queue->position = g_sequence_insert_sorted(
            level->order, team_queue, compare_team_queues, NULL);
    }
}

static void
unschedule_if_empty(struct sl_team_queue *team_queue)
{
    if (team_queue->position != NULL && length_of(team_queue) == 0) {
        g_sequence_remove(team_queue->position);
        team_queue->position = NULL;
    }
}

/* Removes an item from all indexes and frees it. When its level has no items
 * left, the queues of the level are freed, so that teams without requests do
 * not use memory for good. */
static void
remove_item(struct sl_queue *queue, struct sl_item *item)
{
    struct sl_level *level = item->level;
    g_sequence_remove(item->in_team_queue);
    g_sequence_remove(item->by_deadline);
    unschedule_if_empty(item->team_queue);
    level->count--;
    if (level->count == 0) {
        g_hash_table_remove_all(level->team_queues);
        level->virtual_time = 0;
    }
    g_hash_table_remove(queue->items, &item->queued.id);
}

/* Copies the item to `out` and removes it. Advances the virtual time of its
 * level to the start tag of its team's queue, and then the start tag by the
 * cost of one request, so that the other teams are served before. */
static void
serve(struct sl_queue *queue, struct sl_item *item, struct sl_queue_item *out)
{
    struct sl_team_queue *team_queue = item->team_queue;
    *out = item->queued;
    item->level->virtual_time =
        MAX(item->level->virtual_time, team_queue->start_tag);
    team_queue->start_tag++;
    g_sequence_sort_changed(team_queue->position, compare_team_queues, NULL);
    remove_item(queue, item);
}

/* Returns the number of items that are more urgent than this priority. A lower
 * priority number is more urgent. */
static size_t
count_more_urgent(const struct sl_queue *queue, int64_t priority)
{
    size_t count = 0;
    for (size_t i = 0; i < level_index(priority); i++) {
        count += queue->levels[i].count;
    }
    return count;
}

/* Returns the number of items of the level that would run before a new item of
 * `team` with a late deadline, if the teams are served in turn. */
static size_t
count_served_before(const struct sl_level *level, const struct sl_name *team)
{
    GHashTableIter iter;
    gpointer value;
    const struct sl_team_queue *own =
        g_hash_table_lookup(level->team_queues, team);
    size_t own_length = own == NULL ? 0 : length_of(own);
    size_t count = 0;
    g_hash_table_iter_init(&iter, level->team_queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        /* All items of its own team run before the new one. Each other team
         * is served once per own item, and once more if its turn comes before
         * the new item's. */
        count += MIN(length_of(value), own_length + (value != own));
    }
    return count;
}

/* Returns true if the queue is full and holds no item less urgent than `item`
 * that could be displaced. */
static bool
is_full_for(const struct sl_queue *queue, const struct sl_queue_item *item)
{
    size_t less_urgent_count = 0;
    for (size_t i = level_index(item->priority) + 1; i <= Sl_PRIORITY_MAX;
         i++) {
        less_urgent_count += queue->levels[i].count;
    }
    return less_urgent_count == 0 &&
           g_hash_table_size(queue->items) >= queue->options.max_waiting;
}

/* ---- public ---- */

struct sl_queue *
SlQueue_New(const struct sl_queue_options *options)
{
    struct sl_queue *queue = g_new0(struct sl_queue, 1);
    queue->options = *options;
    for (size_t i = 0; i <= Sl_PRIORITY_MAX; i++) {
        queue->levels[i].team_queues = g_hash_table_new_full(
            SlName_TableHash, SlName_TableEqual, NULL, free_team_queue);
        queue->levels[i].order = g_sequence_new(NULL);
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
        g_sequence_free(queue->levels[i].order);
        g_hash_table_destroy(queue->levels[i].team_queues);
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
    item->team_queue =
        find_or_add_team_queue(queue, item->level, &queued->team);
    item->in_team_queue = g_sequence_insert_sorted(item->team_queue->items,
                                                   item, compare_items, NULL);
    item->by_deadline = g_sequence_insert_sorted(queue->by_deadline, item,
                                                 compare_items, NULL);
    item->level->count++;
    schedule(item->level, item->team_queue);
    g_hash_table_insert(queue->items, &item->queued.id, item);
    return true;
}

bool
SlQueue_Pop(struct sl_queue *queue, struct sl_queue_item *out)
{
    for (size_t i = 0; i <= Sl_PRIORITY_MAX; i++) {
        struct sl_team_queue *team_queue = first_of(queue->levels[i].order);
        if (team_queue != NULL) {
            serve(queue, first_of(team_queue->items), out);
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
    remove_item(queue, first);
    return true;
}

bool
SlQueue_Displace(struct sl_queue *queue, const struct sl_queue_item *item,
                 struct sl_queue_item *out)
{
    for (size_t i = Sl_PRIORITY_MAX; i > level_index(item->priority); i--) {
        struct sl_item *last = last_item_of(&queue->levels[i]);
        if (last != NULL) {
            *out = last->queued;
            remove_item(queue, last);
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
    remove_item(queue, item);
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
    return count_more_urgent(queue, priority) +
           queue->levels[level_index(priority)].count;
}

struct sl_admission
SlQueue_DecideAdmission(const struct sl_queue *queue,
                        const struct sl_queue_item *item,
                        const struct sl_admission_context *context)
{
    const struct sl_level *level = &queue->levels[level_index(item->priority)];
    size_t ahead_count = count_more_urgent(queue, item->priority) +
                         count_served_before(level, &item->team);
    struct sl_admission admission = {.admit = true};
    if (ahead_count > 0 || context->in_flight >= context->limit) {
        double requests_until_start = (double)ahead_count + 1;
        admission.wait_us =
            (int64_t)(requests_until_start * (double)context->service_time_us /
                      (double)MAX(context->limit, 1));
    }
    /* The longest wait after which the item still meets its deadline. Without
     * a wait it is admitted in any case: the estimated service time may be
     * wrong. */
    int64_t max_wait_us =
        item->deadline_us - context->now_us - context->service_time_us;
    if (is_full_for(queue, item)) {
        admission.admit = false;
        admission.retry_after_us =
            MAX(admission.wait_us, Sl_RETRY_AFTER_MIN_US);
    }
    else if (admission.wait_us > 0 && admission.wait_us > max_wait_us) {
        admission.admit = false;
        admission.retry_after_us = MAX(admission.wait_us - MAX(max_wait_us, 0),
                                       Sl_RETRY_AFTER_MIN_US);
    }
    return admission;
}
