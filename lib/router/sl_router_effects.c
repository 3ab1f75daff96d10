/* Collects the effects of the current event, and builds log lines. */
#include "sl_router_internal.h"

/* ---- effects ---- */

struct sl_router_effects {
    GArray *list;      /* struct sl_router_effect */
    GPtrArray *memory; /* blocks that the effects point to, owned */
};

struct sl_router_effects *
SlRouterEffects_New(void)
{
    struct sl_router_effects *effects = g_new0(struct sl_router_effects, 1);
    effects->list = g_array_new(FALSE, TRUE, sizeof(struct sl_router_effect));
    effects->memory = g_ptr_array_new_with_free_func(g_free);
    return effects;
}

void
SlRouterEffects_Free(struct sl_router_effects *effects)
{
    if (effects != NULL) {
        g_array_free(effects->list, TRUE);
        g_ptr_array_free(effects->memory, TRUE);
        g_free(effects);
    }
}

void
SlRouterEffects_Clear(struct sl_router_effects *effects)
{
    g_array_set_size(effects->list, 0);
    g_ptr_array_set_size(effects->memory, 0);
}

size_t
SlRouterEffects_Count(const struct sl_router_effects *effects)
{
    return effects->list->len;
}

const struct sl_router_effect *
SlRouterEffects_At(const struct sl_router_effects *effects, size_t index)
{
    return &g_array_index(effects->list, struct sl_router_effect, index);
}

struct sl_router_effect *
SlRouter_AddEffect(struct sl_router *router, enum sl_router_effect_type type)
{
    GArray *list = router->effects->list;
    g_array_set_size(list, list->len + 1);
    struct sl_router_effect *effect =
        &g_array_index(list, struct sl_router_effect, list->len - 1);
    effect->type = type;
    return effect;
}

const struct sl_name *
SlRouter_CopyName(struct sl_router *router, const struct sl_name *name)
{
    struct sl_name *copy = g_memdup2(name, sizeof(*name));
    SlRouter_FreeWithEffects(router, copy);
    return copy;
}

void
SlRouter_FreeWithEffects(struct sl_router *router, gpointer memory)
{
    g_ptr_array_add(router->effects->memory, memory);
}

void
SlRouter_FreeLater(struct sl_router *router, struct sl_routed_request *request)
{
    g_ptr_array_add(router->deferred_frees, request);
}

/* ---- log lines ---- */

/* `router->line` holds the members of a JSON object; the caller of the router
 * adds the braces, and members such as the time. */

static void
add_key(struct sl_router *router, const char *key)
{
    SlBuf_Printf(&router->line, ",\"%s\":", key);
}

void
SlLogLine_Begin(struct sl_router *router, const char *event)
{
    SlBuf_Clear(&router->line);
    SlBuf_Printf(&router->line, "\"event\":\"%s\"", event);
    router->line_request = 0;
    router->line_request_state = Sl_LOG_REQUEST_ACTIVE;
}

void
SlLogLine_BeginFor(struct sl_router *router, const char *event,
                   const struct sl_routed_request *request)
{
    SlLogLine_Begin(router, event);
    SlLogLine_Str(router, "request", request->incoming.id);
    router->line_request = request->arrival_number;
}

void
SlLogLine_BeginLast(struct sl_router *router, const char *event,
                    const struct sl_routed_request *request, bool failed)
{
    SlLogLine_BeginFor(router, event, request);
    router->line_request_state =
        failed ? Sl_LOG_REQUEST_FAILED : Sl_LOG_REQUEST_SUCCEEDED;
}

void
SlLogLine_Str(struct sl_router *router, const char *key, struct sl_str value)
{
    add_key(router, key);
    SlBuf_AppendJson(&router->line, value);
}

void
SlLogLine_Name(struct sl_router *router, const char *key,
               const struct sl_name *value)
{
    SlLogLine_Str(router, key, SlName_Str(value));
}

void
SlLogLine_C(struct sl_router *router, const char *key, const char *value)
{
    SlLogLine_Str(router, key, SlStr_FromC(value));
}

void
SlLogLine_Offset(struct sl_router *router, const char *key, uint64_t offset)
{
    SlLogLine_Int(router, key, (int64_t)SlOffset_Number(offset));
}

void
SlLogLine_Int(struct sl_router *router, const char *key, int64_t value)
{
    add_key(router, key);
    SlBuf_Printf(&router->line, "%" G_GINT64_FORMAT, (gint64)value);
}

void
SlLogLine_Number(struct sl_router *router, const char *key,
                 struct sl_str digits)
{
    add_key(router, key);
    SlBuf_Append(&router->line, digits);
}

void
SlLogLine_Error(struct sl_router *router, const struct sl_error *err)
{
    SlLogLine_C(router, "code", SlError_Name(err->code));
    SlLogLine_Name(router, "step", &err->step);
    SlLogLine_Name(router, "peer", &err->peer);
    SlLogLine_C(router, "error", err->text);
}

void
SlLogLine_End(struct sl_router *router, enum sl_log_level level)
{
    char *text = g_strndup(router->line.ptr, router->line.len);
    struct sl_router_effect *effect =
        SlRouter_AddEffect(router, Sl_ROUTER_EFFECT_LOG);
    effect->u.line.level = level;
    effect->u.line.request = router->line_request;
    effect->u.line.request_state = router->line_request_state;
    effect->u.line.fields = (struct sl_str){text, router->line.len};
    SlRouter_FreeWithEffects(router, text);
}
