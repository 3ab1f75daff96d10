// A loopback proxy that delays, cuts, silences and resets connections.
#include "standins.h"

#include <algorithm>
#include <cstdlib>
#include <deque>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

// One direction of a connection: pieces that are on their way.
struct Flow {
    std::deque<std::pair<int64_t, std::string>> pieces; // due, bytes
    bool has_timer = false;
};

struct Proxy::Pair {
    Proxy *proxy;
    struct bufferevent *front; // the one who connected
    struct bufferevent *back;  // the target
    Flow forward;
    Flow backward;
    bool ended = false; // by one end
};

static struct sockaddr_storage
parse_address(const std::string &address, int *length)
{
    struct sockaddr_storage out = {};
    *length = sizeof(out);
    if (evutil_parse_sockaddr_port(address.c_str(), (struct sockaddr *)&out,
                                   length) != 0) {
        fprintf(stderr, "proxy: bad address %s\n", address.c_str());
        exit(1);
    }
    return out;
}

Proxy::Proxy(struct event_base *event_base, Clock &the_clock,
             const std::string &address, const std::string &the_target)
    : base(event_base), clock(the_clock), target(the_target)
{
    int length;
    struct sockaddr_storage at = parse_address(address, &length);
    listener = evconnlistener_new_bind(
        base, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&at, length);
    if (listener == nullptr) {
        fprintf(stderr, "proxy: cannot listen at %s\n", address.c_str());
        exit(1);
    }
}

Proxy::~Proxy()
{
    reset();
    evconnlistener_free(listener);
}

void
Proxy::close_pair(Pair *pair)
{
    pair->proxy->pairs.erase(pair);
    bufferevent_free(pair->front);
    bufferevent_free(pair->back);
    delete pair;
}

void
Proxy::reset()
{
    std::set<Pair *> all = pairs;
    for (Pair *pair : all) {
        close_pair(pair);
    }
}

void
Proxy::on_accept(struct evconnlistener *, evutil_socket_t fd,
                 struct sockaddr *, int, void *context)
{
    Proxy *proxy = static_cast<Proxy *>(context);
    if (proxy->harm == Harm::refuse) {
        evutil_closesocket(fd);
        return;
    }
    int length;
    struct sockaddr_storage at = parse_address(proxy->target, &length);
    Pair *pair = new Pair;
    pair->proxy = proxy;
    pair->front =
        bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
    pair->back =
        bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
    proxy->pairs.insert(pair);
    bufferevent_setcb(pair->front, on_read, nullptr, on_event, pair);
    bufferevent_setcb(pair->back, on_read, nullptr, on_event, pair);
    if (bufferevent_socket_connect(pair->back, (struct sockaddr *)&at,
                                   length) != 0) {
        close_pair(pair);
        return;
    }
    bufferevent_enable(pair->front, EV_READ | EV_WRITE);
    bufferevent_enable(pair->back, EV_READ | EV_WRITE);
}

// Does the direction stand still?
bool
Proxy::is_cut(bool forward) const
{
    return harm == Harm::silence || (harm == Harm::cut_forward && forward) ||
           (harm == Harm::cut_backward && !forward);
}

void
Proxy::on_read(struct bufferevent *from, void *context)
{
    Pair *pair = static_cast<Pair *>(context);
    Proxy *proxy = pair->proxy;
    bool forward = from == pair->front;
    Flow &flow = forward ? pair->forward : pair->backward;
    struct evbuffer *input = bufferevent_get_input(from);
    size_t length = evbuffer_get_length(input);
    if (proxy->is_cut(forward) || length == 0) {
        return; // it stays where it is until the harm is over
    }
    std::string bytes(length, '\0');
    evbuffer_remove(input, &bytes[0], length);
    int64_t due =
        now_ms() + (proxy->harm == Harm::delay ? proxy->delay_ms : 0);
    if (!flow.pieces.empty()) {
        due = std::max(due, flow.pieces.back().first); // in order
    }
    flow.pieces.emplace_back(due, bytes);
    proxy->pass(pair, forward);
}

// Passes on what is due.
void
Proxy::pass(Pair *pair, bool forward)
{
    Flow &flow = forward ? pair->forward : pair->backward;
    struct bufferevent *to = forward ? pair->back : pair->front;
    while (!flow.pieces.empty() && flow.pieces.front().first <= now_ms()) {
        const std::string &bytes = flow.pieces.front().second;
        bufferevent_write(to, bytes.data(), bytes.size());
        flow.pieces.pop_front();
    }
    if (!flow.pieces.empty() && !flow.has_timer) {
        flow.has_timer = true;
        clock.after(flow.pieces.front().first - now_ms(), [this, pair,
                                                           forward] {
            if (pairs.count(pair) != 0) {
                (forward ? pair->forward : pair->backward).has_timer = false;
                pass(pair, forward);
            }
        });
    }
    if (pair->ended) {
        close_later(pair);
    }
}

// What was passed on before the end still arrives.
void
Proxy::close_later(Pair *pair)
{
    clock.after(20, [this, pair] {
        if (pairs.count(pair) == 0) {
            return;
        }
        bool pending =
            !pair->forward.pieces.empty() || !pair->backward.pieces.empty() ||
            evbuffer_get_length(bufferevent_get_output(pair->front)) > 0;
        if (harm == Harm::silence || pending) {
            close_later(pair);
        }
        else {
            close_pair(pair);
        }
    });
}

void
Proxy::set(Harm new_harm, int64_t new_delay_ms)
{
    harm = new_harm;
    delay_ms = new_delay_ms;
    std::set<Pair *> all = pairs;
    for (Pair *pair : all) {
        on_read(pair->front, pair);
        on_read(pair->back, pair);
    }
}

void
Proxy::on_event(struct bufferevent *which, short what, void *context)
{
    Pair *pair = static_cast<Pair *>(context);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || pair->ended) {
        return;
    }
    on_read(which, pair);
    pair->ended = true;
    pair->proxy->close_later(pair);
}
