/* Receipts: runs that are not known to be billed yet. The entry that accepted
 * a request bills it. If that entry is not connected, or does not confirm the
 * bill in time, the agent offers the receipt to a connected entry. */
#include "sl_agent_internal.h"

#define Sl_MAX_RECEIPTS 50000
#define Sl_RECEIPTS_INTERVAL_US (Sl_US_PER_S)
/* A receipt is offered if its entry has not confirmed the bill after this. */
#define Sl_RECEIPT_OVERDUE_US (5 * Sl_US_PER_S)
#define Sl_OFFER_INTERVAL_US (5 * Sl_US_PER_S)
#define Sl_OFFERS_PER_ROUND 500

/* ---- types ---- */

struct sl_receipt {
    struct sl_msg_receipt receipt;
    uint64_t owner_boot; /* boot of the entry that accepted the request */
    int64_t added_us;
    int64_t offered_us;
};

struct sl_receipts {
    GHashTable *receipts; /* bill -> struct sl_receipt, owned */
};

/* ---- helpers ---- */

/* The connected entry with this boot, or NULL. */
static struct sl_peer *
entry_with_boot(const struct sl_core *core, uint64_t boot)
{
    for (guint i = 0; i < core->peers->len; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (SlPeer_IsUp(peer) && peer->vm.role == Sl_ROLE_ENTRY &&
            peer->boot == boot) {
            return peer;
        }
    }
    return NULL;
}

/* The connected entry with the highest rendezvous weight for the bill, or
 * NULL. Spreads receipts over the entries. */
static struct sl_peer *
other_entry(const struct sl_core *core, const struct sl_name *bill)
{
    struct sl_peer *best = NULL;
    uint64_t best_weight = 0;
    for (guint i = 0; i < core->peers->len; i++) {
        struct sl_peer *peer = g_ptr_array_index(core->peers, i);
        if (!SlPeer_IsUp(peer) || peer->vm.role != Sl_ROLE_ENTRY) {
            continue;
        }
        uint64_t weight =
            SlHash_Rendezvous(SlName_Str(bill), SlName_Str(&peer->vm.name));
        if (best == NULL || weight > best_weight) {
            best = peer;
            best_weight = weight;
        }
    }
    return best;
}

static bool
is_overdue(const struct sl_core *core, const struct sl_receipt *receipt)
{
    if (core->now_us - receipt->offered_us < Sl_OFFER_INTERVAL_US) {
        return false;
    }
    bool owned = entry_with_boot(core, receipt->owner_boot) != NULL;
    return !owned || core->draining ||
           core->now_us - receipt->added_us >= Sl_RECEIPT_OVERDUE_US;
}

/* Sends a receipt to its own entry if that is connected, otherwise to another
 * one. Returns false if no entry is connected. */
static bool
offer_receipt(struct sl_core *core, struct sl_receipt *receipt)
{
    struct sl_peer *peer = entry_with_boot(core, receipt->owner_boot);
    if (peer == NULL) {
        peer = other_entry(core, &receipt->receipt.bill);
    }
    if (peer == NULL) {
        return false;
    }
    struct sl_msg msg = {.type = Sl_MSG_RECEIPT};
    msg.u.receipt = receipt->receipt;
    receipt->offered_us = core->now_us;
    SlCore_Increment(core, "receipts.offered");
    SlCore_Send(core, peer, &msg);
    return true;
}

static void
on_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    GHashTableIter iter;
    gpointer value;
    size_t offered = 0;
    (void)now_us;
    g_hash_table_iter_init(&iter, core->agent->receipts->receipts);
    while (offered < Sl_OFFERS_PER_ROUND &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_overdue(core, value)) {
            offered += offer_receipt(core, value);
        }
    }
    SlCore_SetTimer(core, Sl_RECEIPTS_INTERVAL_US, on_due, id);
}

/* ---- internal API ---- */

void
SlReceipts_Start(struct sl_core *core)
{
    struct sl_receipts *receipts = g_new0(struct sl_receipts, 1);
    receipts->receipts = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, g_free);
    core->agent->receipts = receipts;
    SlCore_SetTimer(core, Sl_RECEIPTS_INTERVAL_US, on_due, 0);
}

void
SlReceipts_Free(struct sl_core *core)
{
    g_hash_table_destroy(core->agent->receipts->receipts);
    g_free(core->agent->receipts);
}

bool
SlReceipts_IsFull(const struct sl_core *core)
{
    return SlReceipts_Count(core) >= Sl_MAX_RECEIPTS;
}

size_t
SlReceipts_Count(const struct sl_core *core)
{
    return g_hash_table_size(core->agent->receipts->receipts);
}

void
SlReceipts_Add(struct sl_core *core, const struct sl_run *run, uint64_t tokens)
{
    GHashTable *table = core->agent->receipts->receipts;
    const struct sl_version *version =
        SlConfig_FindVersion(core->config, &run->msg.version);
    struct sl_receipt *receipt = g_hash_table_lookup(table, &run->msg.bill);
    if (receipt == NULL) {
        receipt = g_new0(struct sl_receipt, 1);
        receipt->receipt.bill = run->msg.bill;
        g_hash_table_insert(table, &receipt->receipt.bill, receipt);
    }
    receipt->receipt.team = run->msg.team;
    receipt->receipt.kind = run->msg.kind;
    receipt->receipt.version = run->msg.version;
    receipt->receipt.upstream = core->options.upstream;
    receipt->receipt.tokens += tokens;
    receipt->receipt.cost_micros += version == NULL ? 0 : version->cost_micros;
    receipt->owner_boot = run->entry_boot;
    receipt->added_us = core->now_us;
    receipt->offered_us = core->now_us;
}

void
SlReceipts_OnBilled(struct sl_core *core, const struct sl_name *bill)
{
    g_hash_table_remove(core->agent->receipts->receipts, bill);
}
