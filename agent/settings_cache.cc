#include "agent/settings_cache.h"

namespace rattanramp::agent {
namespace {

/// Maximum number of cached services. Service names come from peers, so unknown names must not grow
/// the cache without limit.
constexpr std::size_t kMaxEntries = 1024;

}  // namespace

const settings::Settings& SettingsCache::Of(const std::string& service) {
  const std::shared_ptr<const control::VersionedSettings> current = replica_.current();
  if (current->version != version_ || resolved_.size() >= kMaxEntries) {
    resolved_.clear();
    version_ = current->version;
  }
  const auto found = resolved_.find(service);
  if (found != resolved_.end()) {
    return found->second;
  }
  return resolved_
      .emplace(service, current->tree.Resolve(service, boot_.failure_domain, boot_.upstream.model))
      .first->second;
}

}  // namespace rattanramp::agent
