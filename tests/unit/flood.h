// A sender that writes until it is closed, and the bounds of what it may get
// rid of.
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

// What a sender may get rid of before it is closed: the reader's bound, and
// the sockets' buffers of both ends.
inline constexpr size_t max_flood_bytes = 24 * 1024 * 1024;
// What the process may grow by; ASan keeps freed memory for a while.
#ifdef __SANITIZE_ADDRESS__
inline constexpr size_t max_resident_growth = 64 * 1024 * 1024;
#else
inline constexpr size_t max_resident_growth = 8 * 1024 * 1024;
#endif

inline size_t
resident_bytes()
{
    size_t all = 0, resident = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    EXPECT_EQ(fscanf(file, "%zu %zu", &all, &resident), 2);
    fclose(file);
    return resident * (size_t)sysconf(_SC_PAGESIZE);
}

// Writes `first` and then `again` for as long as the other end takes it.
class FloodSender {
  public:
    size_t sent = 0;
    bool closed = false;
    std::string received;

    FloodSender(std::string first, std::string unit)
        : next(std::move(first)), again(std::move(unit))
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
    begin(struct event_base *base, evutil_socket_t fd)
    {
        evutil_make_socket_nonblocking(fd);
        bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(bev, on_read, on_written, on_event, this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }

    // Begins to write at once, not only after a request.
    void
    write()
    {
        started = true;
        on_written(bev, this);
    }

  private:
    struct bufferevent *bev = nullptr;
    std::string next;
    std::string again;
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
            self->write();
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
            self->next += self->again;
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

// A listener whose first caller meets the sender.
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
            static_cast<FloodSender *>(context)->begin(
                evconnlistener_get_base(from), fd);
        },
        sender, LEV_OPT_CLOSE_ON_FREE, 8, (struct sockaddr *)&at, sizeof(at));
    EXPECT_NE(listener, nullptr);
    getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&at, &len);
    *address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    return listener;
}

// Runs until the sender is closed and `done` holds, or it has got rid of too
// much.
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
