#include "core/route.h"

// Inlined for speed: a decision hashes the indexes of many engines.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>

namespace rattanramp::core {
namespace {

constexpr double kMsPerSecond = 1'000;

/// Number of messages between entry and agent before the first token. Prefill engine: Submit and
/// PrefillDone. Decode engine: Submit, Granted, StartDecode and the first Chunk. Prefill in place:
/// Submit and the first Chunk.
constexpr double kPrefillMessages = 2;
constexpr double kDecodeMessages = 4;
constexpr double kInPlaceMessages = 2;
/// Messages between the engines for a transfer: the import request and the first byte of the KV
/// cache.
constexpr double kTransferMessages = 2;

/// Maximum number of candidate lists. Failure domains with higher indexes share lists with others;
/// the chosen routes remain valid but may be slightly slower.
constexpr std::uint32_t kMaxDomains = 32;

/// Classes of candidate engines, the most preferred first. All engines are kAmpleMemory for
/// impatient requests.
enum CandidateClass : std::uint32_t { kAmpleMemory, kLowMemory, kMissesPace, kCandidateClassCount };

bool IsExcluded(const RouteRequest& request, std::uint32_t engine) {
  return std::find(request.excluded.begin(), request.excluded.end(), engine) !=
         request.excluded.end();
}

bool Serves(const RouteRequest& request, const EngineView& engine) {
  return engine.ready && engine.model == request.model;
}

double DistanceMs(const FleetView& fleet, std::uint32_t from, std::uint32_t to) {
  const std::size_t at = static_cast<std::size_t>(from) * fleet.domain_count + to;
  return to < fleet.domain_count && at < fleet.one_way_ms.size() ? fleet.one_way_ms[at] : 0;
}

/// Uniform in [0, 1).
double SeededUnit(std::uint64_t seed, std::uint32_t engine) {
  return static_cast<double>(XXH3_64bits_withSeed(&engine, sizeof(engine), seed) >> 11) * 0x1.0p-53;
}

double RateOr(double rate, double fallback) { return rate > 0 ? rate : fallback; }

/// Estimates times and checks limits of engines for one request and policy.
struct RouteEstimator {
  // Copies, so that the compiler does not reload them after each write to the candidate lists.
  RouteRequest request;
  RoutePolicy policy;
  std::int32_t pieces;
  std::int32_t prompt_pieces;

  RouteEstimator(const RouteRequest& request, const RoutePolicy& policy)
      : request(request),
        policy(policy),
        pieces(PiecesFor(request.prompt_tokens, request.expected_output_tokens)),
        prompt_pieces(PiecesFor(request.prompt_tokens, 0)) {}

  double UncachedTokens(std::int32_t cached_tokens) const {
    return std::max(0.0, request.prompt_tokens - policy.cache_confidence * cached_tokens);
  }

  /// Time to prefill the tokens that are queued ahead and the uncached tokens of the prompt.
  double PrefillMs(const EngineView& engine, std::int32_t cached_tokens) const {
    const double tokens =
        static_cast<double>(engine.queued_prefill_tokens) + UncachedTokens(cached_tokens);
    return tokens * kMsPerSecond /
           RateOr(engine.prefill_tokens_per_s, policy.default_prefill_tokens_per_s);
  }

  double LinkMs(const EngineView& engine, double bytes) const {
    return bytes <= 0 ? 0
                      : bytes * kMsPerSecond /
                            RateOr(engine.link_bytes_per_s, policy.default_link_bytes_per_s);
  }

  /// Part of the first-token time that depends on the prefill engine of a transfer.
  double PrefillSideMs(const EngineView& engine, double distance_ms,
                       std::int32_t cached_tokens) const {
    const double bytes = static_cast<double>(engine.link_queue_bytes) +
                         request.prompt_tokens * engine.kv_bytes_per_token;
    return kPrefillMessages * distance_ms + PrefillMs(engine, cached_tokens) +
           LinkMs(engine, bytes);
  }

