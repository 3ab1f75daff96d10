/* The entry role: accepts requests of clients, and dispatches the events of
 * the role to the files that handle them. */
#include "sl_entry_internal.h"

#include <string.h>

/* Tokens that each request adds to the retry budget; a retry takes 1. */
#define Sl_RETRY_SHARE 0.1
/* Largest number of tokens in the retry budget. */
#define Sl_RETRY_MAX_TOKENS 20
/* Longest deadline that a client may set. */
#define Sl_MAX_DEADLINE_MS ((int64_t)24 * 3600 * 1000)

#define Sl_HTTP_BAD_REQUEST 400
#define Sl_HTTP_FORBIDDEN 403
#define Sl_HTTP_UNAVAILABLE 503

/* ---- accepting ---- */

/* Reads the value `text` of a header into `out`. */
static enum sl_errno
read_name(struct sl_str text, const char *header, bool required,
          struct sl_name *out, struct sl_error *err)
{
    if (text.len == 0 && required) {
        return SlError_Set(err, Sl_ERR_INVALID, "entry.accept", NULL,
                           "header \"%s\" is missing", header);
    }
    if (!SlName_Set(out, text)) {
        return SlError_Set(err, Sl_ERR_INVALID, "entry.accept", NULL,
                           "header \"%s\" has more than %d bytes or a control "
                           "byte",
                           header, Sl_NAME_MAX_BYTES);
    }
    return Sl_OK;
}

/* Reads the value `text` of a header into `out`. Leaves `out` unchanged if the
 * header is absent. */
