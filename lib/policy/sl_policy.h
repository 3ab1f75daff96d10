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
 * that runs them on the upstream on the same VM. An upstream is cold while it
 * is slower than usual because it has just started, and warm afterwards. An
 * answer is the result of a version of a model; ratings score answers from 0
 * to 1.
 *
 * Sections, from simple to advanced:
 *   1. Load balancing   which upstream runs a request
 *   2. Limit            concurrency limit of an upstream, cold or warm
 *   3. Queue            order of the requests that wait at an agent
 *   4. Evidence         fleet-wide counts per version, suspect versions
 *   5. Cascade          which version to run first, when to stop
 */
#ifndef Sl_POLICY_H
#define Sl_POLICY_H

#include "sl_config.h"

/* ---- 1. Load balancing ------------------------------------------------ */

/* What an entry knows about an upstream that could run the request. */
struct sl_candidate {
    struct sl_name upstream;
    bool same_domain;         /* in the entry's failure domain */
    bool loaded;              /* has loaded the version that is to run */
    uint64_t local_in_flight; /* requests of this entry, not finished */
    /* Requests in flight and queued, of all entries, by the last report of the
     * upstream's agent. */
    uint64_t reported;
    int64_t report_age_us;
    uint64_t limit;          /* current limit on concurrent requests */
    double warm;             /* 0 cold to 1 warm */
    int64_t service_time_us; /* smoothed time of one request; 0: unknown */
    /* Only some algorithms use the following members. They are 0 if the caller
     * does not track them. */
    uint64_t local_since_report; /* sent by this entry since the report */
    uint64_t local_sent;         /* sent by this entry in total */
    int64_t local_cost_us;       /* estimated time of local_in_flight */
};

/* Returned instead of an index if there is nothing to choose. */
#define Sl_NO_CHOICE SIZE_MAX

/* A load balancing algorithm. `choose` returns the index of the candidate that
 * is to run the request, or Sl_NO_CHOICE if `count` is 0. */
struct sl_balancer {
    const char *name;
    size_t (*choose)(const struct sl_candidate *candidates, size_t count,
                     struct sl_random *random);
};

/* The default: samples a few candidates and chooses the one with the earliest
 * expected finish. */
extern const struct sl_balancer SlBalancer_ExpectedFinish;
/* All algorithms, the default first; terminated by NULL. */
extern const struct sl_balancer *const SlBalancer_All[];

/* ---- 2. Limit --------------------------------------------------------- */

/* Upper bounds on the limit in the two states, in concurrent requests. */
struct sl_limit_options {
    int64_t cold_limit;
    int64_t warm_limit;
};

/* Adaptive limit on the concurrent requests of an upstream: grows with
 * successes while it is fully used, and shrinks with failures. */
struct sl_limit {
    struct sl_limit_options options;
    double current;
    double baseline_us; /* smoothed time of a request when warm */
    double recent_us;   /* smoothed time of the last few requests */
    bool cold;          /* the bound is options.cold_limit */
    bool reported_cold; /* by the newest report; keeps `cold` set */
    uint64_t baseline_samples;
    uint64_t consecutive_successes;
    uint64_t consecutive_failures;
};

/* Returns a limit in the cold state, at the cold limit. It needs no free
 * function. */
struct sl_limit SlLimit_New(const struct sl_limit_options *options);
/* Sets new bounds; a current limit above the bound is lowered to it. */
void SlLimit_Configure(struct sl_limit *limit,
                       const struct sl_limit_options *options);
/* Enters the cold state: the upstream restarted, or behaves as if it had. The
 * state ends after enough successes, but not before the upstream stops
 * reporting that it is cold. */
void SlLimit_EnterCold(struct sl_limit *limit);
/* To be called when the upstream has reported whether it is cold. */
void SlLimit_OnReport(struct sl_limit *limit, bool is_cold);
/* To be called when a request has succeeded after `took_us`, while `in_flight`
 * others were running. Enters the cold state if recent times are far above the
 * warm baseline. */
void SlLimit_OnSuccess(struct sl_limit *limit, int64_t took_us,
                       uint64_t in_flight);
/* To be called when the upstream has refused a request or broken off its
 * response. Several failures in a row enter the cold state. */
void SlLimit_OnFailure(struct sl_limit *limit);
/* Number of requests that the upstream may run at once; at least 1. */
uint64_t SlLimit_Current(const struct sl_limit *limit);
/* Position of the current limit between the cold and the warm limit: 0 while
 * cold, 1 at the warm limit. Agents report it to the entries. */
double SlLimit_Warmth(const struct sl_limit *limit);

/* ---- 3. Queue --------------------------------------------------------- */

