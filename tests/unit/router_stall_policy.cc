// The decision whether to give up a stalled call, without a router: the state
// of the call is the input, the action and the time of the next decision are
// the output.
#include <gtest/gtest.h>

extern "C" {
#include "sl_stall_policy.h"
}

namespace {

constexpr int64_t ms = Sl_US_PER_MS;

// Returns the state of the first call of a request whose route allows three
// attempts. The response is a stream and has sent events.
struct sl_stall_state
stream(int64_t silent_ms)
{
    struct sl_stall_state state = {};
    state.silent_us = silent_ms * ms;
    state.has_head = true;
    state.is_engine = true;
    state.objective_us = 1200 * ms;
    state.is_retryable = true;
    state.attempts_left = 2;
    state.client_wait_us = SlStallPolicy_ClientWaitUs(3000 * ms, 1200 * ms);
    return state;
}

// Returns the state of a call to an engine whose response has not begun.
struct sl_stall_state
unanswered(int64_t silent_ms)
{
    struct sl_stall_state state = stream(silent_ms);
    state.has_head = false;
    state.objective_us = 3000 * ms;
    state.expected_us = 100 * ms;
    return state;
}

struct sl_stall_state
with_passed_check(struct sl_stall_state state)
{
    state.health = Sl_HEALTH_REACHABLE;
    return state;
}

// Simulates a stall from its beginning, with health checks that pass or fail.
// Returns the time in ms at which the call is retried; -1: not until
// `until_ms`.
int64_t
retried_after_ms(struct sl_stall_state state, bool is_unreachable,
                 int64_t until_ms)
{
    int64_t check_began_ms = -1; // of the check under way; -1: none
    int64_t check_passed_ms = -1;
    for (int64_t silent_ms = 0; silent_ms <= until_ms; silent_ms += 10) {
        state.silent_us = silent_ms * ms;
        if (check_began_ms >= 0 && !is_unreachable) {
            check_passed_ms = check_began_ms;
            check_began_ms = -1;
        }
        bool failed = is_unreachable && check_began_ms >= 0 &&
                      silent_ms - check_began_ms >= 300;
        state.health = failed                 ? Sl_HEALTH_UNREACHABLE
                       : check_began_ms >= 0  ? Sl_HEALTH_CHECKING
                       : check_passed_ms >= 0 ? Sl_HEALTH_REACHABLE
                                              : Sl_HEALTH_UNKNOWN;
        state.health_age_us = (silent_ms - check_passed_ms) * ms;
        struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
        if (decision.action == Sl_STALL_RETRY) {
            return silent_ms;
        }
        if (decision.action == Sl_STALL_CHECK && check_began_ms < 0) {
            check_began_ms = silent_ms;
        }
    }
    return -1;
}

TEST(StallPolicy, RetriesInTimeForTheObjectiveIfUnreachable)
{
    EXPECT_LE(retried_after_ms(stream(0), true, 5000), 1200 * 2 / 3);
    EXPECT_LE(retried_after_ms(unanswered(0), true, 5000), 3000 / 3);
}

TEST(StallPolicy, SpendsLastAttemptIfUnreachable)
{
    struct sl_stall_state last = stream(0);
    last.attempts_left = 1;
    EXPECT_LE(retried_after_ms(last, true, 5000), 1200 * 2 / 3);
}

// An engine whose prefill takes longer than the objective between two events.
TEST(StallPolicy, KeepsSlowStreamAtReachableUpstream)
{
    EXPECT_GE(retried_after_ms(stream(0), false, 20000), 2 * 1200);
    struct sl_stall_state last = stream(0);
    last.attempts_left = 1;
    EXPECT_GE(retried_after_ms(last, false, 20000), 4 * 1200);
    struct sl_stall_state with_backlog = stream(0);
    with_backlog.prefill_backlog_us = 900 * ms;
    EXPECT_GE(retried_after_ms(with_backlog, false, 20000), 2 * 1200 + 900);
}

TEST(StallPolicy, RetriesStreamInTimeIfOthersMakeProgress)
{
    struct sl_stall_state state = with_passed_check(stream(900));
    state.others_progress_us = 700 * ms;
    struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
    EXPECT_EQ(decision.action, Sl_STALL_RETRY);
    EXPECT_TRUE(decision.is_corroborated);
    EXPECT_FALSE(decision.is_unreachable);
}

TEST(StallPolicy, AllowsLateHeadDuringLongPrefill)
{
    struct sl_stall_state state = unanswered(0);
    state.expected_us = 1500 * ms;
    state.prefill_backlog_us = 2000 * ms;
    EXPECT_GE(retried_after_ms(state, false, 20000), 3 * 1500 + 2000);
}

TEST(StallPolicy, RetriesRequestWithoutResponseWhileObjectiveCanBeMet)
{
    int64_t retried_ms = retried_after_ms(unanswered(0), false, 20000);
    EXPECT_GE(retried_ms, 0);
    EXPECT_LE(retried_ms, 3000 * 2 / 3);
    struct sl_stall_state overtaken = unanswered(0);
    overtaken.is_overtaken = true;
    EXPECT_LT(retried_after_ms(overtaken, false, 20000), retried_ms);
}

TEST(StallPolicy, KeepsLastAttemptUntilResponseIsLost)
{
    struct sl_stall_state last = unanswered(0);
    last.attempts_left = 1;
    last.expected_us = 300 * ms;
    EXPECT_GE(retried_after_ms(last, false, 20000), 8 * 300);
}

TEST(StallPolicy, NeverRetriesWhatMayNotRunAgain)
{
    struct sl_stall_state not_retryable = stream(0);
    not_retryable.is_retryable = false;
    EXPECT_EQ(retried_after_ms(not_retryable, true, 9000), -1);
    struct sl_stall_state no_attempts_left = stream(0);
    no_attempts_left.attempts_left = 0;
    EXPECT_EQ(retried_after_ms(no_attempts_left, true, 9000), -1);
}

TEST(StallPolicy, FailsWhenClientsNoLongerWait)
{
    for (bool is_retryable : {false, true}) {
        struct sl_stall_state state = stream(0);
        state.is_retryable = is_retryable;
        state.attempts_left = 0;
        state.silent_us = state.client_wait_us;
        EXPECT_EQ(SlStallPolicy_Decide(&state).action, Sl_STALL_WAIT);
        state.silent_us += 1000 * ms;
        EXPECT_EQ(SlStallPolicy_Decide(&state).action, Sl_STALL_FAIL);
    }
    EXPECT_EQ(SlStallPolicy_ClientWaitUs(100 * ms, 50 * ms), 2000 * ms);
    EXPECT_EQ(SlStallPolicy_ClientWaitUs(4000 * ms, 1200 * ms), 16000 * ms);
    EXPECT_EQ(SlStallPolicy_ClientWaitUs(1000 * ms, 1200 * ms), 9600 * ms);
}

// In every state a next decision is due after 20 ms or more, so that the
// router does not decide in a busy loop.
TEST(StallPolicy, AlwaysDecidesAgain)
{
    for (int64_t silent_ms = 0; silent_ms < 20000; silent_ms += 37) {
        for (int health = Sl_HEALTH_UNKNOWN; health <= Sl_HEALTH_UNREACHABLE;
             health++) {
            struct sl_stall_state state = stream(silent_ms);
            state.health = (enum sl_health)health;
            state.has_head = silent_ms % 2 == 0;
            struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
            EXPECT_GE(decision.decide_again_us, 20 * ms);
            EXPECT_LE(decision.decide_again_us, 3000 * ms);
        }
    }
}

// Returns an upstream that a request may be moved to.
struct sl_stall_alternative
alternative()
{
    struct sl_stall_alternative other = {};
    other.exists = true;
    other.first_event_us = 200 * ms;
    other.run_us = 2000 * ms;
    other.time_left_us = 10000 * ms;
    other.has_budget = true;
    return other;
}

TEST(StallPolicyMayRetry, NeedsAnotherUpstreamAndRetryBudget)
{
    struct sl_stall_state state = stream(3000);
    struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
    struct sl_stall_alternative other = alternative();
    EXPECT_TRUE(SlStallPolicy_MayRetry(&state, &decision, &other));
    other.has_budget = false;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&state, &decision, &other));
    other = alternative();
    other.exists = false;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&state, &decision, &other));
}

TEST(StallPolicyMayRetry, RetriesAtTargetVersionOnlyIfUnreachable)
{
    struct sl_stall_state state = stream(3000);
    struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
    struct sl_stall_alternative other = alternative();
    other.is_unproven = true;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&state, &decision, &other));
    state.health = Sl_HEALTH_UNREACHABLE;
    decision = SlStallPolicy_Decide(&state);
    EXPECT_TRUE(SlStallPolicy_MayRetry(&state, &decision, &other));
}

TEST(StallPolicyMayRetry, DrainingRouterKeepsPartialResponses)
{
    struct sl_stall_state state = stream(3000);
    struct sl_stall_decision decision = SlStallPolicy_Decide(&state);
    struct sl_stall_alternative other = alternative();
    other.is_draining = true;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&state, &decision, &other));
    state.others_progress_us = 2000 * ms;
    decision = SlStallPolicy_Decide(&state);
    EXPECT_TRUE(SlStallPolicy_MayRetry(&state, &decision, &other));
    other.time_left_us = 1000 * ms; // too little for the run
    EXPECT_FALSE(SlStallPolicy_MayRetry(&state, &decision, &other));
}

} // namespace
