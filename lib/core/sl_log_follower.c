/* Follows the configuration stream: reads the log and snapshots, pulls records
 * from peers, and distinguishes a log that is unavailable to all processes
 * from this process being cut off alone. See docs/design/configuration-log.md.
 *
 * A process acts on its configuration only while it is fresh: a recent proof
 * shows that this process has all records up to the log's head, or a majority
 * of the witnesses confirms that they know no later record. The age of a proof
 * or confirmation always counts from the time that it was asked for: an answer
 * that lay in a buffer while this process was paused proves nothing about the
 * present. */
#include "sl_core_internal.h"

#include <string.h>

/* Time between two reads of the configuration stream. */
#define Sl_POLL_INTERVAL_US (500 * Sl_US_PER_MS)
/* Largest number of configuration records in one read. */
#define Sl_PAGE_MAX_RECORDS 500
/* Time between two pulls from each connected peer. The pull and its answer are
 * also the heartbeat of the connection. */
#define Sl_PULL_INTERVAL_US (Sl_US_PER_S)
/* The same time while the last proof is older than Sl_PROOF_AGING_US. */
#define Sl_PULL_URGENT_INTERVAL_US (250 * Sl_US_PER_MS)
#define Sl_PROOF_AGING_US (Sl_US_PER_S)
/* A pull that is not answered for this long is sent again. */
#define Sl_PULL_TIMEOUT_US (Sl_US_PER_S)
/* Number of records kept to answer pulls; a peer that is further behind gets a
 * snapshot. */
#define Sl_TAIL_MAX_RECORDS 512
/* Largest number of records in the answer to a pull. */
#define Sl_PULL_MAX_RECORDS 200
/* A snapshot is due this many records after the last one ... */
#define Sl_SNAPSHOT_RECORDS 128
/* ... or, with jitter, this time after it. */
#define Sl_SNAPSHOT_INTERVAL_US (300 * Sl_US_PER_S)
/* Time, without jitter, between two checks whether a snapshot is due. */
#define Sl_SNAPSHOT_CHECK_US (2 * Sl_US_PER_S)
/* Largest number of snapshots in one read. */
#define Sl_SNAPSHOT_PAGE_RECORDS 16

/* ---- types ---- */

/* A record that was applied, as read from the log or from a peer. */
struct sl_tail_record {
    uint64_t offset;
    json_t *value; /* holds a reference */
};

/* ---- helpers ---- */

static void
free_record(gpointer data)
{
    struct sl_tail_record *record = data;
    json_decref(record->value);
    g_free(record);
}

static void
append_to_tail(struct sl_core *core, uint64_t offset, const json_t *value)
{
    struct sl_tail_record *record = g_new0(struct sl_tail_record, 1);
    record->offset = offset;
    record->value = json_incref((json_t *)value);
    g_queue_push_tail(core->follower.tail, record);
    if (core->follower.tail->length > Sl_TAIL_MAX_RECORDS) {
        free_record(g_queue_pop_head(core->follower.tail));
    }
}

static void
clear_tail(struct sl_core *core)
{
    struct sl_tail_record *record;
    while ((record = g_queue_pop_head(core->follower.tail)) != NULL) {
        free_record(record);
    }
}

/* Records that the version is out of service at the current offset. */
static void
set_withdrawn_offset(struct sl_core *core, const struct sl_name *version)
{
    uint64_t offset = SlConfig_Offset(core->config);
    g_hash_table_replace(core->follower.withdrawn,
                         g_memdup2(version, sizeof(*version)),
                         g_memdup2(&offset, sizeof(offset)));
}

/* Records the offset if the record just applied takes a version out of
 * service. The version may be back in service before that offset is looked up,
 * but sessions bound to the version may have moved to another one meanwhile.
 */
static void
record_withdrawal(struct sl_core *core, const json_t *record)
{
    static const char prefix[] = "mark/version/";
    const char *key = json_string_value(json_object_get(record, "key"));
    struct sl_name name;
    if (!g_str_has_prefix(key, prefix) ||
        !SlName_Set(&name, SlStr_FromC(key + strlen(prefix)))) {
        return;
    }
    const struct sl_version *version =
        SlConfig_FindVersion(core->config, &name);
    if (version != NULL && version->out_of_service) {
        set_withdrawn_offset(core, &name);
    }
}

/* Records all versions that are out of service; called after a snapshot was
 * restored. */
