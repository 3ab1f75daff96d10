// A manifest takes the last tenant away. Later than ConfigApplyMs after that,
// consumers send requests with keys that no manifest ever held.
#include "small.h"

#include <cstdlib>
#include <cstring>

static const int64_t apply_ms = 2000; // ConfigApplyMs

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: %s PROGRAM DIR RECORD\n", argv[0]);
        return CASE_NOT_RUN;
    }
    const char *trouble = getenv("TROUBLE");
    bool is_disturbed = trouble == nullptr || strcmp(trouble, "0") != 0;
    std::string routes = plain_route("suivi", "/lohu930/", "atelier");
    SmallDeployment small(argv[1], argv[2], argv[3], {"brest", "quimper"});
    small.add_runner("i-brest", "atelier", "brest");
    small.add_runner("i-quimper", "atelier", "quimper");
    small.publish(3, routes);
    for (size_t i = 0; i < small.routers.size(); i++) {
        small.start_router(i);
    }
    bool is_ready = false;
    for (int tries = 0; tries < 20 && !is_ready; tries++) {
        small.run_for(500);
        is_ready = small.are_all_ready();
    }
    small.run_for(4000);
    small.key = "zz90unknownunknown00";
    small.send(0, "/lohu930/2f");
    small.run_for(500);
    if (!is_ready || small.answers.empty() ||
        small.answers.back().status != 401) {
        fprintf(stderr, "not ready, or an unknown key is not refused\n");
        return CASE_NOT_RUN;
    }
    // Without the disruption the manifest changes too, but keeps the tenant.
    small.has_tenant = !is_disturbed;
    small.publish(8, routes);
    small.run_for(apply_ms + 1000);
    for (int i = 0; i < 20; i++) {
        small.send((size_t)i % small.routers.size(), "/lohu930/2f");
        small.run_for(100);
    }
    small.run_until(3000, [&small] { return small.unanswered == 0; });
    size_t run = small.arrivals.size();
    small.note(
        "requests run with a key that no manifest ever held: %zu of %zu", run,
        small.answers.size());
    printf("%zu of %zu requests run with a key that no manifest ever held\n",
           run, small.answers.size());
    return run > 0 ? CASE_BROKEN : CASE_HELD;
}
