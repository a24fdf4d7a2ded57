#include "agent/monitor.h"

#include <algorithm>
#include <utility>

namespace rattanramp::agent {
namespace {

/// Interval between load requests. A restarted engine must be detected well within a lease.
constexpr Milliseconds kLoadPeriod{100};
constexpr Milliseconds kEventPeriod{200};

}  // namespace

Monitor::Monitor(UpstreamPort& upstream, Callbacks callbacks)
    : upstream_(upstream), callbacks_(std::move(callbacks)) {}

Monitor::~Monitor() { Stop(); }

void Monitor::Start() {
  load_thread_ = std::thread([this] { LoadLoop(); });
  event_thread_ = std::thread([this] { EventLoop(); });
}

void Monitor::Stop() {
  stopping_.store(true);
  if (load_thread_.joinable()) {
    load_thread_.join();
  }
  if (event_thread_.joinable()) {
    event_thread_.join();
  }
}

void Monitor::LoadLoop() {
  std::int64_t completed_clean_up = 0;
  while (!stopping_.load()) {
    const std::int64_t requested = requested_clean_up_.load();
    if (requested != completed_clean_up && upstream_.CancelAll()) {
      completed_clean_up = requested;
    }
    callbacks_.on_load(upstream_.Load(), completed_clean_up);
    std::this_thread::sleep_for(kLoadPeriod);
  }
}

void Monitor::EventLoop() {
  std::int64_t incarnation = 0;
  std::int64_t after = 0;
  while (!stopping_.load()) {
    Result<CacheEvents> events = upstream_.Events(after);
    if (events) {
      if (events.value().incarnation != incarnation) {
        const bool restarted = incarnation != 0;
        incarnation = events.value().incarnation;
        after = 0;
        if (restarted) {
          // The request used a sequence number of the earlier incarnation, so events can be
          // missing. It is repeated from 0.
          continue;
        }
      }
      for (const CacheEvent& event : events.value().events) {
        after = std::max(after, event.sequence);
      }
      if (!events.value().events.empty()) {
        callbacks_.on_events(std::move(events.value()));
      }
    }
    std::this_thread::sleep_for(kEventPeriod);
  }
}

}  // namespace rattanramp::agent
