/* `check-platform`: checks routers' settings and routing configurations before
 * they are sent, and shows what differs from the version in force. Reads
 * only. */
#include "sassafrasctl.h"
#include "sl_platform.h"

#include <event2/event.h>
#include <string.h>
#include <unistd.h>

/* ---- types ---- */

/* Something that is wrong in a file. */
struct sl_note {
    bool is_error;
    const char *rule; /* static */
    char *place;      /* JSON pointer, or key of a setting */
    int line;         /* 0: not known */
    char *text;
};

/* A file that is checked. */
struct sl_checked_file {
    const char *path;
    char *content;
    gsize len;
    GArray *notes;              /* struct sl_note */
    size_t error_count;         /* of them */
    struct sl_routing *routing; /* NULL: settings, or errors */
    const char *rule;           /* of the notes that are added */
    bool adds_errors;           /* the notes that are added are errors */
};

/* The version that the files are compared with. */
struct sl_base {
    const char *source; /* path or address */
    struct sl_routing *routing;
};

/* ---- notes ---- */

static void
add_note(struct sl_checked_file *file, const char *rule, struct sl_str place,
         int line, const char *text)
{
    struct sl_note note = {
        .is_error = file->adds_errors,
        .rule = rule,
        .place = g_strndup(place.ptr, place.len),
        .line = line,
        .text = g_strdup(text),
    };
    file->error_count += file->adds_errors ? 1 : 0;
    g_array_append_val(file->notes, note);
}

static void
on_decode_note(void *context, struct sl_str place, int line, const char *text)
{
    struct sl_checked_file *file = context;
    add_note(file, file->rule, place, line, text);
}

static struct sl_note *
note_at(const struct sl_checked_file *file, size_t index)
{
    return &g_array_index(file->notes, struct sl_note, index);
}

/* Sets the lines of notes with a JSON pointer. Where the member is absent, the
 * line is that of its entry. */
static void
set_lines(struct sl_checked_file *file)
{
    size_t count = file->notes->len;
    struct sl_line *lines = g_new0(struct sl_line, 2 * count);
    struct sl_line *entry_lines = lines + count;
    for (size_t i = 0; i < count; i++) {
        const char *place = note_at(file, i)->place;
        const char *member = strrchr(place, '/');
        lines[i].place = SlStr_FromC(place);
        entry_lines[i].place =
            (struct sl_str){place, member == NULL ? 0 : member - place};
    }
    SlPlatform_FindLines((struct sl_str){file->content, file->len}, lines,
                         2 * count);
    for (size_t i = 0; i < count; i++) {
        struct sl_note *note = note_at(file, i);
        if (note->line == 0) {
            note->line =
                lines[i].line > 0 ? lines[i].line : entry_lines[i].line;
        }
    }
    g_free(lines);
}

/* ---- reading files ---- */

static bool
is_configuration(const struct sl_checked_file *file)
{
    gsize at = 0;
    while (at < file->len && g_ascii_isspace(file->content[at])) {
        at++;
    }
    return at < file->len && file->content[at] == '{';
}

/* Reads the file. If that fails, the file has that as its error. */
static void
open_file(struct sl_checked_file *file, const char *path)
{
    GError *error = NULL;
    memset(file, 0, sizeof(*file));
    file->path = path;
    file->notes = g_array_new(FALSE, FALSE, sizeof(struct sl_note));
    file->adds_errors = true;
    if (!g_file_get_contents(path, &file->content, &file->len, &error)) {
        add_note(file, "file", Sl_STR(""), 0,
                 error->code == G_FILE_ERROR_NOENT ? "there is no such file"
                                                   : "it cannot be read");
        g_error_free(error);
    }
}

static void
close_file(struct sl_checked_file *file)
{
    for (guint i = 0; i < file->notes->len; i++) {
        g_free(note_at(file, i)->place);
        g_free(note_at(file, i)->text);
    }
    g_array_free(file->notes, TRUE);
    SlRouting_Unref(file->routing);
    g_free(file->content);
}

/* ---- checks ---- */

/* What the settings tell of the deployment. `regions` has room for one region
 * for each failure domain. */
static void
read_site(const struct sl_platform_settings *settings,
          struct sl_config_site *site, struct sl_name *regions)
{
    site->memory_bytes = settings->memory_mb * 1024 * 1024;
    site->regions = regions;
    site->region_count = 0;
    for (size_t i = 0; i < settings->domain_count; i++) {
        if (!SlName_IsListed(regions, site->region_count,
                             &settings->domains[i].region)) {
            regions[site->region_count++] = settings->domains[i].region;
        }
    }
}

