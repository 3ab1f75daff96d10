/*
 * A manifest that adds a route with a long path: does the router put it in
 * force?
 *
 * One router, one runner of a plain service. A second manifest takes a key
 * away and adds a route. With the disruption, the path of that route has 80
 * bytes; without it, 12. Later the router is stopped and started again, as in
 * a planned restart.
 */
#include "../standins/standins.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Bounds.ConfigApplyMs */
#define Sl_APPLY_MS 2000
#define Sl_REQUESTS 10
#define Sl_DEADLINE_MS 2500

static struct sl_deployment deployment;
static const char short_prefix[] = "/rappels/v2/";
static const char long_prefix[] =
    "/pompes-funebres/finistere-sud/commandes/rappels/calendrier/"
    "anniversaires/2027/v2/";

static void
serve(struct sl_run *run)
{
    SlCase_SleepMs(30);
    SlRun_Answer(run, 200, "", "done\n");
}

/* Puts a manifest. `added` is the prefix of a further route, or NULL. */
static void
put_config(int version, const char *keys, const char *added)
{
    struct sl_text config = {0};
    SlText_Printf(&config,
                  "{\"Version\":%d,\"Routes\":[{\"Name\":\"commande\","
                  "\"Host\":\"cards.example\",\"PathPrefix\":\"/commande/\","
                  "\"RouteType\":\"non_idempotent\",\"Service\":\"atelier\","
                  "\"TimeoutMs\":1200,\"TargetLatencyMs\":150,\"Priority\":2,"
                  "\"MaxAttempts\":1}",
                  version);
    if (added != NULL) {
        SlText_Printf(&config,
                      ",{\"Name\":\"rappel\",\"Host\":\"cards.example\","
                      "\"PathPrefix\":\"%s\",\"RouteType\":\"idempotent\","
                      "\"Service\":\"atelier\",\"TimeoutMs\":1200,"
                      "\"TargetLatencyMs\":150,\"Priority\":2,"
                      "\"MaxAttempts\":2}",
                      added);
    }
    SlText_Printf(
        &config,
        "],\"Services\":[{\"Name\":\"atelier\",\"HealthPath\":\"/healthz\","
        "\"MaxConns\":110,\"ColdStartS\":0,\"ColdPerS\":0}],"
        "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
        "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        "\"Tenants\":[{\"Name\":\"quimper\",\"ApiKeys\":[%s],"
        "\"Priority\":1}]}",
        keys);
    SlStore_Put(deployment.store, "keyed.op", "config", config.ptr);
    SlCase_Record("store confirms manifest %d%s%s", version,
                  added != NULL ? " with the route " : "",
                  added != NULL ? added : "");
    SlText_Free(&config);
}

static int
ask(const char *id, const char *method, const char *target, const char *key)
{
    char headers[128];
    struct sl_client_answer answer;
    snprintf(headers, sizeof(headers), "Sassafrasledge-Key: %s\r\n", key);
    const struct sl_client_request request = {
        .deployment = &deployment,
        .method = method,
        .target = target,
        .id = id,
        .deadline_ms = Sl_DEADLINE_MS,
        .headers = headers,
        .body = method[0] == 'P' ? "40 cards" : NULL,
    };
    SlClient_Ask(&request, &answer);
    return answer.status;
}

static bool
start(void)
{
    const struct sl_runner_options options = {
        .id = "i-atelier-1",
        .service = "atelier",
        .zone = "brest",
        .version = "v1",
        .ip = "127.0.0.1",
        .slots = 6,
        .serve = serve,
    };
    if (!SlDeployment_Init(&deployment, 1)) {
        return false;
    }
    struct sl_runner *runner = SlRunner_Start(&options);
    if (runner == NULL) {
        return false;
    }
    put_config(1, "\"key-kept\",\"key-taken\"", NULL);
    SlRunner_Register(runner, deployment.store, "ready");
    return SlDeployment_StartRouter(&deployment, 0) &&
           SlDeployment_WaitReady(&deployment, 0, 10000);
}

/* Sends requests with the key that was taken away, and on the added route.
 * Returns how many were handled as only the older manifest allows. */
static int
count_outdated(const char *added)
{
    int outdated = 0;
    for (int i = 0; i < Sl_REQUESTS; i++) {
        char id[32];
        char target[160];
        snprintf(id, sizeof(id), "taken-%d", i);
        int status = ask(id, "POST", "/commande/1", "key-taken");
        outdated += status == 200 ? 1 : 0;
        snprintf(id, sizeof(id), "added-%d", i);
        snprintf(target, sizeof(target), "%s1", added);
        status = ask(id, "GET", target, "key-kept");
        outdated += status == 404 ? 1 : 0;
        SlCase_SleepMs(100);
    }
    return outdated;
}

/* Restarts the router, and returns how many of the requests that follow are
 * answered with success. */
static int
count_served_after_restart(void)
{
    int served = 0;
    SlDeployment_Signal(&deployment, 0, SIGTERM);
    if (!SlDeployment_WaitExit(&deployment, 0, 8000) ||
        !SlDeployment_StartRouter(&deployment, 0)) {
        return -1;
    }
    (void)SlDeployment_WaitReady(&deployment, 0, 12000);
    for (int i = 0; i < Sl_REQUESTS; i++) {
        char id[32];
        snprintf(id, sizeof(id), "later-%d", i);
        served += ask(id, "POST", "/commande/1", "key-kept") == 200 ? 1 : 0;
    }
    return served;
}

int
main(int argc, char **argv)
{
    char why[160];
    const char *added = SlCase_HasTrouble() ? long_prefix : short_prefix;
    if (argc != 2 || !SlCase_Begin(argv[1])) {
        return Sl_COULD_NOT_RUN;
    }
    if (!start() || ask("first", "POST", "/commande/1", "key-taken") != 200) {
        SlDeployment_Free(&deployment);
        return SlCase_End(Sl_COULD_NOT_RUN, "the deployment did not start");
    }
    SlCase_SleepMs(3500);
    put_config(2, "\"key-kept\"", added);
    /* Well beyond the bound. */
    SlCase_SleepMs(2 * Sl_APPLY_MS);
    int outdated = count_outdated(added);
    int served = count_served_after_restart();
    SlDeployment_Free(&deployment);
    snprintf(why, sizeof(why),
             "%d of %d requests were handled by the older manifest; %d of %d "
             "served after a planned restart",
             outdated, 2 * Sl_REQUESTS, served, Sl_REQUESTS);
    return SlCase_End(outdated > 0 ? Sl_RULE_BROKEN : Sl_RULE_HELD, why);
}
