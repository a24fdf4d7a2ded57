#include "core/crash_causes.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdint>
#include <vector>

using namespace rattanramp;
using core::Cause;
using core::CrashCauses;

namespace {

constexpr Cause kFirst = 1;
constexpr Cause kCaller = 2;
constexpr Cause kBad = 3;

TimePoint At(std::int64_t ms) { return TimePoint(std::chrono::hours(1)) + Milliseconds(ms); }

/// Request number `content` with the given shared parts.
core::RequestCauses Request(Cause content, std::vector<Cause> parts) {
  return {1'000 + content, std::move(parts)};
}

void Lose(CrashCauses& causes, std::int64_t upstream, const core::RequestCauses& request,
          std::int64_t at_ms) {
  core::RecordLoss(causes, {upstream, request, At(at_ms), true}, At(at_ms));
}

/// The same for an attempt that ran for `run_ms`.
void LoseAfter(CrashCauses& causes, std::int64_t upstream, const core::RequestCauses& request,
               std::int64_t at_ms, std::int64_t run_ms) {
  core::RecordLoss(causes, {upstream, request, At(at_ms), true, Milliseconds(run_ms)}, At(at_ms));
}

bool IsRefused(CrashCauses& causes, const core::RequestCauses& request, std::int64_t at_ms,
               bool may_try = false) {
  return core::JudgeRequest(causes, request, may_try, At(at_ms)).is_refused;
}

/// Three engines ended under two requests with the part `kBad`; each also ended a sound request.
void CrashThree(CrashCauses& causes, std::int64_t at_ms) {
  Lose(causes, 1, Request(1, {kFirst, kBad, kCaller}), at_ms);
  Lose(causes, 1, Request(11, {kFirst, kCaller}), at_ms);
  Lose(causes, 2, Request(1, {kFirst, kBad, kCaller}), at_ms + 60);
  Lose(causes, 2, Request(12, {kFirst, kCaller}), at_ms + 60);
  Lose(causes, 3, Request(2, {kFirst, kBad, kCaller}), at_ms + 200);
  Lose(causes, 3, Request(13, {kFirst, kCaller}), at_ms + 200);
}

}  // namespace

// Guards against the incident BUDGET: the part that the lost requests share must be refused, in a
// request that has not been seen before.
Test(crash_causes, part_of_the_lost_requests_is_refused) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  Lose(causes, 1, Request(1, {kFirst, kBad, kCaller}), 100);
  Lose(causes, 2, Request(1, {kFirst, kBad, kCaller}), 160);
  cr_assert(!IsRefused(causes, Request(2, {kFirst, kBad, kCaller}), 170));
  Lose(causes, 3, Request(2, {kFirst, kBad, kCaller}), 300);
  cr_assert(IsRefused(causes, Request(3, {kFirst, kBad, 77}), 310));
}

