/*
 * Fake VM list service, whose responses can lag behind the current list.
 *
 * Option: --vms FILE   initial list
 * Setting: lag_ms      delay until a change appears in GET /vms
 * Control requests: POST /vms adds or replaces one entry; DELETE /vms/NAME and
 * POST /remove {"vm": NAME} remove one.
 */
#include "common.h"

#include <string.h>

#define Sl_VMS_PATH_PREFIX "/vms/"

/* ---- types ---- */

struct sl_fake_vms {
    int64_t lag_ms;
    char *file;
    struct sl_fake_server *server;
    json_t *current;          /* array of entries */
    json_t *visible;          /* copy of `current` that GET /vms returns */
    int64_t current_revision; /* of `current` */
    int64_t visible_revision;
};

/* A copy of the list that becomes visible after `lag_ms`. */
struct sl_fake_vms_change {
    struct sl_fake_vms *vms;
    json_t *list;
    int64_t revision;
};

/* ---- helpers ---- */

static enum sl_errno
check_choice(const json_t *entry, const char *key, const char *first,
             const char *second, struct sl_error *err)
{
    struct sl_name name;
    Sl_TRY(SlJson_Name(entry, key, true, "VM entry", &name, err));
    if (strcmp(name.text, first) != 0 && strcmp(name.text, second) != 0) {
        return SlError_Set(err, Sl_ERR_INVALID, "vms.check", NULL,
                           "VM entry: \"%s\" is neither %s nor %s", key, first,
                           second);
    }
    return Sl_OK;
}

static enum sl_errno
check_entry(const json_t *entry, struct sl_error *err)
{
    static const char *const keys[] = {
        "vm", "role", "domain", "upstream", "address", "state", NULL};
    struct sl_name name;
    const char *where = "VM entry";
    Sl_TRY(SlJson_CheckKeys(entry, keys, where, err));
    Sl_TRY(SlJson_Name(entry, "vm", true, where, &name, err));
    Sl_TRY(SlJson_Name(entry, "domain", true, where, &name, err));
    Sl_TRY(SlJson_Name(entry, "upstream", false, where, &name, err));
    Sl_TRY(SlJson_Name(entry, "address", true, where, &name, err));
    Sl_TRY(check_choice(entry, "role", "entry", "agent", err));
    return check_choice(entry, "state", "live", "leaving", err);
}

static enum sl_errno
load_vms_file(struct sl_fake_vms *vms, struct sl_error *err)
{
    json_error_t reason;
    json_t *root = json_load_file(vms->file, 0, &reason);
    json_t *list = json_object_get(root, "vms");
    if (!json_is_array(list)) {
        json_decref(root);
        return SlError_Set(err, Sl_ERR_INVALID, "vms.load", vms->file,
                           "%s holds no {\"vms\": [...]}", vms->file);
    }
    enum sl_errno code = Sl_OK;
    for (size_t i = 0; i < json_array_size(list) && code == Sl_OK; i++) {
        code = check_entry(json_array_get(list, i), err);
    }
    json_array_extend(vms->current, list);
    json_decref(root);
    return code;
}

static enum sl_errno
open_vms(void *context, struct sl_fake_server *server, struct sl_error *err)
{
    struct sl_fake_vms *vms = context;
    vms->server = server;
    if (vms->file != NULL) {
        Sl_TRY(load_vms_file(vms, err));
    }
    json_array_extend(vms->visible, vms->current);
    return Sl_OK;
}

static void
on_change_visible(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    struct sl_fake_vms_change *change = arg;
    struct sl_fake_vms *vms = change->vms;
    if (change->revision > vms->visible_revision) {
        json_decref(vms->visible);
        vms->visible = json_incref(change->list);
        vms->visible_revision = change->revision;
    }
    json_decref(change->list);
    g_free(change);
}