  /// Wait for the requests that are queued ahead, plus the first decode step. The estimate assumes
  /// that a slot becomes free once per answer time divided by the number of slots.
  double FirstDecodeStepMs(const EngineView& engine) const {
    double wait_ms = engine.decode_token_ms;
    if (engine.queued > 0) {
      wait_ms += engine.queued * engine.decode_token_ms * request.expected_output_tokens /
                 std::max(1, engine.max_running);
    }
    return wait_ms;
  }

  double DecodeSideMs(const EngineView& engine, double distance_ms) const {
    return kDecodeMessages * distance_ms +
           LinkMs(engine, static_cast<double>(engine.link_queue_bytes)) + FirstDecodeStepMs(engine);
  }

  double InPlaceMs(const EngineView& engine, double distance_ms, std::int32_t cached_tokens) const {
    return kInPlaceMessages * distance_ms + PrefillMs(engine, cached_tokens) +
           FirstDecodeStepMs(engine);
  }

  double InterferenceMs(const EngineView& engine, std::int32_t cached_tokens) const {
    const double tokens = UncachedTokens(cached_tokens);
    if (engine.role != EngineRole::kDecode || tokens <= policy.in_place_prompt_tokens) {
      return 0;
    }
    return policy.in_place_interference * tokens * kMsPerSecond /
           RateOr(engine.prefill_tokens_per_s, policy.default_prefill_tokens_per_s);
  }

  double NearEqualMs(std::uint32_t engine) const {
    return policy.near_equal_ms * SeededUnit(request.seed, engine);
  }

  bool MeetsPace(const EngineView& engine) const {
    return request.pace_target_ms <= 0 || engine.decode_token_ms <= request.pace_target_ms;
  }

  bool CanDecode(const EngineView& engine) const {
    return engine.free_pieces >= pieces && !HasQuarantineConflict(engine) &&
           (engine.max_running <= 0 || engine.running + engine.queued < engine.max_running) &&
           (request.patient || MeetsPace(engine));
  }

  /// Only the total memory counts: a request waits in the engine's queue until enough memory is
  /// free.
  bool CanPrefill(const EngineView& engine) const {
    return engine.total_pieces >= prompt_pieces && !HasQuarantineConflict(engine);
  }

  bool HasQuarantineConflict(const EngineView& engine) const {
    return request.quarantined && engine.quarantined_running > 0;
  }

  bool LeavesLowMemory(const EngineView& engine, std::int32_t added) const {
    return request.patient &&
           engine.free_pieces - added < policy.low_memory_free_share * engine.total_pieces;
  }

  CandidateClass DecodeClass(const EngineView& engine) const {
    if (request.patient && !MeetsPace(engine)) {
      return kMissesPace;
    }
    return LeavesLowMemory(engine, pieces) ? kLowMemory : kAmpleMemory;
  }

  CandidateClass PrefillClass(const EngineView& engine) const {
    return LeavesLowMemory(engine, prompt_pieces) ? kLowMemory : kAmpleMemory;
  }
};

struct Candidate {
  std::uint32_t engine = 0;
  double score_ms = std::numeric_limits<double>::infinity();

  bool found() const { return score_ms < std::numeric_limits<double>::infinity(); }
};

/// The best engine of each failure domain and candidate class, collected in one pass over the
/// engines. One engine per list gives an exact answer: if the best prefill engine of a domain is
/// also its best decode engine, prefill in place there is better than any transfer between the two
/// lists.
class Candidates {
 public:
  Candidates(const RouteEstimator& estimator, const FleetView& fleet)
      : estimator_(estimator), fleet_(fleet) {
    domains_ = std::clamp(fleet.domain_count, 1U, kMaxDomains);
    for (std::uint32_t domain = 0; domain < domains_; ++domain) {
      entry_distance_ms_[domain] = DistanceMs(fleet, estimator.request.failure_domain, domain);
    }
  }

  void Collect() {
    const double uncached_tokens = estimator_.UncachedTokens(0);
    const auto count = static_cast<std::uint32_t>(fleet_.engines.size());
    for (std::uint32_t i = 0; i < count; ++i) {
      const EngineView& engine = fleet_.engines[i];
      if (Serves(estimator_.request, engine)) {
        ScanEngine(i, engine, uncached_tokens);
      }
    }
    for (const CachedPrefix& cached : estimator_.request.cached) {
      if (cached.engine < count && Serves(estimator_.request, fleet_.engines[cached.engine])) {
        const EngineView& engine = fleet_.engines[cached.engine];
        AddPrefillCandidate(cached.engine, engine, cached.tokens);
        AddDecodeCandidate(cached.engine, engine, cached.tokens);
      }
    }
  }

