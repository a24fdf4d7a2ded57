#include "gateway/request_context.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "base/log.h"
#include "core/placement.h"
#include "gateway/workspace_limiter.h"

namespace rattanramp::gateway {
std::int64_t RemainingMs(const RequestContext& request, TimePoint now) {
  const std::int64_t left =
      std::chrono::duration_cast<Milliseconds>(request.deadline - now).count();
  return std::max<std::int64_t>(1, left);
}

Duration ExpectedDuration(const RequestContext& request, GatewayState& state) {
  if (request.route->kind != core::RequestKind::kStream) {
    return Milliseconds(request.route->target_latency_ms);
  }
  const core::RequestFacts& facts = request.facts;
  return core::ExpectedHoldTime(
      ProfileOf(state, request.service->name),
      core::ExpectedOutputTokens({facts.prompt_tokens, facts.max_output_tokens,
                                  facts.expected_output_tokens, /*generated=*/0}));
}

Duration PlannedServiceTime(const RequestContext& request, GatewayState& state) {
  return core::PlannedServiceTime(state.service_times[request.service->name],
                                  Milliseconds(request.route->target_latency_ms),
                                  state.clock.now());
}

void MarkSentAgain(RequestContext& request, GatewayState& state) {
  if (!request.facts.deadline_ms) {
    return;
  }
  // A single caller that states a very long time must not make the others look impatient.
  const double stated_ms = static_cast<double>(
      std::min<std::int64_t>(*request.facts.deadline_ms, request.route->timeout_ms));
  core::StatedPatience& patience = state.patience[request.route->name];
  if (request.route->kind == core::RequestKind::kStream) {
    patience.longest_ms = static_cast<double>(request.route->timeout_ms);
  }
  request.is_sent_again = core::RecordPatience(patience, stated_ms);
}

std::int64_t RetryAfterBurstMs(const RequestContext& request, GatewayState& state) {
  constexpr std::uint64_t kSteps = 1'024;
  // Longer times that callers state are not reckoned with.
  constexpr std::int64_t kMaxStatedMs = 3'600'000;
  const TimePoint gives_up =
      request.facts.deadline_ms
          ? request.arrived + Milliseconds(std::min(*request.facts.deadline_ms, kMaxStatedMs))
          : request.deadline;
  return core::RetryAfterBurst(gives_up - state.clock.now(),
                               static_cast<double>(request.seed % kSteps) / kSteps)
      .count();
}

void RecordFirstStart(RequestContext& request, GatewayState& state) {
  if (request.started) {
    return;
  }
  request.started = state.clock.now();
  if (*request.started > LatestStart(request, state)) {
    state.metrics.Count(
        fmt::format("requests_started_late_total{{service=\"{}\"}}", request.service->name));
  }
}

void CountIfOnTime(const RequestContext& request, GatewayState& state, TimePoint answered) {
  if (answered <= request.target && !request.is_sent_again) {
    state.metrics.Count(fmt::format("targets_met_total{{service=\"{}\"}}", request.service->name));
  }
}

void RecordGeneration(const RequestContext& request, GatewayState& state,
                      std::int64_t generated_tokens, Duration held) {
  const std::string& service = request.service->name;
  core::RecordOutput(core::CostOf(state.costs, service), generated_tokens,
                     request.facts.expected_output_tokens.value_or(0));
  core::RecordGeneration(
      ProfileOf(state, service),
      {static_cast<double>(request.facts.prompt_tokens),
       static_cast<double>(core::ExpectedMemoryTokens(
           {request.facts.prompt_tokens, generated_tokens, generated_tokens, 0})),
       ToMs(held), static_cast<double>(generated_tokens)});
}

void CountRefusal(const RequestContext& request, GatewayState& state, std::string_view cause) {
  state.metrics.Count(fmt::format("requests_refused_total{{service=\"{}\",cause=\"{}\"}}",
                                  request.service->name, cause));
}

TimePoint LatestStart(const RequestContext& request, GatewayState& state) {
  if (request.is_sent_again) {
    return request.arrived - Milliseconds(1);
  }
  return request.target - PlannedServiceTime(request, state);
}

void AnswerNotRun(RequestContext& request, GatewayState& state, CallerSink& sink,
                  std::string_view reason, std::optional<std::int64_t> retry_after_ms) {
  LogRequestEnd(request, state, 503, "not_run", reason);
  sink.Answer(503, platform::RefusalFields(request.facts.request_id, retry_after_ms),
              fmt::format("not run: {}\n", reason));
}

void AnswerOutcomeUnknown(RequestContext& request, GatewayState& state, CallerSink& sink,
                          int status, std::string_view reason) {
  LogRequestEnd(request, state, status, "unknown", reason);
  sink.Answer(status, platform::RefusalFields(request.facts.request_id, std::nullopt),
              fmt::format("outcome unknown: {}\n", reason));
}

StreamEnd StreamEndOf(const http::ResponseHead& head) {
  return head.framing == http::BodyFraming::kUntilClose ? StreamEnd::kByClose : StreamEnd::kStated;
}

void ForwardWholeAnswer(CallerSink& sink, const http::ResponseHead& head, std::string body) {
  const http::Fields fields = platform::CallerFields(head);
  const StreamEnd end = StreamEndOf(head);
  if (end == StreamEnd::kStated) {
    sink.Answer(head.status, fields, std::move(body));
    return;
  }
  sink.StartStream(head.status, fields, end);
  sink.StreamBytes(body);
  sink.EndStream();
}

void LogRequestEnd(const RequestContext& request, GatewayState& state, int status,
                   std::string_view outcome, std::string_view reason) {
  const TimePoint now = state.clock.now();
  const double total_ms = ToMs(now - request.arrived);
  if (request.workspace != nullptr) {
    ++state.callers.by_workspace[request.workspace->name][std::string(outcome)];
    state.metrics.Count(fmt::format("workspace_requests_total{{workspace=\"{}\",outcome=\"{}\"}}",
                                    request.workspace->name, outcome));
  }
  if (state.limiter != nullptr && (outcome == "not_run" || !request.started)) {
    state.limiter->GiveBack(request, now);
  }
  state.metrics.Count(
      fmt::format("requests_total{{route=\"{}\",outcome=\"{}\"}}", request.route->name, outcome));
  state.metrics.Observe(fmt::format("request_ms{{route=\"{}\"}}", request.route->name), total_ms);
  // Time from the start of a stop to the arrival of the request, negative if it arrived before.
  const nlohmann::json arrived_in_stop_ms =
      state.stop ? nlohmann::json(ToMs(request.arrived - state.stop->started)) : nlohmann::json();
  Log(LogLevel::kInfo, "request_end",
      {{"request", request.facts.request_id},
       {"route", request.route->name},
       {"workspace", request.workspace_name()},
       {"config_version", request.table->version()},
       {"status", status},
       {"outcome", outcome},
       {"reason", reason},
       {"upstreams", request.tried_ids},
       {"prompt_tokens", request.facts.prompt_tokens},
       {"max_output", request.facts.max_output_tokens},
       {"output_estimate", request.facts.expected_output_tokens.value_or(0)},
       {"wait_ms", ToMs(request.started.value_or(now) - request.arrived)},
       {"total_ms", total_ms},
       {"arrived_in_stop_ms", arrived_in_stop_ms},
       {"deadline_ms", ToMs(request.deadline - request.arrived)}});
}

void LogRequestStep(const RequestContext& request, std::string_view event, const Upstream& upstream,
                    std::string_view detail) {
  Log(LogLevel::kInfo, event,
      {{"request", request.facts.request_id},
       {"upstream", upstream.info.id},
       {"detail", detail},
       {"running_own", upstream.local_load.running},
       {"running_peers", upstream.peer_load.running},
       {"reserved_own", upstream.local_load.reserved_tokens},
       {"reserved_peers", upstream.peer_load.reserved_tokens},
       {"prefill_own", upstream.local_load.prefill_tokens},
       {"prefill_peers", upstream.peer_load.prefill_tokens},
       {"slots", upstream.info.slots},
       {"poor_share", upstream.health.failure_share}});
}

}  // namespace rattanramp::gateway
