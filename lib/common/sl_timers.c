/* Timers: a sequence ordered by due time. */
#include "sl_common.h"

#include <assert.h>

/* ---- types ---- */

struct sl_timer {
    int64_t due_us;
    uint64_t handle; /* increasing, so it also orders equal due times */
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

static void
remove_at(struct sl_timers *timers, GSequenceIter *at)
{
    struct sl_timer *timer = g_sequence_get(at);
    g_hash_table_remove(timers->by_handle, &timer->handle);
    g_sequence_remove(at);
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
SlTimers_Subscribe(struct sl_timers *timers, int64_t due_us,
                   sl_timer_callback callback, void *context, uint64_t id)
{
    assert(callback != NULL);
    struct sl_timer *timer = g_new0(struct sl_timer, 1);
    timer->due_us = due_us;
    timer->handle = ++timers->last_handle;
    timer->callback = callback;
    timer->context = context;
    timer->id = id;
    GSequenceIter *at =
        g_sequence_insert_sorted(timers->by_due, timer, compare_timers, NULL);
    g_hash_table_insert(timers->by_handle, &timer->handle, at);
    return timer->handle;
}

void
SlTimers_Cancel(struct sl_timers *timers, uint64_t handle)
{
    GSequenceIter *at = g_hash_table_lookup(timers->by_handle, &handle);
    if (at != NULL) {
        remove_at(timers, at);
    }
}

int64_t
SlTimers_NextDueUs(const struct sl_timers *timers)
{
    GSequenceIter *at = g_sequence_get_begin_iter(timers->by_due);
    if (g_sequence_iter_is_end(at)) {
        return Sl_NEVER_US;
    }
    const struct sl_timer *timer = g_sequence_get(at);
    return timer->due_us;
}

size_t
SlTimers_Run(struct sl_timers *timers, int64_t now_us)
{
    size_t ran = 0;
    /* Timers that a callback subscribes for `now_us` wait for the next run:
     * otherwise two callbacks that subscribe each other would loop forever. */
    uint64_t newest = timers->last_handle;
    while (SlTimers_NextDueUs(timers) <= now_us) {
        GSequenceIter *at = g_sequence_get_begin_iter(timers->by_due);
        struct sl_timer timer = *(struct sl_timer *)g_sequence_get(at);
        if (timer.handle > newest) {
            break;
        }
        remove_at(timers, at);
        timer.callback(timer.context, timer.id, now_us);
        ran++;
    }
    return ran;
}
