/* Logger: one JSON object per line. */
#include "sl_common.h"

#include <string.h>

struct sl_log {
    struct sl_log_options options;
    struct sl_buf line;
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

struct sl_log *
SlLog_New(const struct sl_log_options *options)
{
    struct sl_log *log = g_new0(struct sl_log, 1);
    log->options = *options;
    return log;
}

void
SlLog_Free(struct sl_log *log)
{
    if (log == NULL) {
        return;
    }
    SlBuf_Free(&log->line);
    g_free(log);
}

static void
append_error(struct sl_buf *line, const struct sl_error *err)
{
    SlBuf_Printf(line, ",\"code\":\"%s\",\"step\":", SlError_Name(err->code));
    SlBuf_AppendJson(line, SlName_Str(&err->step));
    SlBuf_AppendC(line, ",\"peer\":");
    SlBuf_AppendJson(line, SlName_Str(&err->peer));
    SlBuf_AppendC(line, ",\"error\":");
    SlBuf_AppendJson(line, SlStr_FromC(err->text));
}

void
SlLog_Write(struct sl_log *log, enum sl_log_level level, int64_t wall_ms,
            uint64_t request, const struct sl_error *err, const char *text)
{
    if (level < log->options.level) {
        return;
    }
    struct sl_buf *line = &log->line;
    SlBuf_Clear(line);
    SlBuf_Printf(line, "{\"time_ms\":%" G_GINT64_FORMAT ",\"level\":\"%s\"",
                 (gint64)wall_ms, level_names[level]);
    SlBuf_AppendC(line, ",\"role\":");
    SlBuf_AppendJson(line, SlStr_FromC(log->options.role));
    SlBuf_AppendC(line, ",\"vm\":");
    SlBuf_AppendJson(line, SlStr_FromC(log->options.vm));
    if (request != 0) {
        SlBuf_Printf(line, ",\"request\":\"%016" G_GINT64_MODIFIER "x\"",
                     (guint64)request);
    }
    SlBuf_AppendC(line, ",\"text\":");
    SlBuf_AppendJson(line, SlStr_FromC(text));
    if (err != NULL) {
        append_error(line, err);
    }
    SlBuf_AppendC(line, "}\n");
    fwrite(line->ptr, 1, line->len, log->options.out);
    fflush(log->options.out);
}

bool
SlLog_ParseLevel(const char *text, enum sl_log_level *level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *level = (enum sl_log_level)i;
            return true;
        }
    }
    return false;
}
