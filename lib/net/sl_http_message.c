/* Message heads, and the message reader on top of http-parser. */
#include "sl_net_internal.h"

#include <string.h>
#include <strings.h>

/* ---- heads ---- */

bool
SlHeader_HasName(const struct sl_header *header, const char *name)
{
    size_t len = strlen(name);
    return header->name.len == len &&
           strncasecmp(header->name.ptr, name, len) == 0;
}

struct sl_str
SlHead_FindHeader(const struct sl_head *head, const char *name)
{
    for (size_t i = 0; i < head->header_count; i++) {
        if (SlHeader_HasName(&head->headers[i], name)) {
            return head->headers[i].value;
        }
    }
    return Sl_STR("");
}

/* Reports whether a comma-separated list contains `name`, ignoring case and
 * spaces around the elements. */
static bool
list_contains(struct sl_str list, struct sl_str name)
{
    size_t pos = 0;
    while (pos < list.len) {
        size_t comma = pos;
        while (comma < list.len && list.ptr[comma] != ',') {
            comma++;
        }
        size_t begin = pos;
        size_t end = comma;
        while (begin < end && list.ptr[begin] == ' ') {
            begin++;
        }
        while (end > begin && list.ptr[end - 1] == ' ') {
            end--;
        }
        if (end - begin == name.len &&
            strncasecmp(list.ptr + begin, name.ptr, name.len) == 0) {
            return true;
        }
        pos = comma + 1;
    }
    return false;
}

bool
SlHead_IsHopByHop(const struct sl_head *head, const struct sl_header *header)
{
    static const char *const names[] = {
        "connection",        "keep-alive", "proxy-connection",
        "transfer-encoding", "te",         "trailer",
        "upgrade",           "expect",     "content-length",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (SlHeader_HasName(header, names[i])) {
            return true;
        }
    }
    /* The Connection header lists further headers of this connection only. */
    struct sl_str listed = SlHead_FindHeader(head, "connection");
    return listed.len > 0 && list_contains(listed, header->name);
}

const char *
SlHttp_ReasonPhrase(int status)
{
    switch (status) {
#define Sl_STATUS_CASE(number, name, text)                                    \
    case number:                                                              \
        return #text;
        HTTP_STATUS_MAP(Sl_STATUS_CASE)
#undef Sl_STATUS_CASE
    default:
        return "Unknown";
    }
}

/* ---- callbacks of http-parser ---- */

static struct sl_http_reader *
reader_of(http_parser *parser)
{
    return parser->data;
}

/* Appends received bytes to `span`, which is empty or the last part of
 * `head_text`. Returns false if the head becomes too large. */
static bool
append_head_text(struct sl_http_reader *reader, struct sl_span *span,
                 const char *bytes, size_t len)
{
    if (reader->head_text.len + len > reader->max_header_bytes) {
        reader->header_too_large = true;
        return false;
    }
    if (span->len == 0) {
        span->offset = reader->head_text.len;
    }
    SlBuf_Append(&reader->head_text, (struct sl_str){bytes, len});
    span->len += len;
    return true;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    struct sl_http_reader *reader = reader_of(parser);
    return append_head_text(reader, &reader->target, at, len) ? 0 : -1;
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    struct sl_http_reader *reader = reader_of(parser);
    if (reader->head_complete) {
        return 0; /* a trailer, which is dropped */
    }
    if (reader->in_header_value || reader->header_count == 0) {
        if (reader->header_count == Sl_HEAD_MAX_HEADERS) {
            reader->header_too_large = true;
            return -1;
        }
        reader->names[reader->header_count] = (struct sl_span){0, 0};
        reader->values[reader->header_count] = (struct sl_span){0, 0};
        reader->header_count++;
        reader->in_header_value = false;
    }
    return append_head_text(reader, &reader->names[reader->header_count - 1],
                            at, len)
               ? 0
               : -1;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    struct sl_http_reader *reader = reader_of(parser);
    if (reader->head_complete) {
        return 0;
    }
    reader->in_header_value = true;
    return append_head_text(reader, &reader->values[reader->header_count - 1],
                            at, len)
               ? 0
               : -1;
}

static struct sl_str
span_view(const struct sl_http_reader *reader, struct sl_span span)
{
    if (span.len == 0) {
        return Sl_STR("");
    }
    return (struct sl_str){reader->head_text.ptr + span.offset, span.len};
}

void
SlHttpReader_GetHead(const struct sl_http_reader *reader, struct sl_head *head)
{
    const http_parser *parser = &reader->parser;
    head->method = Sl_STR("");
    head->target = span_view(reader, reader->target);
    head->status = (int)parser->status_code;
    if (parser->type == HTTP_REQUEST) {
        head->method =
            SlStr_FromC(http_method_str((enum http_method)parser->method));
        head->status = 0;
    }
    head->keep_alive = reader->keep_alive;
    head->header_count = reader->header_count;
    for (size_t i = 0; i < reader->header_count; i++) {
        head->headers[i].name = span_view(reader, reader->names[i]);
        head->headers[i].value = span_view(reader, reader->values[i]);
    }
}

