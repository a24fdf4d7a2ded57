// In-memory PlatformStore with switchable faults.
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_store.h"

namespace rattanramp::platform {

enum class PlatformFault {
  kNone,
  /// All calls fail and change nothing.
  kDown,
  /// All calls take slow_ms longer.
  kSlow,
  /// Writes take effect and their reply is lost.
  kReplyLost,
};

class FakePlatform : public PlatformStore {
 public:
  void SetFault(PlatformFault fault, int slow_ms = 0) {
    slow_ms_.store(slow_ms);
    fault_.store(fault);
  }
  /// Number of transactions that took effect.
  int commits() const { return commits_.load(); }
  /// Number of transactions that were asked for.
  int commit_calls() const { return commit_calls_.load(); }

  void SetVms(const VmList& list) {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_ = list;
  }

  Result<std::optional<Row>> Read(const std::string& key) override {
    if (IsDown()) {
      return Down();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto row = rows_.find(key);
    return row == rows_.end() ? std::optional<Row>() : std::optional<Row>(row->second);
  }

  Result<std::vector<Row>> Scan(const std::string& prefix) override {
    if (IsDown()) {
      return Down();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Row> found;
    for (const auto& [key, row] : rows_) {
      if (key.starts_with(prefix)) {
        found.push_back(row);
      }
    }
    return found;
  }

  Result<CommitResult> Commit(const Transaction& transaction) override {
    commit_calls_.fetch_add(1);
    if (IsDown()) {
      return Down();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    CommitResult result;
    for (const Condition& condition : transaction.conditions) {
      const auto row = rows_.find(condition.key);
      const std::int64_t version = row == rows_.end() ? 0 : row->second.version;
      if (version != condition.version) {
        result.conflict_key = condition.key;
        if (row != rows_.end()) {
          result.conflict_row = row->second;
        }
        return LoseReply(result);
      }
    }
    for (const Write& write : transaction.writes) {
      Apply(write);
    }
    commits_.fetch_add(1);
    result.committed = true;
    return LoseReply(result);
  }

  Result<std::optional<std::string>> ReadObject(const std::string& name) override {
    if (IsDown()) {
      return Down();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto object = objects_.find(name);
    return object == objects_.end() ? std::optional<std::string>()
                                    : std::optional<std::string>(object->second);
  }

  Result<void> WriteObject(const std::string& name, const std::string& content) override {
    if (IsDown()) {
      return Down();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    objects_[name] = content;
    return Success();
  }

  Result<VmList> ListVms() override {
    if (IsDown()) {
      return Down();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return vms_;
  }

 private:
  bool IsDown() const {
    if (fault_.load() == PlatformFault::kSlow) {
      std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_.load()));
    }
    return fault_.load() == PlatformFault::kDown;
  }

  static Error Down() { return {ErrorKind::kUnavailable, "platform is down", "retry later"}; }

  Result<CommitResult> LoseReply(const CommitResult& result) const {
    if (fault_.load() == PlatformFault::kReplyLost) {
      return Error{ErrorKind::kReplyLost, "reply lost", "read back"};
    }
    return result;
  }

  void Apply(const Write& write) {
    if (!write.value) {
      rows_.erase(write.key);
      return;
    }
    Row& row = rows_[write.key];
    row.key = write.key;
    row.value = *write.value;
    ++row.version;
  }

  std::atomic<PlatformFault> fault_{PlatformFault::kNone};
  std::atomic<int> slow_ms_{0};
  std::atomic<int> commits_{0};
  std::atomic<int> commit_calls_{0};
  mutable std::mutex mutex_;
  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  VmList vms_;
};

}  // namespace rattanramp::platform
