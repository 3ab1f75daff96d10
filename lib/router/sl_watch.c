/*
 * Calls that fall silent. Answers upstreams that go dark, or take requests and
 * never answer some of them, without a word on the connection: a call whose
 * request may be repeated is given up in time for another upstream to meet the
 * route's objective.
 *
 * An upstream that still sends other callers' events is slow rather than dark,
 * and is given longer.
 */
#include "sl_router_internal.h"

/* Parts of the longest pause on time after which a stream is moved: when its
 * upstream sends nothing at all, and when it sends others' events. What is
 * left is for another upstream to read the prompt. */
#define Sl_SILENT_GAP 0.5
#define Sl_LIVELY_GAP 0.8
/* The same for the first event, of the latency objective. */
#define Sl_SILENT_FIRST 0.4
#define Sl_LIVELY_FIRST 0.6
/* A prompt may take this many times as long as guessed. */
#define Sl_LATE_FACTOR 3
/* A call is never given up sooner; a fresh connection and a short run take a
 * few tens of milliseconds. */
#define Sl_LEAST_WAIT_US (300 * Sl_US_PER_MS)
/* Objectives of routes that name none. */
#define Sl_DEFAULT_TARGET_US (2 * Sl_US_PER_S)
#define Sl_DEFAULT_GAP_US (2 * Sl_US_PER_S)

static int64_t
part_of(int64_t objective_us, int64_t fallback_us, double part)
{
    return (int64_t)(part *
                     (double)(objective_us > 0 ? objective_us : fallback_us));
}

/* How long the call may be silent, when its upstream is, or is not. */
static int64_t
patience_us(const struct sl_flight *flight, bool is_lively)
{
    const struct sl_route *route = flight->route;
    const struct sl_exchange *exchange = &flight->exchange;
    if (exchange->has_head) {
        return part_of(route->gap_us, Sl_DEFAULT_GAP_US,
                       is_lively ? Sl_LIVELY_GAP : Sl_SILENT_GAP);
    }
    int64_t wait = part_of(route->target_us, Sl_DEFAULT_TARGET_US,
                           is_lively ? Sl_LIVELY_FIRST : Sl_SILENT_FIRST);
    wait = MAX(wait, Sl_LATE_FACTOR * exchange->expected_us);
    return MAX(wait, Sl_LEAST_WAIT_US);
}

static bool
is_lively(const struct sl_flight *flight)
{
    return flight->exchange.upstream->bytes_us >
           flight->exchange.last_bytes_us;
}

int64_t
SlWatch_DueUs(const struct sl_router *router, const struct sl_flight *flight)
{
    const struct sl_exchange *exchange = &flight->exchange;
    /* An upstream that reads a long prompt has little time for others. */
    int64_t due = exchange->last_bytes_us +
                  patience_us(flight, is_lively(flight)) +
                  SlUpstreams_Unread(router, exchange->upstream);
    return MAX(due, exchange->watch_after_us);
}

bool
SlWatch_MayMove(const struct sl_flight *flight)
{
    return flight->may_repeat &&
           flight->runs + 1 < flight->route->max_attempts;
}

void
SlWatch_Note(struct sl_router *router, const struct sl_flight *flight)
{
    if (SlWatch_MayMove(flight)) {
        router->watch_due_us =
            MIN(router->watch_due_us, SlWatch_DueUs(router, flight));
    }
}