static void
schedule_change(struct sl_fake_vms *vms)
{
    struct sl_fake_vms_change *change = g_new0(struct sl_fake_vms_change, 1);
    change->vms = vms;
    change->list = json_copy(vms->current);
    change->revision = ++vms->current_revision;
    if (vms->lag_ms == 0) {
        on_change_visible(-1, 0, change);
    }
    else {
        SlFake_RunAfter(vms->server, vms->lag_ms, on_change_visible, change);
    }
}

static bool
remove_entry(struct sl_fake_vms *vms, const char *name)
{
    for (size_t i = 0; i < json_array_size(vms->current); i++) {
        const json_t *entry = json_array_get(vms->current, i);
        const char *vm = json_string_value(json_object_get(entry, "vm"));
        if (strcmp(vm, name) == 0) {
            json_array_remove(vms->current, i);
            return true;
        }
    }
    return false;
}

static void
serve_remove(struct sl_fake_vms *vms, struct sl_fake_request *request,
             const char *name)
{
    bool removed = name != NULL && remove_entry(vms, name);
    if (removed) {
        schedule_change(vms);
    }
    SlFake_Respond(request, HTTP_OK, json_pack("{s:b}", "removed", removed));
}

static void
serve_upsert(struct sl_fake_vms *vms, struct sl_fake_request *request)
{
    struct sl_error err;
    const json_t *entry = SlFake_ParseJson(request);
    if (entry == NULL) {
        return;
    }
    if (check_entry(entry, &err) != Sl_OK) {
        SlFake_RespondError(request, HTTP_BADREQUEST, "%s", err.text);
        return;
    }
    remove_entry(vms, json_string_value(json_object_get(entry, "vm")));
    json_array_append(vms->current, request->json);
    schedule_change(vms);
    SlFake_Respond(request, HTTP_OK, json_pack("{s:b}", "changed", 1));
}

static void
serve(void *context, struct sl_fake_request *request)
{
    struct sl_fake_vms *vms = context;
    if (SlFake_Matches(request, "GET", "/vms")) {
        SlFake_Respond(request, HTTP_OK,
                       json_pack("{s:O}", "vms", vms->visible));
    }
    else if (SlFake_Matches(request, "POST", "/vms")) {
        serve_upsert(vms, request);
    }
    else if (SlFake_Matches(request, "POST", "/remove")) {
        const json_t *body = SlFake_ParseJson(request);
        if (body != NULL) {
            serve_remove(vms, request,
                         json_string_value(json_object_get(body, "vm")));
        }
    }
    else if (strcmp(request->method, "DELETE") == 0 &&
             g_str_has_prefix(request->path, Sl_VMS_PATH_PREFIX)) {
        serve_remove(vms, request, request->path + strlen(Sl_VMS_PATH_PREFIX));
    }
    else {
        SlFake_RespondError(request, HTTP_NOTFOUND, "no such path");
    }
}

/* ---- public ---- */

int
main(int argc, char **argv)
{
    struct sl_fake_vms vms = {0};
    const struct sl_fake_setting settings[] = {
        {"lag_ms", Sl_FAKE_INT, &vms.lag_ms},
        {0},
    };
    const GOptionEntry options[] = {{"vms", 0, 0, G_OPTION_ARG_FILENAME,
                                     &vms.file, "Initial list of VMs", "FILE"},
                                    {0}};
    const char *const control_patterns[] = {"POST /vms", "POST /remove",
                                            "DELETE /vms/*", NULL};
    const struct sl_fake_spec spec = {
        .summary = "Fake VM list service.",
        .context = &vms,
        .settings = settings,
        .options = options,
        .control_patterns = control_patterns,
        .open = open_vms,
        .serve = serve,
    };
    vms.current = json_array();
    vms.visible = json_array();
    int result = SlFake_RunMain(argc, argv, &spec);
    json_decref(vms.current);
    json_decref(vms.visible);
    g_free(vms.file);
    return result;
}
