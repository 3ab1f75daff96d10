// Reads of the store around a pause of the process.
#include <gtest/gtest.h>

#include "router_simulation.h"

extern "C" {
#include "sl_router_internal.h"
}

namespace {

// A router and the reads that a runtime would have under way for it.
class PauseReads : public testing::Test {
  protected:
    struct sl_router *router = nullptr;
    struct sl_router_effects *effects = SlRouterEffects_New();
    int64_t now_us = 1000 * Sl_US_PER_S;
    int reads[Sl_FEED_COUNT] = {};

    PauseReads()
    {
        struct sl_router_options options = {};
        options.vm = SlName_Of("e1");
        options.domain = SlName_Of("brest");
        options.peer_address = SlName_Of("e1:7340");
        options.bounds = small_bounds();
        options.boot = 1;
        options.now_us = now_us;
        router = SlRouter_New(&options);
    }

    ~PauseReads() override
    {
        SlRouter_Free(router);
        SlRouterEffects_Free(effects);
    }

    void
    reduce(struct sl_router_event event)
    {
        event.now_us = now_us;
        SlRouterEffects_Clear(effects);
        SlRouter_Reduce(router, &event, effects);
        for (size_t i = 0; i < SlRouterEffects_Count(effects); i++) {
            const struct sl_router_effect *effect =
                SlRouterEffects_At(effects, i);
            switch (effect->type) {
            case Sl_ROUTER_EFFECT_READ_SNAPSHOT:
            case Sl_ROUTER_EFFECT_READ_FROM:
                reads[effect->u.read.feed]++;
                break;
            case Sl_ROUTER_EFFECT_CANCEL_READ:
                reads[effect->u.read.feed] = 0;
                break;
            default:
                break;
            }
        }
    }

    void
    tick()
    {
        struct sl_router_event event = {};
        event.type = Sl_ROUTER_EVENT_TICK;
        reduce(event);
    }

    // A read of the feed ends with an error, or with no records.
    void
    end_read(enum sl_feed feed, const struct sl_error *err)
    {
        struct sl_router_event event = {};
        event.type = Sl_ROUTER_EVENT_FEED_READ;
        event.err = err;
        event.u.feed.feed = feed;
        event.u.feed.is_snapshot = true;
        event.u.feed.next_offset = 1;
        reads[feed]--;
        reduce(event);
    }
};

// Guards against a router that ends itself after a pause: the answer that
// wakes it belongs to a read that the router replaces in the same event, and
// planned a second read beside the new one.
TEST_F(PauseReads, AnswerThatEndsThePauseStartsNoSecondRead)
{
    struct sl_error lost;
    (void)SlError_Set(&lost, Sl_ERR_TIMEOUT, "store.call", "store", "silent");
    for (const struct sl_error *err :
         {(const struct sl_error *)&lost, (const struct sl_error *)nullptr}) {
        for (enum sl_feed feed : {Sl_FEED_OPERATORS, Sl_FEED_UPSTREAMS}) {
            tick();
            ASSERT_EQ(reads[feed], 1);
            now_us += 3 * Sl_US_PER_S; // the process is paused
            end_read(feed, err);
            EXPECT_EQ(reads[feed], 1);
            for (int i = 0; i < 10; i++) {
                now_us += 20 * Sl_US_PER_MS;
                tick();
                ASSERT_EQ(reads[feed], 1) << "after a planned read";
            }
            end_read(feed, nullptr);
            for (int i = 0; i < 40 && reads[feed] == 0; i++) {
                now_us += 20 * Sl_US_PER_MS;
                tick();
            }
            EXPECT_EQ(reads[feed], 1);
        }
    }
}

} // namespace