static enum sl_errno
read_number(struct sl_str text, const char *header, int64_t min, int64_t max,
            int64_t *out, struct sl_error *err)
{
    char digits[24] = {0}; /* longer than any 64-bit number */
    char *end = NULL;
    if (text.len == 0) {
        return Sl_OK;
    }
    bool fits = text.len < sizeof(digits);
    if (fits) {
        memcpy(digits, text.ptr, text.len);
        *out = g_ascii_strtoll(digits, &end, 10);
    }
    if (!fits || end != digits + text.len || *out < min || *out > max) {
        return SlError_Set(err, Sl_ERR_INVALID, "entry.accept", NULL,
                           "header \"%s\" must be a whole number from "
                           "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                           header, (gint64)min, (gint64)max);
    }
    return Sl_OK;
}

/* Reads the request's headers. Leaves `deadline_ms` unchanged if the client
 * set no deadline. */
static enum sl_errno
read_headers(const struct sl_http_request *http, struct sl_request *request,
             int64_t *deadline_ms, struct sl_error *err)
{
    Sl_TRY(read_name(http->team, "Sassafras-Team", true,
                     &request->attributes.team, err));
    Sl_TRY(read_name(http->kind, "Sassafras-Kind", true,
                     &request->attributes.kind, err));
    Sl_TRY(read_name(http->session, "Sassafras-Session", false,
                     &request->attributes.session, err));
    Sl_TRY(read_name(http->key, "Idempotency-Key", false, &request->key, err));
    Sl_TRY(read_number(http->issued, "Sassafras-Issued", 0, INT64_MAX,
                       &request->issued_ms, err));
    return read_number(http->deadline, "Sassafras-Deadline-Ms", 1,
                       Sl_MAX_DEADLINE_MS, deadline_ms, err);
}

/* Returns the key of the request's bill: a hash of the team and the client's
 * idempotency key if there is one, so that a request that is submitted several
 * times is billed once; otherwise the request id. */
static struct sl_name
make_bill_key(const struct sl_core *core, const struct sl_request *request)
{
    struct sl_name name = {0};
    if (SlName_IsEmpty(&request->key)) {
        name = SlRequest_Name(core, request);
        return name;
    }
    uint64_t team = SlHash_Bytes(1, SlName_Str(&request->attributes.team));
    uint64_t high = SlHash_Bytes(team, SlName_Str(&request->key));
    uint64_t low = SlHash_Bytes(~team, SlName_Str(&request->key));
    int len =
        snprintf(name.text, sizeof(name.text),
                 "key-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                 (guint64)high, (guint64)low);
    name.len = (uint8_t)len;
    return name;
}

/* Copies the selector's settings to the request. */
static void
copy_selector(const struct sl_core *core, struct sl_request *request,
              const struct sl_selector *selector)
{
    const struct sl_service *service =
        SlConfig_FindService(core->config, &selector->service);
    request->service = selector->service;
    request->engine = service->type == Sl_SERVICE_ENGINE;
    request->idempotent = selector->idempotent;
    request->may_wait = selector->may_wait;
    request->quality = selector->quality;
}

/* Checks whether a request can be accepted, and fills `request`. On failure
 * sets status and Retry-After of `refusal`, and what is known of `request`. */
static enum sl_errno
check_request(struct sl_core *core, const struct sl_http_request *http,
              struct sl_request *request, struct sl_refusal *refusal,
              struct sl_error *err)
{
    int64_t deadline_ms = 0;
    refusal->status = Sl_HTTP_BAD_REQUEST;
    Sl_TRY(read_headers(http, request, &deadline_ms, err));
    refusal->status = Sl_HTTP_UNAVAILABLE;
    refusal->retry_after_us = Sl_RETRY_AFTER_US;
    const struct sl_selector *selector =
        SlConfig_FindSelector(core->config, &request->attributes);
    if (selector != NULL) {
        copy_selector(core, request, selector);
    }
    if (core->entry->stopped_accepting) {
        return SlError_Set(err, Sl_ERR_REFUSED, "entry.accept", NULL,
                           "draining");
    }
    Sl_TRY(SlCore_CheckAccepting(core, err));
    if (selector == NULL) {
        refusal->status = Sl_HTTP_FORBIDDEN;
        refusal->retry_after_us = 0;
        return SlError_Set(err, Sl_ERR_REFUSED, "entry.accept", NULL,
                           "no selector allows team \"%s\" kind \"%s\"",
                           request->attributes.team.text,
                           request->attributes.kind.text);
    }
    if (deadline_ms == 0) {
        deadline_ms = selector->deadline_ms;
    }
    request->deadline_us = core->now_us + deadline_ms * Sl_US_PER_MS;
    return SlPlan_FillSteps(core, request, selector, err);
}

static void
copy_buffers(struct sl_request *request, const struct sl_http_request *http)
{
    SlBuf_Append(&request->method, http->method);
    SlBuf_Append(&request->path, http->path);
    SlBuf_Append(&request->content_type, http->content_type);
    SlBuf_Append(&request->body, http->body);
}

static void
on_http_request(struct sl_core *core, const struct sl_http_request *http)
{
    struct sl_entry *entry = core->entry;
    struct sl_error err = {0};
    struct sl_refusal refusal = {.outcome = Sl_OUTCOME_NOT_RUN};
    struct sl_request *request = g_new0(struct sl_request, 1);
    SlCore_Increment(core, "requests");
    if (check_request(core, http, request, &refusal, &err) != Sl_OK) {
        /* An earlier submission of the same key may have run; the agent that
         * would know was not asked. */
        if (SlRequest_IsKeyed(request)) {
            refusal.outcome = Sl_OUTCOME_UNKNOWN;
        }
        SlCore_Increment(core, "requests.refused");
        SlRequest_Refuse(core, http->conn, &refusal, &err);
        SlRequest_Free(request);
        return;
    }
    request->seq = ++entry->last_seq;
    request->accepted_ms = core->wall_ms;
    request->conn = http->conn;
    request->bill = make_bill_key(core, request);
    copy_buffers(request, http);
    g_hash_table_insert(entry->requests, &request->seq, request);
    g_hash_table_insert(entry->request_by_conn, &request->conn, request);
    /* A later request with the same key replaces the earlier one in this
     * table. */
    g_hash_table_replace(entry->request_by_bill, &request->bill, request);
    request->deadline_timer =
        SlTimers_Add(core->timers, request->deadline_us, SlAttempt_OnDeadline,
                     core, request->seq);
    SlTokenBucket_Refill(&entry->retry_budget);
    if (request->engine && !SlName_IsEmpty(&request->attributes.session)) {
        SlPins_Resolve(core, request);
        return;
    }
    SlPlan_ChooseStep(core, request, 0);
    SlAttempt_Start(core, request);
}

/* Keeps an agent's status, and passes its cumulative counts per version to the
 * evidence on versions. */
static void
on_status(struct sl_core *core, struct sl_peer *peer,
          const struct sl_msg_status *status)
{
    peer->has_status = true;
    peer->local_since_report = 0;
    peer->status_us = core->now_us;
    peer->status = *status;
    if (status->version_count > 0) {
        memcpy(peer->versions, status->versions,
               status->version_count * sizeof(peer->versions[0]));
    }
    peer->status.versions = peer->versions;
    for (size_t i = 0; i < status->version_count; i++) {
        const struct sl_version_counts *counts = &peer->versions[i];
        struct sl_result_counts results = {counts->done, counts->failed,
                                           counts->rated, counts->score_sum};
        SlEvidence_Report(core->entry->evidence, &peer->vm.upstream,
                          peer->boot, &counts->version, &results);
    }
}

/* ---- draining ---- */

/* Stops accepting requests; see Sl_EVENT_DRAIN. */
static void
on_drain_grace_end(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)id;
    (void)now_us;
    if (!core->entry->stopped_accepting) {
        core->entry->stopped_accepting = true;
        SlEffects_Add(core->effects, Sl_EFFECT_HTTP_STOP_ACCEPTING);
    }
}

/* ---- role ---- */

static void
on_event(struct sl_core *core, const struct sl_event *event)
{
    switch (event->type) {
    case Sl_EVENT_HTTP_REQUEST:
        on_http_request(core, &event->u.http);
        break;
    case Sl_EVENT_HTTP_DISCONNECTED: {
        struct sl_request *request =
            g_hash_table_lookup(core->entry->request_by_conn, &event->u.conn);
        if (request != NULL) {
            SlCore_Increment(core, "callers.gone");
            SlAttempt_Abandon(core, request);
        }
        break;
    }
    case Sl_EVENT_LOG_READ:
        SlBills_OnRead(core, event);
        break;
    case Sl_EVENT_LOG_APPENDED:
        SlBills_OnAppended(core, event);
        break;
    case Sl_EVENT_RATED:
        SlRatings_OnRated(core, event);
        break;
    case Sl_EVENT_DRAIN:
        if (core->options.drain_grace_us > 0) {
            SlCore_SetTimer(core, core->options.drain_grace_us,
                            on_drain_grace_end, 0);
        }
        else {
            on_drain_grace_end(core, 0, core->now_us);
        }
        break;
    default:
        break;
    }
}

static void
on_message(struct sl_core *core, struct sl_peer *peer,
           const struct sl_msg *msg)
{
    switch (msg->type) {
    case Sl_MSG_HEAD:
        SlAttempt_OnHead(core, peer, &msg->u.head);
        break;
    case Sl_MSG_CHUNK:
        SlAttempt_OnChunk(core, peer, &msg->u.chunk);
        break;
    case Sl_MSG_END:
        SlAttempt_OnEnd(core, peer, &msg->u.end);
        break;
    case Sl_MSG_FAIL:
        SlAttempt_OnFail(core, peer, &msg->u.fail);
        break;
    case Sl_MSG_STATUS:
        on_status(core, peer, &msg->u.status);
        break;
    case Sl_MSG_RECEIPT:
        SlBills_OnReceipt(core, peer, &msg->u.receipt);
        break;
    case Sl_MSG_PIN:
        SlPins_OnPin(core, peer, &msg->u.pin);
        break;
    default:
        SlCore_Increment(core, "messages.unexpected");
        break;
    }
}

static void
on_peer_up(struct sl_core *core, struct sl_peer *peer)
{
    (void)core;
    (void)peer;
}

/* Returns the sequence numbers of the requests with an attempt outstanding at
 * that agent, unsorted; the caller frees the array. */
static GArray *
list_requests_at(const struct sl_core *core, const struct sl_peer *peer)
{
    GArray *seqs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->entry->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sl_request *request = value;
        if (request->peer_id == peer->id) {
            g_array_append_val(seqs, request->seq);
        }
    }
    return seqs;
}

