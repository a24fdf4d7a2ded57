// Crashes of upstreams per request fingerprint. Reports from several processes are merged by
// maximum, so that order and repetition do not matter. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

/// One crash of an upstream while a fingerprint ran there, or the time at which the fingerprint
/// completed a run.
struct CrashRecord {
  std::int64_t fingerprint = 0;
  std::string upstream;
  std::int64_t upstream_incarnation = 0;
  TimePoint at;
  /// The fingerprint completed a run at this time; earlier crashes no longer count.
  bool cleared = false;
};

struct CrashHistory {
  /// Latest crash by upstream and its incarnation.
  std::map<std::pair<std::string, std::int64_t>, TimePoint> crashes;
  std::optional<CrashRecord> cleared;
};

struct CrashTable {
  std::map<std::int64_t, CrashHistory> by_fingerprint;
};

/// Adds a record of this process or of a peer.
void MergeCrash(CrashTable& table, const CrashRecord& record);

/// Crashes that count against a fingerprint: after its last completed run and within ttl.
std::int32_t CrashCountOf(const CrashTable& table, std::int64_t fingerprint, Duration ttl,
                          TimePoint now);

/// The fingerprint completed a run. Does nothing for a fingerprint without crashes.
void ClearCrashes(CrashTable& table, std::int64_t fingerprint, const std::string& upstream,
                  std::int64_t upstream_incarnation, TimePoint now);

/// All records, for reports to peers.
std::vector<CrashRecord> CrashRecords(const CrashTable& table);

/// Removes records older than ttl.
void EvictOldCrashes(CrashTable& table, Duration ttl, TimePoint now);

}  // namespace rattanramp::core
