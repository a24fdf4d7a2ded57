#include "entry/crash_tracker.h"

#include <algorithm>

#include "base/hash.h"

namespace rattanramp::entry {
namespace {

/// Bounds the memory use during a burst of crashes. The least recently updated fingerprint is
/// evicted first.
constexpr std::size_t kMaxFingerprints = 10'000;

}  // namespace

std::int64_t Fingerprint(std::string_view service, std::string_view model, std::string_view body) {
  return SignedHash64(body, Hash64(model, Hash64(service)));
}

std::vector<wire::CrashCount> CrashTracker::Merge(const std::vector<wire::CrashCount>& crashes,
                                                  TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<wire::CrashCount> changed;
  for (const wire::CrashCount& crash : crashes) {
    if (MergeOne(crash, now)) {
      changed.push_back(crash);
    }
  }
  EvictOldest();
  return changed;
}

bool CrashTracker::MergeOne(const wire::CrashCount& crash, TimePoint now) {
  const TimePoint event_time = now - Milliseconds(std::max<std::int64_t>(0, crash.age_ms));
  if (crash.cleared) {
    const auto found = records_.find(crash.fingerprint);
    if (found == records_.end() || found->second.cleared_at >= event_time) {
      return false;
    }
    FingerprintRecord& record = found->second;
    record.cleared_at = event_time;
    record.updated_at = now;
    return std::erase_if(record.crashes,
                         [event_time](const auto& item) { return item.second <= event_time; }) > 0;
  }
  const auto [found, inserted] = records_.try_emplace(crash.fingerprint);
  FingerprintRecord& record = found->second;
  record.updated_at = now;
  if (event_time <= record.cleared_at) {
    return false;
  }
  return record.crashes.try_emplace({crash.upstream, crash.upstream_incarnation}, event_time)
      .second;
}

std::int32_t CrashTracker::CrashCount(std::int64_t fingerprint, Duration ttl, TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) {
    return 0;
  }
  return static_cast<std::int32_t>(
      std::count_if(found->second.crashes.begin(), found->second.crashes.end(),
                    [ttl, now](const auto& item) { return now - item.second < ttl; }));
}

std::size_t CrashTracker::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return records_.size();
}

void CrashTracker::EvictOldest() {
  while (records_.size() > kMaxFingerprints) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(),
        [](const auto& a, const auto& b) { return a.second.updated_at < b.second.updated_at; }));
  }
}

}  // namespace rattanramp::entry
