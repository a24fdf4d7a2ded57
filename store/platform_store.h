// Interface to the platform: transactional table, object store and VM list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"

namespace rattanramp::store {

/// Row of the table service. Versions start at 1 and increase with each write to the key.
struct Row {
  std::string key;
  std::string value;
  std::int64_t version = 0;
};

/// Met if the current version of the key equals `version`; with 0, if the row does not exist.
struct Condition {
  std::string key;
  std::int64_t version = 0;
};

/// Write of one row. Without a value, the row is removed.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

/// All writes take effect if all conditions are met; otherwise none does.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// Outcome of a transaction to which the table service responded.
struct CommitResult {
  bool committed = false;
  /// Key of the first condition that was not met, and the current row if it exists.
  std::string conflict_key;
  std::optional<Row> conflict_row;
};

struct Vm {
  std::string id;
  /// "entry" or "agent".
  std::string role;
  std::string link_address;
  std::string failure_domain;
  std::string region;
  bool leaving = false;
};

struct VmList {
  std::int64_t version = 0;
  std::vector<Vm> vms;
};

/// All calls block and are thread-safe. Errors of all calls: kUnavailable (nothing was changed),
/// kReplyLost (a write may have taken effect; read the rows before relying on either outcome).
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;
  /// Returns an empty optional if the row does not exist.
  virtual Result<std::optional<Row>> Read(const std::string& key) = 0;
  virtual Result<std::vector<Row>> Scan(const std::string& prefix) = 0;
  virtual Result<CommitResult> Commit(const Transaction& transaction) = 0;
  virtual Result<std::optional<std::string>> ReadObject(const std::string& name) = 0;
  virtual Result<void> WriteObject(const std::string& name, const std::string& content) = 0;
  virtual Result<VmList> ListVms() = 0;
};

}  // namespace rattanramp::store
