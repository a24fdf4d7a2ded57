#include "settings/boot_config.h"

#include <fstream>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/bounded_json.h"
#include "base/http_server.h"
#include "settings/schema.h"

namespace rattanramp::settings {
namespace {

using nlohmann::json;

Error Invalid(const std::string& message, const std::string& remedy) {
  return {ErrorKind::kInvalidArgument, "boot file: " + message, remedy};
}

Result<void> CheckMembers(const json& object, const std::string& path,
                          std::initializer_list<std::string_view> known) {
  for (const auto& [name, value] : object.items()) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      const std::vector<std::string_view> names(known);
      return Invalid("unknown member " + path + name,
                     "did you mean '" + path + std::string(NearestName(name, names)) + "'?");
    }
  }
  return Success();
}

Result<void> CheckAddress(const std::string& name, const std::string& address) {
  if (!address.empty() && !ParseHostPort(address)) {
    return Invalid("'" + name + "' has the value " + ShortText(address),
                   "write HOST:PORT, for example 127.0.0.1:7000");
  }
  return Success();
}

Result<void> CheckUrl(const std::string& name, const std::string& url) {
  if (!url.empty() && !url.starts_with("http://")) {
    return Invalid("'" + name + "' has the value " + ShortText(url), "write http://HOST:PORT");
  }
  return Success();
}

Result<void> CheckObject(const json& object, const std::string& name) {
  if (!object.is_object()) {
    return Invalid("'" + name + "' must be an object", "write \"" + name + "\": {...}");
  }
  return Success();
}

Result<void> ReadString(const json& object, const std::string& name, std::string& target) {
  if (!object.contains(name)) {
    return Success();
  }
  if (!object[name].is_string()) {
    return Error{ErrorKind::kInvalidArgument, "boot file: '" + name + "' must be a string",
                 "put its value in quotes"};
  }
  target = object[name].get<std::string>();
  return Success();
}

Result<void> ReadStrings(const json& object, const std::string& name,
                         std::vector<std::string>& target) {
  if (!object.contains(name)) {
    return Success();
  }
  const json& array = object[name];
  const bool ok = array.is_array() && std::all_of(array.begin(), array.end(), [](const json& item) {
                    return item.is_string();
                  });
  if (!ok) {
    return Error{ErrorKind::kInvalidArgument,
                 "boot file: '" + name + "' must be an array of strings",
                 "write [\"127.0.0.1:7000\", ...]"};
  }
  target = array.get<std::vector<std::string>>();
  return Success();
}

Result<void> ReadUpstream(const json& object, UpstreamConfig& upstream) {
  BOOST_OUTCOME_TRYV(CheckObject(object, "upstream"));
  BOOST_OUTCOME_TRYV(CheckMembers(object, "upstream.",
                                  {"url", "kind", "service", "model", "role", "checks_fencing"}));
  BOOST_OUTCOME_TRYV(ReadString(object, "url", upstream.url));
  BOOST_OUTCOME_TRYV(ReadString(object, "kind", upstream.kind));
  BOOST_OUTCOME_TRYV(ReadString(object, "service", upstream.service));
  BOOST_OUTCOME_TRYV(ReadString(object, "model", upstream.model));
  BOOST_OUTCOME_TRYV(ReadString(object, "role", upstream.role));
  if (object.contains("checks_fencing")) {
    if (!object["checks_fencing"].is_boolean()) {
      return Error{ErrorKind::kInvalidArgument, "boot file: 'checks_fencing' must be a boolean",
                   "write true or false"};
    }
    upstream.checks_fencing = object["checks_fencing"].get<bool>();
  }
  if (upstream.kind != "engine" && upstream.kind != "service") {
    return Error{ErrorKind::kInvalidArgument, "boot file: upstream.kind is '" + upstream.kind + "'",
                 "use engine or service"};
  }
  const bool role_ok =
      upstream.role == "prefill" || upstream.role == "decode" || upstream.role == "both";
  if (upstream.kind == "engine" && !role_ok) {
    return Error{ErrorKind::kInvalidArgument, "boot file: upstream.role is '" + upstream.role + "'",
                 "use prefill, decode or both"};
  }
  if (upstream.kind == "service" && upstream.service.empty()) {
    return Invalid("upstream.service is missing",
                   "set upstream.service to the name of the plain service");
  }
  return CheckUrl("upstream.url", upstream.url);
}

Result<void> ReadListen(const json& object, ListenAddresses& listen) {
  BOOST_OUTCOME_TRYV(CheckObject(object, "listen"));
  BOOST_OUTCOME_TRYV(CheckMembers(object, "listen.", {"caller", "operator", "link", "lock"}));
  BOOST_OUTCOME_TRYV(ReadString(object, "caller", listen.caller));
  BOOST_OUTCOME_TRYV(ReadString(object, "operator", listen.operator_address));
  BOOST_OUTCOME_TRYV(ReadString(object, "link", listen.link));
  BOOST_OUTCOME_TRYV(ReadString(object, "lock", listen.lock));
  BOOST_OUTCOME_TRYV(CheckAddress("listen.caller", listen.caller));
  BOOST_OUTCOME_TRYV(CheckAddress("listen.operator", listen.operator_address));
  BOOST_OUTCOME_TRYV(CheckAddress("listen.link", listen.link));
  return CheckAddress("listen.lock", listen.lock);
}

}  // namespace

Result<BootConfig> BootConfig::Parse(std::string_view text) {
  const json root = ParseBoundedJson(text).value_or(json());
  if (!root.is_object()) {
    return Error{ErrorKind::kInvalidArgument, "boot file is not a JSON object",
                 "check the text with a JSON validator"};
  }
  BOOST_OUTCOME_TRYV(CheckMembers(root, "",
                                  {"id", "failure_domain", "region", "listen", "platform_url",
                                   "peers", "upstreams", "upstream"}));
  BootConfig config;
  BOOST_OUTCOME_TRYV(ReadString(root, "id", config.id));
  BOOST_OUTCOME_TRYV(ReadString(root, "failure_domain", config.failure_domain));
  BOOST_OUTCOME_TRYV(ReadString(root, "region", config.region));
  BOOST_OUTCOME_TRYV(ReadString(root, "platform_url", config.platform_url));
  BOOST_OUTCOME_TRYV(ReadStrings(root, "peers", config.peers));
  BOOST_OUTCOME_TRYV(ReadStrings(root, "upstreams", config.upstreams));
  if (config.id.empty()) {
    return Error{ErrorKind::kInvalidArgument, "boot file: 'id' is missing",
                 "set 'id' to a name that no other process uses"};
  }
  BOOST_OUTCOME_TRYV(CheckUrl("platform_url", config.platform_url));
  for (const std::string& address : config.peers) {
    BOOST_OUTCOME_TRYV(CheckAddress("peers", address));
  }
  for (const std::string& address : config.upstreams) {
    BOOST_OUTCOME_TRYV(CheckAddress("upstreams", address));
  }
  if (root.contains("listen")) {
    BOOST_OUTCOME_TRYV(ReadListen(root["listen"], config.listen));
  }
  if (root.contains("upstream")) {
    BOOST_OUTCOME_TRYV(ReadUpstream(root["upstream"], config.upstream));
  }
  return config;
}

Result<BootConfig> BootConfig::Load(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return Error{ErrorKind::kNotFound, "cannot read boot file " + file,
                 "pass an existing file with --config"};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return Parse(text.str());
}

}  // namespace rattanramp::settings
