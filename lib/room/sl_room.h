/*
 * sl_room: the memory of an engine as room for requests.
 *
 * An engine holds the tokens of its running requests, prompts and answers, and
 * may end if they exceed its memory. Slots alone do not tell: one long prompt
 * holds as much as fifty short ones. Room has two dimensions, then: slots, and
 * tokens, counted over all routers, with what was sent and not yet reported.
 *
 * Routers learn of each other's requests with a delay. Until the others have
 * heard of them, the requests that a router sends to an engine take no more
 * than its share of the room that is free there. A larger one waits until it
 * is the router's turn at the engine, or until room that is kept for it has
 * become free.
 *
 * One `struct sl_room` is of one engine. Nothing here has a clock or a
 * network.
 *
 * Sections, from simple to advanced:
 *   1. Demand  tokens that a request may hold
 *   2. Room    create, free, what is held
 *   3. Fit     whether a request has room
 *   4. Turns   which router may send where room is scarce
 */
#ifndef Sl_ROOM_H
#define Sl_ROOM_H

#include "sl_common.h"

/* ---- 1. Demand -------------------------------------------------------- */

/* Returns the tokens that a request may come to hold: its prompt, and the
 * answer as far as it is expected. `expected_output_tokens` is the client's
 * guess, which may be too low by half; 0 if there is none.
 * `max_output_tokens` bounds the answer; 0: no bound. */
int64_t SlRoom_Demand(int64_t prompt_tokens, int64_t max_output_tokens,
                      int64_t expected_output_tokens);

/* ---- 2. Room ---------------------------------------------------------- */

struct sl_room;

struct sl_room *SlRoom_New(void);
/* Frees the room; NULL is allowed. */
void SlRoom_Free(struct sl_room *room);
/* Forgets all that is held: another process has taken the engine's place. */
void SlRoom_Reset(struct sl_room *room);
/* A call of this router with that demand is sent, or has ended. */
void SlRoom_OnSent(struct sl_room *room, int64_t tokens);
void SlRoom_OnEnded(struct sl_room *room, int64_t tokens);
/* All routers have heard of the calls that were sent so far. */
void SlRoom_OnTold(struct sl_room *room);
/* Keeps that much free for a waiting request of this router; 0: nothing. It
 * counts as held. */
void SlRoom_Reserve(struct sl_room *room, int64_t tokens);
/* Sum what the peers' calls there hold: from 0, peer by peer. */
void SlRoom_ClearPeers(struct sl_room *room);
void SlRoom_AddPeer(struct sl_room *room, int64_t tokens);
/* Returns what this router's calls hold, for its digests. */
int64_t SlRoom_LocalTokens(const struct sl_room *room);
/* Returns what the calls of all routers hold. */
int64_t SlRoom_HeldTokens(const struct sl_room *room);

/* ---- 3. Fit ----------------------------------------------------------- */

struct sl_room_request {
    int64_t tokens;        /* its demand */
    int64_t memory_tokens; /* of the engine; 0: not known */
    size_t routers;        /* that send to the service, this one included */
    size_t engines;        /* of the service */
    bool has_turn;         /* it is this router's turn at the engine */
    bool is_reserved;      /* the room that is kept there is for it */
    /* Since the room was reserved, this router has heard of all that the peers
     * sent before they knew. */
    bool is_settled;
};

enum sl_room_fit {
    Sl_ROOM_FITS,
    Sl_ROOM_IN_TURN, /* once it is this router's turn */
    Sl_ROOM_LATER,   /* once others have ended */
    Sl_ROOM_NEVER,   /* the request alone exceeds the memory */
};

/* Decides whether the request fits into the engine's memory. An eighth of it
 * stays free, for answers that are longer than expected, unless the request
 * would be alone there. */
enum sl_room_fit SlRoom_Fit(const struct sl_room *room,
                            const struct sl_room_request *request);

/* ---- 4. Turns --------------------------------------------------------- */

/* Returns the time in ms until it is the turn of the router with that rank
 * among `routers` at the engine; 0: it is now. Turns begin every `turn_ms` by
 * the wall clock, which the routers have in common, and last half of that: the
 * other half is for the others to hear of what was sent. `engine` is a hash
 * of the engine's id: at other engines, it is the turn of other routers. */
int64_t SlRoom_UntilTurnMs(int64_t wall_ms, int64_t turn_ms, uint32_t engine,
                           size_t rank, size_t routers);

#endif
