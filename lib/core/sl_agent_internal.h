/*
 * Shared by the files of the agent role.
 *
 * sl_agent.c      the role's events
 * sl_run.c        attempts of requests, from admission to the answer
 * sl_status.c     the upstream's load, and what entries are told of it
 * sl_home.c       which keys this agent is home to, and may run
 * sl_keys.c       the keys that it ran or refused
 * sl_home_moves.c      moves of homes: evidence, completion, proposals
 * sl_receipts.c   what ran and is not yet billed
 * sl_orders.c     orders to the engine
 * sl_pin_store.c  session pins held for entries
 */
#ifndef Sl_AGENT_INTERNAL_H
#define Sl_AGENT_INTERNAL_H

#include "sl_core_internal.h"

/* ---- runs ---- */

/* One attempt of a request at this agent. */
struct sl_run {
    uint64_t token;
    uint64_t peer_id; /* the entry's connection; 0 when it is gone */
    uint64_t entry_boot;
    struct sl_msg_run run; /* its views point into the buffers below */
    struct sl_buf method;
    struct sl_buf path;
    struct sl_buf content_type;
    struct sl_buf body;
    int64_t deadline_us;
    int64_t priority;
    bool idempotent;
    bool keyed; /* must not be run twice, and has a key */
    bool queued;
    int64_t sent_us; /* to the upstream */
    bool head_sent;
    uint64_t status;
    struct sl_name answer_type;
    uint64_t position;    /* bytes of the answer so far */
    struct sl_buf answer; /* of keyed runs, for resends */
};

struct sl_keys;
struct sl_home_moves;
struct sl_receipts;
struct sl_orders;
struct sl_pin_store;

struct sl_agent {
    GHashTable *runs;       /* token -> struct sl_run, owned */
    GHashTable *by_attempt; /* of the request -> struct sl_run */
    size_t running;
    struct sl_queue *queue;
    struct sl_limit limit;
    int64_t service_time_us; /* smoothed; 0: unknown */
    int64_t last_done_us;    /* when a run last ended well */
    GHashTable *versions;    /* name -> struct sl_version_counts, owned */
    bool load_reading;
    bool has_load;
    int64_t load_us; /* when the last report was asked for */
    int64_t load_asked_us;
    struct sl_load_report load;
    struct sl_keys *keys;
    struct sl_home_moves *moves;
    struct sl_receipts *receipts;
    struct sl_orders *orders;
    struct sl_pin_store *pins;
};

/* ---- sl_agent.c ---- */

/* The label of the upstream beside this agent, or NULL. */
const struct sl_upstream *SlAgent_Upstream(const struct sl_core *core);
/* True when the upstream answered for its load lately. */
bool SlAgent_HasFreshLoad(const struct sl_core *core);
bool SlAgent_HasRunsOf(const struct sl_core *core,
                       const struct sl_name *version);
/* Does the engine have this version, by its last report? */
bool SlAgent_HasLoaded(const struct sl_agent *agent,
                       const struct sl_name *version);
/* The cumulative counts of a version here; never NULL. */
struct sl_version_counts *SlAgent_VersionCounts(struct sl_agent *agent,
                                                const struct sl_name *version);

/* ---- sl_run.c ---- */

void SlRun_Free(gpointer run);
/* Hash and equality of a request's attempt, for tables of runs. */
guint SlRun_Hash(gconstpointer run);
gboolean SlRun_Equal(gconstpointer a, gconstpointer b);
void SlRun_OnRun(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg_run *msg);
void SlRun_OnCancel(struct sl_core *core, const struct sl_msg_cancel *cancel);
void SlRun_OnPeerDown(struct sl_core *core, struct sl_peer *peer);
void SlRun_OnCallHead(struct sl_core *core, const struct sl_event *event);
void SlRun_OnCallChunk(struct sl_core *core, const struct sl_event *event);
void SlRun_OnCallDone(struct sl_core *core, const struct sl_event *event);
/* Starts what waits, as far as the limit allows. */
void SlRun_StartQueued(struct sl_core *core);
/* Hands back what waits, when draining. */
void SlRun_RefuseQueued(struct sl_core *core);

/* ---- sl_status.c ---- */

/* Starts reading loads and reporting to entries. */
void SlStatus_Start(struct sl_core *core);
void SlStatus_OnLoad(struct sl_core *core, const struct sl_event *event);
void SlStatus_OnRated(struct sl_core *core, const struct sl_msg_rated *rated);
void SlStatus_Send(struct sl_core *core, const struct sl_peer *peer);
void SlStatus_SendAll(struct sl_core *core);

