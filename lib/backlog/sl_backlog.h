/*
 * sl_backlog: bytes of responses that wait for clients to read them.
 *
 * A client may read more slowly than its upstream sends. The upstream cuts off
 * what is left unread for some seconds, so that its bytes are better held
 * here, while the process has memory for them; once it has not, the upstream's
 * connection is read no further until the client has caught up.
 *
 * One pool serves all streams. A stream may hold as many bytes as the pool has
 * left: slow clients share it evenly, the more of them the less for each, and
 * none of them takes what the others need. Clients that read as fast as their
 * upstreams send hold next to nothing.
 *
 * A slow client takes bytes from time to time. One that has taken none for a
 * stated time, although some wait for it, has stalled: its response ends.
 *
 * Nothing here has a clock or a network: all times are the caller's.
 *
 * Sections, from simple to advanced:
 *   1. Pool      create, free, what is held
 *   2. Streams   one response each
 *   3. Stalls    clients that read nothing
 */
#ifndef Sl_BACKLOG_H
#define Sl_BACKLOG_H

#include "sl_common.h"

/* ---- 1. Pool ---------------------------------------------------------- */

struct sl_backlog;

struct sl_backlog_options {
    size_t max_bytes;        /* held for all streams */
    size_t min_stream_bytes; /* that each stream may hold in any case */
    int64_t stall_us;        /* after which a client has stalled; a tenth of
                                it while more is held than `max_bytes` */
};

/* What the pool holds now, and how many clients have stalled so far. */
struct sl_backlog_stats {
    size_t bytes;
    size_t paused;
    uint64_t stalled;
};

struct sl_backlog *SlBacklog_New(const struct sl_backlog_options *options);
/* Frees the pool and all streams; NULL is allowed. */
void SlBacklog_Free(struct sl_backlog *backlog);
struct sl_backlog_stats SlBacklog_Stats(const struct sl_backlog *backlog);

/* ---- 2. Streams ------------------------------------------------------- */

/* Sets the bytes that wait for the client of the connection, which was 0 at
 * first. `call` is the upstream call that they come from; 0: the response is
 * complete. A stream without bytes and without a call is forgotten. */
void SlBacklog_OnAdded(struct sl_backlog *backlog, uint64_t conn,
                       uint64_t call, size_t bytes, int64_t now_us);
/* The client has taken bytes, so that `bytes` of them are left. */
void SlBacklog_OnTaken(struct sl_backlog *backlog, uint64_t conn, size_t bytes,
                       int64_t now_us);
/* The connection is closed. */
void SlBacklog_OnClosed(struct sl_backlog *backlog, uint64_t conn);

/* A call whose reading is to be paused or resumed. */
struct sl_backlog_change {
    uint64_t call;
    bool is_paused;
};

bool SlBacklog_HasChange(const struct sl_backlog *backlog);
/* Returns true and sets `change` if there is another call to pause or to
 * resume; to be called until it returns false. */
bool SlBacklog_NextChange(struct sl_backlog *backlog,
                          struct sl_backlog_change *change);

/* ---- 3. Stalls -------------------------------------------------------- */

/* Returns the connection of a client that has stalled, or 0; to be called
 * until it returns 0. The stream is forgotten. */
uint64_t SlBacklog_NextStalled(struct sl_backlog *backlog, int64_t now_us);

#endif
