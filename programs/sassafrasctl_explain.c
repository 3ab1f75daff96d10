/* `explain`: the story of one request, from the logs of several routers: its
 * own lines, and what its router believed when it came and while it ran. */
#include "sassafrasctl.h"

#include <errno.h>
#include <string.h>

/* Longest log line that is read; longer ones are counted as unreadable. */
#define Sl_MAX_LINE_BYTES ((size_t)64 * 1024)
/* Members that stand elsewhere in the output. */
static const char *const told_apart[] = {"time_ms", "vm",      "level",
                                         "event",   "request", NULL};

/* ---- types ---- */

struct sl_log_line {
    json_int_t time_ms;
    size_t order; /* of reading */
    const char *vm;
    const char *event;
    json_t *line; /* owned; the texts above are its own */
};

struct sl_explanation {
    struct sl_ctl *ctl;
    const char *request;
    size_t read;
    size_t unreadable;
    GPtrArray *own;       /* struct sl_log_line of the request, owned */
    GPtrArray *beliefs;   /* of the same VMs, no request's, owned */
    GHashTable *known;    /* "vm subject" -> struct sl_log_line, at arrival */
    GHashTable *subjects; /* upstreams, services and VMs it had to do with */
};

static void
free_told(gpointer data)
{
    struct sl_log_line *told = data;
    json_decref(told->line);
    g_free(told);
}

static const char *
text_of(const struct sl_log_line *told, const char *key)
{
    return json_string_value(json_object_get(told->line, key));
}

/* ---- reading ---- */

/* A log line, maybe with something before it; NULL for other lines. */
static struct sl_log_line *
parse_line(struct sl_explanation *story, const char *text)
{
    const char *start = strchr(text, '{');
    json_error_t at;
    if (start == NULL) {
        return NULL;
    }
    json_t *line = json_loads(start, JSON_DISABLE_EOF_CHECK, &at);
    const char *event = json_string_value(json_object_get(line, "event"));
    const char *vm = json_string_value(json_object_get(line, "vm"));
    if (event == NULL || vm == NULL) {
        story->unreadable++;
        json_decref(line);
        return NULL;
    }
    struct sl_log_line *told = g_new0(struct sl_log_line, 1);
    told->time_ms = json_integer_value(json_object_get(line, "time_ms"));
    told->order = story->read++;
    told->vm = vm;
    told->event = event;
    told->line = line;
    return told;
}

static void
take_line(struct sl_explanation *story, const char *text)
{
    struct sl_log_line *told = parse_line(story, text);
    if (told == NULL) {
        return;
    }
    const char *request = text_of(told, "request");
    if (request == NULL) {
        g_ptr_array_add(story->beliefs, told);
    }
    else if (g_str_equal(request, story->request)) {
        g_ptr_array_add(story->own, told);
    }
    else {
        free_told(told);
    }
}

static enum sl_errno
read_file(struct sl_explanation *story, const char *path, struct sl_error *err)
{
    bool is_input = g_str_equal(path, "-");
    FILE *file = is_input ? stdin : fopen(path, "r");
    char *line = g_malloc(Sl_MAX_LINE_BYTES);
    if (file == NULL) {
        g_free(line);
        return SlError_Set(err, Sl_ERR_INVALID, "explain.read", path, "%s",
                           g_strerror(errno));
    }
    while (fgets(line, (int)Sl_MAX_LINE_BYTES, file) != NULL) {
        take_line(story, line);
    }
    if (!is_input) {
        (void)fclose(file);
    }
    g_free(line);
    return Sl_OK;
}

static gint
compare_told(gconstpointer a, gconstpointer b)
{
    const struct sl_log_line *x = *(struct sl_log_line *const *)a;
    const struct sl_log_line *y = *(struct sl_log_line *const *)b;
    if (x->time_ms != y->time_ms) {
        return x->time_ms < y->time_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order ? 1 : 0;
}

/* ---- what belongs to the story ---- */

/* What a belief is about: the newest line on a subject is what holds. */
static const char *
subject_of(const struct sl_log_line *told)
{
    static const char *const keys[] = {"upstream", "service", "feed", "domain",
                                       "peer"};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        const char *subject = text_of(told, keys[i]);
        if (subject != NULL) {
            return subject;
        }
    }
    return told->event;
}

static bool
is_about_one(const struct sl_log_line *told)
{
    return text_of(told, "upstream") != NULL ||
           text_of(told, "service") != NULL;
}

/* Beliefs on upstreams and services count if the request had to do with
 * them; those on the store, the configuration, domains and the process
 * always do. */
static bool
belongs(const struct sl_explanation *story, const struct sl_log_line *told)
{
    const char *upstream = text_of(told, "upstream");
    const char *service = text_of(told, "service");
    if (!g_hash_table_contains(story->subjects, told->vm) ||
        g_str_has_prefix(told->event, "peer_")) {
        return false;
    }
    if (!is_about_one(told)) {
        return true;
    }
    if (upstream != NULL) {
        return g_hash_table_contains(story->subjects, upstream);
    }
    return g_hash_table_contains(story->subjects, service);
}

static void
note_subjects(struct sl_explanation *story)
{
    static const char *const keys[] = {"vm", "upstream", "service", "second"};
    for (guint i = 0; i < story->own->len; i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(keys); k++) {
            const char *value = text_of(story->own->pdata[i], keys[k]);
            if (value != NULL) {
                g_hash_table_add(story->subjects, (gpointer)value);
            }
        }
    }
}

static json_int_t
first_ms(const struct sl_explanation *story)
{
    return ((const struct sl_log_line *)story->own->pdata[0])->time_ms;
}

