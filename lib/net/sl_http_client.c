/* Calls to other processes over HTTP/1.1, one at a time on a connection. */
#include "sl_net_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

/* Largest head of an answer; upstreams add a handful of headers. */
#define Sl_ANSWER_HEAD_MAX_BYTES ((size_t)32 * 1024)
/* Events that are queued are run within this time. */
#define Sl_EVENT_WAIT_US (10 * Sl_US_PER_MS)
/* Answers of other requests that are skipped before a call is given up. */
#define Sl_MAX_SKIPPED 2
/* Bytes of such answers, and interim answers, before a call is given up: a
 * late second answer may be a whole stream; upstreams send an interim answer
 * or two. */
#define Sl_MAX_SKIPPED_BYTES ((size_t)256 * 1024)
#define Sl_MAX_INTERIM 8

struct sl_client_conn {
    struct sl_http_client *client;
    struct sl_name address;
    struct bufferevent *bev;
    /* The request until the connection is known to be there. A bufferevent
     * writes before it tells of that, and a time-out in between would call a
     * request unsent that was sent. */
    struct evbuffer *unsent;
    struct sl_http_reader reader;
    struct event *timer;              /* of the call, or of the idle time */
    struct sl_http_client_call *call; /* NULL while idle */
    bool connected;
    bool reused;
    bool ended;      /* the answer is whole */
    bool keep_alive; /* the peer keeps it open */
    int64_t idle_limit_us;
};

struct sl_http_client_call {
    uint64_t id;
    struct sl_client_conn *link;
    struct sl_name peer;
    const char *step;
    const char *echo_header;
    struct sl_name echo_value;
    int64_t inactivity_timeout_us;
    struct sl_http_client_handlers handlers;
    bool connect_only;
    bool answered;
    bool skipping; /* this answer belongs to another request */
    unsigned skipped;
    size_t skipped_bytes;
    unsigned interim;
};

struct sl_http_client {
    struct sl_http_client_options options;
    GHashTable *calls; /* id -> struct sl_http_client_call, owned */
    GHashTable *idle;  /* address text -> GQueue of struct sl_client_conn */
    GPtrArray *dead;   /* links freed once no callback of theirs runs */
    struct event *reaper;
    uint64_t last_id;
};

/* ---- links ---- */

static void
free_link(struct sl_client_conn *link)
{
    if (link->bev != NULL) {
        bufferevent_free(link->bev);
    }
    evbuffer_free(link->unsent);
    event_free(link->timer);
    SlHttpReader_Clear(&link->reader);
    g_free(link);
}

static void
on_reap(evutil_socket_t fd, short what, void *context)
{
    struct sl_http_client *client = context;
    (void)fd;
    (void)what;
    for (guint i = 0; i < client->dead->len; i++) {
        free_link(client->dead->pdata[i]);
    }
    g_ptr_array_set_size(client->dead, 0);
}

/* Closes now and frees later: the parser may be in one of its callbacks. */
static void
kill_link(struct sl_client_conn *link)
{
    struct sl_http_client *client = link->client;
    struct timeval now = {0, 0};
    event_del(link->timer);
    bufferevent_free(link->bev);
    link->bev = NULL;
    link->call = NULL;
    if (client->dead->len == 0) {
        event_add(client->reaper, &now);
    }
    g_ptr_array_add(client->dead, link);
}

static GQueue *
idle_queue(struct sl_http_client *client, const struct sl_name *address)
{
    GQueue *queue = g_hash_table_lookup(client->idle, address->text);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(client->idle, g_strdup(address->text), queue);
    }
    return queue;
}

static void
set_timer(struct sl_client_conn *link, int64_t after_us)
{
    struct timeval after = {after_us / Sl_US_PER_S, after_us % Sl_US_PER_S};
    if (after_us > 0) {
        event_add(link->timer, &after);
    }
    else {
        event_del(link->timer);
    }
}

static void
remove_idle(struct sl_client_conn *link)
{
    GQueue *queue =
        g_hash_table_lookup(link->client->idle, link->address.text);
    if (queue != NULL) {
        g_queue_remove(queue, link);
        if (queue->length == 0) {
            g_hash_table_remove(link->client->idle, link->address.text);
        }
    }
}

