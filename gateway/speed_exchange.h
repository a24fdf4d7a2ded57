// Measures the speed of upstreams by their answers, and exchanges it with the peers.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "gateway/attempt.h"
#include "gateway/gateway_state.h"
#include "gateway/load_exchange.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

class SpeedExchange final : public ReportSection {
 public:
  SpeedExchange(Fleet& fleet, const Clock& clock) : fleet_(fleet), clock_(clock) {}

  void AddTo(wire::GatewayLoad& report, bool is_complete) override;
  void Record(const wire::GatewayLoad& report) override;

 private:
  Fleet& fleet_;
  const Clock& clock_;
  /// By upstream: the newest answer that was reported, so that measurements without new ones are
  /// not repeated.
  std::unordered_map<std::int64_t, TimePoint> reported_;
};

/// Records the time of a plain request. running_before: requests that the upstream had from all
/// gateways when this one was sent; if they filled its slots, the time includes a wait there and
/// says nothing about its speed.
void RecordPlainAnswer(const RequestContext& request, GatewayState& state, Upstream& upstream,
                       Duration time, std::int64_t running_before);

/// Records the time of a prefill. queued_tokens: those that were to be read there before this
/// prompt.
void RecordPrefillAnswer(const RequestContext& request, GatewayState& state, Upstream& upstream,
                         Duration time, std::int64_t queued_tokens);

/// Output tokens that are expected of a generation: the caller's estimate, corrected by what
/// earlier answers had.
std::optional<std::int64_t> ExpectedOutput(const RequestContext& request, GatewayState& state);

/// Records the time between two events of a stream.
void RecordEventGap(const RequestContext& request, GatewayState& state, Upstream& upstream,
                    Duration gap);

}  // namespace rattanramp::gateway
