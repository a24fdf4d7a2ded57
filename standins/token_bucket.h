// Token bucket that limits a rate of operations or bytes.
#pragma once

#include <mutex>

#include "base/clock.h"

namespace rattanramp::standins {

/// Thread-safe.
class TokenBucket {
 public:
  /// The bucket holds at most burst tokens and is full at first. A rate of 0 means no limit.
  TokenBucket(double per_second, double burst);

  /// Takes one token. Returns false if less than one token is available.
  bool TryTake(TimePoint now);
  /// Takes the amount even if the number of tokens becomes negative. Returns how long the caller
  /// must wait until it is 0 again.
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
