/* Runners: servers that run requests, one at a time on a channel. */
#include "standins.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define Sl_IDLE_MS 5000

struct sl_runner {
    struct sl_runner_options options;
    int fd;
    int port;
    int64_t born_ms; /* wall clock */
    int sequence;
    pthread_mutex_t lock;
    int active;
    bool has_exited;
};

struct sl_runner_conn {
    struct sl_runner *runner;
    int fd;
};

const char *
SlRunner_Id(const struct sl_runner *runner)
{
    return runner->options.id;
}

int
SlRunner_Active(struct sl_runner *runner)
{
    pthread_mutex_lock(&runner->lock);
    int active = runner->active;
    pthread_mutex_unlock(&runner->lock);
    return active;
}

static void
count_active(struct sl_runner *runner, int change)
{
    pthread_mutex_lock(&runner->lock);
    runner->active += change;
    pthread_mutex_unlock(&runner->lock);
}

void
SlRunner_Register(struct sl_runner *runner, struct sl_store *store,
                  const char *state)
{
    struct sl_text value = {0};
    if (state != NULL) {
        SlText_Printf(
            &value,
            "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\","
            "\"Version\":\"%s\",\"Slots\":%d,\"State\":\"%s\","
            "\"ColdLeftMs\":0,\"Sequence\":%d,\"born\":%lld}",
            runner->options.service, runner->options.ip, runner->port,
            runner->options.zone, runner->options.version,
            runner->options.slots, state, ++runner->sequence,
            (long long)runner->born_ms);
    }
    SlStore_Put(store, "keyed.servers", runner->options.id,
                state == NULL ? "" : value.ptr);
    SlText_Free(&value);
}

void
SlRunner_Exit(struct sl_runner *runner)
{
    runner->has_exited = true;
    shutdown(runner->fd, SHUT_RDWR);
}

/* ---- answers ---- */

static void
add_runner_headers(const struct sl_run *run, int status, const char *extra,
                   struct sl_text *out)
{
    SlText_Printf(out,
                  "HTTP/1.1 %d X\r\nSassafrasledge-Request-Id: %s\r\n"
                  "Sassafrasledge-Server-Stamp: stamp.%s\r\n"
                  "Sassafrasledge-Runner-Load: %d,0,%d\r\n%s",
                  status, run->id, run->id, SlRunner_Active(run->runner),
                  run->runner->options.slots, extra);
}

void
SlRun_Answer(struct sl_run *run, int status, const char *extra,
             const char *body)
{
    struct sl_text out = {0};
    add_runner_headers(run, status, extra, &out);
    SlText_Printf(&out, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
    (void)SlSocket_Write(run->fd, out.ptr, out.len);
    SlText_Free(&out);
}

/* Returns true if the caller has closed the channel. */
static bool
is_caller_gone(int fd)
{
    char byte;
    struct pollfd waited = {.fd = fd, .events = POLLIN};
    return poll(&waited, 1, 0) > 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

bool
SlRun_Stream(struct sl_run *run, const char *extra, int count, int64_t gap_ms)
{
    struct sl_text out = {0};
    add_runner_headers(run, 200, extra, &out);
    SlText_Printf(&out, "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n");
    bool ok = SlSocket_Write(run->fd, out.ptr, out.len);
    SlText_Free(&out);
    for (int64_t i = run->last_event + 1; ok && i < count; i++) {
        struct sl_text event = {0};
        SlText_Printf(&event, "id: %lld\ndata: %s-%lld\n\n", (long long)i,
                      run->id, (long long)i);
        SlText_Printf(&out, "%zx\r\n%s\r\n", event.len, event.ptr);
        ok = !is_caller_gone(run->fd) &&
             SlSocket_Write(run->fd, out.ptr, out.len);
        SlText_Free(&out);
        SlText_Free(&event);
        SlCase_SleepMs(gap_ms);
    }
    return ok && SlSocket_Write(run->fd, "0\r\n\r\n", 5);
}

/* ---- connections ---- */

static void
serve_request(struct sl_runner *runner, int fd,
              const struct sl_message *request)
{
    char expected[128];
    char last[32];
    struct sl_run run = {.runner = runner,
                         .fd = fd,
                         .request = request,
                         .last_event = -1,
                         .context = runner->options.context};
    sscanf(request->head.ptr, "%*s %511s", run.target);
    SlMessage_Header(request, "Sassafrasledge-Request-Id", run.id,
                     sizeof(run.id));
    SlMessage_Header(request, "Sassafrasledge-Model", run.model,
                     sizeof(run.model));
    if (SlMessage_Header(request, "Last-Event-Id", last, sizeof(last))) {
        run.last_event = strtoll(last, NULL, 10);
    }
    if (SlMessage_Header(request, "Sassafrasledge-Expect-Instance", expected,
                         sizeof(expected)) &&
        strcmp(expected, runner->options.id) != 0) {
        SlRun_Answer(&run, 421, "", "another instance\n");
        return;
    }
    if (SlRunner_Active(runner) >= 2 * runner->options.slots) {
        SlRun_Answer(&run, 503, "Sassafrasledge-Not-Executed: 1\r\n",
                     "full\n");
        return;
    }
    count_active(runner, 1);
    SlCase_Record("%s runs %s %s", runner->options.id, run.id, run.target);
    runner->options.serve(&run);
    SlCase_Record("%s ends %s", runner->options.id, run.id);
    count_active(runner, -1);
}

static void *
serve_conn(void *argument)
{
    struct sl_runner_conn *conn = argument;
    struct sl_message message = {0};
    while (!conn->runner->has_exited &&
           SlMessage_Read(conn->fd, false, SlCase_NowMs() + Sl_IDLE_MS,
                          &message) &&
           message.is_complete) {
        serve_request(conn->runner, conn->fd, &message);
        SlMessage_Reset(&message);
    }
    SlMessage_Free(&message);
    close(conn->fd);
    free(conn);
    return NULL;
}

static void *
accept_conns(void *argument)
{
    struct sl_runner *runner = argument;
    int fd;
    while ((fd = accept(runner->fd, NULL, NULL)) >= 0) {
        pthread_t thread;
        struct sl_runner_conn *conn = calloc(1, sizeof(*conn));
        conn->runner = runner;
        conn->fd = fd;
        SlThread_Start(&thread, serve_conn, conn);
        pthread_detach(thread);
    }
    close(runner->fd);
    return NULL;
}

struct sl_runner *
SlRunner_Start(const struct sl_runner_options *options)
{
    pthread_t thread;
    struct timespec now;
    struct sl_runner *runner = calloc(1, sizeof(*runner));
    clock_gettime(CLOCK_REALTIME, &now);
    runner->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    runner->options = *options;
    runner->fd = SlSocket_Listen(options->ip, &runner->port);
    if (runner->fd < 0) {
        free(runner);
        return NULL;
    }
    pthread_mutex_init(&runner->lock, NULL);
    SlThread_Start(&thread, accept_conns, runner);
    pthread_detach(thread);
    return runner;
}
