/*
 * sl_wire: messages between the processes of the system, and their encoding.
 *
 * A frame is a 4-byte big-endian length, followed by that many bytes of
 * msgpack: an array [type, offset, proof_age_us, field, ...]. A table in
 * sl_wire.c lists the fields of each type, in the order of the structs below.
 *
 * An entry is a process that accepts clients' requests; an agent is a process
 * that runs them on the upstream on the same VM. An attempt is one try to run
 * a request, at one agent; the entry numbers the attempts of a request.
 *
 * Sections:
 *   1. Identifiers   requests and outcomes
 *   2. Messages      a struct per type, and the tagged union
 *   3. Frames        encoder and incremental decoder
 *
 * The first message on a connection is Sl_MSG_HELLO, in both directions. A
 * hello with another wire version and any malformed or oversized frame is an
 * error, after which the connection must be closed.
 */
#ifndef Sl_WIRE_H
#define Sl_WIRE_H

#include "sl_common.h"

/* Version of the messages and their fields. */
#define Sl_WIRE_VERSION 1
/* Largest body of a request and largest chunk of a response. */
#define Sl_BODY_MAX_BYTES ((size_t)4 * 1024 * 1024)
/* Largest frame, without its 4 bytes of length: a body and all other
 * fields. */
#define Sl_FRAME_MAX_BYTES (Sl_BODY_MAX_BYTES + (size_t)64 * 1024)
/* Maximum number of versions in a status message. */
#define Sl_STATUS_MAX_VERSIONS 32

/* ---- 1. Identifiers --------------------------------------------------- */

/* Identifies a request in the whole fleet. */
struct sl_request_id {
    uint64_t boot; /* random number that the entry chose when it started */
    uint64_t seq;  /* sequence number of the request at this entry */
};

bool SlRequestId_Equal(struct sl_request_id a, struct sl_request_id b);
/* Formats the id as 32 hexadecimal digits. */
struct sl_name SlRequestId_Name(struct sl_request_id id);

/* What is known about the execution of a request. */
enum sl_outcome {
    Sl_OUTCOME_RAN,     /* ran to completion */
    Sl_OUTCOME_NOT_RUN, /* proven that no part has run or will run */
    Sl_OUTCOME_UNKNOWN, /* may have run, completely or in part */
};

/* "ran", "not-run" or "unknown". */
const char *SlOutcome_Name(enum sl_outcome outcome);

/* ---- 2. Messages ------------------------------------------------------ */

enum sl_msg_type {
    Sl_MSG_HELLO = 1, /* both directions, first on every connection */
    Sl_MSG_RUN,       /* entry -> agent: run an attempt of a request */
    Sl_MSG_HEAD,      /* agent -> entry: HTTP status and type of response */
    Sl_MSG_CHUNK,     /* agent -> entry: next bytes of the response */
    Sl_MSG_END,       /* agent -> entry: the response is complete */
    Sl_MSG_FAIL,      /* agent -> entry: the attempt was refused or failed */
    Sl_MSG_CANCEL,    /* entry -> agent: the response is no longer needed */
    Sl_MSG_RECEIPT,   /* agent -> entry: bill a run whose entry is gone */
    Sl_MSG_BILLED,    /* entry -> agent: the bill is in the log */
    Sl_MSG_STATUS,    /* agent -> entry: load, limit, counts per version */
    Sl_MSG_RATED,     /* entry -> agent: score of an answer of a version */
    Sl_MSG_PIN_ASK,   /* entry -> agent: get the pin of a session */
    Sl_MSG_PIN_PUT,   /* entry -> agent: pin a session that has no pin */
    Sl_MSG_PIN,       /* agent -> entry: the pin that it stores, or none */
    Sl_MSG_PROBE,     /* agent -> agent: get the home record of a service */
    Sl_MSG_PROOF,     /* agent -> agent: response to a probe */
    Sl_MSG_PULL,      /* any -> any: get config records from an offset on */
    Sl_MSG_RECORDS,   /* any -> any: response to a pull */
    Sl_MSG_TYPES_END, /* one past the last type */
};

struct sl_msg_hello {
    uint64_t wire_version;
    struct sl_name vm;
    struct sl_name role;     /* see SlRole_Name() */
    struct sl_name domain;   /* failure domain */
    struct sl_name upstream; /* agents only */
    uint64_t boot;           /* random number chosen when the sender started */
};

struct sl_msg_run {
    struct sl_request_id id;
    uint64_t attempt;
    struct sl_name team;
    struct sl_name session;
    struct sl_name kind;
    struct sl_name version; /* empty for plain services */
    struct sl_name key;     /* the client's Idempotency-Key, or empty */
    struct sl_name bill;    /* key of the bill; one bill counts per key */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str body;
    int64_t issued_ms;    /* when the client sent it, by its clock, or 0 */
    int64_t time_left_us; /* until the client's deadline */
    int64_t accepted_ms; /* when the entry received it, by the entry's clock */
};

struct sl_msg_head {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t status; /* HTTP status */
    struct sl_str content_type;
};

struct sl_msg_chunk {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t position; /* bytes of the response before this chunk */
    struct sl_str bytes;
};

struct sl_msg_end {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t length; /* bytes of the complete response */
    uint64_t tokens; /* generated by the model */
    /* The response of an earlier request with the same idempotency key was
     * sent again; this request was not run. */
    bool replayed;
};

