/*
 * Admission control: the router's side of sl_sharing. While a service has no
 * room, its waiting requests are ordered by the fair shares of their teams
 * over the fleet, and those that could not end in time are refused.
 */
#include "sl_router_internal.h"

/* Run time of requests to a service without an observation. */
#define Sl_INITIAL_SLOT_US (50 * Sl_US_PER_MS)
/* Requests without a team are of many clients that nobody tells apart. They
 * count as those of this many teams: as one team, all of them would wait for
 * the share of one. */
#define Sl_TEAMLESS_CLAIMS 8

/* ---- the pass ---- */

/* A service with waiting requests. */
struct sl_waited_service {
    const struct sl_name *name;
    uint32_t key;
    /* Waiting requests that were decided on, and wait on: of teams above their
     * share, and of the others. */
    int64_t kept_above;
    int64_t kept_others;
    /* No upstream has room: the answer for all requests that any upstream of
     * the service may serve; and for those of teams above their share. */
    bool is_full;
    struct sl_placement full;
    bool is_full_above;
    struct sl_placement full_above;
    struct sl_sharing_allotment allotment; /* the last */
};

struct sl_admission_pass {
    struct sl_router *router;
    GPtrArray *waiting; /* struct sl_routed_request, in the order of
                           `waiters` */
    struct sl_sharing_waiter *waiters;
    GArray *services; /* struct sl_waited_service */
};

bool
SlAdmissionControl_IsOn(const struct sl_router *router)
{
    return router->routing != NULL && SlRouting_TeamCount(router->routing) > 0;
}

static uint32_t
key_of(const struct sl_name *name)
{
    return SlSharing_Key(SlName_Str(name));
}

/* Returns the key that a request without a team counts for. */
static uint32_t
teamless_key(const struct sl_routed_request *request)
{
    uint64_t hash = SlHash_Bytes(0, request->incoming.id);
    return (uint32_t)SlHash_Mix(hash % Sl_TEAMLESS_CLAIMS + 1) | 1;
}

void
SlAdmissionControl_OnArrival(struct sl_router *router,
                             struct sl_routed_request *request)
{
    request->claim = (struct sl_sharing_claim){
        .service = key_of(&request->service->name),
        .team = request->team == NULL ? teamless_key(request)
                                      : key_of(&request->team->name),
        .route = key_of(&request->route->name),
        .session = (uint32_t)request->session,
    };
    request->tried_us = SlSharing_TriedUs(
        router->sharing, request->claim.route, request->incoming.deadline_us);
}

/* Returns the entry of the service; adds it if it is missing. */
static struct sl_waited_service *
find_service(struct sl_admission_pass *pass,
             const struct sl_routed_request *request)
{
    for (guint i = 0; i < pass->services->len; i++) {
        struct sl_waited_service *service =
            &g_array_index(pass->services, struct sl_waited_service, i);
        if (service->key == request->claim.service) {
            return service;
        }
    }
    struct sl_waited_service service = {
        .name = &request->service->name,
        .key = request->claim.service,
    };
    g_array_append_val(pass->services, service);
    return &g_array_index(pass->services, struct sl_waited_service,
                          pass->services->len - 1);
}

struct sl_admission_pass *
SlAdmissionControl_Begin(struct sl_router *router, GPtrArray *waiting)
{
    if (!SlAdmissionControl_IsOn(router) || waiting->len == 0) {
        return NULL;
    }
    struct sl_admission_pass *pass = g_new0(struct sl_admission_pass, 1);
    gpointer *requests =
        g_memdup2(waiting->pdata, waiting->len * sizeof(*waiting->pdata));
    SlSharing_Expire(router->sharing, router->now_us,
                     SlPeers_SilentUs(router));
    pass->router = router;
    pass->waiting = waiting;
    pass->waiters = g_new0(struct sl_sharing_waiter, waiting->len);
    pass->services =
        g_array_new(FALSE, FALSE, sizeof(struct sl_waited_service));
    for (guint i = 0; i < waiting->len; i++) {
        const struct sl_routed_request *request = requests[i];
        pass->waiters[i] = (struct sl_sharing_waiter){
            .claim = request->claim,
            .priority = request->priority,
            .arrival = request->arrival_number,
            .has_returned = request->tried_us > 0,
            .index = i,
        };
    }
    SlSharing_Sort(router->sharing, pass->waiters, waiting->len);
    for (guint i = 0; i < waiting->len; i++) {
        waiting->pdata[i] = requests[pass->waiters[i].index];
    }
    g_free(requests);
    return pass;
}

