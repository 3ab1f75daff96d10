/*
 * Tells the placement what the engines are likely to have kept of a prompt,
 * and what happens to them to the package that follows it. Parts have homes
 * only at engines whose memory is known; at the others, what this router has
 * sent there lately counts as kept.
 */
#include "sl_router_internal.h"

/* Share of the shared tokens from which on an engine that is no home counts as
 * one that holds the prompt, in logs and metrics. */
#define Sl_HELD_SHARE 0.5

static void
set_prompt(const struct sl_routed_request *request,
           struct sl_kept_prompt *prompt)
{
    const struct sl_incoming_request *incoming = &request->incoming;
    struct sl_str model = SlRoutedRequest_Model(request);
    prompt->tokens = incoming->prompt_tokens;
    prompt->part_count = MIN(incoming->part_count, Sl_KEPT_MAX_PARTS);
    for (size_t i = 0; i < prompt->part_count; i++) {
        prompt->parts[i] =
            (struct sl_kept_part){SlKept_Key(incoming->parts[i].id, model),
                                  incoming->parts[i].tokens};
    }
}

static uint32_t
domain_key(const struct sl_router_upstream *upstream)
{
    return (uint32_t)SlHash_Bytes(0,
                                  SlName_Str(&upstream->registration.domain));
}

/* Returns true if the prompt's parts have homes. Suspects are spread instead.
 */
static bool
has_homes(const struct sl_routed_request *request,
          const struct sl_kept_prompt *prompt)
{
    return request->service->memory_tokens > 0 && !request->is_suspect &&
           !request->is_trial && SlKeptPrompt_SharedKey(prompt) != 0;
}

void
SlKeptParts_Prepare(const struct sl_router *router,
                    const struct sl_routed_request *request,
                    const GPtrArray *upstreams, struct sl_kept_choice *choice)
{
    if (!request->service->is_engine) {
        return;
    }
    set_prompt(request, &choice->prompt);
    choice->has_homes = has_homes(request, &choice->prompt);
    if (!choice->has_homes) {
        return;
    }
    choice->homes.part = SlKeptPrompt_SharedKey(&choice->prompt);
    for (guint i = 0; i < upstreams->len; i++) {
        const struct sl_router_upstream *upstream = upstreams->pdata[i];
        /* A cold or limited engine can't take all that a home would get. */
        if (!SlColdLimit_IsCold(router, upstream, request->service) &&
            !SlUpstreamLimits_IsLimited(upstream)) {
            SlKeptHomes_Add(&choice->homes, domain_key(upstream),
                            upstream->kept);
        }
    }
    SlKeptHomes_Choose(&choice->homes, router->kept, router->now_us);
}

struct sl_kept_estimate
SlKeptParts_Estimate(const struct sl_router *router,
                     const struct sl_kept_choice *choice,
                     const struct sl_router_upstream *upstream)
{
    bool is_home =
        choice->has_homes &&
        SlKeptHomes_Has(&choice->homes, domain_key(upstream), upstream->kept);
    return SlKept_Estimate(router->kept, upstream->kept, &choice->prompt,
                           is_home);
}

static const char *
placed_of(const struct sl_kept_prompt *prompt,
          const struct sl_kept_estimate *estimate)
{
    if (estimate->is_home) {
        return "home";
    }
    return (double)estimate->claimed_tokens >=
                   Sl_HELD_SHARE * (double)SlKeptPrompt_SharedTokens(prompt)
               ? "held"
               : "away";
}

void
SlKeptParts_OnCallSent(struct sl_router *router,
                       struct sl_router_upstream *upstream,
                       const struct sl_routed_request *request)
{
    const struct sl_kept_estimate *estimate = &request->upstream_call.kept;
    struct sl_kept_prompt prompt = {0};
    struct sl_kept_memory memory = {
        .tokens = request->service->memory_tokens,
        .held_tokens =
            upstream->room != NULL ? SlRoom_HeldTokens(upstream->room) : 0,
        .routers = SlPeers_CountDomain(router, &router->options.domain) + 1,
    };
    set_prompt(request, &prompt);
    SlKeptEngine_OnSent(upstream->kept, router->now_us, &prompt, &memory);
    if (!has_homes(request, &prompt)) {
        return;
    }
    SlKept_OnRequest(router->kept, router->now_us, &prompt);
    if (!estimate->is_home) {
        SlKept_OnStray(router->kept, router->now_us, upstream->key,
                       SlKeptPrompt_SharedKey(&prompt));
    }
    SlRouterMetrics_OnKept(router, &request->service->name,
                           placed_of(&prompt, estimate),
                           estimate->expected_tokens);
}

void
SlKeptParts_OnBegun(struct sl_router *router,
                    const struct sl_routed_request *request, int64_t took_us)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    if (request->service->memory_tokens == 0) {
        return;
    }
    struct sl_kept_response response = {
        .model = (uint32_t)SlHash_Bytes(0, SlRoutedRequest_Model(request)),
        .estimate = call->kept,
        .prompt_tokens = request->incoming.prompt_tokens,
        .took_us = took_us,
    };
    double share =
        SlKept_OnBegun(router->kept, call->upstream->kept, &response);
    if (share >= 0) {
        int64_t judged_tokens =
            call->kept.claimed_tokens + call->kept.guessed_tokens;
        SlRouterMetrics_OnKeptSeen(router, &request->service->name,
                                   judged_tokens,
                                   (int64_t)(share * (double)judged_tokens));
    }
}

void
SlKeptParts_OnEnded(struct sl_router *router, const struct sl_name *id)
{
    struct sl_router_upstream *upstream =
        g_hash_table_lookup(router->upstreams, id);
    if (upstream != NULL) {
        SlKeptEngine_Reset(upstream->kept);
    }
}

void
SlKeptParts_OnReport(struct sl_router *router,
                     const struct sl_gossip_digest *digest)
{
    for (size_t i = 0; i < digest->kept_part_count; i++) {
        const struct sl_gossip_kept_part *part = &digest->kept_parts[i];
        struct sl_router_upstream *upstream =
            SlUpstreams_FirstWithKey(router, part->upstream);
        if (upstream != NULL && upstream->next_with_key == NULL) {
            SlKeptEngine_OnReport(upstream->kept, router->now_us, part);
        }
    }
}

void
SlKeptParts_Log(struct sl_router *router,
                const struct sl_routed_request *request,
                const struct sl_placement *placement)
{
    struct sl_kept_prompt prompt = {0};
    if (!request->service->is_engine) {
        return;
    }
    set_prompt(request, &prompt);
    if (!has_homes(request, &prompt)) {
        return;
    }
    SlLogLine_C(router, "placed", placed_of(&prompt, &placement->kept));
    SlLogLine_Int(router, "claimed_tokens", placement->kept.claimed_tokens);
    SlLogLine_Int(router, "guessed_tokens", placement->kept.guessed_tokens);
    SlLogLine_Int(router, "expected_tokens", placement->kept.expected_tokens);
    if (!placement->kept.is_home && placement->home_cost_us != Sl_NEVER_US) {
        SlLogLine_Int(router, "home_cost_ms",
                      placement->home_cost_us / Sl_US_PER_MS);
    }
}
