// The platform's metadata store, as a log: newest records, reads that wait,
// and appends with a condition, for topics with keys and one partition.
#include "standins.h"

#include <cstdlib>

extern "C" {
#include <glib.h>
}

// Longest wait that the pages allow a read.
static const int64_t max_wait_ms = 30000;

static std::string
big_endian(uint64_t value, size_t bytes)
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

StoreStandin::StoreStandin(struct event_base *base, Clock &the_clock,
                           const std::string &address)
    : clock(the_clock)
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
    for (const Waiter &waiter : waiters) {
        clock.cancel(waiter.timer);
    }
    SlHttpServer_Free(server);
}

void
StoreStandin::put(const std::string &topic, const std::string &key,
                  const std::string &value)
{
    topics[topic].push_back({key, value});
    wake(topic);
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
    store->serve(conn, path, query, text_of(body));
}

void
StoreStandin::on_disconnect(void *context, uint64_t conn)
{
    StoreStandin *store = static_cast<StoreStandin *>(context);
    for (size_t i = 0; i < store->waiters.size(); i++) {
        if (store->waiters[i].conn == conn) {
            store->clock.cancel(store->waiters[i].timer);
            store->waiters.erase(store->waiters.begin() + (long)i);
            return;
        }
    }
}

void
StoreStandin::reply(uint64_t conn, int status, const std::string &body)
{
    SlHttpServer_Reply(server, conn, status, Sl_STR(""), view_of(body));
}

void
StoreStandin::serve(uint64_t conn, const std::string &path,
                    const std::map<std::string, std::string> &query,
                    const std::string &body)
{
    auto value = [&query](const char *key) {
        auto at = query.find(key);
        return at == query.end() ? std::string() : at->second;
    };
    std::string topic = value("Topic");
    if (path == "/v1/log-newest") {
        answer_newest(conn, topic, value("After"));
    }
    else if (path == "/v1/log-append") {
        append(conn, topic, value("At"), body);
    }
    else if (path == "/v1/log-read") {
        uint64_t from = strtoull(value("From").c_str(), nullptr, 10);
        int64_t wait_ms = strtoll(value("WaitMs").c_str(), nullptr, 10);
        if (from < topics[topic].size() || wait_ms <= 0) {
            answer_read(conn, topic, from);
            return;
        }
        uint64_t timer = clock.after(std::min(wait_ms, max_wait_ms),
                                     [this, conn, topic, from] {
                                         on_disconnect(this, conn);
                                         answer_read(conn, topic, from);
                                     });
        waiters.push_back({conn, topic, from, timer});
    }
    else {
        reply(conn, 404, "{}");
    }
}

void
StoreStandin::answer_newest(uint64_t conn, const std::string &topic,
                            const std::string &after)
{
    const size_t page = 500;
    std::map<std::string, uint64_t> newest;
    const std::vector<Record> &records = topics[topic];
    for (uint64_t i = 0; i < records.size(); i++) {
        newest[records[i].key] = i;
    }
    std::string items;
    size_t count = 0;
    bool more = false;
    for (const auto &entry : newest) {
        const Record &record = records[entry.second];
        if (record.value.empty() || entry.first <= after) {
            continue;
        }
        if (count == page) {
            more = true;
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
              "],\"HasMore\":" + (more ? "true" : "false") +
              ",\"EndOffset\":" + std::to_string(records.size()) + "}");
}

void
StoreStandin::answer_read(uint64_t conn, const std::string &topic,
                          uint64_t from)
{
    if (fault == StoreFault::silent) {
        return;
    }
    const std::vector<Record> &records = topics[topic];
    std::string out = big_endian(records.size(), 8) + big_endian(0, 8);
    for (uint64_t i = from; i < records.size(); i++) {
        const Record &record = records[i];
        std::string raw = std::string(1, (char)record.key.size()) +
                          record.key + record.value;
        out += big_endian(raw.size(), 4) + raw;
    }
    reply(conn, 200, out);
}

void
StoreStandin::append(uint64_t conn, const std::string &topic,
                     const std::string &at, const std::string &body)
{
    std::vector<Record> &records = topics[topic];
    if (topic == "keyed.op" || topic == "keyed.servers") {
        reply(conn, 403, "{}");
        return;
    }
    if (!at.empty() && strtoull(at.c_str(), nullptr, 10) != records.size()) {
        reply(conn, 412,
              "{\"EndOffset\":" + std::to_string(records.size()) + "}");
        return;
    }
    uint64_t first = records.size();
    for (size_t i = 0; i + 5 <= body.size();) {
        size_t length = 0;
        for (size_t k = 0; k < 4; k++) {
            length = length << 8 | (unsigned char)body[i + k];
        }
        size_t key = (unsigned char)body[i + 4];
        records.push_back({body.substr(i + 5, key),
                           body.substr(i + 5 + key, length - 1 - key)});
        i += 4 + length;
    }
    if (fault != StoreFault::lose_answer) {
        reply(conn, 200,
              "{\"Offset\":" + std::to_string(first) +
                  ",\"EndOffset\":" + std::to_string(records.size()) + "}");
    }
    wake(topic);
}

void
StoreStandin::wake(const std::string &topic)
{
    std::vector<Waiter> due;
    for (size_t i = 0; i < waiters.size();) {
        if (waiters[i].topic == topic) {
            due.push_back(waiters[i]);
            waiters.erase(waiters.begin() + (long)i);
        }
        else {
            i++;
        }
    }
    for (const Waiter &waiter : due) {
        clock.cancel(waiter.timer);
        answer_read(waiter.conn, topic, waiter.from);
    }
}
