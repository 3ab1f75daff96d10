/* Costs of the reducers for docs/CAPACITY.md: an entry and an agent connected
 * by frames in memory, and an entry connected to a growing number
 * of agents. */
#include "common.h"
#include "sl_core.h"

#include <malloc.h>
#include <string.h>
#include <time.h>

#define Sl_REQUESTS 20000
#define Sl_ENTRY_PEER 1 /* number of the entry's connection at the agent */
/* Virtual time between two steps of the processes. */
#define Sl_STEP_US Sl_US_PER_MS
/* Virtual time of a run without requests. */
#define Sl_IDLE_S 20
/* Time between two statuses of an agent. */
#define Sl_STATUS_INTERVAL_US (250 * Sl_US_PER_MS)
#define Sl_PINS 20000 /* session pins that an agent stores */

/* A process: its reducer, what it has sent, and the replies that it is due. */
struct sl_bench_process {
    struct sl_core *core;
    struct sl_effects *effects;
    struct sl_buf sent_frames; /* not yet delivered */
    struct sl_decoder *decoder;
    double reduce_s; /* wall time spent in SlCore_Reduce() */
    uint64_t sent_bytes;
    uint64_t messages;
    uint64_t log_reads;
    uint64_t appends;
    uint64_t append_bytes;
    uint64_t responses;
    bool wants_vms;
    bool wants_load;
    uint64_t append_token; /* of an append without a reply; 0: none */
    bool wants_stream[3];  /* by enum sl_stream */
    uint64_t read_from[3]; /* offsets, by enum sl_stream */
    GArray *calls;         /* tokens of upstream calls to reply to */
    GArray *connects;      /* peer numbers of connections to open */
};

/* An entry, an agent, and the services that they use. */
struct sl_world {
    int64_t now_us;
    struct sl_bench_process entry;
    struct sl_bench_process agent;
    struct sl_vm vms[256]; /* of the agents */
    size_t vm_count;
    GPtrArray *records; /* json_t; the configuration log, owned */
};

