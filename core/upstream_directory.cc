#include "core/upstream_directory.h"

#include <set>

namespace rattanramp::core {

DirectoryChange ApplySnapshot(UpstreamDirectory& directory, std::span<const UpstreamInfo> snapshot,
                              bool has_failed, TimePoint now) {
  if (directory.has_read && (has_failed || now - directory.last_read > kOutageThreshold)) {
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
  if (now < directory.keep_missing_until) {
    return change;
  }
  for (auto entry = directory.upstreams.begin(); entry != directory.upstreams.end();) {
    if (present.contains(entry->first)) {
      ++entry;
      continue;
    }
    change.removed.push_back(entry->second);
    entry = directory.upstreams.erase(entry);
  }
  return change;
}

bool ConfirmDirectory(UpstreamDirectory& directory, std::size_t listed, TimePoint now) {
  if (!directory.has_read || now - directory.last_read > kOutageThreshold ||
      now < directory.keep_missing_until || listed != directory.upstreams.size()) {
    return false;
  }
  directory.last_read = now;
  return true;
}

}  // namespace rattanramp::core
