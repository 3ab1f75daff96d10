/*
 * Shared by the files of sl_router.
 *
 * sl_router.c     dispatcher of events, start, drain, timers
 * sl_feeds.c      following the store's topics
 * sl_flight.c     a request from its arrival to its end
 * sl_exchange.c   one call of a flight, and what its answer means
 * sl_waiting.c    flights that wait for an upstream
 * sl_placement.c  which upstream a flight goes to
 * sl_upstreams.c  what is believed of upstreams
 * sl_events.c     events of a stream, one by one
 * sl_outbox.c     effects
 *
 * Arrows point down this list.
 */
#ifndef Sl_ROUTER_INTERNAL_H
#define Sl_ROUTER_INTERNAL_H

#include "sl_router.h"

#include <assert.h>

/* ---- upstreams ---- */

struct sl_upstream {
    struct sl_registration reg;
    uint64_t offset;       /* of its newest registration */
    int64_t heard_us;      /* when that was read */
    bool listed;           /* registered; others only finish their work */
    int64_t lapse_us;      /* its entry went while the store was away: it is
                              gone at this time unless it is back; else 0 */
    int64_t cold_until_us; /* 0: warm */
    int64_t cold_next_us;  /* earliest next request while cold */
    int64_t shun_until_us; /* after failures */
    unsigned failures;     /* in a row */
    int64_t in_flight;     /* own */
    int64_t told_us;       /* when an answer last told its load; 0: never */
    int64_t told_load;     /* running and waiting, own ones included */
    int64_t sent_since;    /* own requests sent since that answer */
    GHashTable *parts;     /* id -> struct sl_held_part, owned */
};

/* A prompt part that an upstream read for us. */
struct sl_held_part {
    uint64_t id;
    int64_t used_us;
};

/* ---- streams ---- */

/* Splits a stream into events, which end with an empty line. */
struct sl_event_splitter {
    struct sl_buf pending; /* bytes of the event that is not whole yet */
};

/* Takes bytes; then call SlEvents_Next() until it returns false. */
void SlEvents_Feed(struct sl_event_splitter *splitter, struct sl_str bytes);
/* Gives the next whole event, valid until the next feed. `id` is -1 for an
 * event without one. `offset` is the caller's, and starts at 0. */
bool SlEvents_Next(struct sl_event_splitter *splitter, size_t *offset,
                   struct sl_str *event, int64_t *id);
/* Drops the `offset` bytes that were given. */
void SlEvents_Drop(struct sl_event_splitter *splitter, size_t offset);
void SlEvents_Clear(struct sl_event_splitter *splitter);
void SlEvents_Free(struct sl_event_splitter *splitter);

/* ---- flights ---- */

/* Upstreams that one flight remembers having tried. */
#define Sl_MAX_TRIED 8

enum sl_flight_state {
    Sl_FLIGHT_WAITING, /* for an upstream */
    Sl_FLIGHT_CALLING, /* nothing was sent to the caller yet */
    Sl_FLIGHT_PASSING, /* the caller has part of the answer */
};

struct sl_exchange {
    uint64_t token; /* 0: no call is under way */
    struct sl_upstream *upstream;
    int64_t sent_us;
    int64_t last_bytes_us;
    bool has_head;
    struct sl_answer_head head;
    struct sl_buf headers; /* to be passed on */
    struct sl_buf body;    /* whole answers */
    struct sl_event_splitter events;
    size_t events_taken; /* bytes of `events` that were passed on */
};

struct sl_flight {
    uint64_t conn; /* the caller's connection, and the flight's key */
    struct sl_routing *routing;
    const struct sl_route *route;
    const struct sl_route_service *service;
    const struct sl_team *team; /* NULL: none */
    enum sl_flight_state state;
    struct sl_buf text; /* what the views of `ask` point to */
    struct sl_ask ask;
    int64_t arrived_us;
    int64_t deadline_us; /* the caller leaves, or the route's time is over */
    int64_t priority;
    uint64_t session;
    size_t model;  /* index in the route's models */
    int64_t runs;  /* attempts that ran or may have run */
    int64_t tries; /* attempts that were sent or tried */
    bool may_repeat;
    int64_t last_event; /* the newest one the caller has; -1: none */
    size_t tried_count;
    struct sl_name tried[Sl_MAX_TRIED];
    struct sl_exchange exchange;
    uint64_t timer;
    GList *waiting; /* its link in the queue */
};

/* ---- feeds ---- */

struct sl_feed_state {
    bool reading;
    bool synced; /* a snapshot was read */
    uint64_t next;
    int64_t retry_us;
    int64_t fail_since_us; /* 0: the last read went well */
    uint64_t timer;
};

/* ---- the router ---- */

struct sl_router {
    struct sl_router_options options;
    int64_t now_us;
    int64_t wall_ms;
    struct sl_random random;
    struct sl_timers *timers;
    struct sl_counters *counters;
    struct sl_router_effects *fx; /* of the event in hand */
    uint64_t last_token;
    struct sl_buf line; /* the log line in hand */

    struct sl_feed_state feeds[Sl_FEED_COUNT];
    int64_t store_back_us; /* when the store last came back; 0: never away */
    struct sl_routing *routing; /* NULL until one is known */
    uint64_t routing_offset;
    GHashTable *evacuated; /* domain name -> itself, owned */

