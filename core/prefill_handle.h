// A prompt that a prefill upstream has read and keeps for one decode upstream to take.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace rattanramp::core {

enum class HandleState {
  /// There is no prompt to take: none was read, it was taken, or it may have been taken.
  kGone,
  /// Kept for the next decode upstream.
  kHeld,
  /// The current decode attempt names it.
  kOffered,
};

/// How an attempt ended that named a handle.
enum class OfferResult {
  /// No byte was sent, or another process received the request.
  kNotReached,
  /// The decode upstream stated that it has not run the request: it is full, or the handle is gone.
  kRefused,
  /// The decode upstream streams, so it has taken the prompt.
  kTaken,
  /// The attempt ended after it was sent and before an answer.
  kBroken,
};

struct PrefillHandle {
  HandleState state = HandleState::kGone;
  /// Where a decode upstream finds the prompt.
  std::string source;
  TimePoint expires;
  std::int64_t refusals = 0;
};

/// Refusals after which the handle counts as gone: a full upstream refuses before it takes a
/// prompt, but a handle that is gone is refused by all.
inline constexpr std::int64_t kMaxHandleRefusals = 2;

/// Replaces the handle by that of a prefill that has ended; it may be taken until `expires`.
void Hold(PrefillHandle& handle, std::string source, TimePoint expires);

/// Whether the next decode upstream can take the prompt.
bool IsHeld(const PrefillHandle& handle, TimePoint now);

/// The source for the next decode attempt, which must end with RecordOffer. Empty: the prompt must
/// be read again.
std::string_view Offer(PrefillHandle& handle, TimePoint now);

/// Records how the attempt ended for which Offer returned the source. No effect if it returned
/// none.
void RecordOffer(PrefillHandle& handle, OfferResult result);

}  // namespace rattanramp::core
