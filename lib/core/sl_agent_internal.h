/*
 * Shared by the files of the agent role.
 *
 * A request that is not idempotent and has an idempotency key runs at most
 * once per key. For each key, one upstream of the service is its home, and
 * only the home's agent may run requests with that key. The configuration
 * record `home/SERVICE` lists the upstreams (members) among which the home of
 * a key is chosen; a new record moves homes between agents. An agent acts as
 * home only while it has a quorum: a majority of the members has confirmed
 * recently that the agent's record is the newest one that they know.
 *
 * sl_agent.c       dispatch of the role's events
 * sl_run.c         runs: attempts of requests, from admission to the response
 * sl_status.c      reads the upstream's load and reports it to entries
 * sl_keyed_runs.c  decides whether a request with a key may run here
 * sl_keys.c        table of the keys whose requests ran or were refused
 * sl_home_moves.c  moves of homes: quorum, completion, proposals
 * sl_receipts.c    receipts of runs that are not known to be billed
 * sl_orders.c      orders to the engine: load and unload versions
 * sl_pin_store.c   session pins, stored for entries
 */
#ifndef Sl_AGENT_INTERNAL_H
#define Sl_AGENT_INTERNAL_H

#include "sl_core_internal.h"

/* ---- runs ---- */

/* One attempt of a request at this agent. */
struct sl_run {
    uint64_t token;      /* identifies the run and its call of the upstream */
    uint64_t peer_id;    /* the entry's connection; 0 once it is closed */
    uint64_t entry_boot; /* of the process that accepted the request */
    struct sl_msg_run msg; /* its strings point into the buffers below */
    struct sl_buf method;
    struct sl_buf path;
    struct sl_buf content_type;
    struct sl_buf body;
    int64_t deadline_us;
    int64_t priority; /* 0, the most urgent, to Sl_PRIORITY_MAX */
    bool idempotent;
    bool keyed;  /* has a key and is not idempotent: runs at most once */
    bool queued; /* waits in the agent's queue */
    int64_t call_sent_us; /* when the run was sent to the upstream */
    bool head_sent;       /* the response's head was sent to the entry */
    uint64_t status;      /* HTTP status of the response; 0: none yet */
    struct sl_name response_content_type;
    uint64_t response_bytes; /* bytes of the response so far */
    /* Keyed runs only: the response, to return it when the key is resent. It
     * is shorter than `response_bytes` if it exceeds Sl_BODY_MAX_BYTES. */
    struct sl_buf response_body;
};

struct sl_keys;
struct sl_home_moves;
struct sl_receipts;
struct sl_orders;
struct sl_pin_store;

struct sl_agent {
    GHashTable *runs;           /* token -> struct sl_run, owned */
    GHashTable *run_by_attempt; /* id and attempt -> struct sl_run */
    size_t calls_in_flight;     /* runs sent to the upstream and not ended */
    struct sl_queue *queue;     /* runs that wait for the limit */
    struct sl_limit limit;      /* on `calls_in_flight` */
    int64_t service_time_us;    /* smoothed time of a call; 0: unknown */
    int64_t last_done_us;       /* when a call last succeeded */
    GHashTable *versions;       /* name -> struct sl_version_counts, owned */
    bool is_reading_load;       /* a read of the load is outstanding */
    bool has_load;              /* `load` is valid */
    int64_t load_us;            /* when `load` was asked for */
    int64_t load_asked_us;      /* when the last read was asked for */
    struct sl_load_report load; /* last load report of the upstream */
    struct sl_keys *keys;
    struct sl_home_moves *moves;
    struct sl_receipts *receipts;
    struct sl_orders *orders;
    struct sl_pin_store *pins;
};

/* ---- sl_agent.c ---- */

/* The configuration of this agent's upstream, or NULL. */
const struct sl_upstream *SlAgent_Upstream(const struct sl_core *core);
/* Returns true if the upstream's last load report is recent enough that it may
 * get new work. */
bool SlAgent_HasFreshLoad(const struct sl_core *core);
/* Returns true if a run of the version is queued or running. */
bool SlAgent_HasRunsOf(const struct sl_core *core,
                       const struct sl_name *version);
/* Returns true if the engine's last load report lists the version as loaded.
 */
bool SlAgent_HasLoaded(const struct sl_agent *agent,
                       const struct sl_name *version);
/* The cumulative counts of a version at this agent; never NULL. */
struct sl_version_counts *SlAgent_VersionCounts(struct sl_agent *agent,
                                                const struct sl_name *version);

/* ---- sl_run.c ---- */

/* Frees a run at once. */
void SlRun_Free(gpointer run);
/* Hash and equality functions of `struct sl_msg_run`, by request id and
 * attempt. */
