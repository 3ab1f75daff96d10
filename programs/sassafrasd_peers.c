/* Connections to the system's own processes: frames over TCP. */
#include "sassafrasd_runtime.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

/* Bytes that wait for a peer which does not read; past this its connection
 * is closed. */
#define Sl_MAX_UNSENT_BYTES ((size_t)64 * 1024 * 1024)
#define Sl_HOST_MAX_BYTES 64

/* ---- types ---- */

struct sl_peers {
    struct sl_runtime *shell;
    struct evconnlistener *listener; /* agents only */
    GHashTable *links; /* id -> struct sl_peer_connection, owned */
    uint64_t last_incoming_id;
    struct sl_buf frame; /* reused for encoding */
};

struct sl_peer_connection {
    struct sl_peers *peers;
    uint64_t id;
    struct bufferevent *bev;
    struct sl_decoder *decoder;
    bool outgoing;
    bool up;     /* the peer's hello has come */
    bool closed; /* by the core; freed once its callback is over */
    bool reading;
};

/* ---- helpers ---- */

static void
free_link(gpointer data)
{
    struct sl_peer_connection *link = data;
    SlDecoder_Free(link->decoder);
    bufferevent_free(link->bev);
    g_free(link);
}

static void
remove_link(struct sl_peer_connection *link)
{
    g_hash_table_remove(link->peers->links, &link->id);
}

static void
write_message(struct sl_peer_connection *link, const struct sl_msg *msg)
{
    struct sl_peers *peers = link->peers;
    struct sl_error err;
    SlBuf_Clear(&peers->frame);
    if (SlWire_Encode(msg, &peers->frame, &err) != Sl_OK) {
        SlLog_Write(peers->shell->log, Sl_LOG_ERROR, g_get_real_time() / 1000,
                    0, &err, "message not sent");
        return;
    }
    bufferevent_write(link->bev, peers->frame.ptr, peers->frame.len);
    SlCounters_Add(SlCore_Counters(peers->shell->core), "wire.sent_bytes",
                   peers->frame.len);
}

static void
say_hello(struct sl_peer_connection *link)
{
    struct sl_runtime *shell = link->peers->shell;
    const struct sl_settings *settings = shell->settings;
    struct sl_msg msg = {.type = Sl_MSG_HELLO};
    msg.offset = SlConfig_Offset(SlCore_Config(shell->core));
    msg.proof_age_us = Sl_NEVER_US;
    msg.u.hello.wire_version = Sl_WIRE_VERSION;
    msg.u.hello.vm = settings->vm;
    msg.u.hello.role = SlName_Of(SlRole_Name(settings->role));
    msg.u.hello.domain = settings->domain;
    msg.u.hello.upstream = settings->upstream;
    msg.u.hello.boot = SlCore_Boot(shell->core);
    write_message(link, &msg);
}

/* Ends a link on this side and tells the core. */
static void
end_link(struct sl_peer_connection *link, const struct sl_error *err)
{
    struct sl_runtime *shell = link->peers->shell;
    bool tell = link->up || link->outgoing;
    uint64_t id = link->id;
    remove_link(link);
    if (tell) {
        struct sl_event event = {.type = Sl_EV_PEER_DOWN, .err = err};
        event.u.peer.peer = id;
        SlRuntime_Dispatch(shell, &event);
    }
}

static void
refuse_frame(struct sl_peer_connection *link, const struct sl_error *err)
{
    struct sl_runtime *shell = link->peers->shell;
    SlCounters_Add(SlCore_Counters(shell->core), "wire.refused", 1);
    SlLog_Write(shell->log, Sl_LOG_WARN, g_get_real_time() / 1000, 0, err,
                "connection closed: bad frame");
    end_link(link, err);
}

static enum sl_errno
take_message(struct sl_peer_connection *link, const struct sl_msg *msg,
             struct sl_error *err)
{
    struct sl_event event = {.type = Sl_EV_MESSAGE};
    if (link->up == (msg->type == Sl_MSG_HELLO)) {
        return SlError_Set(err, Sl_ERR_INVALID, "peers.read", NULL,
                           "message \"%s\" out of order",
                           SlMsg_TypeName(msg->type));
    }
    if (!link->up) {
        link->up = true;
        event.type = Sl_EV_PEER_UP;
    }
    event.u.peer.peer = link->id;
    event.u.peer.msg = msg;
    SlRuntime_Dispatch(link->peers->shell, &event);
    return Sl_OK;
}

/* ---- callbacks ---- */

