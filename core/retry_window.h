// One process's part of the number of extra arrivals that a service may get from the whole fleet.
#pragma once

#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace rattanramp::core {

/// Bound on arrivals beyond the first of each request, over all processes, in any window.
struct RetryBound {
  double ratio = 0;
  double slack = 0;
  Duration window = Milliseconds(10'000);
};

/// Counts of one service in buckets of the window.
struct RetryWindow {
  struct Bucket {
    TimePoint start;
    std::int64_t requests = 0;
    std::int64_t extras = 0;
  };
  std::deque<Bucket> buckets;
};

/// Share of the bound that is used, so that windows that slide between the buckets keep it too.
inline constexpr double kUsedShareOfBound = 0.85;

void CountRequest(RetryWindow& window, const RetryBound& bound, TimePoint now);

/// Takes one extra arrival. Returns false when this process's part is used up: its part of the
/// slack is slack / processes; the ratio applies to its own requests.
bool TakeExtra(RetryWindow& window, const RetryBound& bound, std::int64_t processes, TimePoint now);

}  // namespace rattanramp::core
