// A loopback proxy that delays, blocks, refuses and closes connections.
#include "standins.h"

#include <algorithm>
#include <cstdlib>
#include <deque>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

// One direction of a connection, with the data that is not forwarded yet.
struct Direction {
    std::deque<std::pair<int64_t, std::string>>
        segments; // due time in ms, bytes
    bool has_timer = false;
};

struct Proxy::Connection {
    Proxy *proxy;
    struct bufferevent *client_side;
    struct bufferevent *target_side;
    Direction forward;      // from the client to the target
    Direction backward;     // from the target to the client
    bool has_ended = false; // one side has closed the connection
};

static struct sockaddr_storage
parse_address(const std::string &address, int *length)
{
    struct sockaddr_storage out = {};
    *length = sizeof(out);
    if (evutil_parse_sockaddr_port(address.c_str(), (struct sockaddr *)&out,
                                   length) != 0) {
        fprintf(stderr, "proxy: invalid address %s\n", address.c_str());
        exit(1);
    }
    return out;
}

Proxy::Proxy(struct event_base *event_base, Scheduler &the_scheduler,
             const std::string &address, const std::string &the_target)
    : base(event_base), scheduler(the_scheduler), target(the_target)
{
    int length;
    struct sockaddr_storage listen_address = parse_address(address, &length);
    listener = evconnlistener_new_bind(
        base, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&listen_address, length);
    if (listener == nullptr) {
        fprintf(stderr, "proxy: cannot listen on %s\n", address.c_str());
        exit(1);
    }
}

Proxy::~Proxy()
{
    close_connections();
    evconnlistener_free(listener);
}

void
Proxy::close_connection(Connection *connection)
{
    connection->proxy->connections.erase(connection);
    bufferevent_free(connection->client_side);
    bufferevent_free(connection->target_side);
    delete connection;
}

void
Proxy::close_connections()
{
    std::set<Connection *> all = connections;
    for (Connection *connection : all) {
        close_connection(connection);
    }
}

void
Proxy::on_accept(struct evconnlistener *, evutil_socket_t fd,
                 struct sockaddr *, int, void *context)
{
    Proxy *proxy = static_cast<Proxy *>(context);
    if (proxy->fault == LinkFault::refuse) {
        evutil_closesocket(fd);
        return;
    }
    int length;
    struct sockaddr_storage target_address =
        parse_address(proxy->target, &length);
    Connection *connection = new Connection;
    connection->proxy = proxy;
    connection->client_side =
        bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
    connection->target_side =
        bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
    proxy->connections.insert(connection);
    bufferevent_setcb(connection->client_side, on_read, nullptr, on_event,
                      connection);
    bufferevent_setcb(connection->target_side, on_read, nullptr, on_event,
                      connection);
    if (bufferevent_socket_connect(connection->target_side,
                                   (struct sockaddr *)&target_address,
                                   length) != 0) {
        close_connection(connection);
        return;
    }
    bufferevent_enable(connection->client_side, EV_READ | EV_WRITE);
    bufferevent_enable(connection->target_side, EV_READ | EV_WRITE);
}

bool
Proxy::is_blocked(bool is_forward) const
{
    return fault == LinkFault::partition ||
           (fault == LinkFault::partition_forward && is_forward) ||
           (fault == LinkFault::partition_backward && !is_forward);
}

void
Proxy::on_read(struct bufferevent *from, void *context)
{
    Connection *connection = static_cast<Connection *>(context);
    Proxy *proxy = connection->proxy;
    bool is_forward = from == connection->client_side;
    Direction &direction =
        is_forward ? connection->forward : connection->backward;
    struct evbuffer *input = bufferevent_get_input(from);
    size_t length = evbuffer_get_length(input);
    if (proxy->is_blocked(is_forward) || length == 0) {
        return; // a blocked direction leaves its data in the input buffer
    }
    std::string bytes(length, '\0');
    evbuffer_remove(input, &bytes[0], length);
    int64_t due =
        now_ms() + (proxy->fault == LinkFault::delay ? proxy->delay_ms : 0);
    if (!direction.segments.empty()) {
        // Keeps the order of the data when the delay becomes shorter.
        due = std::max(due, direction.segments.back().first);
    }
    direction.segments.emplace_back(due, bytes);
    proxy->send_due(connection, is_forward);
}

// Forwards the data that is due, and sets a timer for the next.
void
Proxy::send_due(Connection *connection, bool is_forward)
{
    Direction &direction =
        is_forward ? connection->forward : connection->backward;
    struct bufferevent *to =
        is_forward ? connection->target_side : connection->client_side;
    while (!direction.segments.empty() &&
           direction.segments.front().first <= now_ms()) {
        const std::string &bytes = direction.segments.front().second;
        bufferevent_write(to, bytes.data(), bytes.size());
        direction.segments.pop_front();
    }
    if (!direction.segments.empty() && !direction.has_timer) {
        direction.has_timer = true;
        scheduler.run_after(direction.segments.front().first - now_ms(),
                            [this, connection, is_forward] {
                                if (connections.count(connection) != 0) {
                                    (is_forward ? connection->forward
                                                : connection->backward)
                                        .has_timer = false;
                                    send_due(connection, is_forward);
                                }
                            });
    }
    if (connection->has_ended) {
        close_when_flushed(connection);
    }
}

// Closes the connection once all forwarded data has been sent. A partition
// also holds back the close.
void
Proxy::close_when_flushed(Connection *connection)
{
    scheduler.run_after(20, [this, connection] {
        if (connections.count(connection) == 0) {
            return;
        }
        bool pending = !connection->forward.segments.empty() ||
                       !connection->backward.segments.empty() ||
                       evbuffer_get_length(bufferevent_get_output(
                           connection->client_side)) > 0;
        if (fault == LinkFault::partition || pending) {
            close_when_flushed(connection);
        }
        else {
            close_connection(connection);
        }
    });
}

void
Proxy::set_fault(LinkFault new_fault, int64_t new_delay_ms)
{
    fault = new_fault;
    delay_ms = new_delay_ms;
    std::set<Connection *> all = connections;
    for (Connection *connection : all) {
        on_read(connection->client_side, connection);
        on_read(connection->target_side, connection);
    }
}

void
Proxy::on_event(struct bufferevent *which, short what, void *context)
{
    Connection *connection = static_cast<Connection *>(context);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 ||
        connection->has_ended) {
        return;
    }
    on_read(which, connection);
    connection->has_ended = true;
    connection->proxy->close_when_flushed(connection);
}
