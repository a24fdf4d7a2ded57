#include "gateway/settings.h"

#include <spdlog/fmt/fmt.h>

#include <asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace rattanramp::gateway {
namespace {

using nlohmann::json;

constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

Error Invalid(std::string_view field, const json& value, std::string_view allowed) {
  return Error{ErrorKind::kInvalidArgument, fmt::format("settings: {} is {}", field, value.dump()),
               fmt::format("set it to {}", allowed)};
}

const json& Find(const json& object, std::string_view pointer) {
  static const json missing;
  const json::json_pointer path{std::string(pointer)};
  return object.contains(path) ? object[path] : missing;
}

Result<std::string> ReadText(const json& object, std::string_view pointer) {
  const json& value = Find(object, pointer);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    return Invalid(pointer, value, "a non-empty string");
  }
  return value.get<std::string>();
}

Result<asio::ip::tcp::endpoint> ReadEndpoint(const json& object, std::string_view pointer) {
  const Result<std::string> text = ReadText(object, pointer);
  if (!text) {
    return text.error();
  }
  const std::string& value = text.value();
  const std::size_t colon = value.rfind(':');
  std::uint16_t port = 0;
  std::error_code error;
  const asio::ip::address_v4 address = asio::ip::make_address_v4(value.substr(0, colon), error);
  if (colon != std::string::npos && !error) {
    const std::from_chars_result read =
        std::from_chars(value.data() + colon + 1, value.data() + value.size(), port);
    if (read.ec == std::errc() && read.ptr == value.data() + value.size()) {
      return asio::ip::tcp::endpoint(address, port);
    }
  }
  return Invalid(pointer, value, "IP:PORT");
}

// Numbers may also be JSON strings, because the file is generated from a template.
Result<double> ReadNumber(const json& object, std::string_view pointer, double minimum) {
  const json& value = Find(object, pointer);
  std::optional<double> number;
  if (value.is_number()) {
    number = value.get<double>();
  } else if (value.is_string()) {
    const std::string& text = value.get_ref<const std::string&>();
    double parsed = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), parsed);
    if (read.ec == std::errc() && read.ptr == text.data() + text.size()) {
      number = parsed;
    }
  }
  if (!number || *number < minimum) {
    return Invalid(pointer, value, fmt::format("a number of {} or more", minimum));
  }
  return *number;
}

// The same for a field that may be missing or null.
Result<double> ReadOptionalNumber(const json& object, std::string_view pointer, double fallback) {
  return Find(object, pointer).is_null() ? Result<double>(fallback)
                                         : ReadNumber(object, pointer, 0);
}

// Environment variables of optional settings, and where these stand in the file.
constexpr std::pair<const char*, const char*> kVariables[] = {
    {"RATTANRAMP_KEY_REMOVAL_MS", "/workspaces/key_removal_ms"},
    {"RATTANRAMP_LIMIT_WINDOW_S", "/workspaces/limit_window_s"},
    {"RATTANRAMP_LIMIT_OVERSHOOT", "/workspaces/limit_overshoot"},
    {"RATTANRAMP_LIMIT_SLACK", "/workspaces/limit_slack"},
    {"RATTANRAMP_MEMORY_MB", "/process/memory_mb"},
    {"RATTANRAMP_MAX_DESCRIPTORS", "/process/max_descriptors"}};