static void
check_settings(struct sl_checked_file *file, struct sl_config_site *site,
               struct sl_name *regions)
{
    struct sl_platform_settings *settings =
        g_new0(struct sl_platform_settings, 1);
    const struct sl_decode_report report = {on_decode_note, file};
    struct sl_error err;
    file->rule = "settings";
    if (SlPlatform_CheckSettings((struct sl_str){file->content, file->len},
                                 &report, settings, &err) == Sl_OK) {
        read_site(settings, site, regions);
    }
    g_free(settings);
}

/* Decodes the file's configuration as a router does. */
static void
decode_configuration(struct sl_checked_file *file)
{
    const struct sl_decode_report report = {on_decode_note, file};
    struct sl_record record = {0};
    file->rule = "unreadable";
    SlPlatform_CheckRouting((struct sl_str){file->content, file->len}, &report,
                            &record);
    if (record.type == Sl_RECORD_ROUTING) {
        file->routing = SlRouting_Ref(record.u.routing);
    }
    SlPlatform_ClearRecord(&record);
}

static void
add_findings(struct sl_checked_file *file, const struct sl_config_site *site)
{
    struct sl_config_findings *findings =
        SlConfigCheck_Run(file->routing, site);
    struct sl_buf place = {0};
    for (size_t i = 0; i < SlConfigFindings_Count(findings); i++) {
        const struct sl_config_finding *finding =
            SlConfigFindings_At(findings, i);
        SlBuf_Clear(&place);
        SlPlatform_AppendPlace(finding, &place);
        add_note(file, finding->rule, SlBuf_Str(&place), 0, finding->text);
    }
    SlBuf_Free(&place);
    SlConfigFindings_Free(findings);
}

static void
check_configuration(struct sl_checked_file *file,
                    const struct sl_config_site *site)
{
    const struct sl_decode_report report = {on_decode_note, file};
    decode_configuration(file);
    file->adds_errors = false;
    file->rule = "member";
    SlPlatform_CheckMembers((struct sl_str){file->content, file->len},
                            &report);
    if (file->routing != NULL) {
        add_findings(file, site);
    }
    if (file->notes->len > 0 && *note_at(file, 0)->place != '\0') {
        set_lines(file);
    }
}

/* ---- the version in force ---- */

struct sl_store_read {
    bool is_done;
    struct sl_error err;
    struct sl_routing *routing; /* NULL: the store has none */
};

static void
on_store_read(void *context, enum sl_feed feed, const struct sl_error *err,
              const struct sl_store_page *page)
{
    struct sl_store_read *read = context;
    (void)feed;
    read->is_done = true;
    if (err != NULL) {
        read->err = *err;
        return;
    }
    for (size_t i = 0; i < page->count; i++) {
        const struct sl_record *record = &page->records[i];
        if (record->type == Sl_RECORD_ROUTING && !record->dropped) {
            SlRouting_Unref(read->routing);
            read->routing = SlRouting_Ref(record->u.routing);
        }
        else if (record->type == Sl_RECORD_UNREADABLE &&
                 record->key_type == Sl_RECORD_ROUTING) {
            read->err = record->u.err;
        }
    }
}

static void
on_store_appended(void *context, uint64_t token, const struct sl_error *err,
                  bool conflict, uint64_t next_offset)
{
    (void)context;
    (void)token;
    (void)err;
    (void)conflict;
    (void)next_offset;
}

/* Reads the configuration in force from the store, for up to --timeout-ms. */
static enum sl_errno
read_store(struct sl_ctl *ctl, struct sl_base *base, struct sl_error *err)
{
    const char *address = ctl->options->store;
    struct sl_store_read read = {0};
    const struct sl_http_client_options http = {.base = ctl->base};
    struct sl_http_client *client = SlHttpClient_New(&http);
    const struct sl_store_options options = {
        .client = client,
        .address = SlName_Of(address),
        .on_read = on_store_read,
        .on_appended = on_store_appended,
        .context = &read,
    };
    struct sl_store *store = SlStore_New(&options);
    int64_t end_us = g_get_monotonic_time() + ctl->timeout_us;
    SlStore_ReadNewest(store, Sl_FEED_OPERATORS);
    while (!read.is_done && g_get_monotonic_time() < end_us) {
        SlCtl_Sleep(ctl, Sl_US_PER_MS);
    }
    SlStore_Free(store);
    SlHttpClient_Free(client);
    base->source = address;
    base->routing = read.routing;
    if (!read.is_done) {
        return SlError_Set(err, Sl_ERR_TIMEOUT, "store.read", address,
                           "no answer within %d ms", ctl->options->timeout_ms);
    }
    if (read.err.code == Sl_OK && read.routing == NULL) {
        return SlError_Set(err, Sl_ERR_INVALID, "store.read", address,
                           "the store has no configuration");
    }
    *err = read.err;
    return read.err.code;
}

