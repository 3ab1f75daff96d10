/* Unit costs of kept parts for docs/CAPACITY.md: processor time of a decision
 * over all engines and of digests, memory, and bytes of a digest. */
#include "common.h"
#include "sl_kept.h"

#include <malloc.h>
#include <string.h>

#define Sl_DECISIONS_OF_ALL 4000000 /* engines that all decisions look at */
#define Sl_REPORTS 20000
#define Sl_DOMAINS 3
#define Sl_SUBJECTS 600
#define Sl_PARTS_OF_PROMPT 3

struct sl_site {
    struct sl_kept *kept;
    struct sl_kept_engine **engines;
    size_t count;
    int64_t now_us;
    uint64_t number; /* of the prompt */
};

static void
next_prompt(struct sl_site *site, struct sl_kept_prompt *prompt)
{
    uint64_t number = ++site->number;
    const uint64_t ids[Sl_PARTS_OF_PROMPT] = {1, 100 + number % Sl_SUBJECTS,
                                              number << 20};
    const int64_t tokens[Sl_PARTS_OF_PROMPT] = {512, 4870, 6610};
    memset(prompt, 0, sizeof(*prompt));
    prompt->part_count = Sl_PARTS_OF_PROMPT;
    for (size_t i = 0; i < Sl_PARTS_OF_PROMPT; i++) {
        prompt->parts[i].key = SlKept_Key(ids[i], Sl_STR("model"));
        prompt->parts[i].tokens = tokens[i];
        prompt->tokens += tokens[i];
    }
    site->now_us += 100 * Sl_US_PER_MS;
}

/* Decides about a prompt as the placement does. Returns the engine that is
 * expected to have kept most of it. */
static struct sl_kept_engine *
decide(const struct sl_site *site, const struct sl_kept_prompt *prompt)
{
    struct sl_kept_homes homes = {.part = SlKeptPrompt_SharedKey(prompt)};
    struct sl_kept_engine *best = NULL;
    int64_t most = -1;
    for (size_t i = 0; i < site->count; i++) {
        SlKeptHomes_Add(&homes, i % Sl_DOMAINS, site->engines[i]);
    }
    SlKeptHomes_Choose(&homes, site->kept, site->now_us);
    for (size_t i = 0; i < site->count; i++) {
        struct sl_kept_engine *engine = site->engines[i];
        bool is_home = SlKeptHomes_Has(&homes, i % Sl_DOMAINS, engine);
        struct sl_kept_estimate estimate =
            SlKept_Estimate(site->kept, engine, prompt, is_home);
        if (estimate.expected_tokens > most) {
            most = estimate.expected_tokens;
            best = engine;
        }
    }
    return best;
}

static void
play(struct sl_site *site, size_t requests, size_t routers)
{
    const struct sl_kept_memory memory = {572085, 0, routers};
    for (size_t i = 0; i < requests; i++) {
        struct sl_kept_prompt prompt;
        next_prompt(site, &prompt);
        SlKeptEngine_OnSent(decide(site, &prompt), site->now_us, &prompt,
                            &memory);
        SlKept_OnRequest(site->kept, site->now_us, &prompt);
        SlKept_OnStray(site->kept, site->now_us, (uint32_t)i,
                       SlKeptPrompt_SharedKey(&prompt));
    }
}

static void
row(const char *label, size_t engines, size_t routers)
{
    double heap = (double)mallinfo2().uordblks;
    struct sl_site site = {SlKept_New(),
                           g_new0(struct sl_kept_engine *, engines), engines,
                           Sl_US_PER_S, 0};
    struct sl_gossip_digest digest = {0};
    size_t decisions = Sl_DECISIONS_OF_ALL / engines;
    for (size_t i = 0; i < engines; i++) {
        site.engines[i] = SlKeptEngine_New((uint32_t)SlHash_Mix(i + 1));
    }
    double start_s = SlBench_CpuSeconds();
    play(&site, decisions, routers);
    double decided_s = SlBench_CpuSeconds();
    heap = (double)mallinfo2().uordblks - heap;
    for (size_t i = 0; i < Sl_REPORTS; i++) {
        for (uint32_t j = 1; j <= Sl_GOSSIP_MAX_KEPT_PARTS; j++) {
            SlKept_OnStray(site.kept, site.now_us, UINT32_MAX - j,
                           UINT32_MAX - j);
        }
        digest.kept_part_count =
            SlKept_FillReport(site.kept, site.now_us, digest.kept_parts,
                              Sl_GOSSIP_MAX_KEPT_PARTS);
    }
    double filled_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_REPORTS; i++) {
        for (size_t j = 0; j < digest.kept_part_count; j++) {
            SlKeptEngine_OnReport(site.engines[(i + j) % engines], site.now_us,
                                  &digest.kept_parts[j]);
        }
    }
    double heard_s = SlBench_CpuSeconds();
    SlBench_Row(label,
                (double[]){(decided_s - start_s) * 1e6 / (double)decisions,
                           (filled_s - decided_s) * 1e6 / Sl_REPORTS,
                           (heard_s - filled_s) * 1e6 / Sl_REPORTS,
                           (double)SlBench_DigestBytes(&digest), heap},
                5);
    for (size_t i = 0; i < engines; i++) {
        SlKeptEngine_Free(site.engines[i]);
    }
    g_free(site.engines);
    SlKept_Free(site.kept);
}

int
main(int argc, char **argv)
{
    static const char *const columns[] = {
        "kept parts", "us/decision", "us/report", "us/heard",
        "digest B",   "heap B",      NULL};
    SlBench_Init(argc, argv);
    SlBench_BeginTable("Kept parts, by engines and routers", columns);
    row("44 engines, 24 routers", 44, 24);
    row("120 engines, 46 routers", 120, 46);
    row("1,000 engines, 200 routers", 1000, 200);
    row("7,900 engines, 1,600 routers", 7900, 1600);
    SlBench_EndTable();
    return 0;
}
