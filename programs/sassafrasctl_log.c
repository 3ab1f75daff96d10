/* Synchronous calls of the platform's log service: each runs the event loop
 * until its callback was called. */
#include "sassafrasctl.h"

#include <event2/event.h>

#define Sl_MAX_PAGE_RECORDS 500 /* records of one read */
/* A replay is retried from another snapshot, because the log may truncate the
 * stream between the read of a snapshot and that of the records after it. */
#define Sl_MAX_REPLAY_RETRIES 3

/* ---- types ---- */

struct sl_pending_read {
    struct sl_ctl_scan *scan;
    size_t count; /* records of the page that was read */
    bool done;
    enum sl_errno code;
    struct sl_error *err;
};

struct sl_pending_append {
    uint64_t first_offset;
    bool done;
    enum sl_errno code;
    struct sl_error *err;
};

struct sl_config_replay {
    struct sl_config *config;
    const struct sl_ctl_observer *observer;
};

/* ---- helpers ---- */

static void
run_until_done(struct sl_ctl *ctl, const bool *done)
{
    while (!*done) {
        SlCtl_RunOnce(ctl);
    }
}

/* Passes the records of a page to the scan's callback. */
static enum sl_errno
visit_records(struct sl_ctl_scan *scan, const struct sl_log_page *page,
              struct sl_error *err)
{
    scan->oldest = page->oldest;
    scan->head = page->head;
    if (scan->from < page->oldest && !scan->skip_gap) {
        return SlError_Set(err, Sl_ERR_CONFLICT, "log.read", "log",
                           "stream \"%s\" was truncated: the oldest record "
                           "kept is %" G_GUINT64_FORMAT,
                           scan->stream, (guint64)page->oldest);
    }
    for (size_t i = 0; i < page->count; i++) {
        const struct sl_log_record *record = &page->records[i];
        Sl_TRY(scan->visit(scan->context, record->offset, record->value, err));
        scan->from = record->offset + 1;
    }
    return Sl_OK;
}

static void
on_read(void *context, const struct sl_error *err,
        const struct sl_log_page *page)
{
    struct sl_pending_read *pending = context;
    pending->done = true;
    if (err != NULL) {
        *pending->err = *err;
        pending->code = err->code;
        return;
    }
    pending->count = page->count;
    pending->code = visit_records(pending->scan, page, pending->err);
}

static void
on_appended(void *context, const struct sl_error *err, uint64_t first_offset)
{
    struct sl_pending_append *pending = context;
    pending->done = true;
    pending->first_offset = first_offset;
    if (err != NULL) {
        *pending->err = *err;
        pending->code = err->code;
    }
}

/* Applies one record; fails if records are missing before it. */
static enum sl_errno
apply_record(void *context, uint64_t offset, const json_t *value,
             struct sl_error *err)
{
    struct sl_config_replay *replay = context;
    struct sl_error reason = {0};
    uint64_t next_offset = SlConfig_Offset(replay->config) + 1;
    if (offset != next_offset) {
        return SlError_Set(err, Sl_ERR_INVALID, "log.read", "log",
                           "record %" G_GUINT64_FORMAT
                           " was received where %" G_GUINT64_FORMAT
                           " was expected",
                           (guint64)offset, (guint64)next_offset);
    }
    enum sl_apply_result apply_result =
        SlConfig_Apply(replay->config, offset, value, &reason);
    if (replay->observer != NULL) {
        replay->observer->on_record(replay->observer->context, offset, value,
                                    apply_result, &reason);
    }
    return Sl_OK;
}

static enum sl_errno
extract_snapshot(void *context, uint64_t offset, const json_t *value,
                 struct sl_error *err)
{
    json_t **snapshot = context;
    (void)offset;
    (void)err;
    *snapshot = json_incref(json_object_get(value, "snapshot"));
    return Sl_OK;
}

/* Reads the snapshot at `snapshot_offset`, or the oldest one if that was
 * truncated. Sets `snapshot` to NULL if there is none; the caller owns it. */
static enum sl_errno
read_snapshot(struct sl_ctl *ctl, uint64_t snapshot_offset,
              struct sl_ctl_scan *scan, json_t **snapshot,
              struct sl_error *err)
{
    *snapshot = NULL;
    *scan = (struct sl_ctl_scan){
        .stream = Sl_CTL_STREAM_SNAPSHOTS,
        .from = snapshot_offset,
        .visit = extract_snapshot,
        .context = snapshot,
        .skip_gap = true,
        .one_record = true,
    };
    return SlCtl_Scan(ctl, scan, err);
}

/* Finds the newest or the earliest snapshot from which the configuration can
 * be replayed if the oldest record kept is at `oldest`. Sets `found` to NULL
 * if there is none; the caller owns it. */
