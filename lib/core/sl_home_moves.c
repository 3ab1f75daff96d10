/* Homes of keys, and the moves of homes between agents.
 *
 * The home of an idempotency key is the upstream whose agent may run requests
 * with that key; see sl_keyed_runs.c. The configuration record `home/SERVICE`
 * lists members (upstreams of the service); a key's home is the member with
 * the highest rendezvous weight for the key. An agent acts as home only while
 * it has a quorum: within Sl_FRESHNESS_LIMIT_US, counted from when it sent the
 * probe, a majority of the members confirmed that they know no later record.
 * See docs/design/at-most-once.md for the protocol, and
 * tests/model/at_most_once.pml for a model of it.
 *
 * Each new record moves homes. The move is complete ("established") when
 *   1. a majority of the previous members and a majority of the new members
 *      have confirmed that they applied the record,
 *   2. the same processes, by boot id, confirmed it again when probed after
 *      that,
 *   3. and Sl_FRESHNESS_LIMIT_US, plus clock drift, has passed since.
 * The next record is proposed only when the current one is established, so
 * that no earlier set of members can still form a quorum.
 *
 * After a start, a member waits for Sl_FRESHNESS_LIMIT_US, plus clock drift,
 * from the time that a majority of the members first confirmed its record.
 * From then on these members confirm nothing to a former process of the same
 * member, which may still run elsewhere; after the wait, that process's last
 * quorum has expired. Then the record is "effective" at this agent, once its
 * move is established: the agent acts as home.
 */
#include "sl_agent_internal.h"

#include <string.h>

/* Time between two rounds of probes of the members. */
#define Sl_PROBE_INTERVAL_US (200 * Sl_US_PER_MS)
/* A probe that is not answered for this long is sent again. */
#define Sl_PROBE_TIMEOUT_US (Sl_US_PER_S)
/* A member that is unreachable for this long is removed by a move. */
#define Sl_MEMBER_DEAD_US (5 * Sl_US_PER_S)
/* The wanted members must stay the same for this long before a move. */
#define Sl_MOVE_SETTLE_US (2 * Sl_US_PER_S)
/* Wait after the end of a proposal, whether it succeeded or not. */
#define Sl_PROPOSE_RETRY_US (3 * Sl_US_PER_S)
/* Added for each place in the list of members; see propose_delay_us(). */
#define Sl_PROPOSE_STAGGER_US (500 * Sl_US_PER_MS)
/* Former processes remembered per member. */
#define Sl_MAX_FORMER_BOOTS 16

/* ---- types ---- */

/* The processes that sent probes as one member. */
struct sl_member_boots {
    uint64_t boot;       /* of the newest process, the only one confirmed to */
    size_t former_count; /* number of former processes so far */
    uint64_t former[Sl_MAX_FORMER_BOOTS]; /* boots of the last ones; a ring */
};

struct sl_home_moves {
    struct sl_home home;     /* the newest record applied; revision 0: none */
    int64_t started_us;      /* start of this process */
    bool may_confirm;        /* this process may confirm records to members */
    int64_t first_quorum_us; /* first quorum since the start; 0: none yet */
    bool is_move_complete;   /* the move to `home` is complete */
    /* When this agent began to act as home under `home`. */
    int64_t effective_us; /* 0: not yet */
    int64_t effective_ms; /* the same by the wall clock */
    /* The record before `home`, whether this agent acted under that record,
     * and since when by the wall clock. */
    struct sl_home previous_home;
    bool was_effective;
    int64_t previous_effective_ms;
    /* The two rounds of confirmations that complete a move. */
    int64_t first_round_us;        /* when the first was complete; 0: not */
    GHashTable *first_round_boots; /* member -> boot in that round, owned */
    int64_t confirmed_us;          /* when the second was complete; 0: not */
    uint64_t last_nonce;           /* of the probes and proposals sent */
    GHashTable *member_boots; /* member -> struct sl_member_boots, owned */
    /* The proposal of a new record. */
    uint64_t wanted_hash;     /* of the members it would have; 0: none */
    int64_t wanted_since_us;  /* when `wanted_hash` last changed */
    uint64_t propose_token;   /* of the outstanding append; 0: none */
    int64_t propose_retry_us; /* no proposal before this time */
};

