/* Homes and their moves.
 *
 * The record `home/SERVICE` of the configuration names members; a key's home
 * is the member that rendezvous gives. A home acts only while a majority of
 * the members told it, counted from the question, that they know no later
 * record. See docs/design/at-most-once.md for the rule, and
 * tests/model/at_most_once.pml for its check.
 *
 * A record moves homes. The move is complete ("established") once
 *   1. a majority of the members before and a majority of those after it said
 *      that they folded it,
 *   2. the same processes, by boot id, said so again when asked after that,
 *   3. and Sl_FRESHNESS_LIMIT_US, with the clocks' drift, has passed.
 * The next record is proposed only when the present one is established, so
 * that no earlier set of members can still give evidence.
 *
 * A process that starts as a member waits Sl_FRESHNESS_LIMIT_US after a
 * majority of members has answered it: they answer a former process of that
 * member, which may still run elsewhere, no more. */
#include "sl_agent_internal.h"

#include <string.h>

#define Sl_MOVES_INTERVAL_US (200 * Sl_US_PER_MS)
#define Sl_PROBE_TIMEOUT_US (Sl_US_PER_S)
/* A member that is not reached for so long is moved out. */
#define Sl_MEMBER_DEAD_US (5 * Sl_US_PER_S)
/* The wanted members must stay the same for so long before a move. */
#define Sl_MOVE_SETTLE_US (2 * Sl_US_PER_S)
#define Sl_PROPOSE_RETRY_US (3 * Sl_US_PER_S)
#define Sl_PROPOSE_STAGGER_US (500 * Sl_US_PER_MS)
/* Former processes of a member that are remembered. */
#define Sl_MAX_FORMER_BOOTS 16

/* ---- types ---- */

/* The processes that asked in the name of one member. */
struct sl_member_boots {
    uint64_t boot; /* the one that is answered */
    size_t former_count;
    uint64_t former[Sl_MAX_FORMER_BOOTS];
};

struct sl_home_moves {
    struct sl_home home; /* the record in force; revision 0: none */
    int64_t started_us;
    bool settled; /* this process may give evidence */
    int64_t
        majority_since_us; /* since when a majority answers; 0: never did */
    bool established;
    int64_t effective_us; /* 0: not yet */
    int64_t effective_ms; /* wall clock */
    /* The record before, when this agent was effective under it. */
    struct sl_home previous_home;
    bool was_effective;
    int64_t previous_effective_ms;
    /* completion of the move */
    int64_t first_round_us;        /* 0: not complete */
    GHashTable *first_round_boots; /* member -> boot, of the first round */
    int64_t confirmed_us;          /* both rounds complete; 0: not yet */
    uint64_t last_nonce;
    GHashTable *member_boots; /* member -> struct sl_member_boots, owned */
    /* proposals */
    uint64_t wanted_hash;
    int64_t wanted_since_us;
    uint64_t propose_token;
    int64_t propose_retry_us;
};

/* ---- evidence ---- */

typedef bool (*sl_peer_predicate)(const struct sl_core *core,
                                  const struct sl_peer *peer);

static bool
is_self(const struct sl_core *core, const struct sl_name *member)
{
    return SlName_Equal(member, &core->options.upstream);
}

/* The member knows no later record, as of a question that is recent. */
static bool
confirms_revision(const struct sl_core *core, const struct sl_peer *peer)
{
    return peer->home_report.settled && peer->home_report.asked_us > 0 &&
           core->now_us - peer->home_report.asked_us <=
               Sl_FRESHNESS_LIMIT_US &&
           peer->home_report.home_revision <=
               core->agent->moves->home.revision;
}

static bool
has_applied(const struct sl_core *core, const struct sl_peer *peer)
{
    return peer->home_report.settled && peer->home_report.asked_us > 0 &&
           peer->home_report.home_revision ==
               core->agent->moves->home.revision;
}

/* As has_folded(), asked after the first round, by the same process. */
static bool
has_applied_again(const struct sl_core *core, const struct sl_peer *peer)
{
    const struct sl_home_moves *moves = core->agent->moves;
    const uint64_t *boot =
        g_hash_table_lookup(moves->first_round_boots, &peer->vm.upstream);
    return has_applied(core, peer) && boot != NULL && *boot == peer->boot &&
           peer->home_report.asked_us > moves->first_round_us;
}

static bool
has_majority(const struct sl_core *core, const struct sl_name *members,
             size_t count, sl_peer_predicate test)
{
    size_t agreeing = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_self(core, &members[i])) {
            agreeing += core->agent->moves->settled;
            continue;
        }
        const struct sl_peer *peer =
            SlMembership_PeerByUpstream(core, &members[i]);
        agreeing += peer != NULL && SlPeer_IsUp(peer) && test(core, peer);
    }
    return agreeing * 2 > count;
}

