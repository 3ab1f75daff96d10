/* Encodes digests and peer lists as nested msgpack arrays, and decodes them.
 * The items of an array are the fields of the struct in their order. */
#include "sl_gossip.h"

#include <msgpack.h>
#include <string.h>

static const char step[] = "gossip.decode";

/* Upper bounds of encoded sizes. Sl_FIXED_BYTES is that of a digest without
 * its names, and the items of its arrays and of its quarantine. */
#define Sl_FIXED_BYTES 178
#define Sl_NAME_HEAD_BYTES 2 /* of a name without its text */
#define Sl_FAULT_BYTES 9
#define Sl_TALLY_BYTES 48
#define Sl_LOAD_BYTES 21
#define Sl_SHARE_BYTES 17
#define Sl_PACE_BYTES 14
#define Sl_KEPT_PART_BYTES 16
#define Sl_LIMIT_BYTES 16
#define Sl_DEMAND_BYTES 11
#define Sl_SESSION_BYTES 5
#define Sl_END_BYTES 19
#define Sl_SUSPECT_BYTES 6
#define Sl_BLOCK_BYTES 17
#define Sl_BLOCK_KEY_BYTES 5
#define Sl_CLEARED_BYTES 11
#define Sl_PEER_LIST_BYTES 16 /* without its members */
#define Sl_MEMBER_BYTES 8     /* without its three names */

/* A fault is packed into one integer: the upstream's hash in the high bits,
 * then its age in steps, and its kind in the lowest bits. */
#define Sl_KIND_BITS 2
#define Sl_AGE_BITS 16
#define Sl_AGE_MAX_STEPS 0xffff
#define Sl_AGE_STEP_MS 10

/* Numbers of items in the encoded arrays. */
#define Sl_DIGEST_FIELDS 20
#define Sl_LOAD_FIELDS 4
#define Sl_SHARE_FIELDS 4
#define Sl_PACE_FIELDS 3
#define Sl_KEPT_PART_FIELDS 3
#define Sl_LIMIT_FIELDS 3
#define Sl_DEMAND_FIELDS 2
#define Sl_ROLLOUT_FIELDS 9
#define Sl_TALLY_FIELDS 15
#define Sl_QUARANTINE_FIELDS 3
#define Sl_END_FIELDS 4
#define Sl_BLOCK_FIELDS 4
#define Sl_CLEARED_FIELDS 2
#define Sl_PEER_LIST_FIELDS 2
#define Sl_MEMBER_FIELDS 3

/* ---- encode ---- */

static void
pack_name(msgpack_packer *packer, const struct sl_name *name)
{
    msgpack_pack_str(packer, name->len);
    msgpack_pack_str_body(packer, name->text, name->len);
}

static void
pack_responses(msgpack_packer *packer,
               const struct sl_gossip_responses *responses)
{
    msgpack_pack_uint16(packer, responses->count);
    msgpack_pack_uint16(packer, responses->failed);
    msgpack_pack_uint16(packer, responses->timed);
    msgpack_pack_uint16(packer, responses->slow);
    msgpack_pack_uint16(packer, responses->paces);
    msgpack_pack_uint16(packer, responses->mean_pace);
    msgpack_pack_uint16(packer, responses->mean_square);
}

static uint64_t
fault_to_uint(const struct sl_gossip_fault *fault)
{
    uint64_t age = MIN(fault->age_ms / Sl_AGE_STEP_MS, Sl_AGE_MAX_STEPS);
    return ((uint64_t)fault->upstream << Sl_AGE_BITS | age) << Sl_KIND_BITS |
           (uint64_t)fault->kind;
}

static struct sl_gossip_fault
fault_from_uint(uint64_t number)
{
    uint64_t kind = number & ((1 << Sl_KIND_BITS) - 1);
    uint64_t rest = number >> Sl_KIND_BITS;
    return (struct sl_gossip_fault){
        .upstream = (uint32_t)(rest >> Sl_AGE_BITS),
        .kind = kind < Sl_FAULT_KIND_COUNT ? (enum sl_gossip_fault_kind)kind
                                           : Sl_FAULT_FAILING,
        .age_ms = (uint32_t)(rest & Sl_AGE_MAX_STEPS) * Sl_AGE_STEP_MS,
    };
}

