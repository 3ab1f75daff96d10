/*
 * Shared by the files of the entry role.
 *
 * sl_entry.c    accepting requests, the role's events
 * sl_plan.c     which versions, which upstream
 * sl_attempt.c  attempts at agents, retries, deadlines
 * sl_ratings.c  ratings, and what follows from them
 * sl_request.c  answers to callers, the end of a request
 * sl_pins.c     the version that a session keeps
 * sl_bills.c    bills, in batches, to the log
 */
#ifndef Sl_ENTRY_INTERNAL_H
#define Sl_ENTRY_INTERNAL_H

#include "sl_core_internal.h"

#define Sl_MAX_STEPS Sl_MAX_CASCADE
#define Sl_MAX_TRIED_UPSTREAMS 8
#define Sl_MAX_RECEIPT_HOLDERS 8

/* ---- requests ---- */

enum sl_request_state {
    Sl_REQUEST_PINNING, /* the session's version is being looked up */
    Sl_REQUEST_WAITING, /* for a timer, before the next attempt */
    Sl_REQUEST_RUNNING, /* an attempt is out */
    Sl_REQUEST_RATING,  /* its answer is being rated */
};

/* An answer that is held back until it was rated. */
struct sl_answer {
    uint64_t status;
    struct sl_name content_type;
    struct sl_name version;
    struct sl_buf body;
};

struct sl_request {
    uint64_t seq;
    uint64_t conn; /* 0 when the caller is gone or was answered */
    enum sl_request_state state;
    struct sl_facets facets;
    struct sl_name key;
    struct sl_name bill;
    struct sl_buf method;
    struct sl_buf path;
    struct sl_buf content_type;
    struct sl_buf body;
    int64_t issued_ms;
    int64_t accepted_ms; /* wall clock */
    int64_t deadline_us;
    uint64_t deadline_timer;
    uint64_t retry_timer;
    /* traits of its selector */
    struct sl_name service;
    bool engine;
    bool idempotent;
    bool may_wait;
    double quality;
    /* versions that may run it, in order; empty for plain services */
    size_t step_count;
    struct sl_name steps[Sl_MAX_STEPS];
    size_t step;
    bool pinned; /* bound to its version: no other step follows */
    /* the attempt that is out */
    uint64_t attempt;
    uint64_t peer_id; /* 0: none */
    struct sl_name upstream;
    bool streams; /* the answer is passed on as it comes */
    bool head_sent;
    bool may_have_run; /* an attempt of it ended without proof */
    bool key_not_run;  /* its home proved that the key was not run */
    uint64_t received; /* bytes of the answer so far */
    struct sl_answer answer;
    struct sl_answer held; /* of an earlier step, kept as a fallback */
    bool has_held;
    uint64_t rate_token;
    /* upstreams that refused since the last pause */
    size_t tried_count;
    struct sl_name tried[Sl_MAX_TRIED_UPSTREAMS];
    /* what will be billed */
    bool ran; /* a step ran to its end */
    uint64_t tokens;
    int64_t cost_micros;
    struct sl_name billed_version;
    struct sl_name billed_upstream;
    size_t holder_count; /* upstreams that hold a receipt */
    struct sl_name holders[Sl_MAX_RECEIPT_HOLDERS];
};

/* A rating that was asked for after its answer had been passed on. */
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
    GHashTable *late;     /* token -> struct sl_background_rating, owned */
    uint64_t last_seq;
    bool closed; /* draining, and takes no more requests */
    struct sl_budget retries;
    struct sl_evidence *evidence;
    struct sl_cascade *cascade;
    uint64_t ratings_failed; /* in a row */
    const struct sl_chooser *chooser;
    const struct sl_cascade_rule *rule;
    struct sl_bills *bills;
    struct sl_pins *pins;
};

/* ---- sl_entry.c ---- */

struct sl_request *SlEntry_Find(const struct sl_core *core, uint64_t seq);

/* ---- sl_request.c ---- */

/* A refusal, as its caller sees it. */
struct sl_refusal {
    uint64_t status;
    enum sl_outcome outcome;
    int64_t retry_after_us;
    struct sl_name request;
    struct sl_name version;
};

void SlRequest_Free(gpointer request);
struct sl_name SlRequest_Name(const struct sl_core *core,
                              const struct sl_request *request);
int64_t SlRequest_TimeLeft(const struct sl_core *core,
                           const struct sl_request *request);
/* Not idempotent, and with a key: bound to the key's home. */
bool SlRequest_IsKeyed(const struct sl_request *request);
/* Answers a caller with a JSON error. */
void SlRequest_Refuse(struct sl_core *core, uint64_t conn,
                      const struct sl_refusal *refusal,
                      const struct sl_error *err);