/* Keeps the link for another call, or closes it. */
static void
release(struct sl_client_conn *link)
{
    struct sl_http_client *client = link->client;
    struct evbuffer *in = bufferevent_get_input(link->bev);
    int64_t limit = client->options.max_idle_us;
    if (link->idle_limit_us > 0 && link->idle_limit_us < limit) {
        limit = link->idle_limit_us;
    }
    link->call = NULL;
    /* Bytes behind an answer belong to no request. */
    if (!link->keep_alive || evbuffer_get_length(in) > 0 || limit <= 0) {
        kill_link(link);
        return;
    }
    GQueue *queue = idle_queue(client, &link->address);
    g_queue_push_head(queue, link);
    set_timer(link, limit);
    if (queue->length > client->options.max_idle_per_address) {
        struct sl_client_conn *oldest = g_queue_peek_tail(queue);
        remove_idle(oldest);
        kill_link(oldest);
    }
}

/* ---- ends of calls ---- */

static void
finish_call(struct sl_http_client_call *call, const struct sl_error *err)
{
    struct sl_client_conn *link = call->link;
    struct sl_http_client *client = link->client;
    struct sl_http_client_result end = {
        .connected = link->connected,
        .answered = call->answered,
        .reused = link->reused,
    };
    struct sl_http_client_handlers handlers = call->handlers;
    uint64_t id = call->id;
    if (err == NULL) {
        release(link);
    }
    else {
        kill_link(link);
    }
    g_hash_table_remove(client->calls, &id);
    handlers.on_done(handlers.context, id, err, &end);
}

static void
fail_call(struct sl_http_client_call *call, enum sl_errno code,
          const char *text)
{
    struct sl_error err;
    SlError_Set(&err, code, call->step, call->peer.text, "%s", text);
    finish_call(call, &err);
}

/* ---- reading ---- */

/* How long the peer keeps an idle connection: "timeout=SECONDS". */
static int64_t
keep_alive_limit_us(const struct sl_head *head)
{
    static const char key[] = "timeout=";
    struct sl_str value = SlHead_FindHeader(head, "keep-alive");
    for (size_t i = 0; i + sizeof(key) - 1 < value.len; i++) {
        if (g_ascii_strncasecmp(value.ptr + i, key, sizeof(key) - 1) == 0) {
            int64_t seconds = 0;
            size_t at = i + sizeof(key) - 1;
            while (at < value.len && g_ascii_isdigit(value.ptr[at]) &&
                   seconds < G_MAXINT32) {
                seconds = seconds * 10 + (value.ptr[at] - '0');
                at++;
            }
            /* Half of it: the peer counts from its own last byte. */
            return seconds * Sl_US_PER_S / 2;
        }
    }
    return 0;
}

static bool
on_head(void *context)
{
    struct sl_client_conn *link = context;
    struct sl_http_client_call *call = link->call;
    struct sl_head head;
    SlHttpReader_GetHead(&link->reader, &head);
    if (head.status < 200) {
        call->skipping = true; /* an interim answer */
        call->interim++;
        return call->interim <= Sl_MAX_INTERIM;
    }
    link->keep_alive = head.keep_alive;
    link->idle_limit_us = keep_alive_limit_us(&head);
    if (call->echo_header != NULL) {
        struct sl_str echoed = SlHead_FindHeader(&head, call->echo_header);
        if (echoed.len > 0 &&
            !SlStr_Equal(echoed, SlName_Str(&call->echo_value))) {
            call->skipping = true;
            call->skipped++;
            return call->skipped <= Sl_MAX_SKIPPED;
        }
    }
    call->answered = true;
    call->handlers.on_head(call->handlers.context, call->id, &head);
    return link->call != NULL; /* the handler may have cancelled */
}

static bool
on_body(void *context, struct sl_str bytes)
{
    struct sl_client_conn *link = context;
    struct sl_http_client_call *call = link->call;
    if (call->skipping) {
        call->skipped_bytes += bytes.len;
        return call->skipped_bytes <= Sl_MAX_SKIPPED_BYTES;
    }
    call->handlers.on_chunk(call->handlers.context, call->id, bytes);
    return link->call != NULL;
}

static void
on_end(void *context)
{
    struct sl_client_conn *link = context;
    link->ended = true;
}