static bool
has_both_majorities(const struct sl_core *core, sl_peer_predicate test)
{
    const struct sl_home *home = &core->agent->moves->home;
    return has_majority(core, home->members, home->member_count, test) &&
           has_majority(core, home->previous, home->previous_count, test);
}

/* ---- completing a move ---- */

static void
become_effective(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    moves->established = true;
    if (moves->effective_us == 0) {
        moves->effective_us = core->now_us;
        moves->effective_ms = core->wall_ms;
        SlCore_Increment(core, "homes.effective");
        SlCore_Log(core, Sl_LOG_INFO, 0, NULL, "home record effective");
    }
}

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

static int64_t
freshness_wait_us(void)
{
    return (int64_t)((double)Sl_FRESHNESS_LIMIT_US *
                     (1 + Sl_CLOCK_DRIFT_RATIO));
}

/* A process that lost its memory gives evidence only after the log's head, or
 * a majority of the other members, told it what was moved before it started.
 */
static void
update_settled(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (moves->settled) {
        return;
    }
    moves->settled =
        SlLogFollower_HasReadUntil(core, moves->started_us) ||
        (moves->home.revision != 0 &&
         has_majority(core, moves->home.members, moves->home.member_count,
                      confirms_revision));
}

/* Former processes of this member are answered no more by a majority, and what
 * they were answered before is no longer fresh. */
static bool
former_processes_expired(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (moves->majority_since_us == 0 && SlHomeMoves_HasQuorum(core)) {
        moves->majority_since_us = core->now_us;
    }
    return moves->majority_since_us > 0 &&
           core->now_us - moves->majority_since_us > freshness_wait_us();
}

/* Both rounds of the present record; true once they are complete. */
static bool
is_confirmed(struct sl_core *core)
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

static void
advance_move(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (!moves->settled || moves->home.revision == 0 ||
        !former_processes_expired(core)) {
        return;
    }
    bool complete = moves->established || moves->home.previous_count == 0;
    if (!complete && is_confirmed(core)) {
        complete = core->now_us - moves->confirmed_us > freshness_wait_us();
    }
    if (complete) {
        become_effective(core);
    }
}

/* ---- proposals ---- */

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

static size_t
wanted_members(const struct sl_core *core, const struct sl_name *service,
               const struct sl_name **out)
{
    const struct sl_upstream *all[Sl_MAX_MEMBERS];
    size_t count =
        SlConfig_UpstreamsOf(core->config, service, all, Sl_MAX_MEMBERS);
    size_t wanted = 0;
    for (size_t i = 0; i < count; i++) {
        if (SlConfig_UpstreamInService(core->config, &all[i]->name) &&
            is_alive(core, all[i])) {
            out[wanted++] = &all[i]->name;
        }
    }
    return wanted;
}

static bool
equals_members(const struct sl_home *home, const struct sl_name *const *wanted,
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

static void
write_members(struct sl_buf *out, const struct sl_name *const *names,
              size_t count)
{
    SlBuf_AppendC(out, "[");
    for (size_t i = 0; i < count; i++) {
        SlBuf_AppendC(out, i == 0 ? "" : ",");
        SlBuf_AppendJson(out, SlName_Str(names[i]));
    }
    SlBuf_AppendC(out, "]");
}

static void
propose(struct sl_core *core, const struct sl_name *service,
        const struct sl_name *const *wanted, size_t count)
{
    struct sl_home_moves *moves = core->agent->moves;
    const struct sl_name *previous[Sl_MAX_MEMBERS];
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
    write_members(&records, wanted, count);
    SlBuf_AppendC(&records, ",\"previous\":");
    write_members(&records, previous, moves->home.member_count);
    SlBuf_AppendC(&records, "}}]");
    moves->propose_token =
        SlCore_AppendLog(core, Sl_STREAM_CONFIG, SlBuf_Str(&records));
    SlBuf_Free(&records);
    SlCore_Increment(core, "homes.proposed");
}

/* Several agents may propose the same move: the base revision lets one win. A
 * delay by place in the list makes that rare. */
static int64_t
propose_delay(const struct sl_core *core, const struct sl_name *const *wanted,
              size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (is_self(core, wanted[i])) {
            return Sl_MOVE_SETTLE_US + (int64_t)i * Sl_PROPOSE_STAGGER_US;
        }
    }
    return Sl_MOVE_SETTLE_US + (int64_t)count * Sl_PROPOSE_STAGGER_US;
}

