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
    struct sl_queue_options options = {1000};
    struct sl_queue *queue = SlQueue_New(&options);
    uint64_t next_id = 1;

    ~Queue() override
    {
        SlQueue_Free(queue);
    }

    uint64_t
    push(const char *team, int64_t priority, int64_t deadline_us)
    {
        struct sl_queue_item item = {next_id++, SlName_Of(team), priority,
                                     deadline_us};
        EXPECT_TRUE(SlQueue_Push(queue, &item));
        return item.id;
    }

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
    uint64_t soon = push("a", 1, 10);
    uint64_t same = push("a", 1, 10);
    uint64_t first = push("a", 0, 99);
    EXPECT_EQ(SlQueue_CountAhead(queue, 0), 1u);
    EXPECT_EQ(SlQueue_CountAhead(queue, 5), 4u);
    for (uint64_t expected : {first, soon, same, late, uint64_t(0)}) {
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

// A team whose queue was empty shares turns from now on; it does not get the
// turns that it missed.
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
    int served = 0;
    for (int i = 0; i < 20; i++) {
        SlQueue_Pop(queue, &out);
        served += out.team.text[0] == 'n';
    }
    EXPECT_EQ(served, 10);
}

TEST_F(Queue, RejectsItemsWhenFull)
{
    struct sl_queue_options small = {1};
    struct sl_queue *full = SlQueue_New(&small);
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
    uint64_t latest = push("a", 9, 30);
    push("a", 9, 20);
    ASSERT_TRUE(SlQueue_Displace(queue, &item, &out));
    EXPECT_EQ(out.id, latest);
    ASSERT_TRUE(SlQueue_Displace(queue, &item, &out));
    EXPECT_FALSE(SlQueue_Displace(queue, &item, &out));
    EXPECT_EQ(SlQueue_Length(queue), 1u);
}

TEST_F(Queue, UrgentItemsRunFirstEveryOtherTime)
{
    struct sl_queue_item out;
    push("a", 0, 900);
    push("a", 0, 901);
    uint64_t wait1 = push("b", 9, 100);
    uint64_t wait2 = push("b", 9, 110);
    ASSERT_TRUE(SlQueue_PopUrgentFirst(queue, 0, 50, &out));
    EXPECT_EQ(out.priority, 0);
    ASSERT_TRUE(SlQueue_PopUrgentFirst(queue, 60, 50, &out));
    EXPECT_EQ(out.id, wait1);
    ASSERT_TRUE(SlQueue_PopUrgentFirst(queue, 60, 50, &out));
    EXPECT_EQ(out.priority, 0);
    EXPECT_FALSE(SlQueue_PopExpired(queue, 109, &out));
    ASSERT_TRUE(SlQueue_PopExpired(queue, 110, &out));
    EXPECT_EQ(out.id, wait2);
}

TEST_F(Queue, AdmissionComparesExpectedWaitWithDeadline)
{
    struct sl_admission_context context = {0, 4, 4, 1000000};
    for (int i = 0; i < 100; i++) {
        push("large", 1, 99000000);
    }
    struct sl_queue_item item = {999, SlName_Of("large"), 1, 20000000};
    struct sl_admission late = SlQueue_DecideAdmission(queue, &item, &context);
    EXPECT_FALSE(late.admit);
    EXPECT_EQ(late.wait_us, 101 * 250000);
    EXPECT_EQ(late.retry_after_us, late.wait_us - 19000000);
    item.team = SlName_Of("small");
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &context).admit);
    item.team = SlName_Of("large");
    item.priority = 0;
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &context).admit);
}

TEST_F(Queue, FullQueueSetsRetryAfter)
{
    struct sl_admission_context context = {0, 4, 4, 1000000};
    for (size_t i = 0; i < options.max_waiting; i++) {
        push("a", 5, 999000000000);
    }
    struct sl_queue_item item = {5000, SlName_Of("a"), 5, 999000000000};
    struct sl_admission full = SlQueue_DecideAdmission(queue, &item, &context);
    EXPECT_FALSE(full.admit);
    EXPECT_EQ(full.retry_after_us, 1001 * 250000);
    item.priority = 0;
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &context).admit);
}

TEST_F(Queue, IdleUpstreamAdmitsAnyDeadline)
{
    struct sl_admission_context context = {0, 0, 4, 1000000};
    struct sl_queue_item item = {1, SlName_Of("a"), 0, 10};
    EXPECT_TRUE(SlQueue_DecideAdmission(queue, &item, &context).admit);
}

// Compares priorities and length with a simple model over random pushes, pops
// and removals.
TEST_F(Queue, MatchesModelOverRandomOperations)
{
    struct sl_random random = {3};
    std::map<uint64_t, int64_t> model;
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
            for (const auto &other : model) {
                ASSERT_LE(out.priority, other.second);
            }
            EXPECT_EQ(model.erase(out.id), 1u);
        }
        ASSERT_EQ(SlQueue_Length(queue), model.size());
    }
}
