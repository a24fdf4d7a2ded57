// All services of one settings version, with their effective settings.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "control/settings_replica.h"
#include "settings/settings.h"

namespace rattanramp::entry {

struct Service {
  std::string name;
  settings::Settings settings;
};

/// Immutable.
struct ServiceDirectory {
  std::int64_t version = 0;
  /// Settings of the process itself: the root values resolved for the failure domain of the entry.
  settings::Settings process;
  std::map<std::string, std::shared_ptr<const Service>> services;

  /// Returns null when the service does not exist.
  std::shared_ptr<const Service> Find(const std::string& name) const;
  /// Returns the language services that use the model, or all language services if model is empty.
  std::vector<std::shared_ptr<const Service>> LanguageServices(const std::string& model) const;
};

std::shared_ptr<const ServiceDirectory> BuildDirectory(const control::VersionedSettings& settings,
                                                       const std::string& failure_domain);

/// Directory of the replica's current settings version. Built once per version. Thread-safe.
class DirectoryCache {
 public:
  DirectoryCache(const control::SettingsReplica& replica, std::string failure_domain);
  std::shared_ptr<const ServiceDirectory> current();

 private:
  const control::SettingsReplica& replica_;
  std::string failure_domain_;
  std::mutex mutex_;
  std::shared_ptr<const ServiceDirectory> directory_;
};

}  // namespace rattanramp::entry