static void
on_read(struct bufferevent *bev, void *context)
{
    struct sl_peer_connection *link = context;
    struct evbuffer *input = bufferevent_get_input(bev);
    struct sl_error err = {0};
    enum sl_errno code = Sl_OK;
    size_t used = 1;
    link->reading = true;
    while (code == Sl_OK && used > 0 && !link->closed) {
        struct sl_msg msg;
        struct sl_str bytes = {(const char *)evbuffer_pullup(input, -1),
                               evbuffer_get_length(input)};
        code = SlDecoder_Next(link->decoder, bytes, &msg, &used, &err);
        if (code == Sl_OK && used > 0) {
            code = take_message(link, &msg, &err);
            evbuffer_drain(input, used);
        }
    }
    link->reading = false;
    if (link->closed) {
        remove_link(link);
    }
    else if (code != Sl_OK) {
        refuse_frame(link, &err);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    struct sl_peer_connection *link = context;
    struct sl_error err;
    (void)bev;
    if (what & BEV_EVENT_CONNECTED) {
        say_hello(link);
        return;
    }
    SlError_Set(&err, Sl_ERR_UNREACHABLE, "peers.connection", NULL,
                "the connection closed");
    end_link(link, &err);
}

static struct sl_peer_connection *
new_link(struct sl_peers *peers, evutil_socket_t fd, uint64_t id)
{
    struct sl_peer_connection *link = g_new0(struct sl_peer_connection, 1);
    int on = 1;
    link->peers = peers;
    link->id = id;
    link->decoder = SlDecoder_New();
    link->bev = bufferevent_socket_new(peers->shell->base, fd,
                                       BEV_OPT_CLOSE_ON_FREE |
                                           BEV_OPT_DEFER_CALLBACKS);
    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
    bufferevent_enable(link->bev, EV_READ | EV_WRITE);
    g_hash_table_insert(peers->links, &link->id, link);
    return link;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *context)
{
    struct sl_peers *peers = context;
    (void)listener;
    (void)address;
    (void)length;
    /* Odd numbers; the core numbers outgoing connections evenly. */
    peers->last_incoming_id += 2;
    say_hello(new_link(peers, fd, peers->last_incoming_id + 1));
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
connect_link(struct sl_peers *peers, const struct sl_effect *effect)
{
    struct sockaddr_in address;
    struct sl_peer_connection *link =
        new_link(peers, -1, effect->u.connect.peer);
    int on = 1;
    link->outgoing = true;
    set_address(&effect->u.connect.address, &address);
    /* A failure is told by on_event(), from the loop. */
    bufferevent_socket_connect(link->bev, (struct sockaddr *)&address,
                               sizeof(address));
    evutil_socket_t fd = bufferevent_getfd(link->bev);
    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
}

static void
send_message(struct sl_peers *peers, const struct sl_effect *effect)
{
    struct sl_peer_connection *link =
        g_hash_table_lookup(peers->links, &effect->u.send.peer);
    if (link == NULL || link->closed) {
        return;
    }
    size_t unsent = evbuffer_get_length(bufferevent_get_output(link->bev));
    if (unsent > Sl_MAX_UNSENT_BYTES) {
        /* The core hears of it once the peer's silence is noticed. */
        SlCounters_Add(SlCore_Counters(peers->shell->core),
                       "wire.unsent_dropped", 1);
        return;
    }
    write_message(link, effect->u.send.msg);
}

static void
disconnect_link(struct sl_peers *peers, uint64_t id)
{
    struct sl_peer_connection *link = g_hash_table_lookup(peers->links, &id);
    if (link == NULL) {
        return;
    }
    if (link->reading) {
        link->closed = true;
        return;
    }
    remove_link(link);
}

/* ---- public ---- */

struct sl_peers *
SlPeers_New(struct sl_runtime *shell, struct sl_error *err)
{
    struct sl_peers *peers = g_new0(struct sl_peers, 1);
    const struct sl_name *address = &shell->settings->peer_listen;
    peers->shell = shell;
    peers->links =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_link);
    if (SlName_IsEmpty(address)) {
        return peers;
    }
    struct sockaddr_in bound;
    set_address(address, &bound);
    peers->listener = evconnlistener_new_bind(
        shell->base, on_accept, peers,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        (struct sockaddr *)&bound, sizeof(bound));
    if (peers->listener == NULL) {
        SlError_Set(err, Sl_ERR_UNREACHABLE, "peers.listen", address->text,
                    "cannot listen on \"peer_listen\" %s", address->text);
        SlPeers_Free(peers);
        return NULL;
    }
    return peers;
}

void
SlPeers_Free(struct sl_peers *peers)
{
    if (peers == NULL) {
        return;
    }
    if (peers->listener != NULL) {
        evconnlistener_free(peers->listener);
    }
    g_hash_table_destroy(peers->links);
    SlBuf_Free(&peers->frame);
    g_free(peers);
}

void
SlPeers_Perform(struct sl_peers *peers, const struct sl_effect *effect)
{
    switch (effect->type) {
    case Sl_FX_CONNECT:
        connect_link(peers, effect);
        break;
    case Sl_FX_DISCONNECT:
        disconnect_link(peers, effect->u.peer);
        break;
    case Sl_FX_SEND:
        send_message(peers, effect);
        break;
    default:
        assert(false);
    }
}