  RouteScore Best() const;

 private:
  void ScanEngine(std::uint32_t index, const EngineView& engine, double uncached_tokens);
  void AddPrefillCandidate(std::uint32_t index, const EngineView& engine,
                           std::int32_t cached_tokens);
  void AddDecodeCandidate(std::uint32_t index, const EngineView& engine,
                          std::int32_t cached_tokens);
  std::uint32_t CandidateListIndex(const EngineView& engine) const {
    return engine.failure_domain < domains_ ? engine.failure_domain
                                            : engine.failure_domain % domains_;
  }
  double EntryDistanceMs(const EngineView& engine) const {
    return engine.failure_domain < domains_
               ? entry_distance_ms_[engine.failure_domain]
               : DistanceMs(fleet_, estimator_.request.failure_domain, engine.failure_domain);
  }
  /// Whether an engine can never be part of the best route. A low-memory engine that is slower than
  /// an engine with ample memory in the same list is never chosen. An engine that misses the pace
  /// target is chosen only if no other engine has enough memory.
  bool IsDominated(const std::array<Candidate, kCandidateClassCount>& list,
                   std::uint32_t candidate_class, double score_ms) const {
    return (candidate_class == kLowMemory && score_ms >= list[kAmpleMemory].score_ms) ||
           (candidate_class == kMissesPace &&
            (in_place_[kAmpleMemory].found() || in_place_[kLowMemory].found()));
  }
  void ReplaceIfBetter(std::array<Candidate, kCandidateClassCount>& list,
                       std::uint32_t candidate_class, std::uint32_t index, double score_ms) const {
    Candidate& best = list[candidate_class];
    if (score_ms >= best.score_ms || IsDominated(list, candidate_class, score_ms)) {
      return;
    }
    const double total_ms = score_ms + estimator_.NearEqualMs(index);
    if (total_ms < best.score_ms && !IsExcluded(estimator_.request, index)) {
      best = {index, total_ms};
    }
  }
  void ConsiderTransfer(const Candidate& prefill, std::uint32_t prefill_class,
                        const Candidate& decode, std::uint32_t decode_class,
                        RouteScore& best) const;
  void CombineWithDecodeCandidates(const Candidate& prefill, std::uint32_t prefill_class,
                                   RouteScore& best) const;
  std::int32_t LowMemoryPieces(std::uint32_t prefill_class, std::uint32_t decode_class) const {
    return (prefill_class == kLowMemory ? estimator_.prompt_pieces : 0) +
           (decode_class == kLowMemory ? estimator_.pieces : 0);
  }

