/* `wait`, `state` and `counters`: requests to the admin addresses of running
 * processes. */
#include "sassafrasctl.h"

/* Interval of the requests while waiting for a revision. */
#define Sl_POLL_INTERVAL_US (100 * Sl_US_PER_MS)
#define Sl_HTTP_OK 200

/* ---- types ---- */

/* A process and its response to the last request. */
struct sl_process {
    const char *address;
    json_t *response; /* NULL if it failed, for the reason in `err` */
    struct sl_error err;
    size_t *pending; /* number of processes yet to respond */
};

struct sl_processes {
    struct sl_process *list;
    size_t count;
    size_t pending;
};

/* ---- helpers ---- */

static void
on_response(void *context, const struct sl_error *err,
            const struct sl_adapter_response *response)
{
    struct sl_process *process = context;
    (*process->pending)--;
    if (err != NULL) {
        process->err = *err;
        return;
    }
    if (response->status != Sl_HTTP_OK) {
        SlError_Set(&process->err, Sl_ERR_REFUSED, "admin.get",
                    process->address, "status %d", response->status);
        return;
    }
    process->response =
        json_loadb(response->body.ptr, response->body.len, 0, NULL);
    if (process->response == NULL) {
        SlError_Set(&process->err, Sl_ERR_INVALID, "admin.get",
                    process->address, "the response is not JSON");
    }
}

static struct sl_processes
new_processes(const struct sl_ctl *ctl)
{
    struct sl_processes processes = {0};
    char **admin = ctl->options->admin;
    processes.count = admin == NULL ? 0 : g_strv_length(admin);
    processes.list = g_new0(struct sl_process, processes.count + 1);
    for (size_t i = 0; i < processes.count; i++) {
        processes.list[i].address = admin[i];
    }
    return processes;
}

static void
free_processes(struct sl_processes *processes)
{
    for (size_t i = 0; i < processes->count; i++) {
        json_decref(processes->list[i].response);
    }
    g_free(processes->list);
}

/* Sends a GET request to all processes and waits for all responses. */
static void
query_all(struct sl_ctl *ctl, struct sl_processes *processes, const char *path)
{
    processes->pending = processes->count;
    for (size_t i = 0; i < processes->count; i++) {
        struct sl_process *process = &processes->list[i];
        json_decref(process->response);
        process->response = NULL;
        process->pending = &processes->pending;
        const struct sl_adapter_request_options options = {
            .peer = process->address,
            .step = "admin.get",
            .address = SlStr_FromC(process->address),
            .method = "GET",
            .path = path,
            .timeout_us = ctl->timeout_us,
            .on_done = on_response,
            .context = process,
        };
        SlAdapterClient_Send(ctl->http, &options);
    }
    while (processes->pending > 0) {
        SlCtl_RunOnce(ctl);
    }
}

/* Returns the offset up to which a process has applied the configuration, or
 * -1 if it did not report one. */
static json_int_t
get_applied_offset(const struct sl_process *process)
{
    const json_t *config = json_object_get(process->response, "config");
    const json_t *offset = json_object_get(config, "offset");
    return json_is_integer(offset) ? json_integer_value(offset) : -1;
}

/* Counts the processes that have applied `revision`, which is the offset of a
 * record of the configuration. */
static size_t
count_in_force(const struct sl_processes *processes, uint64_t revision)
{
    size_t count = 0;
    for (size_t i = 0; i < processes->count; i++) {
        json_int_t offset = get_applied_offset(&processes->list[i]);
        count += offset >= 0 && (uint64_t)offset >= revision;
    }
    return count;
}

static const char *
get_vm_name(const struct sl_process *process)
{
    const char *vm =
        json_string_value(json_object_get(process->response, "vm"));
    return vm == NULL ? "unknown VM" : vm;
}

/* Prints on how many processes `revision` is in force, and on which not. */
static void
report_in_force(struct sl_ctl *ctl, const struct sl_processes *processes,
                uint64_t revision)
{
    SlCtl_Print(ctl,
                "revision %" G_GUINT64_FORMAT
                " is in force on %zu of %zu processes",
                (guint64)revision, count_in_force(processes, revision),
                processes->count);
    for (size_t i = 0; i < processes->count; i++) {
        const struct sl_process *process = &processes->list[i];
        json_int_t offset = get_applied_offset(process);
        json_t *item = json_pack("{s:s, s:I}", "admin", process->address,
                                 "offset", offset);
        if (process->response == NULL) {
            json_object_set_new(item, "error", json_string(process->err.text));
            SlCtl_Print(ctl, "  %s: no response: %s", process->address,
                        process->err.text);
        }
        else if (offset < 0 || (uint64_t)offset < revision) {
            SlCtl_Print(ctl, "  %s (%s): at offset %" JSON_INTEGER_FORMAT,
                        process->address, get_vm_name(process), offset);
        }
        SlCtl_AddToList(ctl, "processes", item);
    }
    SlCtl_SetMember(ctl, "revision", json_integer((json_int_t)revision));
    SlCtl_SetMember(
        ctl, "in_force",
        json_integer((json_int_t)count_in_force(processes, revision)));
}

