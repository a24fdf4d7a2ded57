#include "core/upstream_directory.h"

#include <set>

namespace rattanramp::core {

DirectoryChange ApplySnapshot(UpstreamDirectory& directory, std::span<const UpstreamInfo> snapshot,
                              bool has_failed, TimePoint now) {
  if (directory.has_read && (has_failed || now - directory.last_read > kOutageAfter)) {
    directory.keep_missing_until = now + kReturnAfterOutage;
  }
  directory.has_read = true;
  directory.last_read = now;

  DirectoryChange change;
  std::set<std::string_view> present;
  for (const UpstreamInfo& info : snapshot) {
    present.insert(info.id);
    const auto [place, inserted] = directory.upstreams.try_emplace(info.id, info);
    if (inserted) {
      change.added.push_back(info);
    } else if (!(place->second == info)) {
      place->second = info;
      change.updated.push_back(info);
    }
  }
  if (now < directory.keep_missing_until) {
    return change;
  }
  for (auto place = directory.upstreams.begin(); place != directory.upstreams.end();) {
    if (present.contains(place->first)) {
      ++place;
      continue;
    }
    change.removed.push_back(place->second);
    place = directory.upstreams.erase(place);
  }
  return change;
}

}  // namespace rattanramp::core
