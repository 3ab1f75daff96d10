/* Encoding and decoding of messages, driven by a table of the fields of each
 * type. */
#include "sl_wire.h"

#include <assert.h>
#include <math.h>
#include <msgpack.h>
#include <string.h>

#define Sl_WIRE_STEP_ENCODE "wire.encode"
#define Sl_WIRE_STEP_DECODE "wire.decode"
/* Size of the length at the start of a frame. */
#define Sl_LENGTH_BYTES 4
/* Number of values before the fields of a message: type, offset, proof age. */
#define Sl_ENVELOPE_FIELDS 3
/* Number of values that encode a struct sl_version_counts. */
#define Sl_VERSION_FIELDS 7
/* Maximum number of items of an array. The longest array of a message is that
 * of the versions of a status. */
#define Sl_ARRAY_MAX_ITEMS 32
/* Maximum number of values in a frame, higher than any message needs. */
#define Sl_FRAME_MAX_VALUES 512

/* ---- types ---- */

enum sl_field_kind {
    Sl_FIELD_END = 0,
    Sl_FIELD_U64,
    Sl_FIELD_I64,
    Sl_FIELD_F64,
    Sl_FIELD_BOOL,
    Sl_FIELD_NAME,
    Sl_FIELD_STR,
    Sl_FIELD_ID,
    Sl_FIELD_VERSIONS, /* version_count and versions of a status */
};

struct sl_message_field {
    enum sl_field_kind kind;
    size_t offset; /* of the member in struct sl_msg */
};

/* Maximum number of fields of a message type. */
#define Sl_MAX_FIELDS 16

/* Name and fields of a message type. */
struct sl_message_layout {
    const char *name;
    struct sl_message_field fields[Sl_MAX_FIELDS];
};

struct sl_decoder {
    msgpack_unpacked unpacked; /* the last frame */
    struct sl_version_counts
        versions[Sl_STATUS_MAX_VERSIONS]; /* of a status */
};

/* A struct sl_message_field for a member of the union in struct sl_msg. */
#define Sl_FIELD(kind_, member)                                               \
    {                                                                         \
        Sl_FIELD_##kind_, offsetof(struct sl_msg, u.member)                   \
    }

