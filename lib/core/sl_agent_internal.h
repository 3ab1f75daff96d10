/*
 * Shared by the files of the agent role.
 *
 * sl_agent.c       dispatch of the role's events
 * sl_run.c         runs: attempts of requests, from admission to the answer
 * sl_status.c      reads the upstream's load and reports it to entries
 * sl_keyed_runs.c  decides whether a key with this home may run
 * sl_keys.c        table of the keys that ran or were refused
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
    uint64_t token;
    uint64_t peer_id; /* the entry's connection; 0 once it is closed */
    uint64_t entry_boot;
    struct sl_msg_run msg; /* its strings point into the buffers below */
    struct sl_buf method;
    struct sl_buf path;
    struct sl_buf content_type;
    struct sl_buf body;
    int64_t deadline_us;
    int64_t priority;
    bool idempotent;
    bool keyed; /* has a key and is not idempotent: runs at most once */
    bool queued;
    int64_t sent_us; /* when it was sent to the upstream */
    bool head_sent;
    uint64_t status;
    struct sl_name response_type; /* content type */
    uint64_t response_bytes;      /* bytes of the response so far */
    struct sl_buf response_body;  /* keyed runs only, to answer resends */
};

struct sl_keys;
struct sl_home_moves;
struct sl_receipts;
struct sl_orders;
struct sl_pin_store;

struct sl_agent {
    GHashTable *runs;       /* token -> struct sl_run, owned */
    GHashTable *by_attempt; /* id and attempt -> struct sl_run */
    size_t running;         /* runs sent to the upstream */
    struct sl_queue *queue;
    struct sl_limit limit;
    int64_t service_time_us; /* smoothed; 0: unknown */
    int64_t last_done_us;    /* when a run last succeeded */
    GHashTable *versions;    /* name -> struct sl_version_counts, owned */
    bool is_reading_load;
    bool has_load;
    int64_t load_us;       /* when `load` was requested */
    int64_t load_asked_us; /* when the last read was requested */
    struct sl_load_report load;
    struct sl_keys *keys;
    struct sl_home_moves *moves;
    struct sl_receipts *receipts;
    struct sl_orders *orders;
    struct sl_pin_store *pins;
};

/* ---- sl_agent.c ---- */

/* The configuration of this agent's upstream, or NULL. */
const struct sl_upstream *SlAgent_Upstream(const struct sl_core *core);
/* Returns true if the last load report is recent enough to send new work to
 * the upstream. */
bool SlAgent_HasFreshLoad(const struct sl_core *core);
/* Returns true if a run of the version is queued or running. */
bool SlAgent_HasRunsOf(const struct sl_core *core,
                       const struct sl_name *version);
/* Returns true if the engine has the version, by its last load report. */
bool SlAgent_HasLoaded(const struct sl_agent *agent,
                       const struct sl_name *version);
/* The cumulative counts of a version at this agent; never NULL. */
struct sl_version_counts *SlAgent_VersionCounts(struct sl_agent *agent,
                                                const struct sl_name *version);

/* ---- sl_run.c ---- */

void SlRun_Free(gpointer run);
/* Hash and equality of a run's request id and attempt, for GHashTable. */
guint SlRun_Hash(gconstpointer run);
gboolean SlRun_Equal(gconstpointer a, gconstpointer b);
void SlRun_OnRun(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_run *msg);
void SlRun_OnCancel(struct sl_core *core, const struct sl_msg_cancel *cancel);
void SlRun_OnPeerDown(struct sl_core *core, struct sl_peer *peer);
void SlRun_OnCallHead(struct sl_core *core, const struct sl_event *event);
void SlRun_OnCallChunk(struct sl_core *core, const struct sl_event *event);
void SlRun_OnCallDone(struct sl_core *core, const struct sl_event *event);
/* Starts queued runs as far as the upstream's limit allows. */
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

enum sl_keyed_run_verdict {
    Sl_KEYED_RUN_ALLOWED, /* the key has not run, and this agent is its home */
    Sl_KEYED_RUN_INELIGIBLE, /* this agent may not run the key; others may have
                              */
    Sl_KEYED_RUN_REFUSED,    /* the key was refused before and has not run */
    Sl_KEYED_RUN_UNKNOWN,    /* the key may have run */
    Sl_KEYED_RUN_DONE,       /* the key ran; the response is in the table */
};

/* Marks the run's key as refused if SlKeyedRuns_Check() would let it run, so
 * that no submission accepted before now runs later. Returns false if this
 * agent cannot guarantee that, because the key may have run, the agent is not
 * its home or lacks a quorum, or the table of keys is full. */
bool SlKeyedRuns_Refuse(struct sl_core *core, const struct sl_run *run);
/* The stored response of a key that ran; points into the table. */
struct sl_key_response {
    uint64_t status;
    struct sl_name content_type;
    struct sl_str body;
    uint64_t tokens;
};