/* Adds each counter to the member of the same name in `totals`. */
static void
add_numbers(json_t *totals, const json_t *counters)
{
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)counters, name, value)
    {
        json_int_t sum = json_integer_value(json_object_get(totals, name)) +
                         json_integer_value(value);
        json_object_set_new(totals, name, json_integer(sum));
    }
}

static void
print_counters(const struct sl_ctl *ctl, const char *label,
               const json_t *counters)
{
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)counters, name, value)
    {
        SlCtl_Print(ctl, "%s %s %" JSON_INTEGER_FORMAT, label, name,
                    json_integer_value(value));
    }
}

static void
print_state(const struct sl_ctl *ctl, const struct sl_process *process)
{
    char *text = json_dumps(process->response, JSON_INDENT(2));
    SlCtl_Print(ctl, "%s %s", process->address, text);
    free(text);
}

/* Requests `path` from all processes and prints the responses. With --json,
 * `member` names the member that holds the response of a process: "state" or
 * "counters". Returns Sl_EXIT_UNREACHABLE if a process did not respond. */
static enum sl_ctl_exit
show_responses(struct sl_ctl *ctl, const char *path, const char *member)
{
    struct sl_processes processes = new_processes(ctl);
    enum sl_ctl_exit result = Sl_EXIT_OK;
    json_t *total = json_object();
    query_all(ctl, &processes, path);
    for (size_t i = 0; i < processes.count; i++) {
        const struct sl_process *process = &processes.list[i];
        if (process->response == NULL) {
            SlCtl_ReportError(ctl, &process->err);
            result = Sl_EXIT_UNREACHABLE;
            continue;
        }
        SlCtl_AddToList(ctl, "processes",
                        json_pack("{s:s, s:O}", "admin", process->address,
                                  member, process->response));
        if (g_str_equal(member, "counters")) {
            print_counters(ctl, process->address, process->response);
            add_numbers(total, process->response);
        }
        else {
            print_state(ctl, process);
        }
    }
    if (g_str_equal(member, "counters")) {
        print_counters(ctl, "total", total);
        SlCtl_SetMember(ctl, "total", json_incref(total));
    }
    json_decref(total);
    free_processes(&processes);
    return result;
}

/* ---- public ---- */

enum sl_ctl_exit
SlCtl_WaitForRevision(struct sl_ctl *ctl, uint64_t revision)
{
    struct sl_processes processes = new_processes(ctl);
    int64_t deadline_us =
        g_get_monotonic_time() + ctl->options->wait_ms * Sl_US_PER_MS;
    for (;;) {
        query_all(ctl, &processes, "/state");
        if (count_in_force(&processes, revision) == processes.count ||
            g_get_monotonic_time() >= deadline_us) {
            break;
        }
        SlCtl_Sleep(ctl, Sl_POLL_INTERVAL_US);
    }
    bool is_in_force_on_all =
        count_in_force(&processes, revision) == processes.count;
    report_in_force(ctl, &processes, revision);
    free_processes(&processes);
    return is_in_force_on_all ? Sl_EXIT_OK : Sl_EXIT_NOT_IN_FORCE;
}

enum sl_ctl_exit
SlCtl_Wait(struct sl_ctl *ctl, char **args)
{
    struct sl_error err = {0};
    guint64 revision = 0;
    if (!g_ascii_string_to_unsigned(args[0], 10, 1, INT64_MAX, &revision,
                                    NULL)) {
        SlError_Set(&err, Sl_ERR_INVALID, "config.wait", NULL,
                    "\"%.40s\" is not a revision, allowed: a whole number "
                    "from 1",
                    args[0]);
        SlCtl_ReportError(ctl, &err);
        return Sl_EXIT_USAGE;
    }
    return SlCtl_WaitForRevision(ctl, revision);
}

enum sl_ctl_exit
SlCtl_State(struct sl_ctl *ctl, char **args)
{
    (void)args;
    return show_responses(ctl, "/state", "state");
}

enum sl_ctl_exit
SlCtl_Counters(struct sl_ctl *ctl, char **args)
{
    (void)args;
    return show_responses(ctl, "/counters", "counters");
}
