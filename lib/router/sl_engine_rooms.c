/*
 * The memory of engines as room for requests: what is held there, whether a
 * request fits, and the engine that is kept free for a long request.
 *
 * A long request may find no room for as long as short ones take what becomes
 * free. Once it has waited for a while, this router reserves an engine for it:
 * the reservation counts as held, here and, by the digests, at the peers. The
 * request is sent when the requests that ran there have ended. A router has
 * one reservation at a time.
 */
#include "sl_router_internal.h"

/* Share of the latency objective that a request waits before an engine is
 * kept free for it: one part in this many. */
#define Sl_PATIENCE_DIVISOR 4
/* The wait on a route without an objective. */
#define Sl_DEFAULT_PATIENCE_US (250 * Sl_US_PER_MS)
/* Time after which a reservation that all peers know lapses: the engine may be
 * lost, or another reservation there be in the way. */
#define Sl_RESERVATION_US (4 * Sl_US_PER_S)
/* Age at which this router's place in the fleet is computed again. */
#define Sl_PLACE_LIFETIME_US (500 * Sl_US_PER_MS)
/* Least estimated time until an engine has room. */
#define Sl_MIN_ROOM_WAIT_US Sl_US_PER_MS

struct sl_engine_rooms {
    /* Place of this router in the fleet, and the size of the service. */
    int64_t place_us; /* when they were computed; 0: not yet */
    size_t routers;
    size_t rank;
    struct sl_name service;
    size_t engines;
    /* The reservation. */
    uint64_t conn; /* of its request; 0: there is none */
    struct sl_name upstream;
    int64_t reserved_us;
    int64_t next_reservation_us; /* no other one until then */
};

struct sl_engine_rooms *
SlEngineRooms_New(void)
{
    return g_new0(struct sl_engine_rooms, 1);
}

void
SlEngineRooms_Free(struct sl_engine_rooms *rooms)
{
    g_free(rooms);
}

/* ---- what is held ---- */

static int64_t
demand_of(const struct sl_routed_request *request)
{
    const struct sl_incoming_request *incoming = &request->incoming;
    return SlRoom_Demand(incoming->prompt_tokens, incoming->output_tokens,
                         incoming->expected_output_tokens);
}

void
SlEngineRooms_OnCallSent(struct sl_router_upstream *upstream,
                         struct sl_routed_request *request)
{
    if (upstream->room != NULL) {
        request->upstream_call.held_tokens = demand_of(request);
        SlRoom_OnSent(upstream->room, request->upstream_call.held_tokens);
    }
}

void
SlEngineRooms_OnCallEnded(struct sl_router_upstream *upstream,
                          struct sl_upstream_call *call)
{
    if (upstream->room != NULL) {
        SlRoom_OnEnded(upstream->room, call->held_tokens);
        call->held_tokens = 0;
    }
}

void
SlEngineRooms_OnReplaced(struct sl_router *router,
                         struct sl_router_upstream *upstream)
{
    GHashTableIter iter;
    gpointer value;
    if (upstream->room == NULL) {
        return;
    }
    SlRoom_Reset(upstream->room);
    g_hash_table_iter_init(&iter, router->requests_by_token);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_routed_request *request = value;
        if (request->upstream_call.upstream == upstream) {
            request->upstream_call.held_tokens = 0;
        }
    }
    if (SlName_Equal(&router->rooms->upstream, &upstream->registration.id)) {
        router->rooms->conn = 0;
    }
}

void
SlEngineRooms_OnDigestSent(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    if (router->rooms == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        SlRoom_OnTold(((struct sl_router_upstream *)value)->room);
    }
}

uint32_t
SlEngineRooms_LocalTokens(const struct sl_router_upstream *upstream)
{
    return upstream->room == NULL
               ? 0
               : (uint32_t)MIN(SlRoom_LocalTokens(upstream->room),
                               (int64_t)UINT32_MAX);
}

void
SlEngineRooms_ClearPeers(struct sl_router_upstream *upstream)
{
    if (upstream->room != NULL) {
        SlRoom_ClearPeers(upstream->room);
    }
}

