// Limits the extra arrivals (retries and other repeated requests) that one process may send to a
// service, so that all processes together stay within the service's bound.
#pragma once

#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace rattanramp::core {

/// Bound on the arrivals beyond the first of each request, over all processes and in any window of
/// the given length: at most ratio * requests + slack.
struct RetryBound {
  double ratio = 0;
  double slack = 0;
  Duration window = Milliseconds(10'000);
};

/// Requests and extra arrivals of one service, counted in buckets of the window.
struct RetryWindow {
  struct Bucket {
    TimePoint start;
    std::int64_t requests = 0;
    std::int64_t extras = 0;
  };
  std::deque<Bucket> buckets;
};

/// Share of the bound that is used. The margin keeps windows that start between two bucket edges
/// within the bound too.
inline constexpr double kUsedShareOfBound = 0.85;

void CountRequest(RetryWindow& window, const RetryBound& bound, TimePoint now);

/// Counts one extra arrival if this process may still send one; otherwise returns false. The
/// process may use slack / processes of the slack, plus the ratio times its own requests.
bool TakeExtra(RetryWindow& window, const RetryBound& bound, std::int64_t processes, TimePoint now);

}  // namespace rattanramp::core
