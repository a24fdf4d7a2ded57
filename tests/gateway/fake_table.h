// In-memory table service for tests; answers on the event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "store/async_table.h"

namespace rattanramp::tests {

/// State shared by all clients of a test.
struct FakeTables {
  std::map<std::string, std::map<std::string, store::TableRow>> tables;
  std::int64_t version = 0;
  /// Number of returns from an older copy; 0: it is not stated.
  std::int64_t era = 0;
  std::int64_t clock_ms = 1'000;
  int calls = 0;
  /// Reads of all rows of the table "upstreams".
  int upstream_reads = 0;
  /// While set, all calls fail with this error and have no effect.
  std::optional<Error> failure;
  /// While set, waits for changes fail with kNotFound.
  bool loses_history = false;
  /// The next write takes effect, but is answered with kReplyLost.
  bool loses_next_reply = false;
  /// Unconditional writes that are refused from now on with kOverloaded.
  int refused_writes = 0;
  /// How long it takes until a failed call fails.
  Milliseconds failure_delay{0};
  /// While set, calls are not answered; they fail when their timeout has passed.
  bool is_silent = false;
  /// How long the answer to a removal takes.
  Milliseconds remove_delay{0};
  /// How long the answer to a read of all rows takes.
  Milliseconds read_delay{0};
};

class FakeTable final : public store::AsyncTable {
 public:
  FakeTable(asio::io_context& context, FakeTables& state)
      : context_(context), state_(state), timer_(context) {}

  void ReadAll(std::string_view table, RowsHandler handler) override {
    ++state_.calls;
    state_.upstream_reads += table == "upstreams" ? 1 : 0;
    if (state_.is_silent) {
      FailLater(std::move(handler), kCallTimeout, kNoAnswer);
      return;
    }
    if (state_.failure) {
      FailLater(std::move(handler), state_.failure_delay, *state_.failure);
      return;
    }
    timer_.expires_after(state_.read_delay);
    timer_.async_wait([handler = std::move(handler), rows = Rows(table),
                       is_active = is_active_](const std::error_code& error) {
      if (!error && *is_active) {
        handler(rows);
      }
    });
  }

  /// Answers at once if there are newer rows; otherwise checks again when the wait is over.
  void WaitForChanges(std::string_view table, std::int64_t after, Milliseconds wait,
                      RowsHandler handler) override {
    ++state_.calls;
    if (state_.is_silent) {
      FailLater(std::move(handler), wait + kLongPollMargin, kNoAnswer);
      return;
    }
    if (state_.failure) {
      FailLater(std::move(handler), state_.failure_delay, *state_.failure);
      return;
    }
    if (state_.loses_history) {
      Post([handler = std::move(handler)] {
        handler(Error{ErrorKind::kNotFound, "the history is gone", "read the whole table"});
      });
      return;
    }
    store::TableRows rows = NewRows(table, after);
    if (!rows.rows.empty()) {
      Post([handler = std::move(handler), rows = std::move(rows)] { handler(rows); });
      return;
    }
    timer_.expires_after(wait);
    timer_.async_wait([this, handler = std::move(handler), table = std::string(table), after,
                       is_active = is_active_](const std::error_code& error) {
      if (!error && *is_active) {
        handler(NewRows(table, after));
      }
    });
  }

  void Write(std::string_view table, std::string_view key, std::string_view value,
             DoneHandler handler) override {
    ++state_.calls;
    Done(std::move(handler),
         [this, table = std::string(table), key = std::string(key),
          value = std::string(value)]() -> Result<void> {
           if (state_.refused_writes > 0) {
             --state_.refused_writes;
             return Error{ErrorKind::kOverloaded, "too many writes", "send fewer requests"};
           }
           Put(table, key, value);
           return Success();
         });
  }

  void WriteIf(std::string_view table, std::string_view key, std::string_view value,
               std::int64_t expected_version, DoneHandler handler) override {
    ++state_.calls;
    Done(std::move(handler),
         [this, table = std::string(table), key = std::string(key), value = std::string(value),
          expected_version]() -> Result<void> {
           const auto& rows = state_.tables[table];
           const auto row = rows.find(key);
           if ((row == rows.end() ? 0 : row->second.version) != expected_version) {
             return Error{ErrorKind::kConflict, "row has changed", "read it again"};
           }
           Put(table, key, value);
           return Success();
         });
  }

  void Remove(std::string_view table, std::string_view key, DoneHandler handler) override {
    ++state_.calls;
    timer_.expires_after(state_.remove_delay);
    timer_.async_wait([this, handler = std::move(handler), table = std::string(table),
                       key = std::string(key),
                       is_active = is_active_](const std::error_code& error) mutable {
      if (error || !*is_active) {
        return;
      }
      Done(std::move(handler), [this, table, key] {
        state_.tables[table].erase(key);
        return Result<void>(Success());
      });
    });
  }

  void Cancel() override {
    *is_active_ = false;
    is_active_ = std::make_shared<bool>(true);
  }

  ~FakeTable() override { *is_active_ = false; }

 private:
  /// Those of the client of the users' store.
  static constexpr Milliseconds kCallTimeout{1'600};
  static constexpr Milliseconds kLongPollMargin{700};

  inline static const Error kNoAnswer{ErrorKind::kReplyLost, "no answer in time",
                                      "check the network path"};

  void FailLater(RowsHandler handler, Milliseconds delay, const Error& failure) {
    timer_.expires_after(delay);
    timer_.async_wait([handler = std::move(handler), failure,
                       is_active = is_active_](const std::error_code& error) {
      if (!error && *is_active) {
        handler(failure);
      }
    });
  }

  store::TableRows Rows(std::string_view table) {
    store::TableRows rows;
    rows.version = state_.version;
    rows.era = state_.era;
    rows.clock_ms = state_.clock_ms;
    for (const auto& [key, row] : state_.tables[std::string(table)]) {
      rows.rows.push_back(row);
    }
    return rows;
  }

  store::TableRows NewRows(std::string_view table, std::int64_t after) {
    store::TableRows rows = Rows(table);
    std::erase_if(rows.rows, [after](const store::TableRow& row) { return row.version <= after; });
    return rows;
  }

  void Put(const std::string& table, const std::string& key, const std::string& value) {
    state_.tables[table][key] = {key, value, ++state_.version, false};
  }

  template <typename Change>
  void Done(DoneHandler handler, Change change) {
    if (state_.failure) {
      Post([handler = std::move(handler), error = *state_.failure] { handler(error); });
      return;
    }
    Result<void> result = change();
    if (std::exchange(state_.loses_next_reply, false)) {
      result = Error{ErrorKind::kReplyLost, "no answer", "it may still take effect"};
    }
    Post([handler = std::move(handler), result = std::move(result)] { handler(result); });
  }

  template <typename Work>
  void Post(Work work) {
    asio::post(context_, [work = std::move(work), is_active = is_active_] {
      if (*is_active) {
        work();
      }
    });
  }

  asio::io_context& context_;
  FakeTables& state_;
  asio::steady_timer timer_;
  std::shared_ptr<bool> is_active_ = std::make_shared<bool>(true);
};

}  // namespace rattanramp::tests
