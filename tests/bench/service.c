/* One service in virtual time. */
#include "service.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define Sl_NET_US 500      /* one way inside a failure domain */
#define Sl_NET_FAR_US 1500 /* one way between failure domains */
#define Sl_RESTART_US (10 * Sl_US_PER_S)
#define Sl_DETECT_US (3 * Sl_US_PER_S) /* until a lost peer is noticed */
#define Sl_OUT_US (60 * Sl_US_PER_S)
#define Sl_BACK_US (120 * Sl_US_PER_S)
#define Sl_WARM_ANSWERS 10 /* per slot, until an engine is warm */
#define Sl_URGENT_US (10 * Sl_US_PER_S)
#define Sl_MAX_TRIES 4
#define Sl_DEFER_US (200 * Sl_US_PER_MS)
#define Sl_UNBOUNDED_TRIES 20 /* without a budget, every 100 ms */
#define Sl_UNBOUNDED_DELAY_US (100 * Sl_US_PER_MS)
#define Sl_WAIT_FACTOR 4 /* waiting places per slot at an agent */

const struct sl_deployment SlDeployment_Kerhuel = {
    "Kerhuel plume",
    10,
    3,
    3,
    8,
    2,
    4e6,
    0.6,
    0.3,
    {{"verse", 0.6, 0, 20 * Sl_US_PER_S, true},
     {"proof-check", 0.25, 1, 60 * Sl_US_PER_S, true},
     {"may-wait", 0.15, 5, 180 * Sl_US_PER_S, true}}};

const struct sl_deployment SlDeployment_Koudebaai = {
    "Koudebaai ysberg-llm",
    20,
    3,
    3,
    16,
    4,
    3e6,
    0.8,
    0.3,
    {{"summary", 0.3, 0, 15 * Sl_US_PER_S, true},
     {"draft", 0.2, 1, 30 * Sl_US_PER_S, false},
     {"may-wait", 0.5, 5, 180 * Sl_US_PER_S, true}}};

struct sl_job {
    uint64_t number;
    size_t entry;
    size_t kind;
    size_t team;
    double cost;
    double estimate;
    int64_t arrived_us;
    int64_t deadline_us;
    uint32_t tries;
    uint32_t pending; /* attempts not answered */
    uint64_t last[2]; /* attempts sent last */
    bool settled;
};

enum sl_reply {
    Sl_REPLY_OK,
    Sl_REPLY_NOT_RUN,
    Sl_REPLY_LOST
};

struct sl_try {
    struct sl_job *job;
    size_t agent;
    int64_t started_us;
    int64_t ends_us;
    int64_t retry_after_us;
    uint64_t epoch;
    enum sl_reply reply;
    bool over;
};

struct sl_agent {
    size_t domain;
    bool out;  /* it knows that its domain is out */
    bool gone; /* lost, with its VM */
    struct sl_limit limit;
    struct sl_queue *queue;
    uint64_t in_flight;
    double service_us;
    uint64_t epoch; /* starts of the engine */
    int64_t up_at_us;
    uint64_t answers; /* since the engine's start */
    bool was_cold;
    GHashTable *running; /* struct sl_try */
};

struct sl_view {
    struct sl_candidate candidate;
    int64_t reported_at_us;
    bool out;
};

struct sl_bench_service {
    const struct sl_service_options *options;
    const struct sl_deployment *deployment;
    struct sl_service_result *result;
    struct sl_random random;  /* of the load: the same for every policy */
    struct sl_random choices; /* of the decisions */
    struct sl_timers *timers;
    int64_t now_us;
    struct sl_agent agents[Sl_BENCH_MAX_UPSTREAMS];
    struct sl_view views[Sl_BENCH_MAX_ENTRIES][Sl_BENCH_MAX_UPSTREAMS];
    struct sl_token_bucket budgets[Sl_BENCH_MAX_ENTRIES];
    GPtrArray *jobs;
    GPtrArray *tries;
};

static void route(struct sl_bench_service *service, struct sl_job *job);
static void on_retry(void *context, uint64_t id, int64_t now_us);

/* ---- helpers ---- */