static void
record_all_withdrawals(struct sl_core *core)
{
    const struct sl_version *versions[Sl_STATUS_MAX_VERSIONS];
    size_t count = SlConfig_ListAllVersions(core->config, versions,
                                            Sl_STATUS_MAX_VERSIONS);
    for (size_t i = 0; i < count; i++) {
        if (versions[i]->out_of_service) {
            set_withdrawn_offset(core, &versions[i]->name);
        }
    }
}

static void
on_config_changed(struct sl_core *core)
{
    SlWitnesses_Choose(core);
    core->ops->on_config(core);
}

/* Applies one record. Returns false if it is not the next one. */
static bool
apply_record(struct sl_core *core, uint64_t offset, const json_t *value)
{
    struct sl_error err = {0};
    uint64_t offset_before = SlConfig_Offset(core->config);
    if (offset != offset_before + 1) {
        return false;
    }
    enum sl_apply_result result =
        SlConfig_Apply(core->config, offset, value, &err);
    assert(SlConfig_Offset(core->config) == offset_before + 1);
    /* Rejected records are kept, too: they have an offset, and peers must
     * apply the same sequence. */
    append_to_tail(core, offset, value);
    if (result == Sl_APPLY_ACCEPTED) {
        SlCore_Increment(core, "config.accepted");
        record_withdrawal(core, value);
    }
    else {
        SlCore_Increment(core, "config.rejected");
        SlCore_Log(core, Sl_LOG_INFO, 0, &err, "configuration rejected");
    }
    return true;
}

/* Returns true if this process has not reached the highest offset of its peers
 * since it started. The log may return an old head, so until then a read up to
 * the head proves nothing. */
static bool
is_behind(const struct sl_core *core)
{
    return !core->follower.caught_up &&
           SlConfig_Offset(core->config) < core->follower.max_peer_offset;
}

static void
update_caught_up(struct sl_core *core)
{
    struct sl_log_follower *follower = &core->follower;
    follower->caught_up |= follower->max_peer_offset > 0 && !is_behind(core);
}

/* Records a proof, asked for at `asked_us`, that this process knows the log's
 * head. */
static void
record_proof(struct sl_core *core, int64_t asked_us)
{
    struct sl_log_follower *follower = &core->follower;
    update_caught_up(core);
    if (!follower->has_proof || asked_us > follower->proof_us) {
        follower->proof_us = asked_us;
    }
    follower->has_proof = true;
}

/* Reads the records after the configuration's offset, unless a read is
 * outstanding. */
static void
read_config(struct sl_core *core)
{
    struct sl_log_follower *follower = &core->follower;
    if (follower->is_reading) {
        return;
    }
    follower->is_reading = true;
    follower->config_read_us = core->now_us;
    SlCore_ReadLog(core, Sl_STREAM_CONFIG, SlConfig_Offset(core->config) + 1,
                   Sl_PAGE_MAX_RECORDS);
}

/* Reads the snapshots that were not read yet, unless a read is outstanding. */
static void
read_snapshots(struct sl_core *core)
{
    struct sl_log_follower *follower = &core->follower;
    if (follower->is_reading_snapshots) {
        return;
    }
    follower->is_reading_snapshots = true;
    SlCore_ReadLog(core, Sl_STREAM_SNAPSHOTS, follower->snapshots_next,
                   Sl_SNAPSHOT_PAGE_RECORDS);
}

/* ---- timers ---- */

static void
on_poll_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    read_config(core);
    SlCore_SetTimer(core, Sl_POLL_INTERVAL_US, on_poll_due, id);
}

/* Returns true if the peer is up and no pull from it is outstanding, or the
 * outstanding one timed out. */
static bool
can_pull_from(const struct sl_core *core, const struct sl_peer *peer)
{
    if (!SlPeer_IsUp(peer)) {
        return false;
    }
    return peer->pull_asked_us == 0 ||
           core->now_us - (int64_t)peer->pull_asked_us > Sl_PULL_TIMEOUT_US;
}

/* Asks a peer for the records after the configuration's offset. */
static void
pull_from(struct sl_core *core, struct sl_peer *peer)
{
    struct sl_msg msg = {.type = Sl_MSG_PULL};
    msg.u.pull.from = SlConfig_Offset(core->config) + 1;
    peer->pull_asked_us = (uint64_t)core->now_us;
    SlCore_Send(core, peer, &msg);
}

static void
on_pulls_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    for (guint i = 0; i < core->peers->len; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (can_pull_from(core, peer)) {
            pull_from(core, peer);
        }
    }
    bool is_urgent = SlLogFollower_ProofAgeUs(core) > Sl_PROOF_AGING_US;
    SlCore_SetTimer(
        core, is_urgent ? Sl_PULL_URGENT_INTERVAL_US : Sl_PULL_INTERVAL_US,
        on_pulls_due, id);
}