static void
pack_rollout(msgpack_packer *packer, const struct sl_gossip_rollout *rollout,
             size_t tally_count, size_t session_count)
{
    msgpack_pack_array(packer, Sl_ROLLOUT_FIELDS);
    msgpack_pack_uint64(packer, rollout->order_offset);
    msgpack_pack_uint32(packer, rollout->elapsed_ms);
    msgpack_pack_uint32(packer, rollout->baseline_in_flight);
    msgpack_pack_uint32(packer, rollout->calls.total);
    msgpack_pack_uint32(packer, rollout->calls.target);
    msgpack_pack_uint32(packer, rollout->counted_ms);
    msgpack_pack_uint8(packer, rollout->is_suspect ? 1 : 0);
    msgpack_pack_array(packer, tally_count);
    for (size_t i = 0; i < tally_count; i++) {
        const struct sl_gossip_tally *tally = &rollout->tallies[i];
        msgpack_pack_array(packer, Sl_TALLY_FIELDS);
        msgpack_pack_uint32(packer, tally->route);
        pack_responses(packer, &tally->target);
        pack_responses(packer, &tally->baseline);
    }
    msgpack_pack_array(packer, session_count);
    for (size_t i = 0; i < session_count; i++) {
        msgpack_pack_uint32(packer, rollout->sessions[i]);
    }
}

static void
pack_end(msgpack_packer *packer, const struct sl_gossip_end *end)
{
    msgpack_pack_array(packer, Sl_END_FIELDS);
    msgpack_pack_uint32(packer, end->engine);
    msgpack_pack_uint32(packer, end->service);
    msgpack_pack_uint32(packer, end->age_ms);
    /* In turn keys, and shares with `has_started` as the lowest bit. */
    msgpack_pack_array(packer, 2 * end->suspect_count);
    for (size_t i = 0; i < end->suspect_count; i++) {
        msgpack_pack_uint32(packer, end->suspects[i].key);
        msgpack_pack_uint8(packer,
                           (uint8_t)(end->suspects[i].begun_share << 1 |
                                     (end->suspects[i].has_started ? 1 : 0)));
    }
}

static void
pack_block(msgpack_packer *packer, const struct sl_gossip_block *block)
{
    msgpack_pack_array(packer, Sl_BLOCK_FIELDS);
    msgpack_pack_uint32(packer, block->end_age_ms);
    msgpack_pack_uint32(packer, block->expires_in_ms);
    msgpack_pack_uint32(packer, block->failed_trials);
    msgpack_pack_array(packer, block->key_count);
    for (size_t i = 0; i < block->key_count; i++) {
        msgpack_pack_uint32(packer, block->keys[i]);
    }
}

static void
pack_quarantine(msgpack_packer *packer,
                const struct sl_gossip_quarantine *quarantine)
{
    msgpack_pack_array(packer, Sl_QUARANTINE_FIELDS);
    msgpack_pack_array(packer, quarantine->end_count);
    for (size_t i = 0; i < quarantine->end_count; i++) {
        pack_end(packer, &quarantine->ends[i]);
    }
    msgpack_pack_array(packer, quarantine->block_count);
    for (size_t i = 0; i < quarantine->block_count; i++) {
        pack_block(packer, &quarantine->blocks[i]);
    }
    msgpack_pack_array(packer, quarantine->cleared_count);
    for (size_t i = 0; i < quarantine->cleared_count; i++) {
        msgpack_pack_array(packer, Sl_CLEARED_FIELDS);
        msgpack_pack_uint32(packer, quarantine->cleared[i].key);
        msgpack_pack_uint32(packer, quarantine->cleared[i].age_ms);
    }
}

/* Takes `bytes` from the bytes that remain. Returns false if there are not as
 * many. */
static bool
take_bytes(size_t *remaining, size_t bytes)
{
    if (bytes > *remaining) {
        return false;
    }
    *remaining -= bytes;
    return true;
}

/* Limits the counts to what fits into the bytes that remain, and takes these.
 * Blocks come first. */
static void
fit_quarantine(struct sl_gossip_quarantine *quarantine, size_t *remaining)
{
    size_t blocks = 0;
    size_t ends = 0;
    size_t cleared = 0;
    while (blocks < quarantine->block_count &&
           take_bytes(remaining,
                      Sl_BLOCK_BYTES + quarantine->blocks[blocks].key_count *
                                           Sl_BLOCK_KEY_BYTES)) {
        blocks++;
    }
    while (ends < quarantine->end_count &&
           take_bytes(remaining,
                      Sl_END_BYTES + quarantine->ends[ends].suspect_count *
                                         Sl_SUSPECT_BYTES)) {
        ends++;
    }
    while (cleared < quarantine->cleared_count &&
           take_bytes(remaining, Sl_CLEARED_BYTES)) {
        cleared++;
    }
    quarantine->block_count = blocks;
    quarantine->end_count = ends;
    quarantine->cleared_count = cleared;
}

