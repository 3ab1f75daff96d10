/*
 * Shared by the files of sl_core.
 *
 * struct sl_core is what both roles have: the configuration that it follows,
 * its peers, timers and counters. Each role adds a part of its own and a
 * table of functions for the events that only it handles.
 */
#ifndef Sl_CORE_INTERNAL_H
#define Sl_CORE_INTERNAL_H

#include "sl_core.h"

#include <assert.h>

/* ---- limits shared by several files ---- */

/* Age of the last proof of the log's head beyond which a process must have a
 * majority's word to go on; see docs/design/configuration-log.md. */
#define Sl_FRESHNESS_LIMIT_US (2 * Sl_US_PER_S)
/* A read of the log may give a head that is older than the read by this. */
#define Sl_LOG_HEAD_LAG_US (2 * Sl_US_PER_S)
/* Bound on the drift between two processes' monotonic clocks. */
#define Sl_CLOCK_DRIFT_RATIO 0.01
/* Bound on the difference between a caller's wall clock and ours. */
#define Sl_CLOCK_SKEW_MS ((int64_t)500)
/* How long a caller may resend a key. */
#define Sl_KEY_LIFETIME_MS ((int64_t)10 * 60 * 1000)
/* Told to a caller whose request was refused for want of anything better. */
#define Sl_RETRY_AFTER_US Sl_US_PER_S

/* ---- peers ---- */

enum sl_peer_state {
    Sl_PEER_IDLE,       /* known, not connected */
    Sl_PEER_CONNECTING, /* connect requested */
    Sl_PEER_UP,
};

/* What another agent has said of its home record, with when it was asked. */
struct sl_home_report {
    int64_t asked_us; /* 0: never answered */
    uint64_t home_revision;
    bool settled;
};

/* Another process of the system, by VM. */
struct sl_peer {
    struct sl_vm vm;
    bool listed; /* in the last VM list */
    enum sl_peer_state state;
    uint64_t id;   /* connection, when connecting or up */
    bool incoming; /* it connected to us */
    uint64_t boot;
    int64_t retry_us; /* next attempt to connect */
    int64_t backoff_us;
    int64_t seen_us;        /* last message */
    int64_t lost_us;        /* not up since, for as long as it is not */
    uint64_t pull_asked_us; /* outstanding pull, 0 when none */
    uint64_t probe_nonce;   /* outstanding probe, 0 when none */
    int64_t probe_asked_us;
    struct sl_home_report word; /* answers to probes */
    int64_t pull_word_us;       /* when the last answered pull was asked */
    uint64_t pull_word_offset;
    /* agents, as last reported */
    bool has_status;
    int64_t status_us;
    struct sl_msg_status status;
    struct sl_version_counts versions[Sl_STATUS_MAX_VERSIONS];
    uint64_t own_in_flight;    /* entry: attempts outstanding there */
    uint64_t own_since_report; /* entry: attempts sent since its status */
};

/* ---- the core ---- */

struct sl_entry;
struct sl_agent;

struct sl_role_ops {
    void (*start)(struct sl_core *core);
    void (*free)(struct sl_core *core);
    void (*on_event)(struct sl_core *core, const struct sl_event *event);
    void (*on_message)(struct sl_core *core, struct sl_peer *peer,
                       const struct sl_msg *msg);
    void (*on_peer_up)(struct sl_core *core, struct sl_peer *peer);
    /* `peer` is still marked up, so that its connection can be told. */
    void (*on_peer_down)(struct sl_core *core, struct sl_peer *peer);
    /* The configuration has changed. */
    void (*on_config)(struct sl_core *core);
    /* Should this process connect to that VM? */
    bool (*wants)(const struct sl_core *core, const struct sl_vm *vm);
    /* Draining, and nothing is left to do. */
    bool (*is_idle)(const struct sl_core *core);
    void (*dump)(const struct sl_core *core, struct sl_buf *out);
};

extern const struct sl_role_ops SlEntry_Ops;
extern const struct sl_role_ops SlAgent_Ops;

/* Following the configuration stream. */
struct sl_log_follower {
    bool has_state; /* a fold that reaches back to the beginning */
    bool reading;
    int64_t read_asked_us;
    int64_t proof_us;      /* when the last proof of the head was asked */
    bool proved;           /* there was any proof since the start */
    bool read_head;        /* the log itself was read to its head */
    int64_t head_asked_us; /* when the last such read was asked for */
    bool truncated;        /* the log no longer has the next record */
    uint64_t heard_offset; /* highest that a peer has had */
    bool level;            /* it once had all that it had heard of */
    uint64_t log_oldest;
    uint64_t log_head;
    uint64_t snapshots_next;
    bool reading_snapshots;
    uint64_t snapshot_offset; /* newest snapshot seen in the log */
    uint64_t snapshot_token;  /* append outstanding, 0 when none */
    int64_t snapshot_retry_us;
    GQueue *tail;          /* last records, struct sl_kept_record */
    GHashTable *withdrawn; /* version -> uint64_t offset, both owned */
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
    struct sl_effects *fx; /* of the event in hand */
    struct sl_log_follower follow;
    GArray *witnesses; /* struct sl_witness, by weight */
    GPtrArray *peers;  /* struct sl_peer, owned, by order of coming */
    GHashTable *peer_by_id;
    uint64_t last_peer_id;
    uint64_t last_token;
    bool vms_reading;
    bool vms_known;
    bool leaving; /* the list of VMs says so of this one */
    bool draining;
    bool exited;
    GPtrArray *garbage; /* freed at the next event */
    struct sl_entry *entry;
    struct sl_agent *agent;
};

