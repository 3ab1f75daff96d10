/* Planning: which versions may run a request, which of them to try first, and
 * which upstream gets the next attempt. */
#include "sl_entry_internal.h"

#include <string.h>

#define Sl_MAX_CANDIDATES 128
/* Share of sessions that may still choose a suspect version, so that its
 * recovery can be detected. */
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
    return label != NULL && SlEvidence_IsSuspect(core->entry->evidence,
                                                 version, label->quality);
}

/* A random number in [0, 1). The same for all requests of a session with the
 * same `purpose`. */
static double
draw(struct sl_core *core, const struct sl_request *request,
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

/* Removes suspect versions from a session's steps unless no others are left.
 * Requests without a session leave this to the cascade rule. */
static void
drop_suspects(struct sl_core *core, struct sl_request *request)
{
    size_t kept = 0;
    struct sl_name steps[Sl_MAX_STEPS];
    if (SlName_IsEmpty(&request->attributes.session) ||
        draw(core, request, "suspect") < Sl_SUSPECT_SHARE) {
        return;
    }
    for (size_t i = 0; i < request->step_count; i++) {
        if (!is_suspect(core, &request->steps[i])) {
            steps[kept++] = request->steps[i];
        }
    }
    if (kept > 0 && kept < request->step_count) {
        memcpy(request->steps, steps, kept * sizeof(steps[0]));
        request->step_count = kept;
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
    if (!SlName_IsEmpty(&selector->canary) &&
        in_service(core, &selector->canary) &&
        draw(core, request, "canary") < selector->canary_share) {
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
    drop_suspects(core, request);
    return Sl_OK;
}

/* ---- start ---- */

/* Mean service time that the available upstreams of a service report. */
static int64_t
mean_service_time(const struct sl_core *core, const struct sl_name *service)
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
    step->expected_us = mean_service_time(core, &request->service);
}

static struct sl_cascade_request
cascade_query(const struct sl_core *core, const struct sl_request *request,
              const struct sl_cascade_step *steps, size_t count)
{
    return (struct sl_cascade_request){
        .team = request->attributes.team,
        .kind = request->attributes.kind,
        .quality = request->quality,
        .time_left_us = request->deadline_us - core->now_us,
        .count = count,
        .steps = steps,
        .ratings_unavailable =
            !core->options.rates || core->entry->consecutive_rating_failures >=
                                        Sl_RATINGS_DOWN_FAILURES,
    };
}

double
SlPlan_PassRate(const struct sl_core *core, const struct sl_request *request,
                const struct sl_name *version)
{
    struct sl_cascade_step step = {0};
    describe_step(core, request, version, &step);
    struct sl_cascade_request ask = cascade_query(core, request, &step, 1);
    return SlCascade_PassRate(core->entry->cascade, &ask, 0);
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
    struct sl_cascade_request ask = cascade_query(core, request, steps, count);
    request->step = first + core->entry->cascade_policy->start(
                                core->entry->cascade, &ask, &core->random);
    assert(request->step < request->step_count);
}

/* ---- upstream ---- */

static bool
has_tried(const struct sl_request *request, const struct sl_name *upstream)
{
    return SlName_IsListed(request->tried_upstreams, request->tried_count,
                           upstream);
}

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
candidate_of(const struct sl_core *core, const struct sl_peer *peer)
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

static struct sl_peer *
choose(struct sl_core *core, const struct sl_request *request,
       const struct sl_name *version)
{
    struct sl_candidate candidates[Sl_MAX_CANDIDATES];
    struct sl_peer *peers[Sl_MAX_CANDIDATES];
    size_t count = 0;
    for (guint i = 0; i < core->peers->len && count < Sl_MAX_CANDIDATES; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (can_take(core, request, peer, version)) {
            candidates[count] = candidate_of(core, peer);
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

/* The agent that is home to the request's key, or NULL with the reason in
 * `err`. Only the home may run a key of a request that is not idempotent. */
static struct sl_peer *
home_peer(const struct sl_core *core, const struct sl_request *request,
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
        return home_peer(core, request, err);
    }
    size_t first = request->step;
    size_t last = request->pinned || request->step_count == 0
                      ? first + 1
                      : request->step_count;
    /* If no upstream can run a version now, the next, more expensive version
     * that the request allows is tried. */
    for (size_t step = first; step < last; step++) {
        struct sl_name none = {0};
        const struct sl_name *version =
            request->engine ? &request->steps[step] : &none;
        /* The version may have been withdrawn since the steps were set. */
        if (request->engine && !in_service(core, version)) {
            continue;
        }
        struct sl_peer *peer = choose(core, request, version);
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