/* Returns how many tallies of the roll-out fit in, if each roll-out takes the
 * same share of `bytes`. */
static size_t
fit_tallies(const struct sl_gossip_digest *digest, size_t rollout,
            size_t bytes)
{
    return MIN(digest->rollouts[rollout].tally_count,
               bytes / digest->rollout_count / Sl_TALLY_BYTES);
}

static void
pack_shares(msgpack_packer *packer, const struct sl_gossip_share *shares,
            size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(packer, Sl_SHARE_FIELDS);
        msgpack_pack_uint32(packer, shares[i].service);
        msgpack_pack_uint32(packer, shares[i].team);
        msgpack_pack_uint16(packer, shares[i].held);
        msgpack_pack_uint16(packer, shares[i].waiting);
    }
}

static void
pack_paces(msgpack_packer *packer, const struct sl_gossip_pace *paces,
           size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(packer, Sl_PACE_FIELDS);
        msgpack_pack_uint32(packer, paces[i].upstream);
        msgpack_pack_uint16(packer, paces[i].percent);
        msgpack_pack_uint32(packer, paces[i].age_ms);
    }
}

static void
pack_kept_parts(msgpack_packer *packer,
                const struct sl_gossip_kept_part *parts, size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(packer, Sl_KEPT_PART_FIELDS);
        msgpack_pack_uint32(packer, parts[i].upstream);
        msgpack_pack_uint32(packer, parts[i].part);
        msgpack_pack_uint32(packer, parts[i].age_ms);
    }
}

static void
pack_limits(msgpack_packer *packer, const struct sl_gossip_limit *limits,
            size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(packer, Sl_LIMIT_FIELDS);
        msgpack_pack_uint32(packer, limits[i].upstream);
        msgpack_pack_uint32(packer, limits[i].per_1000_s);
        msgpack_pack_uint32(packer, limits[i].age_ms);
    }
}

static void
pack_demands(msgpack_packer *packer, const struct sl_gossip_demand *demands,
             size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++) {
        msgpack_pack_array(packer, Sl_DEMAND_FIELDS);
        msgpack_pack_uint32(packer, demands[i].service);
        msgpack_pack_uint32(packer, demands[i].requests);
    }
}

/* Returns how many items of `item_bytes` fit into the bytes that remain, and
 * takes these. */
static size_t
fit_items(size_t count, size_t item_bytes, size_t *remaining)
{
    size_t fitting = MIN(count, *remaining / item_bytes);
    *remaining -= fitting * item_bytes;
    return fitting;
}

/* Returns how many bytes of the datagram remain for all but names, faults and
 * what each digest has. */
static size_t
bytes_for_variable_items(const struct sl_gossip_digest *digest)
{
    size_t used = Sl_FIXED_BYTES + 3 * Sl_NAME_HEAD_BYTES + digest->vm.len +
                  digest->domain.len + digest->address.len +
                  digest->fault_count * Sl_FAULT_BYTES;
    return Sl_GOSSIP_MAX_BYTES - MIN(used, Sl_GOSSIP_MAX_BYTES);
}

