/* Unit costs for docs/CAPACITY.md: processor time, bytes and memory per
 * record, frame, agent, version, pass rate, candidate and queue item. */
#include "common.h"
#include "sl_wire.h"

#include <malloc.h>
#include <string.h>

#define Sl_UPDATES 500
#define Sl_FRAMES 200000 /* also decisions of the balancer and the cascade */

/* Returns the bytes allocated on the heap. */
static double
heap_bytes(void)
{
    return (double)mallinfo2().uordblks;
}

/* Returns the name PREFIX-NUMBER. */
static struct sl_name
numbered(const char *prefix, size_t number)
{
    char text[48];
    g_snprintf(text, sizeof(text), "%s-%zu", prefix, number);
    return SlName_Of(text);
}

/* ---- configuration ---- */

/* Applies the next record, which must be accepted. */
static void
apply(struct sl_config *config, const char *key, uint64_t base, json_t *value)
{
    struct sl_error err;
    char id[32];
    uint64_t offset = SlConfig_Offset(config) + 1;
    g_snprintf(id, sizeof(id), "id-%" G_GUINT64_FORMAT, (guint64)offset);
    json_t *record =
        json_pack("{s:s,s:s,s:s,s:I,s:o}", "key", key, "id", id, "by", "bench",
                  "base", (json_int_t)base, "value", value);
    if (SlConfig_Apply(config, offset, record, &err) != Sl_APPLY_ACCEPTED) {
        g_error("%s: %s", key, err.text);
    }
    json_decref(record);
}

static json_t *
upstream_label(int64_t limit)
{
    return json_pack("{s:s,s:s,s:s,s:I,s:I}", "type", "upstream", "service",
                     "plume", "domain", "brest", "limit", (json_int_t)limit,
                     "cold_limit", (json_int_t)2);
}

static void
row_config(size_t key_count)
{
    struct sl_config *config = SlConfig_New();
    struct sl_buf snapshot = {0};
    char label[32];
    double heap = heap_bytes();
    apply(config, "label/plume", 0,
          json_pack("{s:s,s:s}", "type", "service", "adapter", "engine"));
    double start_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < key_count; i++) {
        g_snprintf(label, sizeof(label), "label/up-%zu", i);
        apply(config, label, 0, upstream_label(8));
    }
    double inserted_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_UPDATES; i++) {
        g_snprintf(label, sizeof(label), "label/up-%zu", i % key_count);
        apply(config, label, SlConfig_Revision(config, label),
              upstream_label(9));
    }
    double updated_s = SlBench_CpuSeconds();
    double heap_used = heap_bytes() - heap;
    SlConfig_Snapshot(config, &snapshot);
    double written_s = SlBench_CpuSeconds();
    g_snprintf(label, sizeof(label), "%zu keys", key_count);
    SlBench_Row(label,
                (double[]){(inserted_s - start_s) * 1e6 / (double)key_count,
                           (updated_s - inserted_s) * 1e6 / Sl_UPDATES,
                           heap_used / (double)key_count,
                           (written_s - updated_s) * 1e6 / (double)key_count,
                           (double)snapshot.len / (double)key_count},
                5);
    SlBuf_Free(&snapshot);
    SlConfig_Free(config);
}

static void
table_config(void)
{
    static const char *const columns[] = {
        "configuration", "us/new key", "us/update", "heap B/key",
        "snap us/key",   "snap B/key", NULL};
    static const size_t sizes[] = {100, 1000, 4000, 8000};
    SlBench_BeginTable("Slope: records applied, per key and per update",
                       columns);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        row_config(sizes[i]);
    }
    SlBench_EndTable();
}

/* ---- frames ---- */

/* Prints the cost of encoding and decoding a message. */
static void
row_frame(const char *label, const struct sl_msg *msg)
{
    struct sl_buf out = {0};
    struct sl_decoder *decoder = SlDecoder_New();
    struct sl_msg decoded_msg;
    size_t consumed = 0;
    double start_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_FRAMES; i++) {
        SlBuf_Clear(&out);
        SlWire_Encode(msg, &out, NULL);
    }
    double encoded_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_FRAMES; i++) {
        SlDecoder_Next(decoder, SlBuf_Str(&out), &decoded_msg, &consumed,
                       NULL);
    }
    double decoded_s = SlBench_CpuSeconds();
    SlBench_Row(label,
                (double[]){(double)out.len,
                           (encoded_s - start_s) * 1e9 / Sl_FRAMES,
                           (decoded_s - encoded_s) * 1e9 / Sl_FRAMES},
                3);
    SlDecoder_Free(decoder);
    SlBuf_Free(&out);
}

