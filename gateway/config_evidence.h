// Tells the peer gateways which version of the configuration is the newest, and since when that is
// known, so that a gateway that the store does not answer serves on. Passes the configuration
// itself on to a peer that asks for it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "gateway/gateway_state.h"
#include "gateway/load_exchange.h"

namespace rattanramp::gateway {

class ConfigEvidenceSection final : public ReportSection {
 public:
  /// Sends one peer a report with the fields that the function adds; see LoadExchange::SendTo.
  using Send =
      std::function<void(const std::string& peer, const std::function<void(wire::GatewayLoad&)>&)>;
  /// Applies a row of the configuration that a peer has sent.
  using RowHandler = std::function<void(const std::string& text, const core::StorePosition& row)>;

  ConfigEvidenceSection(GatewayState& state, Send send, RowHandler on_row);

  /// Keeps the text of a row for peers that ask for it; called with each row, valid or not.
  void SetRow(const std::string& text, const core::StorePosition& row);

  void AddTo(wire::GatewayLoad& report, bool is_complete) override;
  void Record(const wire::GatewayLoad& report) override;

 private:
  bool is_active() const { return state_.settings.key_removal_limit.has_value(); }
  void RequestRow(const std::string& peer);
  void SendRow(const std::string& peer);

  GatewayState& state_;
  Send send_;
  RowHandler on_row_;
  std::string row_text_;
  /// Position of the newest row that has arrived, valid or not; version 0: none.
  core::StorePosition row_;
  /// Not before this time, so that many reports do not make as many requests.
  std::optional<TimePoint> next_request_;
  /// The peer that was asked last for the row, and until when its answer is taken.
  std::string asked_peer_;
  TimePoint asked_until_;
  /// The row that is sent to peers takes at most kMaxRowBytesPerSecond of the link.
  std::optional<TimePoint> next_row_;
};

}  // namespace rattanramp::gateway
