/*
 * A read of the store whose channel has gone silent: do the routers learn in
 * time that a runner drains?
 *
 * Two routers, two runners of a plain service. The channels on which the
 * routers wait for records of the runners go silent; all other channels work,
 * and so do new ones. More than ContactMs later a runner says that it drains.
 */
#include "../standins/standins.h"

#include <stdio.h>
#include <string.h>

#define Sl_ROUTERS 2
#define Sl_HEARTBEAT_MS 1200
/* Bounds.ContactMs */
#define Sl_CONTACT_MS 3000
/* Bounds.DrainMs */
#define Sl_DRAIN_MS 2000
/* A draining runner serves for DrainMs "and a little longer". */
#define Sl_LINGER_MS 3000
#define Sl_DEADLINE_MS 2500

static struct sl_deployment deployment;
static struct sl_runner *runners[2];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t drained_ms; /* when the store confirmed it; 0: not yet */
static int64_t last_late_ms;
static int late_count;
static bool is_over;

static void
serve(struct sl_run *run)
{
    pthread_mutex_lock(&lock);
    int64_t after_ms = SlCase_NowMs() - drained_ms;
    if (drained_ms != 0 && run->runner == runners[0] &&
        after_ms > Sl_DRAIN_MS) {
        late_count++;
        last_late_ms = after_ms;
        SlCase_Record("%s reached the draining runner %lld ms after the "
                      "confirmation",
                      run->id, (long long)after_ms);
    }
    pthread_mutex_unlock(&lock);
    SlCase_SleepMs(20);
    SlRun_Answer(run, 200, "", "status\n");
}

static const char config[] =
    "{\"Version\":1,\"Routes\":[{\"Name\":\"commande\","
    "\"Host\":\"cards.example\",\"PathPrefix\":\"/commande/\","
    "\"RouteType\":\"non_idempotent\",\"Service\":\"atelier\","
    "\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,"
    "\"MaxAttempts\":1}],\"Services\":[{\"Name\":\"atelier\","
    "\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdStartS\":0,"
    "\"ColdPerS\":0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
    "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000}}";

/* Registers the runners again at each heartbeat. */
static void *
beat(void *argument)
{
    (void)argument;
    while (!is_over) {
        pthread_mutex_lock(&lock);
        bool is_drained = drained_ms != 0;
        pthread_mutex_unlock(&lock);
        if (!is_drained) {
            SlRunner_Register(runners[0], deployment.store, "ready");
        }
        SlRunner_Register(runners[1], deployment.store, "ready");
        SlCase_SleepMs(Sl_HEARTBEAT_MS);
    }
    return NULL;
}

/* Sends requests through one router, one after the other. */
static void *
send_requests(void *argument)
{
    size_t router = (size_t)(uintptr_t)argument;
    for (int i = 0; !is_over; i++) {
        char id[32];
        struct sl_client_answer answer;
        snprintf(id, sizeof(id), "order-%zu-%d", router + 1, i);
        const struct sl_client_request request = {
            .deployment = &deployment,
            .router = router,
            .method = "POST",
            .target = "/commande/1",
            .id = id,
            .deadline_ms = Sl_DEADLINE_MS,
            .body = "40 cards",
        };
        SlClient_Ask(&request, &answer);
        SlCase_SleepMs(50);
    }
    return NULL;
}

static bool
start(void)
{
    static const char *const ids[] = {"i-atelier-1", "i-atelier-2"};
    if (!SlDeployment_Init(&deployment, Sl_ROUTERS)) {
        return false;
    }
    SlStore_Put(deployment.store, "keyed.op", "config", config);
    for (size_t i = 0; i < 2; i++) {
        const struct sl_runner_options options = {
            .id = ids[i],
            .service = "atelier",
            .zone = "brest",
            .version = "v1",
            .ip = "127.0.0.1",
            .slots = 6,
            .serve = serve,
        };
        runners[i] = SlRunner_Start(&options);
        if (runners[i] == NULL) {
            return false;
        }
        SlRunner_Register(runners[i], deployment.store, "ready");
    }
    for (size_t i = 0; i < Sl_ROUTERS; i++) {
        if (!SlDeployment_StartRouter(&deployment, i)) {
            return false;
        }
    }
    return SlDeployment_WaitReady(&deployment, 0, 10000) &&
           SlDeployment_WaitReady(&deployment, 1, 10000);
}

/* Silences the channels on which both routers wait for runners' records. */
static bool
silence(void)
{
    int64_t end_ms = SlCase_NowMs() + 10000;
    while (SlStore_WaitingReads(deployment.store, "keyed.servers") <
           Sl_ROUTERS) {
        if (SlCase_NowMs() > end_ms) {
            return false;
        }
        SlCase_SleepMs(5);
    }
    SlCase_Record("%d channels go silent",
                  SlStore_SilenceReads(deployment.store, "keyed.servers"));
    return true;
}

int
main(int argc, char **argv)
{
    char why[160];
    pthread_t threads[1 + Sl_ROUTERS];
    if (argc != 2 || !SlCase_Begin(argv[1])) {
        return Sl_COULD_NOT_RUN;
    }
    if (!start()) {
        SlDeployment_Free(&deployment);
        return SlCase_End(Sl_COULD_NOT_RUN, "the deployment did not start");
    }
    SlThread_Start(&threads[0], beat, NULL);
    for (size_t i = 0; i < Sl_ROUTERS; i++) {
        SlThread_Start(&threads[1 + i], send_requests, (void *)(uintptr_t)i);
    }
    SlCase_SleepMs(5000);
    if (SlCase_HasTrouble() && !silence()) {
        SlDeployment_Free(&deployment);
        return SlCase_End(Sl_COULD_NOT_RUN, "the routers do not read");
    }
    /* The answers that are lost are those to the next records. */
    SlCase_SleepMs(Sl_HEARTBEAT_MS + Sl_CONTACT_MS + 300);
    pthread_mutex_lock(&lock);
    SlRunner_Register(runners[0], deployment.store, "draining");
    drained_ms = SlCase_NowMs();
    pthread_mutex_unlock(&lock);
    SlCase_Record("store confirms that %s drains", SlRunner_Id(runners[0]));
    SlCase_SleepMs(Sl_DRAIN_MS + Sl_LINGER_MS);
    SlRunner_Exit(runners[0]);
    SlStore_Put(deployment.store, "keyed.servers", SlRunner_Id(runners[0]),
                "");
    SlCase_Record("%s has exited", SlRunner_Id(runners[0]));
    SlCase_SleepMs(3000);
    is_over = true;
    for (size_t i = 0; i < 1 + Sl_ROUTERS; i++) {
        pthread_join(threads[i], NULL);
    }
    SlDeployment_Free(&deployment);
    snprintf(why, sizeof(why),
             "%d requests reached the draining runner too late, the last one "
             "%lld ms after the confirmation",
             late_count, (long long)last_late_ms);
    return SlCase_End(late_count > 0 ? Sl_RULE_BROKEN : Sl_RULE_HELD, why);
}