/* Appends the current configuration to the stream of snapshots. */
static void
append_snapshot(struct sl_core *core)
{
    struct sl_buf records = {0};
    SlBuf_Printf(&records, "[{\"offset\":%" G_GUINT64_FORMAT ",\"snapshot\":",
                 (guint64)SlConfig_Offset(core->config));
    SlConfig_Snapshot(core->config, &records);
    SlBuf_AppendC(&records, "}]");
    core->follower.snapshot_token =
        SlCore_AppendLog(core, Sl_STREAM_SNAPSHOTS, SlBuf_Str(&records));
    SlCore_Increment(core, "snapshots.appended");
    SlBuf_Free(&records);
}

/* Returns true if the last known snapshot is so old that this process should
 * write one. Only a process that has read the log to its head does. */
static bool
is_snapshot_due(const struct sl_core *core)
{
    const struct sl_log_follower *follower = &core->follower;
    uint64_t offset = SlConfig_Offset(core->config);
    if (!follower->read_head || offset == 0 || follower->snapshot_token != 0) {
        return false;
    }
    return offset >= follower->snapshot_offset + Sl_SNAPSHOT_RECORDS ||
           core->now_us >= follower->snapshot_due_us;
}

/* A snapshot that seems due is written only after the stream of snapshots was
 * read to its head, because another process may have written one. */
static void
on_snapshot_check_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    if (is_snapshot_due(core)) {
        read_snapshots(core);
    }
    int64_t jitter = SlRandom_Below(&core->random, Sl_SNAPSHOT_CHECK_US);
    SlCore_SetTimer(core, Sl_SNAPSHOT_CHECK_US + jitter, on_snapshot_check_due,
                    id);
}

/* Sets the time of the next snapshot; called when one was seen or written. */
static void
postpone_snapshot(struct sl_core *core)
{
    int64_t jitter =
        (int64_t)(SlRandom_Unit(&core->random) * Sl_SNAPSHOT_INTERVAL_US);
    core->follower.snapshot_due_us =
        core->now_us + Sl_SNAPSHOT_INTERVAL_US + jitter;
}

/* ---- results of log reads ---- */

/* Applies a page of the configuration stream. */
static void
on_config_page(struct sl_core *core, const struct sl_log_page *page)
{
    struct sl_log_follower *follower = &core->follower;
    uint64_t offset_before = SlConfig_Offset(core->config);
    follower->log_oldest = page->oldest;
    follower->log_head = page->head;
    /* The log returned a head older than what this process has. */
    if (page->head < offset_before + 1) {
        SlCore_Increment(core, "log.head_back");
        return;
    }
    /* The log no longer has the next record: a snapshot must replace the
     * records that are missing. */
    if (page->oldest > offset_before + 1) {
        SlCore_Increment(core, "log.truncated");
        follower->truncated = true;
        read_snapshots(core);
        return;
    }
    follower->truncated = false;
    follower->has_state = true;
    for (size_t i = 0; i < page->count; i++) {
        apply_record(core, page->records[i].offset, page->records[i].value);
    }
    uint64_t offset_after = SlConfig_Offset(core->config);
    if (offset_after + 1 >= page->head) {
        follower->read_head = true;
        follower->head_read_us = follower->config_read_us;
        record_proof(core, follower->config_read_us);
    }
    if (offset_after != offset_before) {
        on_config_changed(core);
    }
    if (offset_after + 1 < page->head && offset_after != offset_before) {
        read_config(core);
    }
}

/* Replaces the configuration by a snapshot if that is newer. */
static void
restore_snapshot(struct sl_core *core, const json_t *snapshot)
{
    struct sl_error err = {0};
    if (SlConfig_Restore(core->config, snapshot, &err) != Sl_OK) {
        /* A snapshot that is not newer is no error. */
        if (err.code != Sl_ERR_CONFLICT) {
            SlCore_Increment(core, "snapshots.invalid");
            SlCore_Log(core, Sl_LOG_WARN, 0, &err, "snapshot not restored");
        }
        return;
    }
    SlCore_Increment(core, "snapshots.taken");
    clear_tail(core);
    record_all_withdrawals(core);
    core->follower.has_state = true;
    on_config_changed(core);
}

/* Notes the offset of a snapshot in the log, and restores the snapshot if this
 * process needs one. */
static void
on_snapshot_record(struct sl_core *core, const json_t *value)
{
    struct sl_log_follower *follower = &core->follower;
    json_int_t offset = json_integer_value(json_object_get(value, "offset"));
    if (offset > 0 && (uint64_t)offset >= follower->snapshot_offset) {
        follower->snapshot_offset = (uint64_t)offset;
        postpone_snapshot(core);
    }
    if (follower->truncated || !follower->has_state) {
        restore_snapshot(core, json_object_get(value, "snapshot"));
    }
}

