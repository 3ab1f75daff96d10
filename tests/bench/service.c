/* Simulation of one service in virtual time; see service.h.
 *
 * Requests and attempts are numbered by their index in sl_bench_service; the
 * timers carry these numbers as `id`. */
#include "service.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* One-way network delays inside and between failure domains. */
#define Sl_LOCAL_DELAY_US 500
#define Sl_REMOTE_DELAY_US 1500
/* Time for which an engine runs nothing after a crash. */
#define Sl_ENGINE_RESTART_US (10 * Sl_US_PER_S)
/* Time until an entry notices that a peer is lost. */
#define Sl_LOSS_DETECTION_US (3 * Sl_US_PER_S)
#define Sl_OUTAGE_START_US (60 * Sl_US_PER_S)
#define Sl_OUTAGE_END_US (120 * Sl_US_PER_S)
/* Requests per slot that an engine completes until it is warm. */
#define Sl_WARM_REQUESTS_PER_SLOT 10
/* Items with a deadline closer than this may run before other priorities; see
 * SlQueue_PopUrgentFirst(). */
#define Sl_URGENT_US (10 * Sl_US_PER_S)
/* Attempts of a request with a retry budget. */
#define Sl_MAX_ATTEMPTS 4
/* Shortest delay of a request that the entry defers. */
#define Sl_MIN_DEFERRAL_US (200 * Sl_US_PER_MS)
/* Attempts of a request without a retry budget, and the delay between them. */
#define Sl_UNBOUNDED_ATTEMPTS 20
#define Sl_UNBOUNDED_RETRY_DELAY_US (100 * Sl_US_PER_MS)
/* Places in the queue of an agent for each slot of its warm limit. */
#define Sl_QUEUE_PLACES_PER_SLOT 4

const struct sl_deployment SlDeployment_Kerhuel = {
    .name = "Kerhuel plume",
    .upstreams = 10,
    .domains = 3,
    .entries = 3,
    .warm_limit = 8,
    .cold_limit = 2,
    .service_us = 4e6,
    .cost_sigma = 0.6,
    .estimate_sigma = 0.3,
    .kinds = {{"verse", 0.6, 0, 20 * Sl_US_PER_S, true},
              {"proof-check", 0.25, 1, 60 * Sl_US_PER_S, true},
              {"may-wait", 0.15, 5, 180 * Sl_US_PER_S, true}},
};

const struct sl_deployment SlDeployment_Koudebaai = {
    .name = "Koudebaai ysberg-llm",
    .upstreams = 20,
    .domains = 3,
    .entries = 3,
    .warm_limit = 16,
    .cold_limit = 4,
    .service_us = 3e6,
    .cost_sigma = 0.8,
    .estimate_sigma = 0.3,
    .kinds = {{"summary", 0.3, 0, 15 * Sl_US_PER_S, true},
              {"draft", 0.2, 1, 30 * Sl_US_PER_S, false},
              {"may-wait", 0.5, 5, 180 * Sl_US_PER_S, true}},
};

/* A client's request at its entry. */
struct sl_bench_request {
    uint64_t id;
    size_t entry;
    size_t kind;
    size_t team;
    double cost;     /* run time in us, before start_attempt() slows it down */
    double estimate; /* the entry's estimate of `cost` */
    int64_t arrived_at_us;
    int64_t deadline_us;
    uint32_t attempts;
    uint32_t pending_attempts;   /* attempts without a reply */
    uint64_t latest_attempts[2]; /* numbers of the last two attempts */
    bool finished;               /* the client has its response */
};

/* How an attempt ended. */
enum sl_reply {
    Sl_REPLY_OK,
    Sl_REPLY_NOT_RUN, /* the agent did not run it and never will */
    Sl_REPLY_LOST,    /* the connection or the run broke off */
};