/* ---- confirmations ---- */

typedef bool (*sl_peer_predicate)(const struct sl_core *core,
                                  const struct sl_peer *peer);

static bool
is_self(const struct sl_core *core, const struct sl_name *member)
{
    return SlName_Equal(member, &core->options.upstream);
}

/* Returns true if the member recently confirmed that it knows no record later
 * than this agent's. */
static bool
confirms_revision(const struct sl_core *core, const struct sl_peer *peer)
{
    return peer->home_report.may_confirm && peer->home_report.asked_us > 0 &&
           core->now_us - peer->home_report.asked_us <=
               Sl_FRESHNESS_LIMIT_US &&
           peer->home_report.home_revision <=
               core->agent->moves->home.revision;
}

/* Returns true if the member confirmed that it applied this agent's record. */
static bool
has_applied(const struct sl_core *core, const struct sl_peer *peer)
{
    return peer->home_report.may_confirm && peer->home_report.asked_us > 0 &&
           peer->home_report.home_revision ==
               core->agent->moves->home.revision;
}

/* As has_applied(), but confirmed by the same process as in the first round,
 * when probed after it. */
static bool
has_applied_again(const struct sl_core *core, const struct sl_peer *peer)
{
    const struct sl_home_moves *moves = core->agent->moves;
    const uint64_t *boot =
        g_hash_table_lookup(moves->first_round_boots, &peer->vm.upstream);
    return has_applied(core, peer) && boot != NULL && *boot == peer->boot &&
           peer->home_report.asked_us > moves->first_round_us;
}

/* Returns true if `predicate` holds for a majority of the members. If this
 * agent is a member, it counts if it may confirm records. */
static bool
has_majority(const struct sl_core *core, const struct sl_name *members,
             size_t count, sl_peer_predicate predicate)
{
    size_t agreeing_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_self(core, &members[i])) {
            agreeing_count += core->agent->moves->may_confirm;
            continue;
        }
        const struct sl_peer *peer =
            SlMembership_PeerByUpstream(core, &members[i]);
        agreeing_count +=
            peer != NULL && SlPeer_IsUp(peer) && predicate(core, peer);
    }
    return agreeing_count * 2 > count;
}

/* Returns true if `predicate` holds for a majority of the current members and
 * for one of the previous members. */
static bool
has_both_majorities(const struct sl_core *core, sl_peer_predicate predicate)
{
    const struct sl_home *home = &core->agent->moves->home;
    return has_majority(core, home->members, home->member_count, predicate) &&
           has_majority(core, home->previous, home->previous_count, predicate);
}

/* ---- completing a move ---- */

/* Lets this agent act as home under the current record. */
static void
become_effective(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    moves->is_move_complete = true;
    if (moves->effective_us == 0) {
        moves->effective_us = core->now_us;
        moves->effective_ms = core->wall_ms;
        SlCore_Increment(core, "homes.effective");
        SlCore_Log(core, Sl_LOG_INFO, 0, NULL, "home record effective");
    }
}

/* Records which processes confirmed the record in the first round. */
static void
save_first_round_boots(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    g_hash_table_remove_all(moves->first_round_boots);
    for (guint i = 0; i < core->peers->len; i++) {
        const struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (!peer->incoming && SlPeer_IsUp(peer) && has_applied(core, peer)) {
            g_hash_table_insert(
                moves->first_round_boots,
                g_memdup2(&peer->vm.upstream, sizeof(peer->vm.upstream)),
                g_memdup2(&peer->boot, sizeof(peer->boot)));
        }
    }
}

/* Time by this process's clock after which confirmations that other processes
 * received have expired by their own clocks. */
static int64_t
freshness_wait_us(void)
{
    return (int64_t)((double)Sl_FRESHNESS_LIMIT_US *
                     (1 + Sl_CLOCK_DRIFT_RATIO));
}

/* A process that restarted has lost its state. It confirms records only after
 * it has learned of all moves before its start, from the log's head or from a
 * majority of the members. */
