/* At-most-once execution of requests that have an idempotency key and are not
 * idempotent.
 *
 * A client may submit a request with the same key several times. Only the
 * agent of the upstream that is the key's home may run it, and that agent
 * records in the table of keys (sl_keys.c) whether it did. A key that is not
 * in the table can still have run, at an agent that was its home before. So
 * the agent runs a new key only if the client issued it after this agent had
 * become its home. sl_home_moves.c decides when that was, and whether the
 * agent has a quorum. See docs/design/at-most-once.md. */
#include "sl_agent_internal.h"

/* Time between two removals of expired keys from the table. */
#define Sl_KEYS_EXPIRE_INTERVAL_US (Sl_US_PER_S)
/* `step` of this file's errors. */
#define Sl_STEP_HOME "agent.home"

/* ---- helpers ---- */

/* Checks that this agent may act as the home of the run's key now: the home
 * record names its upstream, the key was here before or its move to this agent
 * is complete, and the agent has a quorum. */
static enum sl_errno
check_home(const struct sl_core *core, const struct sl_run *run,
           struct sl_error *err)
{
    const struct sl_name *member =
        SlHome_MemberForKey(SlHomeMoves_Home(core), &run->msg.key);
    if (member == NULL || !SlName_Equal(member, &core->options.upstream)) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_HOME, NULL,
                           "the home of this key is \"%s\"",
                           member == NULL ? "" : member->text);
    }
    if (SlHomeMoves_KeysCoveredFrom(core, &run->msg.key) == INT64_MAX) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_HOME, NULL,
                           "the move to this home is not complete yet");
    }
    if (!SlHomeMoves_HasQuorum(core)) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_HOME, NULL,
                           "no majority of the home's members confirmed it "
                           "in time");
    }
    return Sl_OK;
}

/* Checks that a key which is not in the table has not run: the client issued
 * it after this agent had become its home, allowing for clock skew, and less
 * than Sl_KEY_LIFETIME_MS ago, because older keys are removed from the table.
 * A key without a time of issue passes once the agent has been its home for
 * longer than Sl_KEY_LIFETIME_MS, because a client may resend a key only for
 * that long. Must only be called after check_home() succeeded. */
static enum sl_errno
check_time_of_issue(const struct sl_core *core, const struct sl_run *run,
                    struct sl_error *err)
{
    int64_t covered_from_ms = SlHomeMoves_KeysCoveredFrom(core, &run->msg.key);
    int64_t issued_ms = run->msg.issued_ms; /* 0: not given */
    if (issued_ms == 0) {
        if (core->wall_ms > covered_from_ms + Sl_KEY_LIFETIME_MS) {
            return Sl_OK;
        }
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_HOME, NULL,
                           "this home is new and header \"Sassafras-Issued\" "
                           "is missing, so the key may have run before");
    }
    if (issued_ms > core->wall_ms + Sl_CLOCK_SKEW_MS) {
        return SlError_Set(err, Sl_ERR_INVALID, Sl_STEP_HOME, NULL,
                           "header \"Sassafras-Issued\" is in the future");
    }
    if (issued_ms <= covered_from_ms ||
        issued_ms < core->wall_ms - Sl_KEY_LIFETIME_MS) {
        return SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_HOME, NULL,
                           "the key was issued before this home can vouch for "
                           "it");
    }
    return Sl_OK;
}

/* Returns the verdict on a key that is in the table and was not refused before
 * the run was accepted. Sets `answer` or `err`, as SlKeyedRuns_Check(). */
static enum sl_keyed_run_verdict
verdict_by_state(const struct sl_key *key, struct sl_key_response *response,
                 struct sl_error *err)
{
    if (key->state == Sl_KEY_DONE && key->has_response) {
        *response =
            (struct sl_key_response){key->status, key->content_type,
                                     SlBuf_Str(&key->body), key->tokens};
        return Sl_KEYED_RUN_DONE;
    }
    if (key->state == Sl_KEY_REFUSED) {
        SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_HOME, NULL,
                    "the key was refused and has not run");
        return Sl_KEYED_RUN_REFUSED;
    }
    SlError_Set(err, Sl_ERR_CONFLICT, Sl_STEP_HOME, NULL, "%s",
                key->state == Sl_KEY_RUNNING
                    ? "the key is still running"
                    : "the key ran, or may have run, and its answer is lost");
    return Sl_KEYED_RUN_UNKNOWN;
}

/* Sets the state of the run's key in the table, adding the key if it is new.
 */
static struct sl_key *
set_key_state(struct sl_core *core, const struct sl_run *run,
              enum sl_key_state state)
{
    return SlKeys_Put(core->agent->keys, &run->msg, state, core->wall_ms);
}