struct sl_msg_fail {
    struct sl_request_id id;
    uint64_t attempt;
    uint64_t outcome; /* enum sl_outcome, never Sl_OUTCOME_RAN */
    uint64_t code;    /* enum sl_errno */
    struct sl_name step;
    struct sl_str text;
    int64_t retry_after_us; /* time to wait before a retry, or 0 */
    /* The outcome not-run holds for the idempotency key, not only for this
     * attempt: none of the requests with this key that were accepted so far
     * will run. */
    bool covers_key;
};

struct sl_msg_cancel {
    struct sl_request_id id;
    uint64_t attempt;
};

/* Contents of a bill, the record of a run that the team pays for. */
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

/* State and counts of a version at an agent. The counts are cumulative since
 * the agent's start. */
struct sl_version_counts {
    struct sl_name version;
    bool loaded;            /* by the upstream */
    uint64_t done;          /* requests that ran to completion */
    uint64_t failed;        /* requests that failed */
    uint64_t rated;         /* answers that were rated */
    double score_sum;       /* of the rated answers */
    int64_t latency_sum_us; /* of the requests that ran to completion */
};

struct sl_msg_status {
    uint64_t in_flight; /* requests that the agent runs */
    uint64_t queued;    /* requests in the agent's queue */
    uint64_t limit;     /* on in_flight at present; 0: takes no requests */
    uint64_t running;   /* requests that the upstream last reported to run */
    uint64_t waiting;   /* requests that it last reported in its queue */
    double warm;        /* 0 cold to 1 warm */
    bool draining;
    int64_t service_time_us; /* smoothed time of one request */
    uint64_t version_count;  /* at most Sl_STATUS_MAX_VERSIONS */
    const struct sl_version_counts *versions; /* borrowed */
};

struct sl_msg_rated {
    struct sl_name version;
    double score; /* 0 to 1 */
};

/* A pin binds a session of a team to a version of a service. */
struct sl_pin_key {
    struct sl_name team;
    struct sl_name session;
    struct sl_name service;
};

/* Hash and equality functions for hash tables whose keys begin with a
 * `struct sl_pin_key`. */
guint SlPinKey_Hash(gconstpointer key);
gboolean SlPinKey_Equal(gconstpointer a, gconstpointer b);

/* For Sl_MSG_PIN_ASK, Sl_MSG_PIN_PUT and Sl_MSG_PIN. */
struct sl_msg_pin {
    struct sl_pin_key key;
    struct sl_name version; /* empty: no pin */
};

/* A home record lists the upstreams that decide on the idempotency keys of a
 * service; see sl_config.h. A move is the change from one home record to the
 * next. */
struct sl_msg_probe {
    struct sl_name service;
    uint64_t nonce; /* number of the probe; the response repeats it */
};

struct sl_msg_proof {
    struct sl_name service;
    uint64_t nonce;         /* of the probe */
    uint64_t home_revision; /* of the sender's home record; 0: it has none */
    /* The sender confirms that it knows no later record. False after its
     * restart, until it has read the log's head or a majority of the members
     * has confirmed the record, and towards a process whose member has
     * restarted since. */
    bool may_confirm;
    bool is_move_complete; /* the move to home_revision is known to be complete
                            */
};

struct sl_msg_pull {
    uint64_t from; /* first offset to send */
};

struct sl_msg_records {
    bool snapshot; /* true: `json` is a snapshot, false: a list of records */
    struct sl_str json;
};

struct sl_msg {
    enum sl_msg_type type;
    /* Offset of the last configuration record that the sender has applied. */
    uint64_t offset;
    /* Time since that offset was last proven to be at the log's head. */
    int64_t proof_age_us;
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

/* Name of a type, such as "hello"; "invalid" for an unknown type. */
const char *SlMsg_TypeName(enum sl_msg_type type);

/* ---- 3. Frames -------------------------------------------------------- */

/* Appends the frame of `msg` to `out`. Fails with Sl_ERR_TOO_LARGE, and leaves
 * the contents of `out` unchanged, if the frame would exceed
 * Sl_FRAME_MAX_BYTES. */
enum sl_errno SlWire_Encode(const struct sl_msg *msg, struct sl_buf *out,
                            struct sl_error *err);

/* Decodes frames, and holds the memory of the message decoded last. */
struct sl_decoder;

struct sl_decoder *SlDecoder_New(void);
/* Accepts NULL. */
void SlDecoder_Free(struct sl_decoder *decoder);
/* Decodes the frame at the start of `bytes` into `msg` and sets `*used` to the
 * size of the frame. If the frame is incomplete, returns Sl_OK and sets
 * `*used` to 0. Fails with Sl_ERR_TOO_LARGE if the frame is too long, with
 * Sl_ERR_REFUSED for a hello of another wire version, and with Sl_ERR_INVALID
 * if the frame is malformed. `msg` is undefined unless a frame was decoded.
 * The views in `msg` point into `bytes` and into the decoder, and are valid
 * until `bytes` changes or the decoder is used again. */
enum sl_errno SlDecoder_Next(struct sl_decoder *decoder, struct sl_str bytes,
                             struct sl_msg *msg, size_t *used,
                             struct sl_error *err);

#endif
