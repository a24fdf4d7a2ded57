// One request with the routing rules in force at its arrival, and the upstreams it was sent to.
#pragma once

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/crash_causes.h"
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
  /// Owns `route` and `service`.
  std::shared_ptr<const core::RoutingTable> table;
  const core::RouteRule* route = nullptr;
  const core::ServiceRule* service = nullptr;
  /// Whose the request is; owned by `table`. Null: the request needs no key.
  const core::WorkspaceRule* workspace = nullptr;
  /// A secret, never logged nor passed on.
  std::string caller_key;
  TimePoint arrived;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint deadline;
  /// Latest time at which the answer (of a stream: the first event) is on time.
  TimePoint target;
  /// The caller has probably sent the request before.
  bool is_sent_again = false;
  /// Hash of the request id; breaks ties in placement differently for each request.
  std::uint64_t seed = 0;
  /// Keys of the upstreams that were tried; cleared when all of them may be tried again.
  std::vector<std::int64_t> tried;
  /// Ids of all upstreams to which the request was sent, for the log.
  std::vector<std::string> tried_ids;
  /// Start of the first attempt; empty while the request is queued.
  std::optional<TimePoint> started;
  core::RequestCauses causes;
  /// The request is sent although something that it has in common with others is blocked.
  bool is_trial = false;
  /// Units of the workspace's limit that the request has taken.
  std::int64_t limit_units = 0;

  /// Requests of priority 0 start first.
  std::int64_t priority() const {
    return workspace == nullptr ? route->priority : workspace->priority.value_or(route->priority);
  }
  std::string_view workspace_name() const {
    return workspace == nullptr ? std::string_view() : workspace->name;
  }
};

/// Time left until the deadline in whole ms, at least 1.
std::int64_t RemainingMs(const RequestContext& request, TimePoint now);

/// Usual duration of a request like this one, from its first attempt to its end.
Duration ExpectedDuration(const RequestContext& request, GatewayState& state);

/// Time from its start within which a request like this one is planned to be answered.
Duration PlannedServiceTime(const RequestContext& request, GatewayState& state);

/// Sets is_sent_again. Estimated from the stated deadline, of which earlier attempts have used a
/// part. Called once for each request.
void MarkSentAgain(RequestContext& request, GatewayState& state);

/// Retry-After of a request that is refused because its service has no room.
std::int64_t RetryAfterBurstMs(const RequestContext& request, GatewayState& state);

/// Sets `started` at the first attempt, and counts requests that start too late to be on time.
void RecordFirstStart(RequestContext& request, GatewayState& state);

/// Counts a request whose answer is complete, if it was on time. answered: when the answer was
/// complete; of a stream: when its first event came.
void CountIfOnTime(const RequestContext& request, GatewayState& state, TimePoint answered);

/// Records the size and duration of a generation that has ended. held: how long it has occupied its
/// engine.
void RecordGeneration(const RequestContext& request, GatewayState& state,
                      std::int64_t generated_tokens, Duration held);

/// Counts a refusal. cause: for the label of the metric.
void CountRefusal(const RequestContext& request, GatewayState& state, std::string_view cause);

/// Latest start at which the request is still on time. One that its caller has sent again is late:
/// its target counts from the first time.
TimePoint LatestStart(const RequestContext& request, GatewayState& state);

/// Answers 503 to a request that has not run and will not be run. Logs `reason`.
void AnswerNotRun(RequestContext& request, GatewayState& state, CallerSink& sink,
                  std::string_view reason, std::optional<std::int64_t> retry_after_ms);

/// Answers a request that may have run. status: 504 if the deadline has passed, 502 otherwise.
void AnswerOutcomeUnknown(RequestContext& request, GatewayState& state, CallerSink& sink,
                          int status, std::string_view reason);

/// How the end of a stream whose first upstream has answered with `head` is shown to the caller.
StreamEnd StreamEndOf(const http::ResponseHead& head);

/// Passes on an upstream's answer that has ended without an error. It gets a length only if the
/// upstream has stated its end.
void ForwardWholeAnswer(CallerSink& sink, const http::ResponseHead& head, std::string body);

/// Writes the log line and updates the metrics of a request that has ended.
void LogRequestEnd(const RequestContext& request, GatewayState& state, int status,
                   std::string_view outcome, std::string_view reason);

/// Writes a log line for an intermediate step of a request.
void LogRequestStep(const RequestContext& request, std::string_view event, const Upstream& upstream,
                    std::string_view detail);

}  // namespace rattanramp::gateway
