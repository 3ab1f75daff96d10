/* Connections to other sassafrasd processes: frames of sl_wire over TCP. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

/* Limit of unsent bytes to a peer that does not read. Beyond it messages are
 * dropped; the core closes the connection when it has received nothing from
 * the peer for too long. */
#define Sl_PEER_MAX_UNSENT_BYTES ((size_t)64 * 1024 * 1024)
#define Sl_HOST_MAX_BYTES 64

/* ---- types ---- */

struct sl_peer_transport {
    struct sl_runtime *runtime;
    struct evconnlistener *listener; /* agents only */
    GHashTable *connections; /* id -> struct sl_peer_connection, owned */
    uint64_t last_incoming_id;
    struct sl_buf frame; /* reused for encoding */
};

struct sl_peer_connection {
    struct sl_peer_transport *peers;
    uint64_t id; /* `peer` in events and effects */
    struct bufferevent *bev;
    struct sl_decoder *decoder;
    bool is_outgoing;
    bool is_up;      /* the peer's hello was received */
    bool is_closed;  /* by the core, while `is_reading`; on_read() frees it */
    bool is_reading; /* on_read() is on the stack */
};

/* ---- helpers ---- */

static void
free_connection(gpointer data)
{
    struct sl_peer_connection *connection = data;
    SlDecoder_Free(connection->decoder);
    bufferevent_free(connection->bev);
    g_free(connection);
}

static void
remove_connection(struct sl_peer_connection *connection)
{
    g_hash_table_remove(connection->peers->connections, &connection->id);
}

static void
write_message(struct sl_peer_connection *connection, const struct sl_msg *msg)
{
    struct sl_peer_transport *peers = connection->peers;
    struct sl_error err;
    SlBuf_Clear(&peers->frame);
    if (SlWire_Encode(msg, &peers->frame, &err) != Sl_OK) {
        SlLog_Write(peers->runtime->log, Sl_LOG_ERROR,
                    g_get_real_time() / 1000, 0, &err, "message not sent");
        return;
    }
    bufferevent_write(connection->bev, peers->frame.ptr, peers->frame.len);
    SlCounters_Add(SlCore_Counters(peers->runtime->core), "wire.sent_bytes",
                   peers->frame.len);
}

static void
send_hello(struct sl_peer_connection *connection)
{
    struct sl_runtime *runtime = connection->peers->runtime;
    const struct sl_settings *settings = runtime->settings;
    struct sl_msg msg = {.type = Sl_MSG_HELLO};
    msg.offset = SlConfig_Offset(SlCore_Config(runtime->core));
    msg.proof_age_us = Sl_NEVER_US;
    msg.u.hello.wire_version = Sl_WIRE_VERSION;
    msg.u.hello.vm = settings->vm;
    msg.u.hello.role = SlName_Of(SlRole_Name(settings->role));
    msg.u.hello.domain = settings->domain;
    msg.u.hello.upstream = settings->upstream;
    msg.u.hello.boot = SlCore_Boot(runtime->core);
    write_message(connection, &msg);
}

/* Closes a connection and reports it to the core, if the core knows of it. */
static void
close_connection(struct sl_peer_connection *connection,
                 const struct sl_error *err)
{
    struct sl_runtime *runtime = connection->peers->runtime;
    bool is_known_to_core = connection->is_up || connection->is_outgoing;
    uint64_t id = connection->id;
    remove_connection(connection);
    if (is_known_to_core) {
        struct sl_event event = {.type = Sl_EVENT_PEER_DOWN, .err = err};
        event.u.peer.peer = id;
        SlRuntime_Dispatch(runtime, &event);
    }
}

static void
reject_frame(struct sl_peer_connection *connection, const struct sl_error *err)
{
    struct sl_runtime *runtime = connection->peers->runtime;
    SlCounters_Add(SlCore_Counters(runtime->core), "wire.refused", 1);
    SlLog_Write(runtime->log, Sl_LOG_WARN, g_get_real_time() / 1000, 0, err,
                "connection closed: bad frame");
    close_connection(connection, err);
}

/* Passes a message to the core. Fails if the first message of a connection is
 * not a hello, or a later one is. */
static enum sl_errno
dispatch_message(struct sl_peer_connection *connection,
                 const struct sl_msg *msg, struct sl_error *err)
{
    struct sl_event event = {.type = Sl_EVENT_MESSAGE};
    if (connection->is_up == (msg->type == Sl_MSG_HELLO)) {
        return SlError_Set(err, Sl_ERR_INVALID, "peers.read", NULL,
                           "unexpected message \"%s\"",
                           SlMsg_TypeName(msg->type));
    }
    if (!connection->is_up) {
        connection->is_up = true;
        event.type = Sl_EVENT_PEER_UP;
    }
    event.u.peer.peer = connection->id;
    event.u.peer.msg = msg;
    SlRuntime_Dispatch(connection->peers->runtime, &event);
    return Sl_OK;
}

/* ---- callbacks ---- */

