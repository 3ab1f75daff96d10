/*
 * sl_sharing: who goes first when a service has too little room, and who is
 * refused.
 *
 * Within a priority, the room of a service is shared between teams, then
 * between the routes of a team, then between its sessions. Who holds the least
 * goes first (max-min fairness), so that a team's burst waits behind itself
 * and not before all others. What a team does not use, others may: its next
 * request comes first again, as soon as a request of theirs has ended.
 *
 * All routers of the fleet share the room. Each reports what its teams hold
 * and wait for. Reports age: a router that has heard nothing for a while goes
 * by its own view.
 *
 * The wait of a request follows from the requests of the fleet that go before
 * it, and from the pace at which the service ends requests. One that could not
 * end in time is refused at once, and told when to come back.
 *
 * Nothing here has a clock or a network. Times are in microseconds on the
 * caller's monotonic clock.
 *
 * Sections, from simple to advanced:
 *   1. Sharing    create, free
 *   2. Holdings   what teams hold and wait for, here and at the peers
 *   3. Order      which waiting request goes first
 *   4. Admission  the wait of a request, and whether it is refused
 *   5. Reports    exchange with the other routers
 */
#ifndef Sl_SHARING_H
#define Sl_SHARING_H

#include "sl_gossip.h"

/* ---- 1. Sharing ------------------------------------------------------- */

struct sl_sharing;

/* Returns an empty state, which the caller frees. */
struct sl_sharing *SlSharing_New(void);
void SlSharing_Free(struct sl_sharing *sharing);
/* Returns the key of a service, team or route; never 0. */
uint32_t SlSharing_Key(struct sl_str name);

/* ---- 2. Holdings ------------------------------------------------------ */

/* Whom a request belongs to, by keys. */
struct sl_sharing_claim {
    uint32_t service;
    uint32_t team; /* 0: none */
    uint32_t route;
    uint32_t session; /* 0: none */
};

/* A request begins or ceases to wait in this router's queue. */
void SlSharing_OnQueued(struct sl_sharing *sharing,
                        const struct sl_sharing_claim *claim);
void SlSharing_OnUnqueued(struct sl_sharing *sharing,
                          const struct sl_sharing_claim *claim);
/* A call of a request is sent to an upstream, or has ended. */
void SlSharing_OnSent(struct sl_sharing *sharing,
                      const struct sl_sharing_claim *claim);
void SlSharing_OnEnded(struct sl_sharing *sharing,
                       const struct sl_sharing_claim *claim);

/* What a team, or all teams, have of a service. */
struct sl_sharing_holding {
    int64_t held;    /* requests at upstreams, of the whole fleet */
    int64_t waiting; /* requests in queues, of the whole fleet */
};

struct sl_sharing_holding SlSharing_Team(const struct sl_sharing *sharing,
                                         uint32_t service, uint32_t team);
struct sl_sharing_holding SlSharing_Service(const struct sl_sharing *sharing,
                                            uint32_t service);

/* Handles that a request ran to its end. It took `took_us` at an upstream with
 * this many slots, which had `load` requests, this one included, when it was
 * sent. */
void SlSharing_OnRan(struct sl_sharing *sharing, uint32_t service,
                     int64_t took_us, int64_t load, int64_t slots);
/* Returns the mean time for which a request occupies a slot; `initial_us` if
 * none has ended yet. */
int64_t SlSharing_RunUs(const struct sl_sharing *sharing, uint32_t service,
                        int64_t initial_us);

/* ---- 3. Order --------------------------------------------------------- */

/* A request that waits. */
struct sl_sharing_waiter {
    struct sl_sharing_claim claim;
    int64_t priority;  /* 0 is the most urgent */
    uint64_t arrival;  /* grows from one request to the next */
    bool has_returned; /* it was refused before, and goes before new requests
                          of its team */
    /* Set by SlSharing_Sort(): requests that its team holds, together with
     * those of the team that are sorted before it. */
    int64_t level;
    size_t index; /* the caller's */
};

/* Sorts the waiters: by priority, then the one whose team, route and session
 * hold the least first, counting those that are sorted before it as held. What
 * teams hold is that of the fleet, what routes and sessions hold that of this
 * router. */
void SlSharing_Sort(const struct sl_sharing *sharing,
                    struct sl_sharing_waiter *waiters, size_t count);
/* Returns the fair share of a team in `room`, a number of requests: teams that
 * want less get what they want, and the others the same. INT64_MAX: there is
 * room for all. */
int64_t SlSharing_FairShare(const struct sl_sharing *sharing, uint32_t service,
                            int64_t room);

/* Returns true if the team wants more than `share`. */
bool SlSharing_IsAboveShare(const struct sl_sharing *sharing, uint32_t service,
                            uint32_t team, int64_t share);