/* Frees `memory` at the next event: effects of this one may point to it. */
void SlCore_FreeLater(struct sl_core *core, void *memory);
uint64_t SlCore_NextToken(struct sl_core *core);
/* Subscribes for `after_us` from now; the callback gets the core. */
uint64_t SlCore_SetTimer(struct sl_core *core, int64_t after_us,
                         sl_timer_callback callback, uint64_t id);
void SlCore_Increment(struct sl_core *core, const char *counter);
/* Orders `uint64_t` ids, so that what a table holds is taken in order. */
gint SlCore_CompareIds(gconstpointer a, gconstpointer b);

/* ---- effects (sl_effects.c) ---- */

struct sl_effect *SlEffects_Add(struct sl_effects *effects,
                                enum sl_effect_type type);
/* Copies bytes into memory that lives until SlEffects_Clear(). */
struct sl_str SlEffects_CopyBytes(struct sl_effects *effects,
                                  struct sl_str bytes);
/* Moves the items of `from`, which must point to nothing of its arena, to the
 * end of `to`. */
void SlEffects_MoveTo(struct sl_effects *from, struct sl_effects *to);
/* Sends `msg` (copied) with the envelope of this process. */
void SlCore_Send(struct sl_core *core, const struct sl_peer *peer,
                 const struct sl_msg *msg);
void SlCore_Log(struct sl_core *core, enum sl_log_level level,
                uint64_t request, const struct sl_error *err,
                const char *text);
void SlCore_ReadLog(struct sl_core *core, enum sl_stream stream, uint64_t from,
                    size_t max);
/* Returns the token of the answer. */
uint64_t SlCore_AppendLog(struct sl_core *core, enum sl_stream stream,
                          struct sl_str records);

/* ---- following the configuration (sl_log_follower.c) ---- */

void SlLogFollower_Start(struct sl_core *core);
void SlLogFollower_Free(struct sl_core *core);
void SlLogFollower_OnRead(struct sl_core *core, const struct sl_event *event);
/* True when the append was one of a snapshot. */
bool SlLogFollower_OnAppended(struct sl_core *core,
                              const struct sl_event *event);
/* Looks at the envelope of every message. */
void SlLogFollower_OnEnvelope(struct sl_core *core, struct sl_peer *peer,
                              const struct sl_msg *msg);
void SlLogFollower_OnPull(struct sl_core *core, struct sl_peer *peer,
                          const struct sl_msg_pull *pull);
void SlLogFollower_OnRecords(struct sl_core *core, struct sl_peer *peer,
                             const struct sl_msg *msg);
/* Offset at which a version was last marked out, 0 when this process has seen
 * none. It may be in service again by now. */
uint64_t SlLogFollower_WithdrawnAt(const struct sl_core *core,
                                   const struct sl_name *version);
/* Has the log told all that it had at `at_us`? Its head may lag. */
bool SlLogFollower_HasReadUntil(const struct sl_core *core, int64_t at_us);
/* Age of the last proof of the log's head, or Sl_NEVER_US. */
int64_t SlLogFollower_ProofAge(const struct sl_core *core);
/* May this process act on its configuration now? `err` may be NULL. */
enum sl_errno SlLogFollower_CheckFresh(const struct sl_core *core,
                                       struct sl_error *err);

/* ---- readiness (sl_dump.c) ---- */

/* May it take work, apart from leaving? */
enum sl_errno SlCore_CheckAccepting(const struct sl_core *core,
                                    struct sl_error *reason);

/* ---- witnesses (sl_witnesses.c) ---- */

void SlWitnesses_Start(struct sl_core *core);
void SlWitnesses_Free(struct sl_core *core);
/* Chooses them anew, once the configuration has changed. */
void SlWitnesses_Choose(struct sl_core *core);
/* Did a majority say lately that it knows no later configuration? */
bool SlWitnesses_HaveMajority(const struct sl_core *core);

/* ---- peers (sl_membership.c) ---- */

void SlMembership_Start(struct sl_core *core);
void SlMembership_Free(struct sl_core *core);
void SlMembership_OnVms(struct sl_core *core, const struct sl_event *event);
void SlMembership_OnPeerUp(struct sl_core *core, const struct sl_event *event);
void SlMembership_OnPeerDown(struct sl_core *core,
                             const struct sl_event *event);
/* Connects to the peers that the role wants and that are due. */
void SlMembership_Connect(struct sl_core *core);
struct sl_peer *SlMembership_PeerById(const struct sl_core *core, uint64_t id);
/* The agent beside an upstream, or NULL. */
struct sl_peer *SlMembership_PeerByUpstream(const struct sl_core *core,
                                            const struct sl_name *upstream);
/* Other entries in the list of VMs. */
size_t SlMembership_CountEntries(const struct sl_core *core);
bool SlPeer_IsUp(const struct sl_peer *peer);
/* Connected agent of an upstream that is in service and not leaving. */
bool SlPeer_AcceptsWork(const struct sl_core *core,
                        const struct sl_peer *peer);

#endif
