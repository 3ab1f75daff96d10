/* Effects: a list, an arena for the data that effects point to, and their text
 * form for scripted tests. */
#include "sl_core_internal.h"

#include <string.h>

/* Smallest size of a block of the arena. */
#define Sl_BLOCK_MIN_BYTES 65536

/* ---- types ---- */

struct sl_effects {
    GArray *items; /* struct sl_effect */
    /* Blocks of the arena, owned. SlEffects_Clear() keeps the block if there
     * is only one, and frees all otherwise. */
    GPtrArray *blocks;
    size_t used_bytes;  /* of the last block */
    size_t block_bytes; /* size of the last block */
};

/* ---- helpers ---- */

/* Allocates aligned memory that is valid until SlEffects_Clear(). */
static void *
arena_alloc(struct sl_effects *effects, size_t size)
{
    size = (size + 15) & ~(size_t)15;
    if (effects->blocks->len == 0 ||
        effects->used_bytes + size > effects->block_bytes) {
        effects->block_bytes = MAX(size, Sl_BLOCK_MIN_BYTES);
        effects->used_bytes = 0;
        g_ptr_array_add(effects->blocks, g_malloc(effects->block_bytes));
    }
    char *block = g_ptr_array_index(effects->blocks, effects->blocks->len - 1);
    void *memory = block + effects->used_bytes;
    effects->used_bytes += size;
    return memory;
}

/* ---- list ---- */

struct sl_effects *
SlEffects_New(void)
{
    struct sl_effects *effects = g_new0(struct sl_effects, 1);
    effects->items = g_array_new(FALSE, TRUE, sizeof(struct sl_effect));
    effects->blocks = g_ptr_array_new_with_free_func(g_free);
    return effects;
}

void
SlEffects_Free(struct sl_effects *effects)
{
    if (effects == NULL) {
        return;
    }
    g_array_free(effects->items, TRUE);
    g_ptr_array_free(effects->blocks, TRUE);
    g_free(effects);
}

void
SlEffects_Clear(struct sl_effects *effects)
{
    g_array_set_size(effects->items, 0);
    if (effects->blocks->len > 1) {
        g_ptr_array_set_size(effects->blocks, 0);
    }
    effects->used_bytes = 0;
}

size_t
SlEffects_Count(const struct sl_effects *effects)
{
    return effects->items->len;
}

const struct sl_effect *
SlEffects_At(const struct sl_effects *effects, size_t index)
{
    assert(index < effects->items->len);
    return &g_array_index(effects->items, struct sl_effect, index);
}

struct sl_effect *
SlEffects_Add(struct sl_effects *effects, enum sl_effect_type type)
{
    guint index = effects->items->len;
    g_array_set_size(effects->items, index + 1);
    struct sl_effect *effect =
        &g_array_index(effects->items, struct sl_effect, index);
    effect->type = type;
    return effect;
}

void
SlEffects_MoveTo(struct sl_effects *from, struct sl_effects *to)
{
    g_array_append_vals(to->items, from->items->data, from->items->len);
    SlEffects_Clear(from);
}

struct sl_str
SlEffects_CopyBytes(struct sl_effects *effects, struct sl_str bytes)
{
    if (bytes.len == 0) {
        return (struct sl_str){"", 0};
    }
    char *copy = arena_alloc(effects, bytes.len);
    memcpy(copy, bytes.ptr, bytes.len);
    return (struct sl_str){copy, bytes.len};
}

/* ---- common effects ---- */

void
SlCore_Send(struct sl_core *core, const struct sl_peer *peer,
            const struct sl_msg *msg)
{
    assert(peer->state == Sl_PEER_UP);
    int64_t age_us = SlLogFollower_ProofAgeUs(core);
    struct sl_msg *copy = arena_alloc(core->effects, sizeof(*copy));
    *copy = *msg;
    copy->offset = SlConfig_Offset(core->config);
    copy->proof_age_us = age_us;
    struct sl_effect *effect = SlEffects_Add(core->effects, Sl_EFFECT_SEND);
    effect->u.send.peer = peer->id;
    effect->u.send.msg = copy;
}

