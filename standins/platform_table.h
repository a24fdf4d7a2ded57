// Rows with versions and atomic transactions of the stand-in platform.
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
  /// Key and the version it must have; 0 means that the row must not exist.
  std::vector<std::pair<std::string, std::int64_t>> conditions;
  /// Without a value the row is removed.
  std::vector<std::pair<std::string, std::optional<std::string>>> writes;
};

struct TableOutcome {
  bool committed = false;
  /// Versions after the transaction; 0 for removed rows.
  std::map<std::string, std::int64_t> versions;
  /// First condition that did not hold.
  std::string conflict_key;
  std::optional<TableRow> conflict_row;
};

/// Safe from any thread.
class PlatformTable {
 public:
  std::optional<TableRow> Read(const std::string& key) const;
  /// Rows whose keys start with the prefix, in order of their keys.
  std::vector<TableRow> Scan(const std::string& prefix) const;
  TableOutcome Commit(const TableTransaction& transaction);

 private:
  std::optional<TableRow> Find(const std::string& key) const;

  mutable std::mutex mutex_;
  std::map<std::string, TableRow> rows_;
  /// Last versions of removed rows. A row that is written again continues its versions, so that a
  /// condition on an old version cannot hold by accident.
  std::map<std::string, std::int64_t> removed_row_versions_;
};

}  // namespace rattanramp::standins