static void
pack_digest(msgpack_packer *packer, const struct sl_gossip_digest *digest)
{
    size_t free_bytes = bytes_for_variable_items(digest);
    size_t tally_counts[Sl_GOSSIP_MAX_ROLLOUTS];
    size_t tally_bytes = 0;
    for (size_t i = 0; i < digest->rollout_count; i++) {
        tally_counts[i] = fit_tallies(digest, i, free_bytes);
        tally_bytes += tally_counts[i] * Sl_TALLY_BYTES;
    }
    free_bytes -= tally_bytes;
    struct sl_gossip_quarantine quarantine = digest->quarantine;
    fit_quarantine(&quarantine, &free_bytes);
    size_t demand_count =
        fit_items(digest->demand_count, Sl_DEMAND_BYTES, &free_bytes);
    size_t limit_count =
        fit_items(digest->limit_count, Sl_LIMIT_BYTES, &free_bytes);
    size_t share_count =
        fit_items(digest->share_count, Sl_SHARE_BYTES, &free_bytes);
    size_t load_count =
        fit_items(digest->load_count, Sl_LOAD_BYTES, &free_bytes);
    size_t pace_count =
        fit_items(digest->pace_count, Sl_PACE_BYTES, &free_bytes);
    size_t kept_part_count =
        fit_items(digest->kept_part_count, Sl_KEPT_PART_BYTES, &free_bytes);
    msgpack_pack_array(packer, Sl_DIGEST_FIELDS);
    msgpack_pack_int(packer, Sl_GOSSIP_VERSION);
    pack_name(packer, &digest->vm);
    pack_name(packer, &digest->domain);
    pack_name(packer, &digest->address);
    msgpack_pack_uint64(packer, digest->boot);
    /* The flags are the lowest bits of the encoded sequence number. */
    msgpack_pack_uint64(packer, digest->sequence << 2 |
                                    (digest->is_carrying ? 2 : 0) |
                                    (digest->is_leaving ? 1 : 0));
    msgpack_pack_uint32(packer, digest->live_domain_peers);
    msgpack_pack_uint8(packer, digest->relay);
    msgpack_pack_uint32(packer, digest->age_ms);
    msgpack_pack_array(packer, Sl_GOSSIP_FEED_COUNT);
    for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        msgpack_pack_uint64(packer, digest->offsets[i]);
    }
    msgpack_pack_uint32(packer, digest->staleness_ms);
    msgpack_pack_array(packer, load_count);
    for (size_t i = 0; i < load_count; i++) {
        msgpack_pack_array(packer, Sl_LOAD_FIELDS);
        msgpack_pack_uint32(packer, digest->loads[i].upstream);
        msgpack_pack_uint32(packer, digest->loads[i].in_flight);
        msgpack_pack_uint32(packer, digest->loads[i].backlog_ms);
        msgpack_pack_uint32(packer, digest->loads[i].held_tokens);
    }
    msgpack_pack_array(packer, digest->fault_count);
    for (size_t i = 0; i < digest->fault_count; i++) {
        msgpack_pack_uint64(packer, fault_to_uint(&digest->faults[i]));
    }
    msgpack_pack_array(packer, digest->rollout_count);
    for (size_t i = 0; i < digest->rollout_count; i++) {
        size_t session_count = MIN(digest->rollouts[i].session_count,
                                   free_bytes / Sl_SESSION_BYTES);
        free_bytes -= session_count * Sl_SESSION_BYTES;
        pack_rollout(packer, &digest->rollouts[i], tally_counts[i],
                     session_count);
    }
    pack_quarantine(packer, &quarantine);
    pack_shares(packer, digest->shares, share_count);
    pack_paces(packer, digest->paces, pace_count);
    pack_kept_parts(packer, digest->kept_parts, kept_part_count);
    pack_limits(packer, digest->limits, limit_count);
    pack_demands(packer, digest->demands, demand_count);
}

static int
write_bytes(void *data, const char *bytes, size_t len)
{
    SlBuf_Append(data, (struct sl_str){bytes, len});
    return 0;
}

void
SlGossip_Encode(const struct sl_gossip_digest *digest, struct sl_buf *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, write_bytes);
    pack_digest(&packer, digest);
}

/* ---- decode ---- */

/* Reads the items of an array in order. `ok` becomes false, and stays so, at
 * the first item that is missing, of another type or out of range. */
struct sl_array_reader {
    const msgpack_object *next;
    size_t remaining; /* items from `next` on */
    bool ok;
};

/* Returns the next item; NULL if there is none or its type is another one. */
static const msgpack_object *
next_item(struct sl_array_reader *reader, msgpack_object_type type)
{
    if (reader->remaining == 0 || reader->next->type != type) {
        reader->ok = false;
        return NULL;
    }
    reader->remaining--;
    return reader->next++;
}

/* Each next_...() function reads one item. What it returns for an invalid one
 * means nothing: callers check `ok` at the end of the array. */

static uint64_t
next_uint(struct sl_array_reader *reader)
{
    const msgpack_object *item =
        next_item(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);
    return item == NULL ? 0 : item->via.u64;
}

static uint32_t
next_uint32(struct sl_array_reader *reader)
{
    uint64_t value = next_uint(reader);
    if (value > UINT32_MAX) {
        reader->ok = false;
    }
    return (uint32_t)value;
}

static struct sl_name
next_name(struct sl_array_reader *reader)
{
    struct sl_name name = {0};
    const msgpack_object *item = next_item(reader, MSGPACK_OBJECT_STR);
    if (item == NULL ||
        !SlName_Set(&name,
                    (struct sl_str){item->via.str.ptr, item->via.str.size})) {
        reader->ok = false;
    }
    return name;
}

