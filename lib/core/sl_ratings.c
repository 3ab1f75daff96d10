/* Ratings of answers. The rating service gives an answer a score. If the
 * answer was held back, the score decides whether it goes to the client or the
 * request escalates to the next version. If the answer was already forwarded
 * (a background rating), the score only adds to the statistics on versions. */
#include "sl_entry_internal.h"

#include <string.h>

/* Background ratings outstanding at once; further answers are not rated. */
#define Sl_MAX_BACKGROUND_RATINGS 1024
#define Sl_HTTP_OK 200

/* ---- requests for ratings ---- */

uint64_t
SlRatings_Request(struct sl_core *core, const struct sl_request *request)
{
    struct sl_effect *effect = SlEffects_Add(core->effects, Sl_EFFECT_RATE);
    effect->u.rate.token = SlCore_NextToken(core);
    effect->u.rate.version = request->response.version;
    effect->u.rate.kind = request->attributes.kind;
    effect->u.rate.answer = SlBuf_Str(&request->response.body);
    SlCore_Increment(core, "ratings.asked");
    return effect->u.rate.token;
}

bool
SlRatings_IsPossible(const struct sl_core *core,
                     const struct sl_request *request)
{
    return core->options.has_rating_service && request->engine &&
           request->response.status == Sl_HTTP_OK;
}

void
SlRatings_RequestInBackground(struct sl_core *core,
                              const struct sl_request *request)
{
    if (!SlRatings_IsPossible(core, request) ||
        g_hash_table_size(core->entry->background_ratings) >=
            Sl_MAX_BACKGROUND_RATINGS) {
        return;
    }
    struct sl_background_rating *pending =
        g_new0(struct sl_background_rating, 1);
    pending->token = SlRatings_Request(core, request);
    pending->team = request->attributes.team;
    pending->kind = request->attributes.kind;
    pending->version = request->response.version;
    pending->upstream = request->upstream;
    pending->quality = request->quality;
    g_hash_table_insert(core->entry->background_ratings, &pending->token,
                        pending);
}

/* ---- results of ratings ---- */

/* Adds a score to this entry's statistics, and reports the score to the agent
 * that ran the version. */
static void
record_score(struct sl_core *core, const struct sl_name *team,
             const struct sl_name *kind, const struct sl_name *version,
             const struct sl_name *upstream, double score, double quality)
{
    struct sl_peer *peer = SlMembership_PeerByUpstream(core, upstream);
    SlCascade_Learn(core->entry->cascade, team, kind, version,
                    SlCascade_Accepts(score, quality));
    if (peer == NULL || !SlPeer_IsUp(peer)) {
        return;
    }
    struct sl_msg msg = {.type = Sl_MSG_RATED};
    msg.u.rated.version = *version;
    msg.u.rated.score = score;
    SlCore_Send(core, peer, &msg);
}

/* Makes the rejected answer the fallback. The buffer of the former fallback
 * receives the next answer. */
static void
keep_as_fallback(struct sl_request *request)
{
    struct sl_upstream_response former = request->fallback;
    request->fallback = request->response;
    request->has_fallback = true;
    SlBuf_Clear(&former.body);
    request->response = former;
}

/* Responds with the rated answer, or escalates to the next version. */
static void
on_request_rated(struct sl_core *core, struct sl_request *request,
                 const struct sl_event *event)
{
    double score = event->u.rated.score;
    bool accepted = SlCascade_Accepts(score, request->quality);
    request->rate_token = 0;
    if (event->err == NULL) {
        record_score(core, &request->attributes.team,
                     &request->attributes.kind, &request->response.version,
                     &request->upstream, score, request->quality);
    }
    else {
        /* Without a rating, the version's past ratings decide. */
        accepted =
            SlPlan_PassRate(core, request, &request->response.version) >=
            request->quality;
        SlCore_Increment(core, "ratings.failed");
    }
    if (accepted || request->conn == 0) {
        SlRequest_RespondWhole(core, request, &request->response);
        return;
    }
    SlCore_Increment(core, "cascade.escalated");
    keep_as_fallback(request);
    request->tried_count = 0;
    SlPlan_ChooseStep(core, request, request->step + 1);
    SlAttempt_Start(core, request);
}

static gboolean
has_rate_token(gpointer key, gpointer value, gpointer token)
{
    const struct sl_request *request = value;
    (void)key;
    return request->rate_token == *(const uint64_t *)token;
}

void
SlRatings_OnRated(struct sl_core *core, const struct sl_event *event)
{
    uint64_t token = event->u.rated.token;
    uint64_t *failures = &core->entry->consecutive_rating_failures;
    *failures = event->err == NULL ? 0 : *failures + 1;
    struct sl_background_rating *pending =
        g_hash_table_lookup(core->entry->background_ratings, &token);
    if (pending != NULL) {
        if (event->err == NULL) {
            record_score(core, &pending->team, &pending->kind,
                         &pending->version, &pending->upstream,
                         event->u.rated.score, pending->quality);
        }
        else {
            SlCore_Increment(core, "ratings.failed");
        }
        g_hash_table_remove(core->entry->background_ratings, &token);
        return;
    }
    struct sl_request *request =
        g_hash_table_find(core->entry->requests, has_rate_token, &token);
    if (request != NULL && request->state == Sl_REQUEST_RATING) {
        on_request_rated(core, request, event);
    }
}
