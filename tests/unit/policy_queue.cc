// Unit tests of an agent's queue of waiting requests.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "sl_policy.h"
}

class Queue : public ::testing::Test {
  protected:
    struct sl_queue_options options = {1000}; // items that may wait
    struct sl_queue *queue = SlQueue_New(&options);
    uint64_t next_id = 1;

    ~Queue() override
    {
        SlQueue_Free(queue);
    }

    // Returns the id of the item that was added.
    uint64_t
    push(const char *team, int64_t priority, int64_t deadline_us)
    {
        struct sl_queue_item item = {next_id++, SlName_Of(team), priority,
                                     deadline_us};
        EXPECT_TRUE(SlQueue_Push(queue, &item));
        return item.id;
    }

    // Returns the id of the next item, or 0 if the queue is empty.
    uint64_t
    pop()
    {
        struct sl_queue_item out = {};
        return SlQueue_Pop(queue, &out) ? out.id : 0;
    }
};

TEST_F(Queue, OrdersByPriorityThenDeadlineThenArrival)
{
    uint64_t late = push("a", 1, 90);
    uint64_t early = push("a", 1, 10);
    uint64_t equally_early = push("a", 1, 10);
    uint64_t most_urgent = push("a", 0, 99);
    EXPECT_EQ(SlQueue_CountAhead(queue, 0), 1u);
    EXPECT_EQ(SlQueue_CountAhead(queue, 5), 4u);
    for (uint64_t expected :
         {most_urgent, early, equally_early, late, uint64_t(0)}) {
        EXPECT_EQ(pop(), expected);
    }
}

TEST_F(Queue, SharesTurnsBetweenTeams)
{
    std::map<std::string, int> served;
    for (int i = 0; i < 500; i++) {
        push("large", 1, i);
    }
    for (int i = 0; i < 10; i++) {
        push("small", 1, 1000);
        push("tiny", 1, 1000);
    }
    struct sl_queue_item out;
    for (int i = 0; i < 30; i++) {
        ASSERT_TRUE(SlQueue_Pop(queue, &out));
        served[out.team.text]++;
    }
    EXPECT_EQ(served["small"], 10);
    EXPECT_EQ(served["tiny"], 10);
}

// A team that had no waiting items shares turns from its first item on; it is
// not given the turns that it missed before.
TEST_F(Queue, IdleTeamsAccumulateNoCredit)
{
    struct sl_queue_item out;
    for (int i = 0; i < 100; i++) {
        push("busy", 1, i);
    }
    for (int i = 0; i < 50; i++) {
        SlQueue_Pop(queue, &out);
    }
    for (int i = 0; i < 50; i++) {
        push("new", 1, i);
    }
    int served_new = 0;
    for (int i = 0; i < 20; i++) {
        SlQueue_Pop(queue, &out);
        served_new += out.team.text[0] == 'n';
    }
    EXPECT_EQ(served_new, 10);
}

TEST_F(Queue, RejectsItemsWhenFull)
{
    struct sl_queue_options one_item = {1};
    struct sl_queue *full = SlQueue_New(&one_item);
    struct sl_queue_item item = {7, SlName_Of("a"), 0, 1};
    EXPECT_TRUE(SlQueue_Push(full, &item));
    item.id = 8;
    EXPECT_FALSE(SlQueue_Push(full, &item));
    EXPECT_FALSE(SlQueue_Remove(full, 8));
    EXPECT_TRUE(SlQueue_Remove(full, 7));
    EXPECT_EQ(SlQueue_Length(full), 0u);
    SlQueue_Free(full);
}

TEST_F(Queue, DisplacesOnlyLowerPriorities)
{
    struct sl_queue_item out;
    struct sl_queue_item item = {100, SlName_Of("a"), 5, 10};
    push("a", 5, 10);
    uint64_t runs_last = push("a", 9, 30);
    push("a", 9, 20);
    ASSERT_TRUE(SlQueue_Displace(queue, &item, &out));
    EXPECT_EQ(out.id, runs_last);
    ASSERT_TRUE(SlQueue_Displace(queue, &item, &out));
    EXPECT_FALSE(SlQueue_Displace(queue, &item, &out));
    EXPECT_EQ(SlQueue_Length(queue), 1u);
}

