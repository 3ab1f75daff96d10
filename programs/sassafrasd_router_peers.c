/* Communication between routers ("peers"). UDP datagrams carry digests (the
 * sender's current state) and peer lists (addresses of routers). HTTP carries
 * pages of the store's records, which a router reads from a peer ("pulls")
 * when the store does not serve it. UDP and HTTP use the same port number. */
#include "sassafrasd_router_internal.h"

#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Peers are on nearby VMs: connecting to one takes milliseconds. */
#define Sl_PULL_CONNECT_TIMEOUT_US (400 * Sl_US_PER_MS)
/* Longest time without a byte of the response. */
#define Sl_PULL_IDLE_TIMEOUT_US Sl_US_PER_S
/* Requests are "GET /records/FEED/FROM": topic and first offset. */
static const char records_path[] = "/records/";

/* A pull is a request without a body; its response is one page. */
static const struct sl_http_server_limits peer_limits = {
    .max_header_bytes = 4096,
    .max_body_bytes = 0,
    .header_timeout_us = 3 * Sl_US_PER_S,
    .idle_timeout_us = 10 * Sl_US_PER_S,
    .max_connections = 128,
    .max_unsent_bytes = Sl_PAGE_MAX_BYTES,
};

struct sl_router_peer_transport {
    struct sl_router_runtime *runtime;
    int fd; /* socket for datagrams */
    struct event *datagram_event;
    struct sl_http_server *server;
    GHashTable *pulls; /* set of struct sl_pull, owned */
};

/* A request for a peer's records that is in progress. */
struct sl_pull {
    struct sl_router_peer_transport *peers;
    enum sl_feed feed;
    uint64_t handle; /* the HTTP client's, to cancel the request */
    int status;      /* of the response */
    struct sl_buf body;
};

/* ---- datagrams ---- */

/* Passes the datagram to the reducer if it is a peer list. Returns false if it
 * is not. */
static bool
dispatch_peer_list(struct sl_router_peer_transport *peers, struct sl_str bytes)
{
    struct sl_member members[Sl_PEER_LIST_MAX];
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_PEER_LIST};
    if (!SlPeerList_Decode(bytes, members, &event.u.peer_list.count)) {
        return false;
    }
    event.u.peer_list.members = members;
    SlRouterRuntime_Dispatch(peers->runtime, &event);
    return true;
}