/* One attempt of a request, at one agent. */
struct sl_bench_attempt {
    struct sl_bench_request *request;
    size_t agent;
    int64_t started_at_us;
    int64_t ends_at_us;
    int64_t retry_after_us; /* the agent's advice with `not-run` */
    uint64_t engine_start;  /* the engine's start that runs it */
    enum sl_reply reply;
    bool replied; /* the agent has sent `reply` */
};

/* An agent and its engine. */
struct sl_agent {
    size_t domain;
    bool is_out;  /* it knows that its domain is marked out */
    bool is_lost; /* its VM is lost */
    struct sl_limit limit;
    struct sl_queue *queue;
    uint64_t in_flight;
    double service_us;       /* moving average of run times */
    uint64_t engine_start;   /* number of the engine's start */
    int64_t available_at_us; /* the engine runs nothing before */
    uint64_t completed;      /* since the engine's start */
    bool has_restarted;      /* the engine starts cold; at first it is warm */
    GHashTable *running_attempts; /* set of attempt numbers */
};

/* What an entry knows of an agent. */
struct sl_view {
    struct sl_candidate candidate;
    int64_t reported_at_us;
    bool is_out;
};

struct sl_bench_service {
    const struct sl_service_options *options;
    const struct sl_deployment *deployment;
    struct sl_service_result *result;
    struct sl_random load_random;   /* same load for every policy */
    struct sl_random policy_random; /* for the policy's decisions */
    struct sl_timers *timers;
    int64_t now_us;
    struct sl_agent agents[Sl_BENCH_MAX_UPSTREAMS];
    struct sl_view views[Sl_BENCH_MAX_ENTRIES][Sl_BENCH_MAX_UPSTREAMS];
    struct sl_token_bucket budgets[Sl_BENCH_MAX_ENTRIES];
    GPtrArray *requests; /* struct sl_bench_request, owned */
    GPtrArray *attempts; /* struct sl_bench_attempt, owned */
};

static void route(struct sl_bench_service *service,
                  struct sl_bench_request *request);
static void on_retry(void *context, uint64_t id, int64_t now_us);

/* ---- helpers ---- */

static struct sl_phase *
phase_of(struct sl_bench_service *service,
         const struct sl_bench_request *request)
{
    size_t index = (request->arrived_at_us >= Sl_OUTAGE_START_US) +
                   (request->arrived_at_us >= Sl_OUTAGE_END_US);
    return &service->result->phases[index];
}

/* Calls `callback` with `id` after a delay. */
static void
schedule(struct sl_bench_service *service, int64_t delay_us,
         sl_timer_callback callback, uint64_t id)
{
    SlTimers_Add(service->timers, service->now_us + delay_us, callback,
                 service, id);
}

/* Appends to a list and returns the new member's number. */
static uint64_t
add_numbered(GPtrArray *list, gpointer member)
{
    g_ptr_array_add(list, member);
    return list->len - 1;
}

static int64_t
network_delay_us(const struct sl_bench_service *service, size_t entry,
                 size_t agent)
{
    size_t domain = entry % service->deployment->domains;
    return domain == service->agents[agent].domain ? Sl_LOCAL_DELAY_US
                                                   : Sl_REMOTE_DELAY_US;
}

/* Returns how many requests the engine can run now without overload. The agent
 * does not know it. */
static double
engine_capacity(const struct sl_bench_service *service,
                const struct sl_agent *agent)
{
    const struct sl_deployment *deployment = service->deployment;
    double warm_requests =
        (double)(Sl_WARM_REQUESTS_PER_SLOT * deployment->warm_limit);
    double warmth = agent->has_restarted
                        ? MIN((double)agent->completed / warm_requests, 1)
                        : 1;
    return (double)deployment->cold_limit +
           warmth * (double)(deployment->warm_limit - deployment->cold_limit);
}

