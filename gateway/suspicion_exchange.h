// Tells the peers the signs of failure and of life of suspected upstreams, and records theirs.
#pragma once

#include <string>

#include "base/clock.h"
#include "core/upstream_suspicion.h"
#include "gateway/load_exchange.h"

namespace rattanramp::gateway {

class SuspicionExchange final : public ReportSection {
 public:
  /// `suspicions` must outlive the object.
  SuspicionExchange(core::UpstreamSuspicions& suspicions, const Clock& clock,
                    std::string own_gateway);

  void AddTo(wire::GatewayLoad& report, bool is_complete) override;
  void Record(const wire::GatewayLoad& report) override;
  bool has_news() const override { return !suspicions_.news.empty(); }
  void OnPeerLost(const std::string& peer) override;

 private:
  core::UpstreamSuspicions& suspicions_;
  const Clock& clock_;
};

}  // namespace rattanramp::gateway
