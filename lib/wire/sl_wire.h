/*
 * sl_wire: the messages between the system's own processes, and their frames.
 *
 * A frame is a 4-byte big-endian length and that many bytes of msgpack: one
 * array [type, offset, proof_age_us, field, ...]. The fields of each type are
 * given by a table in sl_wire.c, in the order of the struct below.
 *
 * Sections:
 *   1. Identifiers   requests and outcomes
 *   2. Messages      one struct per type, and the tagged union
 *   3. Frames        encode, and a decoder fed with bytes as they arrive
 *
 * A peer speaks Sl_MSG_HELLO first. A hello with another wire version, and
 * any malformed or oversized frame, is an error that ends that connection.
 */
#ifndef Sl_WIRE_H
#define Sl_WIRE_H

#include "sl_common.h"

#define Sl_WIRE_VERSION 1
#define Sl_BODY_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define Sl_FRAME_MAX_BYTES (Sl_BODY_MAX_BYTES + (size_t)64 * 1024)
#define Sl_STATUS_MAX_VERSIONS 32

/* ---- 1. Identifiers --------------------------------------------------- */

/* `boot` is random per start of an entry, `seq` counts its requests. */
struct sl_request_id {
    uint64_t boot;
    uint64_t seq;
};

bool SlRequestId_Equal(struct sl_request_id a, struct sl_request_id b);
/* 32 hexadecimal digits. */
struct sl_name SlRequestId_Name(struct sl_request_id id);

/* What is known of a request's execution. */
enum sl_outcome {
    Sl_OUTCOME_RAN,     /* ran to its end */
    Sl_OUTCOME_NOT_RUN, /* proven: nothing was, is or will be run */
    Sl_OUTCOME_UNKNOWN, /* may have run, wholly or in part */
};

/* "ran", "not-run" or "unknown". */
const char *SlOutcome_Name(enum sl_outcome outcome);

/* ---- 2. Messages ------------------------------------------------------ */

enum sl_msg_type {
    Sl_MSG_HELLO = 1, /* both ways, first on every connection */
    Sl_MSG_RUN,       /* entry -> agent: run one attempt of a request */
    Sl_MSG_HEAD,      /* agent -> entry: the answer begins */
    Sl_MSG_CHUNK,     /* agent -> entry: next bytes of the answer */
    Sl_MSG_END,       /* agent -> entry: the answer is whole */
    Sl_MSG_FAIL,      /* agent -> entry: refused, or broke off */
    Sl_MSG_CANCEL,    /* entry -> agent: the answer is not wanted any more */
    Sl_MSG_RECEIPT,   /* agent -> entry: bill this, its entry is gone */
    Sl_MSG_BILLED,    /* entry -> agent: the bill is in the log */
    Sl_MSG_STATUS,    /* agent -> entry: load, limit, counts per version */
    Sl_MSG_RATED,     /* entry -> agent: score of an answer of its version */
    Sl_MSG_PIN_ASK,   /* entry -> agent: which version has this session? */
    Sl_MSG_PIN_PUT,   /* entry -> agent: pin, unless one is held */
    Sl_MSG_PIN,       /* agent -> entry: the pin held, or none */
    Sl_MSG_PROBE,     /* agent -> agent: which home record do you know? */
    Sl_MSG_PROOF,     /* agent -> agent: the answer to a probe */
    Sl_MSG_PULL,      /* any -> any: send configuration past this offset */
    Sl_MSG_RECORDS,   /* any -> any: the answer to a pull */
    Sl_MSG_TYPES_END,
};

struct sl_msg_hello {
    uint64_t wire_version;
    struct sl_name vm;
    struct sl_name role;
    struct sl_name domain;
    struct sl_name upstream; /* agents only */
    uint64_t boot;
};

struct sl_msg_run {
    struct sl_request_id id;
    uint64_t attempt;
    struct sl_name team;
    struct sl_name session;
    struct sl_name kind;
    struct sl_name version; /* empty for plain services */
    struct sl_name key;     /* the caller's Idempotency-Key, or empty */
    struct sl_name bill;    /* key of the request's bill */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str body;
    int64_t issued_ms;    /* caller's wall clock, 0 when not given */
    int64_t time_left_us; /* until the caller's deadline */
    int64_t accepted_ms;  /* entry's wall clock when it took the request */
};

struct sl_msg_head {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t status;
    struct sl_str content_type;
};

struct sl_msg_chunk {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t position; /* bytes of the answer before this chunk */
    struct sl_str bytes;
};

struct sl_msg_end {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t length; /* bytes of the whole answer */
    uint64_t tokens;
    bool replayed; /* from the home's table: not run again */
};

