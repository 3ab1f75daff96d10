/* The platform's metadata store: topics of records with keys. */
#include "standins.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define Sl_MAX_TOPICS 16
#define Sl_MAX_RECORDS 20000
#define Sl_IDLE_MS 60000

struct sl_store_record {
    char *key;
    char *value;
    size_t value_len;
};

struct sl_topic {
    char name[64];
    size_t count;
    struct sl_store_record *records;
    int waiting;      /* reads that wait for a record */
    int silence_runs; /* counts SlStore_SilenceReads() */
};

struct sl_store {
    int fd;
    int port;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    size_t topic_count;
    struct sl_topic topics[Sl_MAX_TOPICS];
};

struct sl_store_conn {
    struct sl_store *store;
    int fd;
};

static struct sl_topic *
topic_of(struct sl_store *store, const char *name)
{
    for (size_t i = 0; i < store->topic_count; i++) {
        if (strcmp(store->topics[i].name, name) == 0) {
            return &store->topics[i];
        }
    }
    struct sl_topic *topic = &store->topics[store->topic_count++];
    snprintf(topic->name, sizeof(topic->name), "%s", name);
    topic->records = calloc(Sl_MAX_RECORDS, sizeof(topic->records[0]));
    return topic;
}

static void
append(struct sl_topic *topic, const char *key, size_t key_len,
       const char *value, size_t value_len)
{
    struct sl_store_record *record = &topic->records[topic->count++];
    record->key = strndup(key, key_len);
    record->value = malloc(value_len + 1);
    memcpy(record->value, value, value_len);
    record->value_len = value_len;
}

void
SlStore_Put(struct sl_store *store, const char *topic, const char *key,
            const char *value)
{
    pthread_mutex_lock(&store->lock);
    append(topic_of(store, topic), key, strlen(key), value, strlen(value));
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
}

int
SlStore_SilenceReads(struct sl_store *store, const char *topic)
{
    pthread_mutex_lock(&store->lock);
    struct sl_topic *silenced = topic_of(store, topic);
    int count = silenced->waiting;
    silenced->silence_runs++;
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
    return count;
}

int
SlStore_WaitingReads(struct sl_store *store, const char *topic)
{
    pthread_mutex_lock(&store->lock);
    int count = topic_of(store, topic)->waiting;
    pthread_mutex_unlock(&store->lock);
    return count;
}

int
SlStore_Port(const struct sl_store *store)
{
    return store->port;
}

/* ---- answers ---- */

static void
reply(int fd, int status, const struct sl_text *body)
{
    struct sl_text out = {0};
    SlText_Printf(&out, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n", status,
                  body->len);
    SlText_Add(&out, body->ptr, body->len);
    (void)SlSocket_Write(fd, out.ptr, out.len);
    SlText_Free(&out);
}

/* Copies the value of a query parameter. */
static void
get_parameter(const char *target, const char *name, char *value, size_t size)
{
    char pattern[32];
    snprintf(pattern, sizeof(pattern), "%s=", name);
    const char *at = strchr(target, '?');
    value[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, pattern, strlen(pattern)) == 0) {
            at += strlen(pattern);
            snprintf(value, size, "%.*s", (int)strcspn(at, "& "), at);
            return;
        }
        at = strchr(at, '&');
    }
}

static void
add_base64(struct sl_text *out, const char *bytes, size_t len)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    for (size_t i = 0; i < len; i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; k++) {
            group =
                group << 8 | (i + k < len ? (unsigned char)bytes[i + k] : 0);
        }
        char quad[4] = {digits[group >> 18], digits[group >> 12 & 63],
                        i + 1 < len ? digits[group >> 6 & 63] : '=',
                        i + 2 < len ? digits[group & 63] : '='};
        SlText_Add(out, quad, sizeof(quad));
    }
}

static bool
is_newest(const struct sl_topic *topic, size_t index)
{
    for (size_t i = index + 1; i < topic->count; i++) {
        if (strcmp(topic->records[i].key, topic->records[index].key) == 0) {
            return false;
        }
    }
    return true;
}

static void
add_newest(const struct sl_topic *topic, struct sl_text *out)
{
    const char *separator = "";
    SlText_Printf(out, "{\"Items\":[");
    for (size_t i = 0; i < topic->count; i++) {
        const struct sl_store_record *record = &topic->records[i];
        if (record->value_len == 0 || !is_newest(topic, i)) {
            continue;
        }
        SlText_Printf(out, "%s{\"Key\":\"%s\",\"Value\":\"", separator,
                      record->key);
        add_base64(out, record->value, record->value_len);
        SlText_Printf(out, "\",\"Offset\":%zu}", i);
        separator = ",";
    }
    SlText_Printf(out, "],\"HasMore\":false,\"EndOffset\":%zu}", topic->count);
}

static void
add_big_endian(struct sl_text *out, uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        char byte = (char)(value >> (8 * i));
        SlText_Add(out, &byte, 1);
    }
}

static void
add_records(const struct sl_topic *topic, size_t from, struct sl_text *out)
{
    add_big_endian(out, topic->count, 8);
    add_big_endian(out, 0, 8);
    for (size_t i = from; i < topic->count; i++) {
        const struct sl_store_record *record = &topic->records[i];
        size_t key_len = strlen(record->key);
        char len = (char)key_len;
        add_big_endian(out, 1 + key_len + record->value_len, 4);
        SlText_Add(out, &len, 1);
        SlText_Add(out, record->key, key_len);
        SlText_Add(out, record->value, record->value_len);
    }
}

