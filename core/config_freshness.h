// Decides whether the configuration that is in force may still be used to admit callers by their
// keys. A key that the operator has taken away must not be used later than a limit after that, also
// where the store's answers no longer arrive. A process therefore keeps the latest time at which
// its version is known to have been the newest. A key that was taken away after that time was in
// force then, so that requests may use it for the length of the limit.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "core/caller_keys.h"
#include "core/store_position.h"

namespace rattanramp::core {

/// The store has shown a row of the configuration to be the newest.
struct ConfigEvidence {
  StorePosition row;
  /// The store's clock at that time, in ms; 0: none.
  std::int64_t clock_ms = 0;
};

/// Relation of the store's clock to the own time. `sent` is when a call was sent whose reply showed
/// `clock_ms`; the store's clock showed this value at `sent` or later.
struct StoreClockBound {
  std::optional<TimePoint> sent;
  std::int64_t clock_ms = 0;
};

/// Records the clock of a reply that arrived at `now` to a call that was sent at `sent`. A reply
/// that contradicts the bound, because the store's clock was set, replaces it.
void ObserveReply(StoreClockBound& bound, std::int64_t clock_ms, TimePoint sent, TimePoint now);

/// Own time at which, or after which, the store's clock showed `clock_ms`; empty while no reply has
/// arrived. The clocks may drift against each other by kMaxDrift.
std::optional<TimePoint> EarliestOwnTimeOf(const StoreClockBound& bound, std::int64_t clock_ms);

/// Largest difference of the rates of two clocks that is allowed for.
inline constexpr double kMaxDrift = 2e-4;

/// What a process knows about the newest configuration.
struct ConfigFreshness {
  /// Newest row up to which the configuration in force here is the newest; version 0: none.
  StorePosition own_row;
  /// own_row is known to have been the newest at this time, or later.
  std::optional<TimePoint> shown_at;
  /// The evidence that peers need: that of the newest version, as late as known.
  ConfigEvidence newest;
  StoreClockBound clock;
};

/// Records a reply of the store to a call that this process sent at `sent`.
void RecordOwnEvidence(ConfigFreshness& freshness, const ConfigEvidence& evidence, TimePoint sent,
                       TimePoint now);

/// Records evidence that a peer has reported, of its own or relayed. Evidence for another version
/// than the own one does not make the own one fresh. Evidence from the future is dropped.
void RecordPeerEvidence(ConfigFreshness& freshness, const ConfigEvidence& evidence, TimePoint now);

/// Called when a row comes into force.
void RecordRowInForce(ConfigFreshness& freshness, const StorePosition& row, TimePoint now);

/// Whether a request with a key that arrived at `arrived` may run. `limit`: latest use of a key
/// after the operator has taken it away.
bool IsFresh(const ConfigFreshness& freshness, TimePoint arrived, Duration limit);

enum class CallerVerdict {
  kRun,
  /// The request has no valid key.
  kNoKey,
  kUnknownKey,
  /// The configuration may be outdated, so that the key may have been added or taken away.
  kUncertain,
};

/// Decides about a request that arrived at `arrived`. limit: as in IsFresh; empty: keys have no
/// such limit, and the configuration is used whatever its age.
CallerVerdict JudgeCaller(CallerKind kind, const ConfigFreshness& freshness, TimePoint arrived,
                          std::optional<Duration> limit);

}  // namespace rattanramp::core