/* Returns a reader of the next item, which must be an array of at most
 * `max_items` items; else the returned reader is not `ok`. */
static struct sl_array_reader
next_array(struct sl_array_reader *reader, size_t max_items)
{
    struct sl_array_reader nested = {NULL, 0, false};
    const msgpack_object *item = next_item(reader, MSGPACK_OBJECT_ARRAY);
    if (item == NULL || item->via.array.size > max_items) {
        reader->ok = false;
        return nested;
    }
    nested.next = item->via.array.ptr;
    nested.remaining = item->via.array.size;
    nested.ok = true;
    return nested;
}

static bool
decode_load(struct sl_array_reader fields, struct sl_gossip_load *load)
{
    load->upstream = next_uint32(&fields);
    load->in_flight = next_uint32(&fields);
    load->backlog_ms = next_uint32(&fields);
    load->held_tokens = next_uint32(&fields);
    return fields.ok;
}

static uint16_t
next_uint16(struct sl_array_reader *reader)
{
    uint64_t value = next_uint(reader);
    if (value > UINT16_MAX) {
        reader->ok = false;
        return 0;
    }
    return (uint16_t)value;
}

static void
next_responses(struct sl_array_reader *reader,
               struct sl_gossip_responses *responses)
{
    responses->count = next_uint16(reader);
    responses->failed = next_uint16(reader);
    responses->timed = next_uint16(reader);
    responses->slow = next_uint16(reader);
    responses->paces = next_uint16(reader);
    responses->mean_pace = next_uint16(reader);
    responses->mean_square = next_uint16(reader);
}

static bool
decode_tally(struct sl_array_reader fields, struct sl_gossip_tally *tally)
{
    tally->route = next_uint32(&fields);
    next_responses(&fields, &tally->target);
    next_responses(&fields, &tally->baseline);
    return fields.ok;
}

static bool
decode_rollout(struct sl_array_reader fields,
               struct sl_gossip_rollout *rollout)
{
    rollout->order_offset = next_uint(&fields);
    rollout->elapsed_ms = next_uint32(&fields);
    rollout->baseline_in_flight = next_uint32(&fields);
    rollout->calls.total = next_uint32(&fields);
    rollout->calls.target = next_uint32(&fields);
    rollout->counted_ms = next_uint32(&fields);
    rollout->is_suspect = next_uint(&fields) != 0;
    struct sl_array_reader tallies =
        next_array(&fields, Sl_GOSSIP_MAX_TALLIES);
    while (tallies.ok && tallies.remaining > 0) {
        if (!decode_tally(next_array(&tallies, Sl_TALLY_FIELDS),
                          &rollout->tallies[rollout->tally_count])) {
            return false;
        }
        rollout->tally_count++;
    }
    struct sl_array_reader sessions =
        next_array(&fields, Sl_GOSSIP_MAX_SESSIONS);
    while (sessions.ok && sessions.remaining > 0) {
        rollout->sessions[rollout->session_count++] = next_uint32(&sessions);
    }
    return fields.ok && tallies.ok && sessions.ok;
}

static bool
decode_end(struct sl_array_reader fields, struct sl_gossip_end *end)
{
    end->engine = next_uint32(&fields);
    end->service = next_uint32(&fields);
    end->age_ms = next_uint32(&fields);
    struct sl_array_reader suspects =
        next_array(&fields, (size_t)2 * Sl_GOSSIP_MAX_SUSPECTS);
    while (suspects.ok && suspects.remaining > 0) {
        struct sl_gossip_suspect *suspect =
            &end->suspects[end->suspect_count++];
        suspect->key = next_uint32(&suspects);
        uint64_t share = next_uint(&suspects);
        suspect->has_started = (share & 1) != 0;
        suspect->begun_share = (uint8_t)MIN(share >> 1, Sl_GOSSIP_SHARE_STEPS);
    }
    return fields.ok && suspects.ok;
}

static bool
decode_block(struct sl_array_reader fields, struct sl_gossip_block *block)
{
    block->end_age_ms = next_uint32(&fields);
    block->expires_in_ms = next_uint32(&fields);
    block->failed_trials = next_uint32(&fields);
    struct sl_array_reader keys =
        next_array(&fields, Sl_GOSSIP_MAX_BLOCK_KEYS);
    while (keys.ok && keys.remaining > 0) {
        block->keys[block->key_count++] = next_uint32(&keys);
    }
    return fields.ok && keys.ok && block->key_count > 0;
}