static bool
is_chunked(struct sl_str coding)
{
    static const struct sl_str chunked = Sl_STR("chunked");
    while (coding.len > 0 && g_ascii_isspace(coding.ptr[coding.len - 1])) {
        coding.len--;
    }
    return coding.len == chunked.len &&
           strncasecmp(coding.ptr, chunked.ptr, chunked.len) == 0;
}

/* Returns false if the body is in a coding that is not decoded here. */
static bool
is_coding_known(const struct sl_http_reader *reader)
{
    struct sl_head head;
    SlHttpReader_GetHead(reader, &head);
    for (size_t i = 0; i < head.header_count; i++) {
        if (SlHeader_HasName(&head.headers[i], "transfer-encoding") &&
            !is_chunked(head.headers[i].value)) {
            return false;
        }
    }
    return true;
}

static int
on_headers_complete(http_parser *parser)
{
    struct sl_http_reader *reader = reader_of(parser);
    reader->head_complete = true;
    if (!is_coding_known(reader)) {
        return -1;
    }
    reader->keep_alive = http_should_keep_alive(parser) != 0;
    if (!reader->handlers.on_head(reader->handlers.context)) {
        return -1;
    }
    return reader->skip_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct sl_http_reader *reader = reader_of(parser);
    struct sl_str bytes = {at, len};
    return reader->handlers.on_body(reader->handlers.context, bytes) ? 0 : -1;
}

static int
on_message_complete(http_parser *parser)
{
    struct sl_http_reader *reader = reader_of(parser);
    reader->complete = true;
    /* So that SlHttpReader_Feed() does not consume bytes after the message. */
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* ---- reader ---- */

void
SlHttpReader_Init(struct sl_http_reader *reader, enum http_parser_type type,
                  size_t max_header_bytes,
                  const struct sl_http_reader_handlers *handlers)
{
    memset(reader, 0, sizeof(*reader));
    http_parser_init(&reader->parser, type);
    SlHttpGrammar_Init(&reader->grammar, type == HTTP_RESPONSE);
    reader->parser.data = reader;
    reader->handlers = *handlers;
    reader->max_header_bytes = max_header_bytes;
}

void
SlHttpReader_Clear(struct sl_http_reader *reader)
{
    SlBuf_Free(&reader->head_text);
}

void
SlHttpReader_Reset(struct sl_http_reader *reader)
{
    enum http_parser_type type = (enum http_parser_type)reader->parser.type;
    http_parser_init(&reader->parser, type);
    SlHttpGrammar_Init(&reader->grammar, type == HTTP_RESPONSE);
    SlBuf_Clear(&reader->head_text);
    reader->target = (struct sl_span){0, 0};
    reader->header_count = 0;
    reader->in_header_value = false;
    reader->head_complete = false;
    reader->keep_alive = false;
    reader->header_too_large = false;
    reader->skip_body = false;
    reader->started = false;
    reader->complete = false;
}

/* Parses the bytes from `*consumed` on, up to the end of the head if it is
 * among them. Returns false if the message is malformed or rejected. */
static bool
feed_part(struct sl_http_reader *reader, const char *bytes, size_t len,
          size_t *consumed)
{
    struct sl_http_grammar *grammar = &reader->grammar;
    bool is_head = !reader->head_complete;
    size_t part =
        SlHttpGrammar_Scan(grammar, bytes + *consumed, len - *consumed);
    bool is_valid = grammar->state != Sl_GRAMMAR_INVALID;
    /* The bytes before the wrong one are reported, however they are split. */
    part -= is_valid ? 0 : 1;
    if (part == 0) {
        return false; /* to http-parser, no bytes are the end of the input */
    }
    *consumed += http_parser_execute(&reader->parser, &parser_settings,
                                     bytes + *consumed, part);
    if (reader->complete) {
        return true;
    }
    if (!is_valid || HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK) {
        return false;
    }
    bool has_ended = grammar->state == Sl_GRAMMAR_END;
    if (has_ended != (is_head && reader->head_complete)) {
        return false; /* the two do not agree where the part ends */
    }
    if (has_ended) {
        SlHttpGrammar_BeginBody(grammar,
                                (reader->parser.flags & F_CHUNKED) != 0);
    }
    return true;
}

size_t
SlHttpReader_Feed(struct sl_http_reader *reader, const char *bytes, size_t len,
                  bool *ok)
{
    *ok = true;
    if (len == 0 || reader->complete) {
        return 0;
    }
    reader->started = true;
    size_t consumed = 0;
    while (*ok && !reader->complete && consumed < len) {
        *ok = feed_part(reader, bytes, len, &consumed);
    }
    if (reader->complete) {
        reader->handlers.on_end(reader->handlers.context);
    }
    return consumed;
}

bool
SlHttpReader_EndOfInput(struct sl_http_reader *reader)
{
    if (reader->complete || !reader->started) {
        return false;
    }
    (void)http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
    if (!reader->complete) {
        return false;
    }
    reader->handlers.on_end(reader->handlers.context);
    return true;
}