void
SlAdmissionControl_End(struct sl_admission_pass *pass)
{
    if (pass != NULL) {
        g_array_free(pass->services, TRUE);
        g_free(pass->waiters);
        g_free(pass);
    }
}

/* ---- decisions ---- */

/* Returns true if the same upstreams may serve the request as any other one to
 * its service. */
static bool
is_unrestricted(struct sl_router *router,
                const struct sl_routed_request *request)
{
    return !request->route->regions.is_set &&
           (request->team == NULL || !request->team->regions.is_set) &&
           !SlRollouts_IsRunning(router, &request->service->name);
}

/* Returns true if the request's team wants more than its fair share. */
static bool
is_above_share(const struct sl_admission_pass *pass,
               const struct sl_waited_service *service,
               const struct sl_routed_request *request)
{
    return SlSharing_IsAboveShare(pass->router->sharing, service->key,
                                  request->claim.team,
                                  service->allotment.share);
}

/* Updates the service's allotment. If the request's team is above its share
 * and this router has sent its part, no upstream takes the request now. */
static void
apply_allotment(struct sl_admission_pass *pass,
                struct sl_waited_service *service,
                const struct sl_routed_request *request,
                struct sl_placement *placement)
{
    struct sl_sharing *sharing = pass->router->sharing;
    service->allotment = SlSharing_Allot(
        sharing, pass->router->now_us, service->key, placement->usable_slots,
        SlSharing_RunUs(sharing, service->key, Sl_INITIAL_SLOT_US));
    if (placement->upstream != NULL && service->allotment.free_us > 0 &&
        is_above_share(pass, service, request)) {
        placement->upstream = NULL;
        placement->wait_us = service->allotment.free_us;
    }
}

struct sl_placement
SlAdmissionControl_Place(struct sl_admission_pass *pass, size_t index)
{
    const struct sl_routed_request *request = pass->waiting->pdata[index];
    struct sl_waited_service *service = find_service(pass, request);
    bool unrestricted = is_unrestricted(pass->router, request);
    if (unrestricted && service->is_full) {
        return service->full;
    }
    if (unrestricted && service->is_full_above &&
        is_above_share(pass, service, request)) {
        return service->full_above;
    }
    struct sl_placement placement = SlPlacement_Choose(pass->router, request);
    /* A request without room in the memory of engines says nothing of shorter
     * ones. */
    bool is_full = placement.upstream == NULL && placement.roomiest == NULL &&
                   !placement.exceeds_memory;
    bool lacks_memory = placement.upstream == NULL && !is_full;
    apply_allotment(pass, service, request, &placement);
    if (unrestricted && is_full) {
        service->is_full = true;
        service->full = placement;
    }
    else if (unrestricted && placement.upstream == NULL && !lacks_memory) {
        service->is_full_above = true;
        service->full_above = placement;
    }
    return placement;
}

/* Returns the time that the request's client still waits for the response. */
static int64_t
client_left_us(const struct sl_router *router,
               const struct sl_routed_request *request)
{
    int64_t deadline_us =
        request->incoming.deadline_us > 0
            ? request->arrived_us + request->incoming.deadline_us
            : request->deadline_us;
    return deadline_us - router->now_us;
}

