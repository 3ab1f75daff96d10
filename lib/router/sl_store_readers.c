/*
 * Readers: the few routers that read the store for the fleet, and how soon the
 * other ones read it when the readers are lost.
 *
 * An answer of the store proves that the records which it does not change are
 * current. The first reader has the store hold its reads of one feed for a
 * short time only, and announces each proof to the fleet. The other readers
 * leave their reads at the store for long. Each router has a patience: once
 * the newest proof that it has heard of is older than that, it reads the store
 * itself, whatever the reason for the silence is. Patience grows with the
 * router's turn, so that a few routers replace the readers before all others
 * would read the store. The longest one leaves time to read the store within
 * the deployment's bounds on updates.
 */
#include "sl_router_internal.h"

/* Number of readers. With three, the store may refuse one while another one
 * hangs. */
#define Sl_STORE_READERS 3
/* Part of a bound that is left to find the store, read it and apply the
 * update. */
#define Sl_UPDATE_MARGIN_US (500 * Sl_US_PER_MS)
/* Number of reads of the first reader that fit into the longest patience. One
 * proof may be lost on its way without any other router reading the store. */
#define Sl_READS_PER_PATIENCE 3
/* Steps from the interval between two proofs to the longest patience. The
 * first turns have one more step each, all later ones are spread over the last
 * step. */
#define Sl_PATIENCE_STEPS 6

bool
SlStoreReaders_IsReader(struct sl_router *router)
{
    const struct sl_fleet_position *position = SlPeers_FleetPosition(router);
    size_t readers_per_domain =
        (Sl_STORE_READERS + position->domain_count - 1) /
        position->domain_count;
    return position->rank_of_domain < Sl_STORE_READERS &&
           position->rank_in_domain < readers_per_domain;
}

/* Returns the router's place in the order in which routers read the store,
 * from 0. It takes one router of each failure domain after the other. */
static size_t
turn_of(struct sl_router *router)
{
    const struct sl_fleet_position *position = SlPeers_FleetPosition(router);
    return position->rank_in_domain * position->domain_count +
           position->rank_of_domain;
}

bool
SlStoreReaders_IsFirst(struct sl_router *router)
{
    return turn_of(router) == 0;
}

/* Returns the longest patience of a router. */
static int64_t
max_patience_us(const struct sl_router *router)
{
    const struct sl_bounds *bounds = &router->options.bounds;
    int64_t bound_us = MIN(MIN(bounds->config_apply_us, bounds->drain_us),
                           Sl_STORE_UNAVAILABLE_US);
    return MAX(bound_us - Sl_UPDATE_MARGIN_US, bound_us / 2);
}

int64_t
SlStoreReaders_ShortWaitUs(const struct sl_router *router)
{
    return max_patience_us(router) / Sl_READS_PER_PATIENCE;
}

int64_t
SlStoreReaders_ProofIntervalUs(const struct sl_router *router)
{
    return SlStoreReaders_ShortWaitUs(router) + Sl_PROBE_PAUSE_US;
}

int64_t
SlStoreReaders_PatienceUs(struct sl_router *router)
{
    int64_t max_us = max_patience_us(router);
    int64_t step_us =
        (max_us - SlStoreReaders_ProofIntervalUs(router)) / Sl_PATIENCE_STEPS;
    int64_t steps_left =
        Sl_PATIENCE_STEPS - 1 - (int64_t)MIN(turn_of(router), G_MAXINT32);
    if (step_us <= 0) {
        return max_us;
    }
    if (steps_left > 1) {
        return max_us - steps_left * step_us;
    }
    uint64_t hash = SlHash_Bytes(0, SlName_Str(&router->options.vm));
    return max_us -
           (int64_t)((double)step_us * SlHash_Fraction(SlHash_Mix(hash)));
}