struct sl_msg_fail {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t outcome; /* enum sl_outcome, never Sl_OUTCOME_RAN */
    uint64_t code;    /* enum sl_errno */
    struct sl_name step;
    struct sl_str text;
    int64_t retry_after_us;
    /* not-run holds of the key: no submission of it accepted so far runs */
    bool covers_key;
};

struct sl_msg_cancel {
    struct sl_request_id id;
    uint64_t attempt;
};

/* What a bill is made of. */
struct sl_msg_receipt {
    struct sl_name bill;
    struct sl_name team;
    struct sl_name kind;
    struct sl_name version;
    struct sl_name upstream;
    uint64_t tokens;
    int64_t cost_micros; /* millionths of the billing currency */
};

struct sl_msg_billed {
    struct sl_name bill;
};

/* Cumulative since the agent's start. */
struct sl_version_counts {
    struct sl_name version;
    bool loaded;
    uint64_t done;
    uint64_t failed;
    uint64_t rated;
    double score_sum;
    int64_t latency_sum_us;
};

struct sl_msg_status {
    uint64_t in_flight;
    uint64_t queued;
    uint64_t limit;   /* requests at a time that the upstream bears now */
    uint64_t running; /* as the upstream last reported */
    uint64_t waiting;
    double warm; /* 0 cold to 1 warm */
    bool draining;
    int64_t service_time_us; /* smoothed time of one request */
    uint64_t version_count;  /* at most Sl_STATUS_MAX_VERSIONS */
    const struct sl_version_counts *versions; /* borrowed */
};

struct sl_msg_rated {
    struct sl_name version;
    double score;
};

/* What a pin is held for. */
struct sl_pin_key {
    struct sl_name team;
    struct sl_name session;
    struct sl_name service;
};

/* Hash and equality for tables whose keys begin with a `struct sl_pin_key`. */
guint SlPinKey_Hash(gconstpointer key);
gboolean SlPinKey_Equal(gconstpointer a, gconstpointer b);

/* For Sl_MSG_PIN_ASK, Sl_MSG_PIN_PUT and Sl_MSG_PIN. */
struct sl_msg_pin {
    struct sl_pin_key key;
    struct sl_name version; /* empty: none held */
};

struct sl_msg_probe {
    struct sl_name service;
    uint64_t nonce;
};

struct sl_msg_proof {
    struct sl_name service;
    uint64_t nonce;
    uint64_t home_revision;
    bool settled;     /* false from a restarted agent that has read no head */
    bool established; /* the move to home_revision is known to be complete */
};

struct sl_msg_pull {
    uint64_t from; /* first offset wanted */
};

struct sl_msg_records {
    bool snapshot; /* `json` is a snapshot, otherwise a list of records */
    struct sl_str json;
};

struct sl_msg {
    enum sl_msg_type type;
    /* Carried by every message. */
    uint64_t offset;      /* sender's configuration offset */
    int64_t proof_age_us; /* age of its last proof of the log's head */
    union {
        struct sl_msg_hello hello;
        struct sl_msg_run run;
        struct sl_msg_head head;
        struct sl_msg_chunk chunk;
        struct sl_msg_end end;
        struct sl_msg_fail fail;
        struct sl_msg_cancel cancel;
        struct sl_msg_receipt receipt;
        struct sl_msg_billed billed;
        struct sl_msg_status status;
        struct sl_msg_rated rated;
        struct sl_msg_pin pin;
        struct sl_msg_probe probe;
        struct sl_msg_proof proof;
        struct sl_msg_pull pull;
        struct sl_msg_records records;
    } u;
};

/* "hello", "run", ...; "invalid" for anything else. */
const char *SlMsg_TypeName(enum sl_msg_type type);

/* ---- 3. Frames -------------------------------------------------------- */

/* Appends the frame of `msg` to `out`. Sl_ERR_TOO_LARGE past
 * Sl_FRAME_MAX_BYTES; `out` is unchanged then. */
enum sl_errno SlWire_Encode(const struct sl_msg *msg, struct sl_buf *out,
                            struct sl_error *err);

struct sl_decoder;

struct sl_decoder *SlDecoder_New(void);
void SlDecoder_Free(struct sl_decoder *decoder);
/* Looks for one frame at the start of `bytes`. Sets `*used` to the bytes of
 * that frame, or to 0 when more bytes are needed. The views in `msg` point
 * into `bytes` and the decoder: valid until either changes. */
enum sl_errno SlDecoder_Next(struct sl_decoder *decoder, struct sl_str bytes,
                             struct sl_msg *msg, size_t *used,
                             struct sl_error *err);

#endif
