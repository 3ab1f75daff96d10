/*
 * sl_adapters: adapters to external services, over HTTP and JSON.
 *
 * The rest of the program calls an external service through the table of
 * function pointers (`..._ops`) of its adapter. Only the file of the adapter
 * knows the protocol of the service, which docs/design/platform-protocols.md
 * describes.
 *
 * Sections, from simple to advanced:
 *   1. HTTP client      requests over the pooled connections of sl_net
 *   2. Log service      append and read
 *   3. VM list          read
 *   4. Upstreams        model engines and plain services: call, load, orders
 *   5. Rating service   rate an answer
 *
 * All operations are asynchronous: the callback that ends an operation
 * (`done`) runs once, later, from the event loop, never from within the
 * function that starts the operation. Views, arrays and JSON values passed to
 * a callback are valid until it returns. `err` is NULL on success; the other
 * arguments are valid only then, unless stated otherwise.
 *
 * The `..._NewHttp()` functions return an adapter that the caller frees with
 * the `free` of its table, either when none of its operations is pending or
 * after the HTTP client. In the second case the callbacks of pending
 * operations never run.
 */
#ifndef Sl_ADAPTERS_H
#define Sl_ADAPTERS_H

#include "sl_common.h"

struct event_base;

/* ---- 1. HTTP client --------------------------------------------------- */

struct sl_adapter_client;

/* Borrows `base`. Free the result with SlAdapterClient_Free(). */
struct sl_adapter_client *SlAdapterClient_New(struct event_base *base);
/* Closes all connections, ends all requests with Sl_ERR_LOST, and frees the
 * client, which may be NULL. Nothing may be sent from the callbacks. */
void SlAdapterClient_Free(struct sl_adapter_client *client);

struct sl_adapter_header {
    const char *name;
    const char *value;
};

#define Sl_ADAPTER_REQUEST_MAX_HEADERS 8

struct sl_adapter_response {
    int status;
    struct sl_str content_type;
    struct sl_str body;     /* empty if it was passed to `on_chunk` */
    int64_t retry_after_us; /* of the Retry-After header, or 0 */
    struct sl_str echo;     /* value of the header `echo_header`, or empty */
};

/* Ends a request. `response` is complete, whatever its status. On error it is
 * NULL, and the code of `err` is Sl_ERR_UNREACHABLE (nothing was sent),
 * Sl_ERR_LOST (the connection was closed before the response was complete, or
 * the response is malformed), Sl_ERR_TIMEOUT or Sl_ERR_TOO_LARGE (of the
 * response). */
typedef void (*sl_adapter_done_fn)(void *context, const struct sl_error *err,
                                   const struct sl_adapter_response *response);
/* Optional. The status line and the headers have arrived. */
typedef void (*sl_adapter_head_fn)(void *context,
                                   const struct sl_adapter_response *head);
/* Optional. The next bytes of the body have arrived; only for status 200. */
typedef void (*sl_adapter_chunk_fn)(void *context, struct sl_str bytes);

struct sl_adapter_request_options {
    const char *peer;      /* `peer` of errors; copied */
    const char *step;      /* `step` of errors, such as "log.read"; copied */
    struct sl_str address; /* "IP:PORT", copied */
    const char *method;    /* "GET", "POST", "PUT" or "DELETE" */
    const char *path;      /* copied */
    const char *content_type; /* of `body`; NULL: JSON */
    struct sl_str body;       /* copied */
    /* Copied; those without a name are skipped. */
    struct sl_adapter_header headers[Sl_ADAPTER_REQUEST_MAX_HEADERS];
    /* Response header in which the peer repeats the request's identifier;
     * static, may be NULL. */
    const char *echo_header;
    int64_t timeout_us; /* without any bytes from the peer */
    /* Uses a new connection instead of an idle one, and closes it at the end.
     * The peer may have closed an idle connection: a request sent on it then
     * ends with Sl_ERR_LOST, although the peer has not run it. */
    bool fresh_connection;
    sl_adapter_done_fn on_done;
    sl_adapter_head_fn on_head;
    sl_adapter_chunk_fn on_chunk;
    void *context;
};

/* Sends a request. Returns a handle for SlAdapterClient_Cancel(), never 0. */
uint64_t
SlAdapterClient_Send(struct sl_adapter_client *client,
                     const struct sl_adapter_request_options *options);
/* Cancels a request: none of its callbacks runs after this. Its connection is
 * closed later, from the event loop. Unknown handles are ignored. */
void SlAdapterClient_Cancel(struct sl_adapter_client *client, uint64_t handle);

/* ---- 2. Log service --------------------------------------------------- */

typedef void (*sl_log_read_done)(void *context, const struct sl_error *err,
                                 const struct sl_log_page *page);
/* `first_offset` is the offset of the first record that was appended. */
typedef void (*sl_log_append_done)(void *context, const struct sl_error *err,
                                   uint64_t first_offset);

struct sl_log_service;

