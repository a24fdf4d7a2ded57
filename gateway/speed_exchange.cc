#include "gateway/speed_exchange.h"

#include <cmath>
#include <string_view>

namespace rattanramp::gateway {
namespace {

// Upstreams that one report lists at most; an entry takes about 20 bytes.
constexpr std::size_t kMaxReportedSpeeds = 32;

// Age up to which a measurement of a peer is used.
constexpr Milliseconds kMaxSpeedAge{60'000};

constexpr double kPermille = 1'000;

/// Records an answer whose work has a known usual time, and how far off that was.
void RecordAgainst(GatewayState& state, Upstream& upstream, Duration time, double expected_ms,
                   std::string_view ratio_metric) {
  const TimePoint now = state.clock.now();
  core::RecordAnswerTime(
      upstream.speed, time,
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(expected_ms)),
      now);
  state.metrics.Observe(ratio_metric, ToMs(time) / expected_ms);
}

}  // namespace

void SpeedExchange::AddTo(wire::GatewayLoad& report, bool is_complete) {
  if (!is_complete) {
    return;
  }
  const TimePoint now = clock_.now();
  std::erase_if(reported_,
                [this](const auto& entry) { return fleet_.FindUpstream(entry.first) == nullptr; });
  std::vector<wire::GatewayUpstreamSpeed> speeds;
  for (const auto& [id, upstream] : fleet_.upstreams()) {
    if (speeds.size() >= kMaxReportedSpeeds) {
      break;
    }
    if (!core::IsSpeedNews(upstream->speed, now)) {
      reported_.erase(upstream->key);
      continue;
    }
    TimePoint& reported = reported_[upstream->key];
    if (upstream->speed.updated <= reported) {
      continue;
    }
    reported = upstream->speed.updated;
    wire::GatewayUpstreamSpeed& entry = speeds.emplace_back();
    entry.upstream_key = upstream->key;
    entry.slowness_permille =
        static_cast<std::int32_t>(std::lround(kPermille * std::exp(upstream->speed.log_slowness)));
    entry.samples = static_cast<std::int32_t>(core::CurrentSamples(upstream->speed, now));
    entry.age_ms = 0;
  }
  if (!speeds.empty()) {
    report.__set_upstream_speeds(speeds);
  }
}

void SpeedExchange::Record(const wire::GatewayLoad& report) {
  const TimePoint now = clock_.now();
  for (const wire::GatewayUpstreamSpeed& entry : report.upstream_speeds) {
    Upstream* upstream = fleet_.FindUpstream(entry.upstream_key);
    if (upstream != nullptr && entry.age_ms >= 0 && entry.age_ms <= kMaxSpeedAge.count()) {
      core::RecordPeerSpeed(upstream->peer_speed,
                            {static_cast<double>(entry.slowness_permille) / kPermille,
                             static_cast<double>(entry.samples), Milliseconds(entry.age_ms)},
                            now);
    }
  }
}

void RecordPlainAnswer(const RequestContext& request, GatewayState& state, Upstream& upstream,
                       Duration time, std::int64_t running_before) {
  if (running_before >= upstream.info.slots) {
    return;
  }
  const std::string& service = request.service->name;
  const std::optional<double> expected_ms =
      core::ExpectedPlainMs(state.costs, service, request.route->name);
  core::RecordPlainTime(state.costs, service, request.route->name, ToMs(time));
  if (expected_ms) {
    RecordAgainst(state, upstream, time, *expected_ms, "cost_ratio{work=\"plain\"}");
  }
}

void RecordPrefillAnswer(const RequestContext& request, GatewayState& state, Upstream& upstream,
                         Duration time, std::int64_t queued_tokens) {
  const double tokens = static_cast<double>(request.facts.prompt_tokens + queued_tokens);
  if (request.facts.prompt_tokens <= 0) {
    return;
  }
  core::UnitTime& unit = core::CostOf(state.costs, request.service->name).prompt_token;
  const std::optional<double> token_ms = core::KnownUnitMs(unit);
  core::RecordUnitTime(unit, ToMs(time) / tokens);
  if (token_ms) {
    RecordAgainst(state, upstream, time, *token_ms * tokens, "cost_ratio{work=\"prefill\"}");
  }
}

std::optional<std::int64_t> ExpectedOutput(const RequestContext& request, GatewayState& state) {
  const std::optional<std::int64_t>& estimate = request.facts.expected_output_tokens;
  if (!estimate || !state.settings.weighs_cost) {
    return estimate;
  }
  return std::llround(core::CorrectedOutput(core::CostOf(state.costs, request.service->name),
                                            static_cast<double>(*estimate)));
}

void RecordEventGap(const RequestContext& request, GatewayState& state, Upstream& upstream,
                    Duration gap) {
  core::UnitTime& unit = core::CostOf(state.costs, request.service->name).event;
  const std::optional<double> gap_ms = core::KnownUnitMs(unit);
  core::RecordUnitTime(unit, ToMs(gap));
  if (gap_ms) {
    RecordAgainst(state, upstream, gap, *gap_ms, "cost_ratio{work=\"event\"}");
  }
}

}  // namespace rattanramp::gateway