static void
update_may_confirm(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (moves->may_confirm) {
        return;
    }
    moves->may_confirm =
        SlLogFollower_HasReadUntil(core, moves->started_us) ||
        (moves->home.revision != 0 &&
         has_majority(core, moves->home.members, moves->home.member_count,
                      confirms_revision));
}

/* Records when this process first had a quorum. Returns true once no former
 * process of this member can have a quorum: a majority confirms nothing to
 * former processes any more, and earlier confirmations have expired. */
static bool
advance_start_wait(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (moves->first_quorum_us == 0 && SlHomeMoves_HasQuorum(core)) {
        moves->first_quorum_us = core->now_us;
    }
    return moves->first_quorum_us > 0 &&
           core->now_us - moves->first_quorum_us > freshness_wait_us();
}

/* Advances the two rounds of confirmations of the current record. Returns true
 * once both are complete. */
static bool
advance_rounds(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (moves->confirmed_us > 0) {
        return true;
    }
    if (moves->first_round_us > 0 &&
        has_both_majorities(core, has_applied_again)) {
        moves->confirmed_us = core->now_us;
        return true;
    }
    if (!has_both_majorities(core, has_applied)) {
        moves->first_round_us = 0;
    }
    else if (moves->first_round_us == 0) {
        moves->first_round_us = core->now_us;
        save_first_round_boots(core);
    }
    return false;
}

/* Advances the move to the current record as far as the confirmations received
 * allow. */
static void
advance_move(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (!moves->may_confirm || moves->home.revision == 0 ||
        !advance_start_wait(core)) {
        return;
    }
    /* The first record of a service moves nothing. */
    bool complete = moves->is_move_complete || moves->home.previous_count == 0;
    if (!complete && advance_rounds(core)) {
        complete = core->now_us - moves->confirmed_us > freshness_wait_us();
    }
    if (complete) {
        become_effective(core);
    }
}

/* ---- proposals ---- */

/* Returns true unless the upstream is leaving or its agent has been
 * unreachable for Sl_MEMBER_DEAD_US. */
static bool
is_alive(const struct sl_core *core, const struct sl_upstream *upstream)
{
    if (is_self(core, &upstream->name)) {
        return !core->draining && !core->leaving;
    }
    const struct sl_peer *peer =
        SlMembership_PeerByUpstream(core, &upstream->name);
    if (peer == NULL || peer->vm.leaving) {
        return false;
    }
    return SlPeer_IsUp(peer) ||
           core->now_us - peer->down_since_us < Sl_MEMBER_DEAD_US;
}

/* Writes the names of the service's upstreams that should be members to `out`,
 * which holds Sl_MAX_HOME_MEMBERS. Returns their number. */
static size_t
list_wanted_members(const struct sl_core *core, const struct sl_name *service,
                    const struct sl_name **out)
{
    const struct sl_upstream *all[Sl_MAX_HOME_MEMBERS];
    size_t count = SlConfig_ListUpstreams(core->config, service, all,
                                          Sl_MAX_HOME_MEMBERS);
    size_t wanted_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (SlConfig_IsUpstreamInService(core->config, &all[i]->name) &&
            is_alive(core, all[i])) {
            out[wanted_count++] = &all[i]->name;
        }
    }
    return wanted_count;
}

/* Returns true if the record's members are the wanted ones. */
static bool
has_members(const struct sl_home *home, const struct sl_name *const *wanted,
            size_t count)
{
    if (home->revision == 0 || home->member_count != count) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (!SlName_Equal(&home->members[i], wanted[i])) {
            return false;
        }
    }
    return true;
}

static uint64_t
hash_members(const struct sl_name *const *wanted, size_t count)
{
    uint64_t hash = count;
    for (size_t i = 0; i < count; i++) {
        hash = SlHash_Bytes(hash, SlName_Str(wanted[i]));
    }
    return hash;
}

/* Appends the names as a JSON array. */
static void
append_members(struct sl_buf *out, const struct sl_name *const *names,
               size_t count)
{
    SlBuf_AppendC(out, "[");
    for (size_t i = 0; i < count; i++) {
        SlBuf_AppendC(out, i == 0 ? "" : ",");
        SlBuf_AppendJson(out, SlName_Str(names[i]));
    }
    SlBuf_AppendC(out, "]");
}