struct sl_log_service_ops {
    /* Reads a page of at most `max` records, from offset `from` on. */
    void (*read)(struct sl_log_service *service, const char *stream,
                 uint64_t from, size_t max, sl_log_read_done done,
                 void *context);
    /* Appends records; `records` is the text of a JSON array of objects. After
     * Sl_ERR_LOST and Sl_ERR_TIMEOUT they may or may not have been
     * appended. */
    void (*append)(struct sl_log_service *service, const char *stream,
                   struct sl_str records, sl_log_append_done done,
                   void *context);
    void (*free)(struct sl_log_service *service);
};

/* Base of the implementations, which have it as their first member. The same
 * holds for the bases of the other adapters below. */
struct sl_log_service {
    const struct sl_log_service_ops *ops;
};

/* Options of all adapters that use HTTP. */
struct sl_adapter_options {
    struct sl_adapter_client *http; /* borrowed; for all operations */
    struct sl_str address;          /* "IP:PORT", copied */
    int64_t timeout_us;             /* without any bytes from the service */
};

struct sl_log_service *
SlLogService_NewHttp(const struct sl_adapter_options *options);

/* ---- 3. VM list ------------------------------------------------------- */

typedef void (*sl_vm_list_done)(void *context, const struct sl_error *err,
                                const struct sl_vm *vms, size_t count);

struct sl_vm_list;

struct sl_vm_list_ops {
    /* Reads all VMs of the platform's list. */
    void (*read)(struct sl_vm_list *list, sl_vm_list_done done, void *context);
    void (*free)(struct sl_vm_list *list);
};

struct sl_vm_list {
    const struct sl_vm_list_ops *ops;
};

struct sl_vm_list *SlVmList_NewHttp(const struct sl_adapter_options *options);

/* ---- 4. Upstreams ----------------------------------------------------- */

/* Callbacks of a call to an upstream. */
struct sl_upstream_request_handlers {
    /* Not called if the status states that the request was not run. */
    void (*on_head)(void *context, int status, struct sl_str content_type);
    void (*on_chunk)(void *context, struct sl_str bytes);
    /* Called last and once. `err` is NULL if the response is complete,
     * including the end marker of an engine's stream. After Sl_ERR_REFUSED and
     * Sl_ERR_UNREACHABLE the upstream has certainly not run the request.
     * `tokens` counts the events of an engine's stream without the last event,
     * which is the end marker of a complete stream. `retry_after_us` is the
     * back-off that the upstream requests, or 0. Both are valid on error
     * too. */
    void (*on_done)(void *context, const struct sl_error *err, uint64_t tokens,
                    int64_t retry_after_us);
    void *context;
};

/* A request for an upstream. Its views are copied. */
struct sl_upstream_request {
    struct sl_name request; /* identifier, which engines echo */
    struct sl_name version; /* of the model; empty for plain services */
    struct sl_name key; /* Idempotency-Key, or empty; plain services only */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type; /* empty: JSON */
    struct sl_str body;
    int64_t priority;   /* engines only */
    int64_t timeout_us; /* without any bytes from the upstream */
    bool idempotent;    /* may run twice; if false, uses a new connection, as
                           all calls to plain services do */
};

typedef void (*sl_load_done)(void *context, const struct sl_error *err,
                             const struct sl_load_report *report);
typedef void (*sl_order_done)(void *context, const struct sl_error *err);

struct sl_upstream_api;

struct sl_upstream_ops {
    /* Starts a call. Returns a handle for `cancel`, never 0. */
    uint64_t (*call)(struct sl_upstream_api *api,
                     const struct sl_upstream_request *request,
                     const struct sl_upstream_request_handlers *handlers);
    /* Cancels a call, and asks an engine to stop the request. No callback of
     * the call runs after this. Unknown handles are ignored. */
    void (*cancel)(struct sl_upstream_api *api, uint64_t call);
    /* Reads the upstream's load report. */
    void (*load)(struct sl_upstream_api *api, sl_load_done done,
                 void *context);
    /* Sends an order: asks an engine to load or unload a version. NULL for
     * plain services, which accept no orders. */
    void (*order)(struct sl_upstream_api *api, const struct sl_order *order,
                  sl_order_done done, void *context);
    void (*free)(struct sl_upstream_api *api);
};

struct sl_upstream_api {
    const struct sl_upstream_ops *ops;
};

struct sl_upstream_api *
SlEngine_NewHttp(const struct sl_adapter_options *options);
struct sl_upstream_api *
SlPlainService_NewHttp(const struct sl_adapter_options *options);

/* ---- 5. Rating service ------------------------------------------------ */

/* `score` is from 0 (bad) to 1 (good). */
typedef void (*sl_rate_done)(void *context, const struct sl_error *err,
                             double score);

struct sl_rating_service;

struct sl_rating_service_ops {
    /* Rates the answer that `version` gave to a request of this kind. */
    void (*rate)(struct sl_rating_service *rating,
                 const struct sl_name *version, const struct sl_name *kind,
                 struct sl_str answer, sl_rate_done done, void *context);
    void (*free)(struct sl_rating_service *rating);
};

struct sl_rating_service {
    const struct sl_rating_service_ops *ops;
};

struct sl_rating_service *
SlRatingService_NewHttp(const struct sl_adapter_options *options);

#endif