static const struct sl_message_layout layouts[Sl_MSG_TYPES_END] = {
    [Sl_MSG_HELLO] = {"hello",
                      {Sl_FIELD(U64, hello.wire_version),
                       Sl_FIELD(NAME, hello.vm), Sl_FIELD(NAME, hello.role),
                       Sl_FIELD(NAME, hello.domain),
                       Sl_FIELD(NAME, hello.upstream),
                       Sl_FIELD(U64, hello.boot)}},
    [Sl_MSG_RUN] = {"run",
                    {Sl_FIELD(ID, run.id), Sl_FIELD(U64, run.attempt),
                     Sl_FIELD(NAME, run.team), Sl_FIELD(NAME, run.session),
                     Sl_FIELD(NAME, run.kind), Sl_FIELD(NAME, run.version),
                     Sl_FIELD(NAME, run.key), Sl_FIELD(NAME, run.bill),
                     Sl_FIELD(STR, run.method), Sl_FIELD(STR, run.path),
                     Sl_FIELD(STR, run.content_type), Sl_FIELD(STR, run.body),
                     Sl_FIELD(I64, run.issued_ms),
                     Sl_FIELD(I64, run.time_left_us),
                     Sl_FIELD(I64, run.accepted_ms)}},
    [Sl_MSG_HEAD] = {"head",
                     {Sl_FIELD(ID, head.id), Sl_FIELD(U64, head.attempt),
                      Sl_FIELD(U64, head.status),
                      Sl_FIELD(STR, head.content_type)}},
    [Sl_MSG_CHUNK] = {"chunk",
                      {Sl_FIELD(ID, chunk.id), Sl_FIELD(U64, chunk.attempt),
                       Sl_FIELD(U64, chunk.position),
                       Sl_FIELD(STR, chunk.bytes)}},
    [Sl_MSG_END] = {"end",
                    {Sl_FIELD(ID, end.id), Sl_FIELD(U64, end.attempt),
                     Sl_FIELD(U64, end.length), Sl_FIELD(U64, end.tokens),
                     Sl_FIELD(BOOL, end.replayed)}},
    [Sl_MSG_FAIL] = {"fail",
                     {Sl_FIELD(ID, fail.id), Sl_FIELD(U64, fail.attempt),
                      Sl_FIELD(U64, fail.outcome), Sl_FIELD(U64, fail.code),
                      Sl_FIELD(NAME, fail.step), Sl_FIELD(STR, fail.text),
                      Sl_FIELD(I64, fail.retry_after_us),
                      Sl_FIELD(BOOL, fail.covers_key)}},
    [Sl_MSG_CANCEL] = {"cancel",
                       {Sl_FIELD(ID, cancel.id),
                        Sl_FIELD(U64, cancel.attempt)}},
    [Sl_MSG_RECEIPT] =
        {"receipt",
         {Sl_FIELD(NAME, receipt.bill), Sl_FIELD(NAME, receipt.team),
          Sl_FIELD(NAME, receipt.kind), Sl_FIELD(NAME, receipt.version),
          Sl_FIELD(NAME, receipt.upstream), Sl_FIELD(U64, receipt.tokens),
          Sl_FIELD(I64, receipt.cost_micros)}},
    [Sl_MSG_BILLED] = {"billed", {Sl_FIELD(NAME, billed.bill)}},
    [Sl_MSG_STATUS] =
        {"status",
         {Sl_FIELD(U64, status.in_flight), Sl_FIELD(U64, status.queued),
          Sl_FIELD(U64, status.limit), Sl_FIELD(U64, status.running),
          Sl_FIELD(U64, status.waiting), Sl_FIELD(F64, status.warm),
          Sl_FIELD(BOOL, status.draining),
          Sl_FIELD(I64, status.service_time_us),
          Sl_FIELD(VERSIONS, status.version_count)}},
    [Sl_MSG_RATED] = {"rated",
                      {Sl_FIELD(NAME, rated.version),
                       Sl_FIELD(F64, rated.score)}},
    [Sl_MSG_PIN_ASK] = {"pin-ask",
                        {Sl_FIELD(NAME, pin.key.team),
                         Sl_FIELD(NAME, pin.key.session),
                         Sl_FIELD(NAME, pin.key.service),
                         Sl_FIELD(NAME, pin.version)}},
    [Sl_MSG_PIN_PUT] = {"pin-put",
                        {Sl_FIELD(NAME, pin.key.team),
                         Sl_FIELD(NAME, pin.key.session),
                         Sl_FIELD(NAME, pin.key.service),
                         Sl_FIELD(NAME, pin.version)}},
    [Sl_MSG_PIN] = {"pin",
                    {Sl_FIELD(NAME, pin.key.team),
                     Sl_FIELD(NAME, pin.key.session),
                     Sl_FIELD(NAME, pin.key.service),
                     Sl_FIELD(NAME, pin.version)}},
    [Sl_MSG_PROBE] = {"probe",
                      {Sl_FIELD(NAME, probe.service),
                       Sl_FIELD(U64, probe.nonce)}},
    [Sl_MSG_PROOF] = {"proof",
                      {Sl_FIELD(NAME, proof.service),
                       Sl_FIELD(U64, proof.nonce),
                       Sl_FIELD(U64, proof.home_revision),
                       Sl_FIELD(BOOL, proof.may_confirm),
                       Sl_FIELD(BOOL, proof.is_move_complete)}},
    [Sl_MSG_PULL] = {"pull", {Sl_FIELD(U64, pull.from)}},
    [Sl_MSG_RECORDS] = {"records",
                        {Sl_FIELD(BOOL, records.snapshot),
                         Sl_FIELD(STR, records.json)}},
};

/* ---- encoding ---- */

static size_t
field_count(const struct sl_message_layout *layout)
{
    size_t count = 0;
    while (count < Sl_MAX_FIELDS &&
           layout->fields[count].kind != Sl_FIELD_END) {
        count++;
    }
    return count;
}

static void
pack_str(msgpack_packer *packer, struct sl_str text)
{
    msgpack_pack_bin(packer, text.len);
    if (text.len > 0) {
        msgpack_pack_bin_body(packer, text.ptr, text.len);
    }
}

