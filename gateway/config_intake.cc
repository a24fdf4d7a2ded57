#include "gateway/config_intake.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "platform/config_format.h"

namespace rattanramp::gateway {
namespace {

// Time within which the operator writes again what a returning store has lost. After it the store's
// row goes into force, so that gateways that started since do not serve another configuration.
constexpr Milliseconds kRewriteTime{60'000};

// Most of it that one call counts for: the process may have been frozen while the call was held.
constexpr Milliseconds kMaxCallTime{5'000};

Result<std::shared_ptr<const core::RoutingTable>> MakeTable(const std::string& text) {
  Result<core::RoutingRules> rules = platform::DecodeConfig(text);
  if (!rules) {
    return rules.error();
  }
  return core::RoutingTable::Create(std::move(rules.value()));
}

}  // namespace

void ConfigIntake::Take(const std::string& text, const core::StorePosition& row) {
  if (row <= newest_row_) {
    return;
  }
  // Also at the start: the operator may still be writing again what an earlier return has lost.
  if (row.era != std::exchange(newest_row_, row).era) {
    rewriting_left_ = kRewriteTime;
  }
  if (in_force_ && row.era != in_force_->row.era && Hash64(text) == in_force_hash_) {
    in_force_->row = row;
    held_back_.reset();
    Log(LogLevel::kInfo, "configuration_confirmed",
        {{"version", in_force_->revision}, {"row_version", row.version}, {"store_era", row.era}});
    listener_.OnRowTaken(row, text, RowUse::kInForce);
    return;
  }
  Result<std::shared_ptr<const core::RoutingTable>> table = MakeTable(text);
  if (!table) {
    Log(LogLevel::kError, "configuration_rejected",
        {{"row_version", row.version},
         {"store_era", row.era},
         {"error", table.error().message},
         {"remedy", table.error().remedy}});
    listener_.OnRowTaken(row, text, RowUse::kRejected);
    return;
  }
  const core::ConfigVersion version{row, table.value()->version()};
  const bool is_rewriting = rewriting_left_ > Duration::zero();
  if (in_force_ &&
      core::CompareRow(*in_force_, version, is_rewriting) == core::RowOrder::kRestored) {
    HoldBack(text, version);
    return;
  }
  PutInForce(text, row, table.value());
}

void ConfigIntake::HoldBack(const std::string& text, const core::ConfigVersion& restored) {
  held_back_ = HeldBack{text, restored};
  Log(LogLevel::kWarning, "configuration_held_back",
      {{"version", restored.revision},
       {"version_in_force", in_force_->revision},
       {"row_version", restored.row.version},
       {"store_era", restored.row.era}});
  listener_.OnRowTaken(restored.row, text, RowUse::kHeldBack);
}

void ConfigIntake::PutInForce(const std::string& text, const core::StorePosition& row,
                              const std::shared_ptr<const core::RoutingTable>& table) {
  in_force_ = core::ConfigVersion{row, table->version()};
  in_force_hash_ = Hash64(text);
  held_back_.reset();
  listener_.OnTable(table);
  listener_.OnRowTaken(row, text, RowUse::kInForce);
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", table->version()},
       {"row_version", row.version},
       {"store_era", row.era},
       {"routes", table->routes().size()},
       {"workspaces", table->workspaces().size()}});
}

void ConfigIntake::ConfirmNewest(const core::StorePosition& row, TimePoint sent) {
  if (rewriting_left_ > Duration::zero()) {
    rewriting_left_ -= std::min<Duration>(clock_.now() - sent, kMaxCallTime);
    return;
  }
  if (!held_back_ || held_back_->version.row != row) {
    return;
  }
  const HeldBack held_back = *std::exchange(held_back_, std::nullopt);
  Log(LogLevel::kWarning, "configuration_not_written_again",
      {{"version", held_back.version.revision}, {"version_in_force", in_force_->revision}});
  Result<std::shared_ptr<const core::RoutingTable>> table = MakeTable(held_back.text);
  if (table) {
    PutInForce(held_back.text, row, table.value());
  }
}

std::optional<std::int64_t> ConfigIntake::held_back_revision() const {
  return held_back_ ? std::optional(held_back_->version.revision) : std::nullopt;
}

}  // namespace rattanramp::gateway
