#include "core/retry_window.h"

#include <algorithm>

namespace rattanramp::core {
namespace {

// Slices of a window; more make the count sharper at its edges and cost memory.
constexpr int kSlices = 20;

void Advance(RetryWindow& window, const RetryBound& bound, TimePoint now) {
  const Duration slice = bound.window / kSlices;
  while (!window.slices.empty() && now - window.slices.front().start > bound.window + slice) {
    window.slices.pop_front();
  }
  if (window.slices.empty() || now - window.slices.back().start >= slice) {
    window.slices.push_back({now, 0, 0});
  }
}

}  // namespace

void CountRequest(RetryWindow& window, const RetryBound& bound, TimePoint now) {
  Advance(window, bound, now);
  ++window.slices.back().requests;
}

bool TakeExtra(RetryWindow& window, const RetryBound& bound, std::int64_t processes,
               TimePoint now) {
  Advance(window, bound, now);
  std::int64_t requests = 0;
  std::int64_t extras = 0;
  for (const RetryWindow::Slice& slice : window.slices) {
    requests += slice.requests;
    extras += slice.extras;
  }
  const double part = bound.slack / static_cast<double>(std::max<std::int64_t>(1, processes));
  const double allowed = kUsedShareOfBound * (bound.ratio * static_cast<double>(requests) + part);
  if (static_cast<double>(extras + 1) > allowed) {
    return false;
  }
  ++window.slices.back().extras;
  return true;
}

}  // namespace rattanramp::core
