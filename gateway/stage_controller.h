// Orders engines to change their stage, so that prefill and decode fill together. The gateway whose
// name comes first does so; a row of the store keeps two gateways from ordering at the same time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/order_lease.h"
#include "core/stage_plan.h"
#include "gateway/attempt.h"
#include "gateway/gateway_state.h"
#include "store/async_table.h"

namespace rattanramp::gateway {

class StageController final : private AttemptListener {
 public:
  /// order_table: the product's table with the last order.
  StageController(GatewayState& state, std::unique_ptr<store::AsyncTable> table,
                  std::string order_table, std::string own_name);

  /// Looks at the division of all services' engines and begins at most one order.
  /// is_first: this gateway is the one that orders.
  void Tick(const core::RoutingTable& rules, bool is_first);
  void Stop();

 private:
  struct PendingChange {
    core::UpstreamStage to = core::UpstreamStage::kPlain;
    TimePoint until;
  };
  /// An order on its way through the store to the engine.
  struct Order {
    std::shared_ptr<Upstream> upstream;
    core::UpstreamStage to = core::UpstreamStage::kPlain;
    Duration change_time{};
    core::OrderRecord record;
    TimePoint record_requested;
  };

  void RemoveFinishedChanges(TimePoint now);
  std::optional<Order> NextOrder(const core::ServiceRule& service, TimePoint now);
  void ReadLastOrder();
  void OnLastOrder(const store::TableRows& rows);
  void SendOrder();
  void AbandonOrder(std::string_view why, Duration pause);
  void RecordChange(TimePoint now);

  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override;
  void OnAnswerBody(std::string_view /*bytes*/) override {}
  void OnAnswerComplete() override;
  void OnAttemptFailure(AttemptFailure failure) override;

  GatewayState& state_;
  std::unique_ptr<store::AsyncTable> table_;
  std::string order_table_;
  std::string own_name_;
  bool is_stopped_ = false;
  TimePoint next_check_;
  /// Since when a service's engines are divided badly.
  std::map<std::string, TimePoint> imbalance_since_;
  /// By key: engines that have or may have an order, and those that refused one.
  std::map<std::int64_t, PendingChange> pending_changes_;
  std::map<std::int64_t, TimePoint> refused_until_;
  std::optional<Order> order_;
  std::unique_ptr<Attempt> attempt_;
  int answer_status_ = 0;
};

}  // namespace rattanramp::gateway