void
SlEngineRooms_AddPeer(struct sl_router_upstream *upstream, int64_t tokens)
{
    if (upstream->room != NULL) {
        SlRoom_AddPeer(upstream->room, tokens);
    }
}

/* ---- fit ---- */

/* Computes this router's place in the fleet and the size of the service again,
 * unless both are recent. */
static void
update_place(struct sl_router *router, const struct sl_name *service)
{
    struct sl_engine_rooms *rooms = router->rooms;
    GHashTableIter iter;
    gpointer value;
    bool is_recent = rooms->place_us != 0 &&
                     router->now_us - rooms->place_us < Sl_PLACE_LIFETIME_US;
    if (is_recent && SlName_Equal(&rooms->service, service)) {
        return;
    }
    if (!is_recent) {
        rooms->place_us = router->now_us;
        rooms->routers = SlPeers_FleetSize(router);
        rooms->rank = SlPeers_Rank(router, Sl_STR("room"));
    }
    rooms->service = *service;
    rooms->engines = 0;
    g_hash_table_iter_init(&iter, router->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_router_upstream *upstream = value;
        rooms->engines +=
            SlName_Equal(&upstream->registration.service, service) ? 1 : 0;
    }
}

/* Returns the time from one turn at an engine to the next: all routers hear of
 * what is sent in a turn before the next one begins. */
static int64_t
turn_length_us(const struct sl_router *router)
{
    return 2 * SlPeers_GossipIntervalUs(router);
}

/* Returns the time until it is this router's turn at the upstream. */
static int64_t
until_turn_us_of(const struct sl_router *router,
                 const struct sl_router_upstream *upstream)
{
    return SlRoom_UntilTurnMs(
               router->wall_ms, turn_length_us(router) / Sl_US_PER_MS,
               upstream->key, router->rooms->rank, router->rooms->routers) *
           Sl_US_PER_MS;
}

/* Returns true if the upstream has room that is kept for the request. */
static bool
is_kept_for(const struct sl_router *router,
            const struct sl_routed_request *request,
            const struct sl_router_upstream *upstream)
{
    return router->rooms->conn == request->conn &&
           SlName_Equal(&router->rooms->upstream, &upstream->registration.id);
}

/* Returns the estimated time in us until requests that run there have released
 * as much as the request lacks. */
static int64_t
release_us(const struct sl_router *router,
           const struct sl_routed_request *request,
           const struct sl_router_upstream *upstream, int64_t tokens)
{
    int64_t held = SlRoom_HeldTokens(upstream->room);
    int64_t missing = held + tokens - request->service->memory_tokens;
    double share = held <= 0 ? 0 : CLAMP((double)missing / (double)held, 0, 1);
    int64_t run_us = SlLatency_MeanRunUs(router, &request->service->name);
    return MAX((int64_t)(share * (double)run_us), Sl_MIN_ROOM_WAIT_US);
}

int64_t
SlEngineRooms_WaitUs(struct sl_router *router,
                     const struct sl_routed_request *request,
                     const struct sl_router_upstream *upstream)
{
    if (upstream->room == NULL || !request->service->is_engine ||
        request->service->memory_tokens <= 0) {
        return 0;
    }
    update_place(router, &request->service->name);
    int64_t until_turn_us = until_turn_us_of(router, upstream);
    const struct sl_room_request wanted = {
        .tokens = demand_of(request),
        .memory_tokens = request->service->memory_tokens,
        .routers = router->rooms->routers,
        .engines = router->rooms->engines,
        .has_turn = until_turn_us == 0,
        .is_reserved = is_kept_for(router, request, upstream),
        .is_settled = router->now_us - router->rooms->reserved_us >=
                      turn_length_us(router),
    };
    switch (SlRoom_Fit(upstream->room, &wanted)) {
    case Sl_ROOM_FITS:
        return 0;
    case Sl_ROOM_IN_TURN:
        /* Room that is kept for the request may come sooner. */
        return MIN(until_turn_us, turn_length_us(router));
    case Sl_ROOM_NEVER:
        return Sl_NEVER_US;
    case Sl_ROOM_LATER:
    default:
        return release_us(router, request, upstream, wanted.tokens);
    }
}