/* Goes on after a whole message; false when the call is over. */
static bool
end_message(struct sl_client_conn *link)
{
    struct sl_http_client_call *call = link->call;
    link->ended = false;
    if (call->skipping) {
        call->skipping = false;
        SlHttpReader_Reset(&link->reader);
        return true;
    }
    /* An answer that came before the request was sent whole: the rest of the
     * body is still due on this connection, which is therefore closed. */
    if (evbuffer_get_length(bufferevent_get_output(link->bev)) > 0) {
        link->keep_alive = false;
    }
    finish_call(call, NULL);
    return false;
}

static void
read_input(struct sl_client_conn *link)
{
    struct evbuffer *in = bufferevent_get_input(link->bev);
    while (link->call != NULL && evbuffer_get_length(in) > 0) {
        struct evbuffer_iovec chunk;
        bool ok = true;
        evbuffer_peek(in, -1, NULL, &chunk, 1);
        size_t taken = SlHttpReader_Feed(&link->reader, chunk.iov_base,
                                         chunk.iov_len, &ok);
        if (link->call == NULL) {
            return; /* cancelled by a handler */
        }
        evbuffer_drain(in, taken);
        if (!ok) {
            fail_call(link->call, Sl_ERR_LOST,
                      "the answer breaks the protocol");
            return;
        }
        if (link->ended && !end_message(link)) {
            return;
        }
    }
}

static void
on_read(struct bufferevent *bev, void *context)
{
    struct sl_client_conn *link = context;
    (void)bev;
    if (link->call == NULL) {
        /* Idle: what comes now belongs to no request. */
        remove_idle(link);
        kill_link(link);
        return;
    }
    set_timer(link, link->call->inactivity_timeout_us);
    read_input(link);
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    struct sl_client_conn *link = context;
    (void)bev;
    if (link->call == NULL) {
        remove_idle(link);
        kill_link(link);
        return;
    }
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        link->connected = true;
        if (link->call->connect_only) {
            link->keep_alive = false;
            finish_call(link->call, NULL);
            return;
        }
        SlSocket_SetOptions(bufferevent_getfd(link->bev));
        bufferevent_write_buffer(link->bev, link->unsent);
        set_timer(link, link->call->inactivity_timeout_us);
        return;
    }
    link->keep_alive = false;
    if ((what & BEV_EVENT_EOF) != 0 &&
        SlHttpReader_EndOfInput(&link->reader) && !end_message(link)) {
        return;
    }
    if (link->call != NULL) {
        fail_call(
            link->call, link->connected ? Sl_ERR_LOST : Sl_ERR_UNREACHABLE,
            link->connected ? "the connection was closed" : "cannot connect");
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct sl_client_conn *link = context;
    (void)fd;
    (void)what;
    if (link->call == NULL) {
        remove_idle(link);
        kill_link(link);
    }
    else if (!link->connected &&
             SlSocket_IsConnected(bufferevent_getfd(link->bev))) {
        /* The connection was made; the event that tells of it waits behind
         * this one. */
        set_timer(link, Sl_EVENT_WAIT_US);
    }
    else if (!link->connected) {
        fail_call(link->call, Sl_ERR_UNREACHABLE, "connecting timed out");
    }
    else {
        fail_call(link->call, Sl_ERR_TIMEOUT, "no bytes within the time-out");
    }
}

/* ---- calls ---- */

static struct sl_client_conn *
take_idle(struct sl_http_client *client, const struct sl_name *address)
{
    GQueue *queue = g_hash_table_lookup(client->idle, address->text);
    if (queue == NULL) {
        return NULL;
    }
    struct sl_client_conn *link = g_queue_peek_head(queue);
    remove_idle(link);
    event_del(link->timer);
    link->reused = true;
    link->ended = false;
    SlHttpReader_Reset(&link->reader);
    return link;
}