static json_int_t
last_ms(const struct sl_explanation *story)
{
    const struct sl_log_line *last = story->own->pdata[story->own->len - 1];
    return last->time_ms;
}

/* ---- output ---- */

static bool
is_told_apart(const char *key)
{
    for (const char *const *at = told_apart; *at != NULL; at++) {
        if (g_str_equal(*at, key)) {
            return true;
        }
    }
    return false;
}

static void
append_members(struct sl_buf *out, const struct sl_log_line *told)
{
    const char *key;
    json_t *value;
    json_object_foreach(told->line, key, value)
    {
        if (is_told_apart(key)) {
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
show(const struct sl_explanation *story, const struct sl_log_line *told,
     const char *list)
{
    struct sl_buf members = {0};
    append_members(&members, told);
    SlCtl_Print(story->ctl, "  %+7" JSON_INTEGER_FORMAT " ms  %s  %s%.*s",
                told->time_ms - first_ms(story), told->vm, told->event,
                (int)members.len, members.ptr == NULL ? "" : members.ptr);
    SlCtl_AddToList(story->ctl, list, json_incref(told->line));
    SlBuf_Free(&members);
}

static void
show_known(struct sl_explanation *story)
{
    GPtrArray *known = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    for (guint i = 0; i < story->beliefs->len; i++) {
        struct sl_log_line *told = story->beliefs->pdata[i];
        if (told->time_ms <= first_ms(story) && belongs(story, told)) {
            char *subject =
                g_strdup_printf("%s %s", told->vm, subject_of(told));
            g_hash_table_insert(story->known, subject, told);
        }
    }
    g_hash_table_iter_init(&iter, story->known);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(known, value);
    }
    g_ptr_array_sort(known, compare_told);
    SlCtl_Print(story->ctl, "believed when it came:");
    for (guint i = 0; i < known->len; i++) {
        show(story, known->pdata[i], "believed");
    }
    g_ptr_array_free(known, TRUE);
}

static void
show_story(struct sl_explanation *story)
{
    GPtrArray *lines = g_ptr_array_new();
    for (guint i = 0; i < story->own->len; i++) {
        g_ptr_array_add(lines, story->own->pdata[i]);
    }
    for (guint i = 0; i < story->beliefs->len; i++) {
        struct sl_log_line *told = story->beliefs->pdata[i];
        if (told->time_ms > first_ms(story) &&
            told->time_ms <= last_ms(story) && belongs(story, told)) {
            g_ptr_array_add(lines, told);
        }
    }
    g_ptr_array_sort(lines, compare_told);
    SlCtl_Print(story->ctl, "story:");
    for (guint i = 0; i < lines->len; i++) {
        show(story, lines->pdata[i], "story");
    }
    g_ptr_array_free(lines, TRUE);
}

/* Lines that tell why an attempt, or the request, did not go well. */
static bool
is_cause(const struct sl_log_line *told)
{
    static const char *const events[] = {
        "attempt_failed", "call_silent", "unplaced",
        "repeat_denied",  "caller_gone", NULL,
    };
    if (g_strv_contains(events, told->event)) {
        return true;
    }
    json_int_t status =
        json_integer_value(json_object_get(told->line, "status"));
    return status >= 400;
}

static void
show_causes(struct sl_explanation *story)
{
    bool any = false;
    for (guint i = 0; i < story->own->len; i++) {
        if (is_cause(story->own->pdata[i])) {
            if (!any) {
                SlCtl_Print(story->ctl, "what went wrong:");
            }
            any = true;
            show(story, story->own->pdata[i], "causes");
        }
    }
    const struct sl_log_line *last = story->own->pdata[story->own->len - 1];
    if (!g_str_equal(last->event, "answered") &&
        !g_str_equal(last->event, "caller_gone")) {
        SlCtl_Print(story->ctl, "%s",
                    "its end is not in these logs: the process was lost, or "
                    "the logs end before it");
        SlCtl_SetMember(story->ctl, "unfinished", json_true());
    }
    else if (!any) {
        SlCtl_Print(story->ctl, "nothing went wrong here");
    }
}

static enum sl_errno
explain(struct sl_explanation *story, char **paths, struct sl_error *err)
{
    for (; *paths != NULL; paths++) {
        Sl_TRY(read_file(story, *paths, err));
    }
    if (story->unreadable > 0) {
        SlCtl_Print(story->ctl, "%zu lines could not be read",
                    story->unreadable);
    }
    if (story->own->len == 0) {
        return SlError_Set(err, Sl_ERR_INVALID, "explain", NULL,
                           "no line of %zu names request \"%.80s\"",
                           story->read, story->request);
    }
    g_ptr_array_sort(story->own, compare_told);
    g_ptr_array_sort(story->beliefs, compare_told);
    note_subjects(story);
    SlCtl_Print(story->ctl, "request %s", story->request);
    show_known(story);
    show_story(story);
    show_causes(story);
    return Sl_OK;
}

/* ---- public ---- */

enum sl_ctl_exit
SlCtl_Explain(struct sl_ctl *ctl, char **args)
{
    struct sl_error err = {0};
    struct sl_explanation story = {.ctl = ctl, .request = args[0]};
    story.own = g_ptr_array_new_with_free_func(free_told);
    story.beliefs = g_ptr_array_new_with_free_func(free_told);
    story.known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    story.subjects = g_hash_table_new(g_str_hash, g_str_equal);
    enum sl_errno code = explain(&story, args + 1, &err);
    if (code != Sl_OK) {
        SlCtl_ReportError(ctl, &err);
    }
    g_hash_table_destroy(story.subjects);
    g_hash_table_destroy(story.known);
    g_ptr_array_free(story.beliefs, TRUE);
    g_ptr_array_free(story.own, TRUE);
    return SlCtl_ExitOf(code);
}
