/* Pages of records: [end, is_snapshot, [[offset, key, value], ...]]. */
#include "sl_gossip.h"

#include <msgpack.h>

static const char step[] = "page.decode";

#define Sl_PAGE_FIELDS 3
#define Sl_RECORD_FIELDS 3

struct sl_page_reader {
    msgpack_unpacked unpacked;
    GArray *records; /* struct sl_page_record */
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

void
SlPage_Encode(const struct sl_page *page, struct sl_buf *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, write_bytes);
    msgpack_pack_array(&packer, Sl_PAGE_FIELDS);
    msgpack_pack_uint64(&packer, page->end);
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
        top->via.array.ptr[1].type != MSGPACK_OBJECT_BOOLEAN ||
        top->via.array.ptr[2].type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    const msgpack_object_array *list = &top->via.array.ptr[2].via.array;
    page->is_snapshot = top->via.array.ptr[1].via.boolean;
    page->end = top->via.array.ptr[0].via.u64;
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

struct sl_page_reader *
SlPage_Decode(struct sl_str bytes, struct sl_page *page, struct sl_error *err)
{
    struct sl_page_reader *reader = g_new0(struct sl_page_reader, 1);
    size_t at = 0;
    msgpack_unpacked_init(&reader->unpacked);
    reader->records = g_array_new(FALSE, FALSE, sizeof(struct sl_page_record));
    if (msgpack_unpack_next(&reader->unpacked, bytes.ptr, bytes.len, &at) !=
            MSGPACK_UNPACK_SUCCESS ||
        at != bytes.len || !read_page(reader, page)) {
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
    g_free(reader);
}
