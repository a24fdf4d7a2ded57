// Puts rows of the configuration in force, in the order of core/config_order. The store and the
// peers may both bring a row, in any order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "core/config_order.h"
#include "core/routing_table.h"

namespace rattanramp::gateway {

class ConfigIntake {
 public:
  /// Receives the changes.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnTable(std::shared_ptr<const core::RoutingTable> table) = 0;
    /// The configuration in force is the newest as far as the store's rows up to `row` tell.
    /// text: the row's own text, for peers that ask for it; empty: that of the row before stays.
    virtual void OnRowTaken(const core::StorePosition& row, const std::string& text,
                            bool is_in_force) = 0;
  };

  ConfigIntake(const Clock& clock, Listener& listener) : clock_(clock), listener_(listener) {}

  void Take(const std::string& text, const core::StorePosition& row);
  /// Puts a restored row in force that the operator has not replaced in time.
  void Tick();

  /// Position of the newest row that has arrived, valid or not.
  const core::StorePosition& newest_row() const { return newest_row_; }
  /// The operator's number of a restored configuration that is not in force.
  std::optional<std::int64_t> restored_revision() const;

 private:
  /// A row of a store that has returned from a copy without the configuration in force.
  struct Restored {
    std::string text;
    core::ConfigVersion version;
    /// When the first such row of this era arrived.
    TimePoint since;
  };

  void PutInForce(std::shared_ptr<const core::RoutingTable> table, const std::string& text,
                  const core::StorePosition& row);
  void Keep(const std::string& text, const core::ConfigVersion& restored);

  const Clock& clock_;
  Listener& listener_;
  core::StorePosition newest_row_;
  std::optional<core::ConfigVersion> in_force_;
  std::uint64_t in_force_hash_ = 0;
  std::optional<Restored> restored_;
};

}  // namespace rattanramp::gateway
