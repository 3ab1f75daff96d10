/*
 * Shared by the files of sl_core.
 *
 * struct sl_core has the state that both roles share: the configuration that
 * it follows, peers, timers and counters. Each role adds its own state and a
 * table of functions for the events that only this role handles.
 */
#ifndef Sl_CORE_INTERNAL_H
#define Sl_CORE_INTERNAL_H

#include "sl_core.h"

#include <assert.h>

/* ---- limits shared by several files ---- */

/* Once the last proof that this process knows the log's head is older than
 * this, the process needs confirmation by a majority of the witnesses to act
 * on its configuration; see docs/design/configuration-log.md. */
#define Sl_FRESHNESS_LIMIT_US (2 * Sl_US_PER_S)
/* A read of the log may return a head that is out of date by up to this. */
#define Sl_LOG_HEAD_LAG_US (2 * Sl_US_PER_S)
/* Bound on the drift between two processes' monotonic clocks. */
#define Sl_CLOCK_DRIFT_RATIO 0.01
/* Bound on the difference between a client's wall clock and ours. */
#define Sl_CLOCK_SKEW_MS ((int64_t)500)
/* How long a client may resend an idempotency key. */
#define Sl_KEY_LIFETIME_MS ((int64_t)10 * 60 * 1000)
/* Default Retry-After of a refusal. */
#define Sl_RETRY_AFTER_US Sl_US_PER_S

/* ---- peers ---- */

enum sl_peer_state {
    Sl_PEER_IDLE,       /* known, not connected */
    Sl_PEER_CONNECTING, /* connect requested */
    Sl_PEER_UP,
};

/* Another agent's last answer about its home record. */
struct sl_home_report {
    int64_t asked_us; /* when the probe was sent; 0: never answered */
    uint64_t home_revision;
    bool may_confirm; /* the agent may confirm home records */
};

/* Another process of the system, identified by its VM. */
struct sl_peer {
    struct sl_vm vm;
    bool listed; /* in the last list of VMs */
    enum sl_peer_state state;
    uint64_t id;   /* connection, while connecting or up */
    bool incoming; /* the peer connected to this process */
    uint64_t boot;
    int64_t connect_retry_us; /* next attempt to connect */
    int64_t backoff_us;
    int64_t last_message_us;
    int64_t down_since_us;  /* valid while the peer is not up */
    uint64_t pull_asked_us; /* when the outstanding pull was sent; 0: none */
    uint64_t probe_nonce;   /* of the outstanding probe; 0: none */
    int64_t probe_asked_us;
    struct sl_home_report home_report; /* from the last answered probe */
    /* The last answered pull: when it was sent, and the peer's offset. */
    int64_t pull_confirmed_us;
    uint64_t pull_confirmed_offset;
    /* Last status of an agent. */
    bool has_status;
    int64_t status_us;
    struct sl_msg_status status;
    struct sl_version_counts versions[Sl_STATUS_MAX_VERSIONS];
    /* Attempts that this entry sent to the agent. */
    uint64_t local_in_flight;    /* outstanding */
    uint64_t local_since_report; /* sent since the agent's last status */
};

/* ---- the core ---- */

struct sl_entry;
struct sl_agent;

/* The events that a role handles itself. */
struct sl_role_ops {
    void (*start)(struct sl_core *core);
    void (*free)(struct sl_core *core);
    void (*on_event)(struct sl_core *core, const struct sl_event *event);
    void (*on_message)(struct sl_core *core, struct sl_peer *peer,
                       const struct sl_msg *msg);
    void (*on_peer_up)(struct sl_core *core, struct sl_peer *peer);
    /* Called while `peer` is still marked up and has its connection id. */
    void (*on_peer_down)(struct sl_core *core, struct sl_peer *peer);
    /* Called after the configuration changed. */
    void (*on_config)(struct sl_core *core);
    /* Reports whether this process connects to that VM. */
    bool (*should_connect)(const struct sl_core *core, const struct sl_vm *vm);
    /* Reports whether a draining process has no work left. */
    bool (*is_idle)(const struct sl_core *core);
    /* Appends the members of the role to the JSON object in `out`. */
    void (*dump)(const struct sl_core *core, struct sl_buf *out);
};

