/*
 * Fake rating service. An answer that contains "BAD" gets a low score; every
 * other answer gets the score that `--scores v1=0.7,v2=0.95` or the setting
 * `scores` sets for its version, or the default score.
 */
#include "common.h"

#include <string.h>

#define Sl_RATING_DEFAULT_SCORE 0.9
#define Sl_RATING_BAD_SCORE 0.2

/* ---- types ---- */

struct sl_fake_rating {
    char *scores_option;
    json_t *scores; /* version -> score */
};

/* ---- helpers ---- */

static enum sl_errno
parse_score(json_t *scores, const char *pair, struct sl_error *err)
{
    const char *equals = strchr(pair, '=');
    char *end = NULL;
    double score = equals == NULL ? -1 : g_ascii_strtod(equals + 1, &end);
    if (equals == NULL || end == equals + 1 || *end != '\0' || score < 0 ||
        score > 1) {
        return SlError_Set(err, Sl_ERR_INVALID, "rating.scores", NULL,
                           "--scores: \"%s\" is not VERSION=0..1", pair);
    }
    char *version = g_strndup(pair, (gsize)(equals - pair));
    json_object_set_new(scores, version, json_real(score));
    g_free(version);
    return Sl_OK;
}

static enum sl_errno
open_rating(void *context, struct sl_fake_server *server, struct sl_error *err)
{
    (void)server;
    struct sl_fake_rating *rating = context;
    if (rating->scores_option == NULL) {
        return Sl_OK;
    }
    char **pairs = g_strsplit(rating->scores_option, ",", -1);
    enum sl_errno code = Sl_OK;
    for (size_t i = 0; pairs[i] != NULL && code == Sl_OK; i++) {
        code = parse_score(rating->scores, pairs[i], err);
    }
    g_strfreev(pairs);
    return code;
}

static double
rate_answer(const struct sl_fake_rating *rating, const char *version,
            const char *answer)
{
    if (strstr(answer, "BAD") != NULL) {
        return Sl_RATING_BAD_SCORE;
    }
    const json_t *score = json_object_get(rating->scores, version);
    return score == NULL ? Sl_RATING_DEFAULT_SCORE : json_number_value(score);
}

static void
serve(void *context, struct sl_fake_request *request)
{
    struct sl_fake_rating *rating = context;
    if (!SlFake_Matches(request, "POST", "/rate")) {
        SlFake_RespondError(request, HTTP_NOTFOUND, "no such path");
        return;
    }
    const json_t *call = SlFake_ParseJson(request);
    if (call == NULL) {
        return;
    }
    const char *version = json_string_value(json_object_get(call, "version"));
    const char *kind = json_string_value(json_object_get(call, "kind"));
    const char *answer = json_string_value(json_object_get(call, "answer"));
    if (version == NULL || kind == NULL || answer == NULL) {
        SlFake_RespondError(request, HTTP_BADREQUEST,
                            "version, kind and answer must be strings");
        return;
    }
    double score = rate_answer(rating, version, answer);
    SlFake_Respond(request, HTTP_OK, json_pack("{s:f}", "score", score));
}

/* ---- public ---- */

int
main(int argc, char **argv)
{
    struct sl_fake_rating rating = {.scores = json_object()};
    const struct sl_fake_setting settings[] = {
        {"scores", Sl_FAKE_OBJECT, &rating.scores},
        {0},
    };
    const GOptionEntry options[] = {{"scores", 0, 0, G_OPTION_ARG_STRING,
                                     &rating.scores_option,
                                     "Score of each version", "V=SCORE,..."},
                                    {0}};
    const char *const control_patterns[] = {NULL};
    const struct sl_fake_spec spec = {
        .summary = "Fake rating service.",
        .context = &rating,
        .settings = settings,
        .options = options,
        .control_patterns = control_patterns,
        .open = open_rating,
        .serve = serve,
    };
    int result = SlFake_RunMain(argc, argv, &spec);
    json_decref(rating.scores);
    g_free(rating.scores_option);
    return result;
}
