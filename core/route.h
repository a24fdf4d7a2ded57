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
  std::int32_t suspects_running = 0;
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
  /// Under suspicion of crashing engines: must not share an engine with another suspect.
  bool suspect = false;
  std::span<const CachedPrefix> cached;
  /// Engines that refused or failed this request.
  std::span<const std::uint32_t> excluded;
};

struct RoutePolicy {
  std::int32_t in_place_prompt_tokens = 512;
  double hold_margin_ms = 500;
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

/// Pieces of memory for a prompt and its expected output.
std::int32_t PiecesFor(std::int32_t prompt_tokens, std::int32_t output_tokens);

/// Errors: kUnavailable (no ready engine serves the model), kOverloaded (no engine has room).
Result<Route> ChooseRoute(const RouteRequest& request, const FleetView& fleet,
                          const RoutePolicy& policy);

/// Baseline for comparisons: the engines with the fewest running and queued requests; no estimate,
/// no room check. Same errors but kOverloaded.
Result<Route> ChooseRouteNaive(const RouteRequest& request, const FleetView& fleet,
                               const RoutePolicy& policy);

}  // namespace rattanramp::core
