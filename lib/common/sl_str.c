/* Length-counted strings: views, inline names and growing buffers. */
#include "sl_common.h"

#include <assert.h>
#include <stdarg.h>
#include <string.h>

/* Initial capacity of a buffer. */
#define Sl_BUF_MIN_BYTES 64

/* ---- helpers ---- */

/* Makes room for `more_bytes` after the contents. */
static void
reserve(struct sl_buf *buf, size_t more_bytes)
{
    size_t needed = buf->len + more_bytes;
    if (needed <= buf->capacity) {
        return;
    }
    size_t capacity = buf->capacity ? buf->capacity : Sl_BUF_MIN_BYTES;
    while (capacity < needed) {
        capacity *= 2;
    }
    buf->ptr = g_realloc(buf->ptr, capacity);
    buf->capacity = capacity;
}

/* Appends a valid UTF-8 character of `len` bytes, escaped for JSON. */
static void
append_json_char(struct sl_buf *buf, const char *character, size_t len)
{
    unsigned char byte = (unsigned char)*character;
    if (byte == '"' || byte == '\\') {
        SlBuf_Append(buf, Sl_STR("\\"));
    }
    if (byte < 0x20 || byte == 0x7f) {
        SlBuf_Printf(buf, "\\u%04x", byte);
        return;
    }
    SlBuf_Append(buf, (struct sl_str){character, len});
}

/* ---- views and names ---- */

struct sl_str
SlStr_FromC(const char *text)
{
    return (struct sl_str){text, strlen(text)};
}

bool
SlStr_Equal(struct sl_str a, struct sl_str b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

bool
SlStr_StartsWith(struct sl_str text, struct sl_str prefix)
{
    return text.len >= prefix.len &&
           SlStr_Equal((struct sl_str){text.ptr, prefix.len}, prefix);
}

guint
SlStr_TableHash(gconstpointer text)
{
    return (guint)SlHash_Bytes(0, *(const struct sl_str *)text);
}

gboolean
SlStr_TableEqual(gconstpointer a, gconstpointer b)
{
    return SlStr_Equal(*(const struct sl_str *)a, *(const struct sl_str *)b);
}

bool
SlStr_HasControlBytes(struct sl_str text)
{
    for (size_t i = 0; i < text.len; i++) {
        unsigned char byte = (unsigned char)text.ptr[i];
        if (byte < 0x20 || byte == 0x7f) {
            return true;
        }
    }
    return false;
}

bool
SlName_Set(struct sl_name *name, struct sl_str text)
{
    memset(name, 0, sizeof(*name));
    if (text.len > Sl_NAME_MAX_BYTES || SlStr_HasControlBytes(text)) {
        return false;
    }
    if (text.len > 0) {
        memcpy(name->text, text.ptr, text.len);
    }
    name->len = (uint8_t)text.len;
    return true;
}

struct sl_name
SlName_Of(const char *text)
{
    struct sl_name name;
    bool is_valid = SlName_Set(&name, SlStr_FromC(text));
    assert(is_valid);
    (void)is_valid;
    return name;
}

struct sl_str
SlName_Str(const struct sl_name *name)
{
    return (struct sl_str){name->text, name->len};
}

bool
SlName_Equal(const struct sl_name *a, const struct sl_name *b)
{
    return a->len == b->len && memcmp(a->text, b->text, a->len) == 0;
}

bool
SlName_IsEmpty(const struct sl_name *name)
{
    return name->len == 0;
}

bool
SlName_IsListed(const struct sl_name *names, size_t count,
                const struct sl_name *name)
{
    for (size_t i = 0; i < count; i++) {
        if (SlName_Equal(&names[i], name)) {
            return true;
        }
    }
    return false;
}

guint
SlName_TableHash(gconstpointer name)
{
    return (guint)SlHash_Bytes(0, SlName_Str(name));
}

gboolean
SlName_TableEqual(gconstpointer a, gconstpointer b)
{
    return SlName_Equal(a, b);
}

/* ---- buffers ---- */

void
SlBuf_Append(struct sl_buf *buf, struct sl_str bytes)
{
    if (bytes.len == 0) {
        return;
    }
    reserve(buf, bytes.len);
    memcpy(buf->ptr + buf->len, bytes.ptr, bytes.len);
    buf->len += bytes.len;
}

void
SlBuf_AppendC(struct sl_buf *buf, const char *text)
{
    SlBuf_Append(buf, SlStr_FromC(text));
}

void
SlBuf_Printf(struct sl_buf *buf, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    SlBuf_AppendC(buf, text);
    g_free(text);
}

void
SlBuf_Clear(struct sl_buf *buf)
{
    buf->len = 0;
}

void
SlBuf_Free(struct sl_buf *buf)
{
    g_free(buf->ptr);
    memset(buf, 0, sizeof(*buf));
}

struct sl_str
SlBuf_Str(const struct sl_buf *buf)
{
    return (struct sl_str){buf->ptr != NULL ? buf->ptr : "", buf->len};
}

void
SlBuf_AppendJson(struct sl_buf *buf, struct sl_str text)
{
    const char *at = text.ptr;
    const char *end = text.ptr + text.len;
    SlBuf_Append(buf, Sl_STR("\""));
    while (at < end) {
        gunichar c = g_utf8_get_char_validated(at, end - at);
        if (c == (gunichar)-1 || c == (gunichar)-2) {
            SlBuf_Append(buf, Sl_STR("\xef\xbf\xbd"));
            at++;
            continue;
        }
        const char *next = g_utf8_next_char(at);
        append_json_char(buf, at, (size_t)(next - at));
        at = next;
    }
    SlBuf_Append(buf, Sl_STR("\""));
}
