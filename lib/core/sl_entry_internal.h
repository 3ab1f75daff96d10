/*
 * Shared by the files of the entry role.
 *
 * The selector that matches a request names its service. For an engine, the
 * selector also lists versions, cheapest first: a cascade. An answer of one
 * version (a step of the cascade) is rated, and if it is rejected, the request
 * escalates: the next version runs it. Each request that ran is billed: a bill
 * is a record in the log service. Until then, the agents that ran it hold a
 * receipt, from which another entry can bill it.
 *
 * sl_entry.c    accepts requests; dispatch of the role's events
 * sl_plan.c     chooses versions and upstreams
 * sl_attempt.c  attempts at agents, retries, deadlines
 * sl_ratings.c  ratings of answers, and escalation to the next version
 * sl_request.c  responses to clients, the end of a request
 * sl_pins.c     session pins: the version that a session keeps
 * sl_bills.c    appends bills to the log in batches
 */
#ifndef Sl_ENTRY_INTERNAL_H
#define Sl_ENTRY_INTERNAL_H

#include "sl_core_internal.h"

/* Largest number of versions that may run a request. */
#define Sl_MAX_STEPS Sl_MAX_CASCADE_STEPS
/* Attempts of a request without a wait between them, each at another upstream.
 */
#define Sl_MAX_TRIED_UPSTREAMS 8
/* Agents that are notified when a bill is in the log. Further ones offer their
 * receipts again, and are notified then. */
#define Sl_MAX_RECEIPT_HOLDERS 8

/* ---- requests ---- */

enum sl_request_state {
    Sl_REQUEST_PINNING, /* the session's version is being looked up */
    Sl_REQUEST_WAITING, /* the next attempt starts when the timer is due */
    Sl_REQUEST_RUNNING, /* an attempt is outstanding */
    Sl_REQUEST_RATING,  /* the answer is being rated */
};

/* A response of an upstream, complete or partial. */
struct sl_upstream_response {
    uint64_t status; /* HTTP status; 0: not received yet */
    struct sl_name content_type;
    struct sl_name version;
    struct sl_buf body;
};

/* A client's request, from its acceptance until it is billed. */
struct sl_request {
    uint64_t seq;  /* counts the requests of this process, from 1 */
    uint64_t conn; /* 0 once the client disconnected or was answered */
    enum sl_request_state state;
    struct sl_request_attributes attributes;
    struct sl_name key;  /* the client's Idempotency-Key, or empty */
    struct sl_name bill; /* key of the request's bill */
    struct sl_buf method;
    struct sl_buf path;
    struct sl_buf content_type;
    struct sl_buf body;
    int64_t issued_ms;   /* wall clock of the client; 0: not given */
    int64_t accepted_ms; /* wall clock of this process */
    int64_t deadline_us;
    uint64_t deadline_timer; /* 0: has run */
    uint64_t retry_timer;    /* 0: none */
    /* Copied from the request's selector. */
    struct sl_name service;
    bool engine; /* the service is an engine, which runs versions */
    bool idempotent;
    bool may_wait;  /* for an upstream, if none can take the request now */
    double quality; /* target share of good answers, 0 to 1 */
    /* Versions that may run the request, in the order of the cascade; none for
     * plain services. */
    size_t step_count;
    struct sl_name steps[Sl_MAX_STEPS];
    size_t step; /* index of the current step */
    bool pinned; /* bound to the version of `step`; no other step follows */
    /* The current attempt. */
    uint64_t attempt;        /* its number, from 1 */
    uint64_t peer_id;        /* connection to its agent; 0: not outstanding */
    struct sl_name upstream; /* to which it was sent */
    bool is_streamed;  /* the response is forwarded to the client as it arrives
                        */
    bool head_sent;    /* the head of the response was sent to the client */
    bool may_have_run; /* a failed attempt may have run */
    /* The agent that decides on the key (its home) reported that no submission
     * of the key has run. */
    bool key_not_run;
    uint64_t received_bytes; /* bytes of the response so far */
    struct sl_upstream_response response;
    struct sl_upstream_response
        fallback; /* rejected response of an earlier step */
    bool has_fallback;
    uint64_t rate_token; /* of the outstanding rating; 0: none */
    /* Upstreams at which attempts failed since the last wait or escalation. */
    size_t tried_count;
    struct sl_name tried_upstreams[Sl_MAX_TRIED_UPSTREAMS];
    /* The bill, summed up over the steps that ran. */
    bool has_run; /* a step ran to completion without an HTTP error */
    uint64_t tokens;
    int64_t cost_micros;
    struct sl_name billed_version;
    struct sl_name billed_upstream;
    size_t holder_count; /* upstreams whose agents hold a receipt */
    struct sl_name holders[Sl_MAX_RECEIPT_HOLDERS];
};

/* A rating requested after the answer was forwarded, for statistics only. The
 * members are copies of the request's, which has ended. */
