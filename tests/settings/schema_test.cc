#include "settings/schema.h"

#include <criterion/criterion.h>

#include "settings/settings.h"

using nlohmann::json;
namespace settings = rattanramp::settings;

// Guards against a key without a member in Settings (it would have no effect), a member without a
// key (it could not be set), and a default that CheckValue rejects (operators could not set it).
Test(schema, keys_match_settings_members) {
  const json defaults = settings::Settings();
  cr_assert(defaults.size() == settings::Keys().size());
  for (const settings::KeySpec& spec : settings::Keys()) {
    const std::string key(spec.name);
    cr_assert(defaults.contains(key), "%s", key.c_str());
    cr_assert(settings::CheckValue("/", key, defaults[key]).has_value(), "%s", key.c_str());
  }
}

// Guards against accepting values that have a wrong type, are out of range or are not among the
// choices.
Test(schema, rejects_invalid_values) {
  const std::vector<std::pair<std::string, json>> bad = {
      {"heartbeat_ms", 9},   {"heartbeat_ms", 60'001},     {"heartbeat_ms", 100.5},
      {"heartbeat_ms", "a"}, {"heartbeat_ms", UINT64_MAX}, {"transfer_slack", 0.5},
      {"repeatable", 1},     {"kind", "planned"},          {"kind", "language|plain"},
      {"kind", ""},          {"model", json::object()},    {"model", nullptr}};
  for (const auto& [key, value] : bad) {
    const rattanramp::Result<void> checked = settings::CheckValue("/services/a", key, value);
    cr_assert(!checked.has_value(), "%s", key.c_str());
    cr_assert(checked.error().message.find("/services/a: " + key) != std::string::npos);
  }
}
