// One series of calls to the platform's table service: its connection, the pauses between calls and
// the back-off after failures.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/result.h"
#include "store/async_table.h"

namespace rattanramp::gateway {

struct StorePoller {
  StorePoller(asio::io_context& context, std::unique_ptr<store::AsyncTable> client);

  std::unique_ptr<store::AsyncTable> table;
  asio::steady_timer timer;
  bool is_failing = false;
  /// The timer runs until the next call; no call is in progress.
  bool is_waiting = false;
  bool is_stopped = false;
  /// Raised with each schedule: a timer that has expired can't be cancelled any more.
  std::uint64_t schedule = 0;
  std::int64_t failures = 0;
};

/// Runs `next` once `wait` has passed, unless the poller is stopped before. Replaces an earlier
/// schedule.
void ScheduleNext(StorePoller& poller, Duration wait, std::function<void()> next);

/// Drops the schedule.
void CancelSchedule(StorePoller& poller);

/// Counts a failed call and logs the first of a series. Returns the wait before the next call.
Duration RecordFailure(StorePoller& poller, const char* what, const Error& error);
void RecordSuccess(StorePoller& poller, const char* what);

/// Wait before the next call after `failures` earlier ones of a series have failed.
Duration BackOff(std::int64_t failures);

/// Ends the call in progress and the schedule.
void StopPolling(StorePoller& poller);

}  // namespace rattanramp::gateway