/* A request that waits at an agent. */
struct sl_queue_item {
    uint64_t id; /* chosen by the caller, unique in the queue */
    struct sl_name team;
    int64_t priority; /* 0, the most urgent, to Sl_PRIORITY_MAX */
    int64_t deadline_us;
};

struct sl_queue;

struct sl_queue_options {
    size_t max_waiting; /* items that the queue holds at most */
};

struct sl_queue *SlQueue_New(const struct sl_queue_options *options);
void SlQueue_Free(struct sl_queue *queue);
/* Copies `item` into the queue. Returns false, and leaves the queue as it was,
 * if it is full or holds an item with this id. */
bool SlQueue_Push(struct sl_queue *queue, const struct sl_queue_item *item);
/* The following three functions remove an item and copy it to `out`. They
 * return false, and leave `out` unchanged, if there is no such item.
 *
 * Removes the next item to run: the most urgent priority first, in it the
 * teams in turn, and of a team the item with the earliest deadline. */
bool SlQueue_Pop(struct sl_queue *queue, struct sl_queue_item *out);
/* Like SlQueue_Pop(), but takes the item with the earliest deadline, whatever
 * its priority, if that deadline is in the future and at most `window_us`
 * away. Does so at most every other time, so that such items don't starve the
 * others. */
bool SlQueue_PopUrgentFirst(struct sl_queue *queue, int64_t now_us,
                            int64_t window_us, struct sl_queue_item *out);
/* Removes the item with the earliest deadline, if that has passed. */
bool SlQueue_PopExpired(struct sl_queue *queue, int64_t now_us,
                        struct sl_queue_item *out);
/* Makes room for `item` in a full queue: removes the item that would run last
 * among those of the least urgent waiting priority, and copies it to `out`.
 * Returns false, and removes nothing, if that priority is not less urgent than
 * the priority of `item`. */
bool SlQueue_Displace(struct sl_queue *queue, const struct sl_queue_item *item,
                      struct sl_queue_item *out);
/* Removes an item. Returns false if no item has this id. */
bool SlQueue_Remove(struct sl_queue *queue, uint64_t id);
/* Number of waiting items. */
size_t SlQueue_Length(const struct sl_queue *queue);
/* Number of waiting items of this priority and of more urgent ones. */
size_t SlQueue_CountAhead(const struct sl_queue *queue, int64_t priority);

/* State of the upstream when a request arrives. */
struct sl_admission_context {
    int64_t now_us;
    uint64_t in_flight;      /* requests that run now */
    uint64_t limit;          /* on concurrent requests */
    int64_t service_time_us; /* smoothed time of one request */
};

struct sl_admission {
    bool admit;
    int64_t wait_us; /* expected time in the queue; 0: can run at once */
    /* If not admitted: time after which a retry may be admitted, otherwise
     * 0. */
    int64_t retry_after_us;
};

/* Decides whether to accept `item`, without changing the queue. Admits it if
 * the queue has room, or holds a less urgent item that can be displaced, and
 * if it is expected to finish by its deadline. An item that can run at once is
 * admitted with any deadline, because the estimated service time may be
 * wrong. */
struct sl_admission
SlQueue_DecideAdmission(const struct sl_queue *queue,
                        const struct sl_queue_item *item,
                        const struct sl_admission_context *context);

/* ---- 4. Evidence ------------------------------------------------------ */

/* Cumulative results of one version. */
struct sl_result_counts {
    uint64_t done;    /* requests that ran to completion */
    uint64_t failed;  /* requests that failed */
    uint64_t rated;   /* answers that were rated */
    double score_sum; /* sum of the scores of the rated answers */
};

/* The counts that all agents reported, and statistical tests on them. A
 * version that fails a test is suspect. */
struct sl_evidence;

struct sl_evidence *SlEvidence_New(void);
void SlEvidence_Free(struct sl_evidence *evidence);
/* Adds what changed in an agent's cumulative counts of a version since its
 * last report. `boot` is a number that identifies the agent's process: the
 * counts of a new process begin at zero again, and those of the previous one
 * stay in the totals. Counts lower than reported before by the same process
 * arrived out of order and are ignored. */
void SlEvidence_Report(struct sl_evidence *evidence,
                       const struct sl_name *agent, uint64_t boot,
                       const struct sl_name *version,
                       const struct sl_result_counts *counts);
/* Counts of a version, summed over all agents. */
struct sl_result_counts SlEvidence_Total(const struct sl_evidence *evidence,
                                         const struct sl_name *version);
