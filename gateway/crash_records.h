// Keeps the evidence against blocked causes in the platform's store, so that it outlives a restart
// of all gateways. Between running gateways the evidence travels in their load reports.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/shared_list.h"
#include "gateway/gateway_state.h"
#include "store/async_table.h"

namespace rattanramp::gateway {

class CrashRecords {
 public:
  CrashRecords(GatewayState& state, std::unique_ptr<store::AsyncTable> table,
               std::string table_name);

  /// Reads the table at the start and when this gateway takes over the writing, then writes the
  /// causes that have been blocked for a while and removes the rows of those that are not blocked
  /// any more. is_first: this gateway is the one that writes.
  void Tick(bool is_first);
  void Stop();

 private:
  void Read();
  void OnRows(const store::TableRows& rows);
  /// Starts the next write or removal, if there is one.
  void WriteNext(TimePoint now);
  void RecordResult(bool has_succeeded, const char* what, const std::string& error);

  GatewayState& state_;
  std::unique_ptr<store::AsyncTable> table_;
  std::string table_name_;
  core::StoreClock store_clock_;
  bool has_read_ = false;
  bool is_busy_ = false;
  bool is_stopped_ = false;
  bool is_failing_ = false;
  bool was_first_ = false;
  TimePoint next_call_;
  /// Time of the newest loss in the row of each cause.
  std::map<core::Cause, TimePoint> written_;
  /// Keys of rows without valid evidence.
  std::vector<std::string> outdated_;
};

}  // namespace rattanramp::gateway