    GHashTable *upstreams; /* id -> struct sl_upstream, owned */
    GHashTable *flights;   /* conn -> struct sl_flight, owned */
    GHashTable *by_token;  /* call token -> struct sl_flight */
    GQueue *queue;         /* waiting flights, most urgent first */
    uint64_t look_timer;   /* to look at the queue again */
    bool capacity_changed; /* waiting flights may find a place now */

    bool draining;
    int64_t drain_us;
    bool started;
    bool stopped_accepting;
    bool exited;
    GPtrArray *garbage; /* freed at the next event: effects point to it */
};

/* ---- outbox ---- */

struct sl_router_effect *SlOutbox_Add(struct sl_router *router,
                                      enum sl_router_effect_type type);
/* A log line: begin, add members, end. `level` decides whether it shows. */
void SlLine_Begin(struct sl_router *router, const char *event);
void SlLine_Str(struct sl_router *router, const char *key,
                struct sl_str value);
void SlLine_Name(struct sl_router *router, const char *key,
                 const struct sl_name *value);
void SlLine_C(struct sl_router *router, const char *key, const char *value);
void SlLine_Int(struct sl_router *router, const char *key, int64_t value);
void SlLine_Error(struct sl_router *router, const struct sl_error *err);
void SlLine_End(struct sl_router *router, enum sl_log_level level);
void SlRouter_Count(struct sl_router *router, const char *counter);
/* Frees at the next event. */
void SlRouter_FreeLater(struct sl_router *router, gpointer memory);

/* ---- upstreams ---- */

/* A registration was read. */
void SlUpstreams_Put(struct sl_router *router, uint64_t offset,
                     const struct sl_registration *reg);
/* Its entry went. */
void SlUpstreams_Drop(struct sl_router *router, const struct sl_name *id);
/* A snapshot that ends at `end` was read: what it did not hold is gone. */
void SlUpstreams_Keep(struct sl_router *router, GHashTable *seen);
/* Time passes: entries that lapsed with the store. */
void SlUpstreams_Expire(struct sl_router *router);
void SlUpstreams_Free(gpointer upstream);
bool SlUpstreams_IsEvacuated(const struct sl_router *router,
                             const struct sl_name *domain);
void SlUpstreams_OnSent(struct sl_router *router, struct sl_upstream *upstream,
                        const struct sl_flight *flight);
void SlUpstreams_OnEnded(struct sl_router *router,
                         struct sl_upstream *upstream);
void SlUpstreams_OnLoad(struct sl_router *router, struct sl_upstream *upstream,
                        const struct sl_answer_head *head);
/* An answer came. */
void SlUpstreams_OnGood(struct sl_router *router,
                        struct sl_upstream *upstream);
/* It could not be reached, or broke off: it is shunned for a while. */
void SlUpstreams_OnFailure(struct sl_router *router,
                           struct sl_upstream *upstream);
/* It refused: it is full. */
void SlUpstreams_OnRefused(struct sl_router *router,
                           struct sl_upstream *upstream,
                           int64_t retry_after_us);
int64_t SlUpstreams_Load(const struct sl_upstream *upstream);

/* ---- placement ---- */

/* The upstream that should run the flight now, or NULL when none can. Then
 * `wait_us` is a guess of when one may, Sl_NEVER_US when there is none. */
struct sl_upstream *SlPlacement_Choose(struct sl_router *router,
                                       const struct sl_flight *flight,
                                       int64_t *wait_us);

/* ---- flights ---- */

void SlFlight_Start(struct sl_router *router, const struct sl_ask *ask);
void SlFlight_OnGone(struct sl_router *router, uint64_t conn);
void SlFlight_Free(gpointer flight);
/* Waits for an upstream, or goes at once. */
void SlWaiting_Add(struct sl_router *router, struct sl_flight *flight);
void SlWaiting_Remove(struct sl_router *router, struct sl_flight *flight);
/* Sends what can go now. */
void SlWaiting_Run(struct sl_router *router);
void SlExchange_Send(struct sl_router *router, struct sl_flight *flight,
                     struct sl_upstream *upstream);
void SlExchange_OnHead(struct sl_router *router, uint64_t token,
                       const struct sl_answer_head *head);
void SlExchange_OnPiece(struct sl_router *router, uint64_t token,
                        struct sl_str bytes);
void SlExchange_OnDone(struct sl_router *router, uint64_t token,
                       const struct sl_error *err, bool connected);
/* Stops the call that is under way, if any. */
void SlExchange_Cancel(struct sl_router *router, struct sl_flight *flight);
/* Ends with an answer of our own. `ran` is false only on proof. */
void SlFlight_Fail(struct sl_router *router, struct sl_flight *flight,
                   int status, const char *step, const char *reason, bool ran,
                   int64_t retry_after_us);
/* Removes a flight whose answer has ended. */
void SlFlight_End(struct sl_router *router, struct sl_flight *flight);
/* Tries another upstream, or fails with what is known. */
void SlFlight_Again(struct sl_router *router, struct sl_flight *flight,
                    bool may_have_run, const char *step, const char *reason);

/* ---- feeds ---- */

void SlFeeds_Start(struct sl_router *router);
void SlFeeds_OnAnswer(struct sl_router *router,
                      const struct sl_router_event *event);

#endif