static void
on_peer_down(struct sl_core *core, struct sl_peer *peer)
{
    GArray *seqs = list_requests_at(core, peer);
    struct sl_error err;
    SlError_Set(&err, Sl_ERR_LOST, "entry.peer", peer->vm.upstream.text,
                "the connection to the agent was lost");
    g_array_sort(seqs, SlCore_CompareIds);
    /* Without a status the agent gets no work, so that no retry is sent back
     * to it. */
    peer->has_status = false;
    for (guint i = 0; i < seqs->len; i++) {
        struct sl_request *request =
            SlEntry_Find(core, g_array_index(seqs, uint64_t, i));
        if (request != NULL) {
            SlAttempt_HandleFailure(core, request, Sl_OUTCOME_UNKNOWN, 0,
                                    &err);
        }
    }
    g_array_free(seqs, TRUE);
}

static void
on_config(struct sl_core *core)
{
    SlMembership_Connect(core);
}

static bool
should_connect(const struct sl_core *core, const struct sl_vm *vm)
{
    (void)core;
    return vm->role == Sl_ROLE_AGENT;
}

static bool
is_idle(const struct sl_core *core)
{
    return core->entry->stopped_accepting &&
           g_hash_table_size(core->entry->requests) == 0 &&
           SlBills_IsEmpty(core);
}