/* Appends a home record with the wanted members to the configuration stream.
 * Its `base` is the revision of the current record, so that it is rejected if
 * another record came first. */
static void
propose_record(struct sl_core *core, const struct sl_name *service,
               const struct sl_name *const *wanted, size_t count)
{
    struct sl_home_moves *moves = core->agent->moves;
    const struct sl_name *previous[Sl_MAX_HOME_MEMBERS];
    struct sl_buf records = {0};
    for (size_t i = 0; i < moves->home.member_count; i++) {
        previous[i] = &moves->home.members[i];
    }
    SlBuf_Printf(&records,
                 "[{\"key\":\"home/%s\",\"id\":\"%s-%016" G_GINT64_MODIFIER
                 "x-%" G_GUINT64_FORMAT "\",\"by\":\"system/%s\",\"base\":"
                 "%" G_GUINT64_FORMAT ",\"value\":{\"members\":",
                 service->text, core->options.vm.text,
                 (guint64)core->options.boot, (guint64)++moves->last_nonce,
                 core->options.vm.text, (guint64)moves->home.revision);
    append_members(&records, wanted, count);
    SlBuf_AppendC(&records, ",\"previous\":");
    append_members(&records, previous, moves->home.member_count);
    SlBuf_AppendC(&records, "}}]");
    moves->propose_token =
        SlCore_AppendLog(core, Sl_STREAM_CONFIG, SlBuf_Str(&records));
    SlBuf_Free(&records);
    SlCore_Increment(core, "homes.proposed");
}

/* Returns how long the wanted members must stay the same before this agent
 * proposes them. Several agents may propose the same move, and the base
 * revision lets only one proposal succeed. A delay by the agent's place in the
 * list makes such conflicts rare. */
static int64_t
propose_delay_us(const struct sl_core *core,
                 const struct sl_name *const *wanted, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (is_self(core, wanted[i])) {
            return Sl_MOVE_SETTLE_US + (int64_t)i * Sl_PROPOSE_STAGGER_US;
        }
    }
    return Sl_MOVE_SETTLE_US + (int64_t)count * Sl_PROPOSE_STAGGER_US;
}

/* Proposes a new record if the members should change, and this agent may
 * propose now. */
static void
propose_if_needed(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    const struct sl_upstream *self = SlAgent_Upstream(core);
    const struct sl_name *wanted[Sl_MAX_HOME_MEMBERS];
    if (self == NULL || moves->propose_token != 0 ||
        core->now_us < moves->propose_retry_us || !moves->may_confirm ||
        !SlConfig_NeedsHomes(core->config, &self->service) ||
        SlLogFollower_CheckFresh(core, NULL) != Sl_OK) {
        return;
    }
    /* One move at a time. */
    if (moves->home.revision != 0 && !moves->is_move_complete) {
        return;
    }
    size_t count = list_wanted_members(core, &self->service, wanted);
    if (count == 0 || has_members(&moves->home, wanted, count)) {
        moves->wanted_hash = 0;
        return;
    }
    uint64_t hash = hash_members(wanted, count);
    if (hash != moves->wanted_hash) {
        moves->wanted_hash = hash;
        moves->wanted_since_us = core->now_us;
        return;
    }
    if (core->now_us - moves->wanted_since_us >=
        propose_delay_us(core, wanted, count)) {
        propose_record(core, &self->service, wanted, count);
    }
}

/* ---- probes ---- */

/* Probes a member, unless a probe is outstanding. */
static void
probe_member(struct sl_core *core, const struct sl_name *member)
{
    struct sl_home_moves *moves = core->agent->moves;
    struct sl_peer *peer = SlMembership_PeerByUpstream(core, member);
    bool is_outstanding =
        peer != NULL && peer->probe_nonce != 0 &&
        core->now_us - peer->probe_asked_us < Sl_PROBE_TIMEOUT_US;
    if (peer == NULL || !SlPeer_IsUp(peer) || is_outstanding) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_PROBE};
    msg.u.probe.service = moves->home.service;
    msg.u.probe.nonce = ++moves->last_nonce;
    peer->probe_nonce = moves->last_nonce;
    peer->probe_asked_us = core->now_us;
    SlCore_Send(core, peer, &msg);
}