static void
row_status(size_t version_count)
{
    struct sl_version_counts versions[Sl_STATUS_MAX_VERSIONS];
    char label[32];
    memset(versions, 0, sizeof(versions));
    for (size_t i = 0; i < version_count; i++) {
        versions[i] =
            (struct sl_version_counts){.version = numbered("plume-verse-v", i),
                                       .loaded = true,
                                       .done = 123456,
                                       .rated = 12345,
                                       .score_sum = 11111.5,
                                       .latency_sum_us = 123456789012};
    }
    struct sl_msg msg = {
        .type = Sl_MSG_STATUS, .offset = 1000000, .proof_age_us = 500000};
    msg.u.status = (struct sl_msg_status){.in_flight = 100,
                                          .limit = 128,
                                          .warm = 0.5,
                                          .service_time_us = 4000000,
                                          .version_count = version_count,
                                          .versions = versions};
    g_snprintf(label, sizeof(label), "status, %zu versions", version_count);
    row_frame(label, &msg);
}

static void
table_frames(void)
{
    static const char *const columns[] = {"frame", "bytes", "encode ns",
                                          "decode ns", NULL};
    static const char text[] = "a token or sixteen of them, as they are made "
                               "by an engine at work.";
    struct sl_msg msg = {.offset = 1000000, .proof_age_us = 500000};
    struct sl_request_id id = {0x123456789abcdef0, 123456};
    SlBench_BeginTable("Slope: frames", columns);
    msg.type = Sl_MSG_CHUNK;
    msg.u.chunk = (struct sl_msg_chunk){id, 1, 1000, {text, 6}};
    row_frame("chunk of one token, 6 bytes", &msg);
    msg.u.chunk.bytes.len = 60;
    row_frame("chunk of ten tokens, 60 bytes", &msg);
    msg.type = Sl_MSG_RUN;
    msg.u.run = (struct sl_msg_run){.id = id,
                                    .attempt = 1,
                                    .team = SlName_Of("locronan"),
                                    .session = SlName_Of("session-12345678"),
                                    .kind = SlName_Of("verse"),
                                    .version = SlName_Of("plume-verse-v2"),
                                    .bill = SlRequestId_Name(id),
                                    .method = Sl_STR("POST"),
                                    .path = Sl_STR("/v1/verses"),
                                    .content_type = Sl_STR("text/plain"),
                                    .body = {text, 60}};
    row_frame("run, body of 60 bytes", &msg);
    msg.type = Sl_MSG_RECEIPT;
    msg.u.receipt =
        (struct sl_msg_receipt){.bill = SlRequestId_Name(id),
                                .team = SlName_Of("locronan"),
                                .kind = SlName_Of("verse"),
                                .version = SlName_Of("plume-verse-v2"),
                                .upstream = SlName_Of("plume-1234"),
                                .tokens = 340,
                                .cost_micros = 1200};
    row_frame("receipt", &msg);
    msg.type = Sl_MSG_PIN_PUT;
    msg.u.pin = (struct sl_msg_pin){{SlName_Of("locronan"),
                                     SlName_Of("session-12345678"),
                                     SlName_Of("plume")},
                                    SlName_Of("plume-verse-v2")};
    row_frame("pin", &msg);
    msg.type = Sl_MSG_PULL;
    msg.u.pull.from = 1000000;
    row_frame("pull", &msg);
    row_status(0);
    row_status(1);
    row_status(4);
    row_status(20);
    SlBench_EndTable();
}

/* ---- policy ---- */

static void
row_evidence(size_t agents, size_t versions)
{
    char label[48];
    double heap = heap_bytes();
    struct sl_evidence *evidence = SlEvidence_New();
    struct sl_result_counts counts = {0};
    double start_s = SlBench_CpuSeconds();
    size_t rounds = 0;
    for (; rounds < 3 || rounds * agents * versions < 100000; rounds++) {
        counts.done += 3;
        counts.rated += 2;
        counts.score_sum += 1.9;
        for (size_t i = 0; i < agents * versions; i++) {
            struct sl_name agent = numbered("agent", i / versions);
            struct sl_name version = numbered("version", i % versions);
            SlEvidence_Report(evidence, &agent, 1, &version, &counts);
            SlEvidence_UpdateSuspect(evidence, &version, 0.9);
        }
    }
    double cpu_s = SlBench_CpuSeconds() - start_s;
    double pairs = (double)(agents * versions);
    g_snprintf(label, sizeof(label), "evidence, %zu agents x %zu versions",
               agents, versions);
    SlBench_Row(label,
                (double[]){cpu_s * 1e9 / (pairs * (double)rounds),
                           (heap_bytes() - heap) / pairs},
                2);
    SlEvidence_Free(evidence);
}

