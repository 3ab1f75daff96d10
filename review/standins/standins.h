/*
 * Stand-ins for the cases under review/: the platform's store, runners and
 * clients, and the start of routers as separate processes. They follow the
 * users' pages as far as routers use them. Each connection has a thread.
 *
 * Sections, from simple to advanced:
 *   1. Record      time, record.txt, checks
 *   2. Text        growing strings
 *   3. HTTP        messages on blocking sockets
 *   4. Store       the platform's metadata store
 *   5. Runners     servers that run requests
 *   6. Deployment  routers, clients
 */
#ifndef Sl_STANDINS_H
#define Sl_STANDINS_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* ---- 1. Record -------------------------------------------------------- */

enum sl_verdict {
    Sl_RULE_HELD = 0,
    Sl_RULE_BROKEN = 1,
    Sl_COULD_NOT_RUN = 2,
};

/* Milliseconds of the monotonic clock since the start of the case. */
int64_t SlCase_NowMs(void);
void SlCase_SleepMs(int64_t ms);
/* Sleeps until SlCase_NowMs() is `at_ms`. */
void SlCase_SleepUntilMs(int64_t at_ms);
/* Writes a line with the time to record.txt. */
void SlCase_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
/* Opens the record. Returns false if that fails. */
bool SlCase_Begin(const char *record_path);
/* Returns false if the environment has TROUBLE=0. */
bool SlCase_HasTrouble(void);
/* Writes the verdict to the record and returns the exit code. */
int SlCase_End(enum sl_verdict verdict, const char *why);

/* ---- 2. Text ---------------------------------------------------------- */

/* Bytes with a NUL behind them. Zero-initialized, it is empty. */
struct sl_text {
    char *ptr;
    size_t len;
    size_t size;
};

