/*
 * Framework of the fake services that tests run in place of the platform's
 * systems: an HTTP server that reads and writes JSON, settings, and the faults
 * that every fake can inject (protocols: docs/design/platform-protocols.md).
 *
 * A setting is both a command-line option and a member of the JSON object at
 * /faults. `GET /faults` returns all settings; `POST /faults` changes the
 * given ones. Settings of every fake:
 *   down          close each connection without a response
 *   refuse        reject each request with this HTTP status, without executing
 *                 it; 0 disables this fault
 *   delay_ms      send each response this many milliseconds after the request
 *                 was executed
 *   lose_answers  execute the next N POST requests, but close their
 *                 connections without a response
 * Control requests are sent by tests only and are never subject to faults.
 */
#ifndef Sl_FAKES_COMMON_H
#define Sl_FAKES_COMMON_H

#include "sl_common.h"

#include <event2/event.h>
#include <event2/http.h>

/* ---- types ---- */

enum sl_fake_setting_type {
    Sl_FAKE_BOOL,   /* gboolean */
    Sl_FAKE_INT,    /* int64_t, at least 0 */
    Sl_FAKE_OBJECT, /* json_t *, owned by the setting; not an option */
};

/*
 * A setting. `name` is its key at /faults; the command-line option has dashes
 * in place of underscores.
 */
struct sl_fake_setting {
    const char *name; /* NULL ends a table */
    enum sl_fake_setting_type type;
    void *value; /* points to the variable that holds the value */
};

struct sl_fake_server;

/* One request; valid until its response was sent or it was dropped. */
struct sl_fake_request {
    struct sl_fake_server *server;
    struct evhttp_request *http;
    const char *method;
    char *path;
    char *body;      /* NUL-terminated */
    json_t *json;    /* set by SlFake_ParseJson(); owned by the request */
    bool is_control; /* never subject to faults */
    bool is_dropped; /* the connection is closed without a response */
    int status;
    char *response; /* JSON text, NULL before the response */
};

/* What one fake service adds to the framework. */
struct sl_fake_spec {
    const char *summary;
    void *context;
    const struct sl_fake_setting *settings;
    const GOptionEntry *options; /* may be NULL */
    /*
     * Requests that are control requests: "METHOD PATH", where `*` matches any
     * text; NULL-terminated.
     */
    const char *const *control_patterns;
    /* Called once, before the server listens; may be NULL. */
    enum sl_errno (*open)(void *context, struct sl_fake_server *server,
                          struct sl_error *err);
    /* Handles one request; must end it as described below. */
    void (*serve)(void *context, struct sl_fake_request *request);
    /* Called after POST /faults changed settings; may be NULL. */
    void (*on_faults_changed)(void *context);
    /* Called at exit, before open requests are freed; may be NULL. */
    void (*close)(void *context);
};

/* ---- public ---- */

/*
 * Parses the command line and runs the fake until SIGTERM or SIGINT. Returns
 * the exit status: 0, or 2 after an error, which is printed to stderr.
 */
int SlFake_RunMain(int argc, char **argv, const struct sl_fake_spec *spec);
struct event_base *SlFake_EventBase(const struct sl_fake_server *server);
/* The `delay_ms` setting. */
int64_t SlFake_DelayMs(const struct sl_fake_server *server);
/* Monotonic time. */
int64_t SlFake_NowMs(void);
/* An id that differs for each process; the caller frees it. */
char *SlFake_NewBootId(void);
struct timeval SlFake_MsToTimeval(int64_t ms);
/* Calls `callback` once, `ms` milliseconds from now. */
void SlFake_RunAfter(struct sl_fake_server *server, int64_t ms,
                     event_callback_fn callback, void *arg);

/* True for a request with exactly this method and path. */
bool SlFake_Matches(const struct sl_fake_request *request, const char *method,
                    const char *path);
/* NULL when the header is absent. */
const char *SlFake_Header(const struct sl_fake_request *request,
                          const char *name);
/*
 * The value of a query parameter; `fallback` where it is absent or not an
 * integer of at least 0.
 */
int64_t SlFake_QueryInt(const struct sl_fake_request *request,
                        const char *name, int64_t fallback);
/*
 * The body as a JSON object, owned by the request. Otherwise responds with
 * 400 and returns NULL.
 */
const json_t *SlFake_ParseJson(struct sl_fake_request *request);
/* True when the client has closed its connection. */
bool SlFake_IsDisconnected(const struct sl_fake_request *request);
/*
 * True when the response to this request must be withheld because of
 * `lose_answers`; decrements that setting.
 */
bool SlFake_ConsumeLostResponse(struct sl_fake_request *request);
void SlFake_SetHeader(struct sl_fake_request *request, const char *name,
                      const char *value);

/*
 * Each of the following functions ends the request. SlFake_Respond() takes
 * ownership of `body`.
 */
void SlFake_Respond(struct sl_fake_request *request, int status, json_t *body);
void SlFake_RespondError(struct sl_fake_request *request, int status,
                         const char *format, ...) G_GNUC_PRINTF(3, 4);
/* Closes the connection without a response. */
void SlFake_Drop(struct sl_fake_request *request);
/* Frees a request whose response was sent through `request->http`. */
void SlFake_FreeRequest(struct sl_fake_request *request);

#endif
