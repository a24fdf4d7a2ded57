// One request with the rules that held when it arrived, and the record of what was done with it.
#pragma once

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/request_facts.h"
#include "core/routing_table.h"
#include "gateway/caller_sink.h"
#include "gateway/gateway_state.h"
#include "platform/request_format.h"

namespace rattanramp::gateway {

struct RequestContext {
  http::RequestHead head;
  std::shared_ptr<const std::string> body;
  core::RequestFacts facts;
  /// Keeps `route` and `service` alive.
  std::shared_ptr<const core::RoutingTable> table;
  const core::RouteRule* route = nullptr;
  const core::ServiceRule* service = nullptr;
  TimePoint arrived;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint deadline;
  /// Latest time of an answer (or first event) that counts as on time.
  TimePoint target;
  /// Tie-breaking that differs between requests.
  std::uint64_t seed = 0;
  /// Upstreams that got the request, by key.
  std::vector<std::int64_t> tried;
  /// The same by id, for the log.
  std::vector<std::string> tried_ids;
  /// When the first attempt started; empty while it waits.
  std::optional<TimePoint> started;
};

/// Time left until the deadline in whole ms, at least 1.
std::int64_t RemainingMs(const RequestContext& request, TimePoint now);

/// Answers a request that did not run and never will. Logs `reason`.
void AnswerNotRun(RequestContext& request, GatewayState& state, CallerSink& sink,
                  std::string_view reason, std::optional<std::int64_t> retry_after_ms);

/// Answers a request that may have run: 504 when it was too late, 502 otherwise.
void AnswerOutcomeUnknown(RequestContext& request, GatewayState& state, CallerSink& sink,
                          int status, std::string_view reason);

/// One log line and the counters of a request that has ended.
void LogRequestEnd(const RequestContext& request, GatewayState& state, int status,
                   std::string_view outcome, std::string_view reason);

/// One log line for a step in between.
void LogRequestStep(const RequestContext& request, std::string_view event, const Upstream& upstream,
                    std::string_view detail);

}  // namespace rattanramp::gateway