static bool
decode_cleared(struct sl_array_reader fields,
               struct sl_gossip_cleared *cleared)
{
    cleared->key = next_uint32(&fields);
    cleared->age_ms = next_uint32(&fields);
    return fields.ok;
}

static bool
decode_quarantine(struct sl_array_reader fields,
                  struct sl_gossip_quarantine *quarantine)
{
    struct sl_array_reader ends = next_array(&fields, Sl_GOSSIP_MAX_ENDS);
    while (ends.ok && ends.remaining > 0) {
        if (!decode_end(next_array(&ends, Sl_END_FIELDS),
                        &quarantine->ends[quarantine->end_count++])) {
            return false;
        }
    }
    struct sl_array_reader blocks = next_array(&fields, Sl_GOSSIP_MAX_BLOCKS);
    while (blocks.ok && blocks.remaining > 0) {
        if (!decode_block(next_array(&blocks, Sl_BLOCK_FIELDS),
                          &quarantine->blocks[quarantine->block_count++])) {
            return false;
        }
    }
    struct sl_array_reader cleared =
        next_array(&fields, Sl_GOSSIP_MAX_CLEARED);
    while (cleared.ok && cleared.remaining > 0) {
        if (!decode_cleared(
                next_array(&cleared, Sl_CLEARED_FIELDS),
                &quarantine->cleared[quarantine->cleared_count++])) {
            return false;
        }
    }
    return ends.ok && blocks.ok && cleared.ok && fields.ok;
}

static bool
decode_shares(struct sl_array_reader items, struct sl_gossip_digest *digest)
{
    while (items.ok && items.remaining > 0) {
        struct sl_array_reader fields = next_array(&items, Sl_SHARE_FIELDS);
        struct sl_gossip_share *share = &digest->shares[digest->share_count++];
        share->service = next_uint32(&fields);
        share->team = next_uint32(&fields);
        share->held = next_uint16(&fields);
        share->waiting = next_uint16(&fields);
        items.ok = items.ok && fields.ok;
    }
    return items.ok;
}

static bool
decode_paces(struct sl_array_reader items, struct sl_gossip_digest *digest)
{
    while (items.ok && items.remaining > 0) {
        struct sl_array_reader fields = next_array(&items, Sl_PACE_FIELDS);
        struct sl_gossip_pace *pace = &digest->paces[digest->pace_count++];
        pace->upstream = next_uint32(&fields);
        pace->percent = next_uint16(&fields);
        pace->age_ms = next_uint32(&fields);
        items.ok = items.ok && fields.ok;
    }
    return items.ok;
}

static bool
decode_kept_parts(struct sl_array_reader items,
                  struct sl_gossip_digest *digest)
{
    while (items.ok && items.remaining > 0) {
        struct sl_array_reader fields =
            next_array(&items, Sl_KEPT_PART_FIELDS);
        struct sl_gossip_kept_part *part =
            &digest->kept_parts[digest->kept_part_count++];
        part->upstream = next_uint32(&fields);
        part->part = next_uint32(&fields);
        part->age_ms = next_uint32(&fields);
        items.ok = items.ok && fields.ok;
    }
    return items.ok;
}

static bool
decode_limits(struct sl_array_reader items, struct sl_gossip_digest *digest)
{
    while (items.ok && items.remaining > 0) {
        struct sl_array_reader fields = next_array(&items, Sl_LIMIT_FIELDS);
        struct sl_gossip_limit *limit = &digest->limits[digest->limit_count++];
        limit->upstream = next_uint32(&fields);
        limit->per_1000_s = next_uint32(&fields);
        limit->age_ms = next_uint32(&fields);
        items.ok = items.ok && fields.ok;
    }
    return items.ok;
}

static bool
decode_demands(struct sl_array_reader items, struct sl_gossip_digest *digest)
{
    while (items.ok && items.remaining > 0) {
        struct sl_array_reader fields = next_array(&items, Sl_DEMAND_FIELDS);
        struct sl_gossip_demand *demand =
            &digest->demands[digest->demand_count++];
        demand->service = next_uint32(&fields);
        demand->requests = next_uint32(&fields);
        items.ok = items.ok && fields.ok;
    }
    return items.ok;
}

