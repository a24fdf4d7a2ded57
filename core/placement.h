// Where a request goes, from what is known of the upstreams' load. Pure functions; `seed` spreads
// processes that have the same view.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "core/upstream_directory.h"

namespace rattanramp::core {

/// Work at an upstream, from this process and its peers.
struct UpstreamLoad {
  std::int64_t running = 0;
  /// Memory that the running generations will fill, in tokens.
  std::int64_t reserved_tokens = 0;
  /// Prompt tokens that wait for prefill or are being prefilled.
  std::int64_t prefill_tokens = 0;
};

struct PlacementCandidate {
  UpstreamStage stage = UpstreamStage::kPlain;
  /// Index of the failure domain, to compare two candidates.
  std::uint32_t failure_domain = 0;
  /// Ready, not draining, not backing off, and not tried by this request.
  bool is_usable = false;
  /// Only one request at a time may try it.
  bool is_on_probation = false;
  std::int64_t slots = 0;
  std::int64_t memory_tokens = 0;
  double failure_share = 0;
  /// Rank of the upstream for the request's prompt, the same in all processes; the highest is most
  /// likely to have the prompt cached when it was read before.
  std::uint64_t affinity = 0;
  UpstreamLoad load;
};

struct GenerationNeed {
  std::int64_t prompt_tokens = 0;
  /// Prompt and expected output.
  std::int64_t memory_tokens = 0;
};

/// A generation and how far it has come, in tokens.
struct GenerationSize {
  std::int64_t prompt = 0;
  std::int64_t max_output = 0;
  /// The caller's estimate; accurate at the median, often far off.
  std::optional<std::int64_t> expected_output;
  std::int64_t generated = 0;
};

/// Share of the most output that is expected without an estimate: outputs vary by half of their
/// mean on the users' sheets, cut at the most.
inline constexpr double kExpectedOutputShare = 0.6;

/// Memory that a generation takes on average over the rest of its run. The sum over the running
/// ones is what an engine needs: they are at different points, so that few are at their peak
/// together.
std::int64_t ExpectedMemoryTokens(const GenerationSize& size);

struct GenerationPlacement {
  std::size_t decode = 0;
  /// Absent: the decode upstream prefills the prompt itself.
  std::optional<std::size_t> prefill;
};

/// Prefill speed that an engine states, tokens per ms (users' pages); only ratios matter.
inline constexpr double kPrefillTokensPerMs = 55.0;

/// Wait that a cached prompt is worth, ms: about the prefill of a usual prompt. A prompt comes
/// again when its stream broke; reading it anew is the dearest waste that the users price.
inline constexpr double kCacheAffinityMs = 100.0;

/// Queued prefill beyond which a prefill upstream takes no more: a third of the first-event target
/// of 900 ms, so that what waits can still go to a sooner one.
inline constexpr double kMaxPrefillQueueMs = 300.0;

/// Share of an engine's memory that is filled. Outputs are estimates, and an engine without memory
/// preempts running streams.
inline constexpr double kMaxMemoryUse = 0.95;

/// Requests at a plain upstream, relative to its slots, beyond which requests wait here. More would
/// queue where they can no longer be sent elsewhere.
inline constexpr double kMaxPlainLoad = 1.34;

/// How long callers of a stream wait for its first event before they leave: the longest of 2 s,
/// four times the latency target and eight times the pause target (users' pages).
Duration FirstEventTimeout(std::int64_t target_latency_ms, std::int64_t target_gap_ms);

/// What waits before a generation and what serves it, over all processes.
struct QueueState {
  std::int64_t waiting_tokens = 0;
  /// Memory of the decode upstreams that can be used, in tokens.
  std::int64_t capacity_tokens = 0;
  /// Mean time that a generation holds its memory, in ms.
  double mean_hold_ms = 0;
};

/// Expected wait for room of a generation at the end of the queue, in ms.
double ExpectedWaitMs(const QueueState& queue);

/// Memory that waiting generations will take, in tokens.
struct WaitingTokens {
  /// Of those that can still be on time.
  std::int64_t on_time = 0;
  /// Of those that are late already; they go behind the others.
  std::int64_t late = 0;
};

/// Share of the free places that all processes together try to take at once; what stays free is
/// taken at the next try, some ms later. Measured on both grown sites: 1.0 had 20 to 40% more
/// streams preempted, 0.4 refused more while engines had places (docs/MEASUREMENTS.md).
inline constexpr double kContendedShare = 0.7;

/// Room that several processes want at the same time.
struct ContendedCapacity {
  /// Generations of the wanted size that fit on all decode upstreams.
  std::int64_t fits = 0;
  /// The request that wants room is late already.
  bool is_late = false;
  WaitingTokens local;
  WaitingTokens peers;
};

/// Generations of a size that fit on the decode upstreams now.
std::int64_t CountFits(std::span<const PlacementCandidate> candidates, const GenerationNeed& need);

/// Whether this process may take room now; `draw` is uniform in 0 to 1 and drawn anew at each try.
/// Processes try in proportion to what waits at them, so that together they take kContendedShare of
/// what is free and not each of them the same place.
bool MayTakeContendedCapacity(const ContendedCapacity& contended, double random_fraction);

/// The upstream with the smallest load relative to its slots; empty when none has room.
std::optional<std::size_t> PlacePlain(std::span<const PlacementCandidate> candidates,
                                      std::uint64_t seed);

/// The prefill upstream that is done first, and a decode upstream with room: the one with the
/// smallest load, preferring the failure domain of the prefill. Prefills in place when no prefill
/// upstream is usable. Empty when nothing has room now.
std::optional<GenerationPlacement> PlaceGeneration(std::span<const PlacementCandidate> candidates,
                                                   const GenerationNeed& need, std::uint64_t seed);

/// Another decode upstream with room, when the chosen one has been given too much by several
/// processes at once. The chosen one's load includes the request. Empty: the request stays.
std::optional<std::size_t> LessLoadedDecode(std::span<const PlacementCandidate> candidates,
                                            std::size_t chosen, const GenerationNeed& need,
                                            std::uint64_t seed);

/// The prefill upstream that would be done first, preferring the one of highest affinity. Empty
/// when the queues of all are too long.
std::optional<std::size_t> PlacePrefill(std::span<const PlacementCandidate> candidates,
                                        std::int64_t prompt_tokens, std::uint64_t seed);

}  // namespace rattanramp::core