/* Returns how many requests the agent runs at once. */
static uint64_t
current_limit(const struct sl_bench_service *service,
              const struct sl_agent *agent)
{
    return service->options->no_cold_limit
               ? (uint64_t)service->deployment->warm_limit
               : SlLimit_Current(&agent->limit);
}

static void on_cancel(void *context, uint64_t id, int64_t now_us);

/* ---- entry: replies ---- */

/* Records the client's response. */
static void
finish_request(struct sl_bench_service *service,
               struct sl_bench_request *request, enum sl_reply reply)
{
    struct sl_phase *phase = phase_of(service, request);
    request->finished = true;
    if (reply != Sl_REPLY_OK) {
        phase->refused += reply == Sl_REPLY_NOT_RUN;
        phase->failed += reply == Sl_REPLY_LOST;
        return;
    }
    double took_ms = (double)(service->now_us - request->arrived_at_us) / 1000;
    bool in_time = service->now_us <= request->deadline_us;
    phase->in_time += in_time;
    phase->kind_in_time[request->kind] += in_time;
    SlSample_Add(&phase->latency_ms, took_ms);
    SlSample_Add(&phase->kind_latency_ms[request->kind], took_ms);
    if (request->team >= 2) {
        SlSample_Add(&phase->small_team_latency_ms, took_ms);
    }
}

/* Returns whether the entry retries the request. If so, takes a token from its
 * retry budget, unless retries are unbounded. */
static bool
claim_retry(struct sl_bench_service *service,
            const struct sl_bench_request *request, enum sl_reply reply)
{
    bool bounded = service->options->retry_share >= 0;
    bool allowed = reply == Sl_REPLY_NOT_RUN ||
                   service->deployment->kinds[request->kind].idempotent;
    return allowed && service->now_us < request->deadline_us &&
           (bounded ? request->attempts < Sl_MAX_ATTEMPTS &&
                          SlTokenBucket_Take(&service->budgets[request->entry])
                    : request->attempts < Sl_UNBOUNDED_ATTEMPTS);
}

/* As in a real entry, a deferrable request (kind 2) that was not run is held
 * until the agent's advised time, if its deadline allows. */
static bool
may_defer(const struct sl_bench_service *service,
          const struct sl_bench_attempt *attempt)
{
    int64_t wait_us = MAX(attempt->retry_after_us, Sl_MIN_DEFERRAL_US);
    return service->options->defer && attempt->request->kind == 2 &&
           attempt->reply == Sl_REPLY_NOT_RUN &&
           service->now_us + wait_us < attempt->request->deadline_us;
}

static void
on_reply(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_bench_attempt *attempt =
        g_ptr_array_index(service->attempts, id);
    struct sl_bench_request *request = attempt->request;
    struct sl_candidate *candidate =
        &service->views[request->entry][attempt->agent].candidate;
    (void)now_us;
    candidate->local_in_flight--;
    candidate->local_cost_us -= (int64_t)request->estimate;
    request->pending_attempts--;
    if (request->finished) {
        return;
    }
    if (attempt->reply == Sl_REPLY_OK) {
        finish_request(service, request, Sl_REPLY_OK);
        for (size_t i = 0; i < 2 && request->attempts > 1; i++) {
            schedule(service, Sl_REMOTE_DELAY_US, on_cancel,
                     request->latest_attempts[i]);
        }
    }
    else if (request->pending_attempts > 0) {
        return;
    }
    else if (claim_retry(service, request, attempt->reply)) {
        bool bounded = service->options->retry_share >= 0;
        schedule(service, bounded ? 0 : Sl_UNBOUNDED_RETRY_DELAY_US, on_retry,
                 request->id);
    }
    else if (may_defer(service, attempt)) {
        schedule(service, MAX(attempt->retry_after_us, Sl_MIN_DEFERRAL_US),
                 on_retry, request->id);
    }
    else {
        finish_request(service, request, attempt->reply);
    }
}

