#include "core/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <vector>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

// Largest value that TieBreak adds, as a share of full load. It is smaller than the load of one
// request at a server with few slots, so that it only decides between equal candidates.
constexpr double kTieBreakRange = 0.02;

// Number of candidates that are compared for a request; its seed selects them. Load data is up to
// one report interval old, so processes that compared all candidates would all choose the same one.
// Comparing two random candidates prevents this and still avoids the busiest upstream.
constexpr std::size_t kSampleSize = 2;

// Weight of the share of failed answers relative to load: a server that fails half of its answers
// is rated as if half of its slots were in use.
constexpr double kFailureWeight = 1.0;

// Time that a request takes at an idle upstream, as a share of that at a full one.
constexpr double kIdleShare = 0.5;

// Load that is added for a decode upstream outside the failure domain of the prefill upstream.
// Transfers between domains take twice as long and cost up to three times as much.
constexpr double kCrossDomainPenalty = 0.08;

double TieBreak(std::uint64_t seed, std::size_t index) {
  const std::uint64_t hash_input[2] = {seed, index};
  const std::uint64_t hash =
      Hash64({reinterpret_cast<const char*>(hash_input), sizeof(hash_input)});
  return kTieBreakRange * static_cast<double>(hash % 1024) / 1024.0;
}

/// Keeps the kSampleSize candidates that rank highest by a hash of the request's seed.
class CandidateSample {
 public:
  explicit CandidateSample(std::uint64_t seed) : seed_(seed) {}

  void Add(std::size_t index, double score) {
    const std::uint64_t hash_input[2] = {~seed_, index};
    const std::uint64_t rank =
        Hash64({reinterpret_cast<const char*>(hash_input), sizeof(hash_input)});
    std::size_t position = size_;
    while (position > 0 && entries_[position - 1].rank < rank) {
      if (position < kSampleSize) {
        entries_[position] = entries_[position - 1];
      }
      --position;
    }
    if (position < kSampleSize) {
      entries_[position] = {rank, index, score};
    }
    size_ = std::min(size_ + 1, kSampleSize);
  }

  /// Returns the candidate in the sample with the lowest score.
  std::optional<std::size_t> Best() const {
    std::optional<std::size_t> best;
    double best_score = 0;
    for (std::size_t i = 0; i < size_; ++i) {
      if (!best || entries_[i].score < best_score) {
        best = entries_[i].index;
        best_score = entries_[i].score;
      }
    }
    return best;
  }

 private:
  struct Entry {
    std::uint64_t rank = 0;
    std::size_t index = 0;
    double score = 0;
  };
  std::uint64_t seed_;
  std::array<Entry, kSampleSize> entries_;
  std::size_t size_ = 0;
};

bool CanAccept(const PlacementCandidate& candidate) {
  return candidate.is_usable && !(candidate.is_on_probation && candidate.load.running > 0);
}

/// Reserved memory of a decode upstream, including one more generation, relative to its capacity.
double MemoryUse(const PlacementCandidate& candidate, const GenerationNeed& need) {
  const double memory = static_cast<double>(std::max<std::int64_t>(1, candidate.memory_tokens));
  return static_cast<double>(candidate.load.reserved_tokens + need.memory_tokens) / memory;
}

/// Rates an upstream by the time that its work, including this request, takes it. The share of the
/// time that does not depend on the load counts too, so that the slower of two idle upstreams is
/// second choice.
double ExpectedWork(double use, const PlacementCandidate& candidate) {
  return use * candidate.slowness + kIdleShare * (candidate.slowness - 1);
}

/// Returns the less loaded of two sampled decode upstreams with free capacity, preferring the
/// failure domain of the prefill upstream.
std::optional<std::size_t> PlaceDecode(std::span<const PlacementCandidate> candidates,
                                       const GenerationNeed& need,
                                       std::optional<std::size_t> prefill, std::uint64_t seed) {
  CandidateSample sample(seed);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    if (candidate.stage != UpstreamStage::kDecode || !CanAccept(candidate)) {
      continue;
    }
    const double memory_use = MemoryUse(candidate, need);
    const double slots = static_cast<double>(std::max<std::int64_t>(1, candidate.slots));
    const double slot_use = static_cast<double>(candidate.load.running + 1) / slots;
    // A request that exceeds kMaxMemoryUse on its own is placed on an idle engine.
    if (slot_use > 1.0 || (memory_use > kMaxMemoryUse && candidate.load.running > 0)) {
      continue;
    }
    const bool is_other_domain =
        prefill && candidates[*prefill].failure_domain != candidate.failure_domain;
    sample.Add(i, ExpectedWork(std::max(memory_use, slot_use), candidate) +
                      (is_other_domain ? kCrossDomainPenalty : 0.0) +
                      kFailureWeight * candidate.failure_share);
  }
  return sample.Best();
}

}  // namespace

