/*
 * Shared by the files of the entry role.
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

#define Sl_MAX_STEPS Sl_MAX_CASCADE_STEPS
#define Sl_MAX_TRIED_UPSTREAMS 8
#define Sl_MAX_RECEIPT_HOLDERS 8

/* ---- requests ---- */

enum sl_request_state {
    Sl_REQUEST_PINNING, /* the session's version is being looked up */
    Sl_REQUEST_WAITING, /* for the retry timer, before the next attempt */
    Sl_REQUEST_RUNNING, /* an attempt is outstanding */
    Sl_REQUEST_RATING,  /* the answer is being rated */
};

/* A response of an upstream, complete or partial. */
struct sl_upstream_response {
    uint64_t status;
    struct sl_name content_type;
    struct sl_name version;
    struct sl_buf body;
};

/* A client's request, from its acceptance until it is billed. */
struct sl_request {
    uint64_t seq;
    uint64_t conn; /* 0 once the client disconnected or was answered */
    enum sl_request_state state;
    struct sl_request_attributes attributes;
    struct sl_name key;
    struct sl_name bill;
    struct sl_buf method;
    struct sl_buf path;
    struct sl_buf content_type;
    struct sl_buf body;
    int64_t issued_ms;   /* wall clock of the client; 0: not given */
    int64_t accepted_ms; /* wall clock */
    int64_t deadline_us;
    uint64_t deadline_timer;
    uint64_t retry_timer;
    /* Copied from the request's selector. */
    struct sl_name service;
    bool engine;
    bool idempotent;
    bool may_wait;
    double quality; /* target quality of answers, 0 to 1 */
    /* Versions that may run it, in the order of the cascade; empty for plain
     * services. */
    size_t step_count;
    struct sl_name steps[Sl_MAX_STEPS];
    size_t step;
    bool pinned; /* bound to the version of `step`; no other step follows */
    /* The current attempt. */
    uint64_t attempt;
    uint64_t peer_id; /* 0: none is outstanding */
    struct sl_name upstream;
    bool is_streamed; /* the response is forwarded as it arrives */
    bool head_sent;
    bool may_have_run; /* a failed attempt may have run */
    bool key_not_run;  /* the key's home proved that the key did not run */
    uint64_t received_bytes; /* bytes of the response so far */
    struct sl_upstream_response response;
    /* Rejected response of an earlier step. */
    struct sl_upstream_response fallback;
    bool has_fallback;
    uint64_t rate_token; /* of the outstanding rating; 0: none */
    /* Upstreams at which attempts failed since the last wait. */
    size_t tried_count;
    struct sl_name tried[Sl_MAX_TRIED_UPSTREAMS];
    /* The bill. */
    bool has_run; /* a step ran to completion */
    uint64_t tokens;
    int64_t cost_micros;
    struct sl_name billed_version;
    struct sl_name billed_upstream;
    size_t holder_count; /* upstreams whose agents hold a receipt */
    struct sl_name holders[Sl_MAX_RECEIPT_HOLDERS];
};

/* A rating requested after the answer was forwarded, for statistics only. */
struct sl_background_rating {
    uint64_t token;
    struct sl_name team;
    struct sl_name kind;
    struct sl_name version;
    struct sl_name upstream;
    double quality;
};

struct sl_bills;
struct sl_pins;

struct sl_entry {
    GHashTable *requests; /* seq -> struct sl_request, owned */
    GHashTable *by_conn;  /* conn -> struct sl_request */
    GHashTable *by_bill;  /* bill -> struct sl_request */
    /* token -> struct sl_background_rating, owned */
    GHashTable *background_ratings;
    uint64_t last_seq;
    bool is_closed; /* draining, and accepts no more requests */
    struct sl_token_bucket retry_budget;
    struct sl_evidence *evidence;
    struct sl_cascade *cascade;
    uint64_t ratings_failed; /* consecutive */
    const struct sl_balancer *balancer;
    const struct sl_cascade_policy *cascade_policy;
    struct sl_bills *bills;
    struct sl_pins *pins;
};

/* ---- sl_entry.c ---- */

/* The request with this sequence number, or NULL. */
struct sl_request *SlEntry_Find(const struct sl_core *core, uint64_t seq);

/* ---- sl_request.c ---- */

/* An error response to a client. */
struct sl_refusal {
    uint64_t status;
    enum sl_outcome outcome;
    int64_t retry_after_us;
    struct sl_name request;
    struct sl_name version;
};

void SlRequest_Free(gpointer request);
/* The request's id as text. */
struct sl_name SlRequest_Name(const struct sl_core *core,
                              const struct sl_request *request);
/* Time until the deadline, in microseconds. */
int64_t SlRequest_TimeLeftUs(const struct sl_core *core,
                             const struct sl_request *request);
/* Returns true if the request has a key and is not idempotent, so that only
 * the key's home may run it. */
bool SlRequest_IsKeyed(const struct sl_request *request);
/* Sends a client a complete response with `err` as JSON. */
void SlRequest_Refuse(struct sl_core *core, uint64_t conn,
                      const struct sl_refusal *refusal,
                      const struct sl_error *err);
void SlRequest_SendHead(struct sl_core *core, struct sl_request *request,
                        uint64_t status, struct sl_str content_type,
                        const struct sl_name *version);
