#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

#include "core/crash_causes.h"

using namespace rattanramp;
using core::Cause;
using core::CrashCauses;

namespace {

TimePoint At(std::int64_t ms) { return TimePoint(std::chrono::hours(1)) + Milliseconds(ms); }

/// A caller repeats one request on `engines`, each of which loses it after 100 ms. While it does, a
/// stream that began before goes on there if `runs_on`. Returns the longest time, of 10 s, for
/// which the content is refused without a pause.
std::int64_t LongestRefusalMs(std::int64_t engines, bool runs_on) {
  CrashCauses causes;
  causes.started = At(-10'000);
  const core::RequestCauses content = {1'001, {}};
  core::RecordAnswered(causes, {2'000, {}}, At(0));
  std::int64_t refused_ms = 0;
  std::int64_t longest_ms = 0;
  for (std::int64_t ms = 0; ms < 10'000; ms += 50) {
    const bool is_refused = core::JudgeRequest(causes, content, false, At(ms)).is_refused;
    refused_ms = is_refused ? refused_ms + 50 : 0;
    longest_ms = std::max(longest_ms, refused_ms);
    if (ms % 200 == 0 && ms < 4'000 && !is_refused) {
      core::RecordLoss(causes, {ms / 200 % engines, content, At(ms), true, Milliseconds(100)},
                       At(ms));
    }
    for (std::int64_t engine = 0; runs_on && engine < engines; ++engine) {
      core::RecordContinued(causes, engine, At(-5'000), At(ms));
    }
    core::RecordAnswered(causes, {3'000 + static_cast<Cause>(ms), {}}, At(ms));
  }
  return longest_ms;
}

}  // namespace

// Load: answers are lost by reset on many engines while callers repeat the same content
// (155 blocks in one measured day, on which no content crashed engines). Sound requests must
// not be refused while other streams of the same engines go on; real crashes end these, and stay
// blocked.
Test(lost_answers, content_is_not_blamed_for_resets_of_engines_that_run_on) {
  cr_assert_gt(LongestRefusalMs(20, false), 5'000);
  // The differences between clocks, and two steps.
  cr_assert_leq(LongestRefusalMs(20, true), core::kRunningMargin.count() + 100);
}

// Bytes that are as old as the loss, and streams that began after it, prove nothing: the process
// may be the next one.
Test(lost_answers, only_streams_from_before_a_loss_withdraw_it) {
  CrashCauses causes;
  core::RecordLoss(causes, {1, {1'001, {}}, At(1'000), true}, At(1'000));
  cr_assert_eq(core::RecordContinued(causes, 1, At(0), At(1'100)), 0);
  cr_assert_eq(core::RecordContinued(causes, 1, At(1'100), At(2'000)), 0);
  cr_assert_eq(core::RecordContinued(causes, 2, At(0), At(2'000)), 0);
  cr_assert_eq(core::RecordContinued(causes, 1, At(0), At(2'000)), 1);
  cr_assert(causes.losses.empty());
}
