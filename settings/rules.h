// Rules between settings keys, checked on effective values.
#pragma once

#include <string>

#include "base/result.h"
#include "settings/settings.h"

namespace rattanramp::settings {

/// Checks the effective settings of the node at path. is_service: the node belongs to a service.
/// Error: kInvalidArgument naming path, keys and values.
Result<void> CheckRules(const std::string& path, const Settings& settings, bool is_service);

}  // namespace rattanramp::settings
