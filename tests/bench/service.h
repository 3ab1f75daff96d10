/* Simulation of one service in virtual time: entries and agents that decide by
 * lib/policy, and engines whose run times are computed. It has no frames, no
 * configuration and no log. */
#ifndef Sl_BENCH_SERVICE_H
#define Sl_BENCH_SERVICE_H

#include "common.h"

#define Sl_BENCH_TEAMS 10
#define Sl_BENCH_MAX_UPSTREAMS 32
#define Sl_BENCH_MAX_ENTRIES 4

/* A kind of request. */
struct sl_bench_kind {
    const char *name;
    double share; /* of all requests */
    int64_t priority;
    int64_t deadline_us;
    bool idempotent;
};

/* A deployment; the two below are the reference deployments. */
struct sl_deployment {
    const char *name;
    size_t upstreams;
    size_t domains;
    size_t entries;
    int64_t warm_limit;
    int64_t cold_limit;
    double service_us;     /* mean run time, alone on a warm upstream */
    double cost_sigma;     /* log-normal spread of the requests' costs */
    double estimate_sigma; /* log-normal error of a cost's estimate */
    struct sl_bench_kind kinds[3]; /* most urgent first; 2 is deferrable */
};

extern const struct sl_deployment SlDeployment_Kerhuel;
extern const struct sl_deployment SlDeployment_Koudebaai;

enum sl_bench_outage {
    Sl_OUTAGE_NONE,
    Sl_OUTAGE_MARKED, /* operators mark domain 0 out; its runs complete */
    Sl_OUTAGE_LOST,   /* domain 0 and its runs are lost at once */
};

struct sl_service_options {
    const struct sl_deployment *deployment;
    const struct sl_balancer *balancer;
    double load;        /* arrivals as a share of the warm capacity */
    double load_wave;   /* amplitude of a sine on the load, period 120 s */
    double burst;       /* a large team's extra load from 60 s to 90 s */
    double slow_factor; /* of run times on upstream 1; 0: as on the others */
    bool no_cold_limit; /* agents apply the warm limit to cold engines too */
    bool fifo;          /* one queue in order of arrival, no early refusal */
    bool defer;         /* entries hold refused requests of kind 2 */
    double retry_share; /* retries per first attempt; negative: unbounded */
    int64_t hedge_us; /* second attempt of kind 0 after this time; 0: never */
    enum sl_bench_outage outage; /* from 60 s to 120 s */
    int64_t end_us;              /* arrivals stop then */
    int64_t report_us;           /* between load reports; 0: 1 s */
    uint64_t seed;
};

/* Results are counted by the time of arrival: before, during and after the
 * time of the outage, from 60 s to 120 s, also if there is no outage. */
#define Sl_BENCH_PHASES 3

struct sl_phase {
    struct sl_sample latency_ms;            /* of successful responses */
    struct sl_sample kind_latency_ms[3];    /* the same by kind */
    struct sl_sample small_team_latency_ms; /* the same, small teams only */
    uint64_t requests;
    uint64_t in_time; /* successful by the deadline */
    uint64_t kind_requests[3];
    uint64_t kind_in_time[3];
    uint64_t refused; /* client told `not-run` */
    uint64_t failed;  /* last attempt lost, not retried */
    uint64_t attempts;
};

struct sl_service_result {
    struct sl_phase phases[Sl_BENCH_PHASES];
    uint64_t cold_overloads; /* starts above a cold upstream's capacity */
    uint64_t crashes;        /* of upstreams under overload */
    int64_t last_start_us;   /* last start in domain 0 during its outage */
    double busy_us;          /* engine time spent */
};

/* Runs the simulation. The caller frees the result's samples with
 * SlService_FreeResult(). */
void SlService_Run(const struct sl_service_options *options,
                   struct sl_service_result *result);
void SlService_FreeResult(struct sl_service_result *result);

#endif
