// Limit on a rate of operations or bytes.
#pragma once

#include <mutex>

#include "base/clock.h"

namespace rattanramp::standins {

/// Safe from any thread.
class TokenBucket {
 public:
  /// Holds at most burst tokens and starts full. A rate of 0 means no limit.
  TokenBucket(double per_second, double burst);

  /// Takes one token if there is one.
  bool TryTake(TimePoint now);
  /// Takes the amount, in debt if need be. Returns how long the caller has to wait for it.
  Duration Reserve(double amount, TimePoint now);

 private:
  void Refill(TimePoint now);

  std::mutex mutex_;
  double per_second_;
  double burst_;
  double tokens_;
  TimePoint refilled_at_;
};

}  // namespace rattanramp::standins