static struct sl_phase *
phase_of(struct sl_bench_service *service, const struct sl_job *job)
{
    size_t index =
        (job->arrived_us >= Sl_OUT_US) + (job->arrived_us >= Sl_BACK_US);
    return &service->result->phases[index];
}

static void
after(struct sl_bench_service *service, int64_t delay_us,
      sl_timer_callback run, uint64_t id)
{
    SlTimers_Subscribe(service->timers, service->now_us + delay_us, run,
                       service, id);
}

static uint64_t
id_of(GPtrArray *list, gpointer member)
{
    g_ptr_array_add(list, member);
    return list->len - 1;
}

static int64_t
net_us(const struct sl_bench_service *service, size_t entry, size_t agent)
{
    size_t domain = entry % service->deployment->domains;
    return domain == service->agents[agent].domain ? Sl_NET_US : Sl_NET_FAR_US;
}

/* What the engine bears now; the agent is not told. */
static double
bears(const struct sl_bench_service *service, const struct sl_agent *agent)
{
    const struct sl_deployment *deployment = service->deployment;
    double need = (double)(Sl_WARM_ANSWERS * deployment->warm_limit);
    double warmth =
        agent->was_cold ? MIN((double)agent->answers / need, 1) : 1;
    return (double)deployment->cold_limit +
           warmth * (double)(deployment->warm_limit - deployment->cold_limit);
}

static uint64_t
limit_now(const struct sl_bench_service *service, const struct sl_agent *agent)
{
    return service->options->no_limit
               ? (uint64_t)service->deployment->warm_limit
               : SlLimit_Current(&agent->limit);
}

static void on_cancel(void *context, uint64_t id, int64_t now_us);

/* ---- entry: answers ---- */

static void
settle(struct sl_bench_service *service, struct sl_job *job,
       enum sl_reply reply)
{
    struct sl_phase *phase = phase_of(service, job);
    job->settled = true;
    if (reply != Sl_REPLY_OK) {
        phase->refused += reply == Sl_REPLY_NOT_RUN;
        phase->failed += reply == Sl_REPLY_LOST;
        return;
    }
    double took_ms = (double)(service->now_us - job->arrived_us) / 1000;
    bool in_time = service->now_us <= job->deadline_us;
    phase->in_time += in_time;
    phase->kind_in_time[job->kind] += in_time;
    SlSample_Add(&phase->latency_ms, took_ms);
    SlSample_Add(&phase->kind_latency_ms[job->kind], took_ms);
    if (job->team >= 2) {
        SlSample_Add(&phase->small_team_ms, took_ms);
    }
}

static bool
may_retry(struct sl_bench_service *service, const struct sl_job *job,
          enum sl_reply reply)
{
    bool bounded = service->options->retry_share >= 0;
    bool allowed = reply == Sl_REPLY_NOT_RUN ||
                   service->deployment->kinds[job->kind].idempotent;
    return allowed && service->now_us < job->deadline_us &&
           (bounded ? job->tries < Sl_MAX_TRIES &&
                          SlTokenBucket_Take(&service->budgets[job->entry])
                    : job->tries < Sl_UNBOUNDED_TRIES);
}

/* As the entry does: a request that may wait is held when it was not run. */
static bool
may_wait(const struct sl_bench_service *service, const struct sl_try *attempt)
{
    int64_t wait_us = MAX(attempt->retry_after_us, Sl_DEFER_US);
    return service->options->defer && attempt->job->kind == 2 &&
           attempt->reply == Sl_REPLY_NOT_RUN &&
           service->now_us + wait_us < attempt->job->deadline_us;
}

static void
on_reply(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_try *attempt = g_ptr_array_index(service->tries, id);
    struct sl_job *job = attempt->job;
    struct sl_candidate *candidate =
        &service->views[job->entry][attempt->agent].candidate;
    (void)now_us;
    candidate->local_in_flight--;
    candidate->local_cost_us -= (int64_t)job->estimate;
    job->pending--;
    if (job->settled) {
        return;
    }
    if (attempt->reply == Sl_REPLY_OK) {
        settle(service, job, Sl_REPLY_OK);
        for (size_t i = 0; i < 2 && job->tries > 1; i++) {
            after(service, Sl_NET_FAR_US, on_cancel, job->last[i]);
        }
    }
    else if (job->pending > 0) {
        return;
    }
    else if (may_retry(service, job, attempt->reply)) {
        bool bounded = service->options->retry_share >= 0;
        after(service, bounded ? 0 : Sl_UNBOUNDED_DELAY_US, on_retry,
              job->number);
    }
    else if (may_wait(service, attempt)) {
        after(service, MAX(attempt->retry_after_us, Sl_DEFER_US), on_retry,
              job->number);
    }
    else {
        settle(service, job, attempt->reply);
    }
}

