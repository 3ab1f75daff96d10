/* Receipts of runs that are not known to be billed yet. The entry that
 * accepted a request bills it, and confirms to the agent that the bill is in
 * the log. If that entry is not connected, or does not confirm the bill in
 * time, the agent offers the receipt to a connected entry, which then bills
 * the run. */
#include "sl_agent_internal.h"

/* At this number of receipts the agent starts no more runs. */
#define Sl_MAX_RECEIPTS 50000
/* Time between two checks for receipts to offer. */
#define Sl_RECEIPTS_INTERVAL_US (Sl_US_PER_S)
/* A receipt is offered if its entry has not confirmed the bill after this. */
#define Sl_RECEIPT_OVERDUE_US (5 * Sl_US_PER_S)
/* Shortest time between two offers of a receipt. */
#define Sl_OFFER_INTERVAL_US (5 * Sl_US_PER_S)
/* Largest number of receipts offered in one check. */
#define Sl_OFFERS_PER_CHECK 500

/* ---- types ---- */

struct sl_receipt {
    struct sl_msg_receipt receipt;
    uint64_t entry_boot; /* of the entry process that accepted the request */
    int64_t added_us;    /* when the last run was added */
    int64_t offered_us;  /* last offer; before the first one, as `added_us` */
};

struct sl_receipts {
    GHashTable *receipts; /* bill -> struct sl_receipt, owned */
};

/* ---- helpers ---- */

/* Returns the connected entry whose process has this boot, or NULL. */
static struct sl_peer *
find_entry_by_boot(const struct sl_core *core, uint64_t boot)
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

/* Returns the connected entry with the highest rendezvous weight for the bill,
 * which spreads receipts over the entries; NULL if no entry is connected. */
static struct sl_peer *
choose_entry(const struct sl_core *core, const struct sl_name *bill)
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

/* Returns true if the receipt should be offered to an entry now. A draining
 * agent offers all of them, because it exits when all are billed. */
static bool
should_offer(const struct sl_core *core, const struct sl_receipt *receipt)
{
    if (core->now_us - receipt->offered_us < Sl_OFFER_INTERVAL_US) {
        return false;
    }
    bool entry_is_up = find_entry_by_boot(core, receipt->entry_boot) != NULL;
    return !entry_is_up || core->draining ||
           core->now_us - receipt->added_us >= Sl_RECEIPT_OVERDUE_US;
}

/* Sends a receipt to the entry that accepted the request if that is connected,
 * otherwise to another entry. Returns false if no entry is connected. */
static bool
offer_receipt(struct sl_core *core, struct sl_receipt *receipt)
{
    struct sl_peer *peer = find_entry_by_boot(core, receipt->entry_boot);
    if (peer == NULL) {
        peer = choose_entry(core, &receipt->receipt.bill);
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
on_check_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    GHashTableIter iter;
    gpointer value;
    size_t offered_count = 0;
    (void)now_us;
    g_hash_table_iter_init(&iter, core->agent->receipts->receipts);
    while (offered_count < Sl_OFFERS_PER_CHECK &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        if (should_offer(core, value)) {
            offered_count += offer_receipt(core, value);
        }
    }
    SlCore_SetTimer(core, Sl_RECEIPTS_INTERVAL_US, on_check_due, id);
}

/* ---- internal API ---- */

void
SlReceipts_Start(struct sl_core *core)
{
    struct sl_receipts *receipts = g_new0(struct sl_receipts, 1);
    receipts->receipts = g_hash_table_new_full(
        SlName_TableHash, SlName_TableEqual, NULL, g_free);
    core->agent->receipts = receipts;
    SlCore_SetTimer(core, Sl_RECEIPTS_INTERVAL_US, on_check_due, 0);
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
    receipt->entry_boot = run->entry_boot;
    receipt->added_us = core->now_us;
    receipt->offered_us = core->now_us;
}

void
SlReceipts_OnBilled(struct sl_core *core, const struct sl_name *bill)
{
    g_hash_table_remove(core->agent->receipts->receipts, bill);
}