void
SlCore_Log(struct sl_core *core, enum sl_log_level level, uint64_t request,
           const struct sl_error *err, const char *text)
{
    struct sl_error *err_copy = NULL;
    if (err != NULL) {
        err_copy = arena_alloc(core->effects, sizeof(*err_copy));
        *err_copy = *err;
    }
    char *text_copy = arena_alloc(core->effects, strlen(text) + 1);
    memcpy(text_copy, text, strlen(text) + 1);
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_LOG_LINE);
    effect->u.line.level = level;
    effect->u.line.request = request;
    effect->u.line.err = err_copy;
    effect->u.line.text = text_copy;
}

void
SlCore_ReadLog(struct sl_core *core, enum sl_stream stream, uint64_t from,
               size_t max)
{
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_LOG_READ);
    effect->u.read.stream = stream;
    effect->u.read.from = from;
    effect->u.read.max_records = max;
}

uint64_t
SlCore_AppendLog(struct sl_core *core, enum sl_stream stream,
                 struct sl_str records)
{
    struct sl_str copy = SlEffects_CopyBytes(core->effects, records);
    struct sl_effect *effect =
        SlEffects_Add(core->effects, Sl_EFFECT_LOG_APPEND);
    effect->u.append.stream = stream;
    effect->u.append.token = SlCore_NextToken(core);
    effect->u.append.records = copy;
    return effect->u.append.token;
}

/* ---- printing ---- */

const char *
SlStream_Name(enum sl_stream stream)
{
    static const char *const names[] = {"config", "snapshots", "bills"};
    return names[stream];
}

static void
print_fail(const struct sl_msg_fail *fail, struct sl_buf *out)
{
    SlBuf_Printf(out, " %s step=%s%s %.*s",
                 SlOutcome_Name((enum sl_outcome)fail->outcome),
                 fail->step.text, fail->covers_key ? " of-key" : "",
                 (int)fail->text.len, fail->text.ptr);
}

static void
print_send(const struct sl_effect *effect, struct sl_buf *out)
{
    const struct sl_msg *msg = effect->u.send.msg;
    SlBuf_Printf(out, "send %" G_GUINT64_FORMAT " %s",
                 (guint64)effect->u.send.peer, SlMsg_TypeName(msg->type));
    switch (msg->type) {
    case Sl_MSG_RUN:
        SlBuf_Printf(out, " version=%s attempt=%" G_GUINT64_FORMAT,
                     msg->u.run.version.text, (guint64)msg->u.run.attempt);
        break;
    case Sl_MSG_HEAD:
        SlBuf_Printf(out, " status=%" G_GUINT64_FORMAT,
                     (guint64)msg->u.head.status);
        break;
    case Sl_MSG_CHUNK:
        SlBuf_Printf(out, " position=%" G_GUINT64_FORMAT " %.*s",
                     (guint64)msg->u.chunk.position,
                     (int)msg->u.chunk.bytes.len, msg->u.chunk.bytes.ptr);
        break;
    case Sl_MSG_END:
        SlBuf_Printf(out, " length=%" G_GUINT64_FORMAT "%s",
                     (guint64)msg->u.end.length,
                     msg->u.end.replayed ? " replayed" : "");
        break;
    case Sl_MSG_FAIL:
        print_fail(&msg->u.fail, out);
        break;
    case Sl_MSG_CANCEL:
        SlBuf_Printf(out, " attempt=%" G_GUINT64_FORMAT,
                     (guint64)msg->u.cancel.attempt);
        break;
    case Sl_MSG_RECEIPT:
    case Sl_MSG_BILLED:
        SlBuf_Printf(out, " %s", msg->u.billed.bill.text);
        break;
    case Sl_MSG_PIN_ASK:
    case Sl_MSG_PIN_PUT:
    case Sl_MSG_PIN:
        SlBuf_Printf(out, " session=%s version=%s",
                     msg->u.pin.key.session.text, msg->u.pin.version.text);
        break;
    default:
        break;
    }
}

