// Bytes that wait for slow clients: shares of the pool, pauses and stalls.
#include <gtest/gtest.h>

#include <map>

extern "C" {
#include "sl_backlog.h"
}

namespace {

const size_t pool_bytes = 1000000;
const size_t floor_bytes = 16384;
const size_t chunk_bytes = 4096;
const int64_t stall_us = 30 * Sl_US_PER_S;

class Backlog : public testing::Test {
  protected:
    const struct sl_backlog_options options = {pool_bytes, floor_bytes,
                                               stall_us};
    struct sl_backlog *backlog = SlBacklog_New(&options);
    std::map<uint64_t, bool> paused; // by call
    std::map<uint64_t, size_t> held; // by connection
    int64_t now_us = 1000 * Sl_US_PER_S;

    ~Backlog() override
    {
        SlBacklog_Free(backlog);
    }

    void
    fetch_changes()
    {
        struct sl_backlog_change change;
        while (SlBacklog_NextChange(backlog, &change)) {
            EXPECT_NE(paused[change.call], change.is_paused);
            paused[change.call] = change.is_paused;
        }
    }

    // The upstream of a stream, whose call has its number, sends a chunk.
    void
    add(uint64_t conn)
    {
        held[conn] += chunk_bytes;
        SlBacklog_OnAdded(backlog, conn, conn, held[conn], now_us);
        fetch_changes();
    }

    // The client takes all that waits for it, but for `left` bytes.
    void
    take(uint64_t conn, size_t left)
    {
        held[conn] = left;
        SlBacklog_OnTaken(backlog, conn, left, now_us);
        fetch_changes();
    }

    // All upstreams send until each of them is paused.
    void
    fill(uint64_t streams)
    {
        for (bool is_any_read = true; is_any_read;) {
            is_any_read = false;
            for (uint64_t conn = 1; conn <= streams; conn++) {
                if (!paused[conn]) {
                    add(conn);
                    is_any_read = true;
                }
            }
        }
    }
};

TEST_F(Backlog, HoldsWhatTheUpstreamSendsWhileThereIsMemory)
{
    fill(1);
    EXPECT_GT(held[1], pool_bytes / 2 - chunk_bytes);
    EXPECT_LE(held[1], pool_bytes / 2 + chunk_bytes);
    take(1, held[1] - chunk_bytes); // 1 KB/s: still far behind
    EXPECT_TRUE(paused[1]);
    take(1, 0);
    EXPECT_FALSE(paused[1]);
    EXPECT_EQ(SlBacklog_Stats(backlog).bytes, 0u);
    EXPECT_EQ(SlBacklog_Stats(backlog).paused, 0u);
}

TEST_F(Backlog, SlowClientsShareThePoolAndKeepNobodyOut)
{
    for (uint64_t streams : {3u, 20u, 500u}) {
        held.clear();
        paused.clear();
        fill(streams);
        struct sl_backlog_stats stats = SlBacklog_Stats(backlog);
        EXPECT_EQ(stats.paused, streams);
        EXPECT_LE(stats.bytes,
                  pool_bytes + streams * (floor_bytes + chunk_bytes));
        add(1001); // a client that reads at once
        EXPECT_FALSE(paused[1001]);
        take(1001, 0);
        for (uint64_t conn = 1; conn <= streams; conn++) {
            EXPECT_GE(held[conn], floor_bytes);
            SlBacklog_OnClosed(backlog, conn);
        }
        EXPECT_EQ(SlBacklog_Stats(backlog).bytes, 0u);
        EXPECT_EQ(SlBacklog_Stats(backlog).paused, 0u);
    }
}

TEST_F(Backlog, TellsSlowClientsFromStalledOnes)
{
    add(1); // reads 1 KB/s
    add(2); // reads nothing
    for (int second = 0; second < 29; second++) {
        now_us += Sl_US_PER_S;
        add(1);
        take(1, held[1] - 1024);
        add(2);
        EXPECT_EQ(SlBacklog_NextStalled(backlog, now_us), 0u);
    }
    now_us += Sl_US_PER_S;
    EXPECT_EQ(SlBacklog_NextStalled(backlog, now_us), 2u);
    EXPECT_EQ(SlBacklog_NextStalled(backlog, now_us), 0u);
    EXPECT_EQ(SlBacklog_Stats(backlog).stalled, 1u);
    EXPECT_EQ(SlBacklog_Stats(backlog).bytes, held[1]);
}

TEST_F(Backlog, CompleteResponsesAreHeldUntilTheyAreTaken)
{
    add(1);
    SlBacklog_OnAdded(backlog, 1, 0, held[1], now_us); // complete
    EXPECT_EQ(SlBacklog_Stats(backlog).bytes, chunk_bytes);
    take(1, 0);
    EXPECT_EQ(SlBacklog_Stats(backlog).bytes, 0u);
    now_us += 2 * stall_us;
    EXPECT_EQ(SlBacklog_NextStalled(backlog, now_us), 0u);
}

// Whole responses cannot be paused: while they exceed the pool, clients that
// read nothing are cut off sooner, and those that read are not.
TEST_F(Backlog, StalledClientsGoSoonerWhileThePoolIsExceeded)
{
    SlBacklog_OnAdded(backlog, 1, 0, pool_bytes, now_us);
    SlBacklog_OnAdded(backlog, 2, 0, pool_bytes, now_us);
    now_us += stall_us / 10;
    SlBacklog_OnTaken(backlog, 1, pool_bytes - 1024, now_us);
    EXPECT_EQ(SlBacklog_NextStalled(backlog, now_us), 2u);
    now_us += stall_us / 10; // within the pool again
    EXPECT_EQ(SlBacklog_NextStalled(backlog, now_us), 0u);
}

// A stream that goes on at another upstream: the new call is not paused yet.
TEST_F(Backlog, PausesTheCallThatTheStreamGoesOnWith)
{
    fill(1);
    SlBacklog_OnAdded(backlog, 1, 7, held[1], now_us);
    fetch_changes();
    EXPECT_TRUE(paused[7]);
    EXPECT_EQ(SlBacklog_Stats(backlog).paused, 1u);
    take(1, 0);
    EXPECT_FALSE(paused[7]);
}

} // namespace
