/* Appends bills to the log in batches, one append at a time.
 *
 * A bill says what a request that ran cost; its key is the same for all
 * submissions of a request. A batch is a record {"writer", "seq", "bills":
 * [...]}, where writer names the process and seq counts its batches. If the
 * log's answer to an append is lost, the stream is read from the offset before
 * the append, and the batch is appended again only if it is not found. Who
 * reads the stream keeps the first bill of each key, so a bill that two
 * writers append counts once. When a bill is in the log, the agents that hold
 * receipts for it are notified. */
#include "sl_entry_internal.h"

#include <string.h>

/* Largest number of bills in a batch. */
#define Sl_BATCH_MAX_BILLS 500
/* Shortest time between two batches of an entry. */
#define Sl_BATCH_INTERVAL_US (200 * Sl_US_PER_MS)
/* Time between two batches of the whole fleet: each entry's interval is at
 * least this times the number of entries, so that all entries together stay
 * below 250 appends/s. */
#define Sl_BATCH_SHARE_US (4 * Sl_US_PER_MS)
/* Wait after a read or an append that failed. */
#define Sl_BILLS_RETRY_US (500 * Sl_US_PER_MS)
/* Bills kept while the log is unavailable; at this number the entry accepts no
 * more requests. About 350 bytes each. */
#define Sl_MAX_PENDING_BILLS 50000
/* Batches read at once when looking for one. */
#define Sl_READ_MAX_RECORDS 100

/* ---- types ---- */

/* A bill that is not known to be in the log. */
struct sl_pending_bill {
    struct sl_msg_receipt bill;
    size_t holder_count; /* upstreams whose agents hold a receipt */
    struct sl_name holders[Sl_MAX_RECEIPT_HOLDERS];
};

enum sl_batch_state {
    Sl_BATCH_IDLE,
    Sl_BATCH_FINDING_HEAD, /* reading the offset from which to verify */
    Sl_BATCH_APPENDING,
    Sl_BATCH_VERIFYING, /* reading whether the batch was appended */
};

struct sl_bills {
    GQueue *pending;    /* struct sl_pending_bill, owned; oldest first */
    GHashTable *by_key; /* bill key -> struct sl_pending_bill */
    enum sl_batch_state state;
    size_t batch_count; /* the first so many of `pending` are in the batch */
    uint64_t batch_seq; /* number of the current batch */
    uint64_t token;     /* of the outstanding append */
    uint64_t verify_offset; /* from which to look for the batch; 0: unknown */
    bool timer_set;
    bool is_reading; /* a read of the stream is outstanding */
};

/* ---- helpers ---- */

static void append_batch(struct sl_core *core);
static void read_for_batch(struct sl_core *core);

/* Appends a bill as JSON. */
static void
append_bill_json(struct sl_buf *out, const struct sl_msg_receipt *bill)
{
    SlBuf_AppendC(out, "{\"bill\":");
    SlBuf_AppendJson(out, SlName_Str(&bill->bill));
    SlBuf_AppendC(out, ",\"team\":");
    SlBuf_AppendJson(out, SlName_Str(&bill->team));
    SlBuf_AppendC(out, ",\"kind\":");
    SlBuf_AppendJson(out, SlName_Str(&bill->kind));
    SlBuf_AppendC(out, ",\"version\":");
    SlBuf_AppendJson(out, SlName_Str(&bill->version));
    SlBuf_AppendC(out, ",\"upstream\":");
    SlBuf_AppendJson(out, SlName_Str(&bill->upstream));
    SlBuf_Printf(out,
                 ",\"tokens\":%" G_GUINT64_FORMAT
                 ",\"cost_micros\":%" G_GINT64_FORMAT "}",
                 (guint64)bill->tokens, (gint64)bill->cost_micros);
}

/* Writes the name of this process as the writer of batches. */
static void
write_writer_name(const struct sl_core *core, char *out, size_t size)
{
    snprintf(out, size, "%s-%016" G_GINT64_MODIFIER "x", core->options.vm.text,
             (guint64)core->options.boot);
}

/* Tells the agents that hold a bill's receipts that it is in the log. */
static void
notify_holders(struct sl_core *core, const struct sl_pending_bill *pending)
{
    struct sl_msg msg = {.type = Sl_MSG_BILLED};
    msg.u.billed.bill = pending->bill.bill;
    for (size_t i = 0; i < pending->holder_count; i++) {
        struct sl_peer *peer =
            SlMembership_PeerByUpstream(core, &pending->holders[i]);
        if (peer != NULL && SlPeer_IsUp(peer)) {
            SlCore_Send(core, peer, &msg);
        }
    }
}

