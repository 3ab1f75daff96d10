/* Routers as separate processes, and clients. */
#include "standins.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static const char program[] = "target/programs/sassafrasd";

/* ---- routers ---- */

/* Returns a port that is free on all routers' addresses, or 0. */
static int
find_port(const struct sl_deployment *deployment)
{
    int port = 0;
    int first = SlSocket_Listen(deployment->routers[0].ip, &port);
    bool is_free = first >= 0;
    for (size_t i = 1; is_free && i < deployment->router_count; i++) {
        int fd = SlSocket_Listen(deployment->routers[i].ip, &port);
        is_free = fd >= 0;
        if (is_free) {
            close(fd);
        }
    }
    if (first >= 0) {
        close(first);
    }
    return is_free ? port : 0;
}

bool
SlDeployment_Init(struct sl_deployment *deployment, size_t router_count)
{
    static const char *const zones[] = {"brest", "quimper", "vannes"};
    /* The net differs between cases that run at the same time. */
    int net = 1 + (int)(getpid() % 250);
    signal(SIGPIPE, SIG_IGN);
    deployment->router_count = router_count;
    snprintf(deployment->dir, sizeof(deployment->dir), "%s/sl-review-XXXXXX",
             getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
    if (access(program, X_OK) != 0 || mkdtemp(deployment->dir) == NULL) {
        return false;
    }
    for (size_t i = 0; i < router_count; i++) {
        struct sl_router_process *router = &deployment->routers[i];
        snprintf(router->ip, sizeof(router->ip), "127.20.%d.%zu", net, i + 10);
        snprintf(router->name, sizeof(router->name), "edge-%zu", i + 1);
        snprintf(router->zone, sizeof(router->zone), "%s", zones[i % 3]);
    }
    snprintf(deployment->store_ip, sizeof(deployment->store_ip), "127.20.%d.9",
             net);
    deployment->front_port = find_port(deployment);
    deployment->ready_port = find_port(deployment);
    deployment->peer_port = find_port(deployment);
    deployment->metrics_port = find_port(deployment);
    deployment->store = SlStore_Start(deployment->store_ip);
    return deployment->front_port != 0 && deployment->ready_port != 0 &&
           deployment->peer_port != 0 && deployment->metrics_port != 0 &&
           deployment->store != NULL;
}

static bool
write_settings(const struct sl_deployment *deployment, size_t index,
               const char *path)
{
    const struct sl_router_process *router = &deployment->routers[index];
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        return false;
    }
    fprintf(file,
            "NodeName=%s\nRole=router\nMachineClass=edge\n"
            "Serves=edge,control\nIp=%s\nZone=%s\nRegion=breizh\n"
            "Zones.brest=breizh\nZones.quimper=breizh\nZones.vannes=breizh\n"
            "Listen.Frontend=%s:%d\nListen.Ready=%s:%d\n"
            "Listen.ControlPlane=%s:%d\nInternalPorts=%d,%d\nSeeds=",
            router->name, router->ip, router->zone, router->ip,
            deployment->front_port, router->ip, deployment->ready_port,
            router->ip, deployment->peer_port, deployment->peer_port,
            deployment->peer_port);
    for (size_t i = 0; i < deployment->router_count && i < 3; i++) {
        fprintf(file, "%s%s:%d", i == 0 ? "" : ",", deployment->routers[i].ip,
                deployment->peer_port);
    }
    /* The bounds of the users' first deployment. */
    fprintf(file,
            "\nBootstrap=false\nLimits.CpuShare=0.19\nLimits.Cores=1\n"
            "Limits.MemoryMb=110\nLimits.MaxFds=1024\nHeartbeatMs=1200\n"
            "Bounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\n"
            "Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\n"
            "Bounds.RetryBudgetRatio=0.9\nBounds.BudgetWindowS=10\n"
            "Bounds.RetryBudgetExtra=56\nBounds.ExposureShare=0.15\n"
            "Bounds.ExposureSlack=30\nBounds.RollbackMs=5000\n"
            "Bounds.ColdOvershoot=1.5\nBounds.ColdSlack=5\n"
            "Bounds.SessionS=5\nBounds.ReuseAfterS=2\n"
            "Platform.Address=%s:%d\nPlatform.form=log\n"
            "Platform.RecordBytes=262144\n%s",
            deployment->store_ip, SlStore_Port(deployment->store),
            deployment->extra_settings != NULL ? deployment->extra_settings
                                               : "");
    return fclose(file) == 0;
}

