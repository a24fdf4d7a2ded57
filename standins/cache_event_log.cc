#include "standins/cache_event_log.h"

#include <algorithm>

namespace rattanramp::standins {
namespace {

constexpr std::size_t kMaxStoredEvents = 10'000;
constexpr std::size_t kMaxEventsPerResponse = 1'000;

}  // namespace

void CacheEventLog::Add(std::int64_t block_hash, bool stored, TimePoint now) {
  ++last_sequence_;
  if (is_lost_(random_)) {
    return;
  }
  events_.push_back({last_sequence_, block_hash, stored, now + delay_});
  if (events_.size() > kMaxStoredEvents) {
    events_.pop_front();
  }
}

std::vector<CacheEvent> CacheEventLog::After(std::int64_t after, TimePoint now) const {
  std::deque<CacheEvent>::const_iterator event =
      std::upper_bound(events_.begin(), events_.end(), after,
                       [](std::int64_t sequence, const CacheEvent& candidate) {
                         return sequence < candidate.sequence;
                       });
  std::vector<CacheEvent> visible;
  while (event != events_.end() && event->visible_at <= now &&
         visible.size() < kMaxEventsPerResponse) {
    visible.push_back(*event);
    ++event;
  }
  return visible;
}

}  // namespace rattanramp::standins
