/* Timers: a sequence ordered by due time. */
#include "sl_common.h"

#include <assert.h>

/* ---- types ---- */

struct sl_timer {
    int64_t due_us;
    uint64_t handle; /* increasing; gives the order of equal due times */
    sl_timer_callback callback;
    void *context;
    uint64_t id;
};

struct sl_timers {
    GSequence *by_due;     /* struct sl_timer, owned */
    GHashTable *by_handle; /* handle -> GSequenceIter */
    uint64_t last_handle;
};

/* ---- helpers ---- */

static gint
compare_timers(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct sl_timer *left = a;
    const struct sl_timer *right = b;
    (void)unused;
    if (left->due_us != right->due_us) {
        return left->due_us < right->due_us ? -1 : 1;
    }
    if (left->handle != right->handle) {
        return left->handle < right->handle ? -1 : 1;
    }
    return 0;
}

/* Removes the timer at `position` of `by_due` and frees it. */
static void
remove_timer(struct sl_timers *timers, GSequenceIter *position)
{
    struct sl_timer *timer = g_sequence_get(position);
    g_hash_table_remove(timers->by_handle, &timer->handle);
    g_sequence_remove(position);
}

/* ---- public ---- */

struct sl_timers *
SlTimers_New(void)
{
    struct sl_timers *timers = g_new0(struct sl_timers, 1);
    timers->by_due = g_sequence_new(g_free);
    timers->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
    return timers;
}

void
SlTimers_Free(struct sl_timers *timers)
{
    if (timers == NULL) {
        return;
    }
    g_hash_table_destroy(timers->by_handle);
    g_sequence_free(timers->by_due);
    g_free(timers);
}

uint64_t
SlTimers_Add(struct sl_timers *timers, int64_t due_us,
             sl_timer_callback callback, void *context, uint64_t id)
{
    assert(callback != NULL);
    struct sl_timer *timer = g_new0(struct sl_timer, 1);
    timer->due_us = due_us;
    timer->handle = ++timers->last_handle;
    timer->callback = callback;
    timer->context = context;
    timer->id = id;
    GSequenceIter *position =
        g_sequence_insert_sorted(timers->by_due, timer, compare_timers, NULL);
    g_hash_table_insert(timers->by_handle, &timer->handle, position);
    return timer->handle;
}

void
SlTimers_Cancel(struct sl_timers *timers, uint64_t handle)
{
    GSequenceIter *position = g_hash_table_lookup(timers->by_handle, &handle);
    if (position != NULL) {
        remove_timer(timers, position);
    }
}

int64_t
SlTimers_NextDueUs(const struct sl_timers *timers)
{
    GSequenceIter *first = g_sequence_get_begin_iter(timers->by_due);
    if (g_sequence_iter_is_end(first)) {
        return Sl_NEVER_US;
    }
    const struct sl_timer *timer = g_sequence_get(first);
    return timer->due_us;
}

size_t
SlTimers_Run(struct sl_timers *timers, int64_t now_us)
{
    size_t run_count = 0;
    /* Timers that a callback adds for `now_us` wait for the next run:
     * otherwise two callbacks that add each other would loop forever. */
    uint64_t last_handle = timers->last_handle;
    while (SlTimers_NextDueUs(timers) <= now_us) {
        GSequenceIter *first = g_sequence_get_begin_iter(timers->by_due);
        struct sl_timer timer = *(struct sl_timer *)g_sequence_get(first);
        if (timer.handle > last_handle) {
            break;
        }
        remove_timer(timers, first);
        timer.callback(timer.context, timer.id, now_us);
        run_count++;
    }
    return run_count;
}
