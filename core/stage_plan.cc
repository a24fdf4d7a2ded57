#include "core/stage_plan.h"

#include <algorithm>
#include <map>

#include "core/placement.h"

namespace rattanramp::core {
namespace {

// Planned utilization of the prefill engines when all decode memory is in use. At a higher
// utilization, the time in the prefill queue exceeds the part of the first-event target that
// remains after the transfer and one decode step.
constexpr double kTargetPrefillUtilization = 0.75;

// Number of engines by which a stage must exceed its planned number before one of them changes its
// stage. The sum of both thresholds exceeds one engine, so that no engine changes back and forth.
constexpr double kPrefillExcessForChange = 0.75;
constexpr double kDecodeExcessForChange = 1.0;

// Longest time that is expected of a generation; longer than any grace time or deadline.
constexpr double kMaxHoldTimeMs = 3'600'000;

}  // namespace

void RecordGeneration(GenerationProfile& profile, const GenerationProfile& sample) {
  profile.prompt_tokens += kProfileWeight * (sample.prompt_tokens - profile.prompt_tokens);
  profile.memory_tokens += kProfileWeight * (sample.memory_tokens - profile.memory_tokens);
  profile.hold_ms += kProfileWeight * (sample.hold_ms - profile.hold_ms);
  profile.output_tokens += kProfileWeight * (sample.output_tokens - profile.output_tokens);
}

Milliseconds ExpectedHoldTime(const GenerationProfile& profile, double output_tokens) {
  const double ratio = output_tokens / std::max(1.0, profile.output_tokens);
  const double hold_ms = profile.hold_ms * std::max(1.0, ratio);
  return Milliseconds(static_cast<std::int64_t>(std::min(hold_ms, kMaxHoldTimeMs)));
}

double PrefillShare(const GenerationProfile& profile, std::int64_t memory_tokens,
                    std::int64_t slots) {
  const double prefill_ms = profile.prompt_tokens / kPrefillTokensPerMs / kTargetPrefillUtilization;
  const double by_memory =
      profile.memory_tokens /
      (kMaxMemoryUse * static_cast<double>(std::max<std::int64_t>(1, memory_tokens)));
  const double by_slots = 1.0 / static_cast<double>(std::max<std::int64_t>(1, slots));
  const double decode_ms = profile.hold_ms * std::max(by_memory, by_slots);
  return prefill_ms / std::max(1e-9, prefill_ms + decode_ms);
}

std::optional<StageChange> NextStageChange(std::span<const PlannedEngine> engines,
                                           double prefill_share) {
  const auto count = [&](UpstreamStage stage) {
    return std::count_if(engines.begin(), engines.end(),
                         [stage](const PlannedEngine& e) { return e.stage == stage; });
  };
  const auto prefill_count = count(UpstreamStage::kPrefill);
  const auto decode_count = count(UpstreamStage::kDecode);
  const double excess = static_cast<double>(prefill_count) -
                        prefill_share * static_cast<double>(prefill_count + decode_count);
  StageChange change;
  UpstreamStage from = UpstreamStage::kPlain;
  if (excess >= kPrefillExcessForChange && prefill_count > 1) {
    from = UpstreamStage::kPrefill;
    change.to = UpstreamStage::kDecode;
  } else if (excess <= -kDecodeExcessForChange && decode_count > 1) {
    from = UpstreamStage::kDecode;
    change.to = UpstreamStage::kPrefill;
  } else {
    return std::nullopt;
  }
  std::map<std::uint32_t, std::int64_t> by_domain;
  for (const PlannedEngine& engine : engines) {
    by_domain[engine.failure_domain] += engine.stage == from ? 1 : 0;
  }
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (engines[i].stage == from && engines[i].may_change &&
        (!chosen ||
         by_domain[engines[i].failure_domain] > by_domain[engines[*chosen].failure_domain])) {
      chosen = i;
    }
  }
  if (!chosen) {
    return std::nullopt;
  }
  change.engine = *chosen;
  return change;
}

}  // namespace rattanramp::core