static void
on_datagram(evutil_socket_t fd, short what, void *context)
{
    struct sl_router_peer_transport *peers = context;
    char bytes[Sl_GOSSIP_MAX_BYTES];
    struct sl_error err;
    ssize_t len;
    (void)what;
    while ((len = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        struct sl_gossip_digest digest;
        struct sl_router_event event = {.type = Sl_ROUTER_EVENT_DIGEST};
        if (dispatch_peer_list(peers, (struct sl_str){bytes, (size_t)len})) {
            continue;
        }
        if (SlGossip_Decode((struct sl_str){bytes, (size_t)len}, &digest,
                            &err) != Sl_OK) {
            SlRouterRuntime_Log(peers->runtime, Sl_LOG_WARN,
                                Sl_STR("\"event\":\"digest_unreadable\""));
            continue;
        }
        event.u.digest = &digest;
        SlRouterRuntime_Dispatch(peers->runtime, &event);
    }
}

static void
send_datagram(struct sl_router_peer_transport *peers, const struct sl_name *to,
              struct sl_str bytes)
{
    struct sockaddr_in address;
    int len = sizeof(address);
    if (evutil_parse_sockaddr_port(to->text, (struct sockaddr *)&address,
                                   &len) == 0) {
        /* Errors are ignored: the next datagram makes up for a lost one. */
        (void)sendto(peers->fd, bytes.ptr, bytes.len, 0,
                     (struct sockaddr *)&address, (socklen_t)len);
    }
}

static void
send_digest(struct sl_router_peer_transport *peers,
            const struct sl_router_effect *effect)
{
    struct sl_buf bytes = {0};
    SlGossip_Encode(effect->u.send_digest.digest, &bytes);
    for (size_t i = 0; i < effect->u.send_digest.count; i++) {
        send_datagram(peers, effect->u.send_digest.addresses[i],
                      SlBuf_Str(&bytes));
    }
    SlBuf_Free(&bytes);
}

/* Sends as many datagrams as the list needs. */
static void
send_peer_list(struct sl_router_peer_transport *peers,
               const struct sl_router_effect *effect)
{
    const struct sl_member *members = effect->u.peer_list.members;
    size_t remaining = effect->u.peer_list.count;
    struct sl_buf bytes = {0};
    while (remaining > 0) {
        size_t encoded = SlPeerList_Encode(members, remaining, &bytes);
        send_datagram(peers, effect->u.peer_list.address, SlBuf_Str(&bytes));
        SlBuf_Clear(&bytes);
        members += encoded;
        remaining -= encoded;
    }
    SlBuf_Free(&bytes);
}

/* ---- pulls from peers ---- */

static void
free_pull(gpointer data)
{
    struct sl_pull *pull = data;
    SlBuf_Free(&pull->body);
    g_free(pull);
}

static void on_pull_done(void *context, uint64_t handle,
                         const struct sl_error *failure,
                         const struct sl_http_client_result *result);

static void
on_pull_head(void *context, uint64_t handle, const struct sl_head *head)
{
    struct sl_pull *pull = context;
    (void)handle;
    pull->status = head->status;
}

/* Collects the body; ends the pull if the page is too large. */
static void
on_pull_chunk(void *context, uint64_t handle, struct sl_str bytes)
{
    static const struct sl_http_client_result result = {.connected = true};
    struct sl_pull *pull = context;
    struct sl_error err;
    if (pull->body.len + bytes.len <= Sl_PAGE_MAX_BYTES) {
        SlBuf_Append(&pull->body, bytes);
        return;
    }
    SlHttpClient_Cancel(pull->peers->runtime->client, handle);
    (void)SlError_Set(&err, Sl_ERR_INVALID, "peer.pull", "",
                      "the page is too large");
    on_pull_done(pull, handle, &err, &result);
}

/* Decodes a page's records, which have the same form as in the store, and
 * passes them to the reducer. */
static void
dispatch_page(struct sl_pull *pull, const struct sl_page *page,
              struct sl_router_event *event)
{
    struct sl_record *records = g_new0(struct sl_record, page->count + 1);
    for (size_t i = 0; i < page->count; i++) {
        SlPlatform_DecodeRecord(pull->feed, page->records[i].offset,
                                page->records[i].key, page->records[i].value,
                                &records[i]);
    }
    event->u.feed.next_offset = page->next_offset;
    event->u.feed.count = page->count;
    event->u.feed.records = records;
    event->u.feed.is_snapshot = page->is_snapshot;
    event->u.feed.complete_from = page->complete_from;
    SlRouterRuntime_Dispatch(pull->peers->runtime, event);
    for (size_t i = 0; i < page->count; i++) {
        SlPlatform_ClearRecord(&records[i]);
    }
    g_free(records);
}

/* Passes the page or the error to the reducer and frees the pull. */
static void
on_pull_done(void *context, uint64_t handle, const struct sl_error *failure,
             const struct sl_http_client_result *result)
{
    struct sl_pull *pull = context;
    struct sl_router_peer_transport *peers = pull->peers;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_PULLED,
                                    .err = failure};
    struct sl_page page = {0};
    struct sl_page_reader *page_reader = NULL;
    struct sl_error err;
    (void)handle;
    (void)result;
    event.u.feed.feed = pull->feed;
    if (failure == NULL && pull->status != 200) {
        (void)SlError_Set(&err, Sl_ERR_REFUSED, "peer.pull", "", "status %d",
                          pull->status);
        event.err = &err;
    }
    else if (failure == NULL) {
        page_reader = SlPage_Decode(SlBuf_Str(&pull->body), &page, &err);
        event.err = page_reader == NULL ? &err : NULL;
    }
    if (page_reader != NULL) {
        dispatch_page(pull, &page, &event);
        SlPage_Free(page_reader);
    }
    else {
        SlRouterRuntime_Dispatch(peers->runtime, &event);
    }
    g_hash_table_remove(peers->pulls, pull);
}

static void
start_pull(struct sl_router_peer_transport *peers,
           const struct sl_router_effect *effect)
{
    struct sl_pull *pull = g_new0(struct sl_pull, 1);
    struct sl_buf head = {0};
    pull->peers = peers;
    pull->feed = effect->u.pull.feed;
    SlBuf_Printf(&head,
                 "GET %s%s/%" G_GUINT64_FORMAT " HTTP/1.1\r\nHost: %s\r\n",
                 records_path, SlFeed_Name(pull->feed),
                 (guint64)effect->u.pull.from, effect->u.pull.address->text);
    struct sl_http_client_call_options options = {
        .address = SlName_Str(effect->u.pull.address),
        .peer = effect->u.pull.address->text,
        .step = "peer.pull",
        .head = SlBuf_Str(&head),
        .connect_timeout_us = Sl_PULL_CONNECT_TIMEOUT_US,
        .inactivity_timeout_us = Sl_PULL_IDLE_TIMEOUT_US,
        .handlers = {on_pull_head, on_pull_chunk, on_pull_done, pull},
    };
    g_hash_table_add(peers->pulls, pull);
    pull->handle = SlHttpClient_Call(peers->runtime->client, &options);
    SlBuf_Free(&head);
}

/* ---- pulls by peers ---- */

/* Parses "/records/FEED/FROM". Returns false if the path is another one or the
 * topic is unknown; FROM counts as 0 if it is no number. */
static bool
parse_pull_target(struct sl_str target, enum sl_feed *feed, uint64_t *from)
{
    struct sl_str prefix = Sl_STR(records_path);
    char text[Sl_NAME_MAX_BYTES + 1];
    if (!SlStr_StartsWith(target, prefix) ||
        target.len - prefix.len > Sl_NAME_MAX_BYTES) {
        return false;
    }
    g_strlcpy(text, target.ptr + prefix.len, target.len - prefix.len + 1);
    char *slash = strchr(text, '/');
    if (slash == NULL) {
        return false;
    }
    *slash = '\0';
    *from = g_ascii_strtoull(slash + 1, NULL, 10);
    for (int i = 0; i < Sl_FEED_COUNT; i++) {
        if (strcmp(text, SlFeed_Name((enum sl_feed)i)) == 0) {
            *feed = (enum sl_feed)i;
            return true;
        }
    }
    return false;
}

