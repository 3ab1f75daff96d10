/* Planning: which versions of a model may run a request, which of them to try
 * first, and which upstream gets the next attempt. The versions are the steps
 * of the request's cascade. */
#include "sl_entry_internal.h"

#include <string.h>

/* Upstreams among which the balancer chooses; further ones are ignored. */
#define Sl_MAX_CANDIDATES 128
/* A version is suspect if its ratings or failures show that it has become
 * worse. This share of the sessions may still choose one, so that its recovery
 * is detected. */
#define Sl_SUSPECT_SHARE 0.01
/* Assumed while no upstream reports a service time. */
#define Sl_DEFAULT_SERVICE_TIME_US (200 * Sl_US_PER_MS)
/* After this many consecutive failures the rating service counts as down. */
#define Sl_RATINGS_DOWN_FAILURES 3

/* ---- steps ---- */

static bool
in_service(const struct sl_core *core, const struct sl_name *version)
{
    const struct sl_version *label =
        SlConfig_FindVersion(core->config, version);
    return label != NULL && !label->out_of_service;
}

static bool
is_suspect(const struct sl_core *core, const struct sl_name *version)
{
    const struct sl_version *label =
        SlConfig_FindVersion(core->config, version);
    return label != NULL && SlEvidence_UpdateSuspect(core->entry->evidence,
                                                     version, label->quality);
}

/* Returns a random number in [0, 1). Requests of the same session get the same
 * number for the same `purpose`, so that a session stays on one side of a
 * split. */
static double
random_for_request(struct sl_core *core, const struct sl_request *request,
                   const char *purpose)
{
    if (SlName_IsEmpty(&request->attributes.session)) {
        return SlRandom_Unit(&core->random);
    }
    uint64_t seed = SlHash_Bytes(0, SlStr_FromC(purpose));
    struct sl_random random = {
        SlHash_Bytes(seed, SlName_Str(&request->attributes.session))};
    return SlRandom_Unit(&random);
}

/* Appends a version to the request's steps, unless it is among them. */
static void
add_step(struct sl_request *request, const struct sl_name *version)
{
    for (size_t i = 0; i < request->step_count; i++) {
        if (SlName_Equal(&request->steps[i], version)) {
            return;
        }
    }
    if (request->step_count < Sl_MAX_STEPS) {
        request->steps[request->step_count++] = *version;
    }
}

/* Removes suspect versions from the steps of a session's request, unless all
 * are suspect. For requests without a session, the cascade policy avoids
 * suspect versions. */
static void
drop_suspect_steps(struct sl_core *core, struct sl_request *request)
{
    size_t kept_count = 0;
    struct sl_name kept_steps[Sl_MAX_STEPS];
    if (SlName_IsEmpty(&request->attributes.session) ||
        random_for_request(core, request, "suspect") < Sl_SUSPECT_SHARE) {
        return;
    }
    for (size_t i = 0; i < request->step_count; i++) {
        if (!is_suspect(core, &request->steps[i])) {
            kept_steps[kept_count++] = request->steps[i];
        }
    }
    if (kept_count > 0 && kept_count < request->step_count) {
        memcpy(request->steps, kept_steps, kept_count * sizeof(kept_steps[0]));
        request->step_count = kept_count;
        SlCore_Increment(core, "versions.suspect_avoided");
    }
}

enum sl_errno
SlPlan_FillSteps(struct sl_core *core, struct sl_request *request,
                 const struct sl_selector *selector, struct sl_error *err)
{
    if (!request->engine) {
        return Sl_OK;
    }
    /* A version that is being rolled out comes first for its share of the
     * sessions. */
    if (!SlName_IsEmpty(&selector->canary) &&
        in_service(core, &selector->canary) &&
        random_for_request(core, request, "canary") < selector->canary_share) {
        add_step(request, &selector->canary);
    }
    for (size_t i = 0; i < selector->cascade_count; i++) {
        if (in_service(core, &selector->cascade[i])) {
            add_step(request, &selector->cascade[i]);
        }
    }
    if (request->step_count == 0) {
        return SlError_Set(err, Sl_ERR_REFUSED, "entry.plan", NULL,
                           "selector \"%s\": every version is out of service",
                           selector->name.text);
    }
    drop_suspect_steps(core, request);
    return Sl_OK;
}

