/* Framework of the fakes: HTTP server, JSON bodies, shared faults. */
#include "common.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#define Sl_FAKE_BODY_MAX_BYTES 4194304
#define Sl_FAKE_SETTINGS_MAX 32
/* Significant decimal digits of a JSON real in a response. */
#define Sl_FAKE_REAL_PRECISION 15
#define Sl_FAKE_MS_PER_S 1000
#define Sl_FAKE_US_PER_MS 1000

/* ---- types ---- */

/* Settings of every fake, which common.h describes. */
struct sl_fake_faults {
    gboolean down;
    int64_t refuse; /* HTTP status; 0: none */
    int64_t delay_ms;
    int64_t lose_answers; /* number of responses still to be withheld */
};

struct sl_fake_server {
    const struct sl_fake_spec *spec;
    struct event_base *base;
    struct evhttp *http;
    struct sl_fake_faults faults;
    struct sl_fake_setting settings[Sl_FAKE_SETTINGS_MAX + 1];
    GHashTable *pending_requests; /* set of struct sl_fake_request * */
    char *listen_address;
};

/* ---- helpers: settings ---- */

static void
collect_settings(struct sl_fake_server *server)
{
    struct sl_fake_faults *faults = &server->faults;
    const struct sl_fake_setting shared[] = {
        {"down", Sl_FAKE_BOOL, &faults->down},
        {"refuse", Sl_FAKE_INT, &faults->refuse},
        {"delay_ms", Sl_FAKE_INT, &faults->delay_ms},
        {"lose_answers", Sl_FAKE_INT, &faults->lose_answers},
    };
    size_t count = G_N_ELEMENTS(shared);
    memcpy(server->settings, shared, sizeof(shared));
    const struct sl_fake_setting *own = server->spec->settings;
    for (; own->name != NULL; own++) {
        g_assert(count < Sl_FAKE_SETTINGS_MAX);
        server->settings[count++] = *own;
    }
}

static json_t *
setting_to_json(const struct sl_fake_setting *setting)
{
    switch (setting->type) {
    case Sl_FAKE_BOOL:
        return json_boolean(*(gboolean *)setting->value);
    case Sl_FAKE_INT:
        return json_integer(*(int64_t *)setting->value);
    case Sl_FAKE_OBJECT:
        break;
    }
    json_t *object = *(json_t **)setting->value;
    return object == NULL ? json_object() : json_incref(object);
}

static json_t *
settings_to_json(const struct sl_fake_server *server)
{
    json_t *object = json_object();
    const struct sl_fake_setting *setting = server->settings;
    for (; setting->name != NULL; setting++) {
        json_object_set_new(object, setting->name, setting_to_json(setting));
    }
    return object;
}

static enum sl_errno
check_setting(const struct sl_fake_setting *setting, const json_t *faults,
              struct sl_error *err)
{
    const struct sl_json_int_rule rule = {.min = 0, .max = INT64_MAX};
    const json_t *value = json_object_get(faults, setting->name);
    int64_t number;
    bool flag;
    switch (setting->type) {
    case Sl_FAKE_BOOL:
        return SlJson_Bool(faults, setting->name, false, "faults", &flag, err);
    case Sl_FAKE_INT:
        return SlJson_Int(faults, setting->name, &rule, "faults", &number,
                          err);
    case Sl_FAKE_OBJECT:
        break;
    }
    if (!json_is_object(value)) {
        return SlError_Set(err, Sl_ERR_INVALID, "fake.faults", NULL,
                           "faults: \"%s\" is not an object", setting->name);
    }
    return Sl_OK;
}

static void
set_value(const struct sl_fake_setting *setting, json_t *value)
{
    switch (setting->type) {
    case Sl_FAKE_BOOL:
        *(gboolean *)setting->value = json_is_true(value);
        return;
    case Sl_FAKE_INT:
        *(int64_t *)setting->value = json_integer_value(value);
        return;
    case Sl_FAKE_OBJECT:
        json_decref(*(json_t **)setting->value);
        *(json_t **)setting->value = json_incref(value);
        return;
    }
}

/* Checks all given values first, so that an invalid one changes nothing. */
static enum sl_errno
apply_faults(struct sl_fake_server *server, const json_t *faults,
             struct sl_error *err)
{
    const char *keys[Sl_FAKE_SETTINGS_MAX + 1] = {NULL};
    for (size_t i = 0; server->settings[i].name != NULL; i++) {
        keys[i] = server->settings[i].name;
    }
    Sl_TRY(SlJson_CheckKeys(faults, keys, "faults", err));
    const struct sl_fake_setting *setting;
    for (setting = server->settings; setting->name != NULL; setting++) {
        if (json_object_get(faults, setting->name) != NULL) {
            Sl_TRY(check_setting(setting, faults, err));
        }
    }
    for (setting = server->settings; setting->name != NULL; setting++) {
        json_t *value = json_object_get(faults, setting->name);
        if (value != NULL) {
            set_value(setting, value);
        }
    }
    return Sl_OK;
}

