/*
 * sl_routing: the routing table of routers that call their upstreams directly.
 * It contains the routes, services, teams and limits of one version of the
 * operators' configuration.
 *
 * A table is immutable once it is built. It is reference counted: a request
 * keeps a reference to the version that it started with. Pointers that a
 * lookup returns are valid as long as the table is.
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

/* The arrays and views in the following structs belong to the table. The
 * functions that add to it copy them. */

struct sl_model {
    struct sl_name name;
    /* Cost of 1,000 generated tokens. A prompt token costs 1/4 of a generated
     * one. */
    double cost;
};

/* A service: a group of upstreams that handle the same requests. */
struct sl_route_service {
    struct sl_name name;
    struct sl_name health_path; /* path of health checks at an upstream */
    int64_t max_connections;    /* accepted by one upstream from all routers */
    int64_t cold_start_us;      /* cold time after a start; 0: never cold */
    double cold_requests_per_s; /* that a cold upstream can handle */
    bool is_engine;             /* runs models; false for plain services */
    /* The following are for engines only. */
    int64_t slots; /* requests that an upstream runs at once */
    /* Number of tokens, of running requests and of cached parts of prompts,
     * that an upstream's memory holds. */
    int64_t memory_tokens;
    int64_t tokens_per_event; /* generated tokens in an event of a stream */
    size_t model_count;
    struct sl_model *models; /* smallest first */
};

/* How often a request may be run. */
enum sl_route_kind {
    Sl_ROUTE_IDEMPOTENT,   /* a request may run more than once */
    Sl_ROUTE_AT_MOST_ONCE, /* runs at most once each time a client sends it */
    /* The response is a stream of events; the request runs at most once,
     * unless the route is resumable. */
    Sl_ROUTE_STREAM,
};

/* Regions in which requests may run. A list without names allows none, unlike
 * an absent list. */
struct sl_region_list {
    bool is_set; /* false: any region is allowed */
    size_t count;
    struct sl_name *names;
};

/* A service that gets a share of a route's traffic. */
struct sl_route_target {
    struct sl_name service;
    double weight; /* positive; the share is relative to the sum of weights */
};

/* A route: the requests with a host and a path prefix, and how they are
 * handled. */
struct sl_route {
    struct sl_name name;
    struct sl_str host;
    struct sl_str prefix; /* of the path; begins and ends with a slash */
    enum sl_route_kind kind;
    bool resumable;     /* streams: another upstream may continue a stream */
    bool is_public;     /* clients need no API key */
    bool has_prompt;    /* requests name a model and the parts of the prompt */
    int64_t timeout_us; /* of a request */
    /* Target for the time to the response, or to the first event of a
     * stream; 0: none. */
    int64_t target_latency_us;
    /* Target for the longest pause between two events of a stream. */
    int64_t target_gap_us;
    int64_t priority;     /* 0 is the most urgent */
    int64_t max_attempts; /* attempts that ran or may have run, per request */
    size_t model_count;   /* 0: the client names the model */
    struct sl_name *models; /* smallest first */
    size_t target_count;
    struct sl_route_target *targets;
    struct sl_region_list regions;
};

/* A group of clients, which have API keys of the team. */
struct sl_team {
    struct sl_name name;
    int64_t priority; /* -1: that of the route */
    struct sl_region_list regions;
};

/* Limits on the sizes and times of clients' requests. */
struct sl_client_limits {
    int64_t max_header_bytes;
    int64_t max_body_bytes;
    int64_t header_timeout_us; /* to receive a request, its body included */
    int64_t idle_timeout_us;   /* between two requests of a connection */
};

/* A routing table. */
struct sl_routing;

/* ---- 2. Build --------------------------------------------------------- */

/* Creates a table with one reference and default limits. `version` is that of
 * the operators' configuration. */
struct sl_routing *SlRouting_New(int64_t version);
/* Adds a reference and returns `routing`. */
struct sl_routing *SlRouting_Ref(struct sl_routing *routing);
/* Drops a reference; the last one frees the table. Accepts NULL. */
void SlRouting_Unref(struct sl_routing *routing);

void SlRouting_SetLimits(struct sl_routing *routing,
                         const struct sl_client_limits *limits);
