/*
 * Splits the limited rate of an upstream among the routers, without
 * coordination.
 *
 * Time is divided into slots of equal length, as many a second as the rate has
 * requests. Each slot allows one request, of one router. Routers number the
 * slots alike, by the wall clock, and map each number to a point between 0 and
 * 1: multiples of the golden ratio, which spread evenly. The router whose part
 * of that interval holds the point owns the slot. So routers that agree on the
 * parts never use a slot twice, however small the part of each; while they
 * disagree, or their clocks do, each still has its part of the rate.
 *
 * A slot that is not used at once can be used until it expires. All routers
 * together thus send in any time at most the slots of that time and of one
 * lifetime before.
 */
#include "sl_router_internal.h"

#include <math.h>

/* Fractional part of the golden ratio, in units of 2^-64. */
#define Sl_GOLDEN_RATIO 0x9e3779b97f4a7c15u
/* A slot expires after its own length and this time. */
#define Sl_SLOT_LIFETIME_US Sl_US_PER_S
#define Sl_EPOCH_US Sl_US_PER_S
/* Slots that are searched for one that this router owns. */
#define Sl_MAX_SEARCHED_SLOTS 8192

/* ---- parts ---- */

int64_t
SlRateSlots_Epoch(int64_t clock_us)
{
    return clock_us / Sl_EPOCH_US;
}

void
SlRateSlots_SetPart(struct sl_rate_parts *parts, int64_t epoch,
                    struct sl_rate_part part)
{
    int64_t first = MAX(parts->newest_epoch + 1, epoch - Sl_RATE_EPOCHS + 1);
    for (int64_t i = first; i <= epoch; i++) {
        parts->parts[i % Sl_RATE_EPOCHS] = part;
    }
    parts->newest_epoch = MAX(parts->newest_epoch, epoch);
}

/* Returns the part in the epoch, or in the one that is known next to it. */
static const struct sl_rate_part *
part_in(const struct sl_rate_parts *parts, int64_t epoch)
{
    int64_t known = CLAMP(epoch, parts->newest_epoch - Sl_RATE_EPOCHS + 1,
                          parts->newest_epoch);
    return &parts->parts[known % Sl_RATE_EPOCHS];
}

struct sl_rate_part
SlRateSlots_Part(const struct sl_rate_parts *parts)
{
    return *part_in(parts, parts->newest_epoch);
}

/* ---- slots ---- */

static bool
is_owned(const struct sl_limited_rate *rate, uint64_t slot)
{
    uint64_t point = slot * Sl_GOLDEN_RATIO + ((uint64_t)rate->salt << 32);
    const struct sl_rate_part *part = part_in(
        rate->parts, SlRateSlots_Epoch(SlRateSlots_BeginUs(rate, slot)));
    double from_begin = SlHash_Fraction(point) - part->begin;
    if (from_begin < 0) {
        from_begin += 1;
    }
    return from_begin < part->size;
}

/* Returns the first slot that has not expired at `clock_us`. */
static uint64_t
first_usable(const struct sl_limited_rate *rate, int64_t clock_us)
{
    double since_s =
        (double)(clock_us - Sl_SLOT_LIFETIME_US) / (double)Sl_US_PER_S;
    return (uint64_t)MAX(ceil(since_s * rate->per_s - 1), 0);
}

uint64_t
SlRateSlots_At(const struct sl_limited_rate *rate, int64_t clock_us)
{
    return (uint64_t)((double)clock_us / (double)Sl_US_PER_S * rate->per_s);
}

uint64_t
SlRateSlots_Next(const struct sl_limited_rate *rate, int64_t clock_us,
                 uint64_t first)
{
    uint64_t slot = MAX(first, first_usable(rate, clock_us));
    for (unsigned i = 0; i < Sl_MAX_SEARCHED_SLOTS && !is_owned(rate, slot);
         i++) {
        slot++;
    }
    return slot;
}

int64_t
SlRateSlots_BeginUs(const struct sl_limited_rate *rate, uint64_t slot)
{
    return (int64_t)ceil((double)slot / rate->per_s * (double)Sl_US_PER_S);
}