/* ---- helpers: requests ---- */

static void
free_request(gpointer data)
{
    struct sl_fake_request *request = data;
    json_decref(request->json);
    g_free(request->path);
    g_free(request->body);
    g_free(request->response);
    g_free(request);
}

static const char *
method_name(struct evhttp_request *http)
{
    switch (evhttp_request_get_command(http)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

static bool
is_control_request(const struct sl_fake_spec *spec,
                   const struct sl_fake_request *request)
{
    char *line = g_strdup_printf("%s %s", request->method, request->path);
    bool found = strcmp(request->path, "/faults") == 0;
    const char *const *pattern = spec->control_patterns;
    for (; !found && *pattern != NULL; pattern++) {
        found = g_pattern_match_simple(*pattern, line);
    }
    g_free(line);
    return found;
}

static struct sl_fake_request *
new_request(struct sl_fake_server *server, struct evhttp_request *http)
{
    struct sl_fake_request *request = g_new0(struct sl_fake_request, 1);
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(http);
    const char *path = evhttp_uri_get_path(uri);
    struct evbuffer *input = evhttp_request_get_input_buffer(http);
    size_t len = evbuffer_get_length(input);
    request->server = server;
    request->http = http;
    request->method = method_name(http);
    request->path = g_strdup(path == NULL || *path == '\0' ? "/" : path);
    request->body = g_malloc0(len + 1);
    evbuffer_copyout(input, request->body, len);
    request->is_control = is_control_request(server->spec, request);
    g_hash_table_add(server->pending_requests, request);
    return request;
}

static void
on_response_due(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    struct sl_fake_request *request = arg;
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request->http);
    if (connection == NULL) {
        /* After a disconnect evhttp leaves the request to the handler. */
        evhttp_request_free(request->http);
    }
    else if (request->is_dropped) {
        evhttp_connection_free(connection);
    }
    else {
        struct evbuffer *out = evbuffer_new();
        SlFake_SetHeader(request, "Content-Type", "application/json");
        evbuffer_add(out, request->response, strlen(request->response));
        evhttp_send_reply(request->http, request->status, NULL, out);
        evbuffer_free(out);
    }
    SlFake_FreeRequest(request);
}

static void
serve_faults(struct sl_fake_request *request)
{
    struct sl_fake_server *server = request->server;
    const struct sl_fake_spec *spec = server->spec;
    if (strcmp(request->method, "POST") == 0) {
        struct sl_error err;
        const json_t *faults = SlFake_ParseJson(request);
        if (faults == NULL) {
            return;
        }
        if (apply_faults(server, faults, &err) != Sl_OK) {
            SlFake_RespondError(request, HTTP_BADREQUEST, "%s", err.text);
            return;
        }
        if (spec->on_faults_changed != NULL) {
            spec->on_faults_changed(spec->context);
        }
    }
    SlFake_Respond(request, HTTP_OK, settings_to_json(server));
}

static void
on_request(struct evhttp_request *http, void *arg)
{
    struct sl_fake_server *server = arg;
    struct sl_fake_request *request = new_request(server, http);
    struct evhttp_connection *connection = evhttp_request_get_connection(http);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    int enable = 1;
    /* Without TCP_NODELAY the tokens of a stream would be sent late. */
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &enable,
               sizeof(enable));
    /* evhttp stops reading during a request and would miss a disconnect. */
    bufferevent_enable(bev, EV_READ);
    if (strcmp(request->path, "/faults") == 0) {
        serve_faults(request);
    }
    else if (!request->is_control && server->faults.down) {
        SlFake_Drop(request);
    }
    else if (!request->is_control && server->faults.refuse != 0) {
        SlFake_RespondError(request, (int)server->faults.refuse,
                            "refused by a fault");
    }
    else {
        server->spec->serve(server->spec->context, request);
    }
}

/* ---- helpers: start and stop ---- */

static char *
option_name(const char *name)
{
    return g_strdelimit(g_strdup(name), "_", '-');
}

