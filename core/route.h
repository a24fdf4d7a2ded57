// Choice of the engines that serve one generation request. Pure functions over plain structs.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "base/result.h"

namespace rattanramp::core {

/// Tokens in one piece of engine memory and in one block of prefix hashing.
inline constexpr std::int32_t kPieceTokens = 2'048;

enum class EngineRole { kPrefill, kDecode, kBoth };

/// What an entry knows about one engine: the last report of its agent plus what the entry has sent
/// since. Always somewhat stale.
struct EngineView {
  /// Index into FleetView::engines.
  std::uint32_t index = 0;
  /// Indexes of the failure domain and the model, assigned by the entry.
  std::uint32_t failure_domain = 0;
  std::uint32_t model = 0;
  EngineRole role = EngineRole::kBoth;
  /// Linked, ready and not leaving.
  bool ready = false;
  /// Memory in pieces of kPieceTokens.
  std::int32_t total_pieces = 0;
  std::int32_t free_pieces = 0;
  std::int32_t max_running = 0;
  std::int32_t running = 0;
  std::int32_t queued = 0;
  std::int64_t queued_prefill_tokens = 0;
  double prefill_tokens_per_s = 0;
  /// Time between output tokens at the present batch size.
  double decode_token_ms = 0;
  std::int64_t link_queue_bytes = 0;
  double link_bytes_per_s = 0;
  double kv_bytes_per_token = 0;
  /// Requests under suspicion of crashing engines that run there.
  std::int32_t quarantined_running = 0;
};

/// Tokens of the request's prompt that an engine is believed to have cached.
struct CachedPrefix {
  std::uint32_t engine = 0;
  std::int32_t tokens = 0;
};

struct FleetView {
  std::span<const EngineView> engines;
  /// One-way latency in ms, row-major by failure domain index, domain_count x domain_count.
  std::span<const double> one_way_ms;
  std::uint32_t domain_count = 0;
};

struct RouteRequest {
  std::uint32_t model = 0;
  /// Failure domain of the entry.
  std::uint32_t failure_domain = 0;
  std::int32_t prompt_tokens = 0;
  std::int32_t expected_output_tokens = 0;
  std::int32_t max_output_tokens = 0;
  double first_output_target_ms = 0;
  double pace_target_ms = 0;
  bool patient = false;
  /// Under suspicion of crashing engines: must not share an engine with another such request.
  bool quarantined = false;
  std::span<const CachedPrefix> cached;
  /// Engines that refused or failed this request.
  std::span<const std::uint32_t> excluded;
  /// Breaks ties between engines with near-equal estimates. Entries pass the request's hash, so
  /// that entries with the same stale view spread their requests.
  std::uint64_t seed = 0;
};

struct RoutePolicy {
  std::int32_t in_place_prompt_tokens = 2'048;
  double hold_margin_ms = 500;
  /// Range of the seeded random term that is added to the score of each engine. A chosen route has
  /// a score at most twice this above the best.
  double near_equal_ms = 5;
  /// Share of the cached tokens that counts as saved, because prefix hints are late.
  double cache_confidence = 0.9;
  /// An engine whose free share of memory would fall below this counts as crowded. Patient requests
  /// avoid crowded engines while their target is met.
  double low_memory_free_share = 0.2;
  /// Prefill in place delays the streams of an engine in the decode role. Its time counts once more
  /// with this weight when more than in_place_prompt_tokens are uncached.
  double in_place_interference = 1.0;
  /// Stand in for rates that an engine has not reported yet.
  double default_prefill_tokens_per_s = 10'000;
  double default_link_bytes_per_s = 1e9;
};

/// Either prefill in place (prefill_engine == decode_engine) or on a separate engine.
struct Route {
  std::uint32_t prefill_engine = 0;
  std::uint32_t decode_engine = 0;
  bool in_place = false;
  double first_token_ms = 0;
  double token_ms = 0;
  /// Expected time until the prefill is done.
  double prefill_ms = 0;
  /// How long the decode engine is asked to hold memory.
  double hold_ms = 0;
  std::int32_t pieces = 0;
};

/// What ChooseRoute weighs for one pair of engines; prefill == decode means prefill in place.
struct RouteScore {
  /// Ready, serves the model, has room, meets the pace target, not excluded, no second quarantined
  /// request.
  bool feasible = false;
  /// The first-token time plus the interference and near-equal terms of RoutePolicy. Routes with a
  /// score above the target of a patient request count as missing it.
  double score_ms = 0;
  /// Pieces placed on crowded engines. Counted for patient requests only.
  std::int32_t low_memory_pieces = 0;
  /// The decode engine misses the pace target. Feasible for patient requests only, as last resort.
  bool misses_pace = false;
  Route route;
};

/// Scores one pair of engines given by their indexes.
RouteScore ScoreRoute(const RouteRequest& request, const FleetView& fleet,
                      const RoutePolicy& policy, std::uint32_t prefill, std::uint32_t decode);

/// Order of preference of two feasible routes. Patient requests: routes within the target with the
/// fewest crowded pieces, then by score. Others: by score.
bool IsBetterRoute(const RouteRequest& request, const RouteScore& a, const RouteScore& b);

/// Pieces of memory for a prompt and its expected output.
std::int32_t PiecesFor(std::int32_t prompt_tokens, std::int32_t output_tokens);

/// The route that IsBetterRoute prefers to all others. One pass over the engines, no allocation.
/// A cached prefix shortens the estimate of its engine and nothing else, so among equally crowded
/// routes it never draws a request to one that is slower than the best one without the cache.
/// Errors: kUnavailable (no ready engine serves the model), kOverloaded (no engine has room now),
/// kInvalidArgument (no engine of the model could hold the request even when idle).
Result<Route> ChooseRoute(const RouteRequest& request, const FleetView& fleet,
                          const RoutePolicy& policy);

/// Baseline for comparisons: the engines with the fewest running and queued requests; no estimate,
/// no room check. Same errors but kOverloaded.
Result<Route> ChooseRouteNaive(const RouteRequest& request, const FleetView& fleet,
                               const RoutePolicy& policy);

}  // namespace rattanramp::core
