// Runs functions after a delay.
#include "standins.h"

#include <ctime>

int64_t
now_ms()
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

struct Scheduler::Timer {
    Scheduler *scheduler;
    uint64_t handle;
    struct event *event;
    std::function<void()> work;

    ~Timer()
    {
        event_free(event);
    }
};

Scheduler::Scheduler(struct event_base *event_base) : base(event_base)
{
}

Scheduler::~Scheduler() = default;

void
Scheduler::on_due(evutil_socket_t, short, void *context)
{
    Timer *timer = static_cast<Timer *>(context);
    Scheduler *scheduler = timer->scheduler;
    std::function<void()> work = std::move(timer->work);
    scheduler->timers.erase(timer->handle);
    work();
}

uint64_t
Scheduler::run_after(int64_t ms, std::function<void()> work)
{
    auto timer = std::make_unique<Timer>();
    struct timeval delay = {ms / 1000, (ms % 1000) * 1000};
    timer->scheduler = this;
    timer->handle = ++last_handle;
    timer->work = std::move(work);
    timer->event = event_new(base, -1, 0, on_due, timer.get());
    event_add(timer->event, &delay);
    timers[last_handle] = std::move(timer);
    return last_handle;
}

void
Scheduler::cancel(uint64_t handle)
{
    timers.erase(handle);
}