Result<void> AddVariables(json& settings, const Environment& environment) {
  for (const auto& [name, pointer] : kVariables) {
    const char* value = environment(name);
    if (value == nullptr || *value == '\0') {
      continue;
    }
    const json::json_pointer path{std::string(pointer)};
    json& group = settings[path.parent_pointer()];
    if (!group.is_null() && !group.is_object()) {
      return Invalid(path.parent_pointer().to_string(), group, "an object");
    }
    settings[path] = value;
  }
  return Success();
}

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text, const Environment& environment) {
  json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) {
    return Error{ErrorKind::kInvalidArgument, "settings: the file is not a JSON object",
                 "write one JSON object"};
  }
  const Result<void> added = AddVariables(parsed, environment);
  if (!added) {
    return added.error();
  }
  Settings settings;
  for (const auto& [pointer, target] :
       {std::pair{"/node", &settings.node}, {"/failure_domain", &settings.failure_domain}}) {
    const Result<std::string> value = ReadText(parsed, pointer);
    if (!value) {
      return value.error();
    }
    *target = value.value();
  }
  const Result<std::string> address = ReadText(parsed, "/address");
  if (!address) {
    return address.error();
  }
  std::error_code address_error;
  settings.address = asio::ip::make_address_v4(address.value(), address_error);
  if (address_error) {
    return Invalid("/address", address.value(), "an IPv4 address");
  }
  for (const auto& [pointer, target] : {std::pair{"/listen/callers", &settings.callers},
                                        {"/listen/readiness", &settings.readiness},
                                        {"/table_service", &settings.table_service}}) {
    const Result<asio::ip::tcp::endpoint> endpoint = ReadEndpoint(parsed, pointer);
    if (!endpoint) {
      return endpoint.error();
    }
    *target = endpoint.value();
  }
  const Result<double> metrics = ReadNumber(parsed, "/listen/metrics_port", 0);
  const Result<double> peer = ReadNumber(parsed, "/peer_ports/0", 1);
  const Result<double> grace = ReadNumber(parsed, "/stop_grace_s", 0);
  const Result<double> disconnected = ReadNumber(parsed, "/disconnected_after_ms", 1);
  const Result<double> drain_limit = ReadNumber(parsed, "/upstream_leave_ms", 1);
  const Result<double> ratio = ReadNumber(parsed, "/retry_bound/ratio", 0);
  const Result<double> slack = ReadNumber(parsed, "/retry_bound/slack", 0);
  const Result<double> window = ReadNumber(parsed, "/retry_bound/window_s", 0.1);
  for (const Result<double>* number :
       {&metrics, &peer, &grace, &disconnected, &drain_limit, &ratio, &slack, &window}) {
    if (!*number) {
      return number->error();
    }
  }
  const Result<double> key_removal = ReadOptionalNumber(parsed, "/workspaces/key_removal_ms", 0);
  const Result<double> limit_window = ReadOptionalNumber(parsed, "/workspaces/limit_window_s", 8);
  const Result<double> overshoot = ReadOptionalNumber(parsed, "/workspaces/limit_overshoot", 0.1);
  const Result<double> limit_slack = ReadOptionalNumber(parsed, "/workspaces/limit_slack", 0);
  const Result<double> memory = ReadOptionalNumber(parsed, "/process/memory_mb", 0);
  const Result<double> descriptors = ReadOptionalNumber(parsed, "/process/max_descriptors", 0);
  for (const Result<double>* number :
       {&key_removal, &limit_window, &overshoot, &limit_slack, &memory, &descriptors}) {
    if (!*number) {
      return number->error();
    }
  }
  if (key_removal.value() > 0) {
    settings.key_removal_limit = Seconds(key_removal.value() / 1'000);
  }
  settings.limit_tolerance = {Seconds(limit_window.value()), overshoot.value(),
                              limit_slack.value()};
  settings.memory_limit_bytes = static_cast<std::int64_t>(memory.value() * kBytesPerMegabyte);
  settings.max_descriptors = static_cast<std::int64_t>(descriptors.value());
  const json& weighs_cost = Find(parsed, "/placement/weighs_cost");
  if (!weighs_cost.is_null() && !weighs_cost.is_boolean()) {
    return Invalid("/placement/weighs_cost", weighs_cost, "true or false");
  }
  settings.weighs_cost = weighs_cost.is_null() || weighs_cost.get<bool>();
  settings.metrics_port = static_cast<std::uint16_t>(metrics.value());
  settings.peer_port = static_cast<std::uint16_t>(peer.value());
  settings.stop_grace = Seconds(grace.value());
  settings.disconnected_after = Seconds(disconnected.value() / 1'000);
  settings.upstream_drain_limit = Seconds(drain_limit.value() / 1'000);
  settings.retry_bound = {ratio.value(), slack.value(), Seconds(window.value())};
  return settings;
}

Result<Settings> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error{ErrorKind::kIo, "settings file '" + path + "' cannot be read",
                 "check its path and permissions"};
  }
  return ParseSettings(text.str(), [](const char* name) { return std::getenv(name); });
}

}  // namespace rattanramp::gateway
