/*
 * Keeps prompts that end engines away from them. The quarantine decides which
 * prompts these are. Requests with a blocked prompt are refused, and calls
 * with one that have not begun are abandoned. When a block is to be tested,
 * one request is let through, the trial; routers do so in the order of their
 * ranks.
 */
#include "sl_router_internal.h"

/* Longest time that a request waits after its call broke, until it is known
 * whether its upstream has ended. */
#define Sl_MAX_HOLD_US (400 * Sl_US_PER_MS)
/* Delay before a router begins a trial, times its rank. */
#define Sl_TRIAL_RANK_DELAY_US (2 * Sl_US_PER_S)
/* Least and largest Retry-After of requests that are refused. */
#define Sl_MIN_RETRY_AFTER_US (100 * Sl_US_PER_MS)
#define Sl_MAX_RETRY_AFTER_US (60 * Sl_US_PER_S)

void
SlPromptGuard_SetKeys(struct sl_routed_request *request)
{
    const struct sl_incoming_request *incoming = &request->incoming;
    uint64_t ids[Sl_MAX_PROMPT_PARTS];
    if (!request->service->is_engine) {
        return;
    }
    for (size_t i = 0; i < incoming->part_count; i++) {
        ids[i] = incoming->parts[i].id;
    }
    SlPromptKeys_Set(&request->prompt, SlName_Str(&request->service->name),
                     ids, incoming->part_count, incoming->id);
}

/* ---- log lines ---- */

void
SlPromptGuard_AppendKeys(const struct sl_quarantine_block *block,
                         struct sl_buf *out)
{
    for (size_t i = 0; i < block->key_count; i++) {
        SlBuf_Printf(out, "%s%08x", i > 0 ? "," : "", block->keys[i]);
    }
}

static void
log_change(struct sl_router *router, const struct sl_quarantine_change *change)
{
    static const char *const events[] = {
        [Sl_QUARANTINE_SUSPECTED] = "prompt_suspected",
        [Sl_QUARANTINE_BLOCKED] = "prompt_blocked",
        [Sl_QUARANTINE_TRIAL_FAILED] = "prompt_trial_failed",
        [Sl_QUARANTINE_RELEASED] = "prompt_released",
        [Sl_QUARANTINE_EXPIRED] = "prompt_block_expired",
    };
    struct sl_buf keys = {0};
    SlPromptGuard_AppendKeys(&change->block, &keys);
    SlLogLine_Begin(router, events[change->type]);
    SlLogLine_Str(router, "keys", SlBuf_Str(&keys));
    SlLogLine_Int(router, "reported", change->is_reported);
    if (change->type == Sl_QUARANTINE_BLOCKED) {
        SlLogLine_Int(router, "ends", change->ends);
        SlLogLine_Int(router, "ends_total", change->ends_total);
        SlLogLine_Int(router, "trial_in_ms",
                      (change->block.trial_due_us - router->now_us) /
                          Sl_US_PER_MS);
    }
    SlLogLine_End(router, change->type == Sl_QUARANTINE_BLOCKED ? Sl_LOG_WARN
                                                                : Sl_LOG_INFO);
    SlBuf_Free(&keys);
}

/* Begins a line about a request whose prompt is blocked; names the part. */
static void
begin_log(struct sl_router *router, const char *event,
          const struct sl_routed_request *request,
          const struct sl_quarantine_verdict *verdict)
{
    char text[32];
    SlLogLine_BeginFor(router, event, request);
    (void)g_snprintf(text, sizeof(text), "%08x", verdict->key);
    SlLogLine_C(router, "key", text);
    for (size_t i = 0; i < request->prompt.part_count; i++) {
        if (request->prompt.parts[i] == verdict->key) {
            (void)g_snprintf(text, sizeof(text), "%" G_GINT64_MODIFIER "x",
                             request->incoming.parts[i].id);
            SlLogLine_C(router, "part", text);
        }
    }
}

/* ---- decisions ---- */

/* Refuses the request, or ends it if it may have run. */
static void
refuse(struct sl_router *router, struct sl_routed_request *request,
       const struct sl_quarantine_verdict *verdict)
{
    bool may_have_run =
        request->possible_runs > 0 || request->upstream_call.token != 0;
    int64_t trial_in_us = verdict->trial_due_us - router->now_us;
    const struct sl_router_refusal refusal = {
        .status = may_have_run ? 502 : 503,
        .step = "quarantine",
        .reason = SlPromptKeys_IsWhole(verdict->key)
                      ? "engines have ended by this prompt"
                      : "engines have ended by a part of the prompt",
        .may_have_run = may_have_run,
        .retry_after_us = may_have_run
                              ? 0
                              : CLAMP(trial_in_us, Sl_MIN_RETRY_AFTER_US,
                                      Sl_MAX_RETRY_AFTER_US),
    };
    begin_log(router, "prompt_refused", request, verdict);
    SlLogLine_Int(router, "trial_in_ms", trial_in_us / Sl_US_PER_MS);
    SlLogLine_End(router, Sl_LOG_INFO);
    SlRouterMetrics_OnPromptRefused(router, &request->service->name);
    SlRoutedRequest_Fail(router, request, &refusal);
}