static void
reply(struct sl_bench_service *service, uint64_t id, enum sl_reply outcome)
{
    struct sl_bench_attempt *attempt =
        g_ptr_array_index(service->attempts, id);
    int64_t delay_us =
        network_delay_us(service, attempt->request->entry, attempt->agent);
    if (service->agents[attempt->agent].is_lost) {
        delay_us += Sl_LOSS_DETECTION_US;
    }
    attempt->replied = true;
    attempt->reply = outcome;
    schedule(service, delay_us, on_reply, id);
}

/* ---- agent and engine ---- */

/* The engine crashes or its VM is lost: its running requests are lost, and it
 * restarts cold. */
static void
crash_engine(struct sl_bench_service *service, struct sl_agent *agent)
{
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, agent->running_attempts);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        reply(service, GPOINTER_TO_SIZE(key), Sl_REPLY_LOST);
    }
    g_hash_table_remove_all(agent->running_attempts);
    agent->in_flight = 0;
    agent->engine_start++;
    agent->completed = 0;
    agent->has_restarted = true;
    agent->available_at_us = service->now_us + Sl_ENGINE_RESTART_US;
    SlLimit_EnterCold(&agent->limit);
}

static void start_queued(struct sl_bench_service *service,
                         struct sl_agent *agent);

static void
on_finish(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_bench_attempt *attempt =
        g_ptr_array_index(service->attempts, id);
    struct sl_agent *agent = &service->agents[attempt->agent];
    int64_t took_us = now_us - attempt->started_at_us;
    if (attempt->replied || attempt->engine_start != agent->engine_start) {
        return;
    }
    g_hash_table_remove(agent->running_attempts, GSIZE_TO_POINTER(id));
    agent->in_flight--;
    agent->completed++;
    agent->service_us += ((double)took_us - agent->service_us) / 16;
    SlLimit_OnSuccess(&agent->limit, took_us, agent->in_flight);
    reply(service, id, Sl_REPLY_OK);
    start_queued(service, agent);
}

/* The client has a response from another attempt: removes this one from the
 * queue or stops its run. An attempt that has ended is left alone. */
static void
on_cancel(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_bench_attempt *attempt =
        g_ptr_array_index(service->attempts, id);
    struct sl_agent *agent = &service->agents[attempt->agent];
    if (attempt->replied) {
        return;
    }
    if (g_hash_table_remove(agent->running_attempts, GSIZE_TO_POINTER(id))) {
        agent->in_flight--;
        service->result->busy_us -= (double)(attempt->ends_at_us - now_us);
    }
    else if (!SlQueue_Remove(agent->queue, id)) {
        return;
    }
    reply(service, id, Sl_REPLY_NOT_RUN);
    start_queued(service, agent);
}

/* Runs an attempt. A request takes up to 1.5 times as long in a full batch, up
 * to twice as long on a cold engine, and twice as long above the engine's
 * capacity. The engine crashes above 1.5 times its capacity. */
static void
start_attempt(struct sl_bench_service *service, struct sl_agent *agent,
              uint64_t id)
{
    const struct sl_service_options *options = service->options;
    struct sl_bench_attempt *attempt =
        g_ptr_array_index(service->attempts, id);
    double capacity = engine_capacity(service, agent);
    bool is_cold = capacity < (double)service->deployment->warm_limit;
    agent->in_flight++;
    if (service->options->outage != Sl_OUTAGE_NONE && agent->domain == 0 &&
        service->now_us >= Sl_OUTAGE_START_US &&
        service->now_us < Sl_OUTAGE_END_US) {
        service->result->last_start_us = service->now_us;
    }
    attempt->started_at_us = service->now_us;
    attempt->engine_start = agent->engine_start;
    g_hash_table_add(agent->running_attempts, GSIZE_TO_POINTER(id));
    bool overloaded = (double)agent->in_flight > capacity;
    service->result->cold_overloads += overloaded && is_cold;
    if ((double)agent->in_flight > 1.5 * capacity) {
        service->result->crashes++;
        crash_engine(service, agent);
        return;
    }
    double batch = 1 + 0.5 * (double)agent->in_flight /
                           (double)service->deployment->warm_limit;
    double cold = 2 - capacity / (double)service->deployment->warm_limit;
    bool is_slow = options->slow_factor > 0 && agent == &service->agents[1];
    double took_us = attempt->request->cost * batch * cold *
                     (overloaded ? 2 : 1) *
                     (is_slow ? options->slow_factor : 1);
    service->result->busy_us += took_us;
    attempt->ends_at_us = service->now_us + (int64_t)took_us + 1;
    schedule(service, (int64_t)took_us + 1, on_finish, id);
}

