/* Ids of a stream's events, which are kept as text: a number of any length, or
 * any other text that a Last-Event-Id header can hold. */
#include "sl_router_internal.h"

#include <string.h>

/* Longest id that is sent in a request. */
#define Sl_MAX_EVENT_ID_BYTES 1024
/* Longest number that every reader of the log can hold in 64 bits. */
#define Sl_MAX_LOGGED_DIGITS 18

/* Returns the digits of a decimal number without leading zeros. Returns false
 * if `id` is not a decimal number. */
static bool
get_digits(struct sl_str id, struct sl_str *digits)
{
    for (size_t i = 0; i < id.len; i++) {
        if (!g_ascii_isdigit(id.ptr[i])) {
            return false;
        }
    }
    *digits = id;
    while (digits->len > 1 && digits->ptr[0] == '0') {
        digits->ptr++;
        digits->len--;
    }
    return id.len > 0;
}

bool
SlEventId_IsAtMost(struct sl_str id, struct sl_str other)
{
    struct sl_str a;
    struct sl_str b;
    if (!get_digits(id, &a) || !get_digits(other, &b)) {
        return SlStr_Equal(id, other);
    }
    if (a.len != b.len) {
        return a.len < b.len;
    }
    return memcmp(a.ptr, b.ptr, a.len) <= 0;
}

bool
SlEventId_IsSendable(struct sl_str id)
{
    for (size_t i = 0; i < id.len; i++) {
        if (g_ascii_iscntrl(id.ptr[i])) {
            return false;
        }
    }
    return id.len > 0 && id.len <= Sl_MAX_EVENT_ID_BYTES;
}

void
SlLogLine_EventId(struct sl_router *router, const char *key, struct sl_str id)
{
    struct sl_str digits;
    if (id.len == 0) {
        SlLogLine_Int(router, key, -1);
    }
    else if (get_digits(id, &digits) && digits.len <= Sl_MAX_LOGGED_DIGITS) {
        SlLogLine_Number(router, key, digits);
    }
    else {
        SlLogLine_Str(router, key, id);
    }
}