void SlKeyedRuns_Start(struct sl_core *core);
void SlKeyedRuns_Free(struct sl_core *core);
/* Decides whether a keyed run that arrives may run. Sets `response` for
 * Sl_KEYED_RUN_DONE, and `err` for all verdicts but Sl_KEYED_RUN_ALLOWED and
 * Sl_KEYED_RUN_DONE. */
enum sl_keyed_run_verdict SlKeyedRuns_Check(struct sl_core *core,
                                            const struct sl_run *run,
                                            struct sl_key_response *response,
                                            struct sl_error *err);
/* The last check before the run is sent to the upstream: this agent must
 * still be the key's home with a fresh quorum. Marks the key as running. */
enum sl_errno SlKeyedRuns_Begin(struct sl_core *core, const struct sl_run *run,
                                struct sl_error *err);
/* The upstream proved that it did not run the request: marks the key as
 * refused, so that a later submission of it may run. */
void SlKeyedRuns_OnNotRun(struct sl_core *core, const struct sl_run *run);
/* The outcome of the run is unknown: its key cannot run again. */
void SlKeyedRuns_OnUnknown(struct sl_core *core, const struct sl_run *run);
/* The run completed: stores its response for resends of the key. */
void SlKeyedRuns_OnDone(struct sl_core *core, const struct sl_run *run,
                        uint64_t tokens);

/* ---- sl_keys.c ---- */

enum sl_key_state {
    Sl_KEY_RUNNING,
    Sl_KEY_DONE,
    Sl_KEY_UNKNOWN, /* the run failed and may have taken effect */
    Sl_KEY_REFUSED, /* has not run */
};

/* Keys of different teams are independent. */
struct sl_key_id {
    struct sl_name team;
    struct sl_name key;
};

struct sl_key {
    struct sl_key_id id;
    enum sl_key_state state;
    int64_t state_changed_ms; /* wall clock of the last change of state */
    uint64_t status;
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
/* Sets the state of the run's key, adding the key if it is new. */
struct sl_key *SlKeys_Put(struct sl_keys *keys, const struct sl_msg_run *run,
                          enum sl_key_state state, int64_t now_ms);
/* Stores a complete response for resends if there is room for it. */
void SlKeys_StoreResponse(struct sl_keys *keys, struct sl_key *key,
                          struct sl_str response);
/* Removes keys older than Sl_KEY_LIFETIME_MS that are not running. */
void SlKeys_Expire(struct sl_keys *keys, int64_t now_ms);
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
/* The home record in force; its revision is 0 when there is none. */
const struct sl_home *SlHomeMoves_Home(const struct sl_core *core);
/* Returns true if a majority of the home's members confirmed, within
 * Sl_FRESHNESS_LIMIT_US, that they know no later record. */
bool SlHomeMoves_HasQuorum(const struct sl_core *core);
/* Wall clock, in ms since the epoch, at which this agent became the key's
 * home, plus Sl_CLOCK_SKEW_MS: a key issued later cannot have run at an
 * earlier home. INT64_MAX while the agent may not act as home. */
int64_t SlHomeMoves_KeysCoveredFrom(const struct sl_core *core,
                                    const struct sl_name *key);

/* ---- sl_receipts.c ---- */

void SlReceipts_Start(struct sl_core *core);
void SlReceipts_Free(struct sl_core *core);
bool SlReceipts_IsFull(const struct sl_core *core);
size_t SlReceipts_Count(const struct sl_core *core);
/* Adds a receipt for a run that used `tokens`; runs with the same bill are
 * added up. */
void SlReceipts_Add(struct sl_core *core, const struct sl_run *run,
                    uint64_t tokens);
void SlReceipts_OnBilled(struct sl_core *core, const struct sl_name *bill);

/* ---- sl_orders.c ---- */

void SlOrders_Start(struct sl_core *core);
void SlOrders_Free(struct sl_core *core);
/* Compares the versions that the engine has with those that it should have,
 * and orders at most one change. */
void SlOrders_Reconcile(struct sl_core *core);
void SlOrders_OnDone(struct sl_core *core, const struct sl_event *event);
/* Returns true if the engine should have this version. */
bool SlOrders_IsWanted(const struct sl_core *core,
                       const struct sl_version *version);

/* ---- sl_pin_store.c ---- */

void SlPinStore_Start(struct sl_core *core);
void SlPinStore_Free(struct sl_core *core);
size_t SlPinStore_Count(const struct sl_core *core);
void SlPinStore_OnAsk(struct sl_core *core, const struct sl_peer *peer,
                      const struct sl_msg_pin *pin);
void SlPinStore_OnPut(struct sl_core *core, const struct sl_peer *peer,
                      const struct sl_msg_pin *pin);

#endif