static void
pack_bool(msgpack_packer *packer, bool value)
{
    if (value) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

static void
pack_versions(msgpack_packer *packer, const struct sl_msg_status *status)
{
    assert(status->version_count <= Sl_STATUS_MAX_VERSIONS);
    msgpack_pack_array(packer, status->version_count);
    for (size_t i = 0; i < status->version_count; i++) {
        const struct sl_version_counts *counts = &status->versions[i];
        msgpack_pack_array(packer, Sl_VERSION_FIELDS);
        pack_str(packer, SlName_Str(&counts->version));
        pack_bool(packer, counts->loaded);
        msgpack_pack_uint64(packer, counts->done);
        msgpack_pack_uint64(packer, counts->failed);
        msgpack_pack_uint64(packer, counts->rated);
        msgpack_pack_double(packer, counts->score_sum);
        msgpack_pack_int64(packer, counts->latency_sum_us);
    }
}

static void
pack_field(msgpack_packer *packer, const struct sl_message_field *field,
           const struct sl_msg *msg)
{
    const void *at = (const char *)msg + field->offset;
    switch (field->kind) {
    case Sl_FIELD_U64:
        msgpack_pack_uint64(packer, *(const uint64_t *)at);
        break;
    case Sl_FIELD_I64:
        msgpack_pack_int64(packer, *(const int64_t *)at);
        break;
    case Sl_FIELD_F64:
        msgpack_pack_double(packer, *(const double *)at);
        break;
    case Sl_FIELD_BOOL:
        pack_bool(packer, *(const bool *)at);
        break;
    case Sl_FIELD_NAME:
        pack_str(packer, SlName_Str(at));
        break;
    case Sl_FIELD_STR:
        pack_str(packer, *(const struct sl_str *)at);
        break;
    case Sl_FIELD_ID:
        msgpack_pack_array(packer, 2);
        msgpack_pack_uint64(packer, ((const struct sl_request_id *)at)->boot);
        msgpack_pack_uint64(packer, ((const struct sl_request_id *)at)->seq);
        break;
    case Sl_FIELD_VERSIONS:
        pack_versions(packer, &msg->u.status);
        break;
    case Sl_FIELD_END:
        break;
    }
}

/* Called by the msgpack packer with the encoded bytes; `data` is the buffer
 * that they are appended to. */
static int
write_buf(void *data, const char *bytes, size_t len)
{
    SlBuf_Append(data, (struct sl_str){bytes, len});
    return 0;
}

/* ---- decoding ---- */

static bool
read_str(const msgpack_object *object, struct sl_str *out)
{
    if (object->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    *out = (struct sl_str){object->via.bin.ptr, object->via.bin.size};
    return true;
}

static bool
read_name(const msgpack_object *object, struct sl_name *out)
{
    struct sl_str text;
    return read_str(object, &text) && SlName_Set(out, text);
}

static bool
read_u64(const msgpack_object *object, uint64_t *out)
{
    *out = object->via.u64;
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool
read_i64(const msgpack_object *object, int64_t *out)
{
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        *out = (int64_t)object->via.u64;
        return object->via.u64 <= INT64_MAX;
    }
    *out = object->via.i64;
    return object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
}

static bool
read_f64(const msgpack_object *object, double *out)
{
    if (object->type != MSGPACK_OBJECT_FLOAT64 &&
        object->type != MSGPACK_OBJECT_FLOAT32) {
        return false;
    }
    *out = object->via.f64;
    return isfinite(object->via.f64);
}

static bool
read_bool(const msgpack_object *object, bool *out)
{
    if (object->type != MSGPACK_OBJECT_BOOLEAN) {
        return false;
    }
    *out = object->via.boolean;
    return true;
}

static bool
is_array(const msgpack_object *object, size_t size)
{
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == size;
}

static bool
read_id(const msgpack_object *object, struct sl_request_id *out)
{
    return is_array(object, 2) &&
           read_u64(&object->via.array.ptr[0], &out->boot) &&
           read_u64(&object->via.array.ptr[1], &out->seq);
}

static bool
read_version(const msgpack_object *object, struct sl_version_counts *out)
{
    if (!is_array(object, Sl_VERSION_FIELDS)) {
        return false;
    }
    const msgpack_object *at = object->via.array.ptr;
    return read_name(&at[0], &out->version) &&
           read_bool(&at[1], &out->loaded) && read_u64(&at[2], &out->done) &&
           read_u64(&at[3], &out->failed) && read_u64(&at[4], &out->rated) &&
           read_f64(&at[5], &out->score_sum) &&
           read_i64(&at[6], &out->latency_sum_us);
}

static bool
read_versions(const msgpack_object *object, struct sl_decoder *decoder,
              struct sl_msg_status *status)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size > Sl_STATUS_MAX_VERSIONS) {
        return false;
    }
    status->version_count = object->via.array.size;
    status->versions = decoder->versions;
    for (size_t i = 0; i < status->version_count; i++) {
        if (!read_version(&object->via.array.ptr[i], &decoder->versions[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_field(const msgpack_object *object, const struct sl_message_field *field,
           struct sl_decoder *decoder, struct sl_msg *msg)
{
    void *at = (char *)msg + field->offset;
    switch (field->kind) {
    case Sl_FIELD_U64:
        return read_u64(object, at);
    case Sl_FIELD_I64:
        return read_i64(object, at);
    case Sl_FIELD_F64:
        return read_f64(object, at);
    case Sl_FIELD_BOOL:
        return read_bool(object, at);
    case Sl_FIELD_NAME:
        return read_name(object, at);
    case Sl_FIELD_STR:
        return read_str(object, at);
    case Sl_FIELD_ID:
        return read_id(object, at);
    case Sl_FIELD_VERSIONS:
        return read_versions(object, decoder, &msg->u.status);
    case Sl_FIELD_END:
        break;
    }
    return false;
}

/* What the first byte of a msgpack value says about the value. */
struct sl_value_header {
    size_t bytes;       /* size of the header, and of a body of fixed size */
    size_t count_bytes; /* size of the count that follows the first byte */
    size_t count;       /* count that the first byte itself contains */
    bool is_array;
    bool known;
};

/* Decodes the first byte of a value. `known` is set only for the formats that
 * SlWire_Encode() writes. */
static struct sl_value_header
read_value_header(unsigned char first)
{
    if (first <= 0x7f || first >= 0xe0) { /* small integers */
        return (struct sl_value_header){.bytes = 1, .known = true};
    }
    if ((first & 0xf0) == 0x90) {
        return (struct sl_value_header){1, 0, first & 0x0f, true, true};
    }
    switch (first) {
    case 0xc2: /* false */
    case 0xc3: /* true */
        return (struct sl_value_header){.bytes = 1, .known = true};
    case 0xc4: /* binary, with a count of 1, 2 or 4 bytes */
        return (struct sl_value_header){2, 1, 0, false, true};
    case 0xc5:
        return (struct sl_value_header){3, 2, 0, false, true};
    case 0xc6:
        return (struct sl_value_header){5, 4, 0, false, true};
    case 0xcc: /* integers of 1, 2, 4 and 8 bytes */
    case 0xd0:
        return (struct sl_value_header){.bytes = 2, .known = true};
    case 0xcd:
    case 0xd1:
        return (struct sl_value_header){.bytes = 3, .known = true};
    case 0xce:
    case 0xd2:
        return (struct sl_value_header){.bytes = 5, .known = true};
    case 0xca: /* float */
        return (struct sl_value_header){.bytes = 5, .known = true};
    case 0xcf:
    case 0xd3:
    case 0xcb: /* double */
        return (struct sl_value_header){.bytes = 9, .known = true};
    case 0xdc: /* array with a count of 2 bytes */
        return (struct sl_value_header){3, 2, 0, true, true};
    default:
        return (struct sl_value_header){0};
    }
}

/* Reads a big-endian number of `count_bytes` bytes. */
static size_t
read_count(const char *bytes, size_t count_bytes)
{
    size_t count = 0;
    for (size_t i = 0; i < count_bytes; i++) {
        count = count << 8 | (unsigned char)bytes[i];
    }
    return count;
}

/* msgpack allocates memory for as many items as the header of an array
 * declares: 50 bytes with ten nested arrays made it request 40 GB. So a frame
 * that declares more than a message can have is rejected before it is
 * unpacked. Returns false for such a frame. */
static bool
has_bounded_counts(struct sl_str bytes)
{
    size_t position = 0;
    for (size_t values = 0; position < bytes.len; values++) {
        struct sl_value_header header =
            read_value_header((unsigned char)bytes.ptr[position]);
        if (!header.known || values >= Sl_FRAME_MAX_VALUES ||
            header.bytes > bytes.len - position) {
            return false;
        }
        size_t count = header.count + read_count(bytes.ptr + position + 1,
                                                 header.count_bytes);
        position += header.bytes;
        if (header.is_array && count > Sl_ARRAY_MAX_ITEMS) {
            return false;
        }
        if (!header.is_array && count > bytes.len - position) {
            return false;
        }
        position += header.is_array ? 0 : count;
    }
    return true;
}

/* The rest of a hello may have another layout in another wire version, so the
 * version is checked first. */
static enum sl_errno
check_wire_version(const msgpack_object *array, struct sl_error *err)
{
    uint64_t version = 0;
    if (array->via.array.size == Sl_ENVELOPE_FIELDS ||
        !read_u64(&array->via.array.ptr[Sl_ENVELOPE_FIELDS], &version)) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_WIRE_STEP_DECODE, NULL,
                           "message \"hello\" lacks its wire version");
    }
    if (version != Sl_WIRE_VERSION) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_WIRE_STEP_DECODE, NULL,
                           "wire version %" G_GUINT64_FORMAT
                           " is not supported, only %d",
                           (guint64)version, Sl_WIRE_VERSION);
    }
    return Sl_OK;
}

static enum sl_errno
read_fields(struct sl_decoder *decoder, struct sl_msg *msg,
            struct sl_error *err)
{
    const msgpack_object *array = &decoder->unpacked.data;
    const struct sl_message_layout *layout = &layouts[msg->type];
    size_t count = field_count(layout);
    if (array->via.array.size != Sl_ENVELOPE_FIELDS + count) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_WIRE_STEP_DECODE, NULL,
                           "message \"%s\" has %u values instead of %zu",
                           layout->name, (unsigned)array->via.array.size,
                           Sl_ENVELOPE_FIELDS + count);
    }
    for (size_t i = 0; i < count; i++) {
        const msgpack_object *object =
            &array->via.array.ptr[Sl_ENVELOPE_FIELDS + i];
        if (!read_field(object, &layout->fields[i], decoder, msg)) {
            return SlError_Set(err, Sl_ERR_INVALID, Sl_WIRE_STEP_DECODE, NULL,
                               "message \"%s\": field %zu is malformed",
                               layout->name, i);
        }
    }
    return Sl_OK;
}