static bool
decode_digest(struct sl_array_reader fields, struct sl_gossip_digest *digest)
{
    if (next_uint(&fields) != Sl_GOSSIP_VERSION) {
        return false;
    }
    digest->vm = next_name(&fields);
    digest->domain = next_name(&fields);
    digest->address = next_name(&fields);
    digest->boot = next_uint(&fields);
    uint64_t sequence = next_uint(&fields);
    digest->sequence = sequence >> 2;
    digest->is_carrying = (sequence & 2) != 0;
    digest->is_leaving = (sequence & 1) != 0;
    digest->live_domain_peers = next_uint32(&fields);
    uint64_t relay = next_uint(&fields);
    /* Receivers treat every value above 1 alike. */
    digest->relay = (uint8_t)MIN(relay, UINT8_MAX);
    digest->age_ms = next_uint32(&fields);
    struct sl_array_reader offsets = next_array(&fields, Sl_GOSSIP_FEED_COUNT);
    for (size_t i = 0; i < Sl_GOSSIP_FEED_COUNT; i++) {
        digest->offsets[i] = next_uint(&offsets);
    }
    digest->staleness_ms = next_uint32(&fields);
    struct sl_array_reader loads = next_array(&fields, Sl_GOSSIP_MAX_LOADS);
    while (loads.ok && loads.remaining > 0) {
        if (!decode_load(next_array(&loads, Sl_LOAD_FIELDS),
                         &digest->loads[digest->load_count])) {
            return false;
        }
        digest->load_count++;
    }
    struct sl_array_reader faults = next_array(&fields, Sl_GOSSIP_MAX_FAULTS);
    while (faults.ok && faults.remaining > 0) {
        digest->faults[digest->fault_count++] =
            fault_from_uint(next_uint(&faults));
    }
    struct sl_array_reader rollouts =
        next_array(&fields, Sl_GOSSIP_MAX_ROLLOUTS);
    while (rollouts.ok && rollouts.remaining > 0) {
        if (!decode_rollout(next_array(&rollouts, Sl_ROLLOUT_FIELDS),
                            &digest->rollouts[digest->rollout_count])) {
            return false;
        }
        digest->rollout_count++;
    }
    bool is_quarantine_ok = decode_quarantine(
        next_array(&fields, Sl_QUARANTINE_FIELDS), &digest->quarantine);
    bool are_lists_ok =
        decode_shares(next_array(&fields, Sl_GOSSIP_MAX_SHARES), digest) &&
        decode_paces(next_array(&fields, Sl_GOSSIP_MAX_PACES), digest) &&
        decode_kept_parts(next_array(&fields, Sl_GOSSIP_MAX_KEPT_PARTS),
                          digest) &&
        decode_limits(next_array(&fields, Sl_GOSSIP_MAX_LIMITS), digest) &&
        decode_demands(next_array(&fields, Sl_GOSSIP_MAX_DEMANDS), digest);
    return is_quarantine_ok && are_lists_ok && fields.ok && offsets.ok &&
           loads.ok && faults.ok && rollouts.ok &&
           !SlName_IsEmpty(&digest->vm) && digest->boot != 0;
}