static enum sl_errno
find_snapshot(struct sl_ctl *ctl, uint64_t oldest, bool earliest,
              json_t **found, struct sl_error *err)
{
    struct sl_ctl_scan scan;
    json_t *snapshot = NULL;
    *found = NULL;
    /* This read is for `oldest` and `head` of the stream only. */
    Sl_TRY(read_snapshot(ctl, 1, &scan, &snapshot, err));
    json_decref(snapshot);
    for (uint64_t snapshot_offset = scan.head - 1;
         snapshot_offset >= scan.oldest; snapshot_offset--) {
        Sl_TRY(read_snapshot(ctl, snapshot_offset, &scan, &snapshot, err));
        json_int_t offset =
            json_integer_value(json_object_get(snapshot, "offset"));
        if (offset <= 0 || (uint64_t)offset + 1 < oldest) {
            json_decref(snapshot);
            break;
        }
        json_decref(*found);
        *found = snapshot;
        if (!earliest) {
            break;
        }
    }
    return Sl_OK;
}

/* Restores the configuration from a snapshot, for records before `oldest` that
 * were truncated. Returns Sl_ERR_REFUSED if no snapshot covers them. */
static enum sl_errno
restore_covering_snapshot(struct sl_ctl *ctl, uint64_t oldest, bool earliest,
                          struct sl_error *err)
{
    json_t *snapshot = NULL;
    Sl_TRY(find_snapshot(ctl, oldest, earliest, &snapshot, err));
    if (snapshot == NULL) {
        return SlError_Set(err, Sl_ERR_REFUSED, "config.restore", "log",
                           "configuration records before %" G_GUINT64_FORMAT
                           " were truncated and no snapshot covers them",
                           (guint64)oldest);
    }
    enum sl_errno code = SlConfig_Restore(ctl->config, snapshot, err);
    json_decref(snapshot);
    return code;
}

/* Restores the newest snapshot, if there is a valid one, to avoid reading the
 * whole stream. */
static enum sl_errno
restore_newest_snapshot(struct sl_ctl *ctl, struct sl_error *err)
{
    struct sl_error ignored;
    json_t *snapshot = NULL;
    Sl_TRY(find_snapshot(ctl, 1, false, &snapshot, err));
    if (snapshot != NULL) {
        SlConfig_Restore(ctl->config, snapshot, &ignored);
        json_decref(snapshot);
    }
    return Sl_OK;
}

/* Applies the records that follow the configuration's offset. */
static enum sl_errno
replay_records(struct sl_ctl *ctl, struct sl_ctl_scan *scan,
               const struct sl_ctl_observer *observer, struct sl_error *err)
{
    struct sl_config_replay replay = {ctl->config, observer};
    *scan = (struct sl_ctl_scan){
        .stream = Sl_CTL_STREAM_CONFIG,
        .from = SlConfig_Offset(ctl->config) + 1,
        .visit = apply_record,
        .context = &replay,
    };
    return SlCtl_Scan(ctl, scan, err);
}

/* ---- public ---- */

enum sl_errno
SlCtl_Scan(struct sl_ctl *ctl, struct sl_ctl_scan *scan, struct sl_error *err)
{
    struct sl_pending_read pending = {.scan = scan, .err = err};
    size_t max_records = scan->one_record ? 1 : Sl_MAX_PAGE_RECORDS;
    do {
        pending.done = false;
        ctl->log->ops->read(ctl->log, scan->stream, scan->from, max_records,
                            on_read, &pending);
        run_until_done(ctl, &pending.done);
        if (pending.code != Sl_OK) {
            return pending.code;
        }
        /* An empty page ends the scan, whatever head it reports. */
    } while (!scan->one_record && pending.count > 0 &&
             scan->from < scan->head);
    return Sl_OK;
}

void
SlCtl_RunOnce(struct sl_ctl *ctl)
{
    event_base_loop(ctl->base, EVLOOP_ONCE);
}

void
SlCtl_Sleep(struct sl_ctl *ctl, int64_t us)
{
    const struct timeval pause = {us / Sl_US_PER_S, us % Sl_US_PER_S};
    event_base_loopexit(ctl->base, &pause);
    event_base_dispatch(ctl->base);
}

enum sl_errno
SlCtl_Append(struct sl_ctl *ctl, const char *stream, struct sl_str records,
             uint64_t *first_offset, struct sl_error *err)
{
    struct sl_pending_append pending = {.err = err};
    ctl->log->ops->append(ctl->log, stream, records, on_appended, &pending);
    run_until_done(ctl, &pending.done);
    *first_offset = pending.first_offset;
    return pending.code;
}

enum sl_errno
SlCtl_ReplayConfig(struct sl_ctl *ctl, const struct sl_ctl_observer *observer,
                   struct sl_error *err)
{
    struct sl_ctl_scan scan;
    bool earliest = observer != NULL && observer->earliest;
    if (SlConfig_Offset(ctl->config) == 0 && !earliest) {
        Sl_TRY(restore_newest_snapshot(ctl, err));
    }
    enum sl_errno code = replay_records(ctl, &scan, observer, err);
    for (int i = 0; i < Sl_MAX_REPLAY_RETRIES && code == Sl_ERR_CONFLICT;
         i++) {
        Sl_TRY(restore_covering_snapshot(ctl, scan.oldest, earliest, err));
        code = replay_records(ctl, &scan, observer, err);
    }
    return code;
}
