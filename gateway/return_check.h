// Checks the health of upstreams whose entry was removed and has come back, before they get
// requests: one that has left says so, and a running one was only missing from the list. One that
// answers no checks is used when its entry has stayed long enough to have been renewed.
#pragma once

#include <memory>
#include <vector>

#include "core/routing_table.h"
#include "gateway/gateway_state.h"

namespace rattanramp::gateway {

class ReturnCheck {
 public:
  explicit ReturnCheck(GatewayState& state);
  ~ReturnCheck();
  ReturnCheck(const ReturnCheck&) = delete;
  ReturnCheck& operator=(const ReturnCheck&) = delete;

  /// Starts the checks that are due. rules: where the services answer health checks.
  void Tick(const core::RoutingTable& rules);
  void Stop();

 private:
  class Check;

  GatewayState& state_;
  std::vector<std::unique_ptr<Check>> checks_;
  bool is_stopped_ = false;
};

}  // namespace rattanramp::gateway
