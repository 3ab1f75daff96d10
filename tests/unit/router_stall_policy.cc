// Is a call that says nothing given up? The decision by itself: what is known
// of the call goes in, the verdict and the time of the next look come out.
#include <gtest/gtest.h>

extern "C" {
#include "sl_stall_policy.h"
}

namespace {

constexpr int64_t ms = Sl_US_PER_MS;

// A stream in the middle, on a route with three attempts.
struct sl_stall_state
stream(int64_t silent_ms)
{
    struct sl_stall_state silence = {};
    silence.silent_us = silent_ms * ms;
    silence.has_head = true;
    silence.is_engine = true;
    silence.objective_us = 1200 * ms;
    silence.is_retryable = true;
    silence.attempts_left = 2;
    silence.client_wait_us = SlStallPolicy_ClientWaitUs(3000 * ms, 1200 * ms);
    return silence;
}

// A request to an engine whose answer has not begun.
struct sl_stall_state
unanswered(int64_t silent_ms)
{
    struct sl_stall_state silence = stream(silent_ms);
    silence.has_head = false;
    silence.objective_us = 3000 * ms;
    silence.expected_us = 100 * ms;
    return silence;
}

struct sl_stall_state
answers_checks(struct sl_stall_state silence)
{
    silence.health = Sl_HEALTH_REACHABLE;
    return silence;
}

// Plays a silence from its beginning, with checks answered or not, and returns
// when it is moved; -1: not before `until_ms`.
int64_t
moved_at(struct sl_stall_state silence, bool is_unreachable, int64_t until_ms)
{
    int64_t asked = -1;
    int64_t answered = -1;
    for (int64_t at = 0; at <= until_ms; at += 10) {
        silence.silent_us = at * ms;
        if (asked >= 0 && !is_unreachable) {
            answered = asked;
            asked = -1;
        }
        bool failed = is_unreachable && asked >= 0 && at - asked >= 300;
        silence.health = failed          ? Sl_HEALTH_UNREACHABLE
                         : asked >= 0    ? Sl_HEALTH_CHECKING
                         : answered >= 0 ? Sl_HEALTH_REACHABLE
                                         : Sl_HEALTH_UNKNOWN;
        silence.health_age_us = (at - answered) * ms;
        struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
        if (step.verdict == Sl_STALL_RETRY) {
            return at;
        }
        if (step.verdict == Sl_STALL_CHECK && asked < 0) {
            asked = at;
        }
    }
    return -1;
}

TEST(Silence, DarkUpstreamIsLeftInTimeForTheObjective)
{
    EXPECT_LE(moved_at(stream(0), true, 5000), 1200 * 2 / 3);
    EXPECT_LE(moved_at(unanswered(0), true, 5000), 3000 / 3);
}

TEST(Silence, LastAttemptIsSpentOnADarkUpstream)
{
    struct sl_stall_state last = stream(0);
    last.attempts_left = 1;
    EXPECT_LE(moved_at(last, true, 5000), 1200 * 2 / 3);
}

// An engine that reads prompts for longer than the longest pause.
TEST(Silence, SoundUpstreamKeepsAStreamThatIsOnlySlow)
{
    EXPECT_GE(moved_at(stream(0), false, 20000), 2 * 1200);
    struct sl_stall_state last = stream(0);
    last.attempts_left = 1;
    EXPECT_GE(moved_at(last, false, 20000), 4 * 1200);
    struct sl_stall_state known = stream(0);
    known.prefill_backlog_us = 900 * ms;
    EXPECT_GE(moved_at(known, false, 20000), 2 * 1200 + 900);
}

TEST(Silence, StreamThatOthersLeaveBehindIsMovedInTime)
{
    struct sl_stall_state silence = answers_checks(stream(900));
    silence.others_progress_us = 700 * ms;
    struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
    EXPECT_EQ(step.verdict, Sl_STALL_RETRY);
    EXPECT_TRUE(step.is_corroborated);
    EXPECT_FALSE(step.is_unreachable);
}

TEST(Silence, LongPromptsExplainALateHead)
{
    struct sl_stall_state silence = unanswered(0);
    silence.expected_us = 1500 * ms;
    silence.prefill_backlog_us = 2000 * ms;
    EXPECT_GE(moved_at(silence, false, 20000), 3 * 1500 + 2000);
}

TEST(Silence, RequestWithoutAnAnswerIsMovedWhileTheObjectiveCanBeMet)
{
    int64_t at = moved_at(unanswered(0), false, 20000);
    EXPECT_GE(at, 0);
    EXPECT_LE(at, 3000 * 2 / 3);
    struct sl_stall_state overtaken = unanswered(0);
    overtaken.is_overtaken = true;
    EXPECT_LT(moved_at(overtaken, false, 20000), at);
}

TEST(Silence, LastAttemptWaitsUntilItIsSure)
{
    struct sl_stall_state last = unanswered(0);
    last.attempts_left = 1;
    last.expected_us = 300 * ms;
    EXPECT_GE(moved_at(last, false, 20000), 8 * 300);
}

TEST(Silence, WhatMayRunOnceIsNeverMoved)
{
    struct sl_stall_state once = stream(0);
    once.is_retryable = false;
    EXPECT_EQ(moved_at(once, true, 9000), -1);
    struct sl_stall_state spent = stream(0);
    spent.attempts_left = 0;
    EXPECT_EQ(moved_at(spent, true, 9000), -1);
}

TEST(Silence, EndsWhenCallersHaveLongLeft)
{
    for (bool is_retryable : {false, true}) {
        struct sl_stall_state silence = stream(0);
        silence.is_retryable = is_retryable;
        silence.attempts_left = 0;
        silence.silent_us = silence.client_wait_us;
        EXPECT_EQ(SlStallPolicy_Decide(&silence).verdict, Sl_STALL_WAIT);
        silence.silent_us += 1000 * ms;
        EXPECT_EQ(SlStallPolicy_Decide(&silence).verdict, Sl_STALL_FAIL);
    }
    EXPECT_EQ(SlStallPolicy_ClientWaitUs(100 * ms, 50 * ms), 2000 * ms);
    EXPECT_EQ(SlStallPolicy_ClientWaitUs(4000 * ms, 1200 * ms), 16000 * ms);
    EXPECT_EQ(SlStallPolicy_ClientWaitUs(1000 * ms, 1200 * ms), 9600 * ms);
}

// However the numbers stand, the next look comes, and not at once.
TEST(Silence, AlwaysLooksAgain)
{
    for (int64_t silent = 0; silent < 20000; silent += 37) {
        for (int health = Sl_HEALTH_UNKNOWN; health <= Sl_HEALTH_UNREACHABLE;
             health++) {
            struct sl_stall_state silence = stream(silent);
            silence.health = (enum sl_health)health;
            silence.has_head = silent % 2 == 0;
            struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
            EXPECT_GE(step.check_again_us, 20 * ms);
            EXPECT_LE(step.check_again_us, 3000 * ms);
        }
    }
}

struct sl_stall_alternative
somewhere()
{
    struct sl_stall_alternative other = {};
    other.exists = true;
    other.first_us = 200 * ms;
    other.run_us = 2000 * ms;
    other.left_us = 10000 * ms;
    other.has_budget = true;
    return other;
}

TEST(SilenceOther, NeedsAnUpstreamAndTheBudget)
{
    struct sl_stall_state silence = stream(3000);
    struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
    struct sl_stall_alternative other = somewhere();
    EXPECT_TRUE(SlStallPolicy_MayRetry(&silence, &step, &other));
    other.has_budget = false;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&silence, &step, &other));
    other = somewhere();
    other.exists = false;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&silence, &step, &other));
}

TEST(SilenceOther, VersionOnTrialTakesOverOnlyFromTheDark)
{
    struct sl_stall_state silence = stream(3000);
    struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
    struct sl_stall_alternative other = somewhere();
    other.is_unproven = true;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&silence, &step, &other));
    silence.health = Sl_HEALTH_UNREACHABLE;
    step = SlStallPolicy_Decide(&silence);
    EXPECT_TRUE(SlStallPolicy_MayRetry(&silence, &step, &other));
}

TEST(SilenceOther, ProcessThatLeavesKeepsWhatCallersHaveBegunToGet)
{
    struct sl_stall_state silence = stream(3000);
    struct sl_stall_decision step = SlStallPolicy_Decide(&silence);
    struct sl_stall_alternative other = somewhere();
    other.is_leaving = true;
    EXPECT_FALSE(SlStallPolicy_MayRetry(&silence, &step, &other));
    silence.others_progress_us = 2000 * ms;
    step = SlStallPolicy_Decide(&silence);
    EXPECT_TRUE(SlStallPolicy_MayRetry(&silence, &step, &other));
    other.left_us = 1000 * ms; // it would not end in time
    EXPECT_FALSE(SlStallPolicy_MayRetry(&silence, &step, &other));
}

} // namespace
