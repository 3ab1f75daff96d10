/*
 * sl_policy: the decisions, as pure functions and small state.
 *
 * Nothing here knows a request's life, a peer or a socket: callers hand in
 * numbers and names and get a choice. Where behaviour varies there is a table
 * of function pointers, so that a baseline runs in the same place as ours.
 *
 * Sections, from simple to advanced:
 *   1. Chooser   which upstream
 *   2. Limit     how many requests an upstream bears, cold or warm
 *   3. Queue     what runs next at an agent
 *   4. Evidence  fleet-wide counts per version, and which are suspect
 *   5. Cascade   which version to start at, and whether to go on
 */
#ifndef Sl_POLICY_H
#define Sl_POLICY_H

#include "sl_config.h"

/* ---- 1. Chooser ------------------------------------------------------- */

/* What an entry knows of one upstream that could take the request. */
struct sl_candidate {
    struct sl_name upstream;
    bool same_domain;         /* in the entry's own failure domain */
    bool loaded;              /* has the version loaded */
    uint64_t local_in_flight; /* sent by this entry, not finished */
    uint64_t reported;        /* in flight and queued as last reported */
    int64_t report_age_us;
    uint64_t limit;          /* what the upstream bears now */
    double warm;             /* 0 cold to 1 warm */
    int64_t service_time_us; /* smoothed time of one request */
    /* Optional; 0 when the caller does not keep them. */
    uint64_t local_since_report; /* sent by this entry since the report */
    uint64_t local_sent;         /* sent by this entry in all */
    int64_t local_cost_us;       /* estimated costs of its own in flight */
};

#define Sl_NO_CHOICE SIZE_MAX

/* A rule for choosing; `choose` returns an index or Sl_NO_CHOICE. */
struct sl_balancer {
    const char *name;
    size_t (*choose)(const struct sl_candidate *candidates, size_t count,
                     struct sl_random *random);
};

/* Expected finish time; the rule in use. */
extern const struct sl_balancer SlBalancer_ExpectedFinish;
/* Every rule, the one in use first; ends with NULL. */
extern const struct sl_balancer *const SlBalancer_All[];

/* ---- 2. Limit --------------------------------------------------------- */

struct sl_limit_options {
    int64_t cold_limit;
    int64_t warm_limit;
};

/* The number of requests at a time that an upstream bears. */
struct sl_limit {
    struct sl_limit_options options;
    double current;
    double baseline_us; /* smoothed time of a request when warm */
    double recent_us;   /* the same, over the last few requests */
    bool cold;          /* while set, never above the cold limit */
    bool reported_cold; /* by the newest report; `cold` lasts as long */
    uint64_t baseline_samples;
    uint64_t consecutive_successes;
    uint64_t consecutive_failures;
};

struct sl_limit SlLimit_New(const struct sl_limit_options *options);
/* New bounds from the configuration; the current limit is kept inside. */
void SlLimit_Configure(struct sl_limit *limit,
                       const struct sl_limit_options *options);
/* The upstream restarted, or behaves as if it had. The cold state ends after
 * enough good completions, but not while its reports say that it is cold. */
void SlLimit_OnCold(struct sl_limit *limit);
/* The upstream reports whether it is cold. */
void SlLimit_OnReport(struct sl_limit *limit, bool is_cold);
/* A request finished well in `took_us` with `in_flight` others running. A
 * time far above the warm baseline makes the state cold again. */
void SlLimit_OnSuccess(struct sl_limit *limit, int64_t took_us,
                       uint64_t in_flight);
/* The upstream refused a request or broke off. */
void SlLimit_OnFailure(struct sl_limit *limit);
uint64_t SlLimit_Current(const struct sl_limit *limit);
/* 0 while cold, up to 1 at the warm limit: what an agent reports. */
double SlLimit_Warmth(const struct sl_limit *limit);

/* ---- 3. Queue --------------------------------------------------------- */

struct sl_queue_item {
    uint64_t id; /* caller's own */
    struct sl_name team;
    int64_t priority; /* lower first, 0 to Sl_PRIORITY_MAX */
    int64_t deadline_us;
};

struct sl_queue;

struct sl_queue_options {
    size_t max_waiting;
};

struct sl_queue *SlQueue_New(const struct sl_queue_options *options);
void SlQueue_Free(struct sl_queue *queue);
/* False when it is full or holds this id; the item is not taken then. */
bool SlQueue_Push(struct sl_queue *queue, const struct sl_queue_item *item);
/* The next to run: by priority, then fair between teams, then deadline.
 * False when empty. */
bool SlQueue_Pop(struct sl_queue *queue, struct sl_queue_item *out);
/* As SlQueue_Pop(), but an item of any priority whose deadline is less than
 * `window_us` away goes first, every other time at most. */
bool SlQueue_PopUrgentFirst(struct sl_queue *queue, int64_t now_us,
                            int64_t window_us, struct sl_queue_item *out);
/* Removes an item whose deadline has passed; false when there is none. */
bool SlQueue_PopExpired(struct sl_queue *queue, int64_t now_us,
                        struct sl_queue_item *out);
/* Makes room for `item` in a full queue: removes the last to run of the
 * lowest priority below the item's own; false when there is none. */
bool SlQueue_Displace(struct sl_queue *queue, const struct sl_queue_item *item,
                      struct sl_queue_item *out);