/* Refuses expired attempts and starts others up to the agent's limit. */
static void
start_queued(struct sl_bench_service *service, struct sl_agent *agent)
{
    struct sl_queue_item item;
    while (SlQueue_PopExpired(agent->queue, service->now_us, &item)) {
        reply(service, item.id, Sl_REPLY_NOT_RUN);
    }
    while (service->now_us >= agent->available_at_us &&
           agent->in_flight < current_limit(service, agent) &&
           (service->options->fifo
                ? SlQueue_Pop(agent->queue, &item)
                : SlQueue_PopUrgentFirst(agent->queue, service->now_us,
                                         Sl_URGENT_US, &item))) {
        start_attempt(service, agent, item.id);
    }
}

/* Describes an attempt to the queue. With `fifo`, all are of one team and none
 * expires. */
static struct sl_queue_item
queue_item_of(const struct sl_bench_service *service,
              const struct sl_bench_request *request, uint64_t id)
{
    struct sl_queue_item item = {.id = id,
                                 .deadline_us = request->deadline_us};
    if (service->options->fifo) {
        item.team = SlName_Of("all");
        item.deadline_us = service->now_us + 3600 * Sl_US_PER_S;
        return item;
    }
    char team[16];
    g_snprintf(team, sizeof(team), "team-%zu", request->team);
    item.team = SlName_Of(team);
    item.priority = service->deployment->kinds[request->kind].priority;
    return item;
}

/* Queues an attempt, in place of a less important one if the queue is full;
 * returns false if there is none. */
static bool
enqueue(struct sl_bench_service *service, struct sl_agent *agent,
        const struct sl_queue_item *item,
        const struct sl_admission_context *conditions)
{
    struct sl_queue_item displaced_item;
    if (SlQueue_Push(agent->queue, item)) {
        return true;
    }
    if (!SlQueue_Displace(agent->queue, item, &displaced_item)) {
        return false;
    }
    struct sl_bench_attempt *displaced =
        g_ptr_array_index(service->attempts, displaced_item.id);
    displaced->retry_after_us =
        SlQueue_DecideAdmission(agent->queue, &displaced_item, conditions)
            .wait_us;
    reply(service, displaced_item.id, Sl_REPLY_NOT_RUN);
    return SlQueue_Push(agent->queue, item);
}

static void
on_agent_request(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_bench_attempt *attempt =
        g_ptr_array_index(service->attempts, id);
    struct sl_agent *agent = &service->agents[attempt->agent];
    struct sl_queue_item item = queue_item_of(service, attempt->request, id);
    struct sl_admission_context conditions = {now_us, agent->in_flight,
                                              current_limit(service, agent),
                                              (int64_t)agent->service_us};
    if (agent->is_lost) {
        reply(service, id, Sl_REPLY_LOST);
        return;
    }
    struct sl_admission admission =
        SlQueue_DecideAdmission(agent->queue, &item, &conditions);
    bool admit = service->options->fifo || admission.admit;
    attempt->retry_after_us = admission.retry_after_us;
    if (agent->is_out || !admit ||
        !enqueue(service, agent, &item, &conditions)) {
        reply(service, id, Sl_REPLY_NOT_RUN);
        return;
    }
    start_queued(service, agent);
}

