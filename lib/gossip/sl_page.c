/*
 * Encodes and decodes pages of records. A page is the msgpack array
 * [next_offset, complete_from, is_snapshot, [[offset, key, value], ...]],
 * compressed and wrapped as [uncompressed length, bytes]. Records resemble
 * each other, so a snapshot compresses to a tenth of its size; that matters on
 * links of small VMs, which carry a megabyte a second.
 */
#include "sl_gossip.h"

#include <msgpack.h>
#include <zlib.h>

static const char step[] = "page.decode";

#define Sl_PAGE_FIELDS 4
#define Sl_RECORD_FIELDS 3
#define Sl_WRAPPER_FIELDS 2
/* Pages shorter than this are sent uncompressed. */
#define Sl_COMPRESS_MIN_BYTES 1024

struct sl_page_reader {
    char *bytes;               /* the uncompressed page */
    msgpack_unpacked unpacked; /* points into `bytes` */
    GArray *records;           /* struct sl_page_record */
};

/* ---- encode ---- */

static int
write_bytes(void *data, const char *bytes, size_t len)
{
    SlBuf_Append(data, (struct sl_str){bytes, len});
    return 0;
}

static void
pack_bytes(msgpack_packer *packer, struct sl_str bytes)
{
    msgpack_pack_bin(packer, bytes.len);
    msgpack_pack_bin_body(packer, bytes.ptr, bytes.len);
}

/* Appends the wrapper of the page `bytes`: its length, and its bytes,
 * compressed if that makes them shorter. */
static void
append_compressed(struct sl_str bytes, struct sl_buf *out)
{
    uLongf len = compressBound(bytes.len);
    char *compressed = g_malloc(len);
    msgpack_packer packer;
    if (bytes.len < Sl_COMPRESS_MIN_BYTES ||
        compress2((Bytef *)compressed, &len, (const Bytef *)bytes.ptr,
                  bytes.len, Z_BEST_SPEED) != Z_OK ||
        len >= bytes.len) {
        memcpy(compressed, bytes.ptr, bytes.len);
        len = bytes.len;
    }
    msgpack_packer_init(&packer, out, write_bytes);
    msgpack_pack_array(&packer, Sl_WRAPPER_FIELDS);
    msgpack_pack_uint64(&packer, bytes.len);
    pack_bytes(&packer, (struct sl_str){compressed, len});
    g_free(compressed);
}

static void
encode_page(const struct sl_page *page, struct sl_buf *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, write_bytes);
    msgpack_pack_array(&packer, Sl_PAGE_FIELDS);
    msgpack_pack_uint64(&packer, page->next_offset);
    msgpack_pack_uint64(&packer, page->complete_from);
    if (page->is_snapshot) {
        msgpack_pack_true(&packer);
    }
    else {
        msgpack_pack_false(&packer);
    }
    msgpack_pack_array(&packer, page->count);
    for (size_t i = 0; i < page->count; i++) {
        msgpack_pack_array(&packer, Sl_RECORD_FIELDS);
        msgpack_pack_uint64(&packer, page->records[i].offset);
        pack_bytes(&packer, page->records[i].key);
        pack_bytes(&packer, page->records[i].value);
    }
}

void
SlPage_Encode(const struct sl_page *page, struct sl_buf *out)
{
    struct sl_buf bytes = {0};
    encode_page(page, &bytes);
    append_compressed(SlBuf_Str(&bytes), out);
    SlBuf_Free(&bytes);
}

/* ---- decode ---- */

static bool
is_array_of(const msgpack_object *object, uint32_t fields)
{
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == fields;
}

