// A sender that writes without end until its connection is closed, and limits
// on what the receiver may accept and buffer.
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

// Bytes that a sender may write before its connection is closed: the
// receiver's limit and the socket buffers of both ends.
inline constexpr size_t max_flood_bytes = 24 * 1024 * 1024;
// How much the resident size of the process may grow. ASan delays the reuse of
// freed memory, and so needs more.
#ifdef __SANITIZE_ADDRESS__
inline constexpr size_t max_resident_growth = 64 * 1024 * 1024;
#else
inline constexpr size_t max_resident_growth = 8 * 1024 * 1024;
#endif

inline size_t
resident_bytes()
{
    size_t total = 0, resident = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    EXPECT_EQ(fscanf(file, "%zu %zu", &total, &resident), 2);
    fclose(file);
    return resident * (size_t)sysconf(_SC_PAGESIZE);
}

// Writes `first`, and then `repeated` for as long as the other end accepts it.
class FloodSender {
  public:
    size_t sent = 0;
    bool closed = false;
    std::string received;

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
    std::string next;
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
        while (self->next.size() < 16384) {
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

// Returns a listener that attaches the sender to the first connection.
inline struct evconnlistener *
listen_with_sender(struct event_base *base, FloodSender *sender,
                   std::string *address)
{
    struct sockaddr_in at = {};
    socklen_t len = sizeof(at);
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    struct evconnlistener *listener = evconnlistener_new_bind(
        base,
        [](struct evconnlistener *from, evutil_socket_t fd, struct sockaddr *,
           int, void *context) {
            static_cast<FloodSender *>(context)->attach(
                evconnlistener_get_base(from), fd);
        },
        sender, LEV_OPT_CLOSE_ON_FREE, 8, (struct sockaddr *)&at, sizeof(at));
    EXPECT_NE(listener, nullptr);
    getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&at, &len);
    *address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    return listener;
}

// Runs the event loop until the sender's connection is closed and `done` is
// true, or until the sender has written too much; then checks all limits.
inline void
run_flood(struct event_base *base, const FloodSender &sender, size_t resident,
          const std::function<bool()> &done)
{
    for (int i = 0; i < 20000 && sender.sent < max_flood_bytes &&
                    !(done() && sender.closed);
         i++) {
        struct timeval tick = {0, 1000};
        event_base_loopexit(base, &tick);
        event_base_dispatch(base);
    }
    EXPECT_LT(sender.sent, max_flood_bytes);
    EXPECT_LT(resident_bytes(), resident + max_resident_growth);
    EXPECT_TRUE(sender.closed);
}

#endif
