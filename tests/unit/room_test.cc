// The memory of an engine as room: demand, what is held, fit and turns.
#include <gtest/gtest.h>

extern "C" {
#include "sl_room.h"
}

namespace {

const int64_t memory_tokens = 572085; // with 128 slots
const int64_t long_tokens = 54600;
const int64_t short_tokens = 826;

class Room : public testing::Test {
  protected:
    struct sl_room *room = SlRoom_New();
    struct sl_room_request request = {};

    Room()
    {
        request.memory_tokens = memory_tokens;
        request.routers = 1;
        request.engines = 1;
    }

    ~Room() override
    {
        SlRoom_Free(room);
    }

    enum sl_room_fit
    fit(int64_t tokens)
    {
        request.tokens = tokens;
        return SlRoom_Fit(room, &request);
    }

    // Sends requests until one has no room; returns their number.
    int
    fill(int64_t tokens)
    {
        int sent = 0;
        for (; fit(tokens) == Sl_ROOM_FITS; sent++) {
            SlRoom_OnSent(room, tokens);
        }
        return sent;
    }
};

TEST(RoomDemand, CountsPromptAndExpectedAnswer)
{
    EXPECT_EQ(SlRoom_Demand(1000, 400, 100), 1200);
    EXPECT_EQ(SlRoom_Demand(1000, 400, 300), 1400); // bounded
    EXPECT_EQ(SlRoom_Demand(1000, 400, 0), 1400);
    EXPECT_EQ(SlRoom_Demand(1000, 0, 100), 1200);
    EXPECT_EQ(SlRoom_Demand(-5, -5, -5), 0);
    EXPECT_EQ(SlRoom_Demand(INT64_MAX, INT64_MAX, INT64_MAX), INT64_MAX);
}

TEST_F(Room, LongPromptsFillTheMemoryBeforeTheSlots)
{
    int sent = fill(long_tokens);
    EXPECT_EQ(sent, 9);
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_LATER);
    EXPECT_EQ(fit(short_tokens), Sl_ROOM_FITS); // beside the long ones
    SlRoom_OnEnded(room, long_tokens);
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_FITS);
}

TEST_F(Room, RequestsAboveTheMemoryNeverFit)
{
    EXPECT_EQ(fit(memory_tokens), Sl_ROOM_FITS); // alone
    EXPECT_EQ(fit(memory_tokens + 1), Sl_ROOM_NEVER);
    SlRoom_OnSent(room, short_tokens);
    EXPECT_EQ(fit(memory_tokens), Sl_ROOM_LATER);
    request.memory_tokens = 0; // not known
    EXPECT_EQ(fit(memory_tokens + 1), Sl_ROOM_FITS);
}

TEST_F(Room, CountsWhatPeersHold)
{
    SlRoom_AddPeer(room, long_tokens);
    SlRoom_AddPeer(room, memory_tokens - 2 * long_tokens);
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_LATER);
    EXPECT_EQ(SlRoom_LocalTokens(room), 0);
    SlRoom_ClearPeers(room);
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_FITS);
}

// Routers that do not see each other's requests do not exceed the memory
// together, with all that they send until they hear of each other.
TEST_F(Room, UnseenRoutersShareTheFreeRoom)
{
    const size_t routers = 24;
    request.routers = routers;
    for (int64_t tokens : {short_tokens, (int64_t)12370, long_tokens}) {
        for (int64_t held = 0; held < memory_tokens; held += 40000) {
            int64_t sum = held;
            for (size_t i = 0; i < routers; i++) {
                SlRoom_Reset(room);
                SlRoom_AddPeer(room, held);
                request.has_turn = i == 0;
                sum += fill(tokens) * tokens;
            }
            EXPECT_LE(sum, memory_tokens) << tokens << " " << held;
        }
    }
}

TEST_F(Room, ShareGrowsWithTheNumberOfEngines)
{
    request.routers = 24;
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_IN_TURN);
    EXPECT_EQ(fit(short_tokens), Sl_ROOM_FITS);
    request.engines = 44; // the routers do not all choose this one
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_FITS);
    fill(short_tokens);
    EXPECT_EQ(fit(short_tokens), Sl_ROOM_IN_TURN);
    SlRoom_OnTold(room);
    EXPECT_EQ(fit(short_tokens), Sl_ROOM_FITS);
}

TEST_F(Room, ReservedRoomIsKeptForItsRequest)
{
    request.routers = 24;
    int64_t held = memory_tokens - memory_tokens / 8 - long_tokens;
    SlRoom_AddPeer(room, held);
    SlRoom_Reserve(room, long_tokens);
    EXPECT_EQ(SlRoom_LocalTokens(room), long_tokens); // peers are told
    EXPECT_EQ(fit(short_tokens), Sl_ROOM_LATER);
    request.is_reserved = true;
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_LATER); // others may be sending
    request.is_settled = true;
    EXPECT_EQ(fit(long_tokens), Sl_ROOM_FITS);
    EXPECT_EQ(fit(long_tokens + 1), Sl_ROOM_LATER);
    request.is_reserved = false;
    SlRoom_Reserve(room, 0);
    EXPECT_EQ(fit(short_tokens), Sl_ROOM_FITS);
}

TEST_F(Room, ResetForgetsWhatIsHeld)
{
    SlRoom_OnSent(room, long_tokens);
    SlRoom_AddPeer(room, long_tokens);
    SlRoom_Reserve(room, long_tokens);
    SlRoom_Reset(room);
    EXPECT_EQ(SlRoom_HeldTokens(room), 0);
    SlRoom_OnEnded(room, long_tokens); // of the former process
    EXPECT_EQ(SlRoom_HeldTokens(room), 0);
}

// At each moment, it is the turn of one router; each has its turn in time.
TEST(RoomTurns, GoRound)
{
    const size_t routers = 24;
    const int64_t turn_ms = 230;
    for (uint32_t engine : {0u, 7u, UINT32_MAX}) {
        for (int64_t wall_ms = 1700000000000;
             wall_ms < 1700000000000 + 50 * turn_ms; wall_ms += 37) {
            size_t count = 0;
            for (size_t rank = 0; rank < routers; rank++) {
                int64_t until_ms = SlRoom_UntilTurnMs(wall_ms, turn_ms, engine,
                                                      rank, routers);
                EXPECT_LE(until_ms, (int64_t)routers * turn_ms);
                EXPECT_EQ(SlRoom_UntilTurnMs(wall_ms + until_ms, turn_ms,
                                             engine, rank, routers),
                          0);
                count += until_ms == 0 ? 1 : 0;
            }
            EXPECT_EQ(count, wall_ms % turn_ms < turn_ms / 2 ? 1u : 0u);
        }
    }
    EXPECT_EQ(SlRoom_UntilTurnMs(-5, 230, 3, 0, 1), 0);
}

} // namespace