static bool
read_record(const msgpack_object *object, struct sl_page_record *record)
{
    if (!is_array_of(object, Sl_RECORD_FIELDS)) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    if (fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        fields[1].type != MSGPACK_OBJECT_BIN ||
        fields[2].type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    record->offset = fields[0].via.u64;
    record->key =
        (struct sl_str){fields[1].via.bin.ptr, fields[1].via.bin.size};
    record->value =
        (struct sl_str){fields[2].via.bin.ptr, fields[2].via.bin.size};
    return true;
}

static bool
read_page(struct sl_page_reader *reader, struct sl_page *page)
{
    const msgpack_object *top = &reader->unpacked.data;
    if (!is_array_of(top, Sl_PAGE_FIELDS) ||
        top->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        top->via.array.ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        top->via.array.ptr[2].type != MSGPACK_OBJECT_BOOLEAN ||
        top->via.array.ptr[3].type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    const msgpack_object_array *list = &top->via.array.ptr[3].via.array;
    page->is_snapshot = top->via.array.ptr[2].via.boolean;
    page->complete_from = top->via.array.ptr[1].via.u64;
    page->next_offset = top->via.array.ptr[0].via.u64;
    for (uint32_t i = 0; i < list->size; i++) {
        struct sl_page_record record;
        if (!read_record(&list->ptr[i], &record)) {
            return false;
        }
        g_array_append_val(reader->records, record);
    }
    page->count = reader->records->len;
    page->records =
        (const struct sl_page_record *)(void *)reader->records->data;
    return true;
}

/* Returns the `len` bytes of an uncompressed page, which the caller frees;
 * NULL if there are more or fewer. If `compressed` has that length itself, it
 * was sent uncompressed. */
static char *
uncompress_bytes(struct sl_str compressed, size_t len)
{
    char *out = g_malloc(len + 1);
    uLongf out_len = len;
    if (compressed.len == len) {
        memcpy(out, compressed.ptr, len);
        return out;
    }
    if (uncompress((Bytef *)out, &out_len, (const Bytef *)compressed.ptr,
                   compressed.len) != Z_OK ||
        out_len != len) {
        g_free(out);
        return NULL;
    }
    return out;
}

/* Returns the uncompressed bytes of a wrapped page, which the caller frees,
 * and sets `len` to their number; NULL if the wrapper or its length is wrong.
 */
static char *
unwrap(struct sl_str bytes, size_t *len)
{
    msgpack_unpacked unpacked;
    size_t parsed_bytes = 0;
    char *out = NULL;
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, bytes.ptr, bytes.len, &parsed_bytes) ==
            MSGPACK_UNPACK_SUCCESS &&
        parsed_bytes == bytes.len &&
        is_array_of(&unpacked.data, Sl_WRAPPER_FIELDS)) {
        const msgpack_object *fields = unpacked.data.via.array.ptr;
        if (fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
            fields[0].via.u64 <= Sl_PAGE_MAX_BYTES &&
            fields[1].type == MSGPACK_OBJECT_BIN) {
            out = uncompress_bytes(
                (struct sl_str){fields[1].via.bin.ptr, fields[1].via.bin.size},
                fields[0].via.u64);
            *len = fields[0].via.u64;
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    return out;
}

struct sl_page_reader *
SlPage_Decode(struct sl_str bytes, struct sl_page *page, struct sl_error *err)
{
    struct sl_page_reader *reader = g_new0(struct sl_page_reader, 1);
    size_t parsed_bytes = 0;
    size_t len = 0;
    msgpack_unpacked_init(&reader->unpacked);
    reader->records = g_array_new(FALSE, FALSE, sizeof(struct sl_page_record));
    reader->bytes = unwrap(bytes, &len);
    if (reader->bytes == NULL ||
        msgpack_unpack_next(&reader->unpacked, reader->bytes, len,
                            &parsed_bytes) != MSGPACK_UNPACK_SUCCESS ||
        parsed_bytes != len || !read_page(reader, page)) {
        (void)SlError_Set(err, Sl_ERR_INVALID, step, "",
                          "%zu bytes are not a page of records", bytes.len);
        SlPage_Free(reader);
        return NULL;
    }
    return reader;
}

void
SlPage_Free(struct sl_page_reader *reader)
{
    msgpack_unpacked_destroy(&reader->unpacked);
    g_array_free(reader->records, TRUE);
    g_free(reader->bytes);
    g_free(reader);
}
