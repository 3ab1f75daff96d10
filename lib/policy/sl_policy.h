/*
 * sl_policy: load balancing, admission, version health and model cascades, as
 * pure functions and small state machines.
 *
 * This package does no I/O and reads no clock: callers pass in numbers, names
 * and the current time. Algorithms that have alternatives are tables of
 * function pointers, so that the benchmarks can run baseline algorithms in
 * place of the default one.
 *
 * An entry is a process that accepts clients' requests; an agent is a process
 * that runs them on the upstream next to it.
 *
 * Sections, from simple to advanced:
 *   1. Load balancing   which upstream runs a request
 *   2. Limit            concurrency limit of an upstream, cold or warm
 *   3. Queue            order of the requests that wait at an agent
 *   4. Evidence         fleet-wide counts per version, suspect versions
 *   5. Cascade          which version to start at, when to stop
 */
#ifndef Sl_POLICY_H
#define Sl_POLICY_H

#include "sl_config.h"

/* ---- 1. Load balancing ------------------------------------------------ */

/* What an entry knows about an upstream that could run the request. */
struct sl_candidate {
    struct sl_name upstream;
    bool same_domain;         /* in the entry's failure domain */
    bool loaded;              /* has the version loaded */
    uint64_t local_in_flight; /* sent by this entry, not finished */
    uint64_t reported;        /* in flight and queued, by the last report */
    int64_t report_age_us;
    uint64_t limit;          /* current concurrency limit */
    double warm;             /* 0 cold to 1 warm */
    int64_t service_time_us; /* smoothed time of one request */
    /* Optional; 0 if the caller does not track them. */
    uint64_t local_since_report; /* sent by this entry since the report */
    uint64_t local_sent;         /* sent by this entry in total */
    int64_t local_cost_us;       /* estimated cost of local_in_flight */
};

#define Sl_NO_CHOICE SIZE_MAX

/* A load balancing algorithm. `choose` returns the index of a candidate, or
 * Sl_NO_CHOICE if there are none. */
struct sl_balancer {
    const char *name;
    size_t (*choose)(const struct sl_candidate *candidates, size_t count,
                     struct sl_random *random);
};

/* The default: the earliest expected finish among a few sampled candidates. */
extern const struct sl_balancer SlBalancer_ExpectedFinish;
/* All algorithms, the default first; terminated by NULL. */
extern const struct sl_balancer *const SlBalancer_All[];

/* ---- 2. Limit --------------------------------------------------------- */

/* Highest number of concurrent requests in either state. */
struct sl_limit_options {
    int64_t cold_limit;
    int64_t warm_limit;
};

/* Adaptive concurrency limit of an upstream: grows with successes while it is
 * fully used, and shrinks with failures. */
struct sl_limit {
    struct sl_limit_options options;
    double current;
    double baseline_us; /* smoothed time of a request when warm */
    double recent_us;   /* smoothed time of the last few requests */
    bool cold;          /* the cold limit applies */
    bool reported_cold; /* by the newest report; keeps `cold` set */
    uint64_t baseline_samples;
    uint64_t consecutive_successes;
    uint64_t consecutive_failures;
};

/* Starts cold, at the cold limit. */
struct sl_limit SlLimit_New(const struct sl_limit_options *options);
/* Sets new bounds from the configuration; the current limit is clamped. */
void SlLimit_Configure(struct sl_limit *limit,
                       const struct sl_limit_options *options);
/* Enters the cold state: the upstream restarted, or behaves as if it had. The
 * state ends after enough successes, but not before the upstream stops
 * reporting that it is cold. */
void SlLimit_OnCold(struct sl_limit *limit);
/* The upstream reported whether it is cold. */
void SlLimit_OnReport(struct sl_limit *limit, bool is_cold);
/* A request succeeded after `took_us`, while `in_flight` others were running.
 * If recent times are far above the warm baseline, enters the cold state. */
void SlLimit_OnSuccess(struct sl_limit *limit, int64_t took_us,
                       uint64_t in_flight);
