/* Adapter to the platform's list of VMs. */
#include "sl_adapters_internal.h"

#include <event2/util.h>
#include <netinet/in.h>

/* ---- types ---- */

struct sl_http_vm_list {
    struct sl_vm_list list;
    struct sl_adapter adapter;
};

struct sl_vm_list_request {
    sl_vm_list_done done;
    void *context;
};

/* ---- helpers ---- */

static bool
is_address(const struct sl_name *text)
{
    struct sockaddr_in address;
    int len = sizeof(address);
    return evutil_parse_sockaddr_port(text->text, (struct sockaddr *)&address,
                                      &len) == 0 &&
           address.sin_family == AF_INET && address.sin_port != 0;
}

static enum sl_errno
parse_vm(const json_t *json, struct sl_vm *vm, struct sl_error *err)
{
    struct sl_name role;
    struct sl_name state;
    Sl_TRY(SlJson_Name(json, "vm", true, "VM", &vm->name, err));
    Sl_TRY(SlJson_Name(json, "role", true, vm->name.text, &role, err));
    Sl_TRY(SlJson_Name(json, "state", true, vm->name.text, &state, err));
    Sl_TRY(SlJson_Name(json, "domain", true, vm->name.text, &vm->domain, err));
    Sl_TRY(
        SlJson_Name(json, "address", true, vm->name.text, &vm->address, err));
    if (!is_address(&vm->address)) {
        return SlError_Set(err, Sl_ERR_INVALID, "vms.read", "vms",
                           "VM \"%s\": \"address\" is not of the form IP:PORT",
                           vm->name.text);
    }
    Sl_TRY(SlJson_Name(json, "upstream", false, vm->name.text, &vm->upstream,
                       err));
    vm->leaving = SlStr_Equal(SlName_Str(&state), Sl_STR("leaving"));
    if (!SlRole_Parse(SlName_Str(&role), &vm->role)) {
        return SlError_Set(err, Sl_ERR_INVALID, "vms.read", "vms",
                           "VM \"%s\": role \"%s\" is neither entry nor agent",
                           vm->name.text, role.text);
    }
    return Sl_OK;
}

static enum sl_errno
parse_vms(const json_t *items, struct sl_vm *vms, struct sl_error *err)
{
    size_t i;
    json_t *item;
    json_array_foreach((json_t *)items, i, item)
    {
        Sl_TRY(parse_vm(item, &vms[i], err));
    }
    return Sl_OK;
}

static void
on_vms_response(void *context, const struct sl_error *request_err,
                const struct sl_adapter_response *response)
{
    struct sl_vm_list_request *request = context;
    struct sl_error err = {0};
    json_t *json =
        SlAdapter_ParseJson(request_err, response, "vms", "vms.read", &err);
    const json_t *items = json_object_get(json, "vms");
    size_t count = json_array_size(items);
    struct sl_vm *vms = g_new0(struct sl_vm, count + 1);
    if (json != NULL && !json_is_array(items)) {
        SlError_Set(&err, Sl_ERR_INVALID, "vms.read", "vms",
                    "response lacks \"vms\"");
    }
    if (err.code == Sl_OK && parse_vms(items, vms, &err) == Sl_OK) {
        request->done(request->context, NULL, vms, count);
    }
    else {
        request->done(request->context, &err, NULL, 0);
    }
    g_free(vms);
    json_decref(json);
    g_free(request);
}

static void
http_read(struct sl_vm_list *list, sl_vm_list_done done, void *context)
{
    struct sl_http_vm_list *self = (struct sl_http_vm_list *)list;
    struct sl_vm_list_request *request = g_new0(struct sl_vm_list_request, 1);
    request->done = done;
    request->context = context;
    struct sl_adapter_request_options options = SlAdapter_MakeRequest(
        &self->adapter, "vms", "vms.read", "GET", "/vms");
    options.on_done = on_vms_response;
    options.context = request;
    SlAdapterClient_Send(self->adapter.http, &options);
}

static void
http_free(struct sl_vm_list *list)
{
    g_free(list);
}

static const struct sl_vm_list_ops http_ops = {
    .read = http_read,
    .free = http_free,
};

/* ---- public ---- */

struct sl_vm_list *
SlVmList_NewHttp(const struct sl_adapter_options *options)
{
    struct sl_http_vm_list *self = g_new0(struct sl_http_vm_list, 1);
    self->list.ops = &http_ops;
    self->adapter = SlAdapter_New(options);
    return &self->list;
}
