#include "core/upstream_directory.h"

#include <algorithm>
#include <set>

namespace rattanramp::core {

DirectoryChange ApplySnapshot(UpstreamDirectory& directory, std::span<const UpstreamInfo> snapshot,
                              const ListInterruption& interruption, TimePoint now) {
  const Duration gap = directory.has_read ? now - directory.last_read : Duration::zero();
  const bool is_gap_outage = gap > kOutageThreshold;
  const bool prolongs = is_gap_outage || interruption.outage >= kMinRepeatedOutage;
  if (directory.has_read && (is_gap_outage || interruption.has_failed)) {
    directory.keep_missing_until = now + kReregistrationTime;
  }
  directory.has_read = true;
  directory.last_read = now;

  DirectoryChange change;
  std::set<std::string_view> present;
  for (const UpstreamInfo& info : snapshot) {
    present.insert(info.id);
    const auto [entry, inserted] = directory.upstreams.try_emplace(info.id, info);
    if (inserted) {
      change.added.push_back(info);
    } else if (!(entry->second == info)) {
      entry->second = info;
      change.updated.push_back(info);
    }
  }
  std::erase_if(directory.missing,
                [&present](const auto& entry) { return present.contains(entry.first); });
  for (auto entry = directory.upstreams.begin(); entry != directory.upstreams.end();) {
    if (present.contains(entry->first)) {
      ++entry;
      continue;
    }
    const auto [missing, is_new] =
        directory.missing.try_emplace(entry->first, directory.keep_missing_until);
    if (prolongs) {
      missing->second = directory.keep_missing_until;
    }
    if (now < missing->second) {
      if (is_new) {
        change.missing.push_back(entry->second);
      }
      ++entry;
      continue;
    }
    directory.missing.erase(missing);
    change.removed.push_back(entry->second);
    entry = directory.upstreams.erase(entry);
  }
  return change;
}

bool ConfirmDirectory(UpstreamDirectory& directory, std::size_t listed, TimePoint now) {
  if (!directory.has_read || now - directory.last_read > kOutageThreshold ||
      !directory.missing.empty() || listed != directory.upstreams.size()) {
    return false;
  }
  directory.last_read = now;
  return true;
}

std::optional<TimePoint> NextRemoval(const UpstreamDirectory& directory) {
  const auto first =
      std::min_element(directory.missing.begin(), directory.missing.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  return first == directory.missing.end() ? std::nullopt : std::optional(first->second);
}

}  // namespace rattanramp::core