void
SlEngineRooms_NoteFull(const struct sl_router *router,
                       struct sl_placement *placement,
                       struct sl_router_upstream *upstream, int64_t wait_us)
{
    /* The upstreams of a service have the same memory. */
    placement->exceeds_memory = wait_us == Sl_NEVER_US;
    if (until_turn_us_of(router, upstream) > 0) {
        return; /* several reservations might block each other */
    }
    if (placement->roomiest == NULL ||
        SlRoom_HeldTokens(upstream->room) <
            SlRoom_HeldTokens(placement->roomiest->room)) {
        placement->roomiest = upstream;
    }
}

/* ---- reservation ---- */

static void
release(struct sl_router *router)
{
    struct sl_engine_rooms *rooms = router->rooms;
    struct sl_router_upstream *upstream =
        g_hash_table_lookup(router->upstreams, &rooms->upstream);
    rooms->conn = 0;
    if (upstream != NULL) {
        SlRoom_Reserve(upstream->room, 0);
        router->loads_changed = true;
        router->capacity_changed = true;
    }
}

static int64_t
patience_us(const struct sl_routed_request *request)
{
    int64_t objective_us = request->route->target_latency_us;
    return objective_us > 0 ? objective_us / Sl_PATIENCE_DIVISOR
                            : Sl_DEFAULT_PATIENCE_US;
}

void
SlEngineRooms_OnWaiting(struct sl_router *router,
                        const struct sl_routed_request *request,
                        const struct sl_placement *placement)
{
    struct sl_engine_rooms *rooms = router->rooms;
    if (rooms == NULL) {
        return;
    }
    if (rooms->conn != 0 && router->now_us - rooms->reserved_us >=
                                Sl_RESERVATION_US + turn_length_us(router)) {
        release(router);
        /* Another router's reservation there may be served now. */
        rooms->next_reservation_us = router->now_us + turn_length_us(router);
    }
    if (rooms->conn != 0 || placement->roomiest == NULL ||
        router->now_us < rooms->next_reservation_us ||
        router->now_us - request->queued_us < patience_us(request)) {
        return;
    }
    rooms->conn = request->conn;
    rooms->upstream = placement->roomiest->registration.id;
    rooms->reserved_us = router->now_us;
    SlLogLine_BeginFor(router, "room_kept", request);
    SlLogLine_Name(router, "upstream", &rooms->upstream);
    SlLogLine_Int(router, "tokens", demand_of(request));
    SlLogLine_Int(router, "held_tokens",
                  SlRoom_HeldTokens(placement->roomiest->room));
    SlLogLine_Int(router, "waited_ms",
                  (router->now_us - request->queued_us) / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRoom_Reserve(placement->roomiest->room, demand_of(request));
    router->loads_changed = true;
}

void
SlEngineRooms_OnLeft(struct sl_router *router,
                     const struct sl_routed_request *request)
{
    if (router->rooms != NULL && router->rooms->conn == request->conn) {
        release(router);
    }
}

/* ---- metrics ---- */

void
SlEngineRooms_SetMetrics(struct sl_router *router)
{
    GHashTableIter iter;
    gpointer value;
    const struct sl_name mean = SlName_Of("mean");
    const struct sl_name largest = SlName_Of("largest");
    for (size_t i = 0; router->rooms != NULL && router->routing != NULL &&
                       i < SlRouting_ServiceCount(router->routing);
         i++) {
        const struct sl_route_service *service =
            SlRouting_Service(router->routing, i);
        double sum = 0;
        double most = 0;
        int64_t engines = 0;
        if (!service->is_engine) {
            continue;
        }
        SlPeers_SumLoads(router);
        g_hash_table_iter_init(&iter, router->upstreams);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const struct sl_router_upstream *upstream = value;
            if (SlName_Equal(&upstream->registration.service,
                             &service->name)) {
                double held = (double)SlRoom_HeldTokens(upstream->room);
                sum += held;
                most = MAX(most, held);
                engines++;
            }
        }
        SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_ENGINE_TOKENS,
                      &service->name, &mean,
                      engines > 0 ? sum / (double)engines : 0);
        SlMetrics_Set(router->metrics, Sl_ROUTER_METRIC_ENGINE_TOKENS,
                      &service->name, &largest, most);
    }
}