extern const struct sl_role_ops SlEntry_Ops;
extern const struct sl_role_ops SlAgent_Ops;

/* State of following the configuration stream. */
struct sl_log_follower {
    bool has_state; /* complete: from the first record or a snapshot on */
    bool is_reading;
    int64_t config_read_us; /* when the last read was sent */
    int64_t proof_us;       /* when the last proof of the head was asked for */
    bool has_proof;         /* there was a proof since the start */
    bool read_head;         /* the log itself was read to its head */
    int64_t head_read_us;   /* when the last such read was sent */
    bool truncated;         /* the log no longer has the next record */
    uint64_t max_peer_offset; /* highest offset reported by a peer */
    bool caught_up;           /* has once reached `max_peer_offset` */
    uint64_t log_oldest;
    uint64_t log_head;
    uint64_t snapshots_next; /* offset of the next read of snapshots */
    bool is_reading_snapshots;
    uint64_t snapshot_offset; /* of the newest snapshot seen in the log */
    uint64_t snapshot_token;  /* of the outstanding append; 0: none */
    int64_t snapshot_due_us;  /* when to write one at the latest */
    GQueue *tail;             /* last records, struct sl_tail_record */
    GHashTable *withdrawn;    /* version -> uint64_t offset, both owned */
};

struct sl_core {
    struct sl_core_options options;
    const struct sl_role_ops *ops;
    int64_t now_us;
    int64_t wall_ms;
    struct sl_random random;
    struct sl_timers *timers;
    struct sl_counters *counters;
    struct sl_config *config;
    struct sl_effects *effects; /* of the event that is being handled */
    struct sl_log_follower follower;
    GArray *witnesses; /* struct sl_witness, heaviest first */
    GPtrArray *peers;  /* struct sl_peer, owned, oldest first */
    GHashTable *peer_by_id;
    uint64_t last_peer_id;
    uint64_t last_token;
    bool is_reading_vms;
    bool has_vms;
    bool leaving; /* the list of VMs marks this VM as leaving */
    bool draining;
    bool exited;
    GPtrArray *deferred_frees; /* memory to free at the next event */
    struct sl_entry *entry;
    struct sl_agent *agent;
};

/* Frees `memory` at the next event, because effects of the current event may
 * point to it. */
void SlCore_FreeLater(struct sl_core *core, void *memory);
/* Returns a number that is unique in this process. */
uint64_t SlCore_NextToken(struct sl_core *core);
/* Calls `callback` once, `after_us` from now, with the core as its context.
 * Returns the id of the timer. */
uint64_t SlCore_SetTimer(struct sl_core *core, int64_t after_us,
                         sl_timer_callback callback, uint64_t id);
void SlCore_Increment(struct sl_core *core, const char *counter);
/* Compares two `uint64_t` ids. Sorting makes the order in which the entries of
 * a hash table are handled reproducible. */
gint SlCore_CompareIds(gconstpointer a, gconstpointer b);

/* ---- effects (sl_effects.c) ---- */

/* Returns the new effect, zeroed but for its type. The pointer is valid until
 * the next effect is added. */
struct sl_effect *SlEffects_Add(struct sl_effects *effects,
                                enum sl_effect_type type);
/* Copies bytes into memory that is valid until SlEffects_Clear(). */
struct sl_str SlEffects_CopyBytes(struct sl_effects *effects,
                                  struct sl_str bytes);
/* Moves the effects of `from` to the end of `to`. They must not point to
 * memory of `from`, which is cleared. */
void SlEffects_MoveTo(struct sl_effects *from, struct sl_effects *to);
/* Sends a copy of `msg` to a peer that is up, with this process's
 * configuration offset and proof age filled in. What `msg` points to is not
 * copied. */
void SlCore_Send(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg *msg);
/* Logs `text` about a request (0: none), with an error if `err` is not NULL.
 * Copies both. */
void SlCore_Log(struct sl_core *core, enum sl_log_level level,
                uint64_t request, const struct sl_error *err,
                const char *text);