/* ---- sl_home.c ---- */

enum sl_home_verdict {
    Sl_HOME_RUN,        /* not run before, and this is its home */
    Sl_HOME_INELIGIBLE, /* this agent may not run it; others may have */
    Sl_HOME_REFUSED,    /* the key was refused before, and has not run */
    Sl_HOME_UNKNOWN,    /* it may have been run */
    Sl_HOME_DONE,       /* ran; answer it from the table */
};

/* Refuses a key that SlHome_Check() would let run: it is kept as refused, so
 * that no submission accepted before now runs later. False when this agent
 * may not say so, because its evidence is not fresh or its table is full. */
bool SlHome_Refuse(struct sl_core *core, const struct sl_run *run);
/* What was kept of a key that ran. */
struct sl_key_answer {
    uint64_t status;
    struct sl_name content_type;
    struct sl_str body;
    uint64_t tokens;
};

void SlHome_Start(struct sl_core *core);
void SlHome_Free(struct sl_core *core);
/* Decides about a keyed run as it comes in. */
enum sl_home_verdict SlHome_Check(struct sl_core *core,
                                  const struct sl_run *run,
                                  struct sl_key_answer *answer,
                                  struct sl_error *err);
/* The last check before the send: the evidence must still be fresh. Notes the
 * key as running. */
enum sl_errno SlHome_Begin(struct sl_core *core, const struct sl_run *run,
                           struct sl_error *err);
/* The upstream proved that it ran nothing: the key is free again. */
void SlHome_OnNotRun(struct sl_core *core, const struct sl_run *run);
void SlHome_OnUnknown(struct sl_core *core, const struct sl_run *run);
void SlHome_OnDone(struct sl_core *core, const struct sl_run *run,
                   uint64_t tokens);

/* ---- sl_keys.c ---- */

enum sl_key_state {
    Sl_KEY_RUNNING,
    Sl_KEY_DONE,
    Sl_KEY_UNKNOWN, /* broke off; may have run */
    Sl_KEY_REFUSED, /* has not run */
};

struct sl_key_id {
    struct sl_name team;
    struct sl_name key;
};

struct sl_key {
    struct sl_key_id id;
    enum sl_key_state state;
    int64_t at_ms; /* wall clock of the last change of state */
    uint64_t status;
    struct sl_name content_type;
    struct sl_buf body;
    bool body_kept;
    uint64_t tokens;
};

struct sl_keys *SlKeys_New(void);
void SlKeys_Free(struct sl_keys *keys);
/* The run's key, or NULL. */
struct sl_key *SlKeys_Find(const struct sl_keys *keys,
                           const struct sl_msg_run *run);
/* Notes the state of the run's key, adding it when it is new. */
struct sl_key *SlKeys_Put(struct sl_keys *keys, const struct sl_msg_run *run,
                          enum sl_key_state state, int64_t now_ms);
/* Keeps a whole answer for resends, when there is room for it. */
void SlKeys_StoreAnswer(struct sl_keys *keys, struct sl_key *key,
                        struct sl_str answer);
/* Drops keys whose life is over and that do not run. */
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
/* Did a majority of the members confirm lately that there is no later one? */
bool SlHomeMoves_HasQuorum(const struct sl_core *core);
/* Wall clock from which on keys like this one were issued to this home, with
 * the bound on clocks added; INT64_MAX while it may not act as home. */
int64_t SlHomeMoves_KeysCoveredFrom(const struct sl_core *core,
                                    const struct sl_name *key);

/* ---- sl_receipts.c ---- */

void SlReceipts_Start(struct sl_core *core);
void SlReceipts_Free(struct sl_core *core);
bool SlReceipts_IsFull(const struct sl_core *core);
size_t SlReceipts_Count(const struct sl_core *core);
void SlReceipts_Add(struct sl_core *core, const struct sl_run *run,
                    uint64_t tokens);
void SlReceipts_OnBilled(struct sl_core *core, const struct sl_name *bill);

/* ---- sl_orders.c ---- */

void SlOrders_Start(struct sl_core *core);
void SlOrders_Free(struct sl_core *core);
/* Compares what the engine has with what it should have, and orders at most
 * one change. */
void SlOrders_Reconcile(struct sl_core *core);
void SlOrders_OnDone(struct sl_core *core, const struct sl_event *event);
/* Should the engine have this version? */
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