static void
reply(struct sl_bench_service *service, uint64_t id, enum sl_reply what)
{
    struct sl_try *attempt = g_ptr_array_index(service->tries, id);
    int64_t delay_us = net_us(service, attempt->job->entry, attempt->agent);
    if (service->agents[attempt->agent].gone) {
        delay_us += Sl_DETECT_US;
    }
    attempt->over = true;
    attempt->reply = what;
    after(service, delay_us, on_reply, id);
}

/* ---- agent and engine ---- */

/* The engine breaks down or its VM is lost: what ran is lost, and it comes
 * back cold. */
static void
fall(struct sl_bench_service *service, struct sl_agent *agent)
{
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, agent->running);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        reply(service, GPOINTER_TO_SIZE(key), Sl_REPLY_LOST);
    }
    g_hash_table_remove_all(agent->running);
    agent->in_flight = 0;
    agent->epoch++;
    agent->answers = 0;
    agent->was_cold = true;
    agent->up_at_us = service->now_us + Sl_RESTART_US;
    SlLimit_OnCold(&agent->limit);
}

static void pump(struct sl_bench_service *service, struct sl_agent *agent);

static void
on_finish(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_try *attempt = g_ptr_array_index(service->tries, id);
    struct sl_agent *agent = &service->agents[attempt->agent];
    int64_t took_us = now_us - attempt->started_us;
    if (attempt->over || attempt->epoch != agent->epoch) {
        return;
    }
    g_hash_table_remove(agent->running, GSIZE_TO_POINTER(id));
    agent->in_flight--;
    agent->answers++;
    agent->service_us += ((double)took_us - agent->service_us) / 16;
    SlLimit_OnSuccess(&agent->limit, took_us, agent->in_flight);
    reply(service, id, Sl_REPLY_OK);
    pump(service, agent);
}

/* The answer came from another attempt; this one waits, runs or is over. */
static void
on_cancel(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_try *attempt = g_ptr_array_index(service->tries, id);
    struct sl_agent *agent = &service->agents[attempt->agent];
    if (attempt->over) {
        return;
    }
    if (g_hash_table_remove(agent->running, GSIZE_TO_POINTER(id))) {
        agent->in_flight--;
        service->result->busy_us -= (double)(attempt->ends_us - now_us);
    }
    else if (!SlQueue_Remove(agent->queue, id)) {
        return;
    }
    reply(service, id, Sl_REPLY_NOT_RUN);
    pump(service, agent);
}

static void
start(struct sl_bench_service *service, struct sl_agent *agent, uint64_t id)
{
    const struct sl_service_options *options = service->options;
    struct sl_try *attempt = g_ptr_array_index(service->tries, id);
    double bound = bears(service, agent);
    bool is_cold = bound < (double)service->deployment->warm_limit;
    agent->in_flight++;
    if (service->options->outage != Sl_OUTAGE_NONE && agent->domain == 0 &&
        service->now_us >= Sl_OUT_US && service->now_us < Sl_BACK_US) {
        service->result->last_start_us = service->now_us;
    }
    attempt->started_us = service->now_us;
    attempt->epoch = agent->epoch;
    g_hash_table_add(agent->running, GSIZE_TO_POINTER(id));
    bool over = (double)agent->in_flight > bound;
    service->result->cold_overloads += over && is_cold;
    if ((double)agent->in_flight > 1.5 * bound) {
        service->result->falls++;
        fall(service, agent);
        return;
    }
    double batch = 1 + 0.5 * (double)agent->in_flight /
                           (double)service->deployment->warm_limit;
    double cold = 2 - bound / (double)service->deployment->warm_limit;
    bool is_slow = options->slow > 0 && agent == &service->agents[1];
    double took_us = attempt->job->cost * batch * cold * (over ? 2 : 1) *
                     (is_slow ? options->slow : 1);
    service->result->busy_us += took_us;
    attempt->ends_us = service->now_us + (int64_t)took_us + 1;
    after(service, (int64_t)took_us + 1, on_finish, id);
}

