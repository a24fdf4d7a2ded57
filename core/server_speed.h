// Speed of upstreams against their equals: those of the same service and stage. It follows from the
// time that answers take which requests ask for anyway. Pure functions.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace rattanramp::core {

/// Moving average of how much longer answers of one upstream took than was expected. The average is
/// taken over logarithms, so that one long answer weighs as much as one short one.
struct ServerSpeed {
  double log_slowness = 0;
  /// Answers that the average rests on, at most kMaxSpeedSamples; they fade with time.
  double samples = 0;
  TimePoint updated;
};

/// About the last eight answers count, so that ten show a slow upstream although what is chance is
/// taken off.
inline constexpr double kMaxSpeedSamples = 8;

/// Time in which a measurement that is not renewed loses two thirds of its weight. An upstream that
/// gets little work because it was slow is then tried again.
inline constexpr Milliseconds kSpeedLifetime{2'000};

/// Samples that an assumed slowness of 1 counts as, so that a few answers prove little.
inline constexpr double kPriorSamples = 2;

/// Limits of the slowness of one answer; an answer that was waited for in vain has no upper limit.
inline constexpr double kMinSlowness = 0.1;
inline constexpr double kMaxSlowness = 20;

/// Records one answer. Durations that are not above zero are ignored.
void RecordAnswerTime(ServerSpeed& speed, Duration actual, Duration expected, TimePoint now);

/// What a peer has measured.
struct SpeedReport {
  double slowness = 1;
  double samples = 0;
  Duration age{};
};

/// Merges what a peer has measured; a report of no samples, or one outside the limits, is ignored.
void RecordPeerSpeed(ServerSpeed& peers, const SpeedReport& report, TimePoint now);

/// Samples left after fading.
double CurrentSamples(const ServerSpeed& speed, TimePoint now);

/// Time that work takes at the upstream, relative to its equals, from own and peers' measurements;
/// 1 if nothing is known.
double Slowness(const ServerSpeed& own, const ServerSpeed& peers, TimePoint now);

/// Whether a measurement is worth a report to peers: enough answers, and a clear difference.
bool IsSpeedNews(const ServerSpeed& own, TimePoint now);

}  // namespace rattanramp::core
