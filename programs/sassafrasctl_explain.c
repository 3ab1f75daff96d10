/* `explain`: prints what happened to one request, from the logs of several
 * routers: the lines about the request, and lines about the state of its
 * router when the request arrived and while it ran. A line of the second kind
 * is about a subject: an upstream, a service, a topic of the store ("feed"), a
 * failure domain, a peer, or else the process itself. */
#include "sassafrasctl.h"

#include <errno.h>
#include <string.h>

/* Longest log line that is read; longer lines count as invalid. */
#define Sl_MAX_LINE_BYTES ((size_t)64 * 1024)
/* Members of a line that have columns of their own, or are not printed. */
static const char *const column_keys[] = {"time_ms", "vm",      "level",
                                          "event",   "request", NULL};

/* ---- types ---- */

struct sl_log_line {
    json_int_t time_ms;
    size_t read_index; /* order in which lines were read */
    const char *vm;
    const char *event;
    json_t *json; /* owned; `vm` and `event` point into it */
};

struct sl_explanation {
    struct sl_ctl *ctl;
    const char *request;
    size_t line_count;        /* valid log lines that were read */
    size_t unreadable;        /* lines with a '{' that are not log lines */
    GPtrArray *request_lines; /* struct sl_log_line of the request, owned */
    /* struct sl_log_line of no request, owned. */
    GPtrArray *state_lines;
    /* "VM SUBJECT" -> the subject's newest state line at the arrival. */
    GHashTable *state_at_arrival;
    /* VMs, upstreams and services that lines of the request name. */
    GHashTable *subjects;
};

static void
free_line(gpointer data)
{
    struct sl_log_line *line = data;
    json_decref(line->json);
    g_free(line);
}

static const char *
get_text(const struct sl_log_line *line, const char *key)
{
    return json_string_value(json_object_get(line->json, key));
}

/* ---- reading ---- */

/* Parses a log line, which may have a prefix before its JSON object. Returns
 * NULL for other lines, and counts those whose JSON is invalid or lacks
 * "event" or "vm". The caller owns the result. */
static struct sl_log_line *
parse_line(struct sl_explanation *explanation, const char *text)
{
    const char *start = strchr(text, '{');
    json_error_t json_error;
    if (start == NULL) {
        return NULL;
    }
    json_t *json = json_loads(start, JSON_DISABLE_EOF_CHECK, &json_error);
    const char *event = json_string_value(json_object_get(json, "event"));
    const char *vm = json_string_value(json_object_get(json, "vm"));
    if (event == NULL || vm == NULL) {
        explanation->unreadable++;
        json_decref(json);
        return NULL;
    }
    struct sl_log_line *line = g_new0(struct sl_log_line, 1);
    line->time_ms = json_integer_value(json_object_get(json, "time_ms"));
    line->read_index = explanation->line_count++;
    line->vm = vm;
    line->event = event;
    line->json = json;
    return line;
}

static void
add_line(struct sl_explanation *explanation, const char *text)
{
    struct sl_log_line *line = parse_line(explanation, text);
    if (line == NULL) {
        return;
    }
    const char *request = get_text(line, "request");
    if (request == NULL) {
        g_ptr_array_add(explanation->state_lines, line);
    }
    else if (g_str_equal(request, explanation->request)) {
        g_ptr_array_add(explanation->request_lines, line);
    }
    else {
        free_line(line);
    }
}

static enum sl_errno
read_file(struct sl_explanation *explanation, const char *path,
          struct sl_error *err)
{
    bool is_stdin = g_str_equal(path, "-");
    FILE *file = is_stdin ? stdin : fopen(path, "r");
    char *text = g_malloc(Sl_MAX_LINE_BYTES);
    if (file == NULL) {
        g_free(text);
        return SlError_Set(err, Sl_ERR_INVALID, "explain.read", path, "%s",
                           g_strerror(errno));
    }
    while (fgets(text, (int)Sl_MAX_LINE_BYTES, file) != NULL) {
        add_line(explanation, text);
    }
    if (!is_stdin) {
        (void)fclose(file);
    }
    g_free(text);
    return Sl_OK;
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const struct sl_log_line *x = *(struct sl_log_line *const *)a;
    const struct sl_log_line *y = *(struct sl_log_line *const *)b;
    if (x->time_ms != y->time_ms) {
        return x->time_ms < y->time_ms ? -1 : 1;
    }
    return x->read_index < y->read_index   ? -1
           : x->read_index > y->read_index ? 1
                                           : 0;
}

/* ---- relevant lines ---- */

/* Returns the subject of a state line, or its event if it has none. The newest
 * line of a subject describes the subject's current state. */
static const char *
get_subject(const struct sl_log_line *line)
{
    static const char *const keys[] = {"upstream", "service", "feed", "domain",
                                       "peer"};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        const char *subject = get_text(line, keys[i]);
        if (subject != NULL) {
            return subject;
        }
    }
    return line->event;
}

static bool
names_upstream_or_service(const struct sl_log_line *line)
{
    return get_text(line, "upstream") != NULL ||
           get_text(line, "service") != NULL;
}

