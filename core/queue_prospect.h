// Decides which requests that can't be on time any more are worth keeping in a queue, and when
// callers that are refused should come back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "core/placement.h"

namespace rattanramp::core {

/// Requests that one queue has received and started lately.
struct QueueFlow {
  double arrivals_per_s = 0;
  double starts_per_s = 0;
  TimePoint recorded;
};

/// Time for which arrivals and starts count: a few times what a request takes, so that a burst
/// shows within half a second.
inline constexpr Duration kFlowTime = Milliseconds(400);

void RecordArrival(QueueFlow& flow, TimePoint now);
void RecordStart(QueueFlow& flow, TimePoint now);

/// Requests that start before a late one.
struct QueueAhead {
  std::size_t on_time = 0;
  std::size_t late = 0;
};

/// How long a late request waits for its start if arrivals and starts go on as lately. Empty: it
/// never starts, because requests that can be on time take all the room. Zero if that is not known.
std::optional<Duration> ExpectedLateWait(const QueueFlow& flow, const QueueAhead& ahead,
                                         TimePoint now);

/// Whether a late generation should be refused now, while its caller can come back in time, rather
/// than wait: others that can be on time wait too, and the whole queue takes longer than `planned`,
/// the time from the start of a generation to its first event.
bool IsLateGenerationHopeless(const WaitingTokens& waiting, double expected_wait_ms,
                              Duration planned);

/// Callers wait at most this share of the time that they have left before they come back.
inline constexpr double kMaxReturnShare = 1.0 / 3;

/// When a caller that is refused in a burst should come back: as late as it can, so that the burst
/// may be over, and spread out, so that the returns are no burst themselves. left: time until the
/// caller gives up. random_fraction: uniform in 0 to 1.
Milliseconds RetryAfterBurst(Duration left, double random_fraction);

/// Longest time that callers of a route have lately stated to wait.
struct StatedPatience {
  double longest_ms = 0;
};

/// Records a request. Returns whether its caller has probably sent it before: it states much less
/// time than the others, because earlier attempts have used the rest.
bool RecordPatience(StatedPatience& patience, double stated_ms);

}  // namespace rattanramp::core
