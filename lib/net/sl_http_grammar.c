/*
 * Checks the bytes of a message before http-parser gets them. The library, as
 * it is packaged, lets pass what two readers may take for different messages:
 * blanks in the names of fields, a CR without its LF, folded lines, statuses
 * that are none, and any two bytes after the data of a chunk. Such a message
 * is malformed (RFC 9112, sections 2.2, 4, 5.1, 5.2 and 7.1). Lines of a head
 * may end with an LF alone.
 */
#include "sl_net_internal.h"

#include <string.h>

/* The longest chunk size, of 64 bits. */
#define Sl_MAX_CHUNK_SIZE_DIGITS 16
/* Digits of a status. */
#define Sl_STATUS_DIGITS 3

/* The beginning of a status line; the digit after it is the minor version. */
static const char version[] = "HTTP/1.";

static bool
is_control(unsigned char byte)
{
    return (byte < ' ' && byte != '\t') || byte == 0x7f;
}

/* Returns true for the bytes of a token, such as a field's name. */
static bool
is_token(unsigned char byte)
{
    return g_ascii_isalnum(byte) ||
           (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Checks a byte of the status line, which is at `position` in it. Returns the
 * next state. */
static enum sl_grammar_state
check_status_line(struct sl_http_grammar *grammar, unsigned char byte)
{
    const size_t version_len = sizeof(version) - 1;
    const size_t status_at = version_len + 2;
    size_t position = grammar->position++;
    bool valid = true;
    if (position < version_len) {
        valid = byte == (unsigned char)version[position];
    }
    else if (position == version_len) {
        valid = g_ascii_isdigit(byte);
    }
    else if (position + 1 == status_at) {
        valid = byte == ' ';
    }
    else if (position == status_at) {
        valid = byte >= '1' && byte <= '5';
    }
    else if (position < status_at + Sl_STATUS_DIGITS) {
        valid = g_ascii_isdigit(byte);
    }
    else if (byte == '\r' || byte == '\n') {
        return byte == '\r' ? Sl_GRAMMAR_LINE_LF : Sl_GRAMMAR_LINE_START;
    }
    else {
        valid = position == status_at + Sl_STATUS_DIGITS ? byte == ' '
                                                         : !is_control(byte);
    }
    return valid ? Sl_GRAMMAR_FIRST_LINE : Sl_GRAMMAR_INVALID;
}

/* Checks a byte of the request line, whose contents http-parser checks. */
static enum sl_grammar_state
check_request_line(unsigned char byte)
{
    return byte == '\r'   ? Sl_GRAMMAR_LINE_LF
           : byte == '\n' ? Sl_GRAMMAR_LINE_START
                          : Sl_GRAMMAR_FIRST_LINE;
}

/* Checks a byte of a field line, of the head or of the trailer. */
static enum sl_grammar_state
check_field(enum sl_grammar_state state, unsigned char byte)
{
    switch (state) {
    case Sl_GRAMMAR_LINE_START:
        return byte == '\r'     ? Sl_GRAMMAR_END_LF
               : byte == '\n'   ? Sl_GRAMMAR_END
               : is_token(byte) ? Sl_GRAMMAR_NAME
                                : Sl_GRAMMAR_INVALID;
    case Sl_GRAMMAR_NAME:
        return byte == ':'      ? Sl_GRAMMAR_VALUE
               : is_token(byte) ? Sl_GRAMMAR_NAME
                                : Sl_GRAMMAR_INVALID;
    case Sl_GRAMMAR_VALUE:
        return byte == '\r'       ? Sl_GRAMMAR_LINE_LF
               : byte == '\n'     ? Sl_GRAMMAR_LINE_START
               : is_control(byte) ? Sl_GRAMMAR_INVALID
                                  : Sl_GRAMMAR_VALUE;
    case Sl_GRAMMAR_LINE_LF:
        return byte == '\n' ? Sl_GRAMMAR_LINE_START : Sl_GRAMMAR_INVALID;
    default: /* Sl_GRAMMAR_END_LF */
        return byte == '\n' ? Sl_GRAMMAR_END : Sl_GRAMMAR_INVALID;
    }
}

/* Checks a byte of the line with a chunk's size. */
static enum sl_grammar_state
check_chunk_size(struct sl_http_grammar *grammar, unsigned char byte)
{
    if (grammar->state == Sl_GRAMMAR_CHUNK_SIZE && g_ascii_isxdigit(byte)) {
        grammar->chunk_left = grammar->chunk_left * 16 +
                              (uint64_t)g_ascii_xdigit_value((gchar)byte);
        return ++grammar->position <= Sl_MAX_CHUNK_SIZE_DIGITS
                   ? Sl_GRAMMAR_CHUNK_SIZE
                   : Sl_GRAMMAR_INVALID;
    }
    if (byte == '\r' && grammar->position > 0) {
        return Sl_GRAMMAR_CHUNK_SIZE_LF;
    }
    bool begins_extension = byte == ';' || byte == ' ' || byte == '\t';
    bool is_extension = grammar->state == Sl_GRAMMAR_CHUNK_EXTENSION
                            ? !is_control(byte)
                            : begins_extension && grammar->position > 0;
    return is_extension ? Sl_GRAMMAR_CHUNK_EXTENSION : Sl_GRAMMAR_INVALID;
}

static enum sl_grammar_state
begin_chunk(struct sl_http_grammar *grammar)
{
    grammar->position = 0;
    grammar->chunk_left = 0;
    return Sl_GRAMMAR_CHUNK_SIZE;
}

/* Checks one byte that is not data of the body. Returns the next state. */
static enum sl_grammar_state
check_byte(struct sl_http_grammar *grammar, unsigned char byte)
{
    switch (grammar->state) {
    case Sl_GRAMMAR_START:
        if (byte == '\r' || byte == '\n') {
            return Sl_GRAMMAR_START; /* empty lines before the message */
        }
        grammar->position = 0;
        return grammar->is_response ? check_status_line(grammar, byte)
                                    : check_request_line(byte);
    case Sl_GRAMMAR_FIRST_LINE:
        return grammar->is_response ? check_status_line(grammar, byte)
                                    : check_request_line(byte);
    case Sl_GRAMMAR_CHUNK_SIZE:
    case Sl_GRAMMAR_CHUNK_EXTENSION:
        return check_chunk_size(grammar, byte);
    case Sl_GRAMMAR_CHUNK_SIZE_LF:
        return byte != '\n'              ? Sl_GRAMMAR_INVALID
               : grammar->chunk_left > 0 ? Sl_GRAMMAR_CHUNK_DATA
                                         : Sl_GRAMMAR_LINE_START;
    case Sl_GRAMMAR_CHUNK_DATA_CR:
        return byte == '\r' ? Sl_GRAMMAR_CHUNK_DATA_LF : Sl_GRAMMAR_INVALID;
    case Sl_GRAMMAR_CHUNK_DATA_LF:
        return byte == '\n' ? begin_chunk(grammar) : Sl_GRAMMAR_INVALID;
    default:
        return check_field(grammar->state, byte);
    }
}

void
SlHttpGrammar_Init(struct sl_http_grammar *grammar, bool is_response)
{
    memset(grammar, 0, sizeof(*grammar));
    grammar->is_response = is_response;
    grammar->state = Sl_GRAMMAR_START;
}

void
SlHttpGrammar_BeginBody(struct sl_http_grammar *grammar, bool is_chunked)
{
    grammar->state = is_chunked ? begin_chunk(grammar) : Sl_GRAMMAR_BODY;
}

size_t
SlHttpGrammar_Scan(struct sl_http_grammar *grammar, const char *bytes,
                   size_t len)
{
    size_t position = 0;
    while (position < len && grammar->state != Sl_GRAMMAR_END &&
           grammar->state != Sl_GRAMMAR_INVALID) {
        if (grammar->state == Sl_GRAMMAR_BODY) {
            return len;
        }
        if (grammar->state == Sl_GRAMMAR_CHUNK_DATA) {
            uint64_t part = MIN(grammar->chunk_left, len - position);
            position += (size_t)part;
            grammar->chunk_left -= part;
            grammar->state = grammar->chunk_left > 0
                                 ? Sl_GRAMMAR_CHUNK_DATA
                                 : Sl_GRAMMAR_CHUNK_DATA_CR;
        }
        else {
            grammar->state =
                check_byte(grammar, (unsigned char)bytes[position++]);
        }
    }
    return position;
}