/* Returns true if a state line is to be printed. It must come from a VM that
 * handled the request. Lines about upstreams and services are relevant if the
 * request's lines name them; lines about the store, the configuration, failure
 * domains and the process always are, and lines about peers never. */
static bool
is_relevant(const struct sl_explanation *explanation,
            const struct sl_log_line *line)
{
    const char *upstream = get_text(line, "upstream");
    const char *service = get_text(line, "service");
    if (!g_hash_table_contains(explanation->subjects, line->vm) ||
        g_str_has_prefix(line->event, "peer_")) {
        return false;
    }
    if (!names_upstream_or_service(line)) {
        return true;
    }
    if (upstream != NULL) {
        return g_hash_table_contains(explanation->subjects, upstream);
    }
    return g_hash_table_contains(explanation->subjects, service);
}

static void
collect_subjects(struct sl_explanation *explanation)
{
    static const char *const keys[] = {"vm", "upstream", "service", "second"};
    for (guint i = 0; i < explanation->request_lines->len; i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(keys); k++) {
            const char *value =
                get_text(explanation->request_lines->pdata[i], keys[k]);
            if (value != NULL) {
                g_hash_table_add(explanation->subjects, (gpointer)value);
            }
        }
    }
}

static json_int_t
arrival_ms(const struct sl_explanation *explanation)
{
    return ((const struct sl_log_line *)explanation->request_lines->pdata[0])
        ->time_ms;
}

static json_int_t
end_ms(const struct sl_explanation *explanation)
{
    const struct sl_log_line *last =
        explanation->request_lines->pdata[explanation->request_lines->len - 1];
    return last->time_ms;
}

/* ---- output ---- */

static bool
has_own_column(const char *key)
{
    for (const char *const *column_key = column_keys; *column_key != NULL;
         column_key++) {
        if (g_str_equal(*column_key, key)) {
            return true;
        }
    }
    return false;
}

static void
append_members(struct sl_buf *out, const struct sl_log_line *line)
{
    const char *key;
    json_t *value;
    json_object_foreach(line->json, key, value)
    {
        if (has_own_column(key)) {
            continue;
        }
        if (json_is_string(value)) {
            const char *text = json_string_value(value);
            const char *quote = strchr(text, ' ') == NULL ? "" : "\"";
            SlBuf_Printf(out, " %s=%s%s%s", key, quote, text, quote);
        }
        else {
            SlBuf_Printf(out, " %s=%" JSON_INTEGER_FORMAT, key,
                         json_integer_value(value));
        }
    }
}

static void
print_line(const struct sl_explanation *explanation,
           const struct sl_log_line *line, const char *list)
{
    struct sl_buf members = {0};
    append_members(&members, line);
    SlCtl_Print(explanation->ctl,
                "  %+7" JSON_INTEGER_FORMAT " ms  %s  %s%.*s",
                line->time_ms - arrival_ms(explanation), line->vm, line->event,
                (int)members.len, members.ptr == NULL ? "" : members.ptr);
    SlCtl_AddToList(explanation->ctl, list, json_incref(line->json));
    SlBuf_Free(&members);
}

static void
print_state_at_arrival(struct sl_explanation *explanation)
{
    GPtrArray *state_at_arrival = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    for (guint i = 0; i < explanation->state_lines->len; i++) {
        struct sl_log_line *line = explanation->state_lines->pdata[i];
        if (line->time_ms <= arrival_ms(explanation) &&
            is_relevant(explanation, line)) {
            char *subject =
                g_strdup_printf("%s %s", line->vm, get_subject(line));
            g_hash_table_insert(explanation->state_at_arrival, subject, line);
        }
    }
    g_hash_table_iter_init(&iter, explanation->state_at_arrival);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(state_at_arrival, value);
    }
    g_ptr_array_sort(state_at_arrival, compare_lines);
    SlCtl_Print(explanation->ctl, "state when the request arrived:");
    for (guint i = 0; i < state_at_arrival->len; i++) {
        print_line(explanation, state_at_arrival->pdata[i], "believed");
    }
    g_ptr_array_free(state_at_arrival, TRUE);
}

static void
print_timeline(struct sl_explanation *explanation)
{
    GPtrArray *lines = g_ptr_array_new();
    for (guint i = 0; i < explanation->request_lines->len; i++) {
        g_ptr_array_add(lines, explanation->request_lines->pdata[i]);
    }
    for (guint i = 0; i < explanation->state_lines->len; i++) {
        struct sl_log_line *line = explanation->state_lines->pdata[i];
        if (line->time_ms > arrival_ms(explanation) &&
            line->time_ms <= end_ms(explanation) &&
            is_relevant(explanation, line)) {
            g_ptr_array_add(lines, line);
        }
    }
    g_ptr_array_sort(lines, compare_lines);
    SlCtl_Print(explanation->ctl, "timeline:");
    for (guint i = 0; i < lines->len; i++) {
        print_line(explanation, lines->pdata[i], "story");
    }
    g_ptr_array_free(lines, TRUE);
}

