#include "core/prefill_handle.h"

#include <utility>

namespace rattanramp::core {

void Hold(PrefillHandle& handle, std::string source, TimePoint expires) {
  handle.state = HandleState::kHeld;
  handle.source = std::move(source);
  handle.expires = expires;
  handle.refusals = 0;
}

bool IsHeld(const PrefillHandle& handle, TimePoint now) {
  return handle.state == HandleState::kHeld && now < handle.expires;
}

std::string_view Offer(PrefillHandle& handle, TimePoint now) {
  handle.state = IsHeld(handle, now) ? HandleState::kOffered : HandleState::kGone;
  return handle.state == HandleState::kOffered ? std::string_view(handle.source)
                                               : std::string_view();
}

void RecordOffer(PrefillHandle& handle, OfferResult result) {
  if (handle.state != HandleState::kOffered) {
    return;
  }
  if (result == OfferResult::kRefused) {
    ++handle.refusals;
  }
  const bool is_kept = result == OfferResult::kNotReached ||
                       (result == OfferResult::kRefused && handle.refusals < kMaxHandleRefusals);
  handle.state = is_kept ? HandleState::kHeld : HandleState::kGone;
}

}  // namespace rattanramp::core