static struct sl_client_conn *
open_link(struct sl_http_client *client, const struct sl_name *name)
{
    struct sockaddr_in address;
    struct sockaddr_in local;
    struct sl_http_reader_handlers handlers = {on_head, on_body, on_end, NULL};
    struct sl_client_conn *link = g_new0(struct sl_client_conn, 1);
    link->client = client;
    link->address = *name;
    handlers.context = link;
    SlHttpReader_Init(&link->reader, HTTP_RESPONSE, Sl_ANSWER_HEAD_MAX_BYTES,
                      &handlers);
    link->timer = event_new(client->options.base, -1, 0, on_timer, link);
    link->unsent = evbuffer_new();
    evutil_socket_t fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd >= 0) {
        evutil_make_socket_nonblocking(fd);
        evutil_make_socket_closeonexec(fd);
    }
    if (fd >= 0 && client->options.local_ip.len > 0) {
        char text[Sl_NAME_MAX_BYTES + 1];
        g_snprintf(text, sizeof(text), "%.*s:1",
                   (int)client->options.local_ip.len,
                   client->options.local_ip.ptr);
        if (SlSocket_ParseAddress(SlStr_FromC(text), &local)) {
            local.sin_port = 0;
            (void)bind(fd, (struct sockaddr *)&local, sizeof(local));
        }
    }
    link->bev = bufferevent_socket_new(client->options.base, fd,
                                       BEV_OPT_CLOSE_ON_FREE |
                                           BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
    bufferevent_enable(link->bev, EV_READ | EV_WRITE);
    if (fd < 0 || !SlSocket_ParseAddress(SlName_Str(name), &address) ||
        bufferevent_socket_connect(link->bev, (struct sockaddr *)&address,
                                   sizeof(address)) != 0) {
        bufferevent_trigger_event(link->bev, BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
    }
    return link;
}

static void
write_request(struct sl_client_conn *link,
              const struct sl_http_client_call_options *options)
{
    struct evbuffer *out =
        link->connected ? bufferevent_get_output(link->bev) : link->unsent;
    evbuffer_add(out, options->head.ptr, options->head.len);
    evbuffer_add(out, "\r\n", 2);
    evbuffer_add(out, options->body.ptr, options->body.len);
}

uint64_t
SlHttpClient_Call(struct sl_http_client *client,
                  const struct sl_http_client_call_options *options)
{
    struct sl_http_client_call *call = g_new0(struct sl_http_client_call, 1);
    struct sl_name address;
    struct sl_client_conn *link = NULL;
    if (!SlName_Set(&address, options->address)) {
        address = SlName_Of("");
    }
    call->id = ++client->last_id;
    call->step = options->step;
    call->peer = SlName_Of("");
    if (options->peer != NULL) {
        (void)SlName_Set(&call->peer, SlStr_FromC(options->peer));
    }
    call->echo_header = options->echo_header;
    if (!SlName_Set(&call->echo_value, options->echo_value)) {
        call->echo_header = NULL;
    }
    call->inactivity_timeout_us = options->inactivity_timeout_us;
    call->handlers = options->handlers;
    call->connect_only = options->connect_only;
    g_hash_table_insert(client->calls, &call->id, call);
    if (!options->fresh_connection && !options->connect_only) {
        link = take_idle(client, &address);
    }
    if (link != NULL) {
        set_timer(link, options->inactivity_timeout_us);
    }
    else {
        link = open_link(client, &address);
        set_timer(link, options->connect_timeout_us);
    }
    call->link = link;
    link->call = call;
    if (!options->connect_only) {
        write_request(link, options);
    }
    return call->id;
}

void
SlHttpClient_Cancel(struct sl_http_client *client, uint64_t id)
{
    struct sl_http_client_call *call = g_hash_table_lookup(client->calls, &id);
    if (call != NULL) {
        kill_link(call->link);
        g_hash_table_remove(client->calls, &id);
    }
}

/* ---- public ---- */

static void
free_queue(gpointer data)
{
    g_queue_free(data);
}

struct sl_http_client *
SlHttpClient_New(const struct sl_http_client_options *options)
{
    struct sl_http_client *client = g_new0(struct sl_http_client, 1);
    client->options = *options;
    client->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    client->idle =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_queue);
    client->dead = g_ptr_array_new();
    client->reaper = event_new(options->base, -1, 0, on_reap, client);
    return client;
}

void
SlHttpClient_Free(struct sl_http_client *client)
{
    GHashTableIter iter;
    gpointer value;
    if (client == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, client->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        kill_link(((struct sl_http_client_call *)value)->link);
    }
    g_hash_table_iter_init(&iter, client->idle);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sl_client_conn *link;
        while ((link = g_queue_pop_head(value)) != NULL) {
            kill_link(link);
        }
    }
    on_reap(-1, 0, client);
    event_free(client->reaper);
    g_ptr_array_free(client->dead, TRUE);
    g_hash_table_destroy(client->calls);
    g_hash_table_destroy(client->idle);
    g_free(client);
}