/* The upstream refused a request or broke off its response. */
void SlLimit_OnFailure(struct sl_limit *limit);
/* Number of requests that the upstream may run at once; at least 1. */
uint64_t SlLimit_Current(const struct sl_limit *limit);
/* Position of the limit between the cold and the warm one: 0 while cold, 1 at
 * the warm limit. Agents report it. */
double SlLimit_Warmth(const struct sl_limit *limit);

/* ---- 3. Queue --------------------------------------------------------- */

struct sl_queue_item {
    uint64_t id; /* chosen by the caller, unique in the queue */
    struct sl_name team;
    int64_t priority; /* lower runs first, 0 to Sl_PRIORITY_MAX */
    int64_t deadline_us;
};

struct sl_queue;

struct sl_queue_options {
    size_t max_waiting;
};

struct sl_queue *SlQueue_New(const struct sl_queue_options *options);
void SlQueue_Free(struct sl_queue *queue);
/* Copies `item` into the queue. Returns false, and leaves the queue as it was,
 * if it is full or holds an item with this id. */
bool SlQueue_Push(struct sl_queue *queue, const struct sl_queue_item *item);
/* Removes the next item to run: by priority, then round-robin between teams,
 * then by deadline. Returns false if the queue is empty. */
bool SlQueue_Pop(struct sl_queue *queue, struct sl_queue_item *out);
/* Like SlQueue_Pop(), but takes the item with the earliest deadline, whatever
 * its priority, if that deadline is at most `window_us` away. Does so at most
 * every other time, so that urgent items don't starve the others. */
bool SlQueue_PopUrgentFirst(struct sl_queue *queue, int64_t now_us,
                            int64_t window_us, struct sl_queue_item *out);
/* Removes an item whose deadline has passed. Returns false if there is
 * none. */
bool SlQueue_PopExpired(struct sl_queue *queue, int64_t now_us,
                        struct sl_queue_item *out);
/* Makes room for `item` in a full queue: removes the item that would run last
 * among those of the lowest waiting priority. Returns false if that priority
 * is not lower than the priority of `item`. */
bool SlQueue_Displace(struct sl_queue *queue, const struct sl_queue_item *item,
                      struct sl_queue_item *out);
/* Returns false if no item has this id. */
bool SlQueue_Remove(struct sl_queue *queue, uint64_t id);
size_t SlQueue_Length(const struct sl_queue *queue);
/* Number of waiting items of this priority and of more urgent ones. */
size_t SlQueue_CountAhead(const struct sl_queue *queue, int64_t priority);

/* State of the upstream when a request arrives. */
struct sl_admission_context {
    int64_t now_us;
    uint64_t in_flight;
    uint64_t limit;
    int64_t service_time_us;
};

struct sl_admission {
    bool admit;
    int64_t wait_us;        /* expected time in the queue */
    int64_t retry_after_us; /* if not admitted */
};

/* Admits `item` if the queue has room for it, or holds an item of lower
 * priority that can be displaced, and if it is expected to finish by its
 * deadline. An idle upstream admits any deadline, because the estimated
 * service time may be wrong. */
struct sl_admission
SlQueue_DecideAdmission(const struct sl_queue *queue,
                        const struct sl_queue_item *item,
                        const struct sl_admission_context *context);

/* ---- 4. Evidence ------------------------------------------------------ */

/* Cumulative results of one version. */
struct sl_result_counts {
    uint64_t done;
    uint64_t failed;
    uint64_t rated;
    double score_sum;
};

struct sl_evidence;

struct sl_evidence *SlEvidence_New(void);
void SlEvidence_Free(struct sl_evidence *evidence);
/* Takes in an agent's cumulative counts of a version. `boot` identifies the
 * start of the agent: with a new one its counts begin at zero again, and the
 * counts of the previous start stay in the totals. Counts lower than known
 * ones of the same start arrived out of order and are ignored. */
void SlEvidence_Report(struct sl_evidence *evidence,
                       const struct sl_name *agent, uint64_t boot,
                       const struct sl_name *version,
                       const struct sl_result_counts *counts);
