/* sassafrasd: one process of the system. Its role is entry (accepts clients'
 * requests and chooses an upstream), agent (runs beside one upstream and calls
 * it for entries) or router (an entry that calls upstreams without agents). */
#include "sassafrasd_router.h"
#include "sassafrasd_runtime.h"

#include <signal.h>
#include <string.h>

/* Exit codes; documented in the text of --help below. */
enum sl_exit {
    Sl_EXIT_OK = 0,
    Sl_EXIT_SETTINGS = 1,
    Sl_EXIT_USAGE = 2,
    Sl_EXIT_START = 3,
};

struct sl_arguments {
    char *settings; /* path, or NULL; owned */
    char *role;     /* name, or NULL; owned */
    int metrics_port;
    gboolean quiet;
};

/* ---- helpers ---- */

/* Handles SIGTERM and SIGINT. */
static void
on_terminate(evutil_socket_t fd, short what, void *context)
{
    struct sl_event event = {.type = Sl_EVENT_DRAIN};
    (void)fd;
    (void)what;
    SlRuntime_Dispatch(context, &event);
}

/* Handles SIGUSR1. */
static void
on_dump_state(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    SlRuntime_LogState(context);
}

static bool
is_router(const struct sl_arguments *arguments)
{
    return g_strcmp0(arguments->role, "router") == 0;
}

/* Parses the command line and prints an error if it is invalid. --settings
 * must be given for an entry or agent and must not be given for a router,
 * whose settings file the platform names in the environment. */
static bool
parse_arguments(int argc, char **argv, struct sl_arguments *arguments)
{
    GOptionEntry option_entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &arguments->settings,
         "Settings of this process, a JSON file", "FILE"},
        {"role", 'r', 0, G_OPTION_ARG_STRING, &arguments->role,
         "entry, agent or router; entry and agent must agree with the "
         "settings",
         "ROLE"},
        {"metrics-port", 'm', 0, G_OPTION_ARG_INT, &arguments->metrics_port,
         "With --role router: serve /metrics and /state here", "PORT"},
        {"quiet", 'q', 0, G_OPTION_ARG_NONE, &arguments->quiet,
         "With --role router: log errors only", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    GError *error = NULL;
    GOptionContext *options = g_option_context_new("");
    g_option_context_add_main_entries(options, option_entries, NULL);
    g_option_context_set_summary(
        options,
        "Runs one process of sassafrasledge, as entry, agent or router. A\n"
        "router calls its upstreams itself. It reads its settings from the\n"
        "platform's file, whose path is in SASSAFRASLEDGE_SETTINGS, and logs\n"
        "to standard output.");
    g_option_context_set_description(
        options,
        "Signals: SIGTERM and SIGINT drain the process. SIGUSR1 writes the\n"
        "state of an entry or agent to its log. SIGHUP makes a router read\n"
        "the bounds in its settings again.\n"
        "Exit codes: 0 drained, 1 invalid settings, 2 invalid usage, 3 an\n"
        "address cannot be listened on.");
    bool is_valid = g_option_context_parse(options, &argc, &argv, &error);
    if (!is_valid) {
        fprintf(stderr, "sassafrasd: %s\n", error->message);
        g_error_free(error);
    }
    else if (argc > 1 ||
             (arguments->settings == NULL) != is_router(arguments)) {
        fprintf(stderr,
                "sassafrasd: --settings FILE is required, but not allowed "
                "with --role router, and there are no further arguments; see "
                "--help\n");
        is_valid = false;
    }
    g_option_context_free(options);
    return is_valid;
}

/* Reads and checks the settings of an entry or agent; prints an error. */
static bool
load_settings(const struct sl_arguments *arguments,
              struct sl_settings *settings)
{
    struct sl_error err;
    if (SlSettings_Load(arguments->settings, settings, &err) != Sl_OK) {
        fprintf(stderr, "sassafrasd: %s: %s\n", arguments->settings, err.text);
        return false;
    }
    const char *role = SlRole_Name(settings->role);
    if (arguments->role != NULL && strcmp(arguments->role, role) != 0) {
        fprintf(stderr,
                "sassafrasd: %s: \"role\" is \"%s\", --role is \"%s\""
                "\n",
                arguments->settings, role, arguments->role);
        return false;
    }
    return true;
}

/* Runs until the process has drained. Returns its exit code. */
static int
run_entry_or_agent(const struct sl_settings *settings)
{
    struct sl_log_options log_options = {
        .out = stderr,
        .level = settings->log_level,
        .role = SlRole_Name(settings->role),
        .vm = settings->vm.text,
    };
    struct sl_error err;
    struct event_base *base = event_base_new();
    struct sl_log *log = SlLog_New(&log_options);
    struct sl_runtime *runtime = SlRuntime_New(settings, base, log, &err);
    int code = Sl_EXIT_START;
    if (runtime == NULL) {
        SlLog_Write(log, Sl_LOG_ERROR, g_get_real_time() / 1000, 0, &err,
                    "cannot start");
    }
    else {
        struct event *terminate =
            evsignal_new(base, SIGTERM, on_terminate, runtime);
        struct event *interrupt =
            evsignal_new(base, SIGINT, on_terminate, runtime);
        struct event *dump_state =
            evsignal_new(base, SIGUSR1, on_dump_state, runtime);
        event_add(terminate, NULL);
        event_add(interrupt, NULL);
        event_add(dump_state, NULL);
        SlLog_Write(log, Sl_LOG_INFO, g_get_real_time() / 1000, 0, NULL,
                    "started");
        event_base_dispatch(base);
        event_free(dump_state);
        event_free(interrupt);
        event_free(terminate);
        SlRuntime_Free(runtime);
        code = Sl_EXIT_OK;
    }
    SlLog_Free(log);
    event_base_free(base);
    return code;
}

/* ---- main ---- */

int
main(int argc, char **argv)
{
    struct sl_arguments arguments = {0};
    struct sl_settings settings;
    int code = Sl_EXIT_USAGE;
    signal(SIGPIPE, SIG_IGN);
    if (parse_arguments(argc, argv, &arguments)) {
        const struct sl_router_runtime_options router = {
            .level = arguments.quiet ? Sl_LOG_ERROR : Sl_LOG_INFO,
            .metrics_port = arguments.metrics_port,
        };
        code = is_router(&arguments) ? SlRouterRuntime_Main(&router)
               : load_settings(&arguments, &settings)
                   ? run_entry_or_agent(&settings)
                   : Sl_EXIT_SETTINGS;
    }
    g_free(arguments.settings);
    g_free(arguments.role);
    return code;
}
