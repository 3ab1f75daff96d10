/*
 * sl_room: the memory of an engine as room for requests.
 *
 * An engine holds the tokens of its running requests, prompts and answers, and
 * may end if they exceed its memory. Slots alone do not tell: one long prompt
 * holds as much as fifty short ones. Room has two dimensions, then: slots, and
 * tokens, counted over all routers, with what was sent and not yet reported.
 *
 * One `struct sl_room` is of one engine. Nothing here has a clock or a
 * network.
 *
 * Sections, from simple to advanced:
 *   1. Demand  tokens that a request may hold
 *   2. Room    create, free, what is held
 *   3. Fit     whether a request has room
 */
#ifndef Sl_ROOM_H
#define Sl_ROOM_H

#include "sl_common.h"

/* ---- 1. Demand -------------------------------------------------------- */

/* Returns the tokens that a request may come to hold: its prompt, and the
 * answer as far as it is expected. `expected_output_tokens` is the client's
 * guess, 0 if there is none; `max_output_tokens` bounds it. */
int64_t SlRoom_Demand(int64_t prompt_tokens, int64_t max_output_tokens,
                      int64_t expected_output_tokens);

/* ---- 2. Room ---------------------------------------------------------- */

struct sl_room;

struct sl_room *SlRoom_New(void);
void SlRoom_Free(struct sl_room *room);
/* Forgets all that is held: another process has taken the engine's place. */
void SlRoom_Reset(struct sl_room *room);
/* A call of this router with that demand is sent, or has ended. */
void SlRoom_OnSent(struct sl_room *room, int64_t tokens);
void SlRoom_OnEnded(struct sl_room *room, int64_t tokens);
/* Sets what the peers' calls there hold. */
void SlRoom_SetPeers(struct sl_room *room, int64_t tokens);
/* Returns what this router's calls hold, for its digests. */
int64_t SlRoom_LocalTokens(const struct sl_room *room);
/* Returns what the calls of all routers hold. */
int64_t SlRoom_HeldTokens(const struct sl_room *room);

/* ---- 3. Fit ----------------------------------------------------------- */

enum sl_room_fit {
    Sl_ROOM_FITS,
    Sl_ROOM_LATER, /* once others have ended */
    Sl_ROOM_NEVER, /* the request alone exceeds the memory */
};

/* Decides whether a request with the demand fits into `memory_tokens`.
 * `routers` is the number of routers that send there and may do so at this
 * moment, unseen by each other. */
enum sl_room_fit SlRoom_Fit(const struct sl_room *room, int64_t tokens,
                            int64_t memory_tokens, size_t routers);

#endif
