/*
 * sl_adapters: adapters to external services, over HTTP and JSON.
 *
 * The rest of the program calls each external service through a table of
 * function pointers. Only the adapter's file knows the protocol of the
 * service, which docs/design/platform-protocols.md describes.
 *
 * Sections, from simple to advanced:
 *   1. HTTP client      pooled connections on libevent's evhttp
 *   2. Log service      append and read
 *   3. VM list          read
 *   4. Upstreams        model engines and plain services: call, load, orders
 *   5. Rating service   rate an answer
 *
 * All functions are asynchronous: the callback that ends an operation runs
 * once, later, from the event loop, never from within the function. Views and
 * JSON values passed to a callback are valid until it returns. `err` is NULL
 * on success.
 */
#ifndef Sl_ADAPTERS_H
#define Sl_ADAPTERS_H

#include "sl_common.h"

struct event_base;

/* ---- 1. HTTP client --------------------------------------------------- */

struct sl_evhttp_client;

/* Borrows `base`. */
struct sl_evhttp_client *SlEvhttpClient_New(struct event_base *base);
/* Closes all connections without running the callbacks of their requests. */
void SlEvhttpClient_Free(struct sl_evhttp_client *client);

struct sl_evhttp_header {
    const char *name;
    const char *value;
};

#define Sl_EVHTTP_REQUEST_MAX_HEADERS 8

struct sl_evhttp_response {
    int status;
    struct sl_str content_type;
    struct sl_str body;     /* empty if it was passed to `on_chunk` */
    int64_t retry_after_us; /* of the Retry-After header, or 0 */
    struct sl_str echo;     /* value of `echo_header`, or empty */
};

/* Ends a request. `err` distinguishes an unreachable peer (nothing was sent),
 * a lost response and a timeout; `response` is NULL on error. */
typedef void (*sl_evhttp_done_fn)(void *context, const struct sl_error *err,
                                  const struct sl_evhttp_response *response);
/* Optional. The status line and the headers have arrived. */
typedef void (*sl_evhttp_head_fn)(void *context,
                                  const struct sl_evhttp_response *head);
/* Optional. The next bytes of the body have arrived; only for status 200. */
typedef void (*sl_evhttp_chunk_fn)(void *context, struct sl_str bytes);

struct sl_evhttp_request_options {
    const char *peer;      /* name for errors */
    const char *step;      /* step for errors, such as "log.read" */
    struct sl_str address; /* "IP:PORT" */
    const char *method;    /* "GET", "POST", "PUT" or "DELETE" */
    const char *path;
    const char *content_type; /* of `body`; NULL: JSON */
    struct sl_str body;       /* copied */
    /* Copied; those without a name are skipped. */
    struct sl_evhttp_header headers[Sl_EVHTTP_REQUEST_MAX_HEADERS];
    /* Response header in which the peer repeats the request's identifier;
     * static, may be NULL. */
    const char *echo_header;
    int64_t timeout_us; /* without any bytes from the peer */
    /* Uses a new connection. The peer may have closed a pooled one, and then
     * a request that was not run looks like a lost response. */
    bool fresh_connection;
    sl_evhttp_done_fn on_done;
    sl_evhttp_head_fn on_head;
    sl_evhttp_chunk_fn on_chunk;
    void *context;
};

/* Returns a handle for SlEvhttpClient_Cancel(), never 0. */
uint64_t SlEvhttpClient_Send(struct sl_evhttp_client *client,
                             const struct sl_evhttp_request_options *options);
/* Cancels a request: none of its callbacks runs after this. Its connection is
 * closed later, from the event loop. Unknown handles are ignored. */
void SlEvhttpClient_Cancel(struct sl_evhttp_client *client, uint64_t handle);

/* ---- 2. Log service --------------------------------------------------- */

typedef void (*sl_log_read_done)(void *context, const struct sl_error *err,
                                 const struct sl_log_page *page);
typedef void (*sl_log_append_done)(void *context, const struct sl_error *err,
                                   uint64_t first_offset);

struct sl_log_service;

struct sl_log_service_ops {
    void (*read)(struct sl_log_service *service, const char *stream,
                 uint64_t from, size_t max, sl_log_read_done done,
                 void *context);
    /* `records` is the text of a JSON array of objects. After Sl_ERR_LOST and
     * Sl_ERR_TIMEOUT they may or may not have been appended. */
    void (*append)(struct sl_log_service *service, const char *stream,
                   struct sl_str records, sl_log_append_done done,
                   void *context);
    void (*free)(struct sl_log_service *service);
};

/* Base of the implementations, which have it as their first member. */
struct sl_log_service {
    const struct sl_log_service_ops *ops;
};

struct sl_adapter_options {
    struct sl_evhttp_client *http; /* borrowed; must outlive the adapter */
    struct sl_str address;         /* "IP:PORT", copied */
    int64_t timeout_us;
};

struct sl_log_service *
SlLogService_NewHttp(const struct sl_adapter_options *options);

/* ---- 3. VM list ------------------------------------------------------- */

typedef void (*sl_vm_list_done)(void *context, const struct sl_error *err,
                                const struct sl_vm *vms, size_t count);

struct sl_vm_list;

struct sl_vm_list_ops {
    void (*read)(struct sl_vm_list *list, sl_vm_list_done done, void *context);
    void (*free)(struct sl_vm_list *list);
};

struct sl_vm_list {
    const struct sl_vm_list_ops *ops;
};

struct sl_vm_list *SlVmList_NewHttp(const struct sl_adapter_options *options);

/* ---- 4. Upstreams ----------------------------------------------------- */

/* Callbacks of a call to an upstream. `on_done` is called last and once. */
struct sl_upstream_request_handlers {
    void (*on_head)(void *context, int status, struct sl_str content_type);
    void (*on_chunk)(void *context, struct sl_str bytes);
    /* `err` is NULL if the response is complete, including the end marker of
     * an engine's stream. After Sl_ERR_REFUSED and Sl_ERR_UNREACHABLE the
     * upstream has certainly not run the request. `tokens` counts the events
     * of an engine's stream. `retry_after_us` is the back-off that the
     * upstream requests, or 0. */
    void (*on_done)(void *context, const struct sl_error *err, uint64_t tokens,
                    int64_t retry_after_us);
    void *context;
};

struct sl_upstream_request {
    struct sl_name request; /* identifier, which engines echo */
    struct sl_name version; /* empty for plain services */
    struct sl_name key;     /* Idempotency-Key, or empty; plain services */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str body;
    int64_t priority;   /* engines */
    int64_t timeout_us; /* without any bytes from the upstream */
    bool idempotent;
};

typedef void (*sl_load_done)(void *context, const struct sl_error *err,
                             const struct sl_load_report *report);
typedef void (*sl_order_done)(void *context, const struct sl_error *err);

struct sl_upstream_api;

struct sl_upstream_ops {
    /* Returns a handle for `cancel`, never 0. */
    uint64_t (*call)(struct sl_upstream_api *api,
                     const struct sl_upstream_request *request,
                     const struct sl_upstream_request_handlers *handlers);
    /* Cancels a call and notifies an engine, so that it stops the request. No
     * callback of the call runs after this. */
    void (*cancel)(struct sl_upstream_api *api, uint64_t call);
    void (*load)(struct sl_upstream_api *api, sl_load_done done,
                 void *context);
    /* Asks an engine to load or unload a version. NULL for upstreams that
     * accept no orders. */
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

/* `score` is from 0 to 1. */
typedef void (*sl_rate_done)(void *context, const struct sl_error *err,
                             double score);

struct sl_rating_service;

struct sl_rating_service_ops {
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