static void
on_timer(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)id;
    (void)now_us;
    core->entry->bills->timer_set = false;
    if (core->entry->bills->state == Sl_BATCH_VERIFYING) {
        if (!core->entry->bills->is_reading) {
            read_for_batch(core);
        }
        return;
    }
    append_batch(core);
}

/* Starts the timer for the next step, unless it runs already. */
static void
set_timer(struct sl_core *core, int64_t after_us)
{
    struct sl_bills *bills = core->entry->bills;
    if (!bills->timer_set) {
        bills->timer_set = true;
        SlCore_SetTimer(core, after_us, on_timer, 0);
    }
}

/* Time between two batches of this entry, in microseconds. */
static int64_t
batch_interval_us(const struct sl_core *core)
{
    int64_t entry_count = 1 + (int64_t)SlMembership_CountEntries(core);
    return MAX(Sl_BATCH_INTERVAL_US, entry_count * Sl_BATCH_SHARE_US);
}

/* Handles that the batch is in the log: notifies the holders of receipts, and
 * removes the batch's bills. */
static void
on_batch_appended(struct sl_core *core)
{
    struct sl_bills *bills = core->entry->bills;
    for (size_t i = 0; i < bills->batch_count; i++) {
        struct sl_pending_bill *pending = g_queue_pop_head(bills->pending);
        notify_holders(core, pending);
        g_hash_table_remove(bills->by_key, &pending->bill.bill);
        g_free(pending);
    }
    SlCounters_Add(core->counters, "bills.appended", bills->batch_count);
    bills->batch_count = 0;
    bills->state = Sl_BATCH_IDLE;
    if (bills->pending->length > 0) {
        set_timer(core, batch_interval_us(core));
    }
}

static void
retry_later(struct sl_core *core)
{
    core->entry->bills->state = Sl_BATCH_IDLE;
    set_timer(core, Sl_BILLS_RETRY_US);
}

/* Appends a batch of pending bills, or the same batch again if it is not known
 * to be in the log. */
static void
append_batch(struct sl_core *core)
{
    struct sl_bills *bills = core->entry->bills;
    if (bills->state != Sl_BATCH_IDLE || bills->pending->length == 0) {
        return;
    }
    /* The first append needs the stream's head, to verify the batch from
     * there. A read beyond the head returns it without records. */
    if (bills->verify_offset == 0) {
        bills->state = Sl_BATCH_FINDING_HEAD;
        SlCore_ReadLog(core, Sl_STREAM_BILLS, INT64_MAX, 1);
        return;
    }
    if (bills->batch_count == 0) {
        bills->batch_count =
            MIN(bills->pending->length, (guint)Sl_BATCH_MAX_BILLS);
        bills->batch_seq++;
    }
    char writer[Sl_NAME_MAX_BYTES + 32];
    struct sl_buf records = {0};
    write_writer_name(core, writer, sizeof(writer));
    SlBuf_AppendC(&records, "[{\"writer\":");
    SlBuf_AppendJson(&records, SlStr_FromC(writer));
    SlBuf_Printf(&records, ",\"seq\":%" G_GUINT64_FORMAT ",\"bills\":[",
                 (guint64)bills->batch_seq);
    GList *link = bills->pending->head;
    for (size_t i = 0; i < bills->batch_count; i++, link = link->next) {
        const struct sl_pending_bill *pending = link->data;
        SlBuf_AppendC(&records, i == 0 ? "" : ",");
        append_bill_json(&records, &pending->bill);
    }
    SlBuf_AppendC(&records, "]}]");
    bills->state = Sl_BATCH_APPENDING;
    bills->token =
        SlCore_AppendLog(core, Sl_STREAM_BILLS, SlBuf_Str(&records));
    SlBuf_Free(&records);
}

/* Reads the next records of the stream to find out whether the batch is in the
 * log. */
static void
read_for_batch(struct sl_core *core)
{
    struct sl_bills *bills = core->entry->bills;
    bills->state = Sl_BATCH_VERIFYING;
    bills->is_reading = true;
    SlCore_ReadLog(core, Sl_STREAM_BILLS, bills->verify_offset,
                   Sl_READ_MAX_RECORDS);
}

/* Returns true if a record is the current batch of this process. */
static bool
is_own_batch(const struct sl_core *core, const json_t *value)
{
    char own_name[Sl_NAME_MAX_BYTES + 32];
    const char *writer = json_string_value(json_object_get(value, "writer"));
    json_int_t seq = json_integer_value(json_object_get(value, "seq"));
    write_writer_name(core, own_name, sizeof(own_name));
    return writer != NULL && strcmp(writer, own_name) == 0 &&
           (uint64_t)seq == core->entry->bills->batch_seq;
}

/* Looks for the batch in a page of the stream. If it is not found, reads the
 * next page or, at the end of the stream, appends the batch again later. */