static void
pump(struct sl_bench_service *service, struct sl_agent *agent)
{
    struct sl_queue_item item;
    while (SlQueue_PopExpired(agent->queue, service->now_us, &item)) {
        reply(service, item.id, Sl_REPLY_NOT_RUN);
    }
    while (service->now_us >= agent->up_at_us &&
           agent->in_flight < limit_now(service, agent) &&
           (service->options->fifo
                ? SlQueue_Pop(agent->queue, &item)
                : SlQueue_PopUrgentFirst(agent->queue, service->now_us,
                                         Sl_URGENT_US, &item))) {
        start(service, agent, item.id);
    }
}

static struct sl_queue_item
queued_of(const struct sl_bench_service *service, const struct sl_job *job,
          uint64_t id)
{
    struct sl_queue_item item = {.id = id, .deadline_us = job->deadline_us};
    if (service->options->fifo) {
        item.team = SlName_Of("all");
        item.deadline_us = service->now_us + 3600 * Sl_US_PER_S;
        return item;
    }
    char team[16];
    g_snprintf(team, sizeof(team), "team-%zu", job->team);
    item.team = SlName_Of(team);
    item.priority = service->deployment->kinds[job->kind].priority;
    return item;
}

static bool
push(struct sl_bench_service *service, struct sl_agent *agent,
     const struct sl_queue_item *item, const struct sl_admission_context *ask)
{
    struct sl_queue_item other;
    if (SlQueue_Push(agent->queue, item)) {
        return true;
    }
    if (!SlQueue_Displace(agent->queue, item, &other)) {
        return false;
    }
    struct sl_try *displaced = g_ptr_array_index(service->tries, other.id);
    displaced->retry_after_us =
        SlQueue_DecideAdmission(agent->queue, &other, ask).wait_us;
    reply(service, other.id, Sl_REPLY_NOT_RUN);
    return SlQueue_Push(agent->queue, item);
}

static void
on_agent(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_try *attempt = g_ptr_array_index(service->tries, id);
    struct sl_agent *agent = &service->agents[attempt->agent];
    struct sl_queue_item item = queued_of(service, attempt->job, id);
    struct sl_admission_context ask = {now_us, agent->in_flight,
                                       limit_now(service, agent),
                                       (int64_t)agent->service_us};
    if (agent->gone) {
        reply(service, id, Sl_REPLY_LOST);
        return;
    }
    struct sl_admission admission =
        SlQueue_DecideAdmission(agent->queue, &item, &ask);
    bool admit = service->options->fifo || admission.admit;
    attempt->retry_after_us = admission.retry_after_us;
    if (agent->out || !admit || !push(service, agent, &item, &ask)) {
        reply(service, id, Sl_REPLY_NOT_RUN);
        return;
    }
    pump(service, agent);
}

/* ---- entry: sending ---- */

static void
on_hedge(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_job *job = g_ptr_array_index(service->jobs, id);
    (void)now_us;
    if (!job->settled && job->pending > 0 &&
        SlTokenBucket_Take(&service->budgets[job->entry])) {
        route(service, job);
    }
}

static void
on_retry(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    (void)now_us;
    route(service, g_ptr_array_index(service->jobs, id));
}

static size_t
candidates_of(struct sl_bench_service *service, const struct sl_job *job,
              struct sl_candidate *candidates, size_t *agents)
{
    size_t count = 0;
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        struct sl_view *view = &service->views[job->entry][i];
        if (!view->out) {
            candidates[count] = view->candidate;
            candidates[count].report_age_us =
                service->now_us - view->reported_at_us;
            agents[count++] = i;
        }
    }
    return count;
}