  const RouteEstimator estimator_;
  const FleetView fleet_;
  std::uint32_t domains_ = 1;
  std::array<double, kMaxDomains> entry_distance_ms_;
  std::array<std::array<Candidate, kCandidateClassCount>, kMaxDomains> prefill_;
  std::array<std::array<Candidate, kCandidateClassCount>, kMaxDomains> decode_;
  std::array<Candidate, kCandidateClassCount> in_place_;
};

/// Adds an engine to the candidates. Most engines are first rejected by a lower bound of their
/// score, which is computed without a division and before checks whose branches are hard to
/// predict.
void Candidates::ScanEngine(std::uint32_t index, const EngineView& engine, double uncached_tokens) {
  const std::uint32_t list = CandidateListIndex(engine);
  const double entry_distance_ms = EntryDistanceMs(engine);
  const double rate =
      RateOr(engine.prefill_tokens_per_s, estimator_.policy.default_prefill_tokens_per_s);
  const double link_rate =
      RateOr(engine.link_bytes_per_s, estimator_.policy.default_link_bytes_per_s);
  const double tokens =
      kMsPerSecond * (static_cast<double>(engine.queued_prefill_tokens) + uncached_tokens);
  const double queued_bytes = kMsPerSecond * static_cast<double>(engine.link_queue_bytes);
  if (engine.role != EngineRole::kDecode) {
    const double limit_ms =
        prefill_[list][kAmpleMemory].score_ms - kPrefillMessages * entry_distance_ms;
    const double bytes =
        queued_bytes + kMsPerSecond * estimator_.request.prompt_tokens * engine.kv_bytes_per_token;
    if (tokens * link_rate + bytes * rate <= limit_ms * rate * link_rate) {
      AddPrefillCandidate(index, engine, 0);
    }
  }
  if (engine.role != EngineRole::kPrefill) {
    const double decode_limit_ms = decode_[list][kAmpleMemory].score_ms -
                                   kDecodeMessages * entry_distance_ms - engine.decode_token_ms;
    const double in_place_limit_ms = in_place_[kAmpleMemory].score_ms -
                                     kInPlaceMessages * entry_distance_ms - engine.decode_token_ms;
    if (queued_bytes <= decode_limit_ms * link_rate || tokens <= in_place_limit_ms * rate) {
      AddDecodeCandidate(index, engine, 0);
    }
  }
}

void Candidates::AddPrefillCandidate(std::uint32_t index, const EngineView& engine,
                                     std::int32_t cached_tokens) {
  if (engine.role != EngineRole::kDecode && estimator_.CanPrefill(engine)) {
    ReplaceIfBetter(prefill_[CandidateListIndex(engine)], estimator_.PrefillClass(engine), index,
                    estimator_.PrefillSideMs(engine, EntryDistanceMs(engine), cached_tokens));
  }
}

void Candidates::AddDecodeCandidate(std::uint32_t index, const EngineView& engine,
                                    std::int32_t cached_tokens) {
  if (engine.role == EngineRole::kPrefill || !estimator_.CanDecode(engine)) {
    return;
  }
  const CandidateClass candidate_class = estimator_.DecodeClass(engine);
  const double entry_distance_ms = EntryDistanceMs(engine);
  ReplaceIfBetter(decode_[CandidateListIndex(engine)], candidate_class, index,
                  estimator_.DecodeSideMs(engine, entry_distance_ms));
  ReplaceIfBetter(in_place_, candidate_class, index,
                  estimator_.InPlaceMs(engine, entry_distance_ms, cached_tokens) +
                      estimator_.InterferenceMs(engine, cached_tokens));
}

void Candidates::ConsiderTransfer(const Candidate& prefill, std::uint32_t prefill_class,
                                  const Candidate& decode, std::uint32_t decode_class,
                                  RouteScore& best) const {
  RouteScore score;
  score.feasible = true;
  score.route.prefill_engine = prefill.engine;
  score.route.decode_engine = decode.engine;
  score.misses_pace = decode_class == kMissesPace;
  score.low_memory_pieces = LowMemoryPieces(prefill_class, decode_class);
  score.score_ms =
      prefill.score_ms + decode.score_ms +
      kTransferMessages * DistanceMs(fleet_, fleet_.engines[prefill.engine].failure_domain,
                                     fleet_.engines[decode.engine].failure_domain);
  if (!best.feasible || IsBetterRoute(estimator_.request, score, best)) {
    best = score;
  }
}

RouteScore Candidates::Best() const {
  RouteScore best;
  for (std::uint32_t candidate_class = 0; candidate_class < kCandidateClassCount;
       ++candidate_class) {
    if (!in_place_[candidate_class].found()) {
      continue;
    }
    RouteScore score;
    score.feasible = true;
    score.route.in_place = true;
    score.route.prefill_engine = score.route.decode_engine = in_place_[candidate_class].engine;
    score.misses_pace = candidate_class == kMissesPace;
    score.low_memory_pieces = LowMemoryPieces(kAmpleMemory, candidate_class);
    score.score_ms = in_place_[candidate_class].score_ms;
    if (!best.feasible || IsBetterRoute(estimator_.request, score, best)) {
      best = score;
    }
  }
  for (std::uint32_t at = 0; at < domains_ * kCandidateClassCount; ++at) {
    const std::uint32_t candidate_class = at % kCandidateClassCount;
    const Candidate& prefill = prefill_[at / kCandidateClassCount][candidate_class];
    if (prefill.found()) {
      CombineWithDecodeCandidates(prefill, candidate_class, best);
    }
  }
  return best;
}

void Candidates::CombineWithDecodeCandidates(const Candidate& prefill, std::uint32_t prefill_class,
                                             RouteScore& best) const {
  for (std::uint32_t domain = 0; domain < domains_; ++domain) {
    for (std::uint32_t candidate_class = 0; candidate_class < kCandidateClassCount;
         ++candidate_class) {
      const Candidate& decode = decode_[domain][candidate_class];
      if (decode.found() && decode.engine != prefill.engine) {
        ConsiderTransfer(prefill, prefill_class, decode, candidate_class, best);
      }
    }
  }
}

std::int32_t CachedTokens(const RouteRequest& request, std::uint32_t engine) {
  std::int32_t tokens = 0;
  for (const CachedPrefix& cached : request.cached) {
    if (cached.engine == engine) {
      tokens = std::max(tokens, cached.tokens);
    }
  }
  return tokens;
}

/// Fills in the estimates of a route whose engines have been chosen.
void Estimate(const RouteEstimator& estimator, const FleetView& fleet, Route& route) {
  const EngineView& prefill = fleet.engines[route.prefill_engine];
  const EngineView& decode = fleet.engines[route.decode_engine];
  const std::int32_t cached_tokens = CachedTokens(estimator.request, route.prefill_engine);
  const double to_prefill_ms =
      DistanceMs(fleet, estimator.request.failure_domain, prefill.failure_domain);
  const double to_decode_ms =
      DistanceMs(fleet, estimator.request.failure_domain, decode.failure_domain);
  route.pieces = estimator.pieces;
  route.token_ms = decode.decode_token_ms;
  route.prefill_ms = estimator.PrefillMs(prefill, cached_tokens);
  if (route.in_place) {
    route.first_token_ms = estimator.InPlaceMs(decode, to_decode_ms, cached_tokens);
    route.hold_ms = route.prefill_ms + estimator.policy.hold_margin_ms;
    return;
  }
  route.first_token_ms =
      estimator.PrefillSideMs(prefill, to_prefill_ms, cached_tokens) +
      estimator.DecodeSideMs(decode, to_decode_ms) +
      kTransferMessages * DistanceMs(fleet, prefill.failure_domain, decode.failure_domain);
  // The hold starts when the decode agent grants the memory and ends when StartDecode arrives
  // there.
  route.hold_ms = 2 * to_decode_ms + kPrefillMessages * to_prefill_ms + route.prefill_ms +
                  estimator.policy.hold_margin_ms;
}

bool IsNaiveCandidate(const RouteRequest& request, const EngineView& engine) {
  return engine.ready && engine.model == request.model && !IsExcluded(request, engine.index);
}

const EngineView* LeastLoaded(const RouteRequest& request, const FleetView& fleet,
                              EngineRole skipped_role) {
  const EngineView* best = nullptr;
  for (const EngineView& engine : fleet.engines) {
    if (!IsNaiveCandidate(request, engine) || engine.role == skipped_role) {
      continue;
    }
    if (best == nullptr || engine.running + engine.queued < best->running + best->queued) {
      best = &engine;
    }
  }
  return best;
}

Error NoDecodeEngineError() {
  return Error{ErrorKind::kUnavailable, "no decode engine is ready for the model",
               "retry later; check 'upstream list'"};
}

/// Determines why no route is feasible. Not inlined: it runs for refusals only, and GCC 12 issues a
/// false warning about the inlined string copies.
[[gnu::noinline]] Error NoRouteError(const RouteEstimator& estimator, const FleetView& fleet) {
  bool any_decode = false;
  bool any_large_enough = false;
  for (std::uint32_t i = 0; i < fleet.engines.size(); ++i) {
    const EngineView& engine = fleet.engines[i];
    if (Serves(estimator.request, engine) && engine.role != EngineRole::kPrefill) {
      any_decode = any_decode || !IsExcluded(estimator.request, i);
      any_large_enough = any_large_enough || engine.total_pieces >= estimator.pieces;
    }
  }
  if (!any_decode) {
    return NoDecodeEngineError();
  }
  if (!any_large_enough) {
    return Error{ErrorKind::kInvalidArgument,
                 "the request exceeds the memory of every engine of the model",
                 "send a shorter prompt or reduce the maximum output"};
  }
  return Error{ErrorKind::kOverloaded, "no engine of the model has free capacity for the request",
               "retry later; check 'upstream list'"};
}

}  // namespace

std::int32_t PiecesFor(std::int32_t prompt_tokens, std::int32_t output_tokens) {
  return (prompt_tokens + output_tokens + kPieceTokens - 1) / kPieceTokens;
}

RouteScore ScoreRoute(const RouteRequest& request, const FleetView& fleet,
                      const RoutePolicy& policy, std::uint32_t prefill, std::uint32_t decode) {
  const RouteEstimator estimator(request, policy);
  const EngineView& prefill_view = fleet.engines[prefill];
  const EngineView& decode_view = fleet.engines[decode];
  RouteScore score;
  score.route.prefill_engine = prefill;
  score.route.decode_engine = decode;
  score.route.in_place = prefill == decode;
  Estimate(estimator, fleet, score.route);
  score.feasible = Serves(request, decode_view) && decode_view.role != EngineRole::kPrefill &&
                   estimator.CanDecode(decode_view) && !IsExcluded(request, decode);
  score.misses_pace = estimator.DecodeClass(decode_view) == kMissesPace;
  score.low_memory_pieces = estimator.DecodeClass(decode_view) == kLowMemory ? estimator.pieces : 0;
  score.score_ms = score.route.first_token_ms + estimator.NearEqualMs(decode);
  if (score.route.in_place) {
    score.score_ms += estimator.InterferenceMs(decode_view, CachedTokens(request, decode));
    return score;
  }
  score.feasible = score.feasible && Serves(request, prefill_view) &&
                   prefill_view.role != EngineRole::kDecode && estimator.CanPrefill(prefill_view) &&
                   !IsExcluded(request, prefill);
  score.low_memory_pieces +=
      estimator.PrefillClass(prefill_view) == kLowMemory ? estimator.prompt_pieces : 0;
  score.score_ms += estimator.NearEqualMs(prefill);
  return score;
}

bool IsBetterRoute(const RouteRequest& request, const RouteScore& a, const RouteScore& b) {
  if (a.misses_pace != b.misses_pace) {
    return b.misses_pace;
  }
  if (request.patient) {
    const bool a_meets = a.score_ms <= request.first_output_target_ms;
    const bool b_meets = b.score_ms <= request.first_output_target_ms;
    if (a_meets != b_meets) {
      return a_meets;
    }
    if (a_meets && a.low_memory_pieces != b.low_memory_pieces) {
      return a.low_memory_pieces < b.low_memory_pieces;
    }
  }
  return a.score_ms < b.score_ms;
}

Result<Route> ChooseRoute(const RouteRequest& request, const FleetView& fleet,
                          const RoutePolicy& policy) {
  const RouteEstimator estimator(request, policy);
  Candidates candidates(estimator, fleet);
  candidates.Collect();
  RouteScore best = candidates.Best();
  if (best.feasible) {
    Estimate(estimator, fleet, best.route);
    return best.route;
  }
  return NoRouteError(estimator, fleet);
}

Result<Route> ChooseRouteNaive(const RouteRequest& request, const FleetView& fleet,
                               const RoutePolicy& policy) {
  const EngineView* decode = LeastLoaded(request, fleet, EngineRole::kPrefill);
  if (decode == nullptr) {
    return NoDecodeEngineError();
  }
  const EngineView* prefill = LeastLoaded(request, fleet, EngineRole::kDecode);
  Route route;
  route.decode_engine = decode->index;
  route.prefill_engine = prefill == nullptr ? decode->index : prefill->index;
  route.in_place = route.prefill_engine == route.decode_engine;
  route.pieces = PiecesFor(request.prompt_tokens, request.expected_output_tokens);
  route.hold_ms = policy.hold_margin_ms;
  return route;
}

}  // namespace rattanramp::core