/* Waits until the topic has a record at `from`, or the time is over. Returns
 * false if the channel went silent meanwhile. */
static bool
wait_for_record(struct sl_store *store, struct sl_topic *topic, size_t from,
                int64_t wait_ms)
{
    int64_t end_ms = SlCase_NowMs() + wait_ms;
    int silence_runs = topic->silence_runs;
    topic->waiting++;
    while (topic->count <= from && topic->silence_runs == silence_runs &&
           SlCase_NowMs() < end_ms) {
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 20000000;
        if (until.tv_nsec >= 1000000000) {
            until.tv_sec++;
            until.tv_nsec -= 1000000000;
        }
        pthread_cond_timedwait(&store->changed, &store->lock, &until);
    }
    topic->waiting--;
    return topic->silence_runs == silence_runs;
}

static int
append_all(struct sl_topic *topic, const struct sl_message *request,
           const char *at, struct sl_text *out)
{
    size_t first = topic->count;
    if (strcmp(topic->name, "keyed.op") == 0 ||
        strcmp(topic->name, "keyed.servers") == 0) {
        return 403;
    }
    if (at[0] != '\0' && strtoul(at, NULL, 10) != topic->count) {
        SlText_Printf(out, "{\"EndOffset\":%zu}", topic->count);
        return 412;
    }
    const unsigned char *bytes = (const unsigned char *)request->body.ptr;
    for (size_t i = 0; i + 5 <= request->body.len;) {
        size_t len = (size_t)bytes[i] << 24 | (size_t)bytes[i + 1] << 16 |
                     (size_t)bytes[i + 2] << 8 | bytes[i + 3];
        size_t key_len = bytes[i + 4];
        append(topic, request->body.ptr + i + 5, key_len,
               request->body.ptr + i + 5 + key_len, len - 1 - key_len);
        i += 4 + len;
    }
    SlText_Printf(out, "{\"Offset\":%zu,\"EndOffset\":%zu}", first,
                  topic->count);
    return 200;
}

/* Answers a call. Returns false if the channel goes silent. */
static bool
handle(struct sl_store *store, int fd, const struct sl_message *request)
{
    char target[512] = "";
    char name[64];
    char value[64];
    struct sl_text out = {0};
    int status = 200;
    bool is_answered = true;
    sscanf(request->head.ptr, "%*s %511s", target);
    get_parameter(target, "Topic", name, sizeof(name));
    pthread_mutex_lock(&store->lock);
    struct sl_topic *topic = topic_of(store, name);
    if (strncmp(target, "/v1/log-newest", 14) == 0) {
        add_newest(topic, &out);
    }
    else if (strncmp(target, "/v1/log-read", 12) == 0) {
        get_parameter(target, "WaitMs", value, sizeof(value));
        int64_t wait_ms = strtoll(value, NULL, 10);
        get_parameter(target, "From", value, sizeof(value));
        size_t from = strtoul(value, NULL, 10);
        is_answered = wait_for_record(store, topic, from, wait_ms);
        add_records(topic, from, &out);
    }
    else if (strncmp(target, "/v1/log-append", 14) == 0) {
        get_parameter(target, "At", value, sizeof(value));
        status = append_all(topic, request, value, &out);
        pthread_cond_broadcast(&store->changed);
    }
    else {
        status = 404;
    }
    pthread_mutex_unlock(&store->lock);
    if (is_answered) {
        reply(fd, status, &out);
    }
    SlText_Free(&out);
    return is_answered;
}

static void *
serve_conn(void *argument)
{
    struct sl_store_conn *conn = argument;
    struct sl_message message = {0};
    bool is_silent = false;
    while (SlMessage_Read(conn->fd, false, SlCase_NowMs() + Sl_IDLE_MS,
                          &message)) {
        /* Whatever arrives on a silent channel is read and lost. */
        is_silent = is_silent || !handle(conn->store, conn->fd, &message);
        SlMessage_Reset(&message);
    }
    SlMessage_Free(&message);
    close(conn->fd);
    free(conn);
    return NULL;
}

static void *
accept_conns(void *argument)
{
    struct sl_store *store = argument;
    int fd;
    while ((fd = accept(store->fd, NULL, NULL)) >= 0) {
        pthread_t thread;
        struct sl_store_conn *conn = calloc(1, sizeof(*conn));
        conn->store = store;
        conn->fd = fd;
        SlThread_Start(&thread, serve_conn, conn);
        pthread_detach(thread);
    }
    return NULL;
}

struct sl_store *
SlStore_Start(const char *ip)
{
    pthread_t thread;
    struct sl_store *store = calloc(1, sizeof(*store));
    store->fd = SlSocket_Listen(ip, &store->port);
    if (store->fd < 0) {
        free(store);
        return NULL;
    }
    pthread_mutex_init(&store->lock, NULL);
    pthread_cond_init(&store->changed, NULL);
    SlThread_Start(&thread, accept_conns, store);
    pthread_detach(thread);
    return store;
}
