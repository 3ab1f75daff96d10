/* Witnesses: the agents whose majority confirms the configuration while the
 * log is unavailable. The witnesses of an agent are the agents of its own
 * service, those of an entry are the agents of all services. If there are more
 * than Sl_MAX_WITNESSES, all processes choose the same ones by rendezvous
 * hash. An answer to a pull is the confirmation, and counts from the time that
 * the pull was sent. See docs/design/freshness.md. */
#include "sl_core_internal.h"

#include <string.h>

/* Largest number of witnesses of a process. */
#define Sl_MAX_WITNESSES 9

/* ---- types ---- */

struct sl_witness {
    uint64_t weight; /* rendezvous weight */
    struct sl_name upstream;
};

/* ---- helpers ---- */

/* Sorts by descending weight, then by name. */
static gint
compare_witnesses(gconstpointer a, gconstpointer b)
{
    const struct sl_witness *left = a;
    const struct sl_witness *right = b;
    if (left->weight != right->weight) {
        return left->weight > right->weight ? -1 : 1;
    }
    return strcmp(left->upstream.text, right->upstream.text);
}

/* Returns the upstream that the configuration key `key` describes, or NULL if
 * the key is not that of an upstream, or the upstream's agent cannot be a
 * witness of this process. */
static const struct sl_upstream *
candidate_at_key(const struct sl_core *core, const char *key)
{
    const struct sl_upstream *self =
        SlConfig_FindUpstream(core->config, &core->options.upstream);
    struct sl_name name;
    if (!g_str_has_prefix(key, "label/") ||
        !SlName_Set(&name, SlStr_FromC(key + strlen("label/")))) {
        return NULL;
    }
    const struct sl_upstream *upstream =
        SlConfig_FindUpstream(core->config, &name);
    if (upstream == NULL ||
        (self != NULL && !SlName_Equal(&upstream->service, &self->service))) {
        return NULL;
    }
    return upstream;
}

/* Returns true if the agent of `upstream` confirmed, within
 * Sl_FRESHNESS_LIMIT_US, that it knows no later configuration than this
 * process. An agent that is its own witness always agrees. */
static bool
agrees(const struct sl_core *core, const struct sl_name *upstream)
{
    if (SlName_Equal(upstream, &core->options.upstream)) {
        return true;
    }
    const struct sl_peer *peer = SlMembership_PeerByUpstream(core, upstream);
    return peer != NULL && SlPeer_IsUp(peer) && peer->pull_confirmed_us > 0 &&
           core->now_us - peer->pull_confirmed_us <= Sl_FRESHNESS_LIMIT_US &&
           peer->pull_confirmed_offset <= SlConfig_Offset(core->config);
}

/* ---- internal API ---- */

void
SlWitnesses_Start(struct sl_core *core)
{
    core->witnesses = g_array_new(FALSE, FALSE, sizeof(struct sl_witness));
}

void
SlWitnesses_Free(struct sl_core *core)
{
    g_array_free(core->witnesses, TRUE);
}

void
SlWitnesses_Choose(struct sl_core *core)
{
    char **keys = SlConfig_Keys(core->config);
    g_array_set_size(core->witnesses, 0);
    for (char **key = keys; *key != NULL; key++) {
        const struct sl_upstream *upstream = candidate_at_key(core, *key);
        if (upstream == NULL) {
            continue;
        }
        struct sl_witness witness = {
            SlHash_Rendezvous(Sl_STR("witness"), SlName_Str(&upstream->name)),
            upstream->name};
        g_array_append_val(core->witnesses, witness);
    }
    g_strfreev(keys);
    g_array_sort(core->witnesses, compare_witnesses);
    if (core->witnesses->len > Sl_MAX_WITNESSES) {
        g_array_set_size(core->witnesses, Sl_MAX_WITNESSES);
    }
}

bool
SlWitnesses_HaveMajority(const struct sl_core *core)
{
    size_t agreeing_count = 0;
    for (guint i = 0; i < core->witnesses->len; i++) {
        agreeing_count += agrees(
            core,
            &g_array_index(core->witnesses, struct sl_witness, i).upstream);
    }
    return agreeing_count * 2 > core->witnesses->len;
}
