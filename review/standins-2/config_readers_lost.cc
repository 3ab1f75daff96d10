// Two manifests are confirmed in quick succession. Between them, the routers
// that read the store are killed at once. The router that is left has never
// been disturbed.
#include "small.h"

#include <cstdlib>
#include <cstring>

static const int64_t apply_ms = 2000; // ConfigApplyMs

// Sends requests to one router for `ms`, one each 50 ms.
static void
send_for(SmallDeployment &small, size_t router, int64_t ms)
{
    for (int64_t end_ms = now_ms() + ms; now_ms() < end_ms;) {
        small.send(router, "/lohu930/2f");
        small.run_for(50);
    }
}

// Returns the router whose relay has carried no byte for the longest time: it
// does not read the store.
static size_t
find_other(const SmallDeployment &small)
{
    size_t found = 0;
    for (size_t i = 1; i < small.routers.size(); i++) {
        if (small.routers[i].relay->last_byte_ms <
            small.routers[found].relay->last_byte_ms) {
            found = i;
        }
    }
    return found;
}

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: %s PROGRAM DIR RECORD\n", argv[0]);
        return CASE_NOT_RUN;
    }
    const char *trouble = getenv("TROUBLE");
    bool is_disturbed = trouble == nullptr || strcmp(trouble, "0") != 0;
    SmallDeployment small(argv[1], argv[2], argv[3],
                          {"brest", "brest", "quimper", "vannes"});
    small.add_runner("i-old", "atelier-a", "brest");
    small.add_runner("i-new", "atelier-b", "brest");
    small.publish(3, plain_route("suivi", "/lohu930/", "atelier-a"));
    for (size_t i = 0; i < small.routers.size(); i++) {
        small.start_router(i);
    }
    bool is_ready = false;
    for (int tries = 0; tries < 20 && !is_ready; tries++) {
        small.run_for(500);
        is_ready = small.are_all_ready();
    }
    small.run_for(8000);
    size_t other = find_other(small);
    if (!is_ready ||
        now_ms() - small.routers[other].relay->last_byte_ms < 4000) {
        fprintf(stderr, "not ready, or all routers read the store\n");
        return CASE_NOT_RUN;
    }
    small.note("undisturbed router=%s", small.routers[other].name.c_str());
    send_for(small, other, 1000);
    std::string first = plain_route("suivi", "/lohu930/", "atelier-a");
    small.publish(5, first + "," +
                         plain_route("ajout", "/puxa403/", "atelier-a"));
    send_for(small, other, 100);
    for (size_t i = 0; i < small.routers.size() && is_disturbed; i++) {
        if (i != other) {
            small.kill_router(i);
        }
    }
    send_for(small, other, 100);
    int64_t confirmed_ms = now_ms();
    small.publish(8, plain_route("suivi", "/lohu930/", "atelier-b") + "," +
                         plain_route("ajout", "/puxa403/", "atelier-a"));
    send_for(small, other, 5000);
    for (size_t i = 0; i < small.routers.size(); i++) {
        if (small.routers[i].pid == 0) {
            small.start_router(i);
        }
    }
    send_for(small, other, 1000);
    small.run_until(3000, [&small] { return small.unanswered == 0; });
    size_t late = 0;
    size_t by_old = 0;
    int64_t last_ms = 0;
    for (const Answer &answer : small.answers) {
        late += answer.sent_ms > confirmed_ms + apply_ms ? 1 : 0;
        for (const Arrival &arrival : small.arrivals) {
            if (arrival.request == answer.request &&
                arrival.service == "atelier-a" &&
                answer.sent_ms > confirmed_ms + apply_ms) {
                by_old++;
                last_ms = answer.sent_ms - confirmed_ms;
            }
        }
    }
    small.note("sent later than %lld ms after the confirmation: %zu; run by "
               "the old service: %zu; the last of them was sent after %lld ms",
               (long long)apply_ms, late, by_old, (long long)last_ms);
    printf("%zu of %zu requests run by the old service, the last sent %lld ms "
           "after the confirmation\n",
           by_old, late, (long long)last_ms);
    return late == 0 ? CASE_NOT_RUN : by_old > 0 ? CASE_BROKEN : CASE_HELD;
}