void SlRequest_SendBytes(struct sl_core *core, uint64_t conn,
                         struct sl_str bytes);
void SlRequest_SendEnd(struct sl_core *core, uint64_t conn);
/* Forgets the client, which disconnected or was answered. */
void SlRequest_DetachClient(struct sl_core *core, struct sl_request *request);
/* Records that the current attempt is no longer outstanding at its agent. */
void SlRequest_ReleasePeer(struct sl_core *core, struct sl_request *request);
/* Answers with an error, or aborts a response that has begun. The request
 * goes on without its client. */
void SlRequest_RespondError(struct sl_core *core, struct sl_request *request,
                            uint64_t status, enum sl_outcome outcome,
                            int64_t retry_after_us,
                            const struct sl_error *err);
/* Sends a complete response to the client and ends the request. */
void SlRequest_RespondWhole(struct sl_core *core, struct sl_request *request,
                            const struct sl_upstream_response *response);
/* Ends the request with the fallback response if there is one, otherwise with
 * an error. */
void SlRequest_GiveUp(struct sl_core *core, struct sl_request *request,
                      uint64_t status, enum sl_outcome outcome,
                      int64_t retry_after_us, const struct sl_error *err);
/* Bills the steps that ran, and frees the request at the next event. */
void SlRequest_Finish(struct sl_core *core, struct sl_request *request);

/* ---- sl_attempt.c ---- */

/* Starts the next attempt. If no upstream can take it, waits for a retry or
 * ends the request. */
void SlAttempt_Start(struct sl_core *core, struct sl_request *request);
/* Returns true if no other version follows, however the answer is rated. */
bool SlAttempt_IsLastStep(const struct sl_request *request);
/* Handles an attempt that failed: retries it, waits, or ends the request. */
void SlAttempt_HandleFailure(struct sl_core *core, struct sl_request *request,
                             enum sl_outcome outcome, int64_t retry_after_us,
                             const struct sl_error *err);
/* Tells the agent to cancel the current attempt. */
void SlAttempt_Cancel(struct sl_core *core, struct sl_request *request);
/* Handles that the client disconnected or was answered with an error. */
void SlAttempt_Abandon(struct sl_core *core, struct sl_request *request);
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
/* Asks for a rating of the request's answer. Returns the token. */
uint64_t SlRatings_Request(struct sl_core *core,
                           const struct sl_request *request);
/* Has an answer that was already forwarded rated, for statistics only. */
void SlRatings_RequestInBackground(struct sl_core *core,
                                   const struct sl_request *request);
void SlRatings_OnRated(struct sl_core *core, const struct sl_event *event);

/* ---- sl_plan.c ---- */

/* Sets the request's steps from its selector. Fails if no version that the
 * selector allows is in service. */
enum sl_errno SlPlan_FillSteps(struct sl_core *core,
                               struct sl_request *request,
                               const struct sl_selector *selector,
                               struct sl_error *err);
/* The version for a new session: the first one expected to meet the request's
 * quality. */
struct sl_name SlPlan_VersionForSession(struct sl_core *core,
                                        const struct sl_request *request);
/* Sets the step at which the cascade continues: `first` or a later one. */
void SlPlan_ChooseStep(struct sl_core *core, struct sl_request *request,
                       size_t first);
/* Expected share of a version's answers that are accepted for this request. */
double SlPlan_PassRate(const struct sl_core *core,
                       const struct sl_request *request,
                       const struct sl_name *version);
/* Chooses the agent for the next attempt, and sets the request's step.
 * Returns NULL if there is none, with the reason in `err`. */
struct sl_peer *SlPlan_ChooseUpstream(struct sl_core *core,
                                      struct sl_request *request,
                                      struct sl_error *err);

/* ---- sl_pins.c ---- */

void SlPins_Start(struct sl_core *core);
void SlPins_Free(struct sl_core *core);
/* Binds the request to its session's version and starts its first attempt, at
 * once if the pin is cached, otherwise after a lookup. */
void SlPins_Resolve(struct sl_core *core, struct sl_request *request);
void SlPins_OnPin(struct sl_core *core, const struct sl_peer *peer,
                  const struct sl_msg_pin *pin);
size_t SlPins_Count(const struct sl_core *core);

/* ---- sl_bills.c ---- */

void SlBills_Start(struct sl_core *core);
void SlBills_Free(struct sl_core *core);
/* Returns true if so many bills wait for the log that the entry must not
 * accept requests. */
bool SlBills_IsFull(const struct sl_core *core);
bool SlBills_IsEmpty(const struct sl_core *core);
/* Adds a bill to append to the log, and upstreams to notify once it is in the
 * log. A bill with the key of a pending one only adds its holders. */
void SlBills_Add(struct sl_core *core, const struct sl_msg_receipt *bill,
                 const struct sl_name *holders, size_t holder_count);
void SlBills_OnReceipt(struct sl_core *core, const struct sl_peer *peer,
                       const struct sl_msg_receipt *receipt);
void SlBills_OnAppended(struct sl_core *core, const struct sl_event *event);
void SlBills_OnRead(struct sl_core *core, const struct sl_event *event);
void SlBills_Dump(const struct sl_core *core, struct sl_buf *out);

#endif