guint SlRun_Hash(gconstpointer run);
gboolean SlRun_Equal(gconstpointer a, gconstpointer b);
void SlRun_OnRun(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_run *msg);
void SlRun_OnCancel(struct sl_core *core, const struct sl_msg_cancel *cancel);
void SlRun_OnPeerDown(struct sl_core *core, struct sl_peer *peer);
void SlRun_OnCallHead(struct sl_core *core, const struct sl_event *event);
void SlRun_OnCallChunk(struct sl_core *core, const struct sl_event *event);
void SlRun_OnCallDone(struct sl_core *core, const struct sl_event *event);
/* Sends queued runs to the upstream as far as its limit allows. */
void SlRun_StartQueued(struct sl_core *core);
/* Refuses all queued runs; called when draining starts. */
void SlRun_RefuseQueued(struct sl_core *core);

/* ---- sl_status.c ---- */

/* Starts reading the load and reporting it to entries periodically. */
void SlStatus_Start(struct sl_core *core);
void SlStatus_OnLoad(struct sl_core *core, const struct sl_event *event);
void SlStatus_OnRated(struct sl_core *core, const struct sl_msg_rated *rated);
/* Reports this agent's status to one entry. */
void SlStatus_Send(struct sl_core *core, const struct sl_peer *peer);
/* Reports this agent's status to all connected entries. */
void SlStatus_SendAll(struct sl_core *core);

/* ---- sl_keyed_runs.c ---- */

/* A client may submit requests with the same key several times; the agent gets
 * a run for each submission. "The key ran" means that the upstream ran one of
 * them. */
enum sl_keyed_run_verdict {
    /* No submission of the key has run, and this agent may run this one. */
    Sl_KEYED_RUN_ALLOWED,
    /* This agent may not run the key. Whether the key ran is not known. */
    Sl_KEYED_RUN_INELIGIBLE,
    /* The key was refused before and has not run. This submission was accepted
     * before that refusal and must not run; a later one may. */
    Sl_KEYED_RUN_REFUSED,
    Sl_KEYED_RUN_UNKNOWN, /* the key is running or may have run */
    Sl_KEYED_RUN_DONE,    /* the key ran, and its response is stored */
};

/* Marks the run's key as refused, so that no submission accepted before now
 * runs later. Returns false, with no effect, if this agent cannot guarantee
 * that: the key may have run, the agent is not its home or lacks a quorum, or
 * the table of keys is full. */
bool SlKeyedRuns_Refuse(struct sl_core *core, const struct sl_run *run);
/* The stored response of a key that ran. */
struct sl_key_response {
    uint64_t status; /* HTTP status */
    struct sl_name content_type;
    struct sl_str body; /* points into the table of keys */
    uint64_t tokens;
};

void SlKeyedRuns_Start(struct sl_core *core);
void SlKeyedRuns_Free(struct sl_core *core);
/* Decides whether a keyed run that arrived may run; changes nothing. Sets
 * `response` for Sl_KEYED_RUN_DONE, and `err` for all verdicts but
 * Sl_KEYED_RUN_ALLOWED and Sl_KEYED_RUN_DONE. */
enum sl_keyed_run_verdict SlKeyedRuns_Check(struct sl_core *core,
                                            const struct sl_run *run,
                                            struct sl_key_response *response,
                                            struct sl_error *err);
/* The last check before the run is sent to the upstream: this agent must
 * still be the key's home with a quorum, and no other submission of the key
 * may have run meanwhile. Marks the key as running. */
enum sl_errno SlKeyedRuns_Begin(struct sl_core *core, const struct sl_run *run,
                                struct sl_error *err);
/* The upstream proved that it did not run the request: marks the key as
 * refused, so that a later submission of it may run. */
void SlKeyedRuns_OnNotRun(struct sl_core *core, const struct sl_run *run);
/* The outcome of the run is unknown: marks the key, so that it does not run
 * again. */
void SlKeyedRuns_OnUnknown(struct sl_core *core, const struct sl_run *run);
/* The run completed: marks the key as done, and stores the response, which is
 * returned when the key is submitted again. */
void SlKeyedRuns_OnDone(struct sl_core *core, const struct sl_run *run,
                        uint64_t tokens);

/* ---- sl_keys.c ---- */

enum sl_key_state {
    Sl_KEY_RUNNING, /* a run of the key was sent to the upstream */
    Sl_KEY_DONE,    /* ran to completion */
    Sl_KEY_UNKNOWN, /* the run failed and may have taken effect */
    Sl_KEY_REFUSED, /* no submission of the key has run */
};

/* Keys of different teams are independent. */
struct sl_key_id {
    struct sl_name team;
    struct sl_name key; /* the client's Idempotency-Key */
};