/* ---- entry: attempts ---- */

static void
on_hedge(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_bench_request *request =
        g_ptr_array_index(service->requests, id);
    (void)now_us;
    if (!request->finished && request->pending_attempts > 0 &&
        SlTokenBucket_Take(&service->budgets[request->entry])) {
        route(service, request);
    }
}

static void
on_retry(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    (void)now_us;
    route(service, g_ptr_array_index(service->requests, id));
}

/* Lists the upstreams whose domain is not out, and their agents; returns how
 * many. */
static size_t
list_candidates(struct sl_bench_service *service,
                const struct sl_bench_request *request,
                struct sl_candidate *candidates, size_t *agents)
{
    size_t count = 0;
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        struct sl_view *view = &service->views[request->entry][i];
        if (!view->is_out) {
            candidates[count] = view->candidate;
            candidates[count].report_age_us =
                service->now_us - view->reported_at_us;
            agents[count++] = i;
        }
    }
    return count;
}

/* Sends an attempt to the agent that the balancer chooses. */
static void
route(struct sl_bench_service *service, struct sl_bench_request *request)
{
    struct sl_candidate candidates[Sl_BENCH_MAX_UPSTREAMS];
    size_t agents[Sl_BENCH_MAX_UPSTREAMS];
    size_t count = list_candidates(service, request, candidates, agents);
    size_t choice = service->options->balancer->choose(
        candidates, count, &service->policy_random);
    assert(choice != Sl_NO_CHOICE);
    struct sl_bench_attempt *attempt = g_new0(struct sl_bench_attempt, 1);
    attempt->request = request;
    attempt->agent = agents[choice];
    struct sl_candidate *candidate =
        &service->views[request->entry][attempt->agent].candidate;
    candidate->local_in_flight++;
    candidate->local_since_report++;
    candidate->local_sent++;
    candidate->local_cost_us += (int64_t)request->estimate;
    request->attempts++;
    request->pending_attempts++;
    phase_of(service, request)->attempts++;
    uint64_t id = add_numbered(service->attempts, attempt);
    request->latest_attempts[request->attempts % 2] = id;
    schedule(service,
             network_delay_us(service, request->entry, attempt->agent),
             on_agent_request, id);
}

/* Returns the rate of arrivals now. 1.5 is the slowdown of a full batch, see
 * start_attempt(). */
static double
arrivals_per_us(const struct sl_bench_service *service)
{
    const struct sl_service_options *options = service->options;
    const struct sl_deployment *deployment = service->deployment;
    double capacity_per_us = (double)deployment->upstreams *
                             (double)deployment->warm_limit /
                             (deployment->service_us * 1.5);
    double now_s = (double)service->now_us / Sl_US_PER_S;
    double load =
        options->load + options->load_wave * sin(2 * G_PI * now_s / 120);
    load += now_s >= 60 && now_s < 90 ? options->burst : 0;
    return capacity_per_us * load;
}

/* Teams 0 and 1 send 60 % of the regular load, and team 0 sends the burst. */
static size_t
draw_team(struct sl_bench_service *service)
{
    double now_s = (double)service->now_us / Sl_US_PER_S;
    double burst = now_s >= 60 && now_s < 90 ? service->options->burst : 0;
    if (SlRandom_Unit(&service->load_random) <
        burst / (service->options->load + burst)) {
        return 0;
    }
    return SlRandom_Unit(&service->load_random) < 0.6
               ? SlRandom_Below(&service->load_random, 2)
               : 2 + SlRandom_Below(&service->load_random, Sl_BENCH_TEAMS - 2);
}

static size_t
draw_kind(struct sl_bench_service *service)
{
    double remaining_share = SlRandom_Unit(&service->load_random);
    size_t kind = 0;
    while (kind < 2 &&
           remaining_share >= service->deployment->kinds[kind].share) {
        remaining_share -= service->deployment->kinds[kind].share;
        kind++;
    }
    return kind;
}