TEST_F(Queue, UrgentItemsRunFirstEveryOtherTime)
{
    struct sl_queue_item out;
    push("a", 0, 900);
    push("a", 0, 901);
    uint64_t due_at_100 = push("b", 9, 100);
    uint64_t due_at_110 = push("b", 9, 110);
    // No deadline is within the window of 50: the highest priority runs.
    ASSERT_TRUE(SlQueue_PopUrgentFirst(queue, 0, 50, &out));
    EXPECT_EQ(out.priority, 0);
    ASSERT_TRUE(SlQueue_PopUrgentFirst(queue, 60, 50, &out));
    EXPECT_EQ(out.id, due_at_100);
    // The previous item was taken for its deadline, so this one is not.
    ASSERT_TRUE(SlQueue_PopUrgentFirst(queue, 60, 50, &out));
    EXPECT_EQ(out.priority, 0);
    EXPECT_FALSE(SlQueue_PopExpired(queue, 109, &out));
    ASSERT_TRUE(SlQueue_PopExpired(queue, 110, &out));
    EXPECT_EQ(out.id, due_at_110);
}

// An upstream that runs four requests at once, each for 1 s: one request
// leaves the queue every 250 ms.
static const struct sl_admission_context full_upstream = {
    0 /* now */, 4 /* in flight */, 4 /* limit */, 1000000 /* service time */};

TEST_F(Queue, AdmissionComparesExpectedWaitWithDeadline)
{
    for (int i = 0; i < 100; i++) {
        push("large", 1, 99000000);
    }
    struct sl_queue_item item = {999, SlName_Of("large"), 1, 20000000};
    struct sl_admission late =
        SlQueue_DecideAdmission(queue, &item, &full_upstream);
    EXPECT_FALSE(late.admit);
    EXPECT_EQ(late.wait_us, 101 * 250000);
    // A wait of 19 s, and 1 s to run, would just meet the deadline of 20 s.
    EXPECT_EQ(late.retry_after_us, late.wait_us - 19000000);
    // Another team, or a higher priority, does not wait for the 100 items.
    item.team = SlName_Of("small");
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &full_upstream).admit);
    item.team = SlName_Of("large");
    item.priority = 0;
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &full_upstream).admit);
}

TEST_F(Queue, FullQueueSetsRetryAfter)
{
    for (size_t i = 0; i < options.max_waiting; i++) {
        push("a", 5, 999000000000);
    }
    struct sl_queue_item item = {5000, SlName_Of("a"), 5, 999000000000};
    struct sl_admission full =
        SlQueue_DecideAdmission(queue, &item, &full_upstream);
    EXPECT_FALSE(full.admit);
    EXPECT_EQ(full.retry_after_us, 1001 * 250000);
    // An item of higher priority would displace one of these.
    item.priority = 0;
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &full_upstream).admit);
}

TEST_F(Queue, IdleUpstreamAdmitsAnyDeadline)
{
    const struct sl_admission_context idle_upstream = {
        0 /* now */, 0 /* in flight */, 4 /* limit */,
        1000000 /* service time */};
    struct sl_queue_item item = {1, SlName_Of("a"), 0, 10};
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &idle_upstream).admit);
}

// After each of 20,000 random pushes, pops and removals the queue must have
// the length of a simple model, and each pop must take an item of the highest
// priority in the model.
TEST_F(Queue, MatchesModelOverRandomOperations)
{
    struct sl_random random = {3};
    std::map<uint64_t, int64_t> model; // id -> priority
    struct sl_queue_item out;
    for (int i = 0; i < 20000; i++) {
        uint32_t operation = SlRandom_Below(&random, 5);
        if (operation < 2 && model.size() < options.max_waiting) {
            int64_t priority = SlRandom_Below(&random, 10);
            std::string team(1, char('a' + SlRandom_Below(&random, 9)));
            model[push(team.c_str(), priority, SlRandom_Below(&random, 99))] =
                priority;
        }
        else if (operation == 2 && !model.empty()) {
            EXPECT_TRUE(SlQueue_Remove(queue, model.begin()->first));
            model.erase(model.begin());
        }
        else if (operation == 3 && SlQueue_Pop(queue, &out)) {
            for (const auto &waiting : model) {
                ASSERT_LE(out.priority, waiting.second);
            }
            EXPECT_EQ(model.erase(out.id), 1u);
        }
        ASSERT_EQ(SlQueue_Length(queue), model.size());
    }
}