static GOptionGroup *
setting_options(struct sl_fake_server *server)
{
    GOptionGroup *group = g_option_group_new(
        "faults", "Faults and settings:", "Show all settings", NULL, NULL);
    const struct sl_fake_setting *setting = server->settings;
    for (; setting->name != NULL; setting++) {
        GOptionEntry entries[2] = {{0}};
        if (setting->type == Sl_FAKE_OBJECT) {
            continue;
        }
        char *name = option_name(setting->name);
        entries[0].long_name = g_intern_string(name);
        entries[0].arg = setting->type == Sl_FAKE_BOOL ? G_OPTION_ARG_NONE
                                                       : G_OPTION_ARG_INT64;
        entries[0].arg_data = setting->value;
        entries[0].description = "Initial value of this setting at /faults";
        g_option_group_add_entries(group, entries);
        g_free(name);
    }
    return group;
}

static enum sl_errno
parse_options(struct sl_fake_server *server, int *argc, char ***argv,
              struct sl_error *err)
{
    const GOptionEntry listen[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &server->listen_address,
         "Loopback address to listen on; port 0 picks a free port", "IP:PORT"},
        {0}};
    GOptionContext *options = g_option_context_new(NULL);
    GError *reason = NULL;
    g_option_context_set_summary(options, server->spec->summary);
    g_option_context_add_main_entries(options, listen, NULL);
    if (server->spec->options != NULL) {
        g_option_context_add_main_entries(options, server->spec->options,
                                          NULL);
    }
    g_option_context_add_group(options, setting_options(server));
    bool parsed = g_option_context_parse(options, argc, argv, &reason);
    g_option_context_free(options);
    if (!parsed) {
        SlError_Set(err, Sl_ERR_INVALID, "fake.options", NULL, "%s",
                    reason->message);
        g_error_free(reason);
        return Sl_ERR_INVALID;
    }
    if (*argc > 1) {
        return SlError_Set(err, Sl_ERR_INVALID, "fake.options", NULL,
                           "unexpected argument \"%s\"", (*argv)[1]);
    }
    return Sl_OK;
}

static enum sl_errno
listen_on(struct sl_fake_server *server, struct sl_error *err)
{
    const char *address = server->listen_address;
    const char *colon = address == NULL ? NULL : strrchr(address, ':');
    guint64 port = 0;
    if (colon == NULL || !g_str_has_prefix(address, "127.") ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
                                    NULL)) {
        return SlError_Set(err, Sl_ERR_INVALID, "fake.listen", NULL,
                           "--listen must be 127.x.x.x:PORT");
    }
    char *ip = g_strndup(address, (gsize)(colon - address));
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server->http, ip, (uint16_t)port);
    if (bound == NULL) {
        g_free(ip);
        return SlError_Set(err, Sl_ERR_REFUSED, "fake.listen", address,
                           "cannot listen on %s", address);
    }
    struct sockaddr_in actual;
    socklen_t size = sizeof(actual);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&actual,
                &size);
    printf("listening %s:%u\n", ip, (unsigned)ntohs(actual.sin_port));
    fflush(stdout);
    g_free(ip);
    return Sl_OK;
}

static void
on_stop_signal(evutil_socket_t signal_number, short what, void *arg)
{
    (void)signal_number;
    (void)what;
    event_base_loopbreak(arg);
}

static enum sl_errno
run_server(struct sl_fake_server *server, struct sl_error *err)
{
    const struct sl_fake_spec *spec = server->spec;
    evhttp_set_max_body_size(server->http, Sl_FAKE_BODY_MAX_BYTES);
    evhttp_set_gencb(server->http, on_request, server);
    if (spec->open != NULL) {
        Sl_TRY(spec->open(spec->context, server, err));
    }
    struct event *term =
        evsignal_new(server->base, SIGTERM, on_stop_signal, server->base);
    struct event *interrupt =
        evsignal_new(server->base, SIGINT, on_stop_signal, server->base);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    enum sl_errno code = listen_on(server, err);
    if (code == Sl_OK) {
        event_base_dispatch(server->base);
    }
    event_free(term);
    event_free(interrupt);
    return code;
}

static void
free_server(struct sl_fake_server *server)
{
    GHashTableIter iter;
    gpointer key;
    if (server->spec->close != NULL) {
        server->spec->close(server->spec->context);
    }
    g_hash_table_iter_init(&iter, server->pending_requests);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct sl_fake_request *request = key;
        /* evhttp_free() frees only requests that still have a connection. */
        if (SlFake_IsDisconnected(request)) {
            evhttp_request_free(request->http);
        }
    }
    g_hash_table_destroy(server->pending_requests);
    evhttp_free(server->http);
    event_base_free(server->base);
    g_free(server->listen_address);
}

/* ---- public ---- */

