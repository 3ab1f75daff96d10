/* Writes the router's state as JSON, for operators. The names of the members
 * are part of the operators' interface. */
#include "sl_router_internal.h"

/* ---- JSON ---- */

/* The functions add_...() add a member to the object that is being written,
 * with a comma unless it is the first one. */

static void
add_key(struct sl_buf *out, const char *key)
{
    char last = out->ptr[out->len - 1];
    SlBuf_Printf(out, "%s\"%s\":", last == '{' ? "" : ",", key);
}

static void
add_int(struct sl_buf *out, const char *key, int64_t value)
{
    add_key(out, key);
    SlBuf_Printf(out, "%" G_GINT64_FORMAT, (gint64)value);
}

static void
add_name(struct sl_buf *out, const char *key, const struct sl_name *value)
{
    add_key(out, key);
    SlBuf_AppendJson(out, SlName_Str(value));
}

static void
add_text(struct sl_buf *out, const char *key, const char *value)
{
    add_key(out, key);
    SlBuf_AppendJson(out, SlStr_FromC(value));
}

/* Begins an object in the array that is being written. */
static void
begin_item(struct sl_buf *out)
{
    SlBuf_AppendC(out, out->ptr[out->len - 1] == '[' ? "{" : ",{");
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(((const struct sl_name *)a)->text,
                  ((const struct sl_name *)b)->text);
}

/* Returns the keys, struct sl_name, of a table by name. The caller frees the
 * list; the keys stay the table's. */
static GList *
sorted_keys(GHashTable *table)
{
    return g_list_sort(g_hash_table_get_keys(table), compare_names);
}

/* ---- parts of the state ---- */

static void
dump_upstreams(struct sl_router *router, struct sl_buf *out)
{
    GList *ids = sorted_keys(router->upstreams);
    add_key(out, "upstreams");
    SlBuf_AppendC(out, "[");
    for (const GList *link = ids; link != NULL; link = link->next) {
        const struct sl_router_upstream *upstream =
            g_hash_table_lookup(router->upstreams, link->data);
        begin_item(out);
        add_name(out, "id", &upstream->registration.id);
        add_name(out, "service", &upstream->registration.service);
        add_name(out, "address", &upstream->registration.address);
        add_name(out, "domain", &upstream->registration.domain);
        add_name(out, "version", &upstream->registration.version);
        add_text(out, "state",
                 upstream->is_registered ? SlUpstreams_State(router, upstream)
                                         : "gone");
        add_int(out, "slots", upstream->registration.slots);
        add_int(out, "load", SlUpstreams_Load(router, upstream));
        add_int(out, "in_flight", upstream->in_flight);
        add_int(out, "peers_in_flight", upstream->peers_in_flight);
        add_int(out, "unread_ms",
                SlUpstreams_PrefillBacklogUs(router, upstream) / Sl_US_PER_MS);
        if (upstream->room != NULL) {
            add_int(out, "held_tokens", SlRoom_HeldTokens(upstream->room));
        }
        add_int(out, "heard_ms",
                (router->now_us - upstream->registration_read_us) /
                    Sl_US_PER_MS);
        add_int(out, "failures", upstream->failures);
        SlUpstreamPace_Dump(router, upstream, out);
        SlBuf_AppendC(out, "}");
    }
    SlBuf_AppendC(out, "]");
    g_list_free(ids);
}

static void
dump_queues(struct sl_router *router, struct sl_buf *out)
{
    add_key(out, "queues");
    SlBuf_AppendC(out, "[");
    for (size_t i = 0; router->routing != NULL &&
                       i < SlRouting_ServiceCount(router->routing);
         i++) {
        const struct sl_route_service *service =
            SlRouting_Service(router->routing, i);
        int64_t waiting = 0;
        int64_t oldest_us = 0;
        for (const GList *link = router->request_queue->head; link != NULL;
             link = link->next) {
            const struct sl_routed_request *request = link->data;
            if (SlName_Equal(&request->service->name, &service->name)) {
                waiting++;
                oldest_us =
                    MAX(oldest_us, router->now_us - request->queued_us);
            }
        }
        begin_item(out);
        add_name(out, "service", &service->name);
        add_int(out, "waiting", waiting);
        add_int(out, "oldest_ms", oldest_us / Sl_US_PER_MS);
        add_int(out, "repeats_left",
                (int64_t)SlRetryBudget_Remaining(router, &service->name,
                                                 Sl_RETRY_FAILURE));
        SlBuf_AppendC(out, "}");
    }
    SlBuf_AppendC(out, "]");
}