static void
search_page(struct sl_core *core, const struct sl_log_page *page)
{
    struct sl_bills *bills = core->entry->bills;
    for (size_t i = 0; i < page->count; i++) {
        bills->verify_offset = page->records[i].offset + 1;
        if (is_own_batch(core, page->records[i].value)) {
            SlCore_Increment(core, "bills.lost_answers_settled");
            on_batch_appended(core);
            return;
        }
    }
    if (page->count > 0 && bills->verify_offset < page->head) {
        read_for_batch(core);
        return;
    }
    retry_later(core);
}

/* ---- internal API ---- */

void
SlBills_Start(struct sl_core *core)
{
    struct sl_bills *bills = g_new0(struct sl_bills, 1);
    bills->pending = g_queue_new();
    bills->by_key = g_hash_table_new(SlName_TableHash, SlName_TableEqual);
    core->entry->bills = bills;
}

void
SlBills_Free(struct sl_core *core)
{
    struct sl_bills *bills = core->entry->bills;
    g_hash_table_destroy(bills->by_key);
    g_queue_free_full(bills->pending, g_free);
    g_free(bills);
}

bool
SlBills_IsFull(const struct sl_core *core)
{
    return core->entry->bills->pending->length >= Sl_MAX_PENDING_BILLS;
}

bool
SlBills_IsEmpty(const struct sl_core *core)
{
    return core->entry->bills->pending->length == 0;
}

void
SlBills_Add(struct sl_core *core, const struct sl_msg_receipt *bill,
            const struct sl_name *holders, size_t holder_count)
{
    struct sl_bills *bills = core->entry->bills;
    struct sl_pending_bill *pending =
        g_hash_table_lookup(bills->by_key, &bill->bill);
    if (pending == NULL) {
        pending = g_new0(struct sl_pending_bill, 1);
        pending->bill = *bill;
        g_queue_push_tail(bills->pending, pending);
        g_hash_table_insert(bills->by_key, &pending->bill.bill, pending);
    }
    for (size_t i = 0; i < holder_count; i++) {
        if (pending->holder_count < Sl_MAX_RECEIPT_HOLDERS) {
            pending->holders[pending->holder_count++] = holders[i];
        }
    }
    set_timer(core, batch_interval_us(core));
}

void
SlBills_OnReceipt(struct sl_core *core, const struct sl_peer *peer,
                  const struct sl_msg_receipt *receipt)
{
    /* The request is still in progress here and is billed when it ends. */
    if (g_hash_table_lookup(core->entry->request_by_bill, &receipt->bill) !=
        NULL) {
        return;
    }
    SlCore_Increment(core, "bills.from_receipts");
    SlBills_Add(core, receipt, &peer->vm.upstream, 1);
}

void
SlBills_OnAppended(struct sl_core *core, const struct sl_event *event)
{
    struct sl_bills *bills = core->entry->bills;
    if (bills->state != Sl_BATCH_APPENDING ||
        event->u.appended.token != bills->token) {
        return;
    }
    if (event->err == NULL) {
        bills->verify_offset = event->u.appended.first_offset + 1;
        on_batch_appended(core);
        return;
    }
    SlCore_Increment(core, "bills.append_failed");
    /* The append did not reach the log, so there is nothing to verify. */
    if (event->err->code == Sl_ERR_UNREACHABLE) {
        retry_later(core);
        return;
    }
    read_for_batch(core);
}

void
SlBills_OnRead(struct sl_core *core, const struct sl_event *event)
{
    struct sl_bills *bills = core->entry->bills;
    bills->is_reading = false;
    if (event->err != NULL) {
        if (bills->state == Sl_BATCH_FINDING_HEAD) {
            retry_later(core);
        }
        else if (bills->state == Sl_BATCH_VERIFYING) {
            set_timer(core, Sl_BILLS_RETRY_US);
        }
        return;
    }
    if (bills->state == Sl_BATCH_FINDING_HEAD) {
        bills->verify_offset = event->u.read.page->head;
        bills->state = Sl_BATCH_IDLE;
        append_batch(core);
        return;
    }
    if (bills->state == Sl_BATCH_VERIFYING) {
        search_page(core, event->u.read.page);
    }
}

void
SlBills_Dump(const struct sl_core *core, struct sl_buf *out)
{
    static const char *const states[] = {"idle", "finding-head", "appending",
                                         "reading-on"};
    const struct sl_bills *bills = core->entry->bills;
    SlBuf_Printf(out,
                 ",\"bills\":{\"pending\":%u,\"state\":\"%s\",\"next\":"
                 "%" G_GUINT64_FORMAT "}",
                 bills->pending->length, states[bills->state],
                 (guint64)bills->verify_offset);
}
