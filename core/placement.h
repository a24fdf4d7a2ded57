// Chooses upstreams for a request from their reported load. Pure functions; `seed` makes processes
// with the same load data choose different upstreams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "core/upstream_directory.h"

namespace rattanramp::core {

/// Work that this process and its peers have placed on an upstream.
struct UpstreamLoad {
  std::int64_t running = 0;
  /// Memory reserved for the running generations, in tokens. On a prefill upstream: for the prompts
  /// that are being read or that no decode upstream has taken yet.
  std::int64_t reserved_tokens = 0;
  /// Prompt tokens that are waiting for prefill or being prefilled.
  std::int64_t prefill_tokens = 0;
};

struct PlacementCandidate {
  UpstreamStage stage = UpstreamStage::kPlain;
  /// Index of the failure domain; equal for candidates in the same domain.
  std::uint32_t failure_domain = 0;
  /// The upstream is ready, not draining, not backing off, and this request has not tried it yet.
  bool is_usable = false;
  /// The upstream is not usable only because it is in a back-off, which ends at back_off_until, or
  /// because it is suspected to have ended.
  bool is_backing_off = false;
  TimePoint back_off_until;
  /// Of a suspected upstream: its last failure.
  TimePoint failed_at;
  /// Only one request at a time may be sent to the upstream.
  bool is_on_probation = false;
  std::int64_t slots = 0;
  std::int64_t memory_tokens = 0;
  double failure_share = 0;
  /// Time that work takes here, relative to other upstreams of the service and stage.
  double slowness = 1;
  /// Hash rank of the upstream for the request's prompt, the same in all processes. If the prompt
  /// was prefilled before, the upstream with the highest rank is the most likely to have it cached.
  std::uint64_t affinity = 0;
  UpstreamLoad load;
};

/// Prefill speed until it has been measured, in tokens per ms (users' documentation).
inline constexpr double kPrefillTokensPerMs = 55.0;

struct GenerationNeed {
  std::int64_t prompt_tokens = 0;
  /// Prompt and expected output.
  std::int64_t memory_tokens = 0;
  /// Speed at which the prefill upstreams read prompts.
  double prefill_tokens_per_ms = kPrefillTokensPerMs;
};

/// Size and progress of a generation, in tokens.
struct GenerationSize {
  std::int64_t prompt = 0;
  std::int64_t max_output = 0;
  /// The caller's estimate; accurate at the median, often far off.
  std::optional<std::int64_t> expected_output;
  std::int64_t generated = 0;
};

/// Expected output as a share of the maximum output, for requests without an estimate. In the
/// users' workload descriptions, outputs vary by half of their mean and are capped at the maximum.
inline constexpr double kExpectedOutputShare = 0.6;

/// Estimates the output of a generation over its whole run, in tokens.
double ExpectedOutputTokens(const GenerationSize& size);

/// Estimates the average memory of a generation over the rest of its run. The sum over all running
/// generations is the memory that an engine needs, because their progress differs and few of them
/// reach their peak at the same time.
std::int64_t ExpectedMemoryTokens(const GenerationSize& size);

struct GenerationPlacement {
  std::size_t decode = 0;
  /// Absent: the decode upstream prefills the prompt itself.
  std::optional<std::size_t> prefill;
};

/// Additional queue time, in ms, that is accepted to reach the prefill upstream that probably has
/// the prompt cached. It is about the prefill time of a typical prompt. A prompt is sent again
/// after its stream broke, and prefilling it again is the most expensive waste in the users' price
/// list.
inline constexpr double kCacheAffinityMs = 100.0;

/// Longest prefill queue, in ms, at which a prefill upstream is still chosen. It is a third of the
/// first-event target of 900 ms, so that requests that wait here can still be sent to an upstream
/// that is free sooner.
inline constexpr double kMaxPrefillQueueMs = 300.0;

/// Share of an engine's memory that may be reserved. The rest is a margin because output sizes are
/// estimates, and an engine that runs out of memory preempts running streams.
inline constexpr double kMaxMemoryUse = 0.95;

/// Highest load of a plain upstream, in requests per slot. Above it, requests wait in this process,
/// because a request that is queued at an upstream can no longer be sent to another one.
inline constexpr double kMaxPlainLoad = 1.34;

/// Time after which the caller of a stream disconnects if it has not received the first event: the
/// longest of 2 s, four times the latency target and eight times the target for the gap between
/// events (users' documentation).
Duration FirstEventTimeout(std::int64_t target_latency_ms, std::int64_t target_gap_ms);

/// Generations that are queued ahead of a generation, and the capacity that serves them, over all
/// processes.
struct QueueState {
  std::int64_t waiting_tokens = 0;
  /// Memory of the usable decode upstreams, in tokens.
  std::int64_t capacity_tokens = 0;
  /// Mean time for which a generation holds its memory, in ms.
  double mean_hold_ms = 0;
};

/// Estimates how long a generation at the end of the queue waits for free memory, in ms.
double ExpectedWaitMs(const QueueState& queue);

/// Memory that the waiting generations need, in tokens.
struct WaitingTokens {
  /// Generations that can still be on time.
  std::int64_t on_time = 0;
  /// Generations that are already late; they start after the others.
  std::int64_t late = 0;
};

/// Share of the free capacity that all processes together try to take at once. The remaining
/// capacity is taken at the next attempt, some ms later. At 1.0, engines preempted 20 to 40% more
/// streams; at 0.4, more requests were refused while engines had free capacity (benchmark of both
/// enlarged deployments, docs/MEASUREMENTS.md).
inline constexpr double kContendedShare = 0.7;

/// Free capacity for which several processes have waiting requests.
struct ContendedCapacity {
  /// Number of generations of the requested size that fit on all decode upstreams together.
  std::int64_t fits = 0;
  /// The request that is to be placed is already late.
  bool is_late = false;
  WaitingTokens local;
  WaitingTokens peers;
};

/// Counts how many generations of the given size fit on the decode upstreams now.
std::int64_t CountFits(std::span<const PlacementCandidate> candidates, const GenerationNeed& need);

/// Returns whether this process may place a generation now. `random_fraction` is uniform in 0 to 1
/// and generated anew for each attempt. The probability is proportional to the process's share of
/// the waiting tokens, so that all processes together take kContendedShare of the free capacity
/// instead of each placing a generation on the same free slot.
bool MayTakeContendedCapacity(const ContendedCapacity& contended, double random_fraction);

/// Largest share of the candidates of a stage that back-offs may make unusable. If more fail, the
/// cause is probably not theirs, and leaving them out would refuse requests that they can serve.
inline constexpr double kMaxBackOffShare = 0.5;

/// Makes candidates that are backing off usable again while they are more than kMaxBackOffShare of
/// their stage: first those that are not suspected to have ended, then those that failed longest
/// ago; of these, those whose back-off ends first. Candidates that are unusable for another reason
/// do not count.
void LimitBackOff(std::span<PlacementCandidate> candidates);

/// Returns the less loaded, relative to its slots, of two plain upstreams that are selected by
/// `seed`. Empty when none has free capacity.
std::optional<std::size_t> PlacePlain(std::span<const PlacementCandidate> candidates,
                                      std::uint64_t seed);

/// Chooses the prefill upstream with the earliest estimated finish, and the less loaded of two
/// decode upstreams with free capacity, preferring the failure domain of the prefill upstream. The
/// decode upstream prefills the prompt itself when no prefill upstream can take it. Empty when no
/// upstream has free capacity now.
std::optional<GenerationPlacement> PlaceGeneration(std::span<const PlacementCandidate> candidates,
                                                   const GenerationNeed& need, std::uint64_t seed);

/// Chooses the decode upstream for a prompt that the candidate `prefill` has read and keeps; empty:
/// that is no candidate any more. Empty when no decode upstream has free capacity.
std::optional<std::size_t> PlaceKeptPrompt(std::span<const PlacementCandidate> candidates,
                                           const GenerationNeed& need,
                                           std::optional<std::size_t> prefill, std::uint64_t seed);

/// Returns another decode upstream with free capacity if the chosen one is overcommitted, which
/// happens when several processes choose it at once. The load of the chosen upstream includes this
/// request. Empty: the request stays at the chosen upstream.
std::optional<std::size_t> LessLoadedDecode(std::span<const PlacementCandidate> candidates,
                                            std::size_t chosen, const GenerationNeed& need,
                                            std::uint64_t seed);

/// Returns the prefill upstream with the earliest estimated finish, preferring the one of highest
/// affinity by kCacheAffinityMs. Empty when none is usable, or when all have queues above
/// kMaxPrefillQueueMs or no memory for the prompt.
std::optional<std::size_t> PlacePrefill(std::span<const PlacementCandidate> candidates,
                                        std::int64_t prompt_tokens, std::uint64_t seed,
                                        double tokens_per_ms = kPrefillTokensPerMs);

}  // namespace rattanramp::core