/* Probes the current and the previous members. */
static void
probe_all_members(struct sl_core *core)
{
    const struct sl_home *home = &core->agent->moves->home;
    for (size_t i = 0; i < home->member_count; i++) {
        probe_member(core, &home->members[i]);
    }
    for (size_t i = 0; i < home->previous_count; i++) {
        probe_member(core, &home->previous[i]);
    }
}

static void
on_probes_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    update_may_confirm(core);
    probe_all_members(core);
    advance_move(core);
    propose_if_needed(core);
    SlCore_SetTimer(core, Sl_PROBE_INTERVAL_US, on_probes_due, id);
}

/* ---- processes of members ---- */

/* Makes `boot` the newest process. */
static void
replace_boot(struct sl_member_boots *boots, uint64_t boot)
{
    if (boots->boot != 0) {
        boots->former[boots->former_count % Sl_MAX_FORMER_BOOTS] = boots->boot;
        boots->former_count++;
    }
    boots->boot = boot;
}

static bool
is_former_boot(const struct sl_member_boots *boots, uint64_t boot)
{
    size_t kept_count = MIN(boots->former_count, (size_t)Sl_MAX_FORMER_BOOTS);
    for (size_t i = 0; i < kept_count; i++) {
        if (boots->former[i] == boot) {
            return true;
        }
    }
    return false;
}

/* Records the process that sent a probe as the newest one of its member.
 * Returns false if it was superseded: a process with another boot sent a probe
 * as the same member after this one. */
static bool
record_newest_process(struct sl_core *core, const struct sl_peer *peer)
{
    GHashTable *member_boots = core->agent->moves->member_boots;
    struct sl_member_boots *boots =
        g_hash_table_lookup(member_boots, &peer->vm.upstream);
    if (boots == NULL) {
        boots = g_new0(struct sl_member_boots, 1);
        g_hash_table_insert(
            member_boots,
            g_memdup2(&peer->vm.upstream, sizeof(peer->vm.upstream)), boots);
    }
    if (is_former_boot(boots, peer->boot)) {
        SlCore_Increment(core, "probes.of_former_process");
        return false;
    }
    if (boots->boot != peer->boot) {
        replace_boot(boots, peer->boot);
    }
    return true;
}

/* ---- internal API ---- */

void
SlHomeMoves_Start(struct sl_core *core)
{
    struct sl_home_moves *moves = g_new0(struct sl_home_moves, 1);
    moves->started_us = core->now_us;
    moves->first_round_boots = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    moves->member_boots = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    core->agent->moves = moves;
    SlCore_SetTimer(core, Sl_PROBE_INTERVAL_US, on_probes_due, 0);
}

void
SlHomeMoves_Free(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    g_hash_table_destroy(moves->member_boots);
    g_hash_table_destroy(moves->first_round_boots);
    g_free(moves);
}

void
SlHomeMoves_OnConfig(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    const struct sl_upstream *self = SlAgent_Upstream(core);
    const struct sl_home *home =
        self == NULL ? NULL : SlConfig_FindHome(core->config, &self->service);
    if (home == NULL || home->revision == moves->home.revision) {
        return;
    }
    assert(home->revision > moves->home.revision);
    moves->was_effective = moves->effective_us > 0;
    moves->previous_home = moves->home;
    moves->previous_effective_ms = moves->effective_ms;
    moves->home = *home;
    moves->is_move_complete = false;
    moves->effective_us = 0;
    moves->effective_ms = 0;
    moves->first_round_us = 0;
    moves->confirmed_us = 0;
    advance_move(core);
}

const struct sl_home *
SlHomeMoves_Home(const struct sl_core *core)
{
    return &core->agent->moves->home;
}

bool
SlHomeMoves_HasQuorum(const struct sl_core *core)
{
    const struct sl_home_moves *moves = core->agent->moves;
    return moves->may_confirm && moves->home.revision != 0 &&
           has_majority(core, moves->home.members, moves->home.member_count,
                        confirms_revision);
}

