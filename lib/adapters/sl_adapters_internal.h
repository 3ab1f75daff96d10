/* Shared by the adapters of sl_adapters. */
#ifndef Sl_ADAPTERS_INTERNAL_H
#define Sl_ADAPTERS_INTERNAL_H

#include "sl_adapters.h"

/* State that all HTTP adapters have: where and how to call the service. The
 * fields are those of struct sl_adapter_options. */
struct sl_adapter {
    struct sl_adapter_client *http;
    struct sl_name address;
    int64_t timeout_us;
};

struct sl_adapter SlAdapter_New(const struct sl_adapter_options *options);
/* Returns the options of a request to the adapter's service, without body and
 * callbacks. `peer`, `step`, `method` and `path` are borrowed by the
 * options. */
struct sl_adapter_request_options
SlAdapter_MakeRequest(const struct sl_adapter *adapter, const char *peer,
                      const char *step, const char *method, const char *path);
/* Parses the body of a response; `request_err` and `response` are the
 * arguments of the request's `on_done`. Returns NULL and fills `err` if the
 * request failed (with its error), the status is not 200 (Sl_ERR_REFUSED), or
 * the body is not a JSON object (Sl_ERR_INVALID). Free the result with
 * json_decref(). */
json_t *SlAdapter_ParseJson(const struct sl_error *request_err,
                            const struct sl_adapter_response *response,
                            const char *peer, const char *step,
                            struct sl_error *err);
/* Reads the load report of an engine or a plain service with `GET /load`. */
void SlAdapter_ReadLoad(const struct sl_adapter *adapter, sl_load_done done,
                        void *context);

#endif
