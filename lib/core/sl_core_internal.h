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

/* Longest time for which a process acts on its configuration after the last
 * proof that it knew the log's head. After that, it needs a confirmation by a
 * majority of the witnesses (see sl_witnesses.c), which is valid for the same
 * time; see docs/design/configuration-log.md. */
#define Sl_FRESHNESS_LIMIT_US (2 * Sl_US_PER_S)
/* A read of the log may return a head that is out of date by up to this. */
#define Sl_LOG_HEAD_LAG_US (2 * Sl_US_PER_S)
/* Bound on the drift between two processes' monotonic clocks, as a share of
 * the elapsed time. */
#define Sl_CLOCK_DRIFT_RATIO 0.01
/* Bound on the difference between two wall clocks: a client's and an agent's,
 * or an entry's and an agent's. */
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

/* Another agent's response to the last probe that it answered. Agents probe
 * each other for the revision of the home record that they have applied: the
 * record that lists the upstreams of a service that decide on idempotency
 * keys; see sl_home_moves.c. */
struct sl_home_report {
    int64_t asked_us;       /* when the probe was sent; 0: none was answered */
    uint64_t home_revision; /* of the agent's record; 0: it has none */
    bool may_confirm;       /* the agent may confirm home records */
};

/* Another process of the system, identified by its VM. */
struct sl_peer {
    struct sl_vm vm;
    bool listed; /* in the last list of VMs */
    enum sl_peer_state state;
    uint64_t id;   /* of the connection, while connecting or up; otherwise 0 */
    bool incoming; /* the peer connected to this process */
    uint64_t boot; /* of the peer's process, from its hello */
    int64_t connect_retry_us; /* no attempt to connect before this time */
    int64_t backoff_us;       /* wait after the next failure to connect */
    int64_t last_message_us;  /* when the last message arrived */
    int64_t down_since_us;    /* valid while the peer is not up */
    /* A pull asks the peer for configuration records. */
    uint64_t pull_asked_us; /* when the outstanding pull was sent; 0: none */
    uint64_t probe_nonce;   /* of the outstanding probe; 0: none */
    int64_t probe_asked_us; /* when that probe was sent */
    struct sl_home_report home_report;
    /* The last answered pull: when it was sent (0: none was answered), and the
     * peer's configuration offset in the response. */
    int64_t pull_confirmed_us;
    uint64_t pull_confirmed_offset;
    /* At an entry: the last status that the agent sent. */
    bool has_status;
    int64_t status_us; /* when it arrived */
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
    /* Creates the role's state in `core`. */
    void (*start)(struct sl_core *core);
    /* Frees that state. */
    void (*free)(struct sl_core *core);
    /* Called for events that the core does not handle, and for DRAIN. */
    void (*on_event)(struct sl_core *core, const struct sl_event *event);
    /* Called for messages other than pulls and their responses. */
    void (*on_message)(struct sl_core *core, struct sl_peer *peer,
                       const struct sl_msg *msg);
    void (*on_peer_up)(struct sl_core *core, struct sl_peer *peer);
    /* Called while `peer` is still marked up and has its connection id. */
    void (*on_peer_down)(struct sl_core *core, struct sl_peer *peer);
    /* Called after the configuration changed. */
    void (*on_config)(struct sl_core *core);
    /* Returns true if this process opens a connection to the process on that
     * VM. */
    bool (*should_connect)(const struct sl_core *core, const struct sl_vm *vm);
    /* Returns true if a draining process has no work left. */
    bool (*is_idle)(const struct sl_core *core);
    /* Appends the members of the role to the JSON object in `out`. */
    void (*dump)(const struct sl_core *core, struct sl_buf *out);
};

extern const struct sl_role_ops SlEntry_Ops;
extern const struct sl_role_ops SlAgent_Ops;

/* State of following the configuration stream.
 *
 * A proof of the head shows that this process had all records of the stream
 * when the proof was asked for. It is a read of the log up to its head, or the
 * response of a peer that had such a proof itself. */
