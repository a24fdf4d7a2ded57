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

/// Records that the connection to the upstream was lost before it had shown that it can answer the
/// request, and reports it to the peers. started: when the request was sent there. The end of an
/// upstream that leaves is planned and not recorded.
void RecordStartLoss(RequestContext& request, GatewayState& state, const Upstream& upstream,
                     TimePoint started);

/// Records that the upstream has answered a request that was sent to it at `started`, whatever the
/// answer.
void RecordRunningUpstream(GatewayState& state, const Upstream& upstream, TimePoint started);

/// Records bytes of a stream that was started at `started`, and that has always been read at once.
void RecordContinuedStream(GatewayState& state, const Upstream& upstream, TimePoint started);

/// Withdraws the losses of upstreams that have answered since and are still in the list as the same
/// incarnation, and reports it to the peers. Called at intervals.
void ConfirmRunningUpstreams(GatewayState& state);

/// Records that an upstream has shown that it can answer the request. started: when it was sent
/// there.
void RecordAnsweredStart(const RequestContext& request, GatewayState& state, TimePoint started);

}  // namespace rattanramp::gateway
