/* sassafrasctl: command-line tool for operators. Parses the command line, runs
 * one command and exits with one of the codes in sassafrasctl.h. */
#include "sassafrasctl.h"
#include "settings.h"

#include <event2/event.h>
#include <stdarg.h>
#include <string.h>

#define Sl_DEFAULT_TIMEOUT_MS 5000
#define Sl_DEFAULT_WAIT_MS 10000
#define Sl_UNLIMITED_ARGS 1000000 /* for commands without an upper limit */

/* ---- types ---- */

/* A command, and what its command line must have. */
struct sl_command {
    const char *name;
    int min_args;
    int max_args;
    bool needs_log;
    bool needs_admin;
    enum sl_ctl_exit (*run)(struct sl_ctl *ctl, char **args);
};

static const struct sl_command commands[] = {
    {"check", 1, Sl_UNLIMITED_ARGS, false, false, SlCtl_Check},
    {"publish", 1, 1, true, false, SlCtl_Publish},
    {"mark", 3, 3, true, false, SlCtl_Mark},
    {"get", 0, 1, true, false, SlCtl_Get},
    {"history", 1, 1, true, false, SlCtl_History},
    {"bills", 0, 0, true, false, SlCtl_Bills},
    {"wait", 1, 1, false, true, SlCtl_Wait},
    {"state", 0, 0, false, true, SlCtl_State},
    {"counters", 0, 0, false, true, SlCtl_Counters},
    {"check-platform", 1, Sl_UNLIMITED_ARGS, false, false,
     SlCtl_CheckPlatform},
    {"explain", 2, Sl_UNLIMITED_ARGS, false, false, SlCtl_Explain},
};

static const char summary[] =
    "Commands:\n"
    "  check FILE...        check settings and configuration files\n"
    "  publish FILE         publish a list of {\"key\", \"value\"}; a value "
    "of\n"
    "                       null removes the key\n"
    "  mark KIND NAME in|out\n"
    "                       take a version, upstream or domain out of "
    "service\n"
    "                       or bring it back\n"
    "  get KEY | get --all  show the values in force\n"
    "  history KEY          show the key's records and whether they were\n"
    "                       accepted\n"
    "  bills                show each bill once, and totals\n"
    "  wait REVISION        wait until it is in force on all --admin\n"
    "  state                show the state of each process at --admin\n"
    "  counters             show the counters of each process at --admin\n"
    "  check-platform FILE...\n"
    "                       check a router's settings (lines of key=value) "
    "and\n"
    "                       routing configurations (JSON objects), and show\n"
    "                       what differs from --against or --store\n"
    "  explain ID LOG...    show what happened to a request, from routers'\n"
    "                       logs; - reads standard input";

static const char description[] =
    "Exit codes:\n"
    "  0  done, or in force already\n"
    "  1  invalid: a file or a value breaks a rule; nothing was done\n"
    "  2  usage: the command line is invalid\n"
    "  3  conflict: another operator changed the key first\n"
    "  4  the log or a process is unreachable or cannot be used\n"
    "  5  not in force on all processes in time\n"
    "Of check-platform: 0 clean, or warnings; 1 warnings, with --strict;\n"
    "  2 errors, or usage; 3 the store was not reached\n"
    "\n"
    "Example:\n"
    "  sassafrasctl --log 10.0.0.5:7000 mark domain quimper out \\\n"
    "      --wait --admin 10.0.1.1:7102 --admin 10.0.2.1:7102";

/* ---- output ---- */

void
SlCtl_Print(const struct sl_ctl *ctl, const char *format, ...)
{
    va_list args;
    if (ctl->options->json) {
        return;
    }
    va_start(args, format);
    vprintf(format, args);
    va_end(args);
    putchar('\n');
}