static void
row_balancer(size_t count)
{
    struct sl_candidate candidates[128] = {0};
    struct sl_random random = {1};
    char label[48];
    size_t sum = 0;
    for (size_t i = 0; i < count; i++) {
        candidates[i] = (struct sl_candidate){.limit = 8,
                                              .reported = i % 8,
                                              .loaded = true,
                                              .warm = 1,
                                              .report_age_us = 100000,
                                              .service_time_us = 4000000};
    }
    double start_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_FRAMES; i++) {
        sum += SlBalancer_ExpectedFinish.choose(candidates, count, &random);
    }
    double cpu_s = SlBench_CpuSeconds() - start_s;
    g_snprintf(label, sizeof(label), "choice among %zu", count);
    /* Using `sum` keeps the compiler from removing the loop. */
    SlBench_Row(label,
                (double[]){cpu_s * 1e9 / Sl_FRAMES + 0 * (double)sum, 0}, 2);
}

static void
row_queue(size_t count)
{
    struct sl_queue_options options = {count};
    char label[48];
    double heap = heap_bytes();
    struct sl_queue *queue = SlQueue_New(&options);
    struct sl_queue_item item = {.priority = 1};
    double start_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < count; i++) {
        item.id = i;
        item.team = numbered("team", i % 10);
        item.deadline_us = (int64_t)SlHash_Mix(i) >> 20;
        SlQueue_Push(queue, &item);
    }
    double heap_used = heap_bytes() - heap;
    while (SlQueue_Pop(queue, &item)) {
    }
    double cpu_s = SlBench_CpuSeconds() - start_s;
    g_snprintf(label, sizeof(label), "queue of %zu, push and pop", count);
    SlBench_Row(
        label,
        (double[]){cpu_s * 1e9 / (double)count, heap_used / (double)count}, 2);
    SlQueue_Free(queue);
}

static void
row_cascade(size_t key_count)
{
    struct sl_cascade *cascade = SlCascade_New();
    struct sl_random random = {1};
    struct sl_cascade_step steps[3] = {0};
    char label[48];
    double heap = heap_bytes();
    for (size_t i = 0; i < 3; i++) {
        steps[i] =
            (struct sl_cascade_step){.version = numbered("version", i),
                                     .cost_micros = (int64_t)(100 * (i + 1)),
                                     .quality = 0.7 + 0.12 * (double)i,
                                     .expected_us = Sl_US_PER_S};
    }
    struct sl_cascade_request request = {.kind = SlName_Of("verse"),
                                         .quality = 0.95,
                                         .time_left_us = 20 * Sl_US_PER_S,
                                         .count = 3,
                                         .steps = steps};
    for (size_t i = 0; i < key_count; i++) {
        request.team = numbered("team", i);
        SlCascade_Learn(cascade, &request.team, &request.kind,
                        &steps[i % 3].version, true);
    }
    double heap_used = heap_bytes() - heap;
    double start_s = SlBench_CpuSeconds();
    for (size_t i = 0; i < Sl_FRAMES; i++) {
        SlCascade_ExpectedCost.start(cascade, &request, &random);
    }
    double cpu_s = SlBench_CpuSeconds() - start_s;
    g_snprintf(label, sizeof(label), "cascade of 3 steps, %zu rates",
               key_count);
    SlBench_Row(
        label,
        (double[]){cpu_s * 1e9 / Sl_FRAMES, heap_used / (double)key_count}, 2);
    SlCascade_Free(cascade);
}

static void
table_policy(void)
{
    static const char *const columns[] = {"decision", "ns each", "heap B each",
                                          NULL};
    SlBench_BeginTable("Slope: decisions", columns);
    row_evidence(10, 2);
    row_evidence(100, 4);
    row_evidence(1000, 4);
    row_evidence(8000, 4);
    row_balancer(10);
    row_balancer(40);
    row_balancer(128);
    row_queue(100);
    row_queue(10000);
    row_cascade(100);
    row_cascade(4000);
    SlBench_EndTable();
}

int
main(int argc, char **argv)
{
    SlBench_Init(argc, argv);
    table_config();
    table_frames();
    table_policy();
    return 0;
}