struct sl_log_follower {
    /* The configuration is complete: it was read from the first record on, or
     * from a snapshot on. */
    bool has_state;
    bool is_reading;        /* a read of the configuration is outstanding */
    int64_t config_read_us; /* when the last such read was sent */
    int64_t proof_us;       /* when the last proof of the head was asked for */
    bool has_proof;         /* there was a proof since the start */
    bool read_head;         /* the log itself was read to its head */
    int64_t head_read_us;   /* when the last read to the head was sent */
    bool truncated; /* the log no longer has the record that comes next */
    uint64_t max_peer_offset; /* highest offset reported by a peer */
    bool caught_up;           /* has once reached `max_peer_offset` */
    uint64_t log_oldest;      /* as in the last page that was read */
    uint64_t log_head;        /* as in the last page that was read */
    uint64_t snapshots_next;  /* offset of the next read of snapshots */
    bool is_reading_snapshots;
    uint64_t snapshot_offset; /* of the newest snapshot seen in the log */
    uint64_t snapshot_token;  /* of the outstanding append; 0: none */
    int64_t snapshot_due_us;  /* when to write a snapshot at the latest */
    GQueue *tail;             /* last records, struct sl_tail_record, owned */
    /* version -> uint64_t configuration offset at which the version was last
     * seen out of service; both owned */
    GHashTable *withdrawn;
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
    GArray *witnesses;         /* struct sl_witness, heaviest first */
    GPtrArray *peers;          /* struct sl_peer, owned, oldest first */
    GHashTable *peer_by_id;    /* connection id -> struct sl_peer */
    uint64_t last_peer_id;     /* last id given to an outgoing connection */
    uint64_t last_token;       /* see SlCore_NextToken() */
    bool is_reading_vms;       /* a read of the list of VMs is outstanding */
    bool has_vms;              /* the list of VMs was read at least once */
    bool leaving;              /* the list of VMs marks this VM as leaving */
    bool draining;             /* Sl_EVENT_DRAIN arrived */
    bool exited;               /* Sl_EFFECT_EXIT was returned */
    GPtrArray *deferred_frees; /* memory to free at the next event */
    struct sl_entry *entry;    /* entries only, otherwise NULL */
    struct sl_agent *agent;    /* agents only, otherwise NULL */
};

/* Takes ownership of `memory`, which may be NULL, and frees it at the next
 * event, because effects of the current event may point to it. */
void SlCore_FreeLater(struct sl_core *core, void *memory);
/* Returns a number, not 0, that this process uses once. It pairs an effect
 * with the events that are its results, or names a run. */
uint64_t SlCore_NextToken(struct sl_core *core);
/* Calls `callback` once, `after_us` from now, with the core as its context and
 * with `id`, which is for the callback's own use. Returns the timer's number,
 * for SlTimers_Cancel(). */
uint64_t SlCore_SetTimer(struct sl_core *core, int64_t after_us,
                         sl_timer_callback callback, uint64_t id);
/* Adds 1 to the counter of this name. */
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
 * copied and must be valid until the next event. */
void SlCore_Send(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg *msg);
/* Logs `text` about the request with sequence number `request` (0: none), and
 * the error `err` if that is not NULL. Copies `text` and `err`. */
void SlCore_Log(struct sl_core *core, enum sl_log_level level,
                uint64_t request, const struct sl_error *err,
                const char *text);
/* Asks for up to `max` records of a stream from offset `from` on. The result
 * is Sl_EVENT_LOG_READ. */
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
 * of service, or 0 if it never did. The version may be in service again. */
uint64_t SlLogFollower_WithdrawnAtOffset(const struct sl_core *core,
                                         const struct sl_name *version);
/* Returns true if all records that the log had at time `at_us` were read. For
 * that, a read must have been sent Sl_LOG_HEAD_LAG_US after `at_us` or later,
 * because the log may return an old head for that long. */
bool SlLogFollower_HasReadUntil(const struct sl_core *core, int64_t at_us);
/* Time since the last proof that this process knew the log's head;
 * Sl_NEVER_US when there was none. */
int64_t SlLogFollower_ProofAgeUs(const struct sl_core *core);
/* Returns Sl_OK if the configuration is fresh enough to act on, by a proof of
 * the head or by a majority of the witnesses. `err` may be NULL. */
enum sl_errno SlLogFollower_CheckFresh(const struct sl_core *core,
                                       struct sl_error *err);

/* ---- readiness (sl_dump.c) ---- */

/* Returns Sl_OK if the process accepts work, or would if it were not draining.
 * `reason` may be NULL. */
enum sl_errno SlCore_CheckAccepting(const struct sl_core *core,
                                    struct sl_error *reason);

/* ---- witnesses (sl_witnesses.c) ---- */

/* Witnesses are the agents whose majority confirms the configuration while the
 * log is unavailable. */

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
/* The peer with this connection id, or NULL. */
struct sl_peer *SlMembership_PeerById(const struct sl_core *core, uint64_t id);
/* The agent of an upstream, if this process connects to it, or NULL. The agent
 * may be down. */
struct sl_peer *SlMembership_PeerByUpstream(const struct sl_core *core,
                                            const struct sl_name *upstream);
/* Number of other entries in the list of VMs. */
size_t SlMembership_CountEntries(const struct sl_core *core);
bool SlPeer_IsUp(const struct sl_peer *peer);
/* Returns true if `peer` is a connected agent that is neither draining nor
 * leaving and has a concurrency limit above 0, and its upstream is in service.
 */
bool SlPeer_AcceptsWork(const struct sl_core *core,
                        const struct sl_peer *peer);

#endif