int
SlFake_RunMain(int argc, char **argv, const struct sl_fake_spec *spec)
{
    struct sl_fake_server server = {.spec = spec};
    struct sl_error err;
    signal(SIGPIPE, SIG_IGN);
    collect_settings(&server);
    server.base = event_base_new();
    server.http = evhttp_new(server.base);
    server.pending_requests =
        g_hash_table_new_full(g_direct_hash, NULL, free_request, NULL);
    enum sl_errno code = parse_options(&server, &argc, &argv, &err);
    if (code == Sl_OK) {
        code = run_server(&server, &err);
    }
    if (code != Sl_OK) {
        fprintf(stderr, "%s: %s\n", err.step.text, err.text);
    }
    free_server(&server);
    return code == Sl_OK ? 0 : 2;
}

struct event_base *
SlFake_EventBase(const struct sl_fake_server *server)
{
    return server->base;
}

int64_t
SlFake_DelayMs(const struct sl_fake_server *server)
{
    return server->faults.delay_ms;
}

int64_t
SlFake_NowMs(void)
{
    return g_get_monotonic_time() / Sl_FAKE_US_PER_MS;
}

char *
SlFake_NewBootId(void)
{
    int64_t parts[] = {g_get_real_time(), getpid()};
    struct sl_str bytes = {(const char *)parts, sizeof(parts)};
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x",
                           (guint64)SlHash_Bytes(0, bytes));
}

struct timeval
SlFake_MsToTimeval(int64_t ms)
{
    struct timeval time = {
        .tv_sec = ms / Sl_FAKE_MS_PER_S,
        .tv_usec = ms % Sl_FAKE_MS_PER_S * Sl_FAKE_US_PER_MS,
    };
    return time;
}

void
SlFake_RunAfter(struct sl_fake_server *server, int64_t ms,
                event_callback_fn callback, void *arg)
{
    struct timeval wait = SlFake_MsToTimeval(ms);
    event_base_once(server->base, -1, EV_TIMEOUT, callback, arg, &wait);
}

bool
SlFake_Matches(const struct sl_fake_request *request, const char *method,
               const char *path)
{
    return strcmp(request->method, method) == 0 &&
           strcmp(request->path, path) == 0;
}

const char *
SlFake_Header(const struct sl_fake_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request->http),
                              name);
}

int64_t
SlFake_QueryInt(const struct sl_fake_request *request, const char *name,
                int64_t fallback)
{
    const struct evhttp_uri *uri =
        evhttp_request_get_evhttp_uri(request->http);
    const char *query = evhttp_uri_get_query(uri);
    struct evkeyvalq pairs;
    gint64 number = fallback;
    if (query == NULL || evhttp_parse_query_str(query, &pairs) != 0) {
        return fallback;
    }
    const char *text = evhttp_find_header(&pairs, name);
    if (text != NULL &&
        !g_ascii_string_to_signed(text, 10, 0, INT64_MAX, &number, NULL)) {
        number = fallback;
    }
    evhttp_clear_headers(&pairs);
    return number;
}

const json_t *
SlFake_ParseJson(struct sl_fake_request *request)
{
    json_error_t reason;
    request->json = json_loads(request->body, 0, &reason);
    if (!json_is_object(request->json)) {
        SlFake_RespondError(request, HTTP_BADREQUEST,
                            "the body is not a JSON object");
        return NULL;
    }
    return request->json;
}

bool
SlFake_IsDisconnected(const struct sl_fake_request *request)
{
    return evhttp_request_get_connection(request->http) == NULL;
}

bool
SlFake_ConsumeLostResponse(struct sl_fake_request *request)
{
    int64_t *remaining = &request->server->faults.lose_answers;
    if (request->is_control || *remaining == 0 ||
        strcmp(request->method, "POST") != 0) {
        return false;
    }
    (*remaining)--;
    return true;
}

void
SlFake_SetHeader(struct sl_fake_request *request, const char *name,
                 const char *value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request->http), name,
                      value);
}

void
SlFake_Respond(struct sl_fake_request *request, int status, json_t *body)
{
    request->status = status;
    request->response = json_dumps(
        body, JSON_COMPACT | JSON_REAL_PRECISION(Sl_FAKE_REAL_PRECISION));
    json_decref(body);
    request->is_dropped =
        status == HTTP_OK && SlFake_ConsumeLostResponse(request);
    int64_t wait_ms =
        request->is_control ? 0 : request->server->faults.delay_ms;
    SlFake_RunAfter(request->server, wait_ms, on_response_due, request);
}

void
SlFake_RespondError(struct sl_fake_request *request, int status,
                    const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    SlFake_Respond(request, status, json_pack("{s:s}", "error", text));
    g_free(text);
}

void
SlFake_Drop(struct sl_fake_request *request)
{
    request->is_dropped = true;
    SlFake_RunAfter(request->server, 0, on_response_due, request);
}

void
SlFake_FreeRequest(struct sl_fake_request *request)
{
    g_hash_table_remove(request->server->pending_requests, request);
}
