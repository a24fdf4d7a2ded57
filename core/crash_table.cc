#include "core/crash_table.h"

#include <algorithm>

namespace rattanramp::core {

void MergeCrash(CrashTable& table, const CrashRecord& record) {
  CrashHistory& history = table.by_fingerprint[record.fingerprint];
  if (record.cleared) {
    if (!history.cleared || history.cleared->at < record.at) {
      history.cleared = record;
    }
    return;
  }
  const auto [crash, added] = history.crashes.try_emplace(
      std::pair(record.upstream, record.upstream_incarnation), record.at);
  if (!added) {
    crash->second = std::max(crash->second, record.at);
  }
}

std::int32_t CrashCountOf(const CrashTable& table, std::int64_t fingerprint, Duration ttl,
                          TimePoint now) {
  const auto found = table.by_fingerprint.find(fingerprint);
  if (found == table.by_fingerprint.end()) {
    return 0;
  }
  const CrashHistory& history = found->second;
  return static_cast<std::int32_t>(std::count_if(
      history.crashes.begin(), history.crashes.end(), [&history, ttl, now](const auto& item) {
        const bool cleared = history.cleared && item.second <= history.cleared->at;
        return !cleared && now - item.second < ttl;
      }));
}

void ClearCrashes(CrashTable& table, std::int64_t fingerprint, const std::string& upstream,
                  std::int64_t upstream_incarnation, TimePoint now) {
  if (table.by_fingerprint.contains(fingerprint)) {
    MergeCrash(table, CrashRecord{fingerprint, upstream, upstream_incarnation, now, true});
  }
}

std::vector<CrashRecord> CrashRecords(const CrashTable& table) {
  std::vector<CrashRecord> records;
  for (const auto& [fingerprint, history] : table.by_fingerprint) {
    for (const auto& [upstream, at] : history.crashes) {
      records.push_back(CrashRecord{fingerprint, upstream.first, upstream.second, at, false});
    }
    if (history.cleared) {
      records.push_back(*history.cleared);
    }
  }
  return records;
}

void EvictOldCrashes(CrashTable& table, Duration ttl, TimePoint now) {
  for (auto& [fingerprint, history] : table.by_fingerprint) {
    std::erase_if(history.crashes,
                  [ttl, now](const auto& crash) { return now - crash.second >= ttl; });
    if (history.cleared && now - history.cleared->at >= ttl) {
      history.cleared.reset();
    }
  }
  std::erase_if(table.by_fingerprint, [](const auto& entry) {
    return entry.second.crashes.empty() && !entry.second.cleared;
  });
}

}  // namespace rattanramp::core
