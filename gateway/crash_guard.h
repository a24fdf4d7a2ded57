// Keeps requests from upstreams that would end under them: applies core/crash_causes to the
// requests of this gateway.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/request_context.h"

namespace rattanramp::gateway {

/// Time from the first event of an attempt after which its engine has shown that it can answer the
/// request. Engines that crash on a prompt do so within the first events.
inline constexpr Milliseconds kProvenTime{1'000};

struct CrashRefusal {
  std::string reason;
  std::int64_t retry_after_ms = 0;
};

/// Determines request.causes; called once for each request.
void PrepareCrashGuard(RequestContext& request);

/// Returns why the request must not be sent to an upstream; empty: it may be sent. Called before
/// each attempt.
std::optional<CrashRefusal> CheckCrashCauses(RequestContext& request, GatewayState& state);

/// Records that the upstream was lost before it had shown that it can answer the request, and
/// reports it to the peers.
void RecordStartLoss(RequestContext& request, GatewayState& state, const Upstream& upstream);

/// Records that an upstream has shown that it can answer the request. started: when it was sent
/// there.
void RecordAnsweredStart(const RequestContext& request, GatewayState& state, TimePoint started);

}  // namespace rattanramp::gateway
