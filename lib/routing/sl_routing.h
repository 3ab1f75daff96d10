/*
 * sl_routing: one version of the operators' configuration for routers that
 * call their upstreams directly: routes, services, teams and limits.
 *
 * A routing table is built whole, then only read. It is counted by
 * references: a request keeps the version that it started with.
 *
 * Sections, from simple to advanced:
 *   1. Types    what a configuration holds
 *   2. Build    add parts, then freeze
 *   3. Lookup   route of a request, team of a key
 */
#ifndef Sl_ROUTING_H
#define Sl_ROUTING_H

#include "sl_common.h"

/* ---- 1. Types --------------------------------------------------------- */

/* Models of one route or service, smallest first. */
#define Sl_MAX_MODELS 8
/* Services among which one route's traffic is split. */
#define Sl_MAX_TARGETS 8
/* Regions to which a route or team is bound. */
#define Sl_MAX_REGIONS 8

struct sl_model {
    struct sl_name name;
    double cost; /* per 1,000 tokens generated; a token read costs 1/4 */
};

struct sl_route_service {
    struct sl_name name;
    struct sl_name health_path;
    int64_t max_connections;    /* of one upstream, from all callers */
    int64_t cold_start_us;      /* 0: never cold */
    double cold_requests_per_s; /* requests a second that a cold one bears */
    bool is_engine;             /* model runners; false for plain services */
    int64_t slots;              /* engines: requests run at once */
    int64_t memory_tokens;      /* engines: shared by runs and cached parts */
    int64_t tokens_per_event;
    size_t model_count;
    struct sl_model models[Sl_MAX_MODELS];
};

enum sl_route_kind {
    Sl_ROUTE_IDEMPOTENT,   /* may run more than once */
    Sl_ROUTE_AT_MOST_ONCE, /* runs at most once for each caller's attempt */
    Sl_ROUTE_STREAM,       /* events; as ONCE unless it is resumable */
};

struct sl_route_target {
    struct sl_name service;
    double weight;
};

struct sl_route {
    struct sl_name name;
    struct sl_name host;
    struct sl_name prefix; /* begins and ends with a slash */
    enum sl_route_kind kind;
    bool resumable;  /* streams: another upstream may go on */
    bool is_public;  /* no key needed */
    bool has_prompt; /* requests name model and prompt parts */
    int64_t timeout_us;
    int64_t
        target_latency_us; /* latency objective; streams: to the first event */
    int64_t target_gap_us; /* longest pause between events that is on time */
    int64_t priority;      /* 0 is the most urgent */
    int64_t max_attempts;
    size_t model_count; /* 0: the caller names the model */
    struct sl_name models[Sl_MAX_MODELS];
    size_t target_count;
    struct sl_route_target targets[Sl_MAX_TARGETS];
    size_t region_count; /* 0: any region */
    struct sl_name regions[Sl_MAX_REGIONS];
};

struct sl_team {
    struct sl_name name;
    int64_t priority; /* -1: the route's */
    size_t region_count;
    struct sl_name regions[Sl_MAX_REGIONS];
};

/* What a caller may send, and how long it may take. */
struct sl_client_limits {
    int64_t max_header_bytes;
    int64_t max_body_bytes;
    int64_t header_timeout_us;
    int64_t idle_timeout_us;
};

struct sl_routing;

/* ---- 2. Build --------------------------------------------------------- */

/* With one reference. */
struct sl_routing *SlRouting_New(int64_t version);
struct sl_routing *SlRouting_Ref(struct sl_routing *routing);
void SlRouting_Unref(struct sl_routing *routing);

void SlRouting_SetLimits(struct sl_routing *routing,
                         const struct sl_client_limits *limits);
/* Each takes a copy, and fails on a name that is there already. */
enum sl_errno SlRouting_AddService(struct sl_routing *routing,
                                   const struct sl_route_service *service,
                                   struct sl_error *err);
/* Fails also when another route has the same host and prefix. */
enum sl_errno SlRouting_AddRoute(struct sl_routing *routing,
                                 const struct sl_route *route,
                                 struct sl_error *err);
enum sl_errno SlRouting_AddTeam(struct sl_routing *routing,
                                const struct sl_team *team,
                                struct sl_error *err);
/* `team` was added before. */
enum sl_errno SlRouting_AddKey(struct sl_routing *routing, struct sl_str key,
                               const struct sl_name *team,
                               struct sl_error *err);

/* ---- 3. Lookup -------------------------------------------------------- */

int64_t SlRouting_Version(const struct sl_routing *routing);
const struct sl_client_limits *
SlRouting_Limits(const struct sl_routing *routing);
/* The route of that host with the longest prefix that begins the target's
 * path; NULL when there is none. Host names compare without case and port. */
const struct sl_route *SlRouting_Match(const struct sl_routing *routing,
                                       struct sl_str host,
                                       struct sl_str target);
/* NULL when no team holds the key. */
const struct sl_team *SlRouting_TeamOfKey(const struct sl_routing *routing,
                                          struct sl_str key);
/* True when callers need a key on routes that are not public. */
bool SlRouting_NeedsKeys(const struct sl_routing *routing);
const struct sl_route_service *
SlRouting_FindService(const struct sl_routing *routing,
                      const struct sl_name *name);
size_t SlRouting_RouteCount(const struct sl_routing *routing);
size_t SlRouting_ServiceCount(const struct sl_routing *routing);
const struct sl_route_service *
SlRouting_Service(const struct sl_routing *routing, size_t index);
/* The service to which a request goes: by weight, the same for the same
 * `hash` on every process. */
const struct sl_name *SlRoute_SelectService(const struct sl_route *route,
                                            uint64_t hash);

#endif
