// How the engines of a service are divided between prefill and decode. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/upstream_directory.h"

namespace rattanramp::core {

/// Means over the generations of a service.
struct GenerationProfile {
  double prompt_tokens = 0;
  /// Memory of the decode engine, on average over the run.
  double memory_tokens = 0;
  /// Time for which it is held.
  double hold_ms = 0;
};

/// Weight of a new generation in a profile: about the last hundred count, so that a profile's own
/// noise does not move engines.
inline constexpr double kProfileWeight = 0.02;

void RecordGeneration(GenerationProfile& profile, const GenerationProfile& sample);

/// One engine as the plan sees it.
struct PlannedEngine {
  /// The stage that it has, or is changing to.
  UpstreamStage stage = UpstreamStage::kPlain;
  std::uint32_t failure_domain = 0;
  /// Ready, not leaving, and not changing its stage.
  bool may_change = false;
};

/// Share of the engines that prefills should have, 0 to 1, so that the queues of both stages fill
/// together. memory_tokens and slots: of one engine.
double PrefillShare(const GenerationProfile& profile, std::int64_t memory_tokens,
                    std::int64_t slots);

struct StageChange {
  std::size_t engine = 0;
  UpstreamStage to = UpstreamStage::kPlain;
};

/// The next engine to change, of the failure domain that has most of its stage; empty while the
/// division is near the wanted one. Keeps at least one engine of each stage.
std::optional<StageChange> NextStageChange(std::span<const PlannedEngine> engines,
                                           double prefill_share);

}  // namespace rattanramp::core
