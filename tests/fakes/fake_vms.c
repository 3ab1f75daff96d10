/*
 * Stand-in for the VM list, which lags behind the truth.
 *
 * Option: --vms FILE  the list to start with
 * Faults: lag_ms      a change shows only after this long
 * Control: POST /vms with one entry replaces or adds it; DELETE /vms/NAME
 * and POST /remove {"vm": NAME} remove it.
 */
#include "common.h"

#include <string.h>

#define Sl_VMS_PREFIX "/vms/"

/* ---- types ---- */

struct sl_fake_vms {
    int64_t lag_ms;
    char *file;
    struct sl_fake_server *server;
    json_t *truth;    /* array of entries */
    json_t *shown;    /* an earlier copy of `truth` */
    int64_t revision; /* of `truth` */
    int64_t shown_revision;
};

/* A copy of the list that shows later. */
struct sl_fake_vms_change {
    struct sl_fake_vms *vms;
    json_t *list;
    int64_t revision;
};

/* ---- helpers ---- */

static enum sl_errno
check_word(const json_t *entry, const char *key, const char *first,
           const char *second, struct sl_error *err)
{
    struct sl_name word;
    Sl_TRY(SlJson_Name(entry, key, true, "VM entry", &word, err));
    if (strcmp(word.text, first) != 0 && strcmp(word.text, second) != 0) {
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
    Sl_TRY(check_word(entry, "role", "entry", "agent", err));
    return check_word(entry, "state", "live", "leaving", err);
}

static enum sl_errno
load_file(struct sl_fake_vms *vms, struct sl_error *err)
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
    json_array_extend(vms->truth, list);
    json_decref(root);
    return code;
}

static enum sl_errno
open_vms(void *context, struct sl_fake_server *server, struct sl_error *err)
{
    struct sl_fake_vms *vms = context;
    vms->server = server;
    if (vms->file != NULL) {
        Sl_TRY(load_file(vms, err));
    }
    json_array_extend(vms->shown, vms->truth);
    return Sl_OK;
}

static void
show(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    struct sl_fake_vms_change *change = arg;
    struct sl_fake_vms *vms = change->vms;
    if (change->revision > vms->shown_revision) {
        json_decref(vms->shown);
        vms->shown = json_incref(change->list);
        vms->shown_revision = change->revision;
    }
    json_decref(change->list);
    g_free(change);
}

static void
show_later(struct sl_fake_vms *vms)
{
    struct sl_fake_vms_change *change = g_new0(struct sl_fake_vms_change, 1);
    change->vms = vms;
    change->list = json_copy(vms->truth);
    change->revision = ++vms->revision;
    if (vms->lag_ms == 0) {
        show(-1, 0, change);
    }
    else {
        SlFake_After(vms->server, vms->lag_ms, show, change);
    }
}

static bool
remove_entry(struct sl_fake_vms *vms, const char *name)
{
    for (size_t i = 0; i < json_array_size(vms->truth); i++) {
        const json_t *entry = json_array_get(vms->truth, i);
        const char *vm = json_string_value(json_object_get(entry, "vm"));
        if (strcmp(vm, name) == 0) {
            json_array_remove(vms->truth, i);
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
        show_later(vms);
    }
    SlFake_Answer(request, HTTP_OK, json_pack("{s:b}", "removed", removed));
}

static void
serve_put(struct sl_fake_vms *vms, struct sl_fake_request *request)
{
    struct sl_error err;
    const json_t *entry = SlFake_Json(request);
    if (entry == NULL) {
        return;
    }
    if (check_entry(entry, &err) != Sl_OK) {
        SlFake_AnswerError(request, HTTP_BADREQUEST, "%s", err.text);
        return;
    }
    remove_entry(vms, json_string_value(json_object_get(entry, "vm")));
    json_array_append(vms->truth, request->json);
    show_later(vms);
    SlFake_Answer(request, HTTP_OK, json_pack("{s:b}", "changed", 1));
}

static void
serve(void *context, struct sl_fake_request *request)
{
    struct sl_fake_vms *vms = context;
    if (SlFake_Is(request, "GET", "/vms")) {
        SlFake_Answer(request, HTTP_OK, json_pack("{s:O}", "vms", vms->shown));
    }
    else if (SlFake_Is(request, "POST", "/vms")) {
        serve_put(vms, request);
    }
    else if (SlFake_Is(request, "POST", "/remove")) {
        const json_t *body = SlFake_Json(request);
        if (body != NULL) {
            serve_remove(vms, request,
                         json_string_value(json_object_get(body, "vm")));
        }
    }
    else if (strcmp(request->method, "DELETE") == 0 &&
             g_str_has_prefix(request->path, Sl_VMS_PREFIX)) {
        serve_remove(vms, request, request->path + strlen(Sl_VMS_PREFIX));
    }
    else {
        SlFake_AnswerError(request, HTTP_NOTFOUND, "no such path");
    }
}

/* ---- public ---- */

int
main(int argc, char **argv)
{
    struct sl_fake_vms vms = {0};
    const struct sl_fake_field fields[] = {
        {"lag_ms", Sl_FAKE_INT, &vms.lag_ms},
        {0},
    };
    const GOptionEntry options[] = {{"vms", 0, 0, G_OPTION_ARG_FILENAME,
                                     &vms.file, "List to start with", "FILE"},
                                    {0}};
    const char *const control[] = {"POST /vms", "POST /remove",
                                   "DELETE /vms/*", NULL};
    const struct sl_fake_spec spec = {
        .summary = "Stand-in for the list of VMs.",
        .context = &vms,
        .fields = fields,
        .options = options,
        .control = control,
        .open = open_vms,
        .serve = serve,
    };
    vms.truth = json_array();
    vms.shown = json_array();
    int result = SlFake_Main(argc, argv, &spec);
    json_decref(vms.truth);
    json_decref(vms.shown);
    g_free(vms.file);
    return result;
}
