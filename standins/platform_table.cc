#include "standins/platform_table.h"

namespace rattanramp::standins {

std::optional<TableRow> PlatformTable::Find(const std::string& key) const {
  const auto entry = rows_.find(key);
  return entry == rows_.end() ? std::nullopt : std::optional(entry->second);
}

std::optional<TableRow> PlatformTable::Read(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return Find(key);
}

std::vector<TableRow> PlatformTable::Scan(const std::string& prefix) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<TableRow> found;
  for (auto entry = rows_.lower_bound(prefix);
       entry != rows_.end() && entry->first.starts_with(prefix); ++entry) {
    found.push_back(entry->second);
  }
  return found;
}

TableOutcome PlatformTable::Commit(const TableTransaction& transaction) {
  const std::lock_guard<std::mutex> lock(mutex_);
  TableOutcome outcome;
  for (const auto& [key, version] : transaction.conditions) {
    const std::optional<TableRow> row = Find(key);
    if ((row ? row->version : 0) != version) {
      outcome.conflict_key = key;
      outcome.conflict_row = row;
      return outcome;
    }
  }
  outcome.committed = true;
  for (const auto& [key, value] : transaction.writes) {
    const std::optional<TableRow> row = Find(key);
    const std::int64_t last = row ? row->version : removed_row_versions_[key];
    removed_row_versions_.erase(key);
    if (value) {
      rows_[key] = {key, *value, last + 1};
      outcome.versions[key] = last + 1;
    } else {
      rows_.erase(key);
      removed_row_versions_[key] = last;
      outcome.versions[key] = 0;
    }
  }
  return outcome;
}

}  // namespace rattanramp::standins