void
SlCtl_ReportError(struct sl_ctl *ctl, const struct sl_error *err)
{
    if (!ctl->options->json) {
        const char *peer = err->peer.text;
        fprintf(stderr, "sassafrasctl: %s%s%s: %s\n", err->step.text,
                *peer == '\0' ? "" : " ", peer, err->text);
    }
    SlCtl_AddToList(ctl, "errors",
                    json_pack("{s:s, s:s, s:s, s:s}", "code",
                              SlError_Name(err->code), "step", err->step.text,
                              "peer", err->peer.text, "text", err->text));
}

void
SlCtl_AddToList(struct sl_ctl *ctl, const char *name, json_t *item)
{
    json_t *list = json_object_get(ctl->report, name);
    if (list == NULL) {
        list = json_array();
        json_object_set_new(ctl->report, name, list);
    }
    json_array_append_new(list, item);
}

void
SlCtl_SetMember(struct sl_ctl *ctl, const char *name, json_t *item)
{
    json_object_set_new(ctl->report, name, item);
}

enum sl_ctl_exit
SlCtl_ExitCodeOf(enum sl_errno code)
{
    switch (code) {
    case Sl_OK:
        return Sl_EXIT_OK;
    case Sl_ERR_INVALID:
        return Sl_EXIT_INVALID;
    case Sl_ERR_CONFLICT:
        return Sl_EXIT_CONFLICT;
    default:
        return Sl_EXIT_UNREACHABLE;
    }
}

/* ---- command line ---- */

