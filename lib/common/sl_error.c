/* Error values with the failed operation and the peer. */
#include "sl_common.h"

#include <stdarg.h>
#include <string.h>

enum sl_errno
SlError_Set(struct sl_error *err, enum sl_errno code, const char *step,
            const char *peer, const char *format, ...)
{
    if (err == NULL) {
        return code;
    }
    memset(err, 0, sizeof(*err));
    err->code = code;
    err->step = SlName_Of(step);
    if (peer != NULL) {
        size_t len = strnlen(peer, Sl_NAME_MAX_BYTES);
        SlName_Set(&err->peer, (struct sl_str){peer, len});
    }
    va_list args;
    va_start(args, format);
    vsnprintf(err->text, sizeof(err->text), format, args);
    va_end(args);
    return code;
}

const char *
SlError_Name(enum sl_errno code)
{
    switch (code) {
    case Sl_OK:
        return "ok";
    case Sl_ERR_INVALID:
        return "invalid";
    case Sl_ERR_CONFLICT:
        return "conflict";
    case Sl_ERR_UNREACHABLE:
        return "unreachable";
    case Sl_ERR_LOST:
        return "lost";
    case Sl_ERR_REFUSED:
        return "refused";
    case Sl_ERR_TIMEOUT:
        return "timeout";
    case Sl_ERR_TOO_LARGE:
        return "too-large";
    case Sl_ERR_INTERNAL:
        return "internal";
    }
    return "internal";
}