static void
propose_if_needed(struct sl_core *core)
{
    struct sl_home_moves *moves = core->agent->moves;
    const struct sl_upstream *self = SlAgent_Upstream(core);
    const struct sl_name *wanted[Sl_MAX_MEMBERS];
    if (self == NULL || moves->propose_token != 0 ||
        core->now_us < moves->propose_retry_us || !moves->settled ||
        !SlConfig_NeedsHomes(core->config, &self->service) ||
        SlLogFollower_CheckFresh(core, NULL) != Sl_OK) {
        return;
    }
    if (moves->home.revision != 0 && !moves->established) {
        return;
    }
    size_t count = wanted_members(core, &self->service, wanted);
    if (count == 0 || equals_members(&moves->home, wanted, count)) {
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
        propose_delay(core, wanted, count)) {
        propose(core, &self->service, wanted, count);
    }
}

/* ---- probes ---- */

static void
probe(struct sl_core *core, const struct sl_name *member)
{
    struct sl_home_moves *moves = core->agent->moves;
    struct sl_peer *peer = SlMembership_PeerByUpstream(core, member);
    bool waits = peer != NULL && peer->probe_nonce != 0 &&
                 core->now_us - peer->probe_asked_us < Sl_PROBE_TIMEOUT_US;
    if (peer == NULL || !SlPeer_IsUp(peer) || waits) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_PROBE};
    msg.u.probe.service = moves->home.service;
    msg.u.probe.nonce = ++moves->last_nonce;
    peer->probe_nonce = moves->last_nonce;
    peer->probe_asked_us = core->now_us;
    SlCore_Send(core, peer, &msg);
}

static void
probe_members(struct sl_core *core)
{
    const struct sl_home *home = &core->agent->moves->home;
    for (size_t i = 0; i < home->member_count; i++) {
        probe(core, &home->members[i]);
    }
    for (size_t i = 0; i < home->previous_count; i++) {
        probe(core, &home->previous[i]);
    }
}

static void
on_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    update_settled(core);
    probe_members(core);
    advance_move(core);
    propose_if_needed(core);
    SlCore_SetTimer(core, Sl_MOVES_INTERVAL_US, on_due, id);
}

/* ---- claims ---- */

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
    size_t kept = MIN(boots->former_count, (size_t)Sl_MAX_FORMER_BOOTS);
    for (size_t i = 0; i < kept; i++) {
        if (boots->former[i] == boot) {
            return true;
        }
    }
    return false;
}

/* May that process ask in the name of its member? The newest that came up
 * may, and none that came before it. */
static bool
is_newest_process(struct sl_core *core, const struct sl_peer *peer)
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
    SlCore_SetTimer(core, Sl_MOVES_INTERVAL_US, on_due, 0);
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
        self == NULL ? NULL : SlConfig_Home(core->config, &self->service);
    if (home == NULL || home->revision == moves->home.revision) {
        return;
    }
    assert(home->revision > moves->home.revision);
    moves->was_effective = moves->effective_us > 0;
    moves->previous_home = moves->home;
    moves->previous_effective_ms = moves->effective_ms;
    moves->home = *home;
    moves->established = false;
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
    return moves->settled && moves->home.revision != 0 &&
           has_majority(core, moves->home.members, moves->home.member_count,
                        confirms_revision);
}

/* Was this agent home to the key under the record before, too? */
static bool
was_home_before(const struct sl_core *core, const struct sl_name *key)
{
    const struct sl_home_moves *moves = core->agent->moves;
    if (!moves->was_effective) {
        return false;
    }
    const struct sl_name *member = SlHome_Member(&moves->previous_home, key);
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
        SlConfig_Home(core->config, &probe_msg->service);
    struct sl_msg msg = {.type = Sl_MSG_PROOF};
    msg.u.proof.service = probe_msg->service;
    msg.u.proof.nonce = probe_msg->nonce;
    msg.u.proof.home_revision = home == NULL ? 0 : home->revision;
    msg.u.proof.settled = moves->settled && is_newest_process(core, peer);
    msg.u.proof.established = moves->established && home != NULL &&
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
    peer->home_report = (struct sl_home_report){
        .asked_us = peer->probe_asked_us,
        .home_revision = proof->home_revision,
        .settled = proof->settled,
    };
    if (proof->settled && proof->established &&
        proof->home_revision == moves->home.revision &&
        moves->home.revision != 0) {
        moves->established = true;
    }
    update_settled(core);
    advance_move(core);
}

void
SlHomeMoves_OnAppended(struct sl_core *core, const struct sl_event *event)
{
    struct sl_home_moves *moves = core->agent->moves;
    if (event->u.appended.token != moves->propose_token) {
        return;
    }
    /* Whether it won shows in the fold. A lost answer needs no more: a second
     * proposal has the same base, and only one can win. */
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
                 moves->settled ? "true" : "false",
                 moves->established ? "true" : "false",
                 moves->effective_us > 0 ? "true" : "false",
                 (gint64)(moves->effective_ms + Sl_CLOCK_SKEW_MS),
                 SlHomeMoves_HasQuorum(core) ? "true" : "false",
                 SlKeys_Count(core->agent->keys));
}