/* Returns true if this router may begin a trial of the block now. */
static bool
may_begin_trial(const struct sl_router *router,
                const struct sl_quarantine_verdict *verdict)
{
    char key[32];
    int len = g_snprintf(key, sizeof(key), "trial/%08x", verdict->key);
    if (router->now_us < verdict->trial_due_us) {
        return false;
    }
    size_t rank = SlPeers_Rank(router, (struct sl_str){key, (size_t)len});
    return router->now_us >=
           verdict->trial_due_us + (int64_t)rank * Sl_TRIAL_RANK_DELAY_US;
}

static void
begin_trial(struct sl_router *router, struct sl_routed_request *request,
            const struct sl_quarantine_verdict *verdict)
{
    request->is_trial = true;
    SlQuarantine_BeginTrial(router->quarantine, router->now_us,
                            &request->prompt);
    SlDigests_ScheduleEvidence(router, true);
    SlRouterMetrics_OnPromptTrial(router);
    begin_log(router, "prompt_trial", request, verdict);
    SlLogLine_End(router, Sl_LOG_INFO);
}

/* Returns true while the request has to wait for the end of its upstream to be
 * known. */
static bool
is_held(const struct sl_router *router,
        const struct sl_routed_request *request)
{
    return router->now_us < request->end_known_by_us &&
           SlEngineEnds_IsUndecided(router, &request->broken_at);
}

enum sl_prompt_decision
SlPromptGuard_Decide(struct sl_router *router,
                     struct sl_routed_request *request)
{
    if (!request->service->is_engine || request->is_trial) {
        return Sl_PROMPT_ADMITTED;
    }
    if (is_held(router, request)) {
        return Sl_PROMPT_HELD;
    }
    struct sl_quarantine_verdict verdict =
        SlQuarantine_Check(router->quarantine, &request->prompt);
    if (!verdict.is_blocked) {
        return Sl_PROMPT_ADMITTED;
    }
    if (request->calls_sent == 0 && may_begin_trial(router, &verdict)) {
        begin_trial(router, request, &verdict);
        return Sl_PROMPT_ADMITTED;
    }
    refuse(router, request, &verdict);
    return Sl_PROMPT_REFUSED;
}

/* ---- evidence ---- */

/* Schedules a digest if there is new evidence. */
static void
spread_news(struct sl_router *router, bool is_local)
{
    if (SlQuarantine_TakeNews(router->quarantine)) {
        SlDigests_ScheduleEvidence(router, is_local);
    }
}

void
SlPromptGuard_OnBegun(struct sl_router *router,
                      const struct sl_routed_request *request)
{
    if (request->service->is_engine) {
        SlQuarantine_OnBegun(router->quarantine, router->now_us,
                             &request->prompt);
        spread_news(router, true);
    }
}

void
SlPromptGuard_OnCallBroken(struct sl_router *router,
                           struct sl_routed_request *request)
{
    const struct sl_upstream_call *call = &request->upstream_call;
    if (!request->service->is_engine || call->has_begun) {
        return;
    }
    if (request->is_trial ||
        SlQuarantine_IsSuspect(router->quarantine, &request->prompt)) {
        request->broken_at = call->upstream->registration.id;
        request->end_known_by_us = router->now_us + Sl_MAX_HOLD_US;
    }
    request->is_trial = false;
    request->is_suspect = call->has_head;
}

void
SlPromptGuard_OnEnd(struct sl_router *router, const struct sl_name *upstream,
                    const struct sl_name *service, int64_t at_us,
                    const struct sl_unbegun_call *calls, size_t count)
{
    const struct sl_ended_engine ended = {
        .engine = (uint32_t)SlHash_Bytes(0, SlName_Str(upstream)),
        .service = SlPromptKeys_Service(SlName_Str(service)),
        .at_us = at_us,
    };
    SlQuarantine_OnEnd(router->quarantine, router->now_us, &ended, calls,
                       count);
    router->capacity_changed = true; /* requests may wait for this end */
    spread_news(router, true);
}

void
SlPromptGuard_OnReport(struct sl_router *router,
                       const struct sl_gossip_quarantine *report)
{
    SlQuarantine_OnReport(router->quarantine, router->now_us, report);
    spread_news(router, false);
}

/* ---- changes ---- */

/* Refuses the requests whose calls hold a blocked prompt and have not begun,
 * so that no further engine ends. */
static void
abandon_blocked_calls(struct sl_router *router)
{
    GList *all = g_hash_table_get_values(router->routed_requests);
    for (const GList *link = all; link != NULL; link = link->next) {
        struct sl_routed_request *request = link->data;
        if (request->upstream_call.token == 0 ||
            request->upstream_call.has_begun || request->is_trial ||
            !request->service->is_engine) {
            continue;
        }
        struct sl_quarantine_verdict verdict =
            SlQuarantine_Check(router->quarantine, &request->prompt);
        if (verdict.is_blocked) {
            refuse(router, request, &verdict);
        }
    }
    g_list_free(all);
}

void
SlPromptGuard_Update(struct sl_router *router)
{
    size_t count;
    bool has_new_block = false;
    SlQuarantine_Expire(router->quarantine, router->now_us);
    const struct sl_quarantine_change *changes =
        SlQuarantine_Changes(router->quarantine, &count);
    for (size_t i = 0; i < count; i++) {
        has_new_block =
            has_new_block || changes[i].type == Sl_QUARANTINE_BLOCKED;
        SlRouterMetrics_OnQuarantineChange(router, &changes[i]);
        log_change(router, &changes[i]);
    }
    SlQuarantine_ClearChanges(router->quarantine);
    if (has_new_block) {
        abandon_blocked_calls(router);
    }
}
