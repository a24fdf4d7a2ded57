// Maps each request to a service and to the rules that apply to it. A table is built from one
// version of the operator's configuration and is immutable.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "core/caller_keys.h"

namespace rattanramp::core {

enum class RequestKind {
  /// May run more than once.
  kRepeatable,
  /// May run at most once.
  kOnce,
  /// A stream of events; may run again only where it can be resumed.
  kStream,
};

struct ServiceShare {
  std::string service;
  std::int64_t weight = 0;
};

struct RouteRule {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kOnce;
  std::int64_t timeout_ms = 0;
  /// Target for the time until the complete answer, or until the first event of a stream.
  std::int64_t target_latency_ms = 0;
  /// Longest time between two events of a stream that still meets the target.
  std::int64_t target_gap_ms = 0;
  /// Requests of priority 0 start first.
  std::int64_t priority = 0;
  std::int64_t max_upstreams = 1;
  bool is_resumable = false;
  /// Takes requests without a key, also while there are workspaces.
  bool is_public = false;
  std::vector<ServiceShare> services;
};

/// A group of callers with keys and a limit of its own.
struct WorkspaceRule {
  std::string name;
  /// Each request carries one of them; a secret, never logged nor passed on.
  std::vector<std::string> keys;
  /// Replaces the priority of the route.
  std::optional<std::int64_t> priority;
  /// Units per second, and units beyond them at once, over all gateways together; 0: no limit.
  double rate_per_s = 0;
  double burst = 0;
  /// The unit is a token (prompt and largest output), not a request.
  bool counts_tokens = false;
  /// Tokens that a request without a token count takes.
  std::int64_t plain_tokens = 1;
};

/// Capacity and timing of the engines of a service; absent for plain services.
struct EngineLimits {
  std::int64_t slots = 0;
  std::int64_t memory_tokens = 0;
  /// Output tokens per event.
  std::int64_t tokens_per_event = 1;
  /// How long a prefilled KV cache is kept, in ms.
  std::int64_t prefill_hold_ms = 0;
  /// Time for which an engine is unavailable while it changes its stage, after it has finished its
  /// requests, in ms; 0 if it cannot change its stage.
  std::int64_t stage_change_ms = 0;
};

struct ServiceRule {
  std::string name;
  std::string health_path;
  /// Connections that one upstream accepts from all callers.
  std::int64_t max_connections = 0;
  std::optional<EngineLimits> engine;

  /// Returns the limits of the engines, or defaults for a plain service that answers with a stream.
  EngineLimits engine_limits() const { return engine.value_or(EngineLimits()); }
};

/// Limits for the requests and connections of callers, in bytes and ms.
struct CallerLimits {
  std::int64_t max_head_bytes = 16 * 1024;
  std::int64_t max_body_bytes = 4 * 1024 * 1024;
  std::int64_t head_timeout_ms = 3'000;
  std::int64_t idle_timeout_ms = 15'000;
};

struct RoutingRules {
  std::int64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  /// Empty: callers need no keys.
  std::vector<WorkspaceRule> workspaces;
  CallerLimits limits;
};

class RoutingTable {
 public:
  RoutingTable() = default;
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;

  /// Errors: kInvalidArgument, with the name of the route and the invalid field.
  static Result<std::shared_ptr<const RoutingTable>> Create(RoutingRules rules);

  /// Returns the route of the host with the longest prefix that matches the path; null when none
  /// matches.
  const RouteRule* Match(std::string_view host, std::string_view path) const;
  const ServiceRule* FindService(std::string_view name) const;

  std::int64_t version() const { return rules_.version; }
  const CallerLimits& limits() const { return rules_.limits; }
  std::span<const RouteRule> routes() const { return rules_.routes; }
  std::span<const ServiceRule> services() const { return rules_.services; }
  std::span<const WorkspaceRule> workspaces() const { return rules_.workspaces; }
  const CallerKeys& keys() const { return keys_; }

 private:
  RoutingRules rules_;
  /// By lower-case host, longest prefix first; indexes into rules_.routes.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
  std::map<std::string, std::size_t, std::less<>> services_;
  /// Refers to rules_.workspaces.
  CallerKeys keys_;
};

/// Selects the service of a request by weight. The same hash selects the same service.
const std::string& ServiceFor(const RouteRule& route, std::uint64_t request_hash);

/// Returns whether a request that may have run already may be sent again.
bool MayRunAgain(const RouteRule& route);

}  // namespace rattanramp::core
