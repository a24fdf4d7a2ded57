#include "core/suspicion.h"

#include <algorithm>

namespace rattanramp::core {

void MergeCrash(SuspicionTable& table, const CrashRecord& record) {
  Suspicion& suspicion = table.by_fingerprint[record.fingerprint];
  if (record.cleared) {
    if (!suspicion.cleared || suspicion.cleared->at < record.at) {
      suspicion.cleared = record;
    }
    return;
  }
  const auto [crash, added] = suspicion.crashes.try_emplace(
      std::pair(record.upstream, record.upstream_incarnation), record.at);
  if (!added) {
    crash->second = std::max(crash->second, record.at);
  }
}

std::int32_t CrashCountOf(const SuspicionTable& table, std::int64_t fingerprint, Duration ttl,
                          TimePoint now) {
  const auto found = table.by_fingerprint.find(fingerprint);
  if (found == table.by_fingerprint.end()) {
    return 0;
  }
  const Suspicion& suspicion = found->second;
  return static_cast<std::int32_t>(std::count_if(
      suspicion.crashes.begin(), suspicion.crashes.end(), [&suspicion, ttl, now](const auto& item) {
        const bool cleared = suspicion.cleared && item.second <= suspicion.cleared->at;
        return !cleared && now - item.second < ttl;
      }));
}

void ClearSuspicion(SuspicionTable& table, std::int64_t fingerprint, const std::string& upstream,
                    std::int64_t upstream_incarnation, TimePoint now) {
  if (table.by_fingerprint.contains(fingerprint)) {
    MergeCrash(table, CrashRecord{fingerprint, upstream, upstream_incarnation, now, true});
  }
}

std::vector<CrashRecord> CrashRecords(const SuspicionTable& table) {
  std::vector<CrashRecord> records;
  for (const auto& [fingerprint, suspicion] : table.by_fingerprint) {
    for (const auto& [upstream, at] : suspicion.crashes) {
      records.push_back(CrashRecord{fingerprint, upstream.first, upstream.second, at, false});
    }
    if (suspicion.cleared) {
      records.push_back(*suspicion.cleared);
    }
  }
  return records;
}

void ForgetOldCrashes(SuspicionTable& table, Duration ttl, TimePoint now) {
  for (auto& [fingerprint, suspicion] : table.by_fingerprint) {
    std::erase_if(suspicion.crashes,
                  [ttl, now](const auto& crash) { return now - crash.second >= ttl; });
    if (suspicion.cleared && now - suspicion.cleared->at >= ttl) {
      suspicion.cleared.reset();
    }
  }
  std::erase_if(table.by_fingerprint, [](const auto& entry) {
    return entry.second.crashes.empty() && !entry.second.cleared;
  });
}

}  // namespace rattanramp::core
