// The platform's metadata store, a log: reads of the newest record of each
// key, reads that wait for a record, and appends that may expect an offset.
// Topics have keys and one partition.
#include "standins.h"

#include <cstdlib>

extern "C" {
#include <glib.h>
}

// Longest wait of a read that the platform allows.
static const int64_t max_wait_ms = 30000;

static std::string
encode_big_endian(uint64_t value, size_t bytes)
{
    std::string out(bytes, '\0');
    for (size_t i = 0; i < bytes; i++) {
        out[i] = (char)(value >> (8 * (bytes - 1 - i)));
    }
    return out;
}

static std::map<std::string, std::string>
parse_query(const std::string &target, std::string *path)
{
    std::map<std::string, std::string> query;
    size_t at = target.find('?');
    *path = target.substr(0, at);
    while (at != std::string::npos) {
        size_t end = target.find('&', at + 1);
        std::string item = target.substr(
            at + 1, end == std::string::npos ? end : end - at - 1);
        size_t equals = item.find('=');
        if (equals != std::string::npos) {
            char *value = g_uri_unescape_string(
                item.substr(equals + 1).c_str(), nullptr);
            query[item.substr(0, equals)] = value == nullptr ? "" : value;
            g_free(value);
        }
        at = end;
    }
    return query;
}

StoreStandin::StoreStandin(struct event_base *base, Scheduler &the_scheduler,
                           const std::string &address)
    : scheduler(the_scheduler)
{
    struct sl_http_server_options options = {};
    struct sl_error err;
    options.base = base;
    options.address = SlName_Of(address.c_str());
    options.handlers = {on_request, on_disconnect, this};
    options.limits = {65536,   1 << 22, 10 * Sl_US_PER_S, 60 * Sl_US_PER_S,
                      1 << 12, 1 << 22};
    server = SlHttpServer_New(&options, &err);
    if (server == nullptr) {
        fprintf(stderr, "store: %s\n", err.text);
        exit(1);
    }
}

StoreStandin::~StoreStandin()
{
    for (const WaitingRead &read : waiting_reads) {
        scheduler.cancel(read.timer);
    }
    SlHttpServer_Free(server);
}

void
StoreStandin::put(const std::string &topic, const std::string &key,
                  const std::string &value)
{
    topics[topic].push_back({key, value});
    complete_waiting_reads(topic);
}

std::string
StoreStandin::get(const std::string &topic, const std::string &key) const
{
    std::string value;
    auto at = topics.find(topic);
    if (at != topics.end()) {
        for (const Record &record : at->second) {
            value = record.key == key ? record.value : value;
        }
    }
    return value;
}

void
StoreStandin::save_copy()
{
    copy = topics;
}

std::map<std::string, std::map<std::string, std::string>>
StoreStandin::restore_copy()
{
    std::map<std::string, std::map<std::string, std::string>> lost;
    for (const auto &entry : topics) {
        for (size_t i = copy[entry.first].size(); i < entry.second.size();
             i++) {
            lost[entry.first][entry.second[i].key] = entry.second[i].value;
        }
    }
    topics = copy;
    era++;
    return lost;
}

void
StoreStandin::on_request(void *context, uint64_t conn,
                         const struct sl_head *head, struct sl_str body)
{
    StoreStandin *store = static_cast<StoreStandin *>(context);
    std::string path;
    std::map<std::string, std::string> query =
        parse_query(text_of(head->target), &path);
    store->calls++;
    if (store->fault == StoreFault::silent) {
        return;
    }
    if (store->fault == StoreFault::refuse) {
        store->reply(conn, 503, "{}");
        return;
    }
    store->handle_request(conn, path, query, text_of(body));
}

void
StoreStandin::on_disconnect(void *context, uint64_t conn)
{
    StoreStandin *store = static_cast<StoreStandin *>(context);
    for (size_t i = 0; i < store->waiting_reads.size(); i++) {
        if (store->waiting_reads[i].conn == conn) {
            store->scheduler.cancel(store->waiting_reads[i].timer);
            store->waiting_reads.erase(store->waiting_reads.begin() + (long)i);
            return;
        }
    }
}

void
StoreStandin::reply(uint64_t conn, int status, const std::string &body)
{
    std::string lines =
        era == 0 ? "" : "Store-Era: " + std::to_string(era) + "\r\n";
    SlHttpServer_Reply(server, conn, status, view_of(lines), view_of(body));
}

