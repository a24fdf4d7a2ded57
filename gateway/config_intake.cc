#include "gateway/config_intake.h"

#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "platform/config_format.h"

namespace rattanramp::gateway {
namespace {

// Time within which the operator writes again what a returning store has lost. After it the store's
// row goes into force, so that gateways that started since do not serve another configuration.
constexpr Milliseconds kRewriteTime{60'000};

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
  newest_row_ = row;
  if (in_force_ && row.era != in_force_->row.era && Hash64(text) == in_force_hash_) {
    in_force_->row = row;
    restored_.reset();
    Log(LogLevel::kInfo, "configuration_confirmed",
        {{"version", in_force_->revision}, {"row_version", row.version}, {"store_era", row.era}});
    listener_.OnRowTaken(row, text, /*is_in_force=*/true);
    return;
  }
  Result<std::shared_ptr<const core::RoutingTable>> table = MakeTable(text);
  if (!table) {
    Log(LogLevel::kError, "configuration_rejected",
        {{"row_version", row.version},
         {"store_era", row.era},
         {"error", table.error().message},
         {"remedy", table.error().remedy}});
    restored_.reset();
    listener_.OnRowTaken(row, text, /*is_in_force=*/false);
    return;
  }
  const core::ConfigVersion version{row, table.value()->version()};
  if (in_force_ && core::CompareRow(*in_force_, version) == core::RowOrder::kRestored) {
    Keep(text, version);
    return;
  }
  PutInForce(std::move(table.value()), text, row);
}

void ConfigIntake::Keep(const std::string& text, const core::ConfigVersion& restored) {
  const bool is_same_era = restored_ && restored_->version.row.era == restored.row.era;
  restored_ = Restored{text, restored, is_same_era ? restored_->since : clock_.now()};
  Log(LogLevel::kWarning, "configuration_restored_unused",
      {{"version", restored.revision},
       {"version_in_force", in_force_->revision},
       {"row_version", restored.row.version},
       {"store_era", restored.row.era}});
  listener_.OnRowTaken(restored.row, "", /*is_in_force=*/true);
}

void ConfigIntake::PutInForce(std::shared_ptr<const core::RoutingTable> table,
                              const std::string& text, const core::StorePosition& row) {
  in_force_ = core::ConfigVersion{row, table->version()};
  in_force_hash_ = Hash64(text);
  restored_.reset();
  listener_.OnTable(table);
  listener_.OnRowTaken(row, text, /*is_in_force=*/true);
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", table->version()},
       {"row_version", row.version},
       {"store_era", row.era},
       {"routes", table->routes().size()},
       {"workspaces", table->workspaces().size()}});
}

void ConfigIntake::Tick() {
  if (!restored_ || clock_.now() - restored_->since < kRewriteTime) {
    return;
  }
  const Restored restored = *std::exchange(restored_, std::nullopt);
  Log(LogLevel::kWarning, "configuration_not_written_again",
      {{"version", restored.version.revision}, {"version_in_force", in_force_->revision}});
  Result<std::shared_ptr<const core::RoutingTable>> table = MakeTable(restored.text);
  if (table) {
    PutInForce(std::move(table.value()), restored.text, restored.version.row);
  }
}

std::optional<std::int64_t> ConfigIntake::restored_revision() const {
  return restored_ ? std::optional(restored_->version.revision) : std::nullopt;
}

}  // namespace rattanramp::gateway