/* What this router may send to a service. */
struct sl_sharing_allotment {
    bool is_contended; /* the fleet wants more than the service has room for */
    int64_t contended_us; /* for how long it has, but for short breaks */
    int64_t share; /* fair share of a team, in requests; INT64_MAX: there
                      is room for all */
    /* For the teams above their share, together. The others may send whenever
     * an upstream has room. */
    int64_t interval_us; /* mean time between two requests */
    int64_t free_us;     /* until the next one; 0: now */
};

/* Returns this router's allotment. While the teams want more than the slots
 * and a short queue at each upstream hold, each router sends the requests of
 * the teams above their share at a pace: the shares of these teams, in
 * proportion to what they want through it. The paces of all routers together
 * are what the other teams leave of the service's, however old the reports are
 * that say how much room there is. */
struct sl_sharing_allotment SlSharing_Allot(struct sl_sharing *sharing,
                                            int64_t now_us, uint32_t service,
                                            int64_t usable_slots,
                                            int64_t run_us);

/* Returns the fair share in the service's last allotment. */
int64_t SlSharing_LastShare(const struct sl_sharing *sharing,
                            uint32_t service);

/* When requests come back after a refusal, their deadlines are shorter than
 * usual. Learns from the client's deadline of a request, and returns for how
 * long its client has tried before; 0: it is the first attempt. */
int64_t SlSharing_TriedUs(struct sl_sharing *sharing, uint32_t route,
                          int64_t deadline_us);

/* ---- 4. Admission ----------------------------------------------------- */

/* What a request meets at its service. */
struct sl_admission_state {
    bool has_room;        /* an upstream can take it now */
    int64_t usable_slots; /* of all upstreams that may take the request */
    int64_t run_us;       /* mean time for which a request has a slot */
    int64_t begin_us;     /* from the start of a run to the response */
    int64_t free_us;      /* until an upstream can take a request */
    int64_t ahead;        /* requests in this router's queue that go first */
    int64_t interval_us;  /* time between two requests that are sent */
    /* The same by the limits of the upstreams; 0 unless each has one. */
    int64_t limited_interval_us;
    int64_t backlog;           /* requests in the fleet's queues */
    int64_t upstream_wait_us;  /* least wait in an upstream's own queue */
    int64_t objective_left_us; /* until the response should have begun;
                                  Sl_NEVER_US: no objective */
    int64_t time_left_us;      /* until the request must have ended */
    int64_t client_left_us;    /* until its client gives up */
    bool runs_once;            /* the request must not run more than once */
    bool is_stream;            /* its response is of use as it arrives */
    bool is_above_share;       /* its team has more than its fair share */
    bool is_overload_lasting;  /* the service has been contended for as long
                                  as the objective */
    uint32_t spread; /* hash of the request, which spreads Retry-After */
};

enum sl_admission_action {
    Sl_ADMISSION_ADMIT, /* it is sent if an upstream has room, else waits */
    Sl_ADMISSION_REFUSE,
};

struct sl_admission_decision {
    enum sl_admission_action action;
    const char *reason;     /* REFUSE: a sentence for people, static */
    int64_t wait_us;        /* expected, here and in the upstream's queue */
    int64_t end_us;         /* expected time from now to the end */
    int64_t retry_after_us; /* REFUSE */
};

/* Decides about a request that waits, or is about to be sent. */
struct sl_admission_decision
SlAdmission_Decide(const struct sl_admission_state *state);
/* Returns the time that a backlog of this many requests takes to clear. */
int64_t SlAdmission_BacklogUs(int64_t backlog, int64_t run_us,
                              int64_t usable_slots);

/* ---- 5. Reports ------------------------------------------------------- */

/* Fills in what this router's teams hold and wait for: the largest ones, and
 * the others together. Returns the number of shares. */
size_t SlSharing_FillReport(const struct sl_sharing *sharing,
                            struct sl_gossip_share *shares, size_t max);
/* Replaces the peer's report. `sent_us` is when it was sent. */
void SlSharing_OnReport(struct sl_sharing *sharing, int64_t sent_us,
                        const struct sl_name *peer,
                        const struct sl_gossip_share *shares, size_t count);
/* Forgets a peer, which has left. */
void SlSharing_OnPeerGone(struct sl_sharing *sharing,
                          const struct sl_name *peer);
/* Forgets reports that were sent more than `max_age_us` ago: what they tell
 * has ended since, or the peer is no longer there. */
void SlSharing_Expire(struct sl_sharing *sharing, int64_t now_us,
                      int64_t max_age_us);
/* Handles that this process was paused and could hear nobody: reports age by
 * that much less. */
void SlSharing_OnPause(struct sl_sharing *sharing, int64_t paused_us);
/* Returns the age of the oldest report that counts; 0: none does. */
int64_t SlSharing_ReportAgeUs(const struct sl_sharing *sharing,
                              int64_t now_us);
size_t SlSharing_PeerCount(const struct sl_sharing *sharing);

#endif
