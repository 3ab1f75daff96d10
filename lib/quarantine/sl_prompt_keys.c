/* Keys of prompts: hashes of their parts, and of the whole. */
#include "sl_quarantine_internal.h"

/* The lowest bit of a key tells whole prompts from parts. */
#define Sl_WHOLE_BIT 1U

void
SlPromptKeys_Set(struct sl_prompt_keys *prompt, struct sl_str service,
                 const uint64_t *ids, size_t count, struct sl_str request_id)
{
    uint64_t seed = SlHash_Bytes(0, service);
    uint64_t whole = count > 0 ? seed : SlHash_Bytes(seed, request_id);
    prompt->service = SlPromptKeys_Service(service);
    prompt->part_count = 0;
    for (size_t i = 0; i < count; i++) {
        whole = SlHash_Mix(whole ^ ids[i]);
        if (i + 1 < count && i < Sl_PROMPT_MAX_PARTS) {
            prompt->parts[prompt->part_count++] =
                (uint32_t)SlHash_Mix(seed ^ ids[i]) & ~Sl_WHOLE_BIT;
        }
    }
    prompt->whole = (uint32_t)whole | Sl_WHOLE_BIT;
}

uint32_t
SlPromptKeys_Service(struct sl_str service)
{
    return (uint32_t)SlHash_Bytes(0, service) & ~Sl_WHOLE_BIT;
}

bool
SlPromptKeys_IsWhole(uint32_t key)
{
    return (key & Sl_WHOLE_BIT) != 0;
}

bool
SlPromptKeys_Holds(const struct sl_prompt_keys *prompt, uint32_t key)
{
    for (size_t i = 0; i < prompt->part_count; i++) {
        if (prompt->parts[i] == key) {
            return true;
        }
    }
    return prompt->whole == key;
}