/* ---- choice of a step ---- */

/* Mean of the service times, in microseconds, that the upstreams of a service
 * report which accept work. */
static int64_t
mean_service_time_us(const struct sl_core *core, const struct sl_name *service)
{
    int64_t sum = 0;
    int64_t count = 0;
    for (guint i = 0; i < core->peers->len; i++) {
        const struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        const struct sl_upstream *upstream =
            SlConfig_FindUpstream(core->config, &peer->vm.upstream);
        if (upstream != NULL && SlPeer_AcceptsWork(core, peer) &&
            SlName_Equal(&upstream->service, service) &&
            peer->status.service_time_us > 0) {
            sum += peer->status.service_time_us;
            count++;
        }
    }
    return count == 0 ? Sl_DEFAULT_SERVICE_TIME_US : sum / count;
}

/* Sets what the cascade policy needs to know about a version. */
static void
describe_step(const struct sl_core *core, const struct sl_request *request,
              const struct sl_name *version, struct sl_cascade_step *step)
{
    const struct sl_version *label =
        SlConfig_FindVersion(core->config, version);
    step->version = *version;
    step->cost_micros = label == NULL ? 0 : label->cost_micros;
    step->quality = label == NULL ? 0 : label->quality;
    step->suspect = is_suspect(core, version);
    step->expected_us = mean_service_time_us(core, &request->service);
}

/* Returns the cascade policy's input: the request and `count` steps. Points to
 * `steps`. */
static struct sl_cascade_request
make_query(const struct sl_core *core, const struct sl_request *request,
           const struct sl_cascade_step *steps, size_t count)
{
    return (struct sl_cascade_request){
        .team = request->attributes.team,
        .kind = request->attributes.kind,
        .quality = request->quality,
        .time_left_us = request->deadline_us - core->now_us,
        .count = count,
        .steps = steps,
        .ratings_unavailable = !core->options.has_rating_service ||
                               core->entry->consecutive_rating_failures >=
                                   Sl_RATINGS_DOWN_FAILURES,
    };
}

double
SlPlan_PassRate(const struct sl_core *core, const struct sl_request *request,
                const struct sl_name *version)
{
    struct sl_cascade_step step = {0};
    describe_step(core, request, version, &step);
    struct sl_cascade_request query = make_query(core, request, &step, 1);
    return SlCascade_PassRate(core->entry->cascade, &query, 0);
}

struct sl_name
SlPlan_VersionForSession(struct sl_core *core,
                         const struct sl_request *request)
{
    assert(request->step_count > 0);
    for (size_t i = 0; i < request->step_count; i++) {
        if (SlPlan_PassRate(core, request, &request->steps[i]) >=
            request->quality) {
            return request->steps[i];
        }
    }
    return request->steps[request->step_count - 1];
}

void
SlPlan_ChooseStep(struct sl_core *core, struct sl_request *request,
                  size_t first)
{
    struct sl_cascade_step steps[Sl_MAX_STEPS] = {0};
    size_t count = request->step_count - first;
    request->step = first;
    if (count < 2) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        describe_step(core, request, &request->steps[first + i], &steps[i]);
    }
    struct sl_cascade_request query = make_query(core, request, steps, count);
    request->step = first + core->entry->cascade_policy->start(
                                core->entry->cascade, &query, &core->random);
    assert(request->step < request->step_count);
}

/* ---- choice of an upstream ---- */

static bool
has_tried(const struct sl_request *request, const struct sl_name *upstream)
{
    return SlName_IsListed(request->tried_upstreams, request->tried_count,
                           upstream);
}

/* Returns true if the agent's last status lists the version as loaded. */
static bool
has_loaded(const struct sl_peer *peer, const struct sl_name *version)
{
    for (size_t i = 0; i < peer->status.version_count; i++) {
        if (SlName_Equal(&peer->versions[i].version, version)) {
            return peer->versions[i].loaded;
        }
    }
    return false;
}

/* Returns true if the agent's upstream can get the request's next attempt with
 * this version. */
