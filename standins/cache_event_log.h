// Simulated cache events of an engine. Each event becomes visible after a delay, and a share of the
// events is lost.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "base/clock.h"

namespace rattanramp::standins {

struct CacheEvent {
  std::int64_t sequence = 0;
  std::int64_t block_hash = 0;
  bool stored = false;
  TimePoint visible_at;
};

/// Not thread-safe.
class CacheEventLog {
 public:
  /// gap_percent is the percentage of events that are lost. A lost event still uses a sequence
  /// number, so that readers can detect the gap.
  CacheEventLog(Duration delay, double gap_percent, std::uint64_t seed)
      : delay_(delay), is_lost_(gap_percent / 100), random_(seed) {}

  void Add(std::int64_t block_hash, bool stored, TimePoint now);
  /// Returns at most 1,000 visible events whose sequence number is greater than after, oldest
  /// first.
  std::vector<CacheEvent> After(std::int64_t after, TimePoint now) const;

 private:
  Duration delay_;
  std::bernoulli_distribution is_lost_;
  std::mt19937_64 random_;
  std::int64_t last_sequence_ = 0;
  std::deque<CacheEvent> events_;
};

}  // namespace rattanramp::standins
