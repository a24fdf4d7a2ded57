#include "core/stage_plan.h"

#include <criterion/criterion.h>

#include <cmath>
#include <vector>

#include "core/order_lease.h"
#include "core/placement.h"

using namespace rattanramp;
using core::GenerationProfile;
using core::PlannedEngine;
using core::UpstreamStage;

namespace {

// Means of the users' workload descriptions: prompts of 5,200 tokens and 70 events of 72 tokens
// each, at intervals of 50 ms.
constexpr GenerationProfile kTypicalProfile = {5'200, 7'700, 3'500};

std::vector<PlannedEngine> Engines(int prefills, int decodes) {
  std::vector<PlannedEngine> engines;
  for (int i = 0; i < prefills + decodes; ++i) {
    engines.push_back({i < prefills ? UpstreamStage::kPrefill : UpstreamStage::kDecode,
                       static_cast<std::uint32_t>(i % 3), true});
  }
  return engines;
}

int ApplyAllChanges(std::vector<PlannedEngine>& engines, double share) {
  int changes = 0;
  while (const std::optional<core::StageChange> change = core::NextStageChange(engines, share)) {
    engines[change->engine].stage = change->to;
    if (++changes > 100) {
      break;
    }
  }
  return changes;
}

int CountPrefills(const std::vector<PlannedEngine>& engines) {
  int count = 0;
  for (const PlannedEngine& engine : engines) {
    count += engine.stage == UpstreamStage::kPrefill ? 1 : 0;
  }
  return count;
}

/// Requests per second that a division of the engines can serve at kTypicalProfile.
double Capacity(int prefills, int engines, std::int64_t memory_tokens) {
  const double prefill =
      prefills * core::kPrefillTokensPerMs * 1'000 / kTypicalProfile.prompt_tokens;
  const double decode = (engines - prefills) * core::kMaxMemoryUse *
                        static_cast<double>(memory_tokens) / kTypicalProfile.memory_tokens /
                        (kTypicalProfile.hold_ms / 1'000);
  return std::min(prefill, decode);
}

}  // namespace

// Load pattern: a burst of generations fills the decode memory while a third of the engines wait
// for prompts (benchmark day quiet-1 of all deployments, whose sizes are used here).
// Guards against keeping the division with which the engines were started.
Test(stage_plan, stage_changes_raise_the_request_rate_in_a_burst) {
  struct Site {
    int prefills;
    int engines;
    std::int64_t memory_tokens;
    std::int64_t slots;
  };
  for (const Site& site : {Site{4, 9, 107'085, 64}, Site{5, 14, 74'829, 12},
                           Site{15, 44, 65'015, 12}, Site{15, 44, 65'421, 16}}) {
    std::vector<PlannedEngine> engines = Engines(site.prefills, site.engines - site.prefills);
    const double share = core::PrefillShare(kTypicalProfile, site.memory_tokens, site.slots);
    ApplyAllChanges(engines, share);
    const double before = Capacity(site.prefills, site.engines, site.memory_tokens);
    const double after = Capacity(CountPrefills(engines), site.engines, site.memory_tokens);
    cr_assert_gt(after, before * 1.1, "%d engines: %f to %f requests a second", site.engines,
                 before, after);
  }
}

// Guards against engines that change their stage back and forth: each change makes an engine
// unavailable for 6 s.
Test(stage_plan, stage_changes_end_for_every_share_and_fleet_size) {
  for (int engines = 2; engines <= 48; ++engines) {
    for (int prefills = 0; prefills <= engines; ++prefills) {
      for (double share = 0.05; share < 1.0; share += 0.05) {
        std::vector<PlannedEngine> list = Engines(prefills, engines - prefills);
        const int changes = ApplyAllChanges(list, share);
        cr_assert_leq(changes, engines);
        const int prefills_left = CountPrefills(list);
        if (prefills > 0 && prefills < engines) {
          cr_assert_geq(prefills_left, 1);
          cr_assert_lt(prefills_left, engines);
        }
      }
    }
  }
}

// Load pattern: a shift from long prompts to long answers and back. Guards against a division that
// does not follow the requests.
Test(stage_plan, prefill_share_follows_the_generation_profile) {
  const double typical_share = core::PrefillShare(kTypicalProfile, 65'421, 16);
  cr_assert_gt(core::PrefillShare({11'000, 12'000, 1'000}, 65'421, 16), typical_share);
  cr_assert_lt(core::PrefillShare({500, 5'000, 6'000}, 65'421, 16), typical_share);
  GenerationProfile profile = kTypicalProfile;
  for (int i = 0; i < 400; ++i) {
    core::RecordGeneration(profile, {500, 5'000, 6'000});
  }
  cr_assert_lt(std::abs(profile.prompt_tokens - 500), 50);
}

// Guards against accepting a generation in a stop that it outlasts: its output is longer than the
// mean, and the mean time was expected of it.
Test(stage_plan, longer_generation_is_expected_to_hold_its_memory_longer) {
  GenerationProfile profile = kTypicalProfile;
  profile.output_tokens = 5'000;
  cr_assert_eq(core::ExpectedHoldTime(profile, 15'000).count(), 10'500);
  cr_assert_eq(core::ExpectedHoldTime(profile, 5'000).count(), 3'500);
  // The estimate of a short one is too inaccurate to expect less than the mean.
  cr_assert_eq(core::ExpectedHoldTime(profile, 100).count(), 3'500);
  cr_assert_eq(core::ExpectedHoldTime({}, 100).count(), 0);
}

// Guards against orders to engines that are draining, not responding or already changing, and
// against changing the last engine of a stage.
Test(stage_plan, only_engines_that_may_change_are_chosen) {
  std::vector<PlannedEngine> engines = Engines(4, 2);
  for (std::size_t i = 0; i < 3; ++i) {
    engines[i].may_change = false;
  }
  cr_assert_eq(core::NextStageChange(engines, 0.1)->engine, 3);
  engines[3].may_change = false;
  cr_assert(!core::NextStageChange(engines, 0.1));
  cr_assert(!core::NextStageChange(Engines(1, 8), 0.0));
  cr_assert(!core::NextStageChange(Engines(8, 1), 1.0));
}

// Guards against removing all prefill engines from one failure domain.
Test(stage_plan, engine_is_taken_from_the_domain_with_most_of_its_stage) {
  std::vector<PlannedEngine> engines = Engines(5, 4);
  for (std::size_t i = 0; i < 5; ++i) {
    engines[i].failure_domain = i == 0 ? 0 : 1;
  }
  const std::optional<core::StageChange> change = core::NextStageChange(engines, 0.3);
  cr_assert_eq(engines[change->engine].failure_domain, 1);
  cr_assert_eq(change->to, UpstreamStage::kDecode);
}

// Guards against two processes that send orders to the same engine within the users' bound
// lease_ms.
Test(order_lease, another_process_waits_after_the_last_order) {
  const core::OrderRecord last = {"a", 7, 50'000};
  cr_assert(core::HoldsOrderLease({}, "b", 1));
  cr_assert(core::HoldsOrderLease(last, "a", 50'001));
  cr_assert(!core::HoldsOrderLease(last, "b", 50'000 + core::kLeaseTransferDelay.count() - 1));
  cr_assert(core::HoldsOrderLease(last, "b", 50'000 + core::kLeaseTransferDelay.count()));
}
