// Work that runs later.
#include "standins.h"

#include <ctime>

int64_t
now_ms()
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

struct Clock::Entry {
    Clock *clock;
    uint64_t handle;
    struct event *timer;
    std::function<void()> work;

    ~Entry()
    {
        event_free(timer);
    }
};

Clock::Clock(struct event_base *event_base) : base(event_base)
{
}

Clock::~Clock() = default;

void
Clock::on_due(evutil_socket_t, short, void *context)
{
    Entry *entry = static_cast<Entry *>(context);
    Clock *clock = entry->clock;
    std::function<void()> work = std::move(entry->work);
    clock->entries.erase(entry->handle);
    work();
}

uint64_t
Clock::after(int64_t ms, std::function<void()> work)
{
    auto entry = std::make_unique<Entry>();
    struct timeval wait = {ms / 1000, (ms % 1000) * 1000};
    entry->clock = this;
    entry->handle = ++last;
    entry->work = std::move(work);
    entry->timer = event_new(base, -1, 0, on_due, entry.get());
    event_add(entry->timer, &wait);
    entries[last] = std::move(entry);
    return last;
}

void
Clock::cancel(uint64_t handle)
{
    entries.erase(handle);
}
