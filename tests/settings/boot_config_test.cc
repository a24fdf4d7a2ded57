#include "settings/boot_config.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using rattanramp::Result;
using rattanramp::settings::BootConfig;

// Guards against a crash on members of a wrong type, and against errors that do not name the member
// or have no remedy.
Test(boot_config, errors_name_the_member) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"({"id":"a","listen":"127.0.0.1:1"})", "'listen' must be an object"},
      {R"({"id":"a","listen":{"operator":"127.0.0.1"}})", "listen.operator"},
      {R"({"id":"a","upstream":[]})", "'upstream' must be an object"},
      {R"({"id":"a","upstream":{"kind":"service"}})", "upstream.service is missing"},
      {R"({"id":"a","peers":["x"]})", "'peers'"},
      {R"({"id":"a","platform_url":"127.0.0.1:1"})", "'platform_url'"},
      {R"({"id":"a","regoin":"r"})", "unknown member regoin"},
      {R"({})", "'id' is missing"}};
  for (const auto& [text, expected] : cases) {
    const Result<BootConfig> config = BootConfig::Parse(text);
    cr_assert(!config.has_value(), "%s", text.c_str());
    cr_assert(config.error().message.find(expected) != std::string::npos, "%s",
              config.error().message.c_str());
    cr_assert(!config.error().remedy.empty());
  }
  cr_assert(BootConfig::Parse(R"({"id":"a","regoin":"r"})").error().remedy.find("'region'") !=
            std::string::npos);
}

// Guards against a crash or an exception on random text.
Test(boot_config, random_bytes_do_not_crash) {
  cr_assert(rc::check([](const std::string& text) {
    static_cast<void>(BootConfig::Parse(text));
    static_cast<void>(BootConfig::Parse("{\"id\":\"a\",\"listen\":" + text + "}"));
  }));
}
