#include "core/server_speed.h"

#include <algorithm>
#include <cmath>

namespace rattanramp::core {
namespace {

// Logarithm by which the mean of about ten answers differs from its true value by chance, as the
// work of single requests varies by half of its mean. Only what exceeds it counts as a difference.
constexpr double kLogNoise = 0.2;

// Samples and difference from which a measurement is reported.
constexpr double kMinReportedSamples = 3;
constexpr double kMinReportedSlowness = 1.3;

// Largest number of samples that all peers together count as: no more than the own ones, since a
// peer that is slow itself measures its own delay.
constexpr double kMaxPeerSamples = kMaxSpeedSamples;

void Merge(ServerSpeed& speed, double log_slowness, double samples, double max_samples,
           TimePoint now) {
  const double kept = std::min(CurrentSamples(speed, now), max_samples - samples);
  const double total = kept + samples;
  speed.log_slowness = (speed.log_slowness * kept + log_slowness * samples) / total;
  speed.samples = total;
  speed.updated = now;
}

}  // namespace

void RecordAnswerTime(ServerSpeed& speed, Duration actual, Duration expected, TimePoint now) {
  if (actual <= Duration::zero() || expected <= Duration::zero()) {
    return;
  }
  const double ratio = std::clamp(ToMs(actual) / ToMs(expected), kMinSlowness, kMaxSlowness);
  Merge(speed, std::log(ratio), 1, kMaxSpeedSamples, now);
}

void RecordPeerSpeed(ServerSpeed& peers, const SpeedReport& report, TimePoint now) {
  const double age = std::max(0.0, ToMs(report.age)) / ToMs(kSpeedLifetime);
  const double samples = std::min(report.samples, kMaxSpeedSamples) * std::exp(-age);
  if (!(report.slowness >= kMinSlowness && report.slowness <= kMaxSlowness) || !(samples > 0)) {
    return;
  }
  Merge(peers, std::log(report.slowness), samples, kMaxPeerSamples, now);
}

double CurrentSamples(const ServerSpeed& speed, TimePoint now) {
  if (speed.samples <= 0) {
    return 0;
  }
  const double age = std::max(0.0, ToMs(now - speed.updated)) / ToMs(kSpeedLifetime);
  return speed.samples * std::exp(-age);
}

double Slowness(const ServerSpeed& own, const ServerSpeed& peers, TimePoint now) {
  const double own_samples = CurrentSamples(own, now);
  const double peer_samples = CurrentSamples(peers, now);
  const double mean = (own.log_slowness * own_samples + peers.log_slowness * peer_samples) /
                      (own_samples + peer_samples + kPriorSamples);
  return std::exp(std::copysign(std::max(0.0, std::abs(mean) - kLogNoise), mean));
}

bool IsSpeedNews(const ServerSpeed& own, TimePoint now) {
  return CurrentSamples(own, now) >= kMinReportedSamples &&
         std::abs(own.log_slowness) >= std::log(kMinReportedSlowness);
}

}  // namespace rattanramp::core