static enum sl_errno
read_against(const char *path, struct sl_base *base, struct sl_error *err)
{
    struct sl_checked_file file;
    open_file(&file, path);
    if (file.notes->len == 0) {
        decode_configuration(&file);
    }
    base->source = path;
    base->routing = file.routing == NULL ? NULL : SlRouting_Ref(file.routing);
    enum sl_errno code = file.routing != NULL
                             ? Sl_OK
                             : SlError_Set(err, Sl_ERR_INVALID, "check", path,
                                           "%s", note_at(&file, 0)->text);
    close_file(&file);
    return code;
}

/* Reads the version to compare with, if the options name one. Returns the exit
 * code; 0 if the check goes on. */
static enum sl_ctl_platform_exit
read_base(struct sl_ctl *ctl, struct sl_base *base)
{
    struct sl_error err = {0};
    enum sl_errno code = Sl_OK;
    if (ctl->options->against != NULL) {
        code = read_against(ctl->options->against, base, &err);
    }
    else if (ctl->options->store != NULL) {
        code = read_store(ctl, base, &err);
    }
    if (code == Sl_OK) {
        return Sl_PLATFORM_EXIT_CLEAN;
    }
    SlCtl_ReportError(ctl, &err);
    return code == Sl_ERR_INVALID ? Sl_PLATFORM_EXIT_ERRORS
                                  : Sl_PLATFORM_EXIT_NOT_REACHED;
}

/* ---- output ---- */

static const char *
paint(const char *color)
{
    return isatty(STDOUT_FILENO) && g_getenv("NO_COLOR") == NULL ? color : "";
}

#define Sl_RED "\033[31m"
#define Sl_YELLOW "\033[33m"
#define Sl_PLAIN "\033[0m"

static void
print_notes(const struct sl_ctl *ctl, const struct sl_checked_file *file)
{
    for (guint i = 0; i < file->notes->len; i++) {
        const struct sl_note *note = note_at(file, i);
        char line[32] = "";
        if (note->line > 0) {
            g_snprintf(line, sizeof(line), ":%d", note->line);
        }
        SlCtl_Print(ctl, "%s%s: %s%s%s: %s%s%s", file->path, line,
                    paint(note->is_error ? Sl_RED : Sl_YELLOW),
                    note->is_error ? "error" : "warning", paint(Sl_PLAIN),
                    note->place, *note->place == '\0' ? "" : ": ", note->text);
    }
}

static json_t *
notes_to_json(const struct sl_checked_file *file)
{
    json_t *list = json_array();
    for (guint i = 0; i < file->notes->len; i++) {
        const struct sl_note *note = note_at(file, i);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:i, s:s}", "severity",
                            note->is_error ? "error" : "warning", "rule",
                            note->rule, "place", note->place, "line",
                            note->line, "text", note->text));
    }
    return list;
}

static const char *
entry_name(enum sl_config_entry entry)
{
    static const char *const names[] = {
        [Sl_CONFIG_ENTRY_WHOLE] = "configuration",
        [Sl_CONFIG_ENTRY_SERVICE] = "service",
        [Sl_CONFIG_ENTRY_ROUTE] = "route",
        [Sl_CONFIG_ENTRY_TEAM] = "team",
        [Sl_CONFIG_ENTRY_LIMITS] = "limits",
    };
    return names[entry];
}

static const char *
change_name(enum sl_config_change_type type)
{
    static const char *const names[] = {
        [Sl_CONFIG_ADDED] = "added",
        [Sl_CONFIG_REMOVED] = "removed",
        [Sl_CONFIG_CHANGED] = "changed",
    };
    return names[type];
}

static void
print_change(const struct sl_ctl *ctl, const struct sl_config_change *change)
{
    struct sl_buf line = {0};
    SlBuf_AppendC(&line, entry_name(change->entry));
    if (*change->name != '\0') {
        SlBuf_Printf(&line, " %s", change->name);
    }
    if (change->field == NULL) {
        SlBuf_Printf(&line, ": %s", change_name(change->type));
    }
    else {
        SlBuf_Printf(&line, ": %s: %s -> %s",
                     SlPlatform_FieldKey(change->entry, change->field),
                     change->old_value == NULL ? "none" : change->old_value,
                     change->new_value == NULL ? "none" : change->new_value);
    }
    if (change->consequence != NULL) {
        SlBuf_Printf(&line, "; %s", change->consequence);
    }
    SlCtl_Print(ctl, "  %.*s", (int)line.len, line.ptr);
    SlBuf_Free(&line);
}