static void
on_arrival(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    const struct sl_deployment *deployment = service->deployment;
    struct sl_bench_request *request = g_new0(struct sl_bench_request, 1);
    request->entry =
        SlRandom_Below(&service->load_random, deployment->entries);
    request->kind = draw_kind(service);
    request->team = draw_team(service);
    request->cost =
        deployment->service_us *
        SlBench_LogNormal(&service->load_random, deployment->cost_sigma);
    request->estimate =
        request->cost *
        SlBench_LogNormal(&service->load_random, deployment->estimate_sigma);
    request->arrived_at_us = now_us;
    request->deadline_us =
        now_us + deployment->kinds[request->kind].deadline_us;
    phase_of(service, request)->requests++;
    phase_of(service, request)->kind_requests[request->kind]++;
    request->id = add_numbered(service->requests, request);
    SlTokenBucket_Refill(&service->budgets[request->entry]);
    route(service, request);
    if (service->options->hedge_us > 0 && request->kind == 0) {
        schedule(service, service->options->hedge_us, on_hedge, request->id);
    }
    double interval_us = SlBench_Exponential(&service->load_random,
                                             1 / arrivals_per_us(service));
    if (now_us + (int64_t)interval_us < service->options->end_us) {
        schedule(service, (int64_t)interval_us, on_arrival, id);
    }
}

/* ---- load reports and outages ---- */

static void
on_report(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_agent *agent = &service->agents[id];
    int64_t interval_us = service->options->report_us;
    start_queued(service, agent);
    for (size_t i = 0; i < service->deployment->entries && !agent->is_lost;
         i++) {
        struct sl_view *view = &service->views[i][id];
        view->reported_at_us = now_us;
        view->candidate.reported =
            agent->in_flight + SlQueue_Length(agent->queue);
        view->candidate.local_since_report = 0;
        view->candidate.limit = current_limit(service, agent);
        view->candidate.warm = service->options->no_cold_limit
                                   ? 1
                                   : SlLimit_Warmth(&agent->limit);
        view->candidate.service_time_us = (int64_t)agent->service_us;
    }
    if (now_us < service->options->end_us + 300 * Sl_US_PER_S) {
        schedule(service, interval_us > 0 ? interval_us : Sl_US_PER_S,
                 on_report, id);
    }
}

/* An agent learns that its domain is marked out and refuses what is queued, or
 * its VM is lost. */
static void
on_agent_out(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_agent *agent = &service->agents[id];
    struct sl_queue_item item;
    (void)now_us;
    agent->is_out = true;
    agent->is_lost = service->options->outage == Sl_OUTAGE_LOST;
    while (SlQueue_Pop(agent->queue, &item)) {
        reply(service, item.id,
              agent->is_lost ? Sl_REPLY_LOST : Sl_REPLY_NOT_RUN);
    }
    if (agent->is_lost) {
        crash_engine(service, agent);
    }
}

/* The domain is back, with a cold engine that is available at once. */
static void
on_agent_back(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_agent *agent = &service->agents[id];
    (void)now_us;
    crash_engine(service, agent);
    agent->available_at_us = service->now_us;
    agent->is_out = false;
    agent->is_lost = false;
}

/* An entry learns whether domain 0 is out. */
static void
on_entry_mark(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        bool in_domain_0 = service->agents[i].domain == 0;
        service->views[id][i].is_out =
            in_domain_0 && now_us < Sl_OUTAGE_END_US;
    }
}

/* Schedules the outage. Each process learns of a mark on its own, within two
 * seconds. */