/* The following functions add a copy of a service, route, team or key. They
 * fail with Sl_ERR_INVALID, and add nothing, if the table already contains
 * it.
 *
 * Fails if a service has the same name. */
enum sl_errno SlRouting_AddService(struct sl_routing *routing,
                                   const struct sl_route_service *service,
                                   struct sl_error *err);
/* Fails if a route has the same host, compared without case, and the same
 * prefix. Names are not compared. */
enum sl_errno SlRouting_AddRoute(struct sl_routing *routing,
                                 const struct sl_route *route,
                                 struct sl_error *err);
/* Fails if a team has the same name. */
enum sl_errno SlRouting_AddTeam(struct sl_routing *routing,
                                const struct sl_team *team,
                                struct sl_error *err);
/* Requires an API key on routes that are not public, even if there is no team.
 * Without teams, no request is let in on them. */
void SlRouting_RequireKeys(struct sl_routing *routing);
/* Adds an API key of `team`, which must be in the table (this is asserted).
 * Fails if any team has the key already. */
enum sl_errno SlRouting_AddKey(struct sl_routing *routing, struct sl_str key,
                               const struct sl_name *team,
                               struct sl_error *err);

/* ---- 3. Lookup -------------------------------------------------------- */

int64_t SlRouting_Version(const struct sl_routing *routing);
const struct sl_client_limits *
SlRouting_Limits(const struct sl_routing *routing);
/* Returns the route of a request with this Host header and request target: of
 * the routes with this host, the one whose prefix is the longest prefix of the
 * target's path, or NULL if there is none. Host names are compared without
 * case; the host's port and the target's query are ignored. */
const struct sl_route *SlRouting_Match(const struct sl_routing *routing,
                                       struct sl_str host,
                                       struct sl_str target);
/* Returns true if the list allows the region. */
bool SlRegionList_Allows(const struct sl_region_list *list,
                         const struct sl_name *region);
/* Returns the team that has this API key, or NULL. */
const struct sl_team *SlRouting_TeamOfKey(const struct sl_routing *routing,
                                          struct sl_str key);
/* Returns true if clients need an API key on routes that are not public:
 * SlRouting_RequireKeys() was called, or a team was added. */
bool SlRouting_NeedsKeys(const struct sl_routing *routing);
size_t SlRouting_TeamCount(const struct sl_routing *routing);
/* Returns a team by its index, which is below SlRouting_TeamCount(). */
const struct sl_team *SlRouting_Team(const struct sl_routing *routing,
                                     size_t index);
/* Returns the service of this name, or NULL. */
const struct sl_route_service *
SlRouting_FindService(const struct sl_routing *routing,
                      const struct sl_name *name);
size_t SlRouting_RouteCount(const struct sl_routing *routing);
/* Returns a route by its index, which is below SlRouting_RouteCount(). Indexes
 * of routes, services and teams are in the order of their addition. */
const struct sl_route *SlRouting_Route(const struct sl_routing *routing,
                                       size_t index);
/* Returns the route with this host, compared without case, and this prefix, or
 * NULL. */
const struct sl_route *SlRouting_FindRoute(const struct sl_routing *routing,
                                           struct sl_str host,
                                           struct sl_str prefix);
/* Returns the team of this name, or NULL. */
const struct sl_team *SlRouting_FindTeam(const struct sl_routing *routing,
                                         const struct sl_name *name);
/* Calls `visit` with each API key, in no order. */
void SlRouting_VisitKeys(const struct sl_routing *routing,
                         void (*visit)(void *context, struct sl_str key,
                                       const struct sl_team *team),
                         void *context);
size_t SlRouting_ServiceCount(const struct sl_routing *routing);
/* Returns a service by its index, which is below SlRouting_ServiceCount(). */
const struct sl_route_service *
SlRouting_Service(const struct sl_routing *routing, size_t index);
/* Returns the service that handles a request. Each of the route's targets, of
 * which there must be at least one, gets a share of the hashes by its weight.
 * The result is the same for the same `hash` in every process. */
const struct sl_name *SlRoute_SelectService(const struct sl_route *route,
                                            uint64_t hash);

#endif