static void
print_head(const struct sl_effect_http_head *head, struct sl_buf *out)
{
    SlBuf_Printf(out,
                 "http-head %" G_GUINT64_FORMAT " status=%" G_GUINT64_FORMAT
                 " outcome=%s version=%s",
                 (guint64)head->conn, (guint64)head->status,
                 SlOutcome_Name(head->outcome), head->version.text);
    if (head->retry_after_us > 0) {
        SlBuf_AppendC(out, " retry-after");
    }
}

void
SlEffect_Print(const struct sl_effect *effect, struct sl_buf *out)
{
    switch (effect->type) {
    case Sl_EFFECT_CONNECT:
        SlBuf_Printf(out, "connect %" G_GUINT64_FORMAT " %s",
                     (guint64)effect->u.connect.peer,
                     effect->u.connect.address.text);
        break;
    case Sl_EFFECT_DISCONNECT:
        SlBuf_Printf(out, "disconnect %" G_GUINT64_FORMAT,
                     (guint64)effect->u.peer);
        break;
    case Sl_EFFECT_SEND:
        print_send(effect, out);
        break;
    case Sl_EFFECT_HTTP_HEAD:
        print_head(&effect->u.head, out);
        break;
    case Sl_EFFECT_HTTP_BODY:
        SlBuf_Printf(out, "http-body %" G_GUINT64_FORMAT " %.*s",
                     (guint64)effect->u.body.conn,
                     (int)effect->u.body.bytes.len, effect->u.body.bytes.ptr);
        break;
    case Sl_EFFECT_HTTP_END:
        SlBuf_Printf(out, "http-end %" G_GUINT64_FORMAT,
                     (guint64)effect->u.conn);
        break;
    case Sl_EFFECT_HTTP_STOP_ACCEPTING:
        SlBuf_AppendC(out, "http-close");
        break;
    case Sl_EFFECT_HTTP_ABORT:
        SlBuf_Printf(out, "http-abort %" G_GUINT64_FORMAT,
                     (guint64)effect->u.conn);
        break;
    case Sl_EFFECT_LOG_READ:
        SlBuf_Printf(out, "log-read %s from=%" G_GUINT64_FORMAT,
                     SlStream_Name(effect->u.read.stream),
                     (guint64)effect->u.read.from);
        break;
    case Sl_EFFECT_LOG_APPEND:
        SlBuf_Printf(
            out, "log-append %s %.*s", SlStream_Name(effect->u.append.stream),
            (int)effect->u.append.records.len, effect->u.append.records.ptr);
        break;
    case Sl_EFFECT_VMS_READ:
        SlBuf_AppendC(out, "vms-read");
        break;
    case Sl_EFFECT_CALL:
        SlBuf_Printf(out, "call %" G_GUINT64_FORMAT " version=%s",
                     (guint64)effect->u.call.token,
                     effect->u.call.version.text);
        break;
    case Sl_EFFECT_CALL_CANCEL:
        SlBuf_Printf(out, "call-cancel %" G_GUINT64_FORMAT,
                     (guint64)effect->u.token);
        break;
    case Sl_EFFECT_LOAD_READ:
        SlBuf_AppendC(out, "load-read");
        break;
    case Sl_EFFECT_ORDER:
        SlBuf_Printf(out, "order %s %s fence=%" G_GUINT64_FORMAT,
                     effect->u.order.load ? "load" : "unload",
                     effect->u.order.version.text,
                     (guint64)effect->u.order.fence);
        break;
    case Sl_EFFECT_RATE:
        SlBuf_Printf(out, "rate %" G_GUINT64_FORMAT " version=%s",
                     (guint64)effect->u.rate.token,
                     effect->u.rate.version.text);
        break;
    case Sl_EFFECT_LOG_LINE:
        SlBuf_Printf(out, "log-line %s", effect->u.line.text);
        break;
    case Sl_EFFECT_EXIT:
        SlBuf_AppendC(out, "exit");
        break;
    }
}