static void
plan_outage(struct sl_bench_service *service)
{
    bool vms_are_lost = service->options->outage == Sl_OUTAGE_LOST;
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        if (service->agents[i].domain == 0) {
            int64_t lag_us = SlRandom_Below(&service->load_random, 2000000);
            schedule(service, Sl_OUTAGE_START_US + (vms_are_lost ? 0 : lag_us),
                     on_agent_out, i);
            schedule(service, Sl_OUTAGE_END_US + lag_us / 2, on_agent_back, i);
        }
    }
    for (size_t i = 0; i < service->deployment->entries; i++) {
        int64_t lag_us = SlRandom_Below(&service->load_random, 2000000);
        schedule(service,
                 Sl_OUTAGE_START_US +
                     (vms_are_lost ? Sl_LOSS_DETECTION_US : 0) + lag_us,
                 on_entry_mark, i);
        schedule(service, Sl_OUTAGE_END_US + Sl_US_PER_S + lag_us,
                 on_entry_mark, i);
    }
}

/* ---- public ---- */

static void
set_up(struct sl_bench_service *service)
{
    const struct sl_deployment *deployment = service->deployment;
    struct sl_limit_options bounds = {deployment->cold_limit,
                                      deployment->warm_limit};
    struct sl_queue_options queue = {
        (size_t)(Sl_QUEUE_PLACES_PER_SLOT * deployment->warm_limit)};
    for (size_t i = 0; i < deployment->upstreams; i++) {
        struct sl_agent *agent = &service->agents[i];
        agent->domain = i % deployment->domains;
        agent->limit = SlLimit_New(&bounds);
        agent->limit.cold = false; /* warm from earlier traffic */
        agent->limit.current = (double)deployment->warm_limit;
        agent->queue = SlQueue_New(&queue);
        agent->service_us = deployment->service_us * 1.3;
        agent->running_attempts =
            g_hash_table_new(g_direct_hash, g_direct_equal);
        for (size_t j = 0; j < deployment->entries; j++) {
            struct sl_candidate *candidate = &service->views[j][i].candidate;
            candidate->loaded = true;
            candidate->same_domain = j % deployment->domains == agent->domain;
        }
        on_report(service, i, 0);
    }
    double share = service->options->retry_share;
    for (size_t i = 0; i < deployment->entries; i++) {
        service->budgets[i] = SlTokenBucket_New(share > 0 ? share : 0, 20);
    }
}

void
SlService_Run(const struct sl_service_options *options,
              struct sl_service_result *result)
{
    struct sl_bench_service *service = g_new0(struct sl_bench_service, 1);
    memset(result, 0, sizeof(*result));
    service->options = options;
    service->deployment = options->deployment;
    service->result = result;
    service->load_random.state = options->seed;
    service->policy_random.state = ~options->seed;
    service->timers = SlTimers_New();
    service->requests = g_ptr_array_new_with_free_func(g_free);
    service->attempts = g_ptr_array_new_with_free_func(g_free);
    set_up(service);
    if (options->outage != Sl_OUTAGE_NONE) {
        plan_outage(service);
    }
    schedule(service, 1, on_arrival, 0);
    while (SlTimers_NextDueUs(service->timers) != Sl_NEVER_US) {
        service->now_us = SlTimers_NextDueUs(service->timers);
        SlTimers_Run(service->timers, service->now_us);
    }
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        SlQueue_Free(service->agents[i].queue);
        g_hash_table_destroy(service->agents[i].running_attempts);
    }
    g_ptr_array_free(service->requests, TRUE);
    g_ptr_array_free(service->attempts, TRUE);
    SlTimers_Free(service->timers);
    g_free(service);
}

void
SlService_FreeResult(struct sl_service_result *result)
{
    for (size_t i = 0; i < Sl_BENCH_PHASES; i++) {
        SlSample_Free(&result->phases[i].latency_ms);
        SlSample_Free(&result->phases[i].small_team_latency_ms);
        for (size_t j = 0; j < 3; j++) {
            SlSample_Free(&result->phases[i].kind_latency_ms[j]);
        }
    }
}