void SlText_Add(struct sl_text *text, const void *bytes, size_t len);
void SlText_Printf(struct sl_text *text, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void SlText_Free(struct sl_text *text);

/* ---- 3. HTTP ---------------------------------------------------------- */

/* A message whose head has been read: the bytes up to the empty line, and the
 * body that followed, without its chunk framing. */
struct sl_message {
    struct sl_text head;
    struct sl_text body;
    struct sl_text unread; /* received bytes of the next message */
    bool is_complete;      /* head and body came to their ends */
    bool has_end_mark;     /* of a response: a length or a last chunk */
};

/* Reads a message from the socket. `deadline_ms` is of SlCase_NowMs(). Returns
 * false if the connection ended, or the time passed, before the head was
 * complete. `is_response` says that a body without a length goes on until the
 * connection ends. */
bool SlMessage_Read(int fd, bool is_response, int64_t deadline_ms,
                    struct sl_message *message);
/* Prepares for the next message of the connection. */
void SlMessage_Reset(struct sl_message *message);
void SlMessage_Free(struct sl_message *message);
/* Copies the value of the first header of that name to `value`; an empty
 * string if there is none. Returns true if there is one. */
bool SlMessage_Header(const struct sl_message *message, const char *name,
                      char *value, size_t size);
/* Returns the status code of a response, 0 if there is no head. */
int SlMessage_Status(const struct sl_message *message);
/* Writes all bytes. Returns false if the connection has failed. */
bool SlSocket_Write(int fd, const void *bytes, size_t len);
/* Listens on `ip` at a free port, which is set. Returns -1 on failure. */
int SlSocket_Listen(const char *ip, int *port);
/* Connects to the address. Returns -1 on failure. */
int SlSocket_Connect(const char *ip, int port);

/* ---- 4. Store --------------------------------------------------------- */

struct sl_store;

/* Listens on `ip`; returns NULL on failure. */
struct sl_store *SlStore_Start(const char *ip);
int SlStore_Port(const struct sl_store *store);
/* Appends a record as the operator or a runner; an empty value drops the key.
 * Its return is the store's acknowledgement. */
void SlStore_Put(struct sl_store *store, const char *topic, const char *key,
                 const char *value);
/* The channels on which a read of the topic waits go silent for good: they
 * stay open, and nothing more is sent on them. New channels work. Returns
 * their number. */
int SlStore_SilenceReads(struct sl_store *store, const char *topic);
/* Number of reads of the topic that wait now. */
int SlStore_WaitingReads(struct sl_store *store, const char *topic);

/* ---- 5. Runners ------------------------------------------------------- */

struct sl_runner;

/* A request that a runner has accepted. */
struct sl_run {
    struct sl_runner *runner;
    int fd;
    const struct sl_message *request;
    char id[128];     /* of the request */
    char target[512]; /* path and query */
    char model[64];
    int64_t last_event; /* the stream goes on after this one; -1: none */
    void *context;      /* of the runner's options */
};

struct sl_runner_options {
    const char *id;
    const char *service;
    const char *zone;
    const char *version;
    const char *ip;
    int slots;
    /* Runs the request and answers it. */
    void (*serve)(struct sl_run *run);
    void *context;
};

/* Starts a runner that listens; it is not registered yet. NULL on failure. */
struct sl_runner *SlRunner_Start(const struct sl_runner_options *options);
const char *SlRunner_Id(const struct sl_runner *runner);
/* Writes the runner's registration with that state to the store; NULL removes
 * it. */
void SlRunner_Register(struct sl_runner *runner, struct sl_store *store,
                       const char *state);
/* Number of requests that it runs now. */
int SlRunner_Active(struct sl_runner *runner);
/* Stops accepting connections, as a process that has exited. */
void SlRunner_Exit(struct sl_runner *runner);
/* Sends a complete answer with the runner's headers. `extra` is a block of
 * header lines or an empty string. */
void SlRun_Answer(struct sl_run *run, int status, const char *extra,
                  const char *body);
/* Streams `count` events after run->last_event, one each `gap_ms`. Returns
 * false if the caller went away before the end. */
bool SlRun_Stream(struct sl_run *run, const char *extra, int count,
                  int64_t gap_ms);

/* ---- 6. Deployment ---------------------------------------------------- */

#define Sl_MAX_ROUTERS 4

struct sl_router_process {
    char ip[32];
    char name[32];
    char zone[32];
    pid_t pid;
    int exit_status;
};

struct sl_deployment {
    char dir[256]; /* temporary */
    struct sl_store *store;
    char store_ip[32];
    int front_port;
    int ready_port;
    int peer_port; /* the first internal port */
    int metrics_port;
    size_t router_count;
    struct sl_router_process routers[Sl_MAX_ROUTERS];
    const char *extra_settings; /* lines, or NULL */
};

/* Makes a folder, picks addresses and starts the store. */
bool SlDeployment_Init(struct sl_deployment *deployment, size_t router_count);
/* Starts a router with the command of the deploy file. */
bool SlDeployment_StartRouter(struct sl_deployment *deployment, size_t index);
/* Waits until the router says that it is ready. */
bool SlDeployment_WaitReady(struct sl_deployment *deployment, size_t index,
                            int64_t within_ms);
bool SlDeployment_IsReady(struct sl_deployment *deployment, size_t index);
void SlDeployment_Signal(struct sl_deployment *deployment, size_t index,
                         int signal_number);
/* Returns true once the router has exited, within that time. */
bool SlDeployment_WaitExit(struct sl_deployment *deployment, size_t index,
                           int64_t within_ms);
/* Ends the routers and removes the folder. */
void SlDeployment_Free(struct sl_deployment *deployment);

struct sl_client_request {
    const struct sl_deployment *deployment;
    size_t router;
    const char *method;
    const char *target;
    const char *id;
    int64_t deadline_ms;
    const char *headers; /* further header lines, or NULL */
    const char *body;    /* or NULL */
    /* If not NULL, a channel that is kept for further requests; -1 before the
     * first one, and after its end. */
    int *channel;
};

struct sl_client_answer {
    int status;        /* 0: the channel ended without an answer */
    bool is_complete;  /* the answer came to its end */
    int64_t sent_ms;   /* of the request's last byte */
    int64_t ended_ms;  /* of the answer, or of the channel */
    bool is_connected; /* the channel was established */
    bool is_kept;      /* the channel had served an earlier request */
    char retry_after[32];
    char body[8192]; /* its first bytes */
};

/* Sends one request and waits for the answer, for the deadline and two
 * seconds. */
void SlClient_Ask(const struct sl_client_request *request,
                  struct sl_client_answer *answer);
/* Runs `work` in a thread. */
void SlThread_Start(pthread_t *thread, void *(*work)(void *), void *argument);

#endif