static enum sl_errno
read_message(struct sl_decoder *decoder, struct sl_msg *msg,
             struct sl_error *err)
{
    const msgpack_object *array = &decoder->unpacked.data;
    uint64_t type = 0;
    if (array->type != MSGPACK_OBJECT_ARRAY ||
        array->via.array.size < Sl_ENVELOPE_FIELDS ||
        !read_u64(&array->via.array.ptr[0], &type) ||
        !read_u64(&array->via.array.ptr[1], &msg->offset) ||
        !read_i64(&array->via.array.ptr[2], &msg->proof_age_us) ||
        msg->proof_age_us < 0) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_WIRE_STEP_DECODE, NULL,
                           "not an array of type, offset and proof age");
    }
    if (type < Sl_MSG_HELLO || type >= Sl_MSG_TYPES_END) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_WIRE_STEP_DECODE, NULL,
                           "unknown message type %" G_GUINT64_FORMAT,
                           (guint64)type);
    }
    msg->type = (enum sl_msg_type)type;
    if (msg->type == Sl_MSG_HELLO) {
        Sl_TRY(check_wire_version(array, err));
    }
    return read_fields(decoder, msg, err);
}

/* Checks what the kinds of the fields don't: the outcome of a fail message. */
static enum sl_errno
check_values(const struct sl_msg *msg, struct sl_error *err)
{
    if (msg->type == Sl_MSG_FAIL &&
        msg->u.fail.outcome != Sl_OUTCOME_NOT_RUN &&
        msg->u.fail.outcome != Sl_OUTCOME_UNKNOWN) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_WIRE_STEP_DECODE, NULL,
                           "message \"fail\": outcome %" G_GUINT64_FORMAT
                           " is neither not-run nor unknown",
                           (guint64)msg->u.fail.outcome);
    }
    return Sl_OK;
}

