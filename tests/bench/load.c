/* A closed loop of HTTP requests against one address: the same request over
 * and over, a fixed number at a time. Prints one JSON line with latencies.
 * usage: load ADDRESS PATH COUNT CONCURRENCY [HEADER=VALUE...] */
#include "sl_adapters.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define Sl_TIMEOUT_US (10 * Sl_US_PER_S)
#define Sl_FIXED_ARGUMENTS 5

struct sl_load {
    struct event_base *base;
    struct sl_evhttp_client *http;
    struct sl_evhttp_request_options options;
    size_t left;
    size_t out;
    size_t failed;
    GArray *first_us; /* times to the first bytes of the body */
    GArray *whole_us;
};

struct sl_shot {
    struct sl_load *load;
    int64_t sent_us;
    bool begun;
};

static void shoot(struct sl_load *load);

static int64_t
now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * Sl_US_PER_S + now.tv_nsec / 1000;
}

static void
on_chunk(void *context, struct sl_str bytes)
{
    struct sl_shot *shot = context;
    (void)bytes;
    if (!shot->begun) {
        int64_t took_us = now_us() - shot->sent_us;
        shot->begun = true;
        g_array_append_val(shot->load->first_us, took_us);
    }
}

static void
on_done(void *context, const struct sl_error *err,
        const struct sl_evhttp_response *reply)
{
    struct sl_shot *shot = context;
    struct sl_load *load = shot->load;
    int64_t took_us = now_us() - shot->sent_us;
    if (err != NULL || reply->status != 200) {
        load->failed++;
    }
    g_array_append_val(load->whole_us, took_us);
    g_free(shot);
    load->out--;
    if (load->left > 0) {
        shoot(load);
    }
    else if (load->out == 0) {
        event_base_loopbreak(load->base);
    }
}

static void
shoot(struct sl_load *load)
{
    struct sl_shot *shot = g_new0(struct sl_shot, 1);
    struct sl_evhttp_request_options options = load->options;
    shot->load = load;
    shot->sent_us = now_us();
    options.on_chunk = on_chunk;
    options.on_done = on_done;
    options.context = shot;
    load->left--;
    load->out++;
    SlEvhttpClient_Send(load->http, &options);
}

static gint
compare(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

static int64_t
percentile(GArray *times, size_t percent)
{
    if (times->len == 0) {
        return 0;
    }
    g_array_sort(times, compare);
    return g_array_index(times, int64_t, (times->len - 1) * percent / 100);
}

int
main(int argc, char **argv)
{
    struct sl_load load = {0};
    if (argc < Sl_FIXED_ARGUMENTS) {
        fprintf(stderr, "usage: load ADDRESS PATH COUNT CONCURRENCY "
                        "[HEADER=VALUE...]\n");
        return 2;
    }
    load.base = event_base_new();
    load.http = SlEvhttpClient_New(load.base);
    load.left = (size_t)atoi(argv[3]);
    load.first_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    load.whole_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    load.options = (struct sl_evhttp_request_options){
        .peer = "target",
        .step = "load",
        .address = SlStr_FromC(argv[1]),
        .method = "POST",
        .path = argv[2],
        .body = Sl_STR("a few words of a request"),
        .timeout_us = Sl_TIMEOUT_US,
    };
    for (int i = Sl_FIXED_ARGUMENTS; i < argc; i++) {
        char *value = strchr(argv[i], '=');
        *value = '\0';
        load.options.headers[i - Sl_FIXED_ARGUMENTS] =
            (struct sl_evhttp_header){argv[i], value + 1};
    }
    int64_t start_us = now_us();
    size_t count = load.left;
    for (int i = atoi(argv[4]); i > 0 && load.left > 0; i--) {
        shoot(&load);
    }
    event_base_dispatch(load.base);
    double took_s = (double)(now_us() - start_us) / Sl_US_PER_S;
    printf("{\"requests\":%zu,\"failed\":%zu,\"per_s\":%.0f,"
           "\"first_p50_us\":%ld,\"first_p95_us\":%ld,"
           "\"whole_p50_us\":%ld,\"whole_p95_us\":%ld,"
           "\"whole_p99_us\":%ld}\n",
           count, load.failed, (double)count / took_s,
           percentile(load.first_us, 50), percentile(load.first_us, 95),
           percentile(load.whole_us, 50), percentile(load.whole_us, 95),
           percentile(load.whole_us, 99));
    SlEvhttpClient_Free(load.http);
    event_base_free(load.base);
    g_array_free(load.first_us, TRUE);
    g_array_free(load.whole_us, TRUE);
    return load.failed > 0;
}
