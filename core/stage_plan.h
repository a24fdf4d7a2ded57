// Plans how the engines of a service are divided between prefill and decode. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "core/upstream_directory.h"

namespace rattanramp::core {

/// Mean values over the generations of a service.
struct GenerationProfile {
  double prompt_tokens = 0;
  /// Memory on the decode engine, averaged over the run of a generation.
  double memory_tokens = 0;
  /// Time for which this memory is held, in ms.
  double hold_ms = 0;
  double output_tokens = 0;
};

/// Weight of a new generation in the moving average. About the last hundred generations count, so
/// that random variation of the profile does not cause stage changes.
inline constexpr double kProfileWeight = 0.02;

void RecordGeneration(GenerationProfile& profile, const GenerationProfile& sample);

/// Estimates how long a generation of `output_tokens` holds its memory: the mean time, or longer in
/// proportion if its output is longer than the mean.
Milliseconds ExpectedHoldTime(const GenerationProfile& profile, double output_tokens);

/// Input of the plan for one engine.
struct PlannedEngine {
  /// The stage that the engine has, or is changing to.
  UpstreamStage stage = UpstreamStage::kPlain;
  std::uint32_t failure_domain = 0;
  /// The engine is ready, not draining, and not changing its stage.
  bool may_change = false;
};

/// Returns the share of the engines, 0 to 1, that should prefill, so that both stages reach their
/// capacity at the same load. `memory_tokens` and `slots` are those of one engine.
double PrefillShare(const GenerationProfile& profile, std::int64_t memory_tokens,
                    std::int64_t slots);

struct StageChange {
  std::size_t engine = 0;
  UpstreamStage to = UpstreamStage::kPlain;
};

/// Returns the next engine that should change its stage. It is taken from the failure domain with
/// the most engines of that stage. Empty while the present division is close to `prefill_share`, or
/// when no engine may change. Keeps at least one engine of each stage.
std::optional<StageChange> NextStageChange(std::span<const PlannedEngine> engines,
                                           double prefill_share);

}  // namespace rattanramp::core
