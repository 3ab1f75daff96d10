// A sender that floods its peer: it writes until its connection is closed. And
// limits on what the peer may accept and buffer.
#ifndef SL_FLOOD_H
#define SL_FLOOD_H

#include <gtest/gtest.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <functional>
#include <string>

// Bytes that a sender may write before its peer must have closed the
// connection: room for the peer's own limit and the socket buffers of both
// ends.
inline constexpr size_t max_flood_bytes = 24 * 1024 * 1024;
// Bytes by which the resident size of the process may grow during a flood.
// ASan delays the reuse of freed memory, and so needs more.
#ifdef __SANITIZE_ADDRESS__
inline constexpr size_t max_resident_growth = 64 * 1024 * 1024;
#else
inline constexpr size_t max_resident_growth = 8 * 1024 * 1024;
#endif

// Returns the resident size of this process.
inline size_t
resident_bytes()
{
    size_t total_pages = 0, resident_pages = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    EXPECT_EQ(fscanf(file, "%zu %zu", &total_pages, &resident_pages), 2);
    fclose(file);
    return resident_pages * (size_t)sysconf(_SC_PAGESIZE);
}

// Writes `first_bytes`, and then `repeated_bytes` for as long as the peer
// accepts them. Starts when it has received the end of a request's head, or
// with start().
class FloodSender {
  public:
    size_t sent = 0;      // bytes given to the bufferevent
    bool closed = false;  // the peer closed the connection, or it failed
    std::string received; // about the first 64 KiB from the peer

    FloodSender(std::string first_bytes, std::string repeated_bytes)
        : next(std::move(first_bytes)), repeated(std::move(repeated_bytes))
    {
    }
    FloodSender(const FloodSender &) = delete;

    ~FloodSender()
    {
        if (bev != nullptr) {
            bufferevent_free(bev);
        }
    }

    // Uses the connection `fd`, which it closes at the end.
    void
    attach(struct event_base *base, evutil_socket_t fd)
    {
        evutil_make_socket_nonblocking(fd);
        bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(bev, on_read, on_written, on_event, this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }

    // Starts to write now, without waiting for a request.
    void
    start()
    {
        started = true;
        on_written(bev, this);
    }

  private:
    struct bufferevent *bev = nullptr;
    std::string next; // not written yet
    std::string repeated;
    bool started = false;

    static void
    on_read(struct bufferevent *bev, void *context)
    {
        auto *self = static_cast<FloodSender *>(context);
        char bytes[4096];
        for (size_t n;
             (n = bufferevent_read(bev, bytes, sizeof(bytes))) > 0;) {
            if (self->received.size() < 65536) {
                self->received.append(bytes, n);
            }
        }
        if (!self->started &&
            self->received.find("\r\n\r\n") != std::string::npos) {
            self->start();
        }
    }

    static void
    on_written(struct bufferevent *bev, void *context)
    {
        auto *self = static_cast<FloodSender *>(context);
        if (!self->started || self->closed) {
            return;
        }
        while (self->next.size() < 16384) { // bytes per write
            self->next += self->repeated;
        }
        self->sent += self->next.size();
        bufferevent_write(bev, self->next.data(), self->next.size());
        self->next.clear();
    }

    static void
    on_event(struct bufferevent *bev, short, void *context)
    {
        (void)bev;
        static_cast<FloodSender *>(context)->closed = true;
    }
};

// Listens on a free loopback port and attaches the sender to the connection
// that is accepted, of which there must be one only. Stores "IP:PORT" in
// `address`. Free the result with evconnlistener_free().
inline struct evconnlistener *
listen_with_sender(struct event_base *base, FloodSender *sender,
                   std::string *address)
{
    struct sockaddr_in local = {};
    socklen_t len = sizeof(local);
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    struct evconnlistener *listener = evconnlistener_new_bind(
        base,
        [](struct evconnlistener *accepting, evutil_socket_t fd,
           struct sockaddr *, int, void *context) {
            static_cast<FloodSender *>(context)->attach(
                evconnlistener_get_base(accepting), fd);
        },
        sender, LEV_OPT_CLOSE_ON_FREE, 8, (struct sockaddr *)&local,
        sizeof(local));
    EXPECT_NE(listener, nullptr);
    getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&local,
                &len);
    *address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    return listener;
}

// Runs the event loop until the sender's connection is closed and `done` is
// true, until the sender has written too much, or for 20,000 ticks of 1 ms.
// Then checks that the connection is closed and the limits hold.
// `resident_before` is the resident size in bytes before the flood.
inline void
run_flood(struct event_base *base, const FloodSender &sender,
          size_t resident_before, const std::function<bool()> &done)
{
    for (int i = 0; i < 20000 && sender.sent < max_flood_bytes &&
                    !(done() && sender.closed);
         i++) {
        struct timeval tick = {0, 1000};
        event_base_loopexit(base, &tick);
        event_base_dispatch(base);
    }
    EXPECT_LT(sender.sent, max_flood_bytes);
    EXPECT_LT(resident_bytes(), resident_before + max_resident_growth);
    EXPECT_TRUE(sender.closed);
}

// What a sender writes: `first` once, then `repeated` without end.
struct Flood {
    const char *name; // of the test case
    std::string first;
    std::string repeated;
};

inline std::ostream &
operator<<(std::ostream &out, const Flood &flood)
{
    return out << flood.name;
}

inline std::string
test_name(const testing::TestParamInfo<Flood> &info)
{
    return info.param.name;
}

class FloodTest : public testing::TestWithParam<Flood> {
  protected:
    struct event_base *base = event_base_new();
    size_t resident_before = resident_bytes();

    ~FloodTest() override
    {
        // Connections with unsent bytes are freed from the event loop.
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }
};

#endif