struct sl_key {
    struct sl_key_id id;
    enum sl_key_state state;
    int64_t state_changed_ms; /* wall clock of the last change of state */
    /* Of the response to a key that is done. */
    uint64_t status; /* HTTP status */
    struct sl_name content_type;
    struct sl_buf body;
    bool has_response; /* the whole response is in `body` */
    uint64_t tokens;
};

struct sl_keys *SlKeys_New(void);
void SlKeys_Free(struct sl_keys *keys);
/* The run's key, or NULL. */
struct sl_key *SlKeys_Find(const struct sl_keys *keys,
                           const struct sl_msg_run *run);
/* Sets the state of the run's key, adding the key if it is new. `now_ms` is
 * the wall clock. Returns the key, which the table owns. */
struct sl_key *SlKeys_Put(struct sl_keys *keys, const struct sl_msg_run *run,
                          enum sl_key_state state, int64_t now_ms);
/* Stores a complete response in `key` if the table has room for it. */
void SlKeys_StoreResponse(struct sl_keys *keys, struct sl_key *key,
                          struct sl_str response);
/* Removes keys that are not running and whose state has not changed for
 * Sl_KEY_LIFETIME_MS. */
void SlKeys_Expire(struct sl_keys *keys, int64_t now_ms);
/* Returns true if no new key may be added. */
bool SlKeys_IsFull(const struct sl_keys *keys);
size_t SlKeys_Count(const struct sl_keys *keys);

/* ---- sl_home_moves.c ---- */

void SlHomeMoves_Start(struct sl_core *core);
void SlHomeMoves_Free(struct sl_core *core);
void SlHomeMoves_OnConfig(struct sl_core *core);
void SlHomeMoves_OnProbe(struct sl_core *core, const struct sl_peer *peer,
                         const struct sl_msg_probe *probe);
void SlHomeMoves_OnProof(struct sl_core *core, struct sl_peer *peer,
                         const struct sl_msg_proof *proof);
void SlHomeMoves_OnAppended(struct sl_core *core,
                            const struct sl_event *event);
void SlHomeMoves_Dump(const struct sl_core *core, struct sl_buf *out);
/* The newest home record that this agent has applied; its revision is 0 when
 * there is none. */
const struct sl_home *SlHomeMoves_Home(const struct sl_core *core);
/* Returns true if a majority of the record's members confirmed, within
 * Sl_FRESHNESS_LIMIT_US, that they know no later record. */
bool SlHomeMoves_HasQuorum(const struct sl_core *core);
/* Wall clock, in ms since the epoch, at which this agent began to act as the
 * key's home, plus Sl_CLOCK_SKEW_MS: a key that a client issued after that
 * time cannot have run at an earlier home, so this agent's table of keys tells
 * whether it ran. INT64_MAX while the agent may not act as home. */
int64_t SlHomeMoves_KeysCoveredFrom(const struct sl_core *core,
                                    const struct sl_name *key);

/* ---- sl_receipts.c ---- */

void SlReceipts_Start(struct sl_core *core);
void SlReceipts_Free(struct sl_core *core);
/* Returns true if so many receipts wait to be billed that the agent must not
 * start runs. */
bool SlReceipts_IsFull(const struct sl_core *core);
size_t SlReceipts_Count(const struct sl_core *core);
/* Adds a receipt for a run that used `tokens`; runs with the same bill are
 * added up in one receipt. */
void SlReceipts_Add(struct sl_core *core, const struct sl_run *run,
                    uint64_t tokens);
/* Removes the receipt of a bill that is in the log. */
void SlReceipts_OnBilled(struct sl_core *core, const struct sl_name *bill);

/* ---- sl_orders.c ---- */

void SlOrders_Start(struct sl_core *core);
void SlOrders_Free(struct sl_core *core);
/* Compares the versions that the engine has with those that it should have,
 * and orders at most one change, if the agent may send orders now. */
void SlOrders_Reconcile(struct sl_core *core);
void SlOrders_OnDone(struct sl_core *core, const struct sl_event *event);
/* Returns true if the engine should have this version. */
bool SlOrders_IsWanted(const struct sl_core *core,
                       const struct sl_version *version);

/* ---- sl_pin_store.c ---- */

void SlPinStore_Start(struct sl_core *core);
void SlPinStore_Free(struct sl_core *core);
size_t SlPinStore_Count(const struct sl_core *core);
/* Answers an entry with the stored pin of a session, or with none. */
void SlPinStore_OnAsk(struct sl_core *core, const struct sl_peer *peer,
                      const struct sl_msg_pin *pin);
/* Stores the entry's pin if the session has none that is still valid, and
 * answers with the pin that is then stored. */
void SlPinStore_OnPut(struct sl_core *core, const struct sl_peer *peer,
                      const struct sl_msg_pin *pin);

#endif