/* Returns true if this agent acted as the key's home under the previous
 * record, too. */
static bool
was_home_before(const struct sl_core *core, const struct sl_name *key)
{
    const struct sl_home_moves *moves = core->agent->moves;
    if (!moves->was_effective) {
        return false;
    }
    const struct sl_name *member =
        SlHome_MemberForKey(&moves->previous_home, key);
    return member != NULL && is_self(core, member);
}

int64_t
SlHomeMoves_KeysCoveredFrom(const struct sl_core *core,
                            const struct sl_name *key)
{
    const struct sl_home_moves *moves = core->agent->moves;
    if (was_home_before(core, key)) {
        return moves->previous_effective_ms + Sl_CLOCK_SKEW_MS;
    }
    return moves->effective_us == 0 ? INT64_MAX
                                    : moves->effective_ms + Sl_CLOCK_SKEW_MS;
}

void
SlHomeMoves_OnProbe(struct sl_core *core, const struct sl_peer *peer,
                    const struct sl_msg_probe *probe_msg)
{
    const struct sl_home_moves *moves = core->agent->moves;
    const struct sl_home *home =
        SlConfig_FindHome(core->config, &probe_msg->service);
    struct sl_msg msg = {.type = Sl_MSG_PROOF};
    msg.u.proof.service = probe_msg->service;
    msg.u.proof.nonce = probe_msg->nonce;
    msg.u.proof.home_revision = home == NULL ? 0 : home->revision;
    msg.u.proof.may_confirm =
        moves->may_confirm && record_newest_process(core, peer);
    msg.u.proof.is_move_complete = moves->is_move_complete && home != NULL &&
                                   home->revision == moves->home.revision;
    SlCore_Send(core, peer, &msg);
}

void
SlHomeMoves_OnProof(struct sl_core *core, struct sl_peer *peer,
                    const struct sl_msg_proof *proof)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (proof->nonce != peer->probe_nonce || peer->probe_nonce == 0) {
        SlCore_Increment(core, "proofs.late");
        return;
    }
    peer->probe_nonce = 0;
    /* The age of a confirmation counts from when the probe was sent. */
    peer->home_report = (struct sl_home_report){
        .asked_us = peer->probe_asked_us,
        .home_revision = proof->home_revision,
        .may_confirm = proof->may_confirm,
    };
    if (proof->may_confirm && proof->is_move_complete &&
        proof->home_revision == moves->home.revision &&
        moves->home.revision != 0) {
        /* The other agent has seen the move complete. */
        moves->is_move_complete = true;
    }
    update_may_confirm(core);
    advance_move(core);
}

void
SlHomeMoves_OnAppended(struct sl_core *core, const struct sl_event *event)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (event->u.appended.token != moves->propose_token) {
        return;
    }
    /* Whether the proposal succeeded shows when its record is applied. A lost
     * response needs no special handling: a second proposal has the same base,
     * and only one of them can be accepted. */
    moves->propose_token = 0;
    moves->propose_retry_us = core->now_us + Sl_PROPOSE_RETRY_US;
}

void
SlHomeMoves_Dump(const struct sl_core *core, struct sl_buf *out)
{
    const struct sl_home_moves *moves = core->agent->moves;
    SlBuf_Printf(out,
                 ",\"home\":{\"revision\":%" G_GUINT64_FORMAT
                 ",\"members\":%zu,\"settled\":%s,\"established\":%s,"
                 "\"effective\":%s,\"vouches_from_ms\":%" G_GINT64_FORMAT
                 ",\"evidence\":%s,\"keys\":%zu}",
                 (guint64)moves->home.revision, moves->home.member_count,
                 moves->may_confirm ? "true" : "false",
                 moves->is_move_complete ? "true" : "false",
                 moves->effective_us > 0 ? "true" : "false",
                 (gint64)(moves->effective_ms + Sl_CLOCK_SKEW_MS),
                 SlHomeMoves_HasQuorum(core) ? "true" : "false",
                 SlKeys_Count(core->agent->keys));
}
