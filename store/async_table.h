// Port to the platform's table service for programs on one event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace rattanramp::store {

struct TableRow {
  std::string key;
  std::string value;
  /// Grows with each write of any row.
  std::int64_t version = 0;
  bool is_removed = false;
};

struct TableRows {
  std::vector<TableRow> rows;
  /// Newest version of the service at the time of the answer.
  std::int64_t version = 0;
  /// The service's steady clock at the time of the answer, in ms; 0 when it was not stated.
  std::int64_t clock_ms = 0;
};

/// One call at a time; the handler is called once on the event loop, never before the call returns.
/// Errors of all calls: kUnavailable and kOverloaded (nothing was done), kReplyLost (a write may
/// still take effect), kProtocol (the answer cannot be read).
class AsyncTable {
 public:
  using RowsHandler = std::function<void(Result<TableRows>)>;
  using DoneHandler = std::function<void(Result<void>)>;

  virtual ~AsyncTable() = default;
  /// All rows of a table.
  virtual void ReadAll(std::string_view table, RowsHandler handler) = 0;
  /// Rows that changed after a version, as soon as there is one, or none after `wait`.
  /// Further error: kNotFound (the service no longer has the history).
  virtual void WaitForChanges(std::string_view table, std::int64_t after, Milliseconds wait,
                              RowsHandler handler) = 0;
  virtual void Write(std::string_view table, std::string_view key, std::string_view value,
                     DoneHandler handler) = 0;
  /// Writes a row only if it still has a version; 0: if it does not exist. Further error:
  /// kConflict.
  virtual void WriteIf(std::string_view table, std::string_view key, std::string_view value,
                       std::int64_t expected_version, DoneHandler handler) = 0;
  virtual void Remove(std::string_view table, std::string_view key, DoneHandler handler) = 0;
  /// Drops the call that is in progress without calling its handler.
  virtual void Cancel() = 0;
};

}  // namespace rattanramp::store