/* Reads up to `max` records of a stream from offset `from`. */
void SlCore_ReadLog(struct sl_core *core, enum sl_stream stream, uint64_t from,
                    size_t max);
/* Appends `records`, a JSON array, which is copied. Returns the token that
 * Sl_EVENT_LOG_APPENDED will carry. */
uint64_t SlCore_AppendLog(struct sl_core *core, enum sl_stream stream,
                          struct sl_str records);

/* ---- the configuration stream (sl_log_follower.c) ---- */

void SlLogFollower_Start(struct sl_core *core);
void SlLogFollower_Free(struct sl_core *core);
void SlLogFollower_OnRead(struct sl_core *core, const struct sl_event *event);
/* Returns true if the append was that of a snapshot. */
bool SlLogFollower_OnAppended(struct sl_core *core,
                              const struct sl_event *event);
/* Reads the sender's configuration offset, which every message carries, and
 * pulls from the sender if it is ahead. */
void SlLogFollower_OnEnvelope(struct sl_core *core, struct sl_peer *peer,
                              const struct sl_msg *msg);
void SlLogFollower_OnPull(struct sl_core *core, struct sl_peer *peer,
                          const struct sl_msg_pull *pull);
void SlLogFollower_OnRecords(struct sl_core *core, struct sl_peer *peer,
                             const struct sl_msg *msg);
/* Configuration offset at which this process last saw the version marked out
 * of service; 0 when it never did. The version may be in service again. */
uint64_t SlLogFollower_WithdrawnAtOffset(const struct sl_core *core,
                                         const struct sl_name *version);
/* Returns true if all records that the log had at `at_us` were read. Allows
 * for Sl_LOG_HEAD_LAG_US. */
bool SlLogFollower_HasReadUntil(const struct sl_core *core, int64_t at_us);
/* Time since the last proof that this process knew the log's head;
 * Sl_NEVER_US when there was none. */
int64_t SlLogFollower_ProofAgeUs(const struct sl_core *core);
/* Returns Sl_OK if the configuration is fresh enough to act on. `err` may be
 * NULL. */
enum sl_errno SlLogFollower_CheckFresh(const struct sl_core *core,
                                       struct sl_error *err);

/* ---- readiness (sl_dump.c) ---- */

/* Returns Sl_OK if the process accepts work, leaving draining aside. `reason`
 * may be NULL. */
enum sl_errno SlCore_CheckAccepting(const struct sl_core *core,
                                    struct sl_error *reason);

/* ---- witnesses (sl_witnesses.c) ---- */

void SlWitnesses_Start(struct sl_core *core);
void SlWitnesses_Free(struct sl_core *core);
/* Chooses the witnesses again; called when the configuration changed. */
void SlWitnesses_Choose(struct sl_core *core);
/* Returns true if a majority of the witnesses confirmed, within
 * Sl_FRESHNESS_LIMIT_US, that they know no later configuration. */
bool SlWitnesses_HaveMajority(const struct sl_core *core);

/* ---- peers (sl_membership.c) ---- */

void SlMembership_Start(struct sl_core *core);
void SlMembership_Free(struct sl_core *core);
void SlMembership_OnVms(struct sl_core *core, const struct sl_event *event);
void SlMembership_OnPeerUp(struct sl_core *core, const struct sl_event *event);
void SlMembership_OnPeerDown(struct sl_core *core,
                             const struct sl_event *event);
/* Connects to the listed peers that the role needs and whose back-off is
 * over. */
void SlMembership_Connect(struct sl_core *core);
/* The peer of a connection, or NULL. */
struct sl_peer *SlMembership_PeerById(const struct sl_core *core, uint64_t id);
/* The agent of an upstream, or NULL. */
struct sl_peer *SlMembership_PeerByUpstream(const struct sl_core *core,
                                            const struct sl_name *upstream);
/* Number of other entries in the list of VMs. */
size_t SlMembership_CountEntries(const struct sl_core *core);
bool SlPeer_IsUp(const struct sl_peer *peer);
/* Returns true if `peer` is the connected agent of an upstream that is in
 * service, not leaving, and has a limit above 0. */
bool SlPeer_AcceptsWork(const struct sl_core *core,
                        const struct sl_peer *peer);

#endif