/* Removes an item; false when it is not there. */
bool SlQueue_Remove(struct sl_queue *queue, uint64_t id);
size_t SlQueue_Length(const struct sl_queue *queue);
/* How many items would run before one of this priority. */
size_t SlQueue_CountAhead(const struct sl_queue *queue, int64_t priority);

/* The upstream as it is when a request asks for admission. */
struct sl_admission_context {
    int64_t now_us;
    uint64_t in_flight;
    uint64_t limit;
    int64_t service_time_us;
};

struct sl_admission {
    bool admit;
    int64_t wait_us;        /* expected, before it runs */
    int64_t retry_after_us; /* when it is not admitted */
};

/* Whether there is a place for `item`, or one of lower priority that could
 * give way, and whether it can be expected to finish by its deadline. An
 * upstream that is idle admits it in any case: its estimate may be wrong. */
struct sl_admission SlQueue_Admit(const struct sl_queue *queue,
                                  const struct sl_queue_item *item,
                                  const struct sl_admission_context *ask);

/* ---- 4. Evidence ------------------------------------------------------ */

/* Cumulative counts of one version, added up over agents. */
struct sl_result_counts {
    uint64_t done;
    uint64_t failed;
    uint64_t rated;
    double score_sum;
};

struct sl_evidence;

struct sl_evidence *SlEvidence_New(void);
void SlEvidence_Free(struct sl_evidence *evidence);
/* Takes an agent's cumulative counts. A new `boot` starts from nothing, and
 * what the former start counted is kept. */
void SlEvidence_Report(struct sl_evidence *evidence,
                       const struct sl_name *agent, uint64_t boot,
                       const struct sl_name *version,
                       const struct sl_result_counts *counts);
struct sl_result_counts SlEvidence_Total(const struct sl_evidence *evidence,
                                         const struct sl_name *version);
/* True while the counts say, with the false-alarm rate that sl_evidence.c
 * states, that the version is worse than `expected_quality`, or fails more
 * often than the others do. Finds a version that turned bad after a long good
 * time as well as one that was bad from the start. A changed
 * `expected_quality` starts the test on ratings anew. */
bool SlEvidence_IsSuspect(struct sl_evidence *evidence,
                          const struct sl_name *version,
                          double expected_quality);

/* Why a version is suspect, or how far it is from that. */
struct sl_version_health {
    bool suspect;
    bool by_rating;
    bool by_failure;
    struct sl_result_counts total;
    double quality_floor;     /* mean score that a good version keeps */
    double rating_log_ratio;  /* log-likelihood ratio since the best time */
    double failure_log_ratio; /* the same for failures */
    double threshold;         /* at which either raises an alarm */
    double failed_share;      /* recent */
    double others_failed_share;
    uint64_t alarms; /* raised so far */
};

struct sl_version_health SlEvidence_Explain(struct sl_evidence *evidence,
                                            const struct sl_name *version,
                                            double expected_quality);
/* Agents remembered. A bounded number is; the one silent for longest goes
 * first, and its counts stay in the totals. */
size_t SlEvidence_AgentCount(const struct sl_evidence *evidence);

/* ---- 5. Cascade ------------------------------------------------------- */

/* One step that the request's selector allows and that is in service. */
struct sl_cascade_step {
    struct sl_name version;
    bool suspect;
    int64_t cost_micros;
    double quality; /* label's expectation, used until there is evidence */
    int64_t expected_us; /* expected time of the step now */
};

struct sl_cascade;

struct sl_cascade *SlCascade_New(void);
void SlCascade_Free(struct sl_cascade *cascade);
/* Learns that an answer of `version` to `kind` of `team` was accepted. */
void SlCascade_Learn(struct sl_cascade *cascade, const struct sl_name *team,
                     const struct sl_name *kind, const struct sl_name *version,
                     bool accepted);

struct sl_cascade_request {
    struct sl_name team;
    struct sl_name kind;
    double quality;       /* target */
    int64_t time_left_us; /* until the deadline */
    size_t count;
    const struct sl_cascade_step
        *steps;               /* cheap to dear, Sl_MAX_CASCADE_STEPS at most */
    bool ratings_unavailable; /* no ratings now: the first answer is the last
                                 one */
};

/* A rule for cascades; `start` returns the index of the first step. */
struct sl_cascade_policy {
    const char *name;
    size_t (*start)(const struct sl_cascade *cascade,
                    const struct sl_cascade_request *ask,
                    struct sl_random *random);
};

/* Lowest expected cost that meets target and deadline; the rule in use. */
extern const struct sl_cascade_policy SlCascade_ExpectedCost;
extern const struct sl_cascade_policy *const SlCascade_All[];

/* The rate at which answers of a step are expected to be accepted. */
double SlCascade_PassRate(const struct sl_cascade *cascade,
                          const struct sl_cascade_request *ask, size_t step);
/* The first step of the chain with the lowest expected cost that meets the
 * target and the deadline when step i passes at rate `pass[i]`; of the chain
 * that passes most when none does. Marks of suspicion play no part. */
size_t SlCascade_Plan(const struct sl_cascade_request *ask,
                      const double *pass);
/* Rates remembered; a bounded number is, the longest unused goes first. */
size_t SlCascade_RateCount(const struct sl_cascade *cascade);

/* Whether an answer with `score` is good enough to return. */
bool SlCascade_Accepts(double score, double quality);

#endif