/* Writes the length at the start of a frame. */
static void
write_length(char *bytes, size_t length)
{
    bytes[0] = (char)(length >> 24);
    bytes[1] = (char)(length >> 16);
    bytes[2] = (char)(length >> 8);
    bytes[3] = (char)length;
}

/* ---- public ---- */

bool
SlRequestId_Equal(struct sl_request_id a, struct sl_request_id b)
{
    return a.boot == b.boot && a.seq == b.seq;
}

struct sl_name
SlRequestId_Name(struct sl_request_id id)
{
    struct sl_name name = {0};
    int len = snprintf(name.text, sizeof(name.text),
                       "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                       (guint64)id.boot, (guint64)id.seq);
    name.len = (uint8_t)len;
    return name;
}

guint
SlPinKey_Hash(gconstpointer data)
{
    const struct sl_pin_key *key = data;
    uint64_t hash = SlHash_Bytes(0, SlName_Str(&key->team));
    hash = SlHash_Bytes(hash, SlName_Str(&key->session));
    return (guint)SlHash_Bytes(hash, SlName_Str(&key->service));
}

gboolean
SlPinKey_Equal(gconstpointer a, gconstpointer b)
{
    const struct sl_pin_key *left = a;
    const struct sl_pin_key *right = b;
    return SlName_Equal(&left->team, &right->team) &&
           SlName_Equal(&left->session, &right->session) &&
           SlName_Equal(&left->service, &right->service);
}

const char *
SlOutcome_Name(enum sl_outcome outcome)
{
    switch (outcome) {
    case Sl_OUTCOME_RAN:
        return "ran";
    case Sl_OUTCOME_NOT_RUN:
        return "not-run";
    case Sl_OUTCOME_UNKNOWN:
        break;
    }
    return "unknown";
}

const char *
SlMsg_TypeName(enum sl_msg_type type)
{
    if (type < Sl_MSG_HELLO || type >= Sl_MSG_TYPES_END) {
        return "invalid";
    }
    return layouts[type].name;
}

enum sl_errno
SlWire_Encode(const struct sl_msg *msg, struct sl_buf *out,
              struct sl_error *err)
{
    assert(msg->type >= Sl_MSG_HELLO && msg->type < Sl_MSG_TYPES_END);
    const struct sl_message_layout *layout = &layouts[msg->type];
    size_t start = out->len;
    size_t count = field_count(layout);
    msgpack_packer packer;
    SlBuf_Append(out, Sl_STR("\0\0\0\0"));
    msgpack_packer_init(&packer, out, write_buf);
    msgpack_pack_array(&packer, Sl_ENVELOPE_FIELDS + count);
    msgpack_pack_uint64(&packer, msg->type);
    msgpack_pack_uint64(&packer, msg->offset);
    msgpack_pack_int64(&packer, msg->proof_age_us);
    for (size_t i = 0; i < count; i++) {
        pack_field(&packer, &layout->fields[i], msg);
    }
    size_t length = out->len - start - Sl_LENGTH_BYTES;
    if (length > Sl_FRAME_MAX_BYTES) {
        out->len = start;
        return SlError_Set(
            err, Sl_ERR_TOO_LARGE, Sl_WIRE_STEP_ENCODE, NULL,
            "message \"%s\" of %zu bytes exceeds the limit of %zu",
            layout->name, length, Sl_FRAME_MAX_BYTES);
    }
    write_length(out->ptr + start, length);
    return Sl_OK;
}

struct sl_decoder *
SlDecoder_New(void)
{
    struct sl_decoder *decoder = g_new0(struct sl_decoder, 1);
    msgpack_unpacked_init(&decoder->unpacked);
    return decoder;
}

void
SlDecoder_Free(struct sl_decoder *decoder)
{
    if (decoder == NULL) {
        return;
    }
    msgpack_unpacked_destroy(&decoder->unpacked);
    g_free(decoder);
}

enum sl_errno
SlDecoder_Next(struct sl_decoder *decoder, struct sl_str bytes,
               struct sl_msg *msg, size_t *used, struct sl_error *err)
{
    *used = 0;
    if (bytes.len < Sl_LENGTH_BYTES) {
        return Sl_OK;
    }
    size_t length = read_count(bytes.ptr, Sl_LENGTH_BYTES);
    if (length > Sl_FRAME_MAX_BYTES) {
        return SlError_Set(err, Sl_ERR_TOO_LARGE, Sl_WIRE_STEP_DECODE, NULL,
                           "frame of %zu bytes exceeds the limit of %zu",
                           length, Sl_FRAME_MAX_BYTES);
    }
    if (bytes.len < Sl_LENGTH_BYTES + length) {
        return Sl_OK;
    }
    size_t unpacked_bytes = 0;
    struct sl_str body = {bytes.ptr + Sl_LENGTH_BYTES, length};
    if (!has_bounded_counts(body) ||
        msgpack_unpack_next(&decoder->unpacked, body.ptr, body.len,
                            &unpacked_bytes) != MSGPACK_UNPACK_SUCCESS ||
        unpacked_bytes != length) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_WIRE_STEP_DECODE, NULL,
                           "frame of %zu bytes is not one msgpack value",
                           length);
    }
    memset(msg, 0, sizeof(*msg));
    Sl_TRY(read_message(decoder, msg, err));
    Sl_TRY(check_values(msg, err));
    *used = Sl_LENGTH_BYTES + length;
    return Sl_OK;
}
