#include "entry/crash_tracker.h"

#include <algorithm>

#include "base/hash.h"

namespace rattanramp::entry {
namespace {

/// Bounds the memory of a burst of crashes; the least recently touched fingerprint goes first.
constexpr std::size_t kMaxSuspects = 10'000;

}  // namespace

std::int64_t Fingerprint(std::string_view service, std::string_view model, std::string_view body) {
  return SignedHash64(body, Hash64(model, Hash64(service)));
}

std::vector<wire::CrashCount> CrashTracker::Merge(const std::vector<wire::CrashCount>& crashes,
                                                  TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<wire::CrashCount> news;
  for (const wire::CrashCount& crash : crashes) {
    if (MergeOne(crash, now)) {
      news.push_back(crash);
    }
  }
  Trim();
  return news;
}

bool CrashTracker::MergeOne(const wire::CrashCount& crash, TimePoint now) {
  const TimePoint at = now - Milliseconds(std::max<std::int64_t>(0, crash.age_ms));
  if (crash.cleared) {
    const auto found = suspects_.find(crash.fingerprint);
    if (found == suspects_.end() || found->second.cleared_at >= at) {
      return false;
    }
    Suspect& suspect = found->second;
    suspect.cleared_at = at;
    suspect.touched = now;
    return std::erase_if(suspect.crashes, [at](const auto& item) { return item.second <= at; }) > 0;
  }
  const auto [found, inserted] = suspects_.try_emplace(crash.fingerprint);
  Suspect& suspect = found->second;
  suspect.touched = now;
  if (at <= suspect.cleared_at) {
    return false;
  }
  return suspect.crashes.try_emplace({crash.upstream, crash.upstream_incarnation}, at).second;
}

std::int32_t CrashTracker::CrashCount(std::int64_t fingerprint, Duration ttl, TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return 0;
  }
  return static_cast<std::int32_t>(
      std::count_if(found->second.crashes.begin(), found->second.crashes.end(),
                    [ttl, now](const auto& item) { return now - item.second < ttl; }));
}

std::size_t CrashTracker::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return suspects_.size();
}

void CrashTracker::Trim() {
  while (suspects_.size() > kMaxSuspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [](const auto& a, const auto& b) { return a.second.touched < b.second.touched; }));
  }
}

}  // namespace rattanramp::entry
