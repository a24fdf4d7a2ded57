// Asynchronous interface to the platform's table service for programs with one event loop.
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
  /// Version of the last write to this row. Versions increase with each write to any row.
  std::int64_t version = 0;
  bool is_removed = false;
};

struct TableRows {
  std::vector<TableRow> rows;
  /// All changes up to this version are in the rows. Some rows may be newer.
  std::int64_t version = 0;
  /// The service's steady clock at the time of the response, in ms; 0 if the response has none.
  std::int64_t clock_ms = 0;
  /// Number of the service's history. It rises when the service returns from an older copy, after
  /// which versions are given out again; 0 also if the response has none.
  std::int64_t era = 0;
};

/// Runs one call at a time. The handler is called once on the event loop, never before the call
/// returns. Errors of all calls: kUnavailable and kOverloaded (nothing was changed), kReplyLost (a
/// write may still take effect), kProtocol (the response cannot be decoded).
class AsyncTable {
 public:
  using RowsHandler = std::function<void(Result<TableRows>)>;
  using DoneHandler = std::function<void(Result<void>)>;

  virtual ~AsyncTable() = default;
  /// Reads all rows of a table.
  virtual void ReadAll(std::string_view table, RowsHandler handler) = 0;
  /// Returns the rows that changed after version `after`, as soon as there is one, or no rows once
  /// `wait` has passed. Further error: kNotFound (the service no longer keeps changes that old).
  virtual void WaitForChanges(std::string_view table, std::int64_t after, Milliseconds wait,
                              RowsHandler handler) = 0;
  virtual void Write(std::string_view table, std::string_view key, std::string_view value,
                     DoneHandler handler) = 0;
  /// Writes a row only if its version is `expected_version`; with 0, only if the row does not
  /// exist. Further error: kConflict.
  virtual void WriteIf(std::string_view table, std::string_view key, std::string_view value,
                       std::int64_t expected_version, DoneHandler handler) = 0;
  virtual void Remove(std::string_view table, std::string_view key, DoneHandler handler) = 0;
  /// Aborts the call in progress without calling its handler.
  virtual void Cancel() = 0;
};

}  // namespace rattanramp::store
