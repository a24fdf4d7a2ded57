#include "core/retry_window.h"

#include <algorithm>

namespace rattanramp::core {
namespace {

// Number of buckets per window. More buckets make the count more exact at the edges of the window
// and use more memory.
constexpr int kBuckets = 20;

void AdvanceBuckets(RetryWindow& window, const RetryBound& bound, TimePoint now) {
  const Duration bucket_length = bound.window / kBuckets;
  while (!window.buckets.empty() &&
         now - window.buckets.front().start > bound.window + bucket_length) {
    window.buckets.pop_front();
  }
  if (window.buckets.empty() || now - window.buckets.back().start >= bucket_length) {
    window.buckets.push_back({now, 0, 0});
  }
}

}  // namespace

void CountRequest(RetryWindow& window, const RetryBound& bound, TimePoint now) {
  AdvanceBuckets(window, bound, now);
  ++window.buckets.back().requests;
}

bool TakeExtra(RetryWindow& window, const RetryBound& bound, std::int64_t processes,
               TimePoint now) {
  AdvanceBuckets(window, bound, now);
  std::int64_t requests = 0;
  std::int64_t extras = 0;
  for (const RetryWindow::Bucket& bucket : window.buckets) {
    requests += bucket.requests;
    extras += bucket.extras;
  }
  const double slack_share =
      bound.slack / static_cast<double>(std::max<std::int64_t>(1, processes));
  const double allowed =
      kUsedShareOfBound * (bound.ratio * static_cast<double>(requests) + slack_share);
  if (static_cast<double>(extras + 1) > allowed) {
    return false;
  }
  ++window.buckets.back().extras;
  return true;
}

}  // namespace rattanramp::core
