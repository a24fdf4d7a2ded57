#include "standins/token_bucket.h"

#include <algorithm>

namespace rattanramp::standins {

TokenBucket::TokenBucket(double per_second, double burst)
    : per_second_(per_second), burst_(burst), tokens_(burst) {}

bool TokenBucket::TryTake(TimePoint now) {
  if (per_second_ <= 0) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  Refill(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Duration TokenBucket::Reserve(double amount, TimePoint now) {
  if (per_second_ <= 0) {
    return Duration::zero();
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  Refill(now);
  tokens_ -= amount;
  const double deficit = std::max(0.0, -tokens_);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(deficit / per_second_));
}

void TokenBucket::Refill(TimePoint now) {
  if (refilled_at_ != TimePoint()) {
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
  }
  refilled_at_ = now;
}

}  // namespace rattanramp::standins