static void
on_pull_request(void *context, uint64_t conn, const struct sl_head *head,
                struct sl_str body)
{
    struct sl_router_peer_transport *peers = context;
    struct sl_router_event event = {.type = Sl_ROUTER_EVENT_PULL};
    (void)body;
    if (!parse_pull_target(head->target, &event.u.pull.feed,
                           &event.u.pull.from)) {
        SlHttpServer_Reply(peers->server, conn, 404, Sl_STR(""), Sl_STR(""));
        return;
    }
    event.u.pull.conn = conn;
    SlRouterRuntime_Dispatch(peers->runtime, &event);
}

static void
on_peer_disconnected(void *context, uint64_t conn)
{
    (void)context; /* SlHttpServer_Reply() ignores unknown connections */
    (void)conn;
}

static void
send_page(struct sl_router_peer_transport *peers,
          const struct sl_router_effect *effect)
{
    struct sl_buf body = {0};
    SlPage_Encode(&effect->u.page.page, &body);
    SlHttpServer_Reply(peers->server, effect->u.page.conn, 200,
                       Sl_STR("Content-Type: application/msgpack\r\n"),
                       SlBuf_Str(&body));
    SlBuf_Free(&body);
}

/* ---- public ---- */

struct sl_name
SlRouterPeerTransport_Address(const struct sl_router_runtime *runtime)
{
    struct sl_name address;
    int len =
        g_snprintf(address.text, sizeof(address.text), "%s:%d",
                   runtime->settings.ip.text, runtime->settings.first_port);
    address.len = (uint8_t)MIN(len, Sl_NAME_MAX_BYTES);
    return address;
}

static bool
open_datagram_socket(struct sl_router_peer_transport *peers,
                     struct sl_error *err)
{
    struct sl_name name = SlRouterPeerTransport_Address(peers->runtime);
    struct sockaddr_in address;
    int len = sizeof(address);
    peers->fd = socket(AF_INET, SOCK_DGRAM, 0);
    if (peers->fd < 0 || evutil_make_socket_nonblocking(peers->fd) != 0 ||
        evutil_parse_sockaddr_port(name.text, (struct sockaddr *)&address,
                                   &len) != 0 ||
        bind(peers->fd, (struct sockaddr *)&address, (socklen_t)len) != 0) {
        (void)SlError_Set(err, Sl_ERR_INVALID, "peers.listen", name.text,
                          "cannot bind: %s", g_strerror(errno));
        return false;
    }
    peers->datagram_event =
        event_new(peers->runtime->base, peers->fd, EV_READ | EV_PERSIST,
                  on_datagram, peers);
    event_add(peers->datagram_event, NULL);
    return true;
}

struct sl_router_peer_transport *
SlRouterPeerTransport_New(struct sl_router_runtime *runtime,
                          struct sl_error *err)
{
    struct sl_router_peer_transport *peers =
        g_new0(struct sl_router_peer_transport, 1);
    struct sl_http_server_options options = {
        .base = runtime->base,
        .address = SlRouterPeerTransport_Address(runtime),
        .handlers = {on_pull_request, on_peer_disconnected, peers},
        .limits = peer_limits,
    };
    peers->runtime = runtime;
    peers->fd = -1;
    peers->pulls = g_hash_table_new_full(NULL, NULL, free_pull, NULL);
    if (open_datagram_socket(peers, err)) {
        peers->server = SlHttpServer_New(&options, err);
    }
    if (peers->server == NULL) {
        SlRouterPeerTransport_Free(peers);
        return NULL;
    }
    return peers;
}

void
SlRouterPeerTransport_Free(struct sl_router_peer_transport *peers)
{
    GHashTableIter iter;
    gpointer key;
    if (peers == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, peers->pulls);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        SlHttpClient_Cancel(peers->runtime->client,
                            ((const struct sl_pull *)key)->handle);
    }
    g_hash_table_destroy(peers->pulls);
    SlHttpServer_Free(peers->server);
    if (peers->datagram_event != NULL) {
        event_free(peers->datagram_event);
    }
    if (peers->fd >= 0) {
        close(peers->fd);
    }
    g_free(peers);
}

void
SlRouterPeerTransport_Perform(struct sl_router_peer_transport *peers,
                              const struct sl_router_effect *effect)
{
    switch (effect->type) {
    case Sl_ROUTER_EFFECT_SEND_DIGEST:
        send_digest(peers, effect);
        break;
    case Sl_ROUTER_EFFECT_SEND_PEER_LIST:
        send_peer_list(peers, effect);
        break;
    case Sl_ROUTER_EFFECT_PULL:
        start_pull(peers, effect);
        break;
    case Sl_ROUTER_EFFECT_SEND_PAGE:
        send_page(peers, effect);
        break;
    default:
        g_assert_not_reached();
    }
}