void SlRequest_SendHead(struct sl_core *core, struct sl_request *request,
                        uint64_t status, struct sl_str content_type,
                        const struct sl_name *version);
void SlRequest_SendBytes(struct sl_core *core, uint64_t conn,
                         struct sl_str bytes);
void SlRequest_SendEnd(struct sl_core *core, uint64_t conn);
void SlRequest_DetachClient(struct sl_core *core, struct sl_request *request);
/* Its attempt is no longer out. */
void SlRequest_ReleasePeer(struct sl_core *core, struct sl_request *request);
/* Answers with an error, or cuts a stream that has begun. */
void SlRequest_AnswerError(struct sl_core *core, struct sl_request *request,
                           uint64_t status, enum sl_outcome outcome,
                           int64_t retry_after_us, const struct sl_error *err);
/* Returns a whole answer and ends the request. */
void SlRequest_AnswerWhole(struct sl_core *core, struct sl_request *request,
                           const struct sl_answer *answer);
/* Ends the request with the answer of an earlier step, or an error. */
void SlRequest_GiveUp(struct sl_core *core, struct sl_request *request,
                      uint64_t status, enum sl_outcome outcome,
                      int64_t retry_after_us, const struct sl_error *err);
/* Bills what ran and forgets the request. */
void SlRequest_Finish(struct sl_core *core, struct sl_request *request);

/* ---- sl_attempt.c ---- */

/* Starts the next attempt, or answers when there can be none. */
void SlAttempt_Start(struct sl_core *core, struct sl_request *request);
/* No other version follows, whatever the answer is rated. */
bool SlAttempt_IsLastStep(const struct sl_request *request);
void SlAttempt_Failed(struct sl_core *core, struct sl_request *request,
                      enum sl_outcome outcome, int64_t retry_after_us,
                      const struct sl_error *err);
void SlAttempt_Cancel(struct sl_core *core, struct sl_request *request);
/* The caller is gone or was answered. */
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

bool SlRatings_IsPossible(const struct sl_core *core,
                          const struct sl_request *request);
/* Asks for a rating of the request's answer. Returns the token. */
uint64_t SlRatings_Ask(struct sl_core *core, const struct sl_request *request);
/* Rates an answer that was passed on, for what is learned from it. */
void SlRatings_AskInBackground(struct sl_core *core,
                               const struct sl_request *request);
void SlRatings_OnRated(struct sl_core *core, const struct sl_event *event);

/* ---- sl_plan.c ---- */

/* Fills the request's steps from its selector. Fails when no version that the
 * selector allows is in service. */
enum sl_errno SlPlan_FillSteps(struct sl_core *core,
                               struct sl_request *request,
                               const struct sl_selector *selector,
                               struct sl_error *err);
/* The version that a new session would get. */
struct sl_name SlPlan_VersionForSession(struct sl_core *core,
                                        const struct sl_request *request);
/* Sets the step at which the cascade goes on: `first` or a later one. */
void SlPlan_ChooseStep(struct sl_core *core, struct sl_request *request,
                       size_t first);
/* Expected share of accepted answers of a version for this request. */
double SlPlan_PassRate(const struct sl_core *core,
                       const struct sl_request *request,
                       const struct sl_name *version);
/* The agent for the next attempt, or NULL with the reason in `err`. */
struct sl_peer *SlPlan_ChooseUpstream(struct sl_core *core,
                                      struct sl_request *request,
                                      struct sl_error *err);

/* ---- sl_pins.c ---- */

void SlPins_Start(struct sl_core *core);
void SlPins_Free(struct sl_core *core);
/* Binds the request to its session's version, now or later, and then
 * dispatches it. */
void SlPins_Resolve(struct sl_core *core, struct sl_request *request);
void SlPins_OnPin(struct sl_core *core, const struct sl_peer *peer,
                  const struct sl_msg_pin *pin);
size_t SlPins_Count(const struct sl_core *core);

/* ---- sl_bills.c ---- */

void SlBills_Start(struct sl_core *core);
void SlBills_Free(struct sl_core *core);
/* True when no more requests may be taken until bills are in the log. */
bool SlBills_IsFull(const struct sl_core *core);
bool SlBills_IsEmpty(const struct sl_core *core);
void SlBills_Add(struct sl_core *core, const struct sl_msg_receipt *bill,
                 const struct sl_name *holders, size_t holder_count);
void SlBills_OnReceipt(struct sl_core *core, const struct sl_peer *peer,
                       const struct sl_msg_receipt *receipt);
void SlBills_OnAppended(struct sl_core *core, const struct sl_event *event);
void SlBills_OnRead(struct sl_core *core, const struct sl_event *event);
void SlBills_Dump(const struct sl_core *core, struct sl_buf *out);

#endif