void
StoreStandin::handle_request(uint64_t conn, const std::string &path,
                             const std::map<std::string, std::string> &query,
                             const std::string &body)
{
    auto value = [&query](const char *key) {
        auto at = query.find(key);
        return at == query.end() ? std::string() : at->second;
    };
    std::string topic = value("Topic");
    if (path == "/v1/log-newest") {
        reply_newest(conn, topic, value("After"));
    }
    else if (path == "/v1/log-append") {
        append(conn, topic, value("At"), body);
    }
    else if (path == "/v1/log-read") {
        uint64_t from_offset = strtoull(value("From").c_str(), nullptr, 10);
        int64_t wait_ms = strtoll(value("WaitMs").c_str(), nullptr, 10);
        if (from_offset > topics[topic].size()) {
            reply(conn, 410, "{\"FirstOffset\":0}");
            return;
        }
        if (from_offset < topics[topic].size() || wait_ms <= 0) {
            reply_records(conn, topic, from_offset);
            return;
        }
        uint64_t timer = scheduler.run_after(
            std::min(wait_ms, max_wait_ms), [this, conn, topic, from_offset] {
                on_disconnect(this, conn);
                reply_records(conn, topic, from_offset);
            });
        waiting_reads.push_back({conn, topic, from_offset, timer});
    }
    else {
        reply(conn, 404, "{}");
    }
}

void
StoreStandin::reply_newest(uint64_t conn, const std::string &topic,
                           const std::string &after_key)
{
    const size_t page_size = 500;
    std::map<std::string, uint64_t> newest;
    const std::vector<Record> &records = topics[topic];
    for (uint64_t i = 0; i < records.size(); i++) {
        newest[records[i].key] = i;
    }
    std::string items;
    size_t count = 0;
    bool has_more = false;
    for (const auto &entry : newest) {
        const Record &record = records[entry.second];
        if (record.value.empty() || entry.first <= after_key) {
            continue;
        }
        if (count == page_size) {
            has_more = true;
            break;
        }
        char *value = g_base64_encode(
            reinterpret_cast<const guchar *>(record.value.data()),
            record.value.size());
        items += std::string(count++ == 0 ? "" : ",") + "{\"Key\":\"" +
                 record.key + "\",\"Value\":\"" + value +
                 "\",\"Offset\":" + std::to_string(entry.second) + "}";
        g_free(value);
    }
    reply(conn, 200,
          "{\"Items\":[" + items +
              "],\"HasMore\":" + (has_more ? "true" : "false") +
              ",\"EndOffset\":" + std::to_string(records.size()) + "}");
}

void
StoreStandin::reply_records(uint64_t conn, const std::string &topic,
                            uint64_t from_offset)
{
    if (fault == StoreFault::silent) {
        return;
    }
    const std::vector<Record> &records = topics[topic];
    std::string out =
        encode_big_endian(records.size(), 8) + encode_big_endian(0, 8);
    for (uint64_t i = from_offset; i < records.size(); i++) {
        const Record &record = records[i];
        std::string entry = std::string(1, (char)record.key.size()) +
                            record.key + record.value;
        out += encode_big_endian(entry.size(), 4) + entry;
    }
    reply(conn, 200, out);
}

void
StoreStandin::append(uint64_t conn, const std::string &topic,
                     const std::string &expected_offset,
                     const std::string &body)
{
    std::vector<Record> &records = topics[topic];
    if (topic == "keyed.op" || topic == "keyed.servers") {
        reply(conn, 403, "{}");
        return;
    }
    if (!expected_offset.empty() &&
        strtoull(expected_offset.c_str(), nullptr, 10) != records.size()) {
        reply(conn, 412,
              "{\"EndOffset\":" + std::to_string(records.size()) + "}");
        return;
    }
    uint64_t first_offset = records.size();
    for (size_t i = 0; i + 5 <= body.size();) {
        size_t length = 0;
        for (size_t k = 0; k < 4; k++) {
            length = length << 8 | (unsigned char)body[i + k];
        }
        size_t key_length = (unsigned char)body[i + 4];
        records.push_back(
            {body.substr(i + 5, key_length),
             body.substr(i + 5 + key_length, length - 1 - key_length)});
        i += 4 + length;
    }
    if (fault != StoreFault::lose_response) {
        reply(conn, 200,
              "{\"Offset\":" + std::to_string(first_offset) +
                  ",\"EndOffset\":" + std::to_string(records.size()) + "}");
    }
    complete_waiting_reads(topic);
}

void
StoreStandin::complete_waiting_reads(const std::string &topic)
{
    std::vector<WaitingRead> due;
    for (size_t i = 0; i < waiting_reads.size();) {
        if (waiting_reads[i].topic == topic) {
            due.push_back(waiting_reads[i]);
            waiting_reads.erase(waiting_reads.begin() + (long)i);
        }
        else {
            i++;
        }
    }
    for (const WaitingRead &read : due) {
        scheduler.cancel(read.timer);
        reply_records(read.conn, topic, read.from_offset);
    }
}
