// Upstream crashes per request fingerprint. Reports from several processes are merged by keeping
// the latest time, so that the order and repetition of reports do not affect the result. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

/// Either a crash of an upstream while a request with the fingerprint ran there, or the time at
/// which such a request completed.
struct CrashRecord {
  std::int64_t fingerprint = 0;
  std::string upstream;
  std::int64_t upstream_incarnation = 0;
  TimePoint at;
  /// True if a request with the fingerprint completed at this time; earlier crashes no longer
  /// count.
  bool cleared = false;
};

struct CrashHistory {
  /// Time of the latest crash by upstream and incarnation.
  std::map<std::pair<std::string, std::int64_t>, TimePoint> crashes;
  std::optional<CrashRecord> cleared;
};

struct CrashTable {
  std::map<std::int64_t, CrashHistory> by_fingerprint;
};

/// Adds a record from this process or from a peer.
void MergeCrash(CrashTable& table, const CrashRecord& record);

/// Number of crashes that count against a fingerprint: those after its last completed run and less
/// than `ttl` ago.
std::int32_t CrashCountOf(const CrashTable& table, std::int64_t fingerprint, Duration ttl,
                          TimePoint now);

/// Records that a request with the fingerprint completed, so that earlier crashes no longer count.
/// Does nothing for a fingerprint without crashes.
void ClearCrashes(CrashTable& table, std::int64_t fingerprint, const std::string& upstream,
                  std::int64_t upstream_incarnation, TimePoint now);

/// All records, for reports to peers.
std::vector<CrashRecord> CrashRecords(const CrashTable& table);

/// Removes records that are at least `ttl` old.
void EvictOldCrashes(CrashTable& table, Duration ttl, TimePoint now);

}  // namespace rattanramp::core
