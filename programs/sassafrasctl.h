/*
 * Shared by the files of sassafrasctl.
 *
 * Sections, from simple to advanced:
 *   1. Options    what the command line asks for
 *   2. Output     lines of text, or one JSON document
 *   3. Log        synchronous use of the platform's log
 *   4. Processes  the admin addresses of running processes
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

/* The command line, checked. */
struct sl_ctl_options {
    char *log;
    char *by;
    char **admin; /* NULL-ended, or NULL */
    gboolean json;
    gboolean all;
    gboolean wait;
    int timeout_ms;
    int wait_ms;
};

/* One run of the program. */
struct sl_ctl {
    const struct sl_ctl_options *options;
    int64_t timeout_us;
    struct event_base *base;
    struct sl_http *http;
    struct sl_log_service *log; /* NULL without --log */
    struct sl_config *config;   /* the fold, as far as it was read */
    uint64_t revision;          /* the last that this run found in force */
    json_t *report;             /* the JSON document, with --json */
};

/* ---- 2. Output -------------------------------------------------------- */

/* Prints a line, unless --json was given. */
void SlCtl_Print(const struct sl_ctl *ctl, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
/* Prints an error with its step, and adds it to the JSON document. */
void SlCtl_ReportError(struct sl_ctl *ctl, const struct sl_error *err);
/* Adds `item`, whose reference it takes, to the list `name` of the JSON
 * document, or as the member `name`. */
void SlCtl_AddToList(struct sl_ctl *ctl, const char *name, json_t *item);
void SlCtl_SetMember(struct sl_ctl *ctl, const char *name, json_t *item);
/* The exit code for an error. */
enum sl_ctl_exit SlCtl_ExitOf(enum sl_errno code);

/* ---- 3. Log ----------------------------------------------------------- */

#define Sl_STREAM_CONFIG "config"
#define Sl_STREAM_SNAPSHOTS "snapshots"
#define Sl_STREAM_BILLS "bills"

/* Visits one record; an error ends the scan. */
typedef enum sl_errno (*sl_ctl_visit)(void *context, uint64_t offset,
                                      const json_t *value,
                                      struct sl_error *err);

struct sl_ctl_scan {
    const char *stream;
    uint64_t from; /* next offset to read; moved by the scan */
    sl_ctl_visit visit;
    void *context;
    bool skip_gap;   /* go on at the oldest record when some are gone */
    bool one_record; /* read the record at `from` alone */
    uint64_t oldest; /* as the log told last */
    uint64_t head;
};

/* Reads from `scan->from` to the head. Sl_ERR_CONFLICT when records before
 * `scan->oldest` are gone and `skip_gap` is not set. */
enum sl_errno SlCtl_Scan(struct sl_ctl *ctl, struct sl_ctl_scan *scan,
                         struct sl_error *err);
enum sl_errno SlCtl_Append(struct sl_ctl *ctl, const char *stream,
                           struct sl_str records, uint64_t *first,
                           struct sl_error *err);
/* Runs the event loop until something has happened, or for `us`. */
void SlCtl_RunOnce(struct sl_ctl *ctl);
void SlCtl_Sleep(struct sl_ctl *ctl, int64_t us);

struct sl_ctl_observer {
    void (*on_record)(void *context, uint64_t offset, const json_t *record,
                      enum sl_verdict verdict, const struct sl_error *err);
    void *context;
    /* Start from the earliest snapshot that will do, not the newest, to see
     * the verdicts of as many records as can be. */
    bool earliest;
};

/* Reads the configuration to the head of its stream, from a snapshot where
 * the stream was truncated. `watch` may be NULL. */
enum sl_errno SlCtl_ReplayConfig(struct sl_ctl *ctl,
                                 const struct sl_ctl_observer *watch,
                                 struct sl_error *err);

/* True when the key has this value, or none for null. */
bool SlCtl_IsInForce(const struct sl_config *config, const char *key,
                     const json_t *value);
/* Applies the items {"key", "value"} of a configuration file in order, as if
 * each were published alone. Skips those in force already. Stops at the first
 * that is not accepted. */
enum sl_errno SlCtl_ApplyItems(struct sl_config *config, const json_t *items,
                               struct sl_error *err);

/* ---- 4. Processes ----------------------------------------------------- */

/* Waits until the processes at --admin have folded `revision`, and prints on
 * how many it is in force. */
enum sl_ctl_exit SlCtl_WaitForRevision(struct sl_ctl *ctl, uint64_t revision);

/* ---- 5. Commands ------------------------------------------------------ */

/* Each takes the NULL-ended arguments after the command's name. */
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