Duration FirstEventTimeout(std::int64_t target_latency_ms, std::int64_t target_gap_ms) {
  constexpr std::int64_t kMinTimeoutMs = 2'000;
  return Milliseconds(std::max({kMinTimeoutMs, 4 * target_latency_ms, 8 * target_gap_ms}));
}

double ExpectedWaitMs(const QueueState& queue) {
  if (queue.waiting_tokens <= 0) {
    return 0;
  }
  const double capacity =
      kMaxMemoryUse * static_cast<double>(std::max<std::int64_t>(1, queue.capacity_tokens));
  // While the engines are full, memory is released at the rate capacity / mean_hold_ms.
  return static_cast<double>(queue.waiting_tokens) / capacity * queue.mean_hold_ms;
}

double ExpectedOutputTokens(const GenerationSize& size) {
  const double max_output = static_cast<double>(size.max_output);
  if (!size.expected_output) {
    return kExpectedOutputShare * max_output;
  }
  const double expected = static_cast<double>(*size.expected_output);
  return size.max_output > 0 ? std::min(expected, max_output) : expected;
}

std::int64_t ExpectedMemoryTokens(const GenerationSize& size) {
  const double remaining =
      std::max(0.0, ExpectedOutputTokens(size) - static_cast<double>(size.generated));
  return size.prompt + size.generated + static_cast<std::int64_t>(remaining / 2);
}

std::int64_t CountFits(std::span<const PlacementCandidate> candidates, const GenerationNeed& need) {
  const std::int64_t size = std::max<std::int64_t>(1, need.memory_tokens);
  std::int64_t fits = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.stage != UpstreamStage::kDecode || !CanAccept(candidate)) {
      continue;
    }
    const std::int64_t usable =
        static_cast<std::int64_t>(kMaxMemoryUse * static_cast<double>(candidate.memory_tokens));
    const std::int64_t by_memory = (usable - candidate.load.reserved_tokens) / size;
    const std::int64_t by_slots = candidate.slots - candidate.load.running;
    fits += std::max<std::int64_t>(0, std::min(by_memory, by_slots));
  }
  return fits;
}

bool MayTakeContendedCapacity(const ContendedCapacity& contended, double random_fraction) {
  if (contended.is_late && contended.peers.on_time > 0) {
    return false;
  }
  const std::int64_t peer_tokens =
      contended.is_late ? contended.peers.late : contended.peers.on_time;
  if (peer_tokens <= 0) {
    return true;
  }
  const double own_tokens = static_cast<double>(std::max<std::int64_t>(
      1, contended.is_late ? contended.local.late : contended.local.on_time));
  const double share = own_tokens / (own_tokens + static_cast<double>(peer_tokens));
  return random_fraction <
         kContendedShare * share * static_cast<double>(std::max<std::int64_t>(1, contended.fits));
}

void LimitBackOff(std::span<PlacementCandidate> candidates) {
  for (const UpstreamStage stage :
       {UpstreamStage::kPlain, UpstreamStage::kPrefill, UpstreamStage::kDecode}) {
    std::size_t usable = 0;
    std::vector<PlacementCandidate*> backing_off;
    for (PlacementCandidate& candidate : candidates) {
      if (candidate.stage != stage) {
        continue;
      }
      usable += candidate.is_usable ? 1 : 0;
      if (candidate.is_backing_off) {
        backing_off.push_back(&candidate);
      }
    }
    const std::size_t limit = static_cast<std::size_t>(
        kMaxBackOffShare * static_cast<double>(usable + backing_off.size()));
    if (backing_off.size() <= limit) {
      continue;
    }
    std::sort(backing_off.begin(), backing_off.end(),
              [](const PlacementCandidate* a, const PlacementCandidate* b) {
                return std::tie(a->failed_at, a->back_off_until) <
                       std::tie(b->failed_at, b->back_off_until);
              });
    for (std::size_t i = 0; i + limit < backing_off.size(); ++i) {
      backing_off[i]->is_usable = true;
    }
  }
}

