// Cache of the effective settings of each service for the current settings version. Link thread
// only.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control/settings_replica.h"
#include "settings/boot_config.h"
#include "settings/settings.h"

namespace rattanramp::agent {

class SettingsCache {
 public:
  SettingsCache(const control::SettingsReplica& replica, const settings::BootConfig& boot)
      : replica_(replica), boot_(boot) {}

  /// Settings of a service at this upstream; an empty name returns those of the process. The
  /// reference is valid until the next call.
  const settings::Settings& Of(const std::string& service);

 private:
  const control::SettingsReplica& replica_;
  const settings::BootConfig& boot_;
  std::int64_t version_ = -1;
  std::map<std::string, settings::Settings> resolved_;
};

}  // namespace rattanramp::agent
