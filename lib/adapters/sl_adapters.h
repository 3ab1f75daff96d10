/*
 * sl_adapters: adapters to the outside systems, over HTTP and JSON.
 *
 * Each outside system sits behind a table of function pointers. An adapter's
 * file is the only one that knows that system's protocol, which is written
 * down in docs/design/platform-protocols.md.
 *
 * Sections, from simple to advanced:
 *   1. HTTP client   pooled connections over libevent's evhttp
 *   2. Log service   append and read
 *   3. VM list       read
 *   4. Upstreams     model engines and plain services: call, load, orders
 *   5. Rating        score an answer
 *
 * All calls are asynchronous: the callback runs once, later, from the event
 * loop, never from within the call. Views and JSON values handed to a
 * callback are borrowed for its duration. `err` is NULL on success.
 */
#ifndef Sl_ADAPTERS_H
#define Sl_ADAPTERS_H

#include "sl_common.h"

struct event_base;

/* ---- 1. HTTP client --------------------------------------------------- */

struct sl_evhttp_client;

/* Does not own `base`. */
struct sl_evhttp_client *SlEvhttpClient_New(struct event_base *base);
/* Ends all requests without running their callbacks. */
void SlEvhttpClient_Free(struct sl_evhttp_client *http);

struct sl_evhttp_header {
    const char *name;
    const char *value;
};

#define Sl_EVHTTP_REQUEST_MAX_HEADERS 8

struct sl_evhttp_response {
    int status;
    struct sl_str content_type;
    struct sl_str body;     /* empty when it was passed on in pieces */
    int64_t retry_after_us; /* 0 when not given */
    struct sl_str echo;     /* value of `echo_header`, empty when absent */
};

/* Runs once: `err` tells an unreachable peer (nothing was sent) from a lost
 * answer and a timeout. */
typedef void (*sl_evhttp_done_fn)(void *context, const struct sl_error *err,
                                  const struct sl_evhttp_response *reply);
/* Optional: the status line and headers have arrived. */
typedef void (*sl_evhttp_head_fn)(void *context,
                                  const struct sl_evhttp_response *head);
/* Optional: the next bytes of a 200 answer's body. */
typedef void (*sl_evhttp_chunk_fn)(void *context, struct sl_str bytes);

struct sl_evhttp_request_options {
    const char *peer;      /* name for errors */
    const char *step;      /* step for errors, such as "log.read" */
    struct sl_str address; /* "IP:PORT" */
    const char *method;    /* "GET", "POST", "PUT" or "DELETE" */
    const char *path;
    const char *content_type; /* NULL: JSON when there is a body */
    struct sl_str body;       /* copied */
    struct sl_evhttp_header
        headers[Sl_EVHTTP_REQUEST_MAX_HEADERS]; /* copied */
    /* Header of the answer that names the request; static, may be NULL. */
    const char *echo_header;
    int64_t timeout_us; /* without any bytes from the peer */
    /* Never reuse a pooled connection: the peer may have closed it, which
     * makes a request that was not run look like a lost answer. */
    bool fresh_connection;
    sl_evhttp_done_fn on_done;
    sl_evhttp_head_fn on_head;
    sl_evhttp_chunk_fn on_chunk;
    void *context;
};

/* Returns a handle for SlEvhttpClient_Cancel(), never 0. */
uint64_t SlEvhttpClient_Send(struct sl_evhttp_client *http,
                             const struct sl_evhttp_request_options *options);
/* Closes the request's connection soon; from now on none of its callbacks
 * runs. Unknown handles are ignored. */
void SlEvhttpClient_Cancel(struct sl_evhttp_client *http, uint64_t handle);

/* ---- 2. Log service --------------------------------------------------- */

typedef void (*sl_log_read_done)(void *context, const struct sl_error *err,
                                 const struct sl_log_page *page);
typedef void (*sl_log_append_done)(void *context, const struct sl_error *err,
                                   uint64_t first);

struct sl_log_service;

struct sl_log_service_ops {
    void (*read)(struct sl_log_service *service, const char *stream,
                 uint64_t from, size_t max, sl_log_read_done done,
                 void *context);
    /* `records` is the text of a JSON array of objects. Sl_ERR_LOST and
     * Sl_ERR_TIMEOUT mean that it may have been appended. */
    void (*append)(struct sl_log_service *service, const char *stream,
                   struct sl_str records, sl_log_append_done done,
                   void *context);
    void (*free)(struct sl_log_service *service);
};

/* The first member of every implementation. */
struct sl_log_service {
    const struct sl_log_service_ops *ops;
};

struct sl_adapter_options {
    struct sl_evhttp_client *http; /* borrowed, outlives the adapter */
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

/* What a call to an upstream gives; `on_done` comes last, once. */
struct sl_upstream_request_handlers {
    void (*on_head)(void *context, int status, struct sl_str content_type);
    void (*on_chunk)(void *context, struct sl_str bytes);
    /* Success means that the answer is whole, its end mark included.
     * Sl_ERR_REFUSED and Sl_ERR_UNREACHABLE prove that nothing was run;
     * `retry_after_us` is the upstream's wish, or 0. */
    void (*on_done)(void *context, const struct sl_error *err, uint64_t tokens,
                    int64_t retry_after_us);
    void *context;
};

struct sl_upstream_request {
    struct sl_name request; /* echoed by the upstream */
    struct sl_name version; /* empty for plain services */
    struct sl_name key;     /* Idempotency-Key, or empty */
    struct sl_str method;
    struct sl_str path;
    struct sl_str content_type;
    struct sl_str body;
    int64_t priority;
    int64_t timeout_us; /* without any bytes from the upstream */
    bool idempotent;
};

typedef void (*sl_load_done)(void *context, const struct sl_error *err,
                             const struct sl_load_report *report);
typedef void (*sl_order_done)(void *context, const struct sl_error *err);

struct sl_upstream_api;

struct sl_upstream_ops {
    uint64_t (*call)(struct sl_upstream_api *api,
                     const struct sl_upstream_request *call,
                     const struct sl_upstream_request_handlers *handlers);
    /* Stops a call and tells the upstream; no handler runs after this. */
    void (*cancel)(struct sl_upstream_api *api, uint64_t call);
    void (*load)(struct sl_upstream_api *api, sl_load_done done,
                 void *context);
    /* NULL when the upstream takes no orders. */
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

/* ---- 5. Rating -------------------------------------------------------- */

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
