// Puts rows of the configuration in force, in the order of core/config_order. The store and the
// peers may both bring a row, in any order.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "core/config_order.h"
#include "core/routing_table.h"

namespace rattanramp::gateway {

enum class RowUse {
  /// The row's configuration is in force.
  kInForce,
  /// A newer configuration than that of the row is in force.
  kHeldBack,
  /// The row cannot be used; the configuration before stays in force.
  kRejected,
};

class ConfigIntake {
 public:
  /// Receives the changes.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnTable(std::shared_ptr<const core::RoutingTable> table) = 0;
    /// Called with each row that is newer than all before, after OnTable if it is in force.
    virtual void OnRowTaken(const core::StorePosition& row, const std::string& text,
                            RowUse use) = 0;
  };

  ConfigIntake(const Clock& clock, Listener& listener) : clock_(clock), listener_(listener) {}

  void Take(const std::string& text, const core::StorePosition& row);
  /// Called when a call that was sent at `sent` has shown `row` to be the newest one in the store.
  /// Puts a row in force that was held back and that the operator has not replaced in time.
  void ConfirmNewest(const core::StorePosition& row, TimePoint sent);

  /// Position of the newest row that has arrived, valid or not.
  const core::StorePosition& newest_row() const { return newest_row_; }
  /// The operator's number of the configuration that is held back.
  std::optional<std::int64_t> held_back_revision() const;

 private:
  struct HeldBack {
    std::string text;
    core::ConfigVersion version;
  };

  void PutInForce(const std::string& text, const core::StorePosition& row,
                  const std::shared_ptr<const core::RoutingTable>& table);
  void HoldBack(const std::string& text, const core::ConfigVersion& restored);

  const Clock& clock_;
  Listener& listener_;
  core::StorePosition newest_row_;
  std::optional<core::ConfigVersion> in_force_;
  std::uint64_t in_force_hash_ = 0;
  /// Time in contact with the store for which the operator may still be writing again what the last
  /// return has lost.
  Duration rewriting_left_{};
  std::optional<HeldBack> held_back_;
};

}  // namespace rattanramp::gateway
