// Counts the upstream crashes per request fingerprint, as reported by agents and peer entries.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::entry {

/// Returns a hash of service, model and body that identifies a repeated request.
std::int64_t Fingerprint(std::string_view service, std::string_view model, std::string_view body);

/// Thread-safe. Each upstream incarnation that crashed counts once per fingerprint.
class CrashTracker {
 public:
  /// Merges reported crashes. Returns those that changed the counts; only these need to be
  /// forwarded.
  std::vector<wire::CrashCount> Merge(const std::vector<wire::CrashCount>& crashes, TimePoint now);

  /// Returns the number of crashes younger than ttl.
  std::int32_t CrashCount(std::int64_t fingerprint, Duration ttl, TimePoint now) const;

  std::size_t size() const;

 private:
  struct FingerprintRecord {
    /// Time of the crash by upstream id and incarnation.
    std::map<std::pair<std::string, std::int64_t>, TimePoint> crashes;
    /// Crashes up to this time do not count, because the request has completed a run since.
    TimePoint cleared_at;
    TimePoint updated_at;
  };

  bool MergeOne(const wire::CrashCount& crash, TimePoint now);
  void EvictOldest();

  mutable std::mutex mutex_;
  std::map<std::int64_t, FingerprintRecord> records_;
};

}  // namespace rattanramp::entry