static void
on_expire_due(void *context, uint64_t id, int64_t now_us)
{
    struct sl_core *core = context;
    (void)now_us;
    SlKeys_Expire(core->agent->keys, core->wall_ms);
    SlCore_SetTimer(core, Sl_KEYS_EXPIRE_INTERVAL_US, on_expire_due, id);
}

/* Returns true if the key was refused, and an entry accepted this run after
 * that: the client submitted the key again, and the run may go ahead. A run
 * that was accepted before the refusal is an earlier submission that was
 * delayed. It must not run, because the client was told that nothing ran. */
static bool
is_after_refusal(const struct sl_key *key, const struct sl_run *run)
{
    return key->state == Sl_KEY_REFUSED &&
           run->msg.accepted_ms > key->state_changed_ms + Sl_CLOCK_SKEW_MS;
}

/* ---- internal API ---- */

void
SlKeyedRuns_Start(struct sl_core *core)
{
    core->agent->keys = SlKeys_New();
    SlCore_SetTimer(core, Sl_KEYS_EXPIRE_INTERVAL_US, on_expire_due, 0);
}

void
SlKeyedRuns_Free(struct sl_core *core)
{
    SlKeys_Free(core->agent->keys);
}

enum sl_keyed_run_verdict
SlKeyedRuns_Check(struct sl_core *core, const struct sl_run *run,
                  struct sl_key_response *response, struct sl_error *err)
{
    const struct sl_keys *keys = core->agent->keys;
    const struct sl_key *key = SlKeys_Find(keys, &run->msg);
    /* What the table says about a key holds without a quorum, too. */
    if (key != NULL && !is_after_refusal(key, run)) {
        return verdict_by_state(key, response, err);
    }
    if (check_home(core, run, err) != Sl_OK) {
        return Sl_KEYED_RUN_INELIGIBLE;
    }
    if (key == NULL && check_time_of_issue(core, run, err) != Sl_OK) {
        return Sl_KEYED_RUN_UNKNOWN;
    }
    if (key == NULL && SlKeys_IsFull(keys)) {
        SlError_Set(err, Sl_ERR_REFUSED, Sl_STEP_HOME, NULL,
                    "the table of keys is full");
        return Sl_KEYED_RUN_INELIGIBLE;
    }
    return Sl_KEYED_RUN_ALLOWED;
}

enum sl_errno
SlKeyedRuns_Begin(struct sl_core *core, const struct sl_run *run,
                  struct sl_error *err)
{
    const struct sl_key *key = SlKeys_Find(core->agent->keys, &run->msg);
    Sl_TRY(check_home(core, run, err));
    /* While the run was queued, another submission of its key may have run or
     * been refused. */
    if (key != NULL && !is_after_refusal(key, run)) {
        return SlError_Set(err, Sl_ERR_CONFLICT, Sl_STEP_HOME, NULL,
                           "another submission of the key came first");
    }
    set_key_state(core, run, Sl_KEY_RUNNING);
    return Sl_OK;
}

bool
SlKeyedRuns_Refuse(struct sl_core *core, const struct sl_run *run)
{
    struct sl_error err;
    const struct sl_key *key = SlKeys_Find(core->agent->keys, &run->msg);
    bool may_have_run = key != NULL && key->state != Sl_KEY_REFUSED;
    if (may_have_run || check_home(core, run, &err) != Sl_OK ||
        (key == NULL && check_time_of_issue(core, run, &err) != Sl_OK) ||
        (key == NULL && SlKeys_IsFull(core->agent->keys))) {
        return false;
    }
    /* Also if the key is marked already: the new time of refusal covers all
     * submissions accepted before now. */
    set_key_state(core, run, Sl_KEY_REFUSED);
    return true;
}

void
SlKeyedRuns_OnNotRun(struct sl_core *core, const struct sl_run *run)
{
    set_key_state(core, run, Sl_KEY_REFUSED);
}

void
SlKeyedRuns_OnUnknown(struct sl_core *core, const struct sl_run *run)
{
    set_key_state(core, run, Sl_KEY_UNKNOWN);
}

void
SlKeyedRuns_OnDone(struct sl_core *core, const struct sl_run *run,
                   uint64_t tokens)
{
    struct sl_key *key = set_key_state(core, run, Sl_KEY_DONE);
    key->status = run->status;
    key->content_type = run->response_content_type;
    key->tokens = tokens;
    /* The run kept the whole response only if it is not too large. */
    if (run->response_body.len == run->response_bytes) {
        SlKeys_StoreResponse(core->agent->keys, key,
                             SlBuf_Str(&run->response_body));
    }
}