/* Sum over all agents. */
struct sl_result_counts SlEvidence_Total(const struct sl_evidence *evidence,
                                         const struct sl_name *version);
/* Returns true while a sequential test says that the version's ratings are
 * worse than `expected_quality`, or that it fails more often than the other
 * versions; sl_evidence.c states the false-alarm rate. A version that turns
 * bad after a long good time is found as fast as one that was bad from the
 * start. A changed `expected_quality` restarts the test on ratings. */
bool SlEvidence_IsSuspect(struct sl_evidence *evidence,
                          const struct sl_name *version,
                          double expected_quality);

/* Why a version is suspect, or how far from that it is. */
struct sl_version_health {
    bool suspect;
    bool by_rating;
    bool by_failure;
    struct sl_result_counts total;
    double quality_floor;     /* lowest mean score of a good version */
    double rating_log_ratio;  /* CUSUM statistic of the test on ratings */
    double failure_log_ratio; /* CUSUM statistic of the test on failures */
    double threshold;         /* log ratio that raises an alarm */
    double failed_share;      /* recent */
    double others_failed_share;
    uint64_t alarms; /* raised so far */
};

struct sl_version_health SlEvidence_Explain(struct sl_evidence *evidence,
                                            const struct sl_name *version,
                                            double expected_quality);
/* Number of agents remembered. It is bounded: the agent that has not reported
 * for longest is forgotten first, and its counts stay in the totals. */
size_t SlEvidence_AgentCount(const struct sl_evidence *evidence);

/* ---- 5. Cascade ------------------------------------------------------- */

/* A version that the request's selector allows and that is in service. */
struct sl_cascade_step {
    struct sl_name version;
    bool suspect;
    int64_t cost_micros;
    double quality;      /* prior from the version's label */
    int64_t expected_us; /* current estimate of the step's duration */
};

struct sl_cascade;

struct sl_cascade *SlCascade_New(void);
void SlCascade_Free(struct sl_cascade *cascade);
/* Records whether an answer of `version` to a request of `kind` from `team`
 * was accepted. */
void SlCascade_Learn(struct sl_cascade *cascade, const struct sl_name *team,
                     const struct sl_name *kind, const struct sl_name *version,
                     bool accepted);

struct sl_cascade_request {
    struct sl_name team;
    struct sl_name kind;
    double quality;       /* target share of good answers */
    int64_t time_left_us; /* until the deadline */
    size_t count;
    /* Cheapest first, at most Sl_MAX_CASCADE_STEPS. */
    const struct sl_cascade_step *steps;
    /* Answers cannot be rated now, so the first one is returned as it is. */
    bool ratings_unavailable;
};

/* An algorithm for cascades; `start` returns the index of the first step. */
struct sl_cascade_policy {
    const char *name;
    size_t (*start)(const struct sl_cascade *cascade,
                    const struct sl_cascade_request *request,
                    struct sl_random *random);
};

/* The default: the lowest expected cost that meets target and deadline. */
extern const struct sl_cascade_policy SlCascade_ExpectedCost;
/* All algorithms, the default first; terminated by NULL. */
extern const struct sl_cascade_policy *const SlCascade_All[];

/* Expected share of a step's answers that are accepted. */
double SlCascade_PassRate(const struct sl_cascade *cascade,
                          const struct sl_cascade_request *request,
                          size_t step);
/* Returns the first step of the chain that meets the target and the deadline
 * at the lowest expected cost, if answers of step i are accepted at rate
 * `pass[i]`. If no chain does, returns the first step of the chain with the
 * highest rate of acceptance. Ignores whether steps are suspect. */
size_t SlCascade_Plan(const struct sl_cascade_request *request,
                      const double *pass);
/* Number of rates remembered. It is bounded: the least recently updated rate
 * is forgotten first. */
size_t SlCascade_RateCount(const struct sl_cascade *cascade);

/* Returns true if an answer with this score is good enough to return. */
bool SlCascade_Accepts(double score, double quality);

#endif