enum sl_errno
SlGossip_Decode(struct sl_str bytes, struct sl_gossip_digest *digest,
                struct sl_error *err)
{
    msgpack_unpacked unpacked;
    enum sl_errno code = Sl_OK;
    size_t parsed_bytes = 0;
    memset(digest, 0, sizeof(*digest));
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, bytes.ptr, bytes.len, &parsed_bytes) !=
            MSGPACK_UNPACK_SUCCESS ||
        parsed_bytes != bytes.len ||
        unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
        code = SlError_Set(
            err, Sl_ERR_INVALID, step, "",
            "datagram of %zu bytes is not a single msgpack array", bytes.len);
    }
    else {
        struct sl_array_reader fields = {unpacked.data.via.array.ptr,
                                         unpacked.data.via.array.size, true};
        if (!decode_digest(fields, digest)) {
            code = SlError_Set(
                err, Sl_ERR_INVALID, step, "",
                "digest has a field that is missing, of the wrong type "
                "or out of range");
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    return code;
}

static uint32_t
add_saturating(uint32_t ms, uint32_t added_ms)
{
    return ms > UINT32_MAX - added_ms ? UINT32_MAX : ms + added_ms;
}

static void
add_quarantine_age(struct sl_gossip_quarantine *quarantine, uint32_t ms)
{
    for (size_t i = 0; i < quarantine->end_count; i++) {
        struct sl_gossip_end *end = &quarantine->ends[i];
        end->age_ms = add_saturating(end->age_ms, ms);
    }
    for (size_t i = 0; i < quarantine->block_count; i++) {
        struct sl_gossip_block *block = &quarantine->blocks[i];
        block->end_age_ms = add_saturating(block->end_age_ms, ms);
        block->expires_in_ms -= MIN(block->expires_in_ms, ms);
    }
    for (size_t i = 0; i < quarantine->cleared_count; i++) {
        struct sl_gossip_cleared *cleared = &quarantine->cleared[i];
        cleared->age_ms = add_saturating(cleared->age_ms, ms);
    }
}

void
SlGossip_AddAge(struct sl_gossip_digest *digest, int64_t age_us)
{
    uint32_t ms =
        (uint32_t)CLAMP(age_us / Sl_US_PER_MS, 0, (int64_t)UINT32_MAX);
    digest->age_ms = add_saturating(digest->age_ms, ms);
    digest->staleness_ms = add_saturating(digest->staleness_ms, ms);
    for (size_t i = 0; i < digest->fault_count; i++) {
        digest->faults[i].age_ms =
            add_saturating(digest->faults[i].age_ms, ms);
    }
    for (size_t i = 0; i < digest->rollout_count; i++) {
        struct sl_gossip_rollout *rollout = &digest->rollouts[i];
        rollout->elapsed_ms = add_saturating(rollout->elapsed_ms, ms);
    }
    add_quarantine_age(&digest->quarantine, ms);
    for (size_t i = 0; i < digest->pace_count; i++) {
        digest->paces[i].age_ms = add_saturating(digest->paces[i].age_ms, ms);
    }
    for (size_t i = 0; i < digest->kept_part_count; i++) {
        digest->kept_parts[i].age_ms =
            add_saturating(digest->kept_parts[i].age_ms, ms);
    }
    for (size_t i = 0; i < digest->limit_count; i++) {
        digest->limits[i].age_ms =
            add_saturating(digest->limits[i].age_ms, ms);
    }
}

/* ---- peer lists ---- */

size_t
SlPeerList_Encode(const struct sl_member *members, size_t count,
                  struct sl_buf *out)
{
    msgpack_packer packer;
    size_t free_bytes = Sl_GOSSIP_MAX_BYTES - Sl_PEER_LIST_BYTES;
    size_t encoded = 0; /* members that fit */
    for (; encoded < MIN(count, Sl_PEER_LIST_MAX); encoded++) {
        const struct sl_member *member = &members[encoded];
        size_t bytes = Sl_MEMBER_BYTES + member->vm.len + member->domain.len +
                       member->address.len;
        if (bytes > free_bytes) {
            break;
        }
        free_bytes -= bytes;
    }
    msgpack_packer_init(&packer, out, write_bytes);
    msgpack_pack_array(&packer, Sl_PEER_LIST_FIELDS);
    msgpack_pack_int(&packer, Sl_GOSSIP_VERSION);
    msgpack_pack_array(&packer, encoded);
    for (size_t i = 0; i < encoded; i++) {
        msgpack_pack_array(&packer, Sl_MEMBER_FIELDS);
        pack_name(&packer, &members[i].vm);
        pack_name(&packer, &members[i].domain);
        pack_name(&packer, &members[i].address);
    }
    return encoded;
}

static bool
decode_peer_list(struct sl_array_reader fields, struct sl_member *members,
                 size_t *count)
{
    if (fields.remaining != Sl_PEER_LIST_FIELDS ||
        next_uint(&fields) != Sl_GOSSIP_VERSION) {
        return false;
    }
    struct sl_array_reader list = next_array(&fields, Sl_PEER_LIST_MAX);
    *count = 0;
    while (list.ok && list.remaining > 0) {
        struct sl_array_reader member = next_array(&list, Sl_MEMBER_FIELDS);
        members[*count].vm = next_name(&member);
        members[*count].domain = next_name(&member);
        members[*count].address = next_name(&member);
        if (!member.ok || SlName_IsEmpty(&members[*count].vm)) {
            return false;
        }
        (*count)++;
    }
    return fields.ok && list.ok;
}

bool
SlPeerList_Decode(struct sl_str bytes, struct sl_member *members,
                  size_t *count)
{
    msgpack_unpacked unpacked;
    size_t parsed_bytes = 0;
    bool ok = false;
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, bytes.ptr, bytes.len, &parsed_bytes) ==
            MSGPACK_UNPACK_SUCCESS &&
        parsed_bytes == bytes.len &&
        unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
        struct sl_array_reader fields = {unpacked.data.via.array.ptr,
                                         unpacked.data.via.array.size, true};
        ok = decode_peer_list(fields, members, count);
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}
