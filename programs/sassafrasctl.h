/*
 * Shared by the files of sassafrasctl.
 *
 * Sections, from simple to advanced:
 *   1. Options    of the command line
 *   2. Output     lines of text, or one JSON document
 *   3. Log        synchronous calls of the platform's log service
 *   4. Processes  requests to admin addresses of running processes
 *   5. Commands   one function per command
 */
#ifndef Sl_CTL_H
#define Sl_CTL_H

#include "sl_adapters.h"
#include "sl_config.h"

/* ---- 1. Options ------------------------------------------------------- */

/* Exit codes; listed in --help and docs/operations/sassafrasctl.md. */
enum sl_ctl_exit {
    Sl_EXIT_OK = 0,
    Sl_EXIT_INVALID = 1,
    Sl_EXIT_USAGE = 2,
    Sl_EXIT_CONFLICT = 3,
    Sl_EXIT_UNREACHABLE = 4,
    Sl_EXIT_NOT_IN_FORCE = 5,
};

/* Exit codes of check-platform. */
enum sl_ctl_platform_exit {
    Sl_PLATFORM_EXIT_CLEAN = 0,
    Sl_PLATFORM_EXIT_WARNINGS = 1, /* with --strict */
    Sl_PLATFORM_EXIT_ERRORS = 2,
    Sl_PLATFORM_EXIT_NOT_REACHED = 3, /* the store */
};

/* Options of the command line, checked. */
struct sl_ctl_options {
    char *log;    /* address of the log service, or NULL */
    char *by;     /* operator's name */
    char **admin; /* admin addresses, NULL-terminated; or NULL */
    gboolean json;
    gboolean all;
    gboolean wait;
    int timeout_ms;
    int wait_ms;
    /* Of check-platform. */
    char *store;   /* address of the platform's store, or NULL */
    char *against; /* file with another version, or NULL */
    gboolean strict;
    int deadline_ms; /* longest one that clients send; 0: not known */
};

/* State of one run of the program. */
struct sl_ctl {
    const struct sl_ctl_options *options;
    int64_t timeout_us;
    struct event_base *base;
    struct sl_adapter_client *http;
    struct sl_log_service *log; /* NULL without --log */
    struct sl_config *config;   /* configuration at the offset read so far */
    /* Newest revision of the values that publish found or brought in force. */
    uint64_t revision;
    json_t *report; /* document that --json prints */
};

/* ---- 2. Output -------------------------------------------------------- */

/* Prints a line; does nothing with --json. */
void SlCtl_Print(const struct sl_ctl *ctl, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Prints an error with its step and peer, and adds it to the JSON document. */
void SlCtl_ReportError(struct sl_ctl *ctl, const struct sl_error *err);
/* Appends `item` to the list `name` of the JSON document. Takes over the
 * caller's reference to `item`. */
void SlCtl_AddToList(struct sl_ctl *ctl, const char *name, json_t *item);
/* Sets the member `name` of the JSON document. Takes over the caller's
 * reference to `item`. */
void SlCtl_SetMember(struct sl_ctl *ctl, const char *name, json_t *item);
/* Returns the exit code for the result of an operation. */
enum sl_ctl_exit SlCtl_ExitCodeOf(enum sl_errno code);

/* ---- 3. Log ----------------------------------------------------------- */

#define Sl_CTL_STREAM_CONFIG "config"
#define Sl_CTL_STREAM_SNAPSHOTS "snapshots"
#define Sl_CTL_STREAM_BILLS "bills"

/* Processes one record; an error ends the scan. */
typedef enum sl_errno (*sl_ctl_visit)(void *context, uint64_t offset,
                                      const json_t *value,
                                      struct sl_error *err);

/* A read of a stream, record by record. */
struct sl_ctl_scan {
    const char *stream;
    uint64_t from; /* next offset to read; advanced by the scan */
    sl_ctl_visit visit;
    void *context;
    bool skip_gap;   /* start at the oldest record if `from` was truncated */
    bool one_record; /* read at most one record */
    /* As the log reported last: */
    uint64_t oldest; /* smallest offset still kept */
    uint64_t head;   /* offset of the next record to be appended */
};

/* Reads from `scan->from` to the head. Fails with Sl_ERR_CONFLICT if records
 * from `scan->from` on were truncated and `skip_gap` is not set. */
enum sl_errno SlCtl_Scan(struct sl_ctl *ctl, struct sl_ctl_scan *scan,
                         struct sl_error *err);
/* Appends `records`, a JSON array, and sets `first_offset` to the offset of
 * the first of them. After Sl_ERR_LOST and Sl_ERR_TIMEOUT they may have been
 * appended; after any other error nothing was appended. */
enum sl_errno SlCtl_Append(struct sl_ctl *ctl, const char *stream,
                           struct sl_str records, uint64_t *first_offset,
                           struct sl_error *err);
/* Runs the event loop until at least one event was handled. */
void SlCtl_RunOnce(struct sl_ctl *ctl);
/* Runs the event loop for `us`. */
void SlCtl_Sleep(struct sl_ctl *ctl, int64_t us);

/* Receives each record of a replay and the result of applying it. */
struct sl_ctl_observer {
    void (*on_record)(void *context, uint64_t offset, const json_t *record,
                      enum sl_apply_result apply_result,
                      const struct sl_error *err);
    void *context;
    /* Start from the earliest usable snapshot instead of the newest, so that
     * as many records as possible are replayed. */
    bool earliest;
};

/* Replays the configuration's stream to its head. Continues where the last
 * replay ended; the first one starts from a snapshot if there is one.
 * `observer` may be NULL. */
enum sl_errno SlCtl_ReplayConfig(struct sl_ctl *ctl,
                                 const struct sl_ctl_observer *observer,
                                 struct sl_error *err);

/* Returns true if the key has this value or, for null, has none. */
bool SlCtl_IsInForce(const struct sl_config *config, const char *key,
                     const json_t *value);
/* Applies the items {"key", "value"} of a configuration file in order, as if
 * each were published separately. Skips items that are in force already and
 * stops at the first that is not accepted. */
enum sl_errno SlCtl_ApplyItems(struct sl_config *config, const json_t *items,
                               struct sl_error *err);

/* ---- 4. Processes ----------------------------------------------------- */

/* Waits until all processes at --admin have applied the configuration up to
 * `revision`, the offset of a record, for --wait-ms at the longest, and prints
 * on how many of them it is in force. Returns Sl_EXIT_NOT_IN_FORCE if it is
 * not in force on all of them. */
enum sl_ctl_exit SlCtl_WaitForRevision(struct sl_ctl *ctl, uint64_t revision);

/* ---- 5. Commands ------------------------------------------------------ */

/* Each takes the NULL-terminated arguments after the command's name. */
enum sl_ctl_exit SlCtl_Check(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_Publish(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_Mark(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_Get(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_History(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_Bills(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_Wait(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_State(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_Counters(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_Explain(struct sl_ctl *ctl, char **args);
enum sl_ctl_exit SlCtl_CheckPlatform(struct sl_ctl *ctl, char **args);

#endif