static void
dump_rollouts(struct sl_router *router, struct sl_buf *out)
{
    GList *services = sorted_keys(router->rollouts);
    add_key(out, "rollouts");
    SlBuf_AppendC(out, "[");
    for (const GList *link = services; link != NULL; link = link->next) {
        const struct sl_rollout *rollout =
            g_hash_table_lookup(router->rollouts, link->data);
        begin_item(out);
        add_name(out, "service", &rollout->order.service);
        add_name(out, "target", &rollout->order.version);
        add_int(out, "order", (int64_t)SlOffset_Number(rollout->offset));
        add_text(out, "state",
                 rollout->has_stored_status
                     ? SlRollouts_StateName(rollout->stored_state)
                     : "running");
        add_int(out, "elapsed_ms",
                (router->now_us - rollout->began_us) / Sl_US_PER_MS);
        add_int(out, "share_percent",
                (int64_t)(100 * SlRollouts_TargetShare(router, rollout)));
        add_int(out, "suspect", rollout->is_suspect);
        SlBuf_AppendC(out, "}");
    }
    SlBuf_AppendC(out, "]");
    g_list_free(services);
}

static void
dump_peers(struct sl_router *router, struct sl_buf *out)
{
    GList *vms = sorted_keys(router->peers);
    add_key(out, "peers");
    SlBuf_AppendC(out, "[");
    for (const GList *link = vms; link != NULL; link = link->next) {
        const struct sl_router_peer *peer =
            g_hash_table_lookup(router->peers, link->data);
        begin_item(out);
        add_name(out, "vm", &peer->vm);
        add_name(out, "domain", &peer->domain);
        add_int(out, "live", SlPeers_IsLive(router, peer));
        add_int(out, "heard_ms",
                (router->now_us - peer->newest_digest_sent_us) / Sl_US_PER_MS);
        SlBuf_AppendC(out, "}");
    }
    SlBuf_AppendC(out, "]");
    g_list_free(vms);
}

static void
dump_blocks(struct sl_router *router, struct sl_buf *out)
{
    size_t count;
    const struct sl_quarantine_block *blocks =
        SlQuarantine_Blocks(router->quarantine, &count);
    add_key(out, "prompt_blocks");
    SlBuf_AppendC(out, "[");
    for (size_t i = 0; i < count; i++) {
        struct sl_buf keys = {0};
        SlPromptGuard_AppendKeys(&blocks[i], &keys);
        begin_item(out);
        add_key(out, "keys");
        SlBuf_AppendJson(out, SlBuf_Str(&keys));
        add_int(out, "ended_ms",
                (router->now_us - blocks[i].last_end_us) / Sl_US_PER_MS);
        add_int(out, "trial_in_ms",
                (blocks[i].trial_due_us - router->now_us) / Sl_US_PER_MS);
        add_int(out, "failed_trials", blocks[i].failed_trials);
        SlBuf_AppendC(out, "}");
        SlBuf_Free(&keys);
    }
    SlBuf_AppendC(out, "]");
}

/* ---- public ---- */

void
SlRouter_Dump(struct sl_router *router, struct sl_buf *out)
{
    uint32_t age_ms = SlFeeds_StoreAgeMs(router);
    SlPeers_SumLoads(router);
    SlBuf_AppendC(out, "{");
    add_name(out, "vm", &router->options.vm);
    add_name(out, "domain", &router->options.domain);
    add_int(out, "ready", SlRouter_IsReady(router));
    add_int(out, "draining", router->draining);
    add_int(out, "configuration",
            router->routing == NULL ? -1 : SlRouting_Version(router->routing));
    add_int(out, "configuration_offset",
            (int64_t)SlOffset_Number(router->routing_offset));
    add_int(out, "store_era", SlStoreEra_Stated(router));
    add_int(out, "store_age_ms", age_ms == UINT32_MAX ? -1 : (int64_t)age_ms);
    add_int(out, "in_flight", g_hash_table_size(router->routed_requests));
    dump_queues(router, out);
    dump_upstreams(router, out);
    dump_rollouts(router, out);
    dump_peers(router, out);
    dump_blocks(router, out);
    SlBuf_AppendC(out, "}");
}