static json_t *
change_to_json(const struct sl_config_change *change)
{
    return json_pack("{s:s, s:s, s:s, s:s?, s:s?, s:s?, s:s?}", "change",
                     change_name(change->type), "entry",
                     entry_name(change->entry), "name", change->name, "field",
                     change->field, "old", change->old_value, "new",
                     change->new_value, "consequence", change->consequence);
}

/* Prints what differs from `base`; adds it to `item` for --json. */
static void
show_changes(const struct sl_ctl *ctl, const struct sl_checked_file *file,
             const struct sl_base *base, json_t *item)
{
    struct sl_config_changes *changes =
        SlConfigDiff_Run(base->routing, file->routing);
    size_t count = SlConfigChanges_Count(changes);
    json_t *list = json_array();
    SlCtl_Print(ctl,
                "%s: %zu change%s from version %" G_GINT64_FORMAT
                " of %s to version %" G_GINT64_FORMAT,
                file->path, count, count == 1 ? "" : "s",
                (gint64)SlRouting_Version(base->routing), base->source,
                (gint64)SlRouting_Version(file->routing));
    for (size_t i = 0; i < count; i++) {
        const struct sl_config_change *change = SlConfigChanges_At(changes, i);
        print_change(ctl, change);
        json_array_append_new(list, change_to_json(change));
    }
    json_object_set_new(
        item, "against",
        json_pack("{s:s, s:I}", "source", base->source, "version",
                  (json_int_t)SlRouting_Version(base->routing)));
    json_object_set_new(item, "changes", list);
    SlConfigChanges_Free(changes);
}

static void
show_file(struct sl_ctl *ctl, const struct sl_checked_file *file,
          const struct sl_base *base)
{
    size_t warning_count = file->notes->len - file->error_count;
    json_t *item =
        json_pack("{s:s, s:b, s:o}", "file", file->path, "valid",
                  file->error_count == 0, "findings", notes_to_json(file));
    if (file->notes->len == 0) {
        SlCtl_Print(ctl, "%s: valid", file->path);
    }
    else {
        SlCtl_Print(ctl, "%s: %s, %zu error%s, %zu warning%s", file->path,
                    file->error_count == 0 ? "valid" : "invalid",
                    file->error_count, file->error_count == 1 ? "" : "s",
                    warning_count, warning_count == 1 ? "" : "s");
    }
    if (file->error_count > 0) {
        json_object_set_new(item, "error",
                            json_string(note_at(file, 0)->text));
    }
    print_notes(ctl, file);
    if (base->routing != NULL && file->routing != NULL) {
        show_changes(ctl, file, base, item);
    }
    SlCtl_AddToList(ctl, "files", item);
}

/* ---- public ---- */

/* Checks all files. Settings come first: they tell what the configurations are
 * checked against. */
static enum sl_ctl_platform_exit
check_files(struct sl_ctl *ctl, struct sl_checked_file *files, size_t count,
            const struct sl_base *base)
{
    static struct sl_name regions[Sl_MAX_DOMAINS];
    struct sl_config_site site = {
        .client_deadline_us = ctl->options->deadline_ms * Sl_US_PER_MS,
    };
    enum sl_ctl_platform_exit result = Sl_PLATFORM_EXIT_CLEAN;
    for (size_t i = 0; i < count; i++) {
        if (files[i].notes->len == 0 && !is_configuration(&files[i])) {
            check_settings(&files[i], &site, regions);
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (files[i].notes->len == 0 && is_configuration(&files[i])) {
            check_configuration(&files[i], &site);
        }
        show_file(ctl, &files[i], base);
        if (files[i].error_count > 0) {
            result = Sl_PLATFORM_EXIT_ERRORS;
        }
        else if (files[i].notes->len > 0 && ctl->options->strict &&
                 result == Sl_PLATFORM_EXIT_CLEAN) {
            result = Sl_PLATFORM_EXIT_WARNINGS;
        }
    }
    return result;
}

enum sl_ctl_exit
SlCtl_CheckPlatform(struct sl_ctl *ctl, char **args)
{
    struct sl_base base = {0};
    size_t count = g_strv_length(args);
    struct sl_checked_file *files = g_new0(struct sl_checked_file, count);
    for (size_t i = 0; i < count; i++) {
        open_file(&files[i], args[i]);
    }
    enum sl_ctl_platform_exit base_result = read_base(ctl, &base);
    enum sl_ctl_platform_exit result = check_files(ctl, files, count, &base);
    for (size_t i = 0; i < count; i++) {
        close_file(&files[i]);
    }
    g_free(files);
    SlRouting_Unref(base.routing);
    /* The command has exit codes of its own. */
    return (enum sl_ctl_exit)MAX(base_result, result);
}