static void
route(struct sl_bench_service *service, struct sl_job *job)
{
    struct sl_candidate candidates[Sl_BENCH_MAX_UPSTREAMS];
    size_t agents[Sl_BENCH_MAX_UPSTREAMS];
    size_t count = candidates_of(service, job, candidates, agents);
    size_t choice = service->options->chooser->choose(candidates, count,
                                                      &service->choices);
    assert(choice != Sl_NO_CHOICE);
    struct sl_try *attempt = g_new0(struct sl_try, 1);
    attempt->job = job;
    attempt->agent = agents[choice];
    struct sl_candidate *candidate =
        &service->views[job->entry][attempt->agent].candidate;
    candidate->local_in_flight++;
    candidate->local_since_report++;
    candidate->local_sent++;
    candidate->local_cost_us += (int64_t)job->estimate;
    job->tries++;
    job->pending++;
    phase_of(service, job)->attempts++;
    uint64_t id = id_of(service->tries, attempt);
    job->last[job->tries % 2] = id;
    after(service, net_us(service, job->entry, attempt->agent), on_agent, id);
}

static double
rate_per_us(const struct sl_bench_service *service)
{
    const struct sl_service_options *options = service->options;
    const struct sl_deployment *deployment = service->deployment;
    double capacity = (double)deployment->upstreams *
                      (double)deployment->warm_limit /
                      (deployment->service_us * 1.5);
    double at_s = (double)service->now_us / Sl_US_PER_S;
    double load =
        options->load + options->load_wave * sin(2 * G_PI * at_s / 120);
    load += at_s >= 60 && at_s < 90 ? options->burst : 0;
    return capacity * load;
}

static size_t
draw_team(struct sl_bench_service *service)
{
    double at_s = (double)service->now_us / Sl_US_PER_S;
    double burst = at_s >= 60 && at_s < 90 ? service->options->burst : 0;
    if (SlRandom_Unit(&service->random) <
        burst / (service->options->load + burst)) {
        return 0;
    }
    return SlRandom_Unit(&service->random) < 0.6
               ? SlRandom_Below(&service->random, 2)
               : 2 + SlRandom_Below(&service->random, Sl_BENCH_TEAMS - 2);
}

static size_t
draw_kind(struct sl_bench_service *service)
{
    double left = SlRandom_Unit(&service->random);
    size_t kind = 0;
    while (kind < 2 && left >= service->deployment->kinds[kind].share) {
        left -= service->deployment->kinds[kind].share;
        kind++;
    }
    return kind;
}

static void
on_arrival(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    const struct sl_deployment *deployment = service->deployment;
    struct sl_job *job = g_new0(struct sl_job, 1);
    job->entry = SlRandom_Below(&service->random, deployment->entries);
    job->kind = draw_kind(service);
    job->team = draw_team(service);
    job->cost = deployment->service_us *
                SlBench_LogNormal(&service->random, deployment->cost_sigma);
    job->estimate = job->cost * SlBench_LogNormal(&service->random,
                                                  deployment->estimate_sigma);
    job->arrived_us = now_us;
    job->deadline_us = now_us + deployment->kinds[job->kind].deadline_us;
    phase_of(service, job)->asked++;
    phase_of(service, job)->kind_asked[job->kind]++;
    job->number = id_of(service->jobs, job);
    SlTokenBucket_Refill(&service->budgets[job->entry]);
    route(service, job);
    if (service->options->hedge_us > 0 && job->kind == 0) {
        after(service, service->options->hedge_us, on_hedge, job->number);
    }
    double wait =
        SlBench_Exponential(&service->random, 1 / rate_per_us(service));
    if (now_us + (int64_t)wait < service->options->end_us) {
        after(service, (int64_t)wait, on_arrival, id);
    }
}

/* ---- reports and outages ---- */

static void
on_report(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_agent *agent = &service->agents[id];
    int64_t every_us = service->options->report_us;
    pump(service, agent);
    for (size_t i = 0; i < service->deployment->entries && !agent->gone; i++) {
        struct sl_view *view = &service->views[i][id];
        view->reported_at_us = now_us;
        view->candidate.reported =
            agent->in_flight + SlQueue_Length(agent->queue);
        view->candidate.local_since_report = 0;
        view->candidate.limit = limit_now(service, agent);
        view->candidate.warm =
            service->options->no_limit ? 1 : SlLimit_Warmth(&agent->limit);
        view->candidate.service_time_us = (int64_t)agent->service_us;
    }
    if (now_us < service->options->end_us + 300 * Sl_US_PER_S) {
        after(service, every_us > 0 ? every_us : Sl_US_PER_S, on_report, id);
    }
}