static bool
can_take(const struct sl_core *core, const struct sl_request *request,
         const struct sl_peer *peer, const struct sl_name *version)
{
    const struct sl_upstream *upstream =
        SlConfig_FindUpstream(core->config, &peer->vm.upstream);
    return upstream != NULL && SlPeer_AcceptsWork(core, peer) &&
           SlName_Equal(&upstream->service, &request->service) &&
           !has_tried(request, &upstream->name) &&
           (!request->engine || has_loaded(peer, version));
}

static struct sl_candidate
make_candidate(const struct sl_core *core, const struct sl_peer *peer)
{
    return (struct sl_candidate){
        .upstream = peer->vm.upstream,
        .same_domain = SlName_Equal(&peer->vm.domain, &core->options.domain),
        .loaded = true,
        .local_in_flight = peer->local_in_flight,
        .local_since_report = peer->local_since_report,
        .reported = peer->status.in_flight + peer->status.queued,
        .report_age_us = core->now_us - peer->status_us,
        .limit = peer->status.limit,
        .warm = peer->status.warm,
        /* 0 until the upstream finished a request; the policy then uses the
         * service times of the other candidates. */
        .service_time_us = peer->status.service_time_us,
    };
}

/* Lets the balancer choose among the agents that can take the request. Returns
 * NULL if there is none. */
static struct sl_peer *
choose_peer(struct sl_core *core, const struct sl_request *request,
            const struct sl_name *version)
{
    struct sl_candidate candidates[Sl_MAX_CANDIDATES];
    struct sl_peer *peers[Sl_MAX_CANDIDATES];
    size_t count = 0;
    for (guint i = 0; i < core->peers->len && count < Sl_MAX_CANDIDATES; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (can_take(core, request, peer, version)) {
            candidates[count] = make_candidate(core, peer);
            peers[count] = peer;
            count++;
        }
    }
    if (count == 0) {
        return NULL;
    }
    size_t index =
        core->entry->balancer->choose(candidates, count, &core->random);
    return index == Sl_NO_CHOICE ? NULL : peers[index];
}

/* Returns the agent of the upstream that is the home of the request's key, or
 * NULL with the reason in `err`. Only that agent may run a request that has a
 * key and is not idempotent; see sl_keyed_runs.c. */
static struct sl_peer *
find_home_peer(const struct sl_core *core, const struct sl_request *request,
               struct sl_error *err)
{
    const struct sl_home *home =
        SlConfig_FindHome(core->config, &request->service);
    const struct sl_name *member =
        home == NULL ? NULL : SlHome_MemberForKey(home, &request->key);
    if (member == NULL) {
        SlError_Set(err, Sl_ERR_REFUSED, "entry.home", NULL,
                    "service \"%s\" has no home record yet",
                    request->service.text);
        return NULL;
    }
    struct sl_peer *peer = SlMembership_PeerByUpstream(core, member);
    if (peer == NULL || !SlPeer_AcceptsWork(core, peer)) {
        SlError_Set(err, Sl_ERR_UNREACHABLE, "entry.home", member->text,
                    "the home of this key accepts no work now");
        return NULL;
    }
    return peer;
}

struct sl_peer *
SlPlan_ChooseUpstream(struct sl_core *core, struct sl_request *request,
                      struct sl_error *err)
{
    if (!request->idempotent && !SlName_IsEmpty(&request->key)) {
        return find_home_peer(core, request, err);
    }
    /* A request that is bound to one version, or has none because its service
     * is not an engine, has a single step. */
    size_t first = request->step;
    size_t step_end = request->pinned || request->step_count == 0
                          ? first + 1
                          : request->step_count;
    /* If no upstream can run a version now, the next, more expensive version
     * that the request allows is tried. */
    for (size_t step = first; step < step_end; step++) {
        struct sl_name none = {0};
        const struct sl_name *version =
            request->engine ? &request->steps[step] : &none;
        /* The version may have been withdrawn since the steps were set. */
        if (request->engine && !in_service(core, version)) {
            continue;
        }
        struct sl_peer *peer = choose_peer(core, request, version);
        if (peer != NULL) {
            request->step = step;
            return peer;
        }
    }
    SlError_Set(err, Sl_ERR_UNREACHABLE, "entry.choose", NULL,
                "no upstream of service \"%s\" can take %s%s now",
                request->service.text,
                request->engine ? "version " : "the request",
                request->engine ? request->steps[first].text : "");
    return NULL;
}
