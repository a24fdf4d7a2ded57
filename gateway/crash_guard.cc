#include "gateway/crash_guard.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Time from an answer until the list of upstreams shows that it came from a new process with the
// same id: its registration, and the time between two reads of the list.
constexpr Milliseconds kIncarnationCheckTime{1'500};

// Keeps a part of a prompt and the content of a request with the same text apart.
constexpr std::uint64_t kPartSeed = 1;

/// The text of the cause in the request: the id of a part, or "content".
std::string DescribeCause(const RequestContext& request, core::Cause cause) {
  const std::vector<core::Cause>& parts = request.causes.parts;
  const auto part = std::find(parts.begin(), parts.end(), cause);
  return part == parts.end()
             ? "content"
             : "prompt part " +
                   request.facts.prompt_parts[static_cast<std::size_t>(part - parts.begin())];
}

std::uint64_t HashContent(const RequestContext& request) {
  const std::string* host = http::FindField(request.head.fields, "Host");
  std::uint64_t hash = Hash64(request.head.method);
  hash = Hash64(request.head.target, hash);
  hash = Hash64(host == nullptr ? std::string_view() : *host, hash);
  hash = Hash64(*request.body, hash);
  for (const std::string& part : request.facts.prompt_parts) {
    hash = Hash64(part, hash);
  }
  return Hash64(request.facts.prompt_id, hash);
}

void LogWithdrawn(GatewayState& state, const Upstream& upstream, std::size_t losses) {
  if (losses == 0) {
    return;
  }
  Log(LogLevel::kInfo, "lost_upstream_runs", {{"upstream", upstream.info.id}, {"losses", losses}});
  state.metrics.Count("crash_evidence_withdrawn_total", static_cast<double>(losses));
  state.on_reservation_change();
}

}  // namespace

void PrepareCrashGuard(RequestContext& request) {
  request.causes.content = HashContent(request);
  for (const std::string& part : request.facts.prompt_parts) {
    request.causes.parts.push_back(Hash64(part, kPartSeed));
  }
}

std::optional<CrashRefusal> CheckCrashCauses(RequestContext& request, GatewayState& state) {
  if (request.is_trial) {
    return std::nullopt;
  }
  const core::CrashVerdict verdict = core::JudgeRequest(
      state.crash_causes, request.causes, state.tries_blocked_causes, state.clock.now());
  request.is_trial = verdict.is_trial;
  if (!verdict.is_refused) {
    return std::nullopt;
  }
  state.metrics.Count("requests_refused_for_crashes_total");
  const core::BlockedCause& block = state.crash_causes.blocked.at(verdict.cause);
  return CrashRefusal{fmt::format("{} upstreams ended under requests with the same {}",
                                  block.upstreams, DescribeCause(request, verdict.cause)),
                      std::chrono::duration_cast<Milliseconds>(verdict.retry_after).count()};
}

void RecordStartLoss(RequestContext& request, GatewayState& state, const Upstream& upstream,
                     TimePoint started) {
  request.is_trial = false;
  if (upstream.info.is_draining || upstream.is_removed || upstream.is_leaving()) {
    return;
  }
  const TimePoint now = state.clock.now();
  if (core::RecordLoss(state.crash_causes, {upstream.key, request.causes, now, true, now - started},
                       now)) {
    state.on_reservation_change();
  }
}

void RecordRunningUpstream(GatewayState& state, const Upstream& upstream, TimePoint started) {
  if (core::MayWithdraw(state.crash_causes, upstream.key, started)) {
    state.running_signs.try_emplace(upstream.key, RunningSign{started, state.clock.now()});
  }
}

void RecordContinuedStream(GatewayState& state, const Upstream& upstream, TimePoint started) {
  LogWithdrawn(state, upstream,
               core::RecordContinued(state.crash_causes, upstream.key, started, state.clock.now()));
}

void ConfirmRunningUpstreams(GatewayState& state) {
  const TimePoint now = state.clock.now();
  std::erase_if(state.running_signs, [&state, now](const auto& entry) {
    const auto& [key, sign] = entry;
    const Upstream* upstream = state.fleet.Find(key);
    if (upstream != nullptr && now - sign.answered < kIncarnationCheckTime) {
      return false;
    }
    const std::size_t withdrawn =
        upstream == nullptr
            ? 0
            : core::RecordRunning(state.crash_causes, key, sign.sent, /*is_own=*/true);
    if (upstream != nullptr) {
      LogWithdrawn(state, *upstream, withdrawn);
    }
    return true;
  });
}

void RecordAnsweredStart(const RequestContext& request, GatewayState& state, TimePoint started) {
  core::RecordAnswered(state.crash_causes, request.causes, started);
}

}  // namespace rattanramp::gateway