/* An agent learns that its domain is out: it hands back what waits. */
static void
on_agent_out(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_agent *agent = &service->agents[id];
    struct sl_queue_item item;
    (void)now_us;
    agent->out = true;
    agent->gone = service->options->outage == Sl_OUTAGE_LOST;
    while (SlQueue_Pop(agent->queue, &item)) {
        reply(service, item.id,
              agent->gone ? Sl_REPLY_LOST : Sl_REPLY_NOT_RUN);
    }
    if (agent->gone) {
        fall(service, agent);
    }
}

static void
on_agent_back(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    struct sl_agent *agent = &service->agents[id];
    (void)now_us;
    fall(service, agent);
    agent->up_at_us = service->now_us;
    agent->out = false;
    agent->gone = false;
}

static void
on_entry_mark(void *context, uint64_t id, int64_t now_us)
{
    struct sl_bench_service *service = context;
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        bool mine = service->agents[i].domain == 0;
        service->views[id][i].out = mine && now_us < Sl_BACK_US;
    }
}

/* Every process hears of a mark on its own, within two seconds. */
static void
plan_outage(struct sl_bench_service *service)
{
    bool lost = service->options->outage == Sl_OUTAGE_LOST;
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        if (service->agents[i].domain == 0) {
            int64_t lag_us = SlRandom_Below(&service->random, 2000000);
            after(service, Sl_OUT_US + (lost ? 0 : lag_us), on_agent_out, i);
            after(service, Sl_BACK_US + lag_us / 2, on_agent_back, i);
        }
    }
    for (size_t i = 0; i < service->deployment->entries; i++) {
        int64_t lag_us = SlRandom_Below(&service->random, 2000000);
        after(service, Sl_OUT_US + (lost ? Sl_DETECT_US : 0) + lag_us,
              on_entry_mark, i);
        after(service, Sl_BACK_US + Sl_US_PER_S + lag_us, on_entry_mark, i);
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
        (size_t)(Sl_WAIT_FACTOR * deployment->warm_limit)};
    for (size_t i = 0; i < deployment->upstreams; i++) {
        struct sl_agent *agent = &service->agents[i];
        agent->domain = i % deployment->domains;
        agent->limit = SlLimit_New(&bounds);
        agent->limit.cold = false; /* warm from earlier traffic */
        agent->limit.current = (double)deployment->warm_limit;
        agent->queue = SlQueue_New(&queue);
        agent->service_us = deployment->service_us * 1.3;
        agent->running = g_hash_table_new(g_direct_hash, g_direct_equal);
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
    service->random.state = options->seed;
    service->choices.state = ~options->seed;
    service->timers = SlTimers_New();
    service->jobs = g_ptr_array_new_with_free_func(g_free);
    service->tries = g_ptr_array_new_with_free_func(g_free);
    set_up(service);
    if (options->outage != Sl_OUTAGE_NONE) {
        plan_outage(service);
    }
    after(service, 1, on_arrival, 0);
    while (SlTimers_NextDueUs(service->timers) != Sl_NEVER_US) {
        service->now_us = SlTimers_NextDueUs(service->timers);
        SlTimers_Run(service->timers, service->now_us);
    }
    for (size_t i = 0; i < service->deployment->upstreams; i++) {
        SlQueue_Free(service->agents[i].queue);
        g_hash_table_destroy(service->agents[i].running);
    }
    g_ptr_array_free(service->jobs, TRUE);
    g_ptr_array_free(service->tries, TRUE);
    SlTimers_Free(service->timers);
    g_free(service);
}

void
SlService_FreeResult(struct sl_service_result *result)
{
    for (size_t i = 0; i < Sl_BENCH_PHASES; i++) {
        SlSample_Free(&result->phases[i].latency_ms);
        SlSample_Free(&result->phases[i].small_team_ms);
        for (size_t j = 0; j < 3; j++) {
            SlSample_Free(&result->phases[i].kind_latency_ms[j]);
        }
    }
}
