/*
 * Limits that upstreams state in their responses: the requests a second that
 * an upstream takes from all routers together, for as long as its responses
 * say so.
 */
#include "sl_router_internal.h"

/* Least limit that is kept. A lower one would keep away even the requests
 * whose responses show that it has ended. */
#define Sl_MIN_LIMIT_PER_S 0.25
/* Change of a limit, as a share of it, that is logged. */
#define Sl_LOGGED_CHANGE_SHARE 0.1

static void
log_limit(struct sl_router *router, const struct sl_router_upstream *upstream,
          const char *event, double per_s)
{
    SlLogLine_Begin(router, event);
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_Name(router, "service", &upstream->registration.service);
    if (per_s > 0) {
        SlLogLine_Int(router, "per_1000_s", (int64_t)(per_s * 1000));
    }
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Replaces the upstream's limit by one that was stated later. */
static void
set_limit(struct sl_router *router, struct sl_router_upstream *upstream,
          struct sl_stated_limit limit)
{
    double before = upstream->limit.per_s;
    double change = limit.per_s - before;
    if (limit.per_s == 0 && before > 0) {
        log_limit(router, upstream, "upstream_unlimited", 0);
    }
    else if (MAX(change, -change) > Sl_LOGGED_CHANGE_SHARE * before) {
        log_limit(router, upstream, "upstream_limited", limit.per_s);
    }
    upstream->limit = limit;
    SlUpstreamNotices_GetOrAdd(router, upstream)->limit = limit;
}

void
SlUpstreamLimits_OnReplaced(struct sl_router *router,
                            struct sl_router_upstream *upstream)
{
    if (upstream->limit.stated_us != 0) {
        set_limit(router, upstream, (struct sl_stated_limit){0});
    }
}

static void
log_invalid_limit(struct sl_router *router,
                  const struct sl_router_upstream *upstream)
{
    SlLogLine_Begin(router, "limit_odd");
    SlLogLine_Name(router, "upstream", &upstream->registration.id);
    SlLogLine_End(router, Sl_LOG_WARN);
}

void
SlUpstreamLimits_OnHead(struct sl_router *router,
                        const struct sl_upstream_call *call,
                        const struct sl_response_head *head)
{
    struct sl_router_upstream *upstream = call->upstream;
    bool is_own = head->is_stamped || head->not_executed;
    if (head->wrong_instance) {
        return; /* the response is of another upstream */
    }
    if (head->limit_is_invalid) {
        log_invalid_limit(router, upstream);
    }
    else if (head->has_limit) {
        double per_s = MAX(head->limit_per_s, Sl_MIN_LIMIT_PER_S);
        set_limit(router, upstream,
                  (struct sl_stated_limit){per_s, router->now_us});
    }
    else if (is_own && upstream->limit.per_s > 0 &&
             call->sent_us > upstream->limit.stated_us) {
        /* The response may have waited for long before it was read. */
        set_limit(router, upstream,
                  (struct sl_stated_limit){0, call->sent_us});
    }
}