/* Runs the program in a new process, which ends with this one. */
static void
run_program(const char *log_path, char **argv, char **envp)
{
    int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
    int null = open("/dev/null", O_RDONLY);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(null, 0);
    dup2(log, 1);
    dup2(log, 2);
    close(null);
    close(log);
    execve(program, argv, envp);
    _exit(127);
}

bool
SlDeployment_StartRouter(struct sl_deployment *deployment, size_t index)
{
    struct sl_router_process *router = &deployment->routers[index];
    char path[320];
    char log_path[320];
    char setting[400];
    char metrics[64];
    char role[] = "--role=router";
    char *argv[] = {(char *)program, role, metrics, NULL};
    char *envp[] = {setting, NULL};
    snprintf(path, sizeof(path), "%s/%s.conf", deployment->dir, router->name);
    snprintf(log_path, sizeof(log_path), "%s/%s.log", deployment->dir,
             router->name);
    snprintf(setting, sizeof(setting), "SASSAFRASLEDGE_SETTINGS=%s", path);
    snprintf(metrics, sizeof(metrics), "--metrics-port=%d",
             deployment->metrics_port);
    if (!write_settings(deployment, index, path)) {
        return false;
    }
    router->pid = fork();
    if (router->pid == 0) {
        run_program(log_path, argv, envp);
    }
    if (router->pid < 0) {
        router->pid = 0;
        return false;
    }
    SlCase_Record("%s starts", router->name);
    return true;
}

bool
SlDeployment_IsReady(struct sl_deployment *deployment, size_t index)
{
    static const char request[] = "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
                                  "Connection: close\r\n\r\n";
    struct sl_message message = {0};
    int fd = SlSocket_Connect(deployment->routers[index].ip,
                              deployment->ready_port);
    bool is_ready =
        fd >= 0 && SlSocket_Write(fd, request, sizeof(request) - 1) &&
        SlMessage_Read(fd, true, SlCase_NowMs() + 1000, &message) &&
        SlMessage_Status(&message) == 200;
    if (fd >= 0) {
        close(fd);
    }
    SlMessage_Free(&message);
    return is_ready;
}

bool
SlDeployment_WaitReady(struct sl_deployment *deployment, size_t index,
                       int64_t within_ms)
{
    int64_t end_ms = SlCase_NowMs() + within_ms;
    while (!SlDeployment_IsReady(deployment, index)) {
        if (SlCase_NowMs() >= end_ms) {
            return false;
        }
        SlCase_SleepMs(20);
    }
    SlCase_Record("%s is ready", deployment->routers[index].name);
    return true;
}

void
SlDeployment_Signal(struct sl_deployment *deployment, size_t index,
                    int signal_number)
{
    struct sl_router_process *router = &deployment->routers[index];
    if (router->pid != 0) {
        kill(router->pid, signal_number);
        SlCase_Record("%s gets SIG%s", router->name,
                      sigabbrev_np(signal_number));
    }
}

bool
SlDeployment_WaitExit(struct sl_deployment *deployment, size_t index,
                      int64_t within_ms)
{
    struct sl_router_process *router = &deployment->routers[index];
    int64_t end_ms = SlCase_NowMs() + within_ms;
    while (router->pid != 0) {
        if (waitpid(router->pid, &router->exit_status, WNOHANG) ==
            router->pid) {
            SlCase_Record("%s has exited, status %d", router->name,
                          router->exit_status);
            router->pid = 0;
            return true;
        }
        if (SlCase_NowMs() >= end_ms) {
            return false;
        }
        SlCase_SleepMs(10);
    }
    return true;
}

