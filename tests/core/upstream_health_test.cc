#include "core/upstream_health.h"

#include <criterion/criterion.h>

#include <vector>

#include "core/placement.h"

using namespace rattanramp;
using core::AnswerResult;
using core::PlacementCandidate;

namespace {

PlacementCandidate Plain(bool is_backing_off, Duration until = {}) {
  PlacementCandidate candidate;
  candidate.slots = 6;
  candidate.is_usable = !is_backing_off;
  candidate.is_backing_off = is_backing_off;
  candidate.back_off_until = TimePoint() + until;
  return candidate;
}

}  // namespace

// Load pattern: all servers of a service lose some answers at once. Guards against refusing every
// request as long as all of them are in their back-off (379 refusals on hanbit-allot-grown
// trouble-1).
Test(upstream_health, at_most_half_of_a_service_is_left_out) {
  std::vector<PlacementCandidate> all = {Plain(true, Milliseconds(300)),
                                         Plain(true, Milliseconds(100)),
                                         Plain(true, Milliseconds(200))};
  core::LimitBackOff(all);
  cr_assert(!all[0].is_usable);
  cr_assert(all[1].is_usable);
  cr_assert(all[2].is_usable);
  std::vector<PlacementCandidate> few = {Plain(true, Milliseconds(100)), Plain(false),
                                         Plain(false)};
  core::LimitBackOff(few);
  cr_assert(!few[0].is_usable);
  // An engine that another reason makes unusable is not brought back, and each stage counts alone.
  std::vector<PlacementCandidate> mixed = {Plain(true, Milliseconds(100)), Plain(false)};
  mixed[1].is_usable = false;
  mixed.push_back(Plain(false));
  mixed[2].stage = core::UpstreamStage::kDecode;
  core::LimitBackOff(mixed);
  cr_assert(mixed[0].is_usable);
  cr_assert(!mixed[1].is_usable);
}

// Guards against leaving a server out for 400 ms because it reset one connection; a second reset in
// a row is a sign that it has stopped.
Test(upstream_health, single_lost_connection_is_no_reason_to_back_off) {
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  core::UpstreamHealth health;
  core::RecordAnswer(health, AnswerResult::kLost, now);
  cr_assert(!core::IsBackingOff(health, now));
  cr_assert(!core::IsOnProbation(health));
  core::RecordAnswer(health, AnswerResult::kSuccess, now);
  core::RecordAnswer(health, AnswerResult::kLost, now);
  cr_assert(!core::IsBackingOff(health, now));
  core::RecordAnswer(health, AnswerResult::kLost, now);
  cr_assert(core::IsBackingOff(health, now));
  core::UpstreamHealth unreachable;
  core::RecordAnswer(unreachable, AnswerResult::kNoAnswer, now);
  cr_assert(core::IsBackingOff(unreachable, now));
}