std::optional<std::size_t> PlacePlain(std::span<const PlacementCandidate> candidates,
                                      std::uint64_t seed) {
  CandidateSample sample(seed);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    if (candidate.stage != UpstreamStage::kPlain || !CanAccept(candidate)) {
      continue;
    }
    const double slots = static_cast<double>(std::max<std::int64_t>(1, candidate.slots));
    const double load = static_cast<double>(candidate.load.running + 1) / slots;
    // Requests beyond the slots wait at the upstream, the longer the slower it is.
    const double waiting_places = (kMaxPlainLoad - 1) * slots;
    const double places =
        slots + std::min(std::floor(waiting_places),
                         std::round(waiting_places / std::max(1.0, candidate.slowness)));
    if (static_cast<double>(candidate.load.running + 1) > places) {
      continue;
    }
    sample.Add(i, ExpectedWork(load, candidate) + kFailureWeight * candidate.failure_share);
  }
  return sample.Best();
}

std::optional<std::size_t> PlacePrefill(std::span<const PlacementCandidate> candidates,
                                        std::int64_t prompt_tokens, std::uint64_t seed,
                                        double tokens_per_ms) {
  std::uint64_t highest_affinity = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.stage == UpstreamStage::kPrefill && CanAccept(candidate)) {
      highest_affinity = std::max(highest_affinity, candidate.affinity);
    }
  }
  std::optional<std::size_t> best;
  double best_finish_ms = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    if (candidate.stage != UpstreamStage::kPrefill || !CanAccept(candidate)) {
      continue;
    }
    const double queue_ms =
        candidate.slowness * static_cast<double>(candidate.load.prefill_tokens) / tokens_per_ms;
    if (queue_ms > kMaxPrefillQueueMs) {
      continue;
    }
    // The prompts that are being read, and those that wait to be taken, cannot yield.
    if (candidate.memory_tokens > 0 && candidate.load.reserved_tokens > 0 &&
        MemoryUse(candidate, {prompt_tokens, prompt_tokens}) > kMaxMemoryUse) {
      continue;
    }
    const double own_ms = candidate.slowness * static_cast<double>(prompt_tokens) / tokens_per_ms;
    const double cached_ms = candidate.affinity == highest_affinity ? kCacheAffinityMs : 0.0;
    const double finish_ms = queue_ms - cached_ms + own_ms * (1 + 2 * candidate.failure_share) +
                             own_ms * TieBreak(seed, i);
    if (!best || finish_ms < best_finish_ms) {
      best = i;
      best_finish_ms = finish_ms;
    }
  }
  return best;
}

std::optional<GenerationPlacement> PlaceGeneration(std::span<const PlacementCandidate> candidates,
                                                   const GenerationNeed& need, std::uint64_t seed) {
  const std::optional<std::size_t> prefill =
      PlacePrefill(candidates, need.prompt_tokens, seed, need.prefill_tokens_per_ms);
  const std::optional<std::size_t> decode = PlaceDecode(candidates, need, prefill, seed);
  if (!decode) {
    return std::nullopt;
  }
  // Prefill on the decode upstream delays the streams that run there. Therefore only one prompt at
  // a time is prefilled there, and only when no prefill upstream can take it.
  const bool has_prefill =
      std::any_of(candidates.begin(), candidates.end(), [](const PlacementCandidate& candidate) {
        return candidate.stage == UpstreamStage::kPrefill && CanAccept(candidate);
      });
  if (!prefill && has_prefill && candidates[*decode].load.prefill_tokens > 0) {
    return std::nullopt;
  }
  return GenerationPlacement{*decode, prefill};
}

std::optional<std::size_t> PlaceKeptPrompt(std::span<const PlacementCandidate> candidates,
                                           const GenerationNeed& need,
                                           std::optional<std::size_t> prefill, std::uint64_t seed) {
  return PlaceDecode(candidates, need, prefill, seed);
}

std::optional<std::size_t> LessLoadedDecode(std::span<const PlacementCandidate> candidates,
                                            std::size_t chosen, const GenerationNeed& need,
                                            std::uint64_t seed) {
  const PlacementCandidate& chosen_candidate = candidates[chosen];
  if (MemoryUse(chosen_candidate, {}) <= kMaxMemoryUse &&
      chosen_candidate.load.running <= chosen_candidate.slots) {
    return std::nullopt;
  }
  // PlaceDecode cannot return the chosen upstream: its load already includes this request, so it
  // has no capacity for the request a second time.
  return PlaceDecode(candidates, need, std::nullopt, seed);
}

}  // namespace rattanramp::core
