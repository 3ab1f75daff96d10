/*
 * A router that is stopped while requests wait for an upstream: are those
 * that it has read answered before it exits?
 *
 * One router, one engine. Streams take all places of the engine, and further
 * requests wait in the router's queue. Then the router gets SIGTERM.
 */
#include "../standins/standins.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define Sl_SLOTS 4
/* A runner queues as many as it has slots, so that the router sends it twice
 * its slots. */
#define Sl_RUNNING (2 * Sl_SLOTS)
#define Sl_WAITING 4
#define Sl_EVENTS 18
#define Sl_GAP_MS 500
#define Sl_DEADLINE_MS 20000
/* Bounds.LossSlackMs */
#define Sl_LOSS_SLACK_MS 200
/* Bounds.GraceS */
#define Sl_GRACE_MS 8000

static struct sl_deployment deployment;

struct sl_ask {
    pthread_t thread;
    char id[32];
    struct sl_client_answer answer;
};

static void
serve(struct sl_run *run)
{
    (void)SlRun_Stream(run, "", Sl_EVENTS, Sl_GAP_MS);
}

static void *
ask(void *argument)
{
    struct sl_ask *one = argument;
    const struct sl_client_request request = {
        .deployment = &deployment,
        .method = "POST",
        .target = "/eloge/1",
        .id = one->id,
        .deadline_ms = Sl_DEADLINE_MS,
        .headers = "Sassafrasledge-Model: m0\r\n"
                   "Sassafrasledge-Token-Count: 100,100\r\n",
        .body = "a verse",
    };
    SlClient_Ask(&request, &one->answer);
    return NULL;
}

static const char config[] =
    "{\"Version\":1,\"Routes\":[{\"Name\":\"eloge\","
    "\"Host\":\"cards.example\",\"PathPrefix\":\"/eloge/\","
    "\"RouteType\":\"streaming\",\"Service\":\"plume\",\"TimeoutMs\":20000,"
    "\"TargetLatencyMs\":4000,\"TargetGapMs\":2000,\"Priority\":1,"
    "\"MaxAttempts\":3,\"Sticky\":true,\"Resumable\":true}],"
    "\"Services\":[{\"Name\":\"plume\",\"HealthPath\":\"/healthz\","
    "\"MaxConns\":370,\"Engine\":{\"Slots\":4,\"KvCapacityTokens\":335077}}],"
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
        .slots = Sl_SLOTS,
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

/* Counts the requests that were read, waited for an upstream and got no
 * complete answer. */
static int
count_lost(const struct sl_ask *asks)
{
    int lost = 0;
    for (int i = Sl_RUNNING; i < Sl_RUNNING + Sl_WAITING; i++) {
        const struct sl_client_answer *answer = &asks[i].answer;
        bool is_lost = answer->is_connected && !answer->is_complete &&
                       answer->ended_ms - answer->sent_ms > Sl_LOSS_SLACK_MS &&
                       answer->ended_ms - answer->sent_ms < Sl_DEADLINE_MS;
        SlCase_Record("%s: %s after %lld ms", asks[i].id,
                      is_lost ? "LOST" : "answered",
                      (long long)(answer->ended_ms - answer->sent_ms));
        lost += is_lost ? 1 : 0;
    }
    return lost;
}

int
main(int argc, char **argv)
{
    static struct sl_ask asks[Sl_RUNNING + Sl_WAITING];
    if (argc != 2 || !SlCase_Begin(argv[1])) {
        return Sl_COULD_NOT_RUN;
    }
    if (!start()) {
        SlDeployment_Free(&deployment);
        return SlCase_End(Sl_COULD_NOT_RUN, "the deployment did not start");
    }
    /* No disruption for longer than ContactMs before the requests. */
    SlCase_SleepMs(3500);
    for (int i = 0; i < Sl_RUNNING + Sl_WAITING; i++) {
        bool is_waiting = i >= Sl_RUNNING;
        snprintf(asks[i].id, sizeof(asks[i].id), "%s-%d",
                 is_waiting ? "waiting" : "running", i);
        SlThread_Start(&asks[i].thread, ask, &asks[i]);
        SlCase_SleepMs(i == Sl_RUNNING - 1 ? 300 : 20);
    }
    SlCase_SleepMs(300);
    if (SlCase_HasTrouble()) {
        SlDeployment_Signal(&deployment, 0, SIGTERM);
        if (!SlDeployment_WaitExit(&deployment, 0, Sl_GRACE_MS)) {
            SlDeployment_Signal(&deployment, 0, SIGKILL);
        }
    }
    for (int i = 0; i < Sl_RUNNING + Sl_WAITING; i++) {
        pthread_join(asks[i].thread, NULL);
    }
    int lost = count_lost(asks);
    SlDeployment_Free(&deployment);
    return lost > 0 ? SlCase_End(Sl_RULE_BROKEN,
                                 "waiting requests ended without an answer")
                    : SlCase_End(Sl_RULE_HELD,
                                 "all waiting requests were answered");
}
