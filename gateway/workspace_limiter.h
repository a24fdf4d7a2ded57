// Applies the limits of workspaces to the requests of this gateway, and tells the peers what was
// used. core/workspace_limits decides.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>

#include "base/metrics.h"
#include "core/routing_table.h"
#include "core/workspace_limits.h"
#include "gateway/caller_sink.h"
#include "gateway/load_exchange.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

class WorkspaceLimiter final : public ReportSection {
 public:
  WorkspaceLimiter(const core::LimitTolerance& tolerance, const Clock& clock)
      : clock_(clock), limits_(tolerance, {}, clock.now()), process_(clock.unix_ms()) {}

  /// Logs limits that make no sense.
  void SetRules(std::span<const core::WorkspaceRule> rules, TimePoint now);
  void SetPeers(std::span<const std::string> peers, TimePoint now);

  /// Takes the units of the request, or answers it with 429 and returns false. Sets
  /// request.limit_units.
  bool Admit(RequestContext& request, GatewayState& state, CallerSink& sink);
  /// Gives back the units of a request that has not run.
  void GiveBack(const RequestContext& request, TimePoint now);

  /// Logs the workspaces that begin and cease to be refused requests; called at intervals.
  void Tick(Metrics& metrics, TimePoint now);
  /// States page: limits in force, what was used and refused here, and the age of what is known.
  nlohmann::json State(TimePoint now) const;

  void AddTo(wire::GatewayLoad& report, bool is_complete) override;
  void Record(const wire::GatewayLoad& report) override;
  bool has_news() const override { return limits_.has_news(); }

 private:
  const Clock& clock_;
  core::WorkspaceLimits limits_;
  /// Start of this process in Unix ms.
  std::int64_t process_ = 0;
};

}  // namespace rattanramp::gateway