static const struct sl_command *
find_command(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

/* Prints a usage error; `name` is appended to `text`. Returns false. */
static bool
report_usage(const char *text, const char *name)
{
    fprintf(stderr, "sassafrasctl: %s%s; see sassafrasctl --help\n", text,
            name);
    return false;
}

static bool
check_option_values(const struct sl_ctl_options *options)
{
    struct sl_name by;
    if (options->log != NULL && !SlSettings_IsAddress(options->log)) {
        return report_usage("--log is not IP:PORT: ", options->log);
    }
    if (options->store != NULL && !SlSettings_IsAddress(options->store)) {
        return report_usage("--store is not IP:PORT: ", options->store);
    }
    if (options->store != NULL && options->against != NULL) {
        return report_usage("give --store or --against, not both", "");
    }
    for (char **address = options->admin; address != NULL && *address != NULL;
         address++) {
        if (!SlSettings_IsAddress(*address)) {
            return report_usage("--admin is not IP:PORT: ", *address);
        }
    }
    if (!SlName_Set(&by, SlStr_FromC(options->by)) || SlName_IsEmpty(&by)) {
        return report_usage("--by is not a string of 1 to 255 bytes: ",
                            options->by);
    }
    if (options->timeout_ms <= 0 || options->wait_ms < 0) {
        return report_usage("--timeout-ms or --wait-ms is too small", "");
    }
    return true;
}

static bool
check_command(const struct sl_command *command,
              const struct sl_ctl_options *options, int args)
{
    bool is_get_valid = (args == 0) == (options->all != FALSE);
    if (args < command->min_args || args > command->max_args) {
        return report_usage("wrong number of arguments for ", command->name);
    }
    if (command->run == SlCtl_Get && !is_get_valid) {
        return report_usage("give one key, or --all, to ", command->name);
    }
    if (command->needs_log && options->log == NULL) {
        return report_usage("--log IP:PORT is required by ", command->name);
    }
    if ((command->needs_admin || options->wait) && options->admin == NULL) {
        return report_usage("--admin IP:PORT is required by ",
                            command->needs_admin ? command->name : "--wait");
    }
    return check_option_values(options);
}

/* ---- running ---- */

static void
start_ctl(struct sl_ctl *ctl, const struct sl_ctl_options *options)
{
    ctl->options = options;
    ctl->timeout_us = options->timeout_ms * Sl_US_PER_MS;
    ctl->base = event_base_new();
    ctl->http = SlAdapterClient_New(ctl->base);
    ctl->config = SlConfig_New();
    ctl->report = json_object();
    if (options->log != NULL) {
        const struct sl_adapter_options adapter = {
            .http = ctl->http,
            .address = SlStr_FromC(options->log),
            .timeout_us = ctl->timeout_us,
        };
        ctl->log = SlLogService_NewHttp(&adapter);
    }
}

static void
finish_ctl(struct sl_ctl *ctl)
{
    if (ctl->options->json) {
        json_dumpf(ctl->report, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    if (ctl->log != NULL) {
        ctl->log->ops->free(ctl->log);
    }
    json_decref(ctl->report);
    SlConfig_Free(ctl->config);
    SlAdapterClient_Free(ctl->http);
    event_base_free(ctl->base);
}

static int
run_command(const struct sl_ctl_options *options, int argc, char **argv)
{
    struct sl_ctl ctl = {0};
    if (argc < 2) {
        report_usage("a command is missing", "");
        return Sl_EXIT_USAGE;
    }
    const struct sl_command *command = find_command(argv[1]);
    if (command == NULL) {
        report_usage("unknown command ", argv[1]);
        return Sl_EXIT_USAGE;
    }
    if (!check_command(command, options, argc - 2)) {
        return Sl_EXIT_USAGE;
    }
    start_ctl(&ctl, options);
    enum sl_ctl_exit result = command->run(&ctl, argv + 2);
    finish_ctl(&ctl);
    return result;
}

static bool
parse_options(struct sl_ctl_options *options, int *argc, char ***argv)
{
    const GOptionEntry entries[] = {
        {"log", 'l', 0, G_OPTION_ARG_STRING, &options->log,
         "Address of the log service", "IP:PORT"},
        {"admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &options->admin,
         "Admin address of a process; may be given several times", "IP:PORT"},
        {"by", 0, 0, G_OPTION_ARG_STRING, &options->by,
         "Operator's name in the records; your login by default", "NAME"},
        {"all", 0, 0, G_OPTION_ARG_NONE, &options->all,
         "With get: show all keys in force", NULL},
        {"wait", 'w', 0, G_OPTION_ARG_NONE, &options->wait,
         "With publish and mark: wait until in force on all --admin", NULL},
        {"wait-ms", 0, 0, G_OPTION_ARG_INT, &options->wait_ms,
         "Longest time to wait until in force; 10000 by default", "MS"},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &options->timeout_ms,
         "Longest time to wait for a response; 5000 by default", "MS"},
        {"strict", 0, 0, G_OPTION_ARG_NONE, &options->strict,
         "With check-platform: exit with 1 if there are warnings", NULL},
        {"against", 0, 0, G_OPTION_ARG_FILENAME, &options->against,
         "With check-platform: show what differs from this file", "FILE"},
        {"store", 0, 0, G_OPTION_ARG_STRING, &options->store,
         "With check-platform: show what differs from the store's version",
         "IP:PORT"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &options->deadline_ms,
         "With check-platform: longest deadline that clients send", "MS"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &options->json,
         "Print one JSON document instead of text", NULL},
        {0},
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_summary(context, summary);
    g_option_context_set_description(context, description);
    bool is_valid = g_option_context_parse(context, argc, argv, &error);
    if (!is_valid) {
        report_usage(error->message, "");
        g_error_free(error);
    }
    g_option_context_free(context);
    if (options->by == NULL) {
        options->by = g_strdup(g_get_user_name());
    }
    return is_valid;
}

int
main(int argc, char **argv)
{
    struct sl_ctl_options options = {
        .timeout_ms = Sl_DEFAULT_TIMEOUT_MS,
        .wait_ms = Sl_DEFAULT_WAIT_MS,
    };
    int result = Sl_EXIT_USAGE;
    setvbuf(stdout, NULL, _IOLBF, 0);
    if (parse_options(&options, &argc, &argv)) {
        if (options.by == NULL) {
            options.by = g_strdup(g_get_user_name());
        }
        result = run_command(&options, argc, argv);
    }
    g_free(options.log);
    g_free(options.by);
    g_free(options.store);
    g_free(options.against);
    g_strfreev(options.admin);
    return result;
}