struct sl_background_rating {
    uint64_t token; /* as Sl_EVENT_RATED carries it */
    struct sl_name team;
    struct sl_name kind;
    struct sl_name version;  /* that gave the answer */
    struct sl_name upstream; /* that ran the version */
    double quality;          /* target quality of the request */
};

struct sl_bills;
struct sl_pins;

struct sl_entry {
    GHashTable *requests;        /* seq -> struct sl_request, owned */
    GHashTable *request_by_conn; /* conn -> struct sl_request */
    GHashTable *request_by_bill; /* bill key -> struct sl_request */
    /* token -> struct sl_background_rating, owned */
    GHashTable *background_ratings;
    uint64_t last_seq;
    bool stopped_accepting; /* draining, and the grace period is over */
    struct sl_token_bucket retry_budget;
    struct sl_evidence *evidence; /* on which versions are suspect */
    struct sl_cascade *cascade;   /* statistics of past ratings */
    uint64_t consecutive_rating_failures;
    const struct sl_balancer *balancer;             /* chooses an upstream */
    const struct sl_cascade_policy *cascade_policy; /* chooses a step */
    struct sl_bills *bills;
    struct sl_pins *pins;
};

/* ---- sl_entry.c ---- */

/* The request with this sequence number, or NULL. */
struct sl_request *SlEntry_Find(const struct sl_core *core, uint64_t seq);

/* ---- sl_request.c ---- */

/* An error response to a client. */
struct sl_refusal {
    uint64_t status; /* HTTP status */
    enum sl_outcome outcome;
    int64_t retry_after_us; /* 0: no Retry-After */
    struct sl_name request; /* id; empty if the request was not accepted */
    struct sl_name version; /* empty when no version ran */
};

/* Frees a request at once; see SlRequest_Finish() for one in progress. */
void SlRequest_Free(gpointer request);
/* The request's id as text. */
struct sl_name SlRequest_Name(const struct sl_core *core,
                              const struct sl_request *request);
/* Time until the deadline, in microseconds; negative once it has passed. */
int64_t SlRequest_TimeLeftUs(const struct sl_core *core,
                             const struct sl_request *request);
/* Returns true if the request has a key and is not idempotent, so that only
 * the key's home may run it. */
bool SlRequest_IsKeyed(const struct sl_request *request);
/* Sends a client a complete response, with `err` as a JSON body. */
void SlRequest_Refuse(struct sl_core *core, uint64_t conn,
                      const struct sl_refusal *refusal,
                      const struct sl_error *err);
/* Sends the head of an answer that `version` gave, with outcome "ran". */
void SlRequest_SendHead(struct sl_core *core, struct sl_request *request,
                        uint64_t status, struct sl_str content_type,
                        const struct sl_name *version);
/* Sends the next bytes of a response's body. They are not copied. */
void SlRequest_SendBytes(struct sl_core *core, uint64_t conn,
                         struct sl_str bytes);
/* Ends a response. */
void SlRequest_SendEnd(struct sl_core *core, uint64_t conn);
/* Forgets the client, which disconnected or was answered. */
void SlRequest_DetachClient(struct sl_core *core, struct sl_request *request);
/* Records that the current attempt is no longer outstanding at its agent. */
void SlRequest_ReleasePeer(struct sl_core *core, struct sl_request *request);
/* Answers with an error, or aborts a response that has begun; does nothing if
 * the client is gone. The request itself is not ended. */
void SlRequest_RespondError(struct sl_core *core, struct sl_request *request,
                            uint64_t status, enum sl_outcome outcome,
                            int64_t retry_after_us,
                            const struct sl_error *err);
/* Sends a complete response to the client and ends the request. */
void SlRequest_RespondWhole(struct sl_core *core, struct sl_request *request,
                            const struct sl_upstream_response *response);
/* Ends the request: with the fallback response if there is one and no other
 * response has begun, otherwise with an error. */
void SlRequest_GiveUp(struct sl_core *core, struct sl_request *request,
                      uint64_t status, enum sl_outcome outcome,
                      int64_t retry_after_us, const struct sl_error *err);
/* Ends the request: bills the steps that ran, and frees the request at the
 * next event. */
void SlRequest_Finish(struct sl_core *core, struct sl_request *request);

/* ---- sl_attempt.c ---- */

/* Starts the next attempt. If no upstream can take it, waits for a retry or
 * ends the request. */
void SlAttempt_Start(struct sl_core *core, struct sl_request *request);
/* Returns true if no other version will run the request, however the current
 * answer is rated. */
bool SlAttempt_IsLastStep(const struct sl_request *request);
/* Handles that the current attempt failed: starts another attempt, now or
 * later, or ends the request. `outcome` is what is known about this attempt;
 * `retry_after_us` is 0 if the agent gave none. */
