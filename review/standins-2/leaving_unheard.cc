// Channels to the store that have been quiet for a while go silent for good,
// without a reset, while new ones work. Later than ContactMs after that, a
// runner checks in as draining.
#include "small.h"

#include <cstdlib>
#include <cstring>

static const int64_t contact_ms = 3000; // ContactMs
static const int64_t drain_ms = 2000;   // DrainMs
static const int64_t quiet_ms = 2000;   // of a channel that goes silent

static void
send_to_all(SmallDeployment &small)
{
    for (size_t i = 0; i < small.routers.size(); i++) {
        small.send(i, "/lohu930/2f");
    }
}

static size_t
count_arrivals(const SmallDeployment &small, const std::string &runner,
               int64_t sent_after_ms)
{
    size_t count = 0;
    for (const Answer &answer : small.answers) {
        for (const Arrival &arrival : small.arrivals) {
            count += answer.sent_ms > sent_after_ms &&
                             arrival.request == answer.request &&
                             arrival.runner == runner
                         ? 1
                         : 0;
        }
    }
    return count;
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
    PlainRunner &leaving = small.add_runner("i-leaving", "atelier", "brest");
    small.add_runner("i-quimper", "atelier", "quimper");
    small.publish(3, plain_route("suivi", "/lohu930/", "atelier"));
    for (size_t i = 0; i < small.routers.size(); i++) {
        small.start_router(i);
    }
    bool is_ready = false;
    for (int tries = 0; tries < 20 && !is_ready; tries++) {
        small.run_for(500);
        is_ready = small.are_all_ready();
    }
    small.run_for(5000);
    // A further runner: the reads of the runners' list are answered, and begin
    // again.
    small.add_runner("i-vannes", "atelier", "vannes");
    small.run_for(1000);
    send_to_all(small);
    small.run_for(1800);
    size_t silenced = 0;
    for (SmallRouter &router : small.routers) {
        size_t count = router.relay->count_quiet(quiet_ms);
        if (is_disturbed) {
            silenced += router.relay->silence_quiet(quiet_ms);
        }
        small.note("router=%s quiet channels=%zu silenced=%d",
                   router.name.c_str(), count, is_disturbed ? 1 : 0);
    }
    if (!is_ready || (is_disturbed && silenced == 0)) {
        fprintf(stderr, "not ready, or no channel was quiet\n");
        return CASE_NOT_RUN;
    }
    small.run_for(1500);
    send_to_all(small);
    small.run_for(contact_ms + 200 - 1500);
    int64_t confirmed_ms = now_ms();
    leaving.is_leaving = true;
    leaving.check_in();
    small.run_for(drain_ms + 100);
    for (int i = 0; i < 6; i++) {
        send_to_all(small);
        small.run_for(500);
    }
    small.run_until(3000, [&small] { return small.unanswered == 0; });
    size_t late = count_arrivals(small, "i-leaving", confirmed_ms + drain_ms);
    small.note("requests sent later than %lld ms after the confirmation that "
               "reached the leaving runner: %zu",
               (long long)drain_ms, late);
    printf("%zu requests reached the leaving runner, sent later than %lld ms "
           "after the confirmation\n",
           late, (long long)drain_ms);
    return late > 0 ? CASE_BROKEN : CASE_HELD;
}
