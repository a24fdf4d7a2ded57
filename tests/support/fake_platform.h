// In-memory PlatformStore with faults that tests set and clear.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock.h"
#include "store/platform_store.h"

namespace rattanramp::store {

class FakePlatform : public PlatformStore {
 public:
  enum class Fault {
    kNone,
    /// All calls fail with kUnavailable and change nothing.
    kDown,
    /// All calls succeed after a delay of 50 ms.
    kSlow,
    /// Writes take effect and fail with kReplyLost; reads fail with kUnavailable.
    kReplyLost,
    /// Writes take effect and fail with kReplyLost; reads succeed.
    kWriteReplyLost,
  };

  void SetFault(Fault fault) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fault_ = fault;
  }

  /// Number of transactions that reached the platform, with or without effect.
  int commit_calls() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return commit_calls_;
  }

  void SetVms(VmList vms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_ = std::move(vms);
  }

  Result<std::optional<Row>> Read(const std::string& key) override {
    const Fault fault = BeginCall();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (FailsReads(fault)) {
      return UnavailableError();
    }
    const auto row = rows_.find(key);
    return row == rows_.end() ? std::optional<Row>() : std::optional<Row>(row->second);
  }

  Result<std::vector<Row>> Scan(const std::string& prefix) override {
    const Fault fault = BeginCall();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (FailsReads(fault)) {
      return UnavailableError();
    }
    std::vector<Row> found;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix);
         ++row) {
      found.push_back(row->second);
    }
    return found;
  }

  Result<CommitResult> Commit(const Transaction& transaction) override {
    const Fault fault = BeginCall();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (fault == Fault::kDown) {
      return UnavailableError();
    }
    ++commit_calls_;
    const CommitResult result = CommitLocked(transaction);
    if (fault == Fault::kReplyLost || fault == Fault::kWriteReplyLost) {
      return Error{ErrorKind::kReplyLost, "fake platform lost the reply", "read back"};
    }
    return result;
  }

  Result<std::optional<std::string>> ReadObject(const std::string& name) override {
    const Fault fault = BeginCall();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (FailsReads(fault)) {
      return UnavailableError();
    }
    const auto object = objects_.find(name);
    return object == objects_.end() ? std::optional<std::string>()
                                    : std::optional<std::string>(object->second);
  }

  Result<void> WriteObject(const std::string& name, const std::string& content) override {
    const Fault fault = BeginCall();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (fault == Fault::kDown) {
      return UnavailableError();
    }
    objects_[name] = content;
    if (fault == Fault::kReplyLost) {
      return Error{ErrorKind::kReplyLost, "fake platform lost the reply", "write again"};
    }
    return Success();
  }

  Result<VmList> ListVms() override {
    const Fault fault = BeginCall();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (FailsReads(fault)) {
      return UnavailableError();
    }
    return vms_;
  }

 private:
  static Error UnavailableError() {
    return {ErrorKind::kUnavailable, "fake platform is down", "retry later"};
  }

  static bool FailsReads(Fault fault) {
    return fault == Fault::kDown || fault == Fault::kReplyLost;
  }

  /// Returns the fault for a call. kSlow delays the call and then counts as kNone.
  Fault BeginCall() {
    constexpr Milliseconds kDelay{50};
    Fault fault = Fault::kNone;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      fault = fault_;
    }
    if (fault == Fault::kSlow) {
      std::this_thread::sleep_for(kDelay);
      return Fault::kNone;
    }
    return fault;
  }

  CommitResult CommitLocked(const Transaction& transaction) {
    for (const Condition& condition : transaction.conditions) {
      const auto row = rows_.find(condition.key);
      const std::int64_t version = row == rows_.end() ? 0 : row->second.version;
      if (version != condition.version) {
        return {false, condition.key,
                row == rows_.end() ? std::nullopt : std::optional<Row>(row->second)};
      }
    }
    for (const Write& write : transaction.writes) {
      if (!write.value) {
        rows_.erase(write.key);
        continue;
      }
      Row& row = rows_[write.key];
      row = {write.key, *write.value, row.version + 1};
    }
    return {true, "", std::nullopt};
  }

  std::mutex mutex_;
  Fault fault_ = Fault::kNone;
  int commit_calls_ = 0;
  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  VmList vms_;
};

}  // namespace rattanramp::store