void SlAttempt_HandleFailure(struct sl_core *core, struct sl_request *request,
                             enum sl_outcome outcome, int64_t retry_after_us,
                             const struct sl_error *err);
/* Tells the agent to cancel the current attempt. */
void SlAttempt_Cancel(struct sl_core *core, struct sl_request *request);
/* Handles that the client disconnected or was answered with an error. Ends the
 * request, unless it is not idempotent and an attempt is outstanding: then the
 * request goes on without its client, so that its outcome becomes known and is
 * billed. */
void SlAttempt_Abandon(struct sl_core *core, struct sl_request *request);
/* Callback of the request's deadline timer. */
void SlAttempt_OnDeadline(void *core, uint64_t seq, int64_t now_us);
void SlAttempt_OnHead(struct sl_core *core, const struct sl_peer *peer,
                      const struct sl_msg_head *head);
void SlAttempt_OnChunk(struct sl_core *core, const struct sl_peer *peer,
                       const struct sl_msg_chunk *chunk);
void SlAttempt_OnEnd(struct sl_core *core, const struct sl_peer *peer,
                     const struct sl_msg_end *end);
void SlAttempt_OnFail(struct sl_core *core, const struct sl_peer *peer,
                      const struct sl_msg_fail *fail);

/* ---- sl_ratings.c ---- */

/* Returns true if the request's answer can be rated. */
bool SlRatings_IsPossible(const struct sl_core *core,
                          const struct sl_request *request);
/* Asks for a rating of the request's answer. Returns the token that
 * Sl_EVENT_RATED will carry. */
uint64_t SlRatings_Request(struct sl_core *core,
                           const struct sl_request *request);
/* Asks for a rating of an answer that was already forwarded to the client, for
 * statistics only. */
void SlRatings_RequestInBackground(struct sl_core *core,
                                   const struct sl_request *request);
void SlRatings_OnRated(struct sl_core *core, const struct sl_event *event);

/* ---- sl_plan.c ---- */

/* Sets the request's steps from its selector; plain services have none. Fails
 * if no version that the selector allows is in service. */
enum sl_errno SlPlan_FillSteps(struct sl_core *core,
                               struct sl_request *request,
                               const struct sl_selector *selector,
                               struct sl_error *err);
/* The version for a new session: the first one expected to meet the request's
 * quality. */
struct sl_name SlPlan_VersionForSession(struct sl_core *core,
                                        const struct sl_request *request);
/* Chooses the request's next step, `first` or a later one, by the cascade
 * policy. */
void SlPlan_ChooseStep(struct sl_core *core, struct sl_request *request,
                       size_t first);
/* Expected share of a version's answers that are accepted for this request. */
double SlPlan_PassRate(const struct sl_core *core,
                       const struct sl_request *request,
                       const struct sl_name *version);
/* Chooses the agent for the next attempt. If no upstream can run the version
 * of the current step, sets the request's step to a later one that can run.
 * Returns NULL if there is no agent, with the reason in `err`. */
struct sl_peer *SlPlan_ChooseUpstream(struct sl_core *core,
                                      struct sl_request *request,
                                      struct sl_error *err);

/* ---- sl_pins.c ---- */

void SlPins_Start(struct sl_core *core);
void SlPins_Free(struct sl_core *core);
/* Binds the request to its session's version and starts its first attempt, at
 * once if the pin is cached, otherwise after a lookup at the agents that store
 * it. */
void SlPins_Resolve(struct sl_core *core, struct sl_request *request);
void SlPins_OnPin(struct sl_core *core, const struct sl_peer *peer,
                  const struct sl_msg_pin *pin);
/* Number of pins in the cache. */
size_t SlPins_Count(const struct sl_core *core);

/* ---- sl_bills.c ---- */

void SlBills_Start(struct sl_core *core);
void SlBills_Free(struct sl_core *core);
/* Returns true if so many bills wait for the log that the entry must not
 * accept requests. */
bool SlBills_IsFull(const struct sl_core *core);
/* Returns true if no bill waits for the log. */
bool SlBills_IsEmpty(const struct sl_core *core);
/* Adds a bill to append to the log. `holders` are the upstreams whose agents
 * hold a receipt and are notified once the bill is in the log. If a bill with
 * the same key is pending, only the holders are added to that one. */
void SlBills_Add(struct sl_core *core, const struct sl_msg_receipt *bill,
                 const struct sl_name *holders, size_t holder_count);
/* Bills a run whose entry has disconnected or did not bill it in time, from
 * the receipt that the agent offers. */
void SlBills_OnReceipt(struct sl_core *core, const struct sl_peer *peer,
                       const struct sl_msg_receipt *receipt);
void SlBills_OnAppended(struct sl_core *core, const struct sl_event *event);
void SlBills_OnRead(struct sl_core *core, const struct sl_event *event);
void SlBills_Dump(const struct sl_core *core, struct sl_buf *out);

#endif