// Guards against refusing sound requests that share the first part or the caller of the requests
// that crash engines, also when they were lost with them.
Test(crash_causes, sound_requests_with_the_other_parts_are_sent) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  for (std::int64_t i = 0; i < 20; ++i) {
    CrashThree(causes, 100 + i * 1'000);
  }
  cr_assert(IsRefused(causes, Request(3, {kFirst, kBad, kCaller}), 30'000));
  cr_assert(!IsRefused(causes, Request(4, {kFirst, kCaller}), 30'000));
  cr_assert(!IsRefused(causes, Request(5, {kFirst, kCaller, 78}), 30'000));
}

// Guards against refusing sound requests right after a start, when nothing has been answered yet
// and each lost request had the same caller: a sound request of the caller is tried, and its answer
// shows which part is to blame.
Test(crash_causes, companion_of_the_part_is_cleared_by_one_request) {
  CrashCauses causes;
  for (std::int64_t i = 0; i < 3; ++i) {
    Lose(causes, i, Request(static_cast<Cause>(i), {kFirst, kBad, kCaller}), 100 + i);
  }
  const core::CrashVerdict sound =
      core::JudgeRequest(causes, Request(4, {kFirst, kCaller}), false, At(200));
  cr_assert(!sound.is_refused);
  cr_assert(sound.is_trial);
  cr_assert(IsRefused(causes, Request(5, {kFirst, kBad, kCaller}), 201));
  core::RecordAnswered(causes, Request(4, {kFirst, kCaller}), At(200));
  cr_assert(!IsRefused(causes, Request(6, {kFirst, kCaller}), 1'300));
  cr_assert(!IsRefused(causes, Request(7, {kFirst, kCaller}), 1'301));
  cr_assert(IsRefused(causes, Request(8, {kFirst, kBad, kCaller}), 1'302));
}

// Guards against two parts that crash the same engines at the same time: each takes the evidence
// from the other in turn, and both are sent again and again (found by the soak).
Test(crash_causes, second_part_does_not_release_the_first) {
  constexpr Cause kSecondBad = 4;
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  CrashThree(causes, 100);
  cr_assert(IsRefused(causes, Request(5, {kFirst, kBad, kCaller}), 400));
  for (std::int64_t i = 0; i < 6; ++i) {
    Lose(causes, 1 + i, Request(static_cast<Cause>(30 + i), {kFirst, kSecondBad, kCaller}),
         300 + i);
    cr_assert(IsRefused(causes, Request(6, {kFirst, kBad, kCaller}), 400 + i));
  }
  cr_assert(IsRefused(causes, Request(7, {kFirst, kSecondBad, kCaller}), 500));
  cr_assert(!IsRefused(causes, Request(8, {kFirst, kCaller}), 500));
}

// Guards against parts that crash the same engines being found one after the other, each after
// engines were lost that no other part explains (found by the soak).
Test(crash_causes, parts_that_crash_the_same_engines_are_found_together) {
  constexpr Cause kOthers[] = {5, 4};
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  for (std::int64_t i = 0; i < 6; ++i) {
    for (const Cause part : {kBad, kOthers[0], kOthers[1]}) {
      Lose(causes, i, Request(100 * part + static_cast<Cause>(i), {kFirst, part, kCaller}),
           100 + i * 50);
    }
  }
  for (const Cause part : {kBad, kOthers[0], kOthers[1]}) {
    cr_assert(IsRefused(causes, Request(5, {kFirst, part, kCaller}), 500));
  }
  cr_assert(!IsRefused(causes, Request(6, {kFirst, kCaller}), 500));
}

// Guards against an outage being blamed on what all requests have in common.
Test(crash_causes, outage_of_all_engines_blocks_nothing_common) {
  CrashCauses causes;
  for (Cause i = 0; i < 20; ++i) {
    core::RecordAnswered(causes, Request(i, {kFirst, 100 + i}), At(0));
  }
  for (std::int64_t i = 0; i < 14; ++i) {
    Lose(causes, i, Request(static_cast<Cause>(50 + i), {kFirst, 200 + static_cast<Cause>(i)}),
         1'000 + i * 500);
  }
  cr_assert(!IsRefused(causes, Request(99, {kFirst, 300}), 9'000));
}

// Guards against closing a service for minutes: in an outage right after a start, when nothing has
// been answered yet, a part that all requests have is blocked. It is tried soon, and the answer
// clears it.
Test(crash_causes, part_that_all_requests_have_is_tried_soon_after_an_outage) {
  CrashCauses causes;
  causes.started = At(0);
  for (std::int64_t i = 0; i < 5; ++i) {
    Lose(causes, i, Request(static_cast<Cause>(i), {kFirst}), 1'000 + i * 100);
  }
  cr_assert(IsRefused(causes, Request(20, {kFirst}), 1'500, true));
  cr_assert(IsRefused(causes, Request(20, {kFirst}), 3'600, false));
  cr_assert(core::JudgeRequest(causes, Request(21, {kFirst}), true, At(3'600)).is_trial);
  cr_assert(IsRefused(causes, Request(22, {kFirst}), 3'700, true));
  core::RecordAnswered(causes, Request(21, {kFirst}), At(3'600));
  cr_assert(!IsRefused(causes, Request(23, {kFirst}), 4'700));
}

// Guards against closing a service for minutes: after a start of all processes, two parts crash
// engines at once, and what their requests have in common, as all have, is blocked. A request with
// one of them must not use up the trial of the common part (found by the soak).
Test(crash_causes, common_part_is_tried_with_a_request_that_has_no_other_suspect) {
  constexpr Cause kSecondBad = 4;
  CrashCauses causes;
  Lose(causes, 1, Request(1, {kFirst, kBad, kCaller}), 1'000);
  Lose(causes, 2, Request(1, {kFirst, kBad, kCaller}), 1'100);
  Lose(causes, 3, Request(2, {kFirst, kSecondBad, kCaller}), 1'200);
  const core::RequestCauses sound = Request(10, {kFirst, kCaller});
  cr_assert(IsRefused(causes, sound, 1'300, true));
  for (std::int64_t at_ms = 3'300; at_ms < 3'400; at_ms += 10) {
    cr_assert(IsRefused(causes, Request(3, {kFirst, kBad, kCaller}), at_ms, true));
  }
  // A part that comes for the first time may crash engines too.
  cr_assert(IsRefused(causes, Request(4, {kFirst, 99, kCaller}), 3'400, true));
  cr_assert(core::JudgeRequest(causes, sound, true, At(3'400)).is_trial);
  core::RecordAnswered(causes, sound, At(3'400));
  cr_assert(!IsRefused(causes, Request(11, {kFirst, kCaller}), 4'500));
}

// Guards against trials of a part that crashes engines while the others are served: they show that
// it is no outage. Also not after a start that follows the losses.
Test(crash_causes, part_is_not_tried_soon_when_others_are_answered) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  CrashThree(causes, 100);
  const core::RequestCauses request = Request(5, {kFirst, kBad, kCaller});
  cr_assert(IsRefused(causes, request, 400, true));
  core::RecordAnswered(causes, Request(21, {kFirst, kCaller}), At(500));
  cr_assert(IsRefused(causes, request, 3'000, true));
  cr_assert(IsRefused(causes, request, 30'000, true));
  CrashCauses restarted;
  restarted.started = At(5'000);
  core::RecordPeerAnswered(restarted, kFirst, At(0));
  core::RecordPeerAnswered(restarted, kCaller, At(0));
  CrashThree(restarted, 100);
  cr_assert(IsRefused(restarted, request, 9'000, true));
}

// Guards against a blocked part being sent again because its requests, refused at once, are most of
// those that arrive while the callers of sound ones wait for their answers (found by the soak).
Test(crash_causes, part_stays_blocked_when_most_requests_have_it) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  CrashThree(causes, 100);
  core::RecordAnswered(causes, Request(21, {kFirst, kCaller}), At(500));
  for (std::int64_t i = 0; i < 200; ++i) {
    cr_assert(IsRefused(causes, Request(30 + static_cast<Cause>(i), {kFirst, kBad, kCaller}),
                        600 + i * 10));
  }
}

// Guards against blocking a sound part for which nothing has been answered yet, after a start,
// because some of many engines that ended at once ran requests with it.
Test(crash_causes, few_engines_of_an_outage_are_no_evidence) {
  constexpr Cause kRare = 9;
  CrashCauses causes;
  for (std::int64_t i = 0; i < 14; ++i) {
    Lose(causes, i, Request(static_cast<Cause>(i), {100 + static_cast<Cause>(i)}), 100 + i);
  }
  Lose(causes, 1, Request(50, {kRare}), 105);
  Lose(causes, 2, Request(50, {kRare}), 110);
  Lose(causes, 3, Request(51, {kRare}), 112);
  cr_assert(!IsRefused(causes, Request(52, {kRare}), 200));
  cr_assert(!IsRefused(causes, Request(50, {kRare}), 200));
  // A part that crashes engines is found in spite of such an outage at the same time.
  Lose(causes, 20, Request(60, {kFirst, kBad}), 100);
  Lose(causes, 21, Request(60, {kFirst, kBad}), 160);
  Lose(causes, 22, Request(61, {kFirst, kBad}), 500);
  Lose(causes, 23, Request(61, {kFirst, kBad}), 560);
  Lose(causes, 24, Request(62, {kFirst, kBad}), 900);
  cr_assert(IsRefused(causes, Request(63, {kFirst, kBad}), 1'000));
  cr_assert(!IsRefused(causes, Request(53, {kRare}), 1'000));
}

// Guards against one request that meets several engines that end for other reasons, with its
// repeats, being taken for several requests with the same part.
Test(crash_causes, repeats_of_one_request_are_no_evidence_against_its_parts) {
  CrashCauses causes;
  for (std::int64_t i = 0; i < 6; ++i) {
    Lose(causes, i, Request(1, {kFirst, kCaller}), 100 + i);
  }
  cr_assert(!IsRefused(causes, Request(2, {kFirst, kCaller}), 200));
}

// Guards against several requests that are lost with one engine being taken for several crashes.
Test(crash_causes, requests_lost_with_two_engines_are_no_evidence) {
  CrashCauses causes;
  for (std::int64_t i = 0; i < 12; ++i) {
    Lose(causes, i % 2, Request(static_cast<Cause>(i), {kFirst, kCaller}), 100 + i);
  }
  cr_assert(!IsRefused(causes, Request(20, {kFirst, kCaller}), 200));
}

// Guards against the older rule: a request that is repeated as it is and crashes each server that
// runs it is refused, whatever route it is on; other requests are not.
Test(crash_causes, repeated_request_is_refused) {
  CrashCauses causes;
  for (std::int64_t i = 0; i < 3; ++i) {
    Lose(causes, i, Request(1, {}), 100 + i * 400);
  }
  cr_assert(IsRefused(causes, Request(1, {}), 2'000));
  cr_assert(!IsRefused(causes, Request(2, {}), 2'000));
}

// Guards against refusing a part for ever after the engines were mended.
Test(crash_causes, blocked_part_is_tried_again_by_one_process) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  CrashThree(causes, 100);
  const core::RequestCauses request = Request(5, {kFirst, kBad, kCaller});
  cr_assert(IsRefused(causes, request, 400, true));
  core::RecordAnswered(causes, Request(21, {kFirst, kCaller}), At(500));
  cr_assert(IsRefused(causes, request, 299'000, true));
  const core::CrashVerdict trial = core::JudgeRequest(causes, request, true, At(301'000));
  cr_assert(trial.is_trial);
  cr_assert(IsRefused(causes, request, 301'001, true));
  // It crashes its engine: the next trial comes after the same time again.
  Lose(causes, 4, request, 301'100);
  cr_assert(IsRefused(causes, request, 590'000, true));
  cr_assert(core::JudgeRequest(causes, request, true, At(602'000)).is_trial);
  core::RecordAnswered(causes, request, At(602'000));
  cr_assert(!IsRefused(causes, request, 603'500));
}

// Guards against evidence that is kept for ever.
Test(crash_causes, old_losses_are_removed) {
  CrashCauses causes;
  CrashThree(causes, 100);
  const std::int64_t end_ms = 400 + core::kLossLifetime.count();
  core::RemoveOldLosses(causes, At(end_ms));
  cr_assert(causes.losses.empty());
  cr_assert(!IsRefused(causes, Request(5, {kFirst, kBad, kCaller}), end_ms));
}

// Guards against evidence of a blocked part being pushed out by many losses of sound requests.
Test(crash_causes, evidence_of_a_block_outlives_many_other_losses) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  CrashThree(causes, 100);
  cr_assert(IsRefused(causes, Request(5, {kFirst, kBad, kCaller}), 400));
  for (std::int64_t i = 0; i < 2'000; ++i) {
    Lose(causes, 100 + i, Request(static_cast<Cause>(100 + i), {kFirst, kCaller}), 500 + i);
  }
  cr_assert_leq(causes.losses.size(), core::kMaxLosses);
  cr_assert(IsRefused(causes, Request(5, {kFirst, kBad, kCaller}), 9'000));
}

// Guards against evidence that does not reach the peers whole: as few losses as a report or a row
// of the store contains must lead to the same block.
Test(crash_causes, evidence_of_a_block_proves_it_at_another_process) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  for (std::int64_t i = 0; i < 5; ++i) {
    CrashThree(causes, 100 + i * 1'000);
  }
  cr_assert(IsRefused(causes, Request(5, {kFirst, kBad, kCaller}), 9'000));
  CrashCauses other;
  const std::vector<core::StartLoss> evidence = core::EvidenceOf(causes, kBad, At(9'000));
  cr_assert_leq(evidence.size(), 5);
  for (const core::StartLoss& loss : evidence) {
    core::RecordLoss(other, loss, At(9'000));
  }
  for (const auto& [part, started] : core::AnsweredPartsInQuestion(causes)) {
    core::RecordPeerAnswered(other, part, started);
  }
  cr_assert(IsRefused(other, Request(6, {kFirst, kBad, kCaller}), 9'000));
  cr_assert(!IsRefused(other, Request(7, {kFirst, kCaller}), 9'000));
}

// Guards against a process that starts and does not believe its peers, because the few losses of
// one part that they pass on are of engines that another part explains (found by the soak).
Test(crash_causes, blocks_of_peers_are_adopted_with_their_evidence) {
  constexpr Cause kSecondBad = 4;
  CrashCauses started;
  core::RecordPeerAnswered(started, kFirst, At(0));
  core::RecordPeerAnswered(started, kCaller, At(0));
  for (std::int64_t i = 0; i < 4; ++i) {
    for (const Cause part : {kBad, kSecondBad}) {
      Lose(started, i, Request(100 * part + static_cast<Cause>(i), {kFirst, part, kCaller}),
           100 + i * 50);
    }
  }
  cr_assert(!IsRefused(started, Request(5, {kFirst, kBad, kCaller}), 500) ||
            !IsRefused(started, Request(6, {kFirst, kSecondBad, kCaller}), 500));
  for (const Cause part : {kBad, kSecondBad, kCaller}) {
    core::RecordPeerBlock(started, part);
  }
  cr_assert(IsRefused(started, Request(5, {kFirst, kBad, kCaller}), 600));
  cr_assert(IsRefused(started, Request(6, {kFirst, kSecondBad, kCaller}), 600));
  // A block that the evidence does not prove is not adopted.
  cr_assert(!IsRefused(started, Request(7, {kFirst, kCaller}), 600));
}

// Guards against a verdict that depends on the order in which losses, answers and reports arrive:
// the part is refused and sound requests of its caller are sent, at every process.
Test(crash_causes, order_of_the_evidence_does_not_matter) {
  cr_assert(rc::check("order of losses and answers", [] {
    const auto size = static_cast<std::size_t>(*rc::gen::inRange(3, 12));
    std::vector<std::size_t> order(size * 2);
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    for (std::size_t i = order.size() - 1; i > 0; --i) {
      std::swap(
          order[i],
          order[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(i) + 1))]);
    }
    CrashCauses causes;
    for (const std::size_t event : order) {
      const auto index = static_cast<std::int64_t>(event / 2);
      const auto content = static_cast<Cause>(event);
      if (event % 2 == 0) {
        // The first three losses are of three engines and two requests at least.
        Lose(causes, index, Request(content, {kFirst, kBad, kCaller}), 100 + index * 50);
      } else {
        core::RecordAnswered(causes, Request(content, {kFirst, kCaller}), At(100 + index * 50));
      }
      core::UpdateBlocked(causes, At(5'000));
    }
    RC_ASSERT(IsRefused(causes, Request(90, {kFirst, kBad, kCaller}), 6'000));
    RC_ASSERT(!IsRefused(causes, Request(91, {kFirst, kCaller}), 6'000));
  }));
}

// Guards against a reset of a machine's connections being taken for the end of its upstreams
// (review case 4): the first requests of a new route, all running at that moment, say nothing of
// the part that they share. Also of the content of plain requests, and at a peer that receives the
// losses in a report.
Test(crash_causes, losses_of_one_moment_are_no_evidence) {
  CrashCauses causes;
  CrashCauses peer;
  for (std::int64_t i = 0; i < 8; ++i) {
    const core::RequestCauses stream = Request(static_cast<Cause>(i % 4), {kFirst, kBad});
    const core::RequestCauses plain = Request(77, {});
    LoseAfter(causes, i, stream, 1'000 + i, 400 - 50 * i);
    LoseAfter(causes, 20 + i, plain, 1'000 + i, 300);
  }
  for (const core::StartLoss& loss : causes.losses) {
    core::RecordLoss(peer, loss, At(1'100));
  }
  core::RecordPeerBlock(peer, kBad);
  for (CrashCauses* each : {&causes, &peer}) {
    cr_expect(!IsRefused(*each, Request(30, {kFirst, kBad}), 1'200));
    cr_expect(!IsRefused(*each, Request(77, {}), 1'200));
  }
}

// Guards against a cause that crashes engines being taken for a reset because its requests overlap:
// the first one that is sent after a crash shows it.
Test(crash_causes, engines_that_end_in_series_are_evidence) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  LoseAfter(causes, 1, Request(1, {kFirst, kBad, kCaller}), 100, 90);
  LoseAfter(causes, 2, Request(2, {kFirst, kBad, kCaller}), 110, 90);
  LoseAfter(causes, 3, Request(3, {kFirst, kBad, kCaller}), 120, 90);
  cr_assert(!IsRefused(causes, Request(4, {kFirst, kBad, kCaller}), 130));
  LoseAfter(causes, 4, Request(1, {kFirst, kBad, kCaller}), 180, 70);
  cr_assert(IsRefused(causes, Request(4, {kFirst, kBad, kCaller}), 190));
  cr_assert(!IsRefused(causes, Request(5, {kFirst, kCaller}), 190));
}

// Guards against a sound part that stays blocked after connections were reset at several moments:
// upstreams that answer requests which were sent later have not ended. What a peer repeats of their
// losses is not believed either. Upstreams that do not answer any more stay evidence.
Test(crash_causes, upstream_that_runs_on_withdraws_its_losses) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kCaller}), At(0));
  CrashThree(causes, 100);
  cr_assert(IsRefused(causes, Request(5, {kFirst, kBad, kCaller}), 400));
  const std::vector<core::StartLoss> losses = causes.losses;
  const std::int64_t margin_ms = core::kRunningMargin.count();
  // The answer to a request that was sent before the loss shows nothing.
  cr_assert_eq(core::RecordRunning(causes, 3, At(250), true), 0);
  cr_assert_eq(core::RecordRunning(causes, 9, At(400 + margin_ms), true), 0);
  cr_assert(IsRefused(causes, Request(6, {kFirst, kBad, kCaller}), 2'500));
  cr_assert_eq(core::RecordRunning(causes, 3, At(400 + margin_ms), true), 2);
  cr_assert(!IsRefused(causes, Request(6, {kFirst, kBad, kCaller}), 2'600));
  for (core::StartLoss loss : losses) {
    loss.is_own = false;
    core::RecordLoss(causes, loss, At(2'700));
  }
  cr_assert(!IsRefused(causes, Request(7, {kFirst, kBad, kCaller}), 2'800));
  cr_assert_eq(core::UpstreamsSeenRunning(causes).size(), 1);
  // It ends under the part after all.
  Lose(causes, 3, Request(8, {kFirst, kBad, kCaller}), 5'000);
  cr_assert(IsRefused(causes, Request(9, {kFirst, kBad, kCaller}), 5'100));
}

// Guards against evidence against a part that was answered before which reaches the peers without
// the time over which its losses are spread.
Test(crash_causes, evidence_shows_how_long_the_losses_are_spread) {
  CrashCauses causes;
  core::RecordAnswered(causes, Request(20, {kFirst, kBad}), At(0));
  core::RecordAnswered(causes, Request(21, {kFirst}), At(0));
  for (std::int64_t i = 0; i < 6; ++i) {
    Lose(causes, i, Request(static_cast<Cause>(i), {kFirst, kBad}), 100 + i * 300);
    core::RecordAnswered(causes, Request(static_cast<Cause>(30 + i), {kFirst}), At(150 + i * 300));
  }
  cr_assert(IsRefused(causes, Request(40, {kFirst, kBad}), 2'000));
  const std::vector<core::StartLoss> evidence = core::EvidenceOf(causes, kBad, At(2'000));
  cr_assert_leq(evidence.size(), 5);
  cr_assert_geq(ToMs(evidence.back().at - evidence.front().at), 1'000.0);
}
