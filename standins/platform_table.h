// Table of the simulated platform: versioned rows and atomic transactions.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanramp::standins {

struct TableRow {
  std::string key;
  std::string value;
  std::int64_t version = 0;
};

struct TableTransaction {
  /// Keys and the versions that their rows must have. Version 0 means that the row must not exist.
  std::vector<std::pair<std::string, std::int64_t>> conditions;
  /// Keys and their new values. A row without a value is removed.
  std::vector<std::pair<std::string, std::optional<std::string>>> writes;
};

struct TableOutcome {
  bool committed = false;
  /// Versions of the written rows after the transaction; 0 for removed rows.
  std::map<std::string, std::int64_t> versions;
  /// Key of the first condition that failed, and its current row if there is one.
  std::string conflict_key;
  std::optional<TableRow> conflict_row;
};

/// Thread-safe.
class PlatformTable {
 public:
  std::optional<TableRow> Read(const std::string& key) const;
  /// Returns the rows whose keys start with the prefix, sorted by key.
  std::vector<TableRow> Scan(const std::string& prefix) const;
  /// Applies all writes if all conditions hold, and none otherwise.
  TableOutcome Commit(const TableTransaction& transaction);

 private:
  std::optional<TableRow> Find(const std::string& key) const;

  mutable std::mutex mutex_;
  std::map<std::string, TableRow> rows_;
  /// Last versions of removed rows. If a removed row is written again, its versions continue from
  /// here, so that a condition on an old version always fails.
  std::map<std::string, std::int64_t> removed_row_versions_;
};

}  // namespace rattanramp::standins
