// Selects the engines that serve one generation request. Pure functions over plain structs.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "base/result.h"

namespace rattanramp::core {

/// Tokens in one piece of engine memory and in one block of prefix hashing.
inline constexpr std::int32_t kPieceTokens = 2'048;

enum class EngineRole { kPrefill, kDecode, kBoth };

/// An entry's view of one engine: the last report of the engine's agent plus the requests that the
/// entry has sent since. The view lags behind the real state.
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
  /// Time between output tokens at the current batch size.
  double decode_token_ms = 0;
  std::int64_t link_queue_bytes = 0;
  double link_bytes_per_s = 0;
  double kv_bytes_per_token = 0;
  /// Number of running requests that are suspected of crashing engines.
  std::int32_t quarantined_running = 0;
};

/// Estimated number of tokens of the request's prompt that an engine has cached.
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
  /// Suspected of crashing engines: must not run on an engine together with another such request.
  bool quarantined = false;
  std::span<const CachedPrefix> cached;
  /// Engines that refused this request or failed while serving it.
  std::span<const std::uint32_t> excluded;
  /// Seed for the choice between engines with near-equal estimates. Entries pass the request's
  /// hash, so that entries with the same outdated view distribute their requests over these
  /// engines.
  std::uint64_t seed = 0;
};

struct RoutePolicy {
  std::int32_t in_place_prompt_tokens = 2'048;
  double hold_margin_ms = 500;
  /// Range of the seeded random term that is added to the score of each engine. A chosen route has
  /// a score at most twice this above the best.
  double near_equal_ms = 5;
  /// Fraction of the cached tokens that the estimate counts as saved. It is below 1 because the
  /// prefix index lags behind the engines' caches.
  double cache_confidence = 0.9;
  /// An engine whose free fraction of memory would fall below this is a low-memory engine. Patient
  /// requests avoid low-memory engines as long as their first-output target is met.
  double low_memory_free_share = 0.2;
  /// Weight of the delay that prefill in place causes for the running streams of an engine in the
  /// decode role. When more than in_place_prompt_tokens are uncached, the prefill time multiplied
  /// by this weight is added to the score.
  double in_place_interference = 1.0;
  /// Used in place of rates that an engine has not reported yet.
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
  /// Time for which the decode engine is requested to hold memory.
  double hold_ms = 0;
  std::int32_t pieces = 0;
};

/// Score of one pair of engines, by which ChooseRoute compares them; prefill == decode means
/// prefill in place.
struct RouteScore {
  /// Each engine is ready, serves the model, has enough memory, is not excluded and would not run a
  /// second quarantined request. The decode engine meets the pace target, except as described at
  /// misses_pace.
  bool feasible = false;
  /// The first-token time plus the interference and near-equal terms of RoutePolicy. Routes with a
  /// score above the target of a patient request count as missing it.
  double score_ms = 0;
  /// Pieces placed on low-memory engines. Counted for patient requests only.
  std::int32_t low_memory_pieces = 0;
  /// The decode engine misses the pace target. Such a route is feasible for patient requests only,
  /// and is chosen only if no other route is feasible.
  bool misses_pace = false;
  Route route;
};

/// Scores one pair of engines given by their indexes.
RouteScore ScoreRoute(const RouteRequest& request, const FleetView& fleet,
                      const RoutePolicy& policy, std::uint32_t prefill, std::uint32_t decode);

/// Whether feasible route a is preferred to feasible route b. Routes that meet the pace target are
/// preferred. For patient requests, routes within the first-output target come next, ordered by the
/// fewest low-memory pieces and then by score. All other routes are ordered by score.
bool IsBetterRoute(const RouteRequest& request, const RouteScore& a, const RouteScore& b);

/// Number of memory pieces for a prompt and its expected output.
std::int32_t PiecesFor(std::int32_t prompt_tokens, std::int32_t output_tokens);

/// Returns the route that IsBetterRoute prefers to all others, in one pass over the engines and
/// without allocation. A cached prefix only shortens the estimate of its engine. Among routes with
/// equally many low-memory pieces, it therefore never selects a route that is slower than the best
/// route without the cache. Errors: kUnavailable (no ready engine serves the model), kOverloaded
/// (no engine has free capacity now), kInvalidArgument (the request exceeds the memory of every
/// engine of the model, even of an idle one).
Result<Route> ChooseRoute(const RouteRequest& request, const FleetView& fleet,
                          const RoutePolicy& policy);

/// Baseline for comparisons: chooses the engines with the fewest running and queued requests,
/// without estimates and without checking free memory. The only error is kUnavailable.
Result<Route> ChooseRouteNaive(const RouteRequest& request, const FleetView& fleet,
                               const RoutePolicy& policy);

}  // namespace rattanramp::core