/* Handles a page of the stream of snapshots. At the end of the stream, reads
 * the configuration after the restored snapshot, or writes a snapshot that is
 * still due. */
static void
on_snapshots_page(struct sl_core *core, const struct sl_log_page *page)
{
    struct sl_log_follower *follower = &core->follower;
    follower->snapshots_next = MAX(follower->snapshots_next, page->oldest);
    for (size_t i = 0; i < page->count; i++) {
        on_snapshot_record(core, page->records[i].value);
        follower->snapshots_next = page->records[i].offset + 1;
    }
    if (follower->snapshots_next < page->head && page->count > 0) {
        read_snapshots(core);
        return;
    }
    if (follower->truncated) {
        read_config(core);
        return;
    }
    if (is_snapshot_due(core)) {
        append_snapshot(core);
    }
}

/* ---- internal API ---- */

void
SlLogFollower_Start(struct sl_core *core)
{
    core->follower.tail = g_queue_new();
    core->follower.withdrawn = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, g_free, g_free);
    core->follower.snapshots_next = 1;
    postpone_snapshot(core);
    read_config(core);
    SlCore_SetTimer(core, Sl_POLL_INTERVAL_US, on_poll_due, 0);
    SlCore_SetTimer(core, Sl_PULL_URGENT_INTERVAL_US, on_pulls_due, 0);
    SlCore_SetTimer(core, Sl_SNAPSHOT_CHECK_US, on_snapshot_check_due, 0);
}

void
SlLogFollower_Free(struct sl_core *core)
{
    if (core->follower.tail != NULL) {
        g_queue_free_full(core->follower.tail, free_record);
    }
    g_hash_table_destroy(core->follower.withdrawn);
}

void
SlLogFollower_OnRead(struct sl_core *core, const struct sl_event *event)
{
    struct sl_log_follower *follower = &core->follower;
    bool is_config = event->u.read.stream == Sl_STREAM_CONFIG;
    if (is_config) {
        follower->is_reading = false;
    }
    else {
        follower->is_reading_snapshots = false;
    }
    if (event->err != NULL) {
        SlCore_Increment(core, "log.read_failed");
        return;
    }
    if (is_config) {
        on_config_page(core, event->u.read.page);
    }
    else {
        on_snapshots_page(core, event->u.read.page);
    }
}

bool
SlLogFollower_OnAppended(struct sl_core *core, const struct sl_event *event)
{
    if (event->u.appended.token != core->follower.snapshot_token) {
        return false;
    }
    core->follower.snapshot_token = 0;
    postpone_snapshot(core);
    /* Tried again at the next check. */
    if (event->err != NULL) {
        SlCore_Increment(core, "snapshots.append_failed");
        core->follower.snapshot_due_us = core->now_us + Sl_SNAPSHOT_CHECK_US;
    }
    return true;
}

void
SlLogFollower_OnEnvelope(struct sl_core *core, struct sl_peer *peer,
                         const struct sl_msg *msg)
{
    uint64_t own_offset = SlConfig_Offset(core->config);
    bool peer_is_ahead = msg->offset > own_offset;
    core->follower.max_peer_offset =
        MAX(core->follower.max_peer_offset, msg->offset);
    update_caught_up(core);
    if (peer_is_ahead && msg->type != Sl_MSG_RECORDS &&
        can_pull_from(core, peer)) {
        pull_from(core, peer);
    }
}

void
SlLogFollower_OnPull(struct sl_core *core, struct sl_peer *peer,
                     const struct sl_msg_pull *pull)
{
    struct sl_msg msg = {.type = Sl_MSG_RECORDS};
    struct sl_buf json = {0};
    if (!core->follower.has_state) {
        return;
    }
    const struct sl_tail_record *first =
        g_queue_peek_head(core->follower.tail);
    /* The tail has all records from `pull->from` on, or there are none. */
    bool tail_suffices = pull->from > SlConfig_Offset(core->config) ||
                         (first != NULL && first->offset <= pull->from);
    msg.u.records.snapshot = !tail_suffices;
    if (!tail_suffices) {
        SlConfig_Snapshot(core->config, &json);
    }
    else {
        const char *separator = "";
        size_t count = 0;
        SlBuf_AppendC(&json, "[");
        for (GList *link = core->follower.tail->head;
             link != NULL && count < Sl_PULL_MAX_RECORDS; link = link->next) {
            const struct sl_tail_record *record = link->data;
            if (record->offset < pull->from) {
                continue;
            }
            char *value = json_dumps(record->value, JSON_COMPACT);
            SlBuf_Printf(&json,
                         "%s{\"offset\":%" G_GUINT64_FORMAT ",\"value\":%s}",
                         separator, (guint64)record->offset, value);
            free(value);
            separator = ",";
            count++;
        }
        SlBuf_AppendC(&json, "]");
    }
    msg.u.records.json = SlEffects_CopyBytes(core->effects, SlBuf_Str(&json));
    SlCore_Send(core, peer, &msg);
    SlBuf_Free(&json);
}

