// Fuzz target: parses bytes as HTTP messages and as a stream of server-sent
// events. Fails on a crash, if the reader stores more than max_head_bytes of a
// head, and if the result depends on how the bytes are split into reads.
#ifndef SL_READER_TARGET_H
#define SL_READER_TARGET_H

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>

extern "C" {
#include "sl_net_internal.h"
#include "sl_router_internal.h"
}

constexpr size_t max_head_bytes = 2048;
constexpr unsigned max_messages = 8; // of one input; the rest is not read

// Records as text what an HTTP reader reports of the messages of one input.
struct ReaderTrace {
    struct sl_http_reader reader = {};
    std::string heads;
    std::string body;
    unsigned messages = 0;
    bool failed = false;

    explicit ReaderTrace(enum http_parser_type type)
    {
        struct sl_http_reader_handlers handlers = {on_head, on_body, on_end,
                                                   this};
        SlHttpReader_Init(&reader, type, max_head_bytes, &handlers);
    }
    ReaderTrace(const ReaderTrace &) = delete;

    ~ReaderTrace()
    {
        SlHttpReader_Clear(&reader);
    }

    static std::string
    text(struct sl_str view)
    {
        return view.len == 0 ? std::string() : std::string(view.ptr, view.len);
    }

    static bool
    on_head(void *context)
    {
        auto *self = static_cast<ReaderTrace *>(context);
        struct sl_head head;
        SlHttpReader_GetHead(&self->reader, &head);
        self->heads += text(head.method) + " " + text(head.target) + " " +
                       std::to_string(head.status) + "\n";
        for (size_t i = 0; i < head.header_count; i++) {
            self->heads += text(head.headers[i].name) + ":" +
                           text(head.headers[i].value) + "\n";
            (void)SlHead_IsHopByHop(&head, &head.headers[i]);
        }
        return true;
    }

    static bool
    on_body(void *context, struct sl_str bytes)
    {
        static_cast<ReaderTrace *>(context)->body += text(bytes);
        return true;
    }

    static void
    on_end(void *context)
    {
        static_cast<ReaderTrace *>(context)->messages++;
    }

    // Parses the bytes in reads of at most `read_len` bytes, one message after
    // the other.
    void
    feed(const char *bytes, size_t len, size_t read_len)
    {
        size_t offset = 0;
        while (offset < len && !failed && messages < max_messages) {
            size_t part_len = std::min(read_len, len - offset);
            bool ok = true;
            size_t consumed =
                SlHttpReader_Feed(&reader, bytes + offset, part_len, &ok);
            failed = !ok;
            offset += consumed;
            if (reader.head_text.len > max_head_bytes) {
                abort();
            }
            if (reader.complete) {
                SlHttpReader_Reset(&reader);
            }
            else if (consumed < part_len && ok) {
                abort(); // bytes were neither consumed nor rejected
            }
        }
        if (!failed && messages < max_messages) {
            (void)SlHttpReader_EndOfInput(&reader);
        }
    }

    // Returns everything reported so far; a failed parse adds a '!'.
    std::string
    result() const
    {
        return heads + "|" + body + "|" + std::to_string(messages) +
               (failed ? "!" : "");
    }
};

// Splits the bytes, in reads of at most `read_len` bytes, into server-sent
// events. Returns the events with their ids as text.
inline std::string
split_events(const char *bytes, size_t len, size_t read_len)
{
    struct sl_event_splitter splitter = {};
    std::string out;
    for (size_t offset = 0; offset < len; offset += read_len) {
        SlEventSplitter_Append(
            &splitter, {bytes + offset, std::min(read_len, len - offset)});
        struct sl_str event;
        struct sl_str id;
        size_t consumed = 0;
        while (SlEventSplitter_Next(&splitter, &consumed, &event, &id)) {
            out += std::string(id.ptr, id.len) + "=" +
                   std::string(event.ptr, event.len) + ";";
        }
        SlEventSplitter_Consume(&splitter, consumed);
    }
    SlEventSplitter_Free(&splitter);
    return out;
}

// Aborts if the result of small reads differs from that of a single read.
inline void
run_reader_target(const uint8_t *data, size_t size)
{
    const char *bytes = reinterpret_cast<const char *>(data);
    for (enum http_parser_type type : {HTTP_REQUEST, HTTP_RESPONSE}) {
        ReaderTrace unsplit(type);
        unsplit.feed(bytes, size, size + 1);
        for (size_t read_len : {1, 3, 64}) {
            ReaderTrace split(type);
            split.feed(bytes, size, read_len);
            if (split.result() != unsplit.result()) {
                abort();
            }
        }
    }
    std::string unsplit = split_events(bytes, size, size + 1);
    for (size_t read_len : {1, 2, 5}) {
        if (split_events(bytes, size, read_len) != unsplit) {
            abort();
        }
    }
}

#endif
