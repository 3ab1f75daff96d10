/*
 * sl_routing: the routing table of routers that call their upstreams directly.
 * It contains the routes, services, teams and limits of one version of the
 * operators' configuration.
 *
 * A table is immutable once it is built. It is reference counted: a request
 * keeps a reference to the version that it started with.
 *
 * Sections, from simple to advanced:
 *   1. Types    routes, services, teams, limits
 *   2. Build    create a table and add its contents
 *   3. Lookup   route of a request, team of an API key
 */
#ifndef Sl_ROUTING_H
#define Sl_ROUTING_H

#include "sl_common.h"

/* ---- 1. Types --------------------------------------------------------- */

/* Models of a route or service, smallest first. */
#define Sl_MAX_MODELS 8
/* Services between which the traffic of a route is split. */
#define Sl_MAX_TARGETS 8
/* Regions to which a route or team is restricted. */
#define Sl_MAX_REGIONS 8

struct sl_model {
    struct sl_name name;
    /* Per 1,000 generated tokens. A prompt token costs 1/4 of a generated
     * one. */
    double cost;
};

struct sl_route_service {
    struct sl_name name;
    struct sl_name health_path;
    int64_t max_connections;    /* that one upstream accepts in total */
    int64_t cold_start_us;      /* cold for so long after a start; 0: never */
    double cold_requests_per_s; /* that a cold upstream can handle */
    bool is_engine;             /* runs models; false for plain services */
    int64_t slots;              /* engines: concurrent requests */
    int64_t memory_tokens; /* engines: for running requests and cached parts */
    int64_t tokens_per_event;
    size_t model_count;
    struct sl_model models[Sl_MAX_MODELS];
};

enum sl_route_kind {
    Sl_ROUTE_IDEMPOTENT,   /* requests may run more than once */
    Sl_ROUTE_AT_MOST_ONCE, /* runs at most once per attempt of the client */
    Sl_ROUTE_STREAM,       /* events; at most once unless resumable */
};

/* A service that gets a share of a route's traffic. */
struct sl_route_target {
    struct sl_name service;
    double weight;
};

struct sl_route {
    struct sl_name name;
    struct sl_name host;
    struct sl_name prefix; /* begins and ends with a slash */
    enum sl_route_kind kind;
    bool resumable;  /* streams: another upstream may continue a stream */
    bool is_public;  /* no API key needed */
    bool has_prompt; /* requests name a model and the parts of the prompt */
    int64_t timeout_us;
    /* Objectives: time to the response, or to the first event of a stream, and
     * the longest pause between two events. */
    int64_t target_latency_us;
    int64_t target_gap_us;
    int64_t priority; /* 0 is the most urgent */
    int64_t max_attempts;
    size_t model_count; /* 0: the client names the model */
    struct sl_name models[Sl_MAX_MODELS];
    size_t target_count;
    struct sl_route_target targets[Sl_MAX_TARGETS];
    size_t region_count; /* 0: any region */
    struct sl_name regions[Sl_MAX_REGIONS];
};

struct sl_team {
    struct sl_name name;
    int64_t priority; /* -1: that of the route */
    size_t region_count;
    struct sl_name regions[Sl_MAX_REGIONS];
};

/* Limits on the sizes and times of clients' requests. */
struct sl_client_limits {
    int64_t max_header_bytes;
    int64_t max_body_bytes;
    int64_t header_timeout_us;
    int64_t idle_timeout_us;
};

struct sl_routing;

/* ---- 2. Build --------------------------------------------------------- */

/* Creates a table with one reference. */
struct sl_routing *SlRouting_New(int64_t version);
struct sl_routing *SlRouting_Ref(struct sl_routing *routing);
void SlRouting_Unref(struct sl_routing *routing);

void SlRouting_SetLimits(struct sl_routing *routing,
                         const struct sl_client_limits *limits);
/* Add a copy of a service, route or team. Services and teams fail if the name
 * is already in the table. */
enum sl_errno SlRouting_AddService(struct sl_routing *routing,
                                   const struct sl_route_service *service,
                                   struct sl_error *err);
/* Fails if a route has the same host and prefix. Names are not compared. */
enum sl_errno SlRouting_AddRoute(struct sl_routing *routing,
                                 const struct sl_route *route,
                                 struct sl_error *err);
enum sl_errno SlRouting_AddTeam(struct sl_routing *routing,
                                const struct sl_team *team,
                                struct sl_error *err);
/* Adds an API key of `team`, which must be in the table. Fails if a team has
 * the key already. */
enum sl_errno SlRouting_AddKey(struct sl_routing *routing, struct sl_str key,
                               const struct sl_name *team,
                               struct sl_error *err);

/* ---- 3. Lookup -------------------------------------------------------- */

int64_t SlRouting_Version(const struct sl_routing *routing);
const struct sl_client_limits *
SlRouting_Limits(const struct sl_routing *routing);
/* Returns the route with this host and the longest prefix of the target's
 * path, or NULL. Host names are compared without case; the host's port and the
 * target's query are ignored. */
const struct sl_route *SlRouting_Match(const struct sl_routing *routing,
                                       struct sl_str host,
                                       struct sl_str target);
/* Returns the team with this API key, or NULL. */
const struct sl_team *SlRouting_TeamOfKey(const struct sl_routing *routing,
                                          struct sl_str key);
/* Returns true if clients need an API key on routes that are not public. */
bool SlRouting_NeedsKeys(const struct sl_routing *routing);
const struct sl_route_service *
SlRouting_FindService(const struct sl_routing *routing,
                      const struct sl_name *name);
size_t SlRouting_RouteCount(const struct sl_routing *routing);
size_t SlRouting_ServiceCount(const struct sl_routing *routing);
const struct sl_route_service *
SlRouting_Service(const struct sl_routing *routing, size_t index);
/* Returns the service that handles a request: one of the route's targets by
 * weight, the same for the same `hash` in every process. */
const struct sl_name *SlRoute_SelectService(const struct sl_route *route,
                                            uint64_t hash);

#endif
