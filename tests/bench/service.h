/* One service in virtual time: arithmetic stand-ins for engines, with the
 * decisions of lib/policy at entries and agents. It knows no frames, no
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
    double share;
    int64_t priority;
    int64_t deadline_us;
    bool idempotent;
};

/* One of the two deployments of the brief. */
struct sl_deployment {
    const char *name;
    size_t upstreams;
    size_t domains;
    size_t entries;
    int64_t warm_limit;
    int64_t cold_limit;
    double service_us;     /* mean, alone on a warm upstream */
    double cost_sigma;     /* spread of the requests' sizes */
    double estimate_sigma; /* error of what is known of a size beforehand */
    struct sl_bench_kind kinds[3];
};

extern const struct sl_deployment SlDeployment_Kerhuel;
extern const struct sl_deployment SlDeployment_Koudebaai;

enum sl_bench_outage {
    Sl_OUTAGE_NONE,
    Sl_OUTAGE_MARKED, /* operators take domain 0 out; running work ends */
    Sl_OUTAGE_LOST,   /* domain 0 is gone at once, with what ran there */
};

struct sl_service_options {
    const struct sl_deployment *deployment;
    const struct sl_balancer *chooser;
    double load;      /* arrivals as a share of the warm capacity */
    double load_wave; /* amplitude of a wave on the load, period 120 s */
    double burst;     /* a large team's extra load from 60 s to 90 s */
    double slow;      /* factor on the time of upstream 1; 0: as the others */
    bool no_limit;    /* the warm limit always, cold or not */
    bool fifo;        /* one queue in order of arrival, no early refusal */
    bool defer;       /* entries hold refused work that may wait */
    double retry_share; /* of traffic; negative: no bound */
    int64_t hedge_us;   /* a second attempt after this time; 0: never */
    enum sl_bench_outage outage; /* from 60 s to 120 s */
    int64_t end_us;              /* arrivals stop then */
    int64_t report_us;           /* between load reports; 0: 1 s */
    uint64_t seed;
};

#define Sl_BENCH_PHASES 3 /* arrivals before 60 s, before 120 s, after */

struct sl_phase {
    struct sl_sample latency_ms;         /* of answers */
    struct sl_sample kind_latency_ms[3]; /* the same by kind */
    struct sl_sample small_team_ms;      /* the same, small teams only */
    uint64_t asked;
    uint64_t in_time; /* answered by the deadline */
    uint64_t kind_asked[3];
    uint64_t kind_in_time[3];
    uint64_t refused; /* told not-run */
    uint64_t failed;  /* ran and broke off, not repeated */
    uint64_t attempts;
};

struct sl_service_result {
    struct sl_phase phases[Sl_BENCH_PHASES];
    uint64_t cold_overloads; /* starts above what a cold upstream bears */
    uint64_t falls;          /* upstreams that broke down under load */
    int64_t last_start_us;   /* last start in the domain after it was out */
    double busy_us;          /* engine time spent */
};

void SlService_Run(const struct sl_service_options *options,
                   struct sl_service_result *result);
void SlService_FreeResult(struct sl_service_result *result);

#endif
