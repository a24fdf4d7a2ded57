// Orders engines to change their stage, so that prefill and decode are loaded evenly. Only the
// gateway whose name sorts first sends orders; a row of the store prevents two gateways from
// ordering at the same time.
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
  /// order_table: table of this product that holds the last order.
  StageController(GatewayState& state, std::unique_ptr<store::AsyncTable> table,
                  std::string order_table, std::string own_name);

  /// Checks, for each service, how its engines are divided between prefill and decode, and starts
  /// at most one order. is_first: this gateway sorts first and therefore sends the orders.
  void Tick(const core::RoutingTable& rules, bool is_first);
  void Stop();

 private:
  struct PendingChange {
    core::UpstreamStage to = core::UpstreamStage::kPlain;
    TimePoint until;
  };
  /// An order whose record is being written to the store, or that is being sent to the engine.
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
  BodyProgress OnAnswerBody(std::string_view /*bytes*/) override { return BodyProgress::kNone; }
  void OnAnswerComplete() override;
  void OnAttemptFailure(AttemptFailure failure) override;

  GatewayState& state_;
  std::unique_ptr<store::AsyncTable> table_;
  std::string order_table_;
  std::string own_name_;
  bool is_stopped_ = false;
  TimePoint next_check_;
  /// Since when the engines of a service have been divided unevenly.
  std::map<std::string, TimePoint> imbalance_since_;
  /// Engines, by key, that have accepted an order or may have received one.
  std::map<std::int64_t, PendingChange> pending_changes_;
  /// Engines, by key, that refused an order or could not be reached; they get no order until then.
  std::map<std::int64_t, TimePoint> refused_until_;
  std::optional<Order> order_;
  std::unique_ptr<Attempt> attempt_;
  int answer_status_ = 0;
};

}  // namespace rattanramp::gateway
