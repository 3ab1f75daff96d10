/* Shared by the adapters of sl_adapters. */
#ifndef Sl_ADAPTERS_INTERNAL_H
#define Sl_ADAPTERS_INTERNAL_H

#include "sl_adapters.h"

/* What every HTTP adapter keeps of its options. */
struct sl_adapter {
    struct sl_evhttp_client *http;
    struct sl_name address;
    int64_t timeout_us;
};

struct sl_adapter SlAdapter_New(const struct sl_adapter_options *options);
/* Options for a request to the adapter's peer; the caller fills the rest. */
struct sl_evhttp_request_options
SlAdapter_MakeRequest(const struct sl_adapter *adapter, const char *peer,
                      const char *step, const char *method, const char *path);
/* Turns a reply into JSON, or an error when the call failed, the status is
 * not 200 or the body is not a JSON object. Free with json_decref(). */
json_t *SlAdapter_ParseJson(const struct sl_error *failed,
                            const struct sl_evhttp_response *reply,
                            const char *peer, const char *step,
                            struct sl_error *err);
/* `GET /load`, which engines and plain services share. */
void SlAdapter_ReadLoad(const struct sl_adapter *adapter, sl_load_done done,
                        void *context);

#endif