/* Returns the time of a monotonic clock. */
static double
wall_s(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Returns the bytes allocated on the heap. */
static double
heap_bytes(void)
{
    return (double)mallinfo2().uordblks;
}

/* Counts what the reducer sends and notes what it waits for. */
static void
handle_effect(struct sl_bench_process *process, const struct sl_effect *effect)
{
    switch (effect->type) {
    case Sl_EFFECT_CONNECT:
        g_array_append_val(process->connects, effect->u.connect.peer);
        break;
    case Sl_EFFECT_SEND: {
        size_t before = process->sent_frames.len;
        SlWire_Encode(effect->u.send.msg, &process->sent_frames, NULL);
        process->sent_bytes += process->sent_frames.len - before;
        process->messages++;
        break;
    }
    case Sl_EFFECT_VMS_READ:
        process->wants_vms = true;
        break;
    case Sl_EFFECT_LOAD_READ:
        process->wants_load = true;
        break;
    case Sl_EFFECT_LOG_READ:
        process->log_reads++;
        process->wants_stream[effect->u.read.stream] = true;
        process->read_from[effect->u.read.stream] = effect->u.read.from;
        break;
    case Sl_EFFECT_LOG_APPEND:
        process->appends++;
        process->append_bytes += effect->u.append.records.len;
        process->append_token = effect->u.append.token;
        break;
    case Sl_EFFECT_CALL:
        g_array_append_val(process->calls, effect->u.call.token);
        break;
    case Sl_EFFECT_HTTP_END:
        process->responses++;
        break;
    default:
        break;
    }
}

static struct sl_event
make_event(const struct sl_world *world, enum sl_event_type type)
{
    return (struct sl_event){.type = type,
                             .now_us = world->now_us,
                             .wall_ms =
                                 1700000000000 + world->now_us / Sl_US_PER_MS};
}

static void
reduce(struct sl_bench_process *process, const struct sl_event *event)
{
    SlEffects_Clear(process->effects);
    double start_s = wall_s();
    SlCore_Reduce(process->core, event, process->effects);
    process->reduce_s += wall_s() - start_s;
    for (size_t i = 0; i < SlEffects_Count(process->effects); i++) {
        handle_effect(process, SlEffects_At(process->effects, i));
    }
}

/* ---- external services ---- */

/* Replies with up to 500 records of the configuration, or an empty page of any
 * other stream. */
static void
reply_to_log_read(struct sl_world *world, struct sl_bench_process *process,
                  enum sl_stream stream)
{
    struct sl_log_record log_records[600];
    struct sl_log_page page = {.oldest = 1, .head = 1, .records = log_records};
    struct sl_event event = make_event(world, Sl_EVENT_LOG_READ);
    uint64_t from = MAX(process->read_from[stream], 1);
    if (stream == Sl_STREAM_CONFIG) {
        page.head = world->records->len + 1;
        for (; from < page.head && page.count < 500; from++) {
            log_records[page.count++] = (struct sl_log_record){
                from, g_ptr_array_index(world->records, from - 1)};
        }
    }
    event.u.read.stream = stream;
    event.u.read.page = &page;
    reduce(process, &event);
}

/* Replies to every read and append that the process waits for. */
static void
reply_to_reads(struct sl_world *world, struct sl_bench_process *process)
{
    struct sl_load_report load = {.boot = SlName_Of("engine-1"),
                                  .warm = 1,
                                  .version_count = 1,
                                  .versions = {SlName_Of("vers-1")}};
    for (size_t i = 0; i < G_N_ELEMENTS(process->wants_stream); i++) {
        if (process->wants_stream[i]) {
            process->wants_stream[i] = false;
            reply_to_log_read(world, process, (enum sl_stream)i);
        }
    }
    if (process->wants_vms) {
        struct sl_event event = make_event(world, Sl_EVENT_VMS);
        event.u.vms.vms = world->vms;
        event.u.vms.count = world->vm_count;
        process->wants_vms = false;
        reduce(process, &event);
    }
    if (process->wants_load) {
        struct sl_event event = make_event(world, Sl_EVENT_LOAD);
        event.u.load = &load;
        process->wants_load = false;
        reduce(process, &event);
    }
    if (process->append_token != 0) {
        struct sl_event event = make_event(world, Sl_EVENT_LOG_APPENDED);
        event.u.appended.token = process->append_token;
        event.u.appended.first_offset = 1;
        process->append_token = 0;
        reduce(process, &event);
    }
}

/* Replies to an agent's upstream call with a body in `chunks` chunks. */
static void
reply_to_call(struct sl_world *world, uint64_t token, size_t chunks)
{
    struct sl_event event = make_event(world, Sl_EVENT_CALL_HEAD);
    event.u.call.token = token;
    event.u.call.status = 200;
    event.u.call.content_type = Sl_STR("text/plain");
    reduce(&world->agent, &event);
    event.type = Sl_EVENT_CALL_CHUNK;
    event.u.call.bytes = Sl_STR("token ");
    for (size_t i = 0; i < chunks; i++) {
        reduce(&world->agent, &event);
    }
    event.type = Sl_EVENT_CALL_DONE;
    event.u.call.tokens = chunks;
    reduce(&world->agent, &event);
}

/* ---- world ---- */

/* Appends a record to the configuration log. */
static void
publish(struct sl_world *world, const char *key, const char *value)
{
    json_t *record =
        json_pack("{s:s,s:s,s:s,s:i,s:o}", "key", key, "id", key, "by",
                  "bench", "base", 0, "value", json_loads(value, 0, NULL));
    g_ptr_array_add(world->records, record);
}

static void
process_init(struct sl_world *world, struct sl_bench_process *process,
             enum sl_role role)
{
    struct sl_core_options options = {
        .role = role,
        .vm = SlName_Of(role == Sl_ROLE_ENTRY ? "entry-1" : "agent-0"),
        .domain = SlName_Of("brest"),
        .boot = role == Sl_ROLE_ENTRY ? 11 : 22,
        .seed = 1,
        .now_us = world->now_us,
        .wall_ms = make_event(world, Sl_EVENT_TICK).wall_ms};
    if (role == Sl_ROLE_AGENT) {
        options.upstream = SlName_Of("plume-0");
    }
    process->core = SlCore_New(&options);
    process->effects = SlEffects_New();
    process->decoder = SlDecoder_New();
    process->calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    process->connects = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

static void
world_init(struct sl_world *world, size_t agents)
{
    memset(world, 0, sizeof(*world));
    world->now_us = 1000 * Sl_US_PER_S;
    world->records =
        g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
    publish(world, "label/plume",
            "{\"type\":\"service\",\"adapter\":\"engine\"}");
    publish(world, "label/vers-1",
            "{\"type\":\"version\",\"service\":\"plume\",\"model\":\"m\","
            "\"cost_micros\":10,\"quality\":0.9}");
    for (size_t i = 0; i < agents; i++) {
        struct sl_vm *vm = &world->vms[world->vm_count++];
        char text[48];
        g_snprintf(text, sizeof(text), "label/plume-%zu", i);
        publish(world, text,
                "{\"type\":\"upstream\",\"service\":\"plume\",\"domain\":"
                "\"brest\",\"limit\":1000,\"cold_limit\":1000}");
        vm->upstream = SlName_Of(text + strlen("label/"));
        g_snprintf(text, sizeof(text), "agent-%zu", i);
        vm->name = SlName_Of(text);
        g_snprintf(text, sizeof(text), "10.0.0.%zu:1", i);
        vm->address = SlName_Of(text);
        vm->role = Sl_ROLE_AGENT;
        vm->domain = SlName_Of("brest");
    }
    publish(world, "selector/verses",
            "{\"kinds\":[\"verse\"],\"service\":\"plume\",\"cascade\":"
            "[\"vers-1\"],\"idempotent\":true,\"deadline_ms\":60000}");
    process_init(world, &world->entry, Sl_ROLE_ENTRY);
    process_init(world, &world->agent, Sl_ROLE_AGENT);
}

static void
process_free(struct sl_bench_process *process)
{
    SlCore_Free(process->core);
    SlEffects_Free(process->effects);
    SlDecoder_Free(process->decoder);
    SlBuf_Free(&process->sent_frames);
    g_array_free(process->calls, TRUE);
    g_array_free(process->connects, TRUE);
}

static void
world_free(struct sl_world *world)
{
    process_free(&world->entry);
    process_free(&world->agent);
    g_ptr_array_free(world->records, TRUE);
}

/* Connects a peer: the agent on `vm`, or the entry if that is NULL. */
static void
peer_up(struct sl_world *world, struct sl_bench_process *process,
        uint64_t peer, const struct sl_vm *vm)
{
    struct sl_msg hello = {.type = Sl_MSG_HELLO};
    struct sl_event event = make_event(world, Sl_EVENT_PEER_UP);
    bool is_agent = vm != NULL;
    hello.u.hello.wire_version = Sl_WIRE_VERSION;
    hello.u.hello.vm = is_agent ? vm->name : SlName_Of("entry-1");
    hello.u.hello.role = SlName_Of(is_agent ? "agent" : "entry");
    hello.u.hello.domain = SlName_Of("brest");
    hello.u.hello.boot = is_agent ? 22 : 11;
    if (is_agent) {
        hello.u.hello.upstream = vm->upstream;
    }
    event.u.peer.peer = peer;
    event.u.peer.msg = &hello;
    reduce(process, &event);
}

/* Delivers every frame that `from` has sent to `to`; `peer` is the number of
 * their connection at `to`. */
static void
deliver(struct sl_world *world, struct sl_bench_process *from,
        struct sl_bench_process *to, uint64_t peer)
{
    struct sl_buf bytes = from->sent_frames;
    size_t offset = 0;
    from->sent_frames = (struct sl_buf){0};
    while (offset < bytes.len) {
        struct sl_msg msg;
        size_t used = 0;
        struct sl_str rest = {bytes.ptr + offset, bytes.len - offset};
        SlDecoder_Next(to->decoder, rest, &msg, &used, NULL);
        offset += used;
        struct sl_event event = make_event(world, Sl_EVENT_MESSAGE);
        event.u.peer.peer = peer;
        event.u.peer.msg = &msg;
        reduce(to, &event);
    }
    SlBuf_Free(&bytes);
}

static void
tick(struct sl_world *world, struct sl_bench_process *process)
{
    struct sl_event event = make_event(world, Sl_EVENT_TICK);
    if (SlCore_NextDueUs(process->core) <= world->now_us) {
        reduce(process, &event);
    }
    reply_to_reads(world, process);
}

static void
send_request(struct sl_world *world, uint64_t conn)
{
    char session[32];
    struct sl_event event = make_event(world, Sl_EVENT_HTTP_REQUEST);
    g_snprintf(session, sizeof(session), "session-%" G_GUINT64_FORMAT, conn);
    event.u.http = (struct sl_http_request){.conn = conn,
                                            .method = Sl_STR("POST"),
                                            .path = Sl_STR("/v1"),
                                            .team = Sl_STR("locronan"),
                                            .session = SlStr_FromC(session),
                                            .kind = Sl_STR("verse"),
                                            .body = Sl_STR("text")};
    reduce(&world->entry, &event);
}

/* Advances the time and lets both processes handle all that is due. */
static void
step(struct sl_world *world, size_t chunks)
{
    uint64_t peer = world->entry.connects->len > 0
                        ? g_array_index(world->entry.connects, uint64_t, 0)
                        : 0;
    world->now_us += Sl_STEP_US;
    tick(world, &world->entry);
    tick(world, &world->agent);
    deliver(world, &world->entry, &world->agent, Sl_ENTRY_PEER);
    while (world->agent.calls->len > 0) {
        uint64_t token = g_array_index(world->agent.calls, uint64_t, 0);
        g_array_remove_index(world->agent.calls, 0);
        reply_to_call(world, token, chunks);
    }
    deliver(world, &world->agent, &world->entry, peer);
}

/* Runs both processes until they have the configuration and are connected. */
static void
connect_processes(struct sl_world *world)
{
    for (int i = 0; i < 2000 && world->entry.connects->len == 0; i++) {
        step(world, 0);
    }
    world->agent.sent_frames.len = 0;
    peer_up(world, &world->agent, Sl_ENTRY_PEER, NULL);
    peer_up(world, &world->entry,
            g_array_index(world->entry.connects, uint64_t, 0), &world->vms[0]);
    for (int i = 0; i < 2000; i++) {
        step(world, 0);
    }
}

/* ---- tables ---- */

static void
row_requests(size_t chunks)
{
    struct sl_world world;
    char label[32];
    world_init(&world, 1);
    connect_processes(&world);
    world.entry.reduce_s = world.agent.reduce_s = 0;
    world.entry.responses = world.entry.appends = 0;
    uint64_t bytes = world.entry.sent_bytes + world.agent.sent_bytes;
    for (uint64_t i = 1; i <= Sl_REQUESTS; i++) {
        send_request(&world, i);
        step(&world, chunks);
        step(&world, chunks);
    }
    bytes = world.entry.sent_bytes + world.agent.sent_bytes - bytes;
    g_snprintf(label, sizeof(label), "%zu chunks", chunks);
    SlBench_Row(label,
                (double[]){world.entry.reduce_s * 1e6 / Sl_REQUESTS,
                           world.agent.reduce_s * 1e6 / Sl_REQUESTS,
                           (double)bytes / Sl_REQUESTS,
                           100.0 * (double)world.entry.responses / Sl_REQUESTS,
                           (double)world.entry.append_bytes / Sl_REQUESTS},
                5);
    world_free(&world);
}

/* An entry without requests, connected to `agents` agents that send a status
 * every 250 ms. */
static void
row_idle(size_t agents)
{
    struct sl_world world;
    char label[32];
    double heap = heap_bytes();
    world_init(&world, agents);
    struct sl_bench_process *entry = &world.entry;
    for (int i = 0; i < 10000 && entry->connects->len < agents; i++) {
        world.now_us += Sl_STEP_US;
        tick(&world, entry);
    }
    agents = MIN(agents, entry->connects->len);
    for (size_t i = 0; i < agents; i++) {
        peer_up(&world, entry, g_array_index(entry->connects, uint64_t, i),
                &world.vms[i]);
    }
    struct sl_version_counts counts = {.version = SlName_Of("vers-1"),
                                       .loaded = true};
    struct sl_msg status = {.type = Sl_MSG_STATUS, .proof_age_us = 100000};
    status.u.status.limit = 8;
    status.u.status.version_count = 1;
    status.u.status.versions = &counts;
    entry->reduce_s = 0;
    entry->sent_bytes = entry->log_reads = 0;
    for (int i = 0; i < Sl_IDLE_S * 4; i++) {
        for (int64_t elapsed_us = 0; elapsed_us < Sl_STATUS_INTERVAL_US;
             elapsed_us += 10 * Sl_STEP_US) {
            world.now_us += 10 * Sl_STEP_US;
            tick(&world, entry);
        }
        status.offset = SlConfig_Offset(SlCore_Config(entry->core));
        for (size_t j = 0; j < agents; j++) {
            struct sl_event event = make_event(&world, Sl_EVENT_MESSAGE);
            event.u.peer.peer = g_array_index(entry->connects, uint64_t, j);
            event.u.peer.msg = &status;
            counts.done++;
            reduce(entry, &event);
        }
        SlBuf_Clear(&entry->sent_frames);
    }
    g_snprintf(label, sizeof(label), "%zu agents", agents);
    SlBench_Row(label,
                (double[]){100 * entry->reduce_s / Sl_IDLE_S,
                           (double)entry->sent_bytes / Sl_IDLE_S,
                           (double)entry->log_reads / Sl_IDLE_S,
                           heap_bytes() - heap},
                4);
    world_free(&world);
}

/* Heap and time per running request at the entry, and per session pin stored
 * by an agent. */
static void
table_memory(void)
{
    static const char *const columns[] = {"object", "heap B each", "us each",
                                          NULL};
    struct sl_world world;
    world_init(&world, 1);
    connect_processes(&world);
    SlBench_BeginTable("Slope: requests in flight and session pins", columns);
    double heap = heap_bytes();
    double start_s = world.entry.reduce_s;
    for (uint64_t i = 1; i <= 500; i++) {
        send_request(&world, i);
    }
    SlBench_Row("request in flight, entry",
                (double[]){(heap_bytes() - heap) / 500,
                           (world.entry.reduce_s - start_s) * 1e6 / 500},
                2);
    heap = heap_bytes();
    start_s = world.agent.reduce_s;
    for (uint64_t i = 0; i < Sl_PINS; i++) {
        char session[32];
        struct sl_msg msg = {.type = Sl_MSG_PIN_PUT};
        struct sl_event event = make_event(&world, Sl_EVENT_MESSAGE);
        g_snprintf(session, sizeof(session), "session-%" G_GUINT64_FORMAT, i);
        msg.u.pin = (struct sl_msg_pin){
            {SlName_Of("locronan"), SlName_Of(session), SlName_Of("plume")},
            SlName_Of("vers-1")};
        event.u.peer.peer = Sl_ENTRY_PEER;
        event.u.peer.msg = &msg;
        reduce(&world.agent, &event);
        SlBuf_Clear(&world.agent.sent_frames);
    }
    SlBench_Row("session pin, agent",
                (double[]){(heap_bytes() - heap) / Sl_PINS,
                           (world.agent.reduce_s - start_s) * 1e6 / Sl_PINS},
                2);
    SlBench_EndTable();
    world_free(&world);
}

int
main(int argc, char **argv)
{
    static const char *const requests[] = {
        "a request with", "entry us", "agent us", "peer bytes",
        "answered %",     "bill B",   NULL};
    static const char *const idle[] = {"entry without requests, with",
                                       "core %",
                                       "sent B/s",
                                       "log reads/s",
                                       "heap B",
                                       NULL};
    SlBench_Init(argc, argv);
    SlBench_BeginTable("Slope: requests through both reducers", requests);
    row_requests(1);
    row_requests(10);
    row_requests(100);
    SlBench_EndTable();
    SlBench_BeginTable("Slope: agents known to an entry", idle);
    row_idle(1);
    row_idle(10);
    row_idle(40);
    row_idle(100);
    SlBench_EndTable();
    table_memory();
    return 0;
}