/* Applies the records of a peer's answer that follow the present offset. A
 * process without configuration needs them from the first record on. */
static void
apply_records(struct sl_core *core, const json_t *list)
{
    size_t i;
    json_t *item;
    json_array_foreach((json_t *)list, i, item)
    {
        json_int_t offset =
            json_integer_value(json_object_get(item, "offset"));
        json_t *value = json_object_get(item, "value");
        if (offset == 1 && SlConfig_Offset(core->config) == 0) {
            core->follower.has_state = true;
        }
        if (core->follower.has_state && value != NULL) {
            apply_record(core, (uint64_t)offset, value);
        }
    }
}

void
SlLogFollower_OnRecords(struct sl_core *core, struct sl_peer *peer,
                        const struct sl_msg *msg)
{
    uint64_t offset_before = SlConfig_Offset(core->config);
    int64_t asked_us = (int64_t)peer->pull_asked_us; /* 0: not asked */
    json_t *json =
        json_loadb(msg->u.records.json.ptr, msg->u.records.json.len, 0, NULL);
    peer->pull_asked_us = 0;
    if (json == NULL || asked_us == 0) {
        SlCore_Increment(core, "records.unasked");
        json_decref(json);
        return;
    }
    if (msg->u.records.snapshot) {
        restore_snapshot(core, json);
    }
    else {
        apply_records(core, json);
    }
    json_decref(json);
    uint64_t offset_after = SlConfig_Offset(core->config);
    /* restore_snapshot() does this itself. */
    if (!msg->u.records.snapshot && offset_after != offset_before) {
        on_config_changed(core);
    }
    peer->pull_confirmed_us = asked_us;
    peer->pull_confirmed_offset = msg->offset;
    /* The peer's proof is one for this process, too, which now has all that
     * the peer had. Its age counts from when the pull was sent. */
    bool has_all_of_peer =
        core->follower.has_state && offset_after >= msg->offset;
    if (has_all_of_peer && msg->proof_age_us < asked_us) {
        record_proof(core, asked_us - msg->proof_age_us);
    }
    if (offset_after < msg->offset && offset_after != offset_before) {
        pull_from(core, peer);
    }
}

uint64_t
SlLogFollower_WithdrawnAtOffset(const struct sl_core *core,
                                const struct sl_name *version)
{
    const uint64_t *offset =
        g_hash_table_lookup(core->follower.withdrawn, version);
    return offset == NULL ? 0 : *offset;
}

bool
SlLogFollower_HasReadUntil(const struct sl_core *core, int64_t at_us)
{
    return core->follower.read_head &&
           core->follower.head_read_us >= at_us + Sl_LOG_HEAD_LAG_US;
}

int64_t
SlLogFollower_ProofAgeUs(const struct sl_core *core)
{
    if (!core->follower.has_proof) {
        return Sl_NEVER_US;
    }
    return MAX(core->now_us - core->follower.proof_us, 0);
}

enum sl_errno
SlLogFollower_CheckFresh(const struct sl_core *core, struct sl_error *err)
{
    const char *step = "config.fresh";
    if (!core->follower.has_state) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           core->follower.truncated
                               ? "the log was truncated and no snapshot or "
                                 "peer gave the configuration"
                               : "no configuration was read yet");
    }
    if (is_behind(core)) {
        return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                           "starting: a peer has offset %" G_GUINT64_FORMAT,
                           (guint64)core->follower.max_peer_offset);
    }
    if (SlLogFollower_ProofAgeUs(core) <= Sl_FRESHNESS_LIMIT_US) {
        return Sl_OK;
    }
    if (SlWitnesses_HaveMajority(core)) {
        return Sl_OK;
    }
    return SlError_Set(err, Sl_ERR_REFUSED, step, NULL,
                       "cut off: neither the log nor a majority of agents "
                       "confirmed offset %" G_GUINT64_FORMAT " in time",
                       (guint64)SlConfig_Offset(core->config));
}