static void
remove_file(const struct sl_deployment *deployment, const char *name,
            const char *ending)
{
    char path[320];
    snprintf(path, sizeof(path), "%s/%s.%s", deployment->dir, name, ending);
    unlink(path);
}

void
SlDeployment_Free(struct sl_deployment *deployment)
{
    bool keeps_logs = getenv("KEEP_LOGS") != NULL;
    for (size_t i = 0; i < deployment->router_count; i++) {
        struct sl_router_process *router = &deployment->routers[i];
        if (router->pid != 0) {
            kill(router->pid, SIGCONT);
            kill(router->pid, SIGKILL);
            waitpid(router->pid, NULL, 0);
            router->pid = 0;
        }
        if (!keeps_logs) {
            remove_file(deployment, router->name, "conf");
            remove_file(deployment, router->name, "log");
        }
    }
    if (!keeps_logs) {
        rmdir(deployment->dir);
    }
}

/* ---- clients ---- */

void
SlThread_Start(pthread_t *thread, void *(*work)(void *), void *argument)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    if (pthread_create(thread, &attributes, work, argument) != 0) {
        fprintf(stderr, "cannot start a thread\n");
        exit(Sl_COULD_NOT_RUN);
    }
    pthread_attr_destroy(&attributes);
}

static bool
announces_close(const struct sl_message *answer)
{
    char value[32];
    return SlMessage_Header(answer, "Connection", value, sizeof(value)) &&
           strcmp(value, "close") == 0;
}

void
SlClient_Ask(const struct sl_client_request *request,
             struct sl_client_answer *answer)
{
    const struct sl_deployment *deployment = request->deployment;
    struct sl_text out = {0};
    struct sl_message message = {0};
    memset(answer, 0, sizeof(*answer));
    SlText_Printf(&out,
                  "%s %s HTTP/1.1\r\nHost: cards.example\r\n"
                  "Sassafrasledge-Request-Id: %s\r\n"
                  "Sassafrasledge-Deadline-Ms: %lld\r\n%s",
                  request->method, request->target, request->id,
                  (long long)request->deadline_ms,
                  request->headers != NULL ? request->headers : "");
    if (request->body != NULL) {
        SlText_Printf(&out, "Content-Length: %zu\r\n", strlen(request->body));
    }
    SlText_Printf(&out, "\r\n%s", request->body != NULL ? request->body : "");
    int fd = request->channel != NULL ? *request->channel : -1;
    answer->is_kept = fd >= 0;
    if (fd < 0) {
        fd = SlSocket_Connect(deployment->routers[request->router].ip,
                              deployment->front_port);
    }
    answer->is_connected = fd >= 0;
    if (fd >= 0 && SlSocket_Write(fd, out.ptr, out.len)) {
        answer->sent_ms = SlCase_NowMs();
        SlCase_Record("client sends %s to %s: %s", request->id,
                      deployment->routers[request->router].name,
                      request->target);
        (void)SlMessage_Read(
            fd, true, answer->sent_ms + request->deadline_ms + 2000, &message);
    }
    answer->status = SlMessage_Status(&message);
    answer->is_complete = message.is_complete;
    answer->ended_ms = SlCase_NowMs();
    SlMessage_Header(&message, "Retry-After", answer->retry_after,
                     sizeof(answer->retry_after));
    snprintf(answer->body, sizeof(answer->body), "%s",
             message.body.len > 0 ? message.body.ptr : "");
    SlCase_Record("client gets for %s: status %d, %s", request->id,
                  answer->status,
                  !answer->is_connected ? "no channel"
                  : answer->is_complete ? "complete"
                                        : "channel ended");
    if (request->channel != NULL && message.is_complete &&
        !announces_close(&message)) {
        *request->channel = fd;
    }
    else if (fd >= 0) {
        close(fd);
        if (request->channel != NULL) {
            *request->channel = -1;
        }
    }
    SlMessage_Free(&message);
    SlText_Free(&out);
}