static void
start(struct sl_core *core)
{
    struct sl_entry *entry = g_new0(struct sl_entry, 1);
    core->entry = entry;
    entry->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                            SlRequest_Free);
    entry->request_by_conn = g_hash_table_new(g_int64_hash, g_int64_equal);
    entry->request_by_bill =
        g_hash_table_new(SlName_TableHash, SlName_TableEqual);
    entry->background_ratings =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    entry->retry_budget =
        SlTokenBucket_New(Sl_RETRY_SHARE, Sl_RETRY_MAX_TOKENS);
    entry->evidence = SlEvidence_New();
    entry->cascade = SlCascade_New();
    entry->balancer = core->options.balancer != NULL
                          ? core->options.balancer
                          : &SlBalancer_ExpectedFinish;
    entry->cascade_policy = core->options.cascade != NULL
                                ? core->options.cascade
                                : &SlCascade_ExpectedCost;
    SlBills_Start(core);
    SlPins_Start(core);
}

static void
free_entry(struct sl_core *core)
{
    struct sl_entry *entry = core->entry;
    SlPins_Free(core);
    SlBills_Free(core);
    SlCascade_Free(entry->cascade);
    SlEvidence_Free(entry->evidence);
    g_hash_table_destroy(entry->background_ratings);
    g_hash_table_destroy(entry->request_by_bill);
    g_hash_table_destroy(entry->request_by_conn);
    g_hash_table_destroy(entry->requests);
    g_free(entry);
}

/* Appends the evidence on a version as JSON, so that operators can see why the
 * version is avoided. */
static void
dump_version(const struct sl_core *core, const struct sl_version *version,
             struct sl_buf *out)
{
    struct sl_version_health health = SlEvidence_Explain(
        core->entry->evidence, &version->name, version->quality);
    SlBuf_AppendC(out, "{\"version\":");
    SlBuf_AppendJson(out, SlName_Str(&version->name));
    SlBuf_Printf(
        out,
        ",\"out\":%s,\"suspect\":%s,\"by_rating\":%s,"
        "\"by_failure\":%s,\"done\":%" G_GUINT64_FORMAT
        ",\"failed\":%" G_GUINT64_FORMAT ",\"rated\":%" G_GUINT64_FORMAT
        ",\"mean_score\":%.3f,"
        "\"quality_floor\":%.3f,\"evidence\":%.2f,"
        "\"threshold\":%.2f}",
        version->out_of_service ? "true" : "false",
        health.suspect ? "true" : "false", health.by_rating ? "true" : "false",
        health.by_failure ? "true" : "false", (guint64)health.total.done,
        (guint64)health.total.failed, (guint64)health.total.rated,
        health.total.rated == 0
            ? 0.0
            : health.total.score_sum / (double)health.total.rated,
        health.quality_floor,
        MAX(health.rating_log_ratio, health.failure_log_ratio),
        health.threshold);
}

static void
dump_versions(const struct sl_core *core, struct sl_buf *out)
{
    const struct sl_version *versions[Sl_STATUS_MAX_VERSIONS];
    size_t count = SlConfig_ListAllVersions(core->config, versions,
                                            Sl_STATUS_MAX_VERSIONS);
    SlBuf_AppendC(out, ",\"versions\":[");
    for (size_t i = 0; i < count; i++) {
        SlBuf_AppendC(out, i == 0 ? "" : ",");
        dump_version(core, versions[i], out);
    }
    SlBuf_AppendC(out, "]");
}

static void
dump(const struct sl_core *core, struct sl_buf *out)
{
    SlBuf_Printf(out, ",\"requests\":%u,\"pins\":%zu,\"retry_tokens\":%.1f",
                 g_hash_table_size(core->entry->requests), SlPins_Count(core),
                 core->entry->retry_budget.tokens);
    SlBills_Dump(core, out);
    dump_versions(core, out);
}

struct sl_request *
SlEntry_Find(const struct sl_core *core, uint64_t seq)
{
    return g_hash_table_lookup(core->entry->requests, &seq);
}

const struct sl_role_ops SlEntry_Ops = {
    .start = start,
    .free = free_entry,
    .on_event = on_event,
    .on_message = on_message,
    .on_peer_up = on_peer_up,
    .on_peer_down = on_peer_down,
    .on_config = on_config,
    .should_connect = should_connect,
    .is_idle = is_idle,
    .dump = dump,
};
