/*
 * Streams whose event ids are large: does every event reach the client?
 *
 * One router, one engine. The ids of the events increase. With the disruption,
 * they are the milliseconds since the epoch at which the events were made;
 * without it, they count from 0.
 */
#include "../standins/standins.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define Sl_REQUESTS 10
#define Sl_EVENTS 36
#define Sl_GAP_MS 30
#define Sl_DEADLINE_MS 15000
/* 5 December 2026, 16:00 UTC */
#define Sl_FIRST_MS 1796486400000LL

static struct sl_deployment deployment;

/* Answers with a stream of events whose ids increase, and ends it. */
static void
serve(struct sl_run *run)
{
    struct sl_text out = {0};
    SlText_Printf(&out,
                  "HTTP/1.1 200 OK\r\nSassafrasledge-Request-Id: %s\r\n"
                  "Sassafrasledge-Server-Stamp: stamp.%s\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  run->id, run->id);
    bool ok = SlSocket_Write(run->fd, out.ptr, out.len);
    SlText_Free(&out);
    for (int i = 0; ok && i < Sl_EVENTS; i++) {
        struct sl_text event = {0};
        long long id = SlCase_HasTrouble() ? Sl_FIRST_MS + SlCase_NowMs() : i;
        SlText_Printf(&event, "id: %lld\ndata: piece-%d.\n\n", id, i);
        SlText_Printf(&out, "%zx\r\n%s\r\n", event.len, event.ptr);
        ok = SlSocket_Write(run->fd, out.ptr, out.len);
        SlText_Free(&out);
        SlText_Free(&event);
        SlCase_SleepMs(Sl_GAP_MS);
    }
    if (ok && SlSocket_Write(run->fd, "0\r\n\r\n", 5)) {
        SlCase_Record("%s was sent %d events and the end", run->id, Sl_EVENTS);
    }
}

static const char config[] =
    "{\"Version\":1,\"Routes\":[{\"Name\":\"verset\","
    "\"Host\":\"cards.example\",\"PathPrefix\":\"/verset/\","
    "\"RouteType\":\"streaming\",\"Service\":\"plume\",\"TimeoutMs\":15000,"
    "\"TargetLatencyMs\":2000,\"TargetGapMs\":2000,\"Priority\":0,"
    "\"MaxAttempts\":3,\"Sticky\":true,\"Resumable\":true}],"
    "\"Services\":[{\"Name\":\"plume\",\"HealthPath\":\"/healthz\","
    "\"MaxConns\":370,\"Engine\":{\"Slots\":64,"
    "\"KvCapacityTokens\":335077}}],"
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
    "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

static bool
start(void)
{
    const struct sl_runner_options options = {
        .id = "i-plume-1",
        .service = "plume",
        .zone = "brest",
        .version = "v1",
        .ip = "127.0.0.1",
        .slots = 64,
        .serve = serve,
    };
    if (!SlDeployment_Init(&deployment, 1)) {
        return false;
    }
    struct sl_runner *runner = SlRunner_Start(&options);
    if (runner == NULL) {
        return false;
    }
    SlStore_Put(deployment.store, "keyed.op", "config", config);
    SlRunner_Register(runner, deployment.store, "ready");
    return SlDeployment_StartRouter(&deployment, 0) &&
           SlDeployment_WaitReady(&deployment, 0, 10000);
}

/* Returns the number of events that are missing in the body. */
static int
count_missing(const char *body)
{
    int missing = 0;
    for (int i = 0; i < Sl_EVENTS; i++) {
        char piece[32];
        snprintf(piece, sizeof(piece), "data: piece-%d.\n", i);
        missing += strstr(body, piece) == NULL ? 1 : 0;
    }
    return missing;
}

int
main(int argc, char **argv)
{
    char why[128];
    int broken = 0;
    int all_missing = 0;
    if (argc != 2 || !SlCase_Begin(argv[1])) {
        return Sl_COULD_NOT_RUN;
    }
    if (!start()) {
        SlDeployment_Free(&deployment);
        return SlCase_End(Sl_COULD_NOT_RUN, "the deployment did not start");
    }
    for (int i = 0; i < Sl_REQUESTS; i++) {
        char id[32];
        struct sl_client_answer answer;
        snprintf(id, sizeof(id), "verse-%d", i);
        const struct sl_client_request request = {
            .deployment = &deployment,
            .method = "POST",
            .target = "/verset/1",
            .id = id,
            .deadline_ms = Sl_DEADLINE_MS,
            .headers = "Sassafrasledge-Model: m0\r\n"
                       "Sassafrasledge-Token-Count: 600,80\r\n",
            .body = "a verse",
        };
        SlClient_Ask(&request, &answer);
        int missing = count_missing(answer.body);
        SlCase_Record("%s: status %d, %s, %d of %d events missing", id,
                      answer.status,
                      answer.is_complete ? "ended as complete" : "cut",
                      missing, Sl_EVENTS);
        if (answer.status == 200 && answer.is_complete && missing > 0) {
            broken++;
            all_missing += missing;
        }
    }
    SlDeployment_Free(&deployment);
    snprintf(why, sizeof(why),
             "%d of %d streams ended as complete, with %d of %d events "
             "missing",
             broken, Sl_REQUESTS, all_missing, Sl_REQUESTS * Sl_EVENTS);
    return SlCase_End(broken > 0 ? Sl_RULE_BROKEN : Sl_RULE_HELD, why);
}