/* Returns true if a line of the request reports a failure. */
static bool
is_failure(const struct sl_log_line *line)
{
    static const char *const events[] = {
        "attempt_failed", "call_silent",    "unplaced", "repeat_denied",
        "caller_gone",    "prompt_refused", NULL,
    };
    if (g_strv_contains(events, line->event)) {
        return true;
    }
    json_int_t status =
        json_integer_value(json_object_get(line->json, "status"));
    return status >= 400;
}

/* Prints why admission control let the request wait or refused it, by the last
 * line that tells what its team has. */
static void
print_share(struct sl_explanation *explanation)
{
    const json_t *last = NULL;
    for (guint i = 0; i < explanation->request_lines->len; i++) {
        const struct sl_log_line *line = explanation->request_lines->pdata[i];
        if (json_object_get(line->json, "team_share") != NULL) {
            last = line->json;
        }
    }
    if (last == NULL) {
        return;
    }
    json_int_t share = json_integer_value(json_object_get(last, "team_share"));
    json_int_t wants =
        json_integer_value(json_object_get(last, "team_held")) +
        json_integer_value(json_object_get(last, "team_waiting"));
    json_int_t end_ms =
        json_integer_value(json_object_get(last, "expected_end_ms"));
    json_int_t left_ms = json_integer_value(json_object_get(last, "left_ms"));
    const char *verdict = share < 0       ? "no upstream had room"
                          : wants > share ? "its team wanted more than its "
                                            "fair share"
                                          : "its team was within its fair "
                                            "share, but no upstream had room";
    SlCtl_Print(explanation->ctl,
                "why it waited or was refused: %s (wants %" JSON_INTEGER_FORMAT
                ", share %" JSON_INTEGER_FORMAT
                "); its end was expected in %" JSON_INTEGER_FORMAT
                " ms, with %" JSON_INTEGER_FORMAT " ms left",
                verdict, wants, share, end_ms, left_ms);
}

static void
print_failures(struct sl_explanation *explanation)
{
    bool has_failures = false;
    for (guint i = 0; i < explanation->request_lines->len; i++) {
        if (is_failure(explanation->request_lines->pdata[i])) {
            if (!has_failures) {
                SlCtl_Print(explanation->ctl, "failures:");
            }
            has_failures = true;
            print_line(explanation, explanation->request_lines->pdata[i],
                       "causes");
        }
    }
    const struct sl_log_line *last =
        explanation->request_lines->pdata[explanation->request_lines->len - 1];
    if (!g_str_equal(last->event, "answered") &&
        !g_str_equal(last->event, "caller_gone")) {
        SlCtl_Print(explanation->ctl, "%s",
                    "the end of the request is not in these logs: its process "
                    "was lost, or the logs end earlier");
        SlCtl_SetMember(explanation->ctl, "unfinished", json_true());
    }
    else if (!has_failures) {
        SlCtl_Print(explanation->ctl, "no failures in these logs");
    }
}

static enum sl_errno
print_explanation(struct sl_explanation *explanation, char **paths,
                  struct sl_error *err)
{
    for (; *paths != NULL; paths++) {
        Sl_TRY(read_file(explanation, *paths, err));
    }
    if (explanation->unreadable > 0) {
        SlCtl_Print(explanation->ctl, "%zu lines are not valid log lines",
                    explanation->unreadable);
    }
    if (explanation->request_lines->len == 0) {
        return SlError_Set(err, Sl_ERR_INVALID, "explain", NULL,
                           "none of %zu lines names request \"%.80s\"",
                           explanation->line_count, explanation->request);
    }
    g_ptr_array_sort(explanation->request_lines, compare_lines);
    g_ptr_array_sort(explanation->state_lines, compare_lines);
    collect_subjects(explanation);
    SlCtl_Print(explanation->ctl, "request %s", explanation->request);
    print_state_at_arrival(explanation);
    print_timeline(explanation);
    print_share(explanation);
    print_failures(explanation);
    return Sl_OK;
}

/* ---- public ---- */

enum sl_ctl_exit
SlCtl_Explain(struct sl_ctl *ctl, char **args)
{
    struct sl_error err = {0};
    struct sl_explanation explanation = {.ctl = ctl, .request = args[0]};
    explanation.request_lines = g_ptr_array_new_with_free_func(free_line);
    explanation.state_lines = g_ptr_array_new_with_free_func(free_line);
    explanation.state_at_arrival =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    explanation.subjects = g_hash_table_new(g_str_hash, g_str_equal);
    enum sl_errno code = print_explanation(&explanation, args + 1, &err);
    if (code != Sl_OK) {
        SlCtl_ReportError(ctl, &err);
    }
    g_hash_table_destroy(explanation.subjects);
    g_hash_table_destroy(explanation.state_at_arrival);
    g_ptr_array_free(explanation.state_lines, TRUE);
    g_ptr_array_free(explanation.request_lines, TRUE);
    return SlCtl_ExitCodeOf(code);
}