/* Applies the counts reported since the last call to the tests of the version.
 * Returns true if a test says that the version's ratings are worse than
 * `expected_quality`, or that it fails more often than the other versions;
 * sl_evidence.c states the false-alarm rate. A version that turns bad after a
 * long good time is detected as fast as one that was bad from the start. A
 * changed `expected_quality` restarts the test on ratings. */
bool SlEvidence_UpdateSuspect(struct sl_evidence *evidence,
                              const struct sl_name *version,
                              double expected_quality);

/* Why a version is suspect, or how far it is from being suspect. A log ratio
 * is the logarithm of a likelihood ratio, summed up by a CUSUM (cumulative
 * sum) test; it rises with bad results. */
struct sl_version_health {
    bool suspect;
    bool by_rating;  /* the test on ratings says so */
    bool by_failure; /* the test on failures says so */
    struct sl_result_counts total;
    double quality_floor;       /* lowest mean score of a good version */
    double rating_log_ratio;    /* of the test on ratings */
    double failure_log_ratio;   /* of the test on failures */
    double threshold;           /* log ratio that makes a version suspect */
    double failed_share;        /* of this version's recent requests */
    double others_failed_share; /* of the other versions' recent requests */
    uint64_t alarms; /* number of times that the version became suspect */
};

/* Like SlEvidence_UpdateSuspect(), with the values that led to the result. */
struct sl_version_health SlEvidence_Explain(struct sl_evidence *evidence,
                                            const struct sl_name *version,
                                            double expected_quality);
/* Number of agents whose last reports are stored. It is bounded: the agent
 * that has not reported for longest is forgotten first, and its counts stay in
 * the totals. */
size_t SlEvidence_AgentCount(const struct sl_evidence *evidence);

/* ---- 5. Cascade ------------------------------------------------------- */

/* A cascade runs a request on one version after the other, from the cheapest
 * to the dearest, until an answer is accepted, that is, until its score is as
 * high as the selector asks. It may start at any step. A step is a version
 * that the request's selector allows and that is in service. */
struct sl_cascade_step {
    struct sl_name version;
    bool suspect;        /* see SlEvidence_UpdateSuspect() */
    int64_t cost_micros; /* of a request, in millionths of the currency */
    double quality; /* expected share of accepted answers, from the label */
    int64_t expected_us; /* current estimate of the step's duration */
};

/* The shares of accepted answers per team, kind of request and version. */
struct sl_cascade;

struct sl_cascade *SlCascade_New(void);
void SlCascade_Free(struct sl_cascade *cascade);
/* Counts an answer of `version` to a request of `kind` from `team`, which was
 * accepted or not. */
void SlCascade_Learn(struct sl_cascade *cascade, const struct sl_name *team,
                     const struct sl_name *kind, const struct sl_name *version,
                     bool accepted);

struct sl_cascade_request {
    struct sl_name team;
    struct sl_name kind;
    double quality;       /* target share of good answers */
    int64_t time_left_us; /* until the deadline */
    size_t count;         /* number of steps, 1 to Sl_MAX_CASCADE_STEPS */
    const struct sl_cascade_step *steps; /* cheapest first */
    /* Answers cannot be rated now, so the first one is returned as it is. */
    bool ratings_unavailable;
};

/* An algorithm for cascades; `start` returns the index of the step to run
 * first. */
struct sl_cascade_policy {
    const char *name;
    size_t (*start)(const struct sl_cascade *cascade,
                    const struct sl_cascade_request *request,
                    struct sl_random *random);
};

/* The default: the lowest expected cost that meets the target share of good
 * answers by the deadline. */
extern const struct sl_cascade_policy SlCascade_ExpectedCost;
/* All algorithms, the default first; terminated by NULL. */
extern const struct sl_cascade_policy *const SlCascade_All[];

/* Expected share, 0 to 1, of accepted answers of the step with index
 * `step`. */
double SlCascade_PassRate(const struct sl_cascade *cascade,
                          const struct sl_cascade_request *request,
                          size_t step);
/* Returns the index of the first step of the best chain of steps, if a share
 * of `pass[i]` of the answers of step i is accepted. The best chain is the one
 * with the lowest expected cost among those that meet the target share by the
 * deadline; if none does, the one with the highest share of accepted answers.
 * If no step is likely to finish by the deadline, returns the fastest step.
 * Ignores whether steps are suspect. */
size_t SlCascade_FirstStep(const struct sl_cascade_request *request,
                           const double *pass);
/* Number of stored shares of accepted answers. It is bounded: the least
 * recently updated one is dropped first. */
size_t SlCascade_RateCount(const struct sl_cascade *cascade);

/* Returns true if an answer with this score is accepted at this target
 * quality; both are 0 to 1. */
bool SlCascade_Accepts(double score, double quality);

#endif