static void
on_read(struct bufferevent *bev, void *context)
{
    struct sl_peer_connection *connection = context;
    struct evbuffer *input = bufferevent_get_input(bev);
    struct sl_error err = {0};
    enum sl_errno code = Sl_OK;
    size_t used_bytes = 1;
    connection->is_reading = true;
    while (code == Sl_OK && used_bytes > 0 && !connection->is_closed) {
        struct sl_msg msg;
        struct sl_str bytes = {(const char *)evbuffer_pullup(input, -1),
                               evbuffer_get_length(input)};
        code = SlDecoder_Next(connection->decoder, bytes, &msg, &used_bytes,
                              &err);
        if (code == Sl_OK && used_bytes > 0) {
            code = dispatch_message(connection, &msg, &err);
            evbuffer_drain(input, used_bytes);
        }
    }
    connection->is_reading = false;
    if (connection->is_closed) {
        remove_connection(connection);
    }
    else if (code != Sl_OK) {
        reject_frame(connection, &err);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    struct sl_peer_connection *connection = context;
    struct sl_error err;
    (void)bev;
    if (what & BEV_EVENT_CONNECTED) {
        send_hello(connection);
        return;
    }
    SlError_Set(&err, Sl_ERR_UNREACHABLE, "peers.connection", NULL,
                "the connection closed");
    close_connection(connection, &err);
}

static struct sl_peer_connection *
new_connection(struct sl_peer_transport *peers, evutil_socket_t fd,
               uint64_t id)
{
    struct sl_peer_connection *connection =
        g_new0(struct sl_peer_connection, 1);
    int enabled = 1;
    connection->peers = peers;
    connection->id = id;
    connection->decoder = SlDecoder_New();
    connection->bev = bufferevent_socket_new(peers->runtime->base, fd,
                                             BEV_OPT_CLOSE_ON_FREE |
                                                 BEV_OPT_DEFER_CALLBACKS);
    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }
    bufferevent_setcb(connection->bev, on_read, NULL, on_event, connection);
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    g_hash_table_insert(peers->connections, &connection->id, connection);
    return connection;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *context)
{
    struct sl_peer_transport *peers = context;
    (void)listener;
    (void)address;
    (void)length;
    /* Odd ids, because the core gives outgoing connections even ones. */
    peers->last_incoming_id += 2;
    send_hello(new_connection(peers, fd, peers->last_incoming_id + 1));
}

/* ---- effects ---- */

static void
set_address(const struct sl_name *address, struct sockaddr_in *out)
{
    char host[Sl_HOST_MAX_BYTES];
    uint16_t port = 0;
    SlRuntime_SplitAddress(address, host, sizeof(host), &port);
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons(port);
    evutil_inet_pton(AF_INET, host, &out->sin_addr);
}

static void
open_connection(struct sl_peer_transport *peers,
                const struct sl_effect *effect)
{
    struct sockaddr_in address;
    struct sl_peer_connection *connection =
        new_connection(peers, -1, effect->u.connect.peer);
    int enabled = 1;
    connection->is_outgoing = true;
    set_address(&effect->u.connect.address, &address);
    /* on_event() reports a failure later, from the event loop. */
    bufferevent_socket_connect(connection->bev, (struct sockaddr *)&address,
                               sizeof(address));
    evutil_socket_t fd = bufferevent_getfd(connection->bev);
    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }
}

static void
send_message(struct sl_peer_transport *peers, const struct sl_effect *effect)
{
    struct sl_peer_connection *connection =
        g_hash_table_lookup(peers->connections, &effect->u.send.peer);
    if (connection == NULL || connection->is_closed) {
        return;
    }
    size_t unsent_bytes =
        evbuffer_get_length(bufferevent_get_output(connection->bev));
    if (unsent_bytes > Sl_PEER_MAX_UNSENT_BYTES) {
        /* Not reported: the core notices when nothing arrives from the peer.
         */
        SlCounters_Add(SlCore_Counters(peers->runtime->core),
                       "wire.unsent_dropped", 1);
        return;
    }
    write_message(connection, effect->u.send.msg);
}

/* Closes a connection for the core, without an event. */
static void
disconnect(struct sl_peer_transport *peers, uint64_t id)
{
    struct sl_peer_connection *connection =
        g_hash_table_lookup(peers->connections, &id);
    if (connection == NULL) {
        return;
    }
    if (connection->is_reading) {
        connection->is_closed = true;
        return;
    }
    remove_connection(connection);
}

/* ---- public ---- */

struct sl_peer_transport *
SlPeerTransport_New(struct sl_runtime *runtime, struct sl_error *err)
{
    struct sl_peer_transport *peers = g_new0(struct sl_peer_transport, 1);
    const struct sl_name *address = &runtime->settings->peer_listen;
    peers->runtime = runtime;
    peers->connections = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, free_connection);
    if (SlName_IsEmpty(address)) {
        return peers;
    }
    struct sockaddr_in bound;
    set_address(address, &bound);
    peers->listener = evconnlistener_new_bind(
        runtime->base, on_accept, peers,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        (struct sockaddr *)&bound, sizeof(bound));
    if (peers->listener == NULL) {
        SlError_Set(err, Sl_ERR_UNREACHABLE, "peers.listen", address->text,
                    "cannot listen on \"peer_listen\" %s", address->text);
        SlPeerTransport_Free(peers);
        return NULL;
    }
    return peers;
}

void
SlPeerTransport_Free(struct sl_peer_transport *peers)
{
    if (peers == NULL) {
        return;
    }
    if (peers->listener != NULL) {
        evconnlistener_free(peers->listener);
    }
    g_hash_table_destroy(peers->connections);
    SlBuf_Free(&peers->frame);
    g_free(peers);
}

void
SlPeerTransport_Perform(struct sl_peer_transport *peers,
                        const struct sl_effect *effect)
{
    switch (effect->type) {
    case Sl_EFFECT_CONNECT:
        open_connection(peers, effect);
        break;
    case Sl_EFFECT_DISCONNECT:
        disconnect(peers, effect->u.peer);
        break;
    case Sl_EFFECT_SEND:
        send_message(peers, effect);
        break;
    default:
        assert(false);
    }
}