struct sl_admission_decision
SlAdmissionControl_Decide(struct sl_admission_pass *pass, size_t index,
                          const struct sl_placement *placement)
{
    struct sl_router *router = pass->router;
    const struct sl_routed_request *request = pass->waiting->pdata[index];
    struct sl_waited_service *service = find_service(pass, request);
    int64_t now_us = router->now_us;
    int64_t objective_us = request->route->target_latency_us;
    int64_t run_us =
        SlSharing_RunUs(router->sharing, service->key, Sl_INITIAL_SLOT_US);
    bool is_above = is_above_share(pass, service, request);
    struct sl_admission_state state = {
        .has_room = placement->upstream != NULL,
        .usable_slots = placement->usable_slots,
        .run_us = run_us,
        .begin_us =
            request->service->is_engine ? placement->first_event_us : run_us,
        .free_us = placement->wait_us + placement->limited_margin_us,
        .ahead = is_above ? service->kept_above : service->kept_others,
        .interval_us = is_above ? service->allotment.interval_us
                                : SlAdmission_BacklogUs(
                                      1, run_us, placement->usable_slots),
        .limited_interval_us = placement->limited_interval_us,
        .backlog = SlSharing_Service(router->sharing, service->key).waiting,
        .upstream_wait_us =
            request->service->is_engine
                ? 0
                : (int64_t)(placement->least_queue * (double)run_us),
        .objective_left_us = objective_us == 0
                                 ? Sl_NEVER_US
                                 : objective_us - request->tried_us -
                                       (now_us - request->arrived_us),
        .time_left_us =
            MIN(request->deadline_us, SlRouter_DrainEndUs(router)) - now_us,
        .client_left_us = client_left_us(router, request),
        .runs_once = !request->is_retryable,
        .is_stream = request->service->is_engine,
        .spread = (uint32_t)SlHash_Bytes(0, request->incoming.id),
    };
    if (objective_us > 0 && request->possible_runs == 0) {
        state.is_overload_lasting =
            service->allotment.contended_us >= objective_us;
        state.is_above_share = is_above;
    }
    return SlAdmission_Decide(&state);
}

void
SlAdmissionControl_OnKept(struct sl_admission_pass *pass, size_t index)
{
    const struct sl_routed_request *request = pass->waiting->pdata[index];
    struct sl_waited_service *service = find_service(pass, request);
    if (is_above_share(pass, service, request)) {
        service->kept_above++;
    }
    else {
        service->kept_others++;
    }
}

void
SlAdmissionControl_Log(struct sl_router *router,
                       const struct sl_routed_request *request,
                       const struct sl_admission_decision *admission)
{
    struct sl_sharing_holding team = SlSharing_Team(
        router->sharing, request->claim.service, request->claim.team);
    struct sl_sharing_holding all =
        SlSharing_Service(router->sharing, request->claim.service);
    int64_t share =
        SlSharing_LastShare(router->sharing, request->claim.service);
    SlLogLine_Int(router, "team_share", share == INT64_MAX ? -1 : share);
    SlLogLine_Int(router, "team_held", team.held);
    SlLogLine_Int(router, "team_waiting", team.waiting);
    SlLogLine_Int(router, "fleet_held", all.held);
    SlLogLine_Int(router, "fleet_waiting", all.waiting);
    SlLogLine_Int(router, "expected_end_ms", admission->end_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "tried_ms", request->tried_us / Sl_US_PER_MS);
    SlLogLine_Int(router, "shares_age_ms",
                  SlSharing_ReportAgeUs(router->sharing, router->now_us) /
                      Sl_US_PER_MS);
}

/* ---- reports ---- */

void
SlAdmissionControl_OnRan(struct sl_router *router,
                         const struct sl_routed_request *request)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    SlSharing_OnRan(router->sharing, request->claim.service,
                    router->now_us - call->sent_us, call->sent_load,
                    SlPlacement_Slots(call->upstream));
}

void
SlAdmissionControl_AddToDigest(const struct sl_router *router,
                               struct sl_gossip_digest *digest)
{
    if (SlAdmissionControl_IsOn(router)) {
        digest->share_count = SlSharing_FillReport(
            router->sharing, digest->shares, Sl_GOSSIP_MAX_SHARES);
    }
}

void
SlAdmissionControl_OnDigest(struct sl_router *router,
                            const struct sl_gossip_digest *digest)
{
    if (digest->is_leaving) {
        SlSharing_OnPeerGone(router->sharing, &digest->vm);
        return;
    }
    SlSharing_OnReport(router->sharing,
                       router->now_us - digest->age_ms * Sl_US_PER_MS,
                       &digest->vm, digest->shares, digest->share_count);
}
