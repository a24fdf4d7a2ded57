#include "gateway/store_poller.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Bounds of the exponential back-off after failed calls. The platform charges for refused calls
// too.
constexpr Milliseconds kInitialBackOff{100};
constexpr Milliseconds kMaxBackOff{400};
constexpr std::int64_t kMaxDoublings = 4;

}  // namespace

StorePoller::StorePoller(asio::io_context& context, std::unique_ptr<store::AsyncTable> client)
    : table(std::move(client)), timer(context) {}

void ScheduleNext(StorePoller& poller, Duration wait, std::function<void()> next) {
  poller.is_waiting = true;
  poller.timer.expires_after(wait);
  poller.timer.async_wait([&poller, schedule = ++poller.schedule,
                           next = std::move(next)](const std::error_code& error) {
    if (!error && !poller.is_stopped && schedule == poller.schedule) {
      poller.is_waiting = false;
      next();
    }
  });
}

void CancelSchedule(StorePoller& poller) {
  ++poller.schedule;
  poller.is_waiting = false;
  poller.timer.cancel();
}

Duration RecordFailure(StorePoller& poller, const char* what, const Error& error) {
  if (!std::exchange(poller.is_failing, true)) {
    Log(LogLevel::kWarning, "dependency_lost", {{"what", what}, {"error", error.message}});
  }
  return BackOff(poller.failures++);
}

void RecordSuccess(StorePoller& poller, const char* what) {
  if (std::exchange(poller.is_failing, false)) {
    Log(LogLevel::kInfo, "dependency_regained",
        {{"what", what}, {"failed_calls", poller.failures}});
  }
  poller.failures = 0;
}

Duration BackOff(std::int64_t failures) {
  return std::min<Duration>(kMaxBackOff,
                            kInitialBackOff * (1 << std::min(failures, kMaxDoublings)));
}

void StopPolling(StorePoller& poller) {
  poller.is_stopped = true;
  CancelSchedule(poller);
  poller.table->Cancel();
}

}  // namespace rattanramp::gateway
