#include "sl_room.h"

/* The client's guess of an answer's length is right at the median: answers may
 * be longer by this factor. */
#define Sl_ANSWER_FACTOR 2
/* Share of the memory that stays free: one in this many tokens. */
#define Sl_SPARE_DIVISOR 8
/* Routers that may send to one engine at the same moment: at least this many,
 * and this many times the routers for each engine. */
#define Sl_MIN_UNSEEN_ROUTERS 2
#define Sl_UNSEEN_FACTOR 4

struct sl_room {
    int64_t local_tokens;    /* of this router's calls */
    int64_t untold_tokens;   /* of those that not all peers have heard of */
    int64_t reserved_tokens; /* for a waiting request of this router */
    int64_t peers_tokens;
};

/* ---- demand ---- */

int64_t
SlRoom_Demand(int64_t prompt_tokens, int64_t max_output_tokens,
              int64_t expected_output_tokens)
{
    int64_t max_tokens = MAX(max_output_tokens, 0);
    int64_t output_tokens = max_tokens;
    if (expected_output_tokens > 0) {
        output_tokens = expected_output_tokens > INT64_MAX / Sl_ANSWER_FACTOR
                            ? INT64_MAX
                            : expected_output_tokens * Sl_ANSWER_FACTOR;
        if (max_tokens > 0) {
            output_tokens = MIN(output_tokens, max_tokens);
        }
    }
    int64_t prompt = MAX(prompt_tokens, 0);
    return output_tokens > INT64_MAX - prompt ? INT64_MAX
                                              : prompt + output_tokens;
}

/* ---- room ---- */

struct sl_room *
SlRoom_New(void)
{
    return g_new0(struct sl_room, 1);
}

void
SlRoom_Free(struct sl_room *room)
{
    g_free(room);
}

void
SlRoom_Reset(struct sl_room *room)
{
    const struct sl_room empty = {0};
    *room = empty;
}

/* Returns the sum of two amounts that are not negative, bounded. */
static int64_t
add_bounded(int64_t a, int64_t b)
{
    return a > INT64_MAX - b ? INT64_MAX : a + b;
}

void
SlRoom_OnSent(struct sl_room *room, int64_t tokens)
{
    room->local_tokens = add_bounded(room->local_tokens, tokens);
    room->untold_tokens = add_bounded(room->untold_tokens, tokens);
}

void
SlRoom_OnEnded(struct sl_room *room, int64_t tokens)
{
    room->local_tokens = MAX(room->local_tokens - tokens, 0);
    room->untold_tokens = MIN(room->untold_tokens, room->local_tokens);
}

void
SlRoom_OnTold(struct sl_room *room)
{
    room->untold_tokens = 0;
}

void
SlRoom_Reserve(struct sl_room *room, int64_t tokens)
{
    room->reserved_tokens = tokens;
}

void
SlRoom_ClearPeers(struct sl_room *room)
{
    room->peers_tokens = 0;
}

void
SlRoom_AddPeer(struct sl_room *room, int64_t tokens)
{
    room->peers_tokens = add_bounded(room->peers_tokens, tokens);
}

int64_t
SlRoom_LocalTokens(const struct sl_room *room)
{
    return add_bounded(room->local_tokens, room->reserved_tokens);
}

int64_t
SlRoom_HeldTokens(const struct sl_room *room)
{
    return add_bounded(SlRoom_LocalTokens(room), room->peers_tokens);
}

/* ---- fit ---- */

/* Returns the number of other routers that may send there at this moment. */
static int64_t
unseen_routers(const struct sl_room_request *request)
{
    size_t others = request->routers > 0 ? request->routers - 1 : 0;
    size_t likely = Sl_MIN_UNSEEN_ROUTERS + Sl_UNSEEN_FACTOR *
                                                request->routers /
                                                MAX(request->engines, 1);
    return (int64_t)MIN(others, likely);
}

enum sl_room_fit
SlRoom_Fit(const struct sl_room *room, const struct sl_room_request *request)
{
    int64_t memory = request->memory_tokens;
    int64_t tokens = request->tokens;
    if (memory <= 0) {
        return Sl_ROOM_FITS;
    }
    if (tokens > memory) {
        return Sl_ROOM_NEVER;
    }
    int64_t held = SlRoom_HeldTokens(room);
    if (request->is_reserved) {
        held -= room->reserved_tokens;
    }
    int64_t usable = held == 0 ? memory : memory - memory / Sl_SPARE_DIVISOR;
    if (tokens > usable - held) {
        return Sl_ROOM_LATER;
    }
    int64_t others = unseen_routers(request);
    if ((request->is_reserved && request->is_settled) || others == 0) {
        return Sl_ROOM_FITS;
    }
    /* Half of the free room is for the router that has its turn, the other
     * half for all others. */
    int64_t half = (usable - held + room->untold_tokens) / 2;
    int64_t untold = room->untold_tokens + tokens;
    if (untold <= (request->has_turn ? half : half / others)) {
        return Sl_ROOM_FITS;
    }
    return untold <= half ? Sl_ROOM_IN_TURN : Sl_ROOM_LATER;
}

/* ---- turns ---- */

int64_t
SlRoom_UntilTurnMs(int64_t wall_ms, int64_t turn_ms, uint32_t engine,
                   size_t rank, size_t routers)
{
    if (routers <= 1 || turn_ms <= 0) {
        return 0;
    }
    uint64_t since_epoch_ms = wall_ms > 0 ? (uint64_t)wall_ms : 0;
    uint64_t turn = since_epoch_ms / (uint64_t)turn_ms + engine;
    uint64_t begun_ms = since_epoch_ms % (uint64_t)turn_ms;
    uint64_t turns_left =
        (rank % routers + routers - turn % routers) % routers;
    if (turns_left == 0 && begun_ms < (uint64_t)turn_ms / 2) {
        return 0;
    }
    turns_left = turns_left == 0 ? routers : turns_left;
    return (int64_t)(turns_left * (uint64_t)turn_ms - begun_ms);
}
