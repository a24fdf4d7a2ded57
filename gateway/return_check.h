// Checks the health of upstreams whose entry was removed and has come back: one that has left says
// so, and a sound one, which was only missing from the list, gets requests at once. One that
// answers no health checks gets them when its entry has stayed long enough (see Fleet).
#pragma once

#include <map>
#include <memory>

#include "core/routing_table.h"
#include "gateway/gateway_state.h"

namespace rattanramp::gateway {

class ReturnCheck {
 public:
  explicit ReturnCheck(GatewayState& state);
  ~ReturnCheck();
  ReturnCheck(const ReturnCheck&) = delete;
  ReturnCheck& operator=(const ReturnCheck&) = delete;

  /// Starts the checks that are due. Called at intervals. rules: where the services answer health
  /// checks.
  void Tick(const core::RoutingTable& rules);
  void Stop();

 private:
  class Check;

  GatewayState& state_;
  std::map<std::shared_ptr<Upstream>, std::unique_ptr<Check>> checks_;
  bool is_stopped_ = false;
};

}  // namespace rattanramp::gateway
