#include "settings/rules.h"

#include <spdlog/fmt/fmt.h>

namespace rattanramp::settings {
namespace {

Result<void> CheckGreater(const std::string& path, std::string_view larger_key, std::int64_t larger,
                          std::string_view smaller_key, std::int64_t smaller) {
  if (larger > smaller) {
    return Success();
  }
  return Error{
      ErrorKind::kInvalidArgument,
      fmt::format("{}: {} ({}) must be greater than {} ({}), inherited values included", path,
                  larger_key, larger, smaller_key, smaller),
      fmt::format("set {} above {} or {} below {}", larger_key, smaller, smaller_key, larger)};
}

}  // namespace

Result<void> CheckRules(const std::string& path, const Settings& settings, bool is_service) {
  // If link_dead_ms did not exceed heartbeat_ms, every late heartbeat would close the link. If
  // lease_ms did not exceed link_dead_ms, leases would expire before their link counts as dead.
  // Both would cancel healthy work.
  BOOST_OUTCOME_TRYV(CheckGreater(path, "link_dead_ms", settings.link_dead_ms, "heartbeat_ms",
                                  settings.heartbeat_ms));
  BOOST_OUTCOME_TRYV(
      CheckGreater(path, "lease_ms", settings.lease_ms, "link_dead_ms", settings.link_dead_ms));
  if (is_service && settings.kind == "language" && settings.model.empty()) {
    return Error{ErrorKind::kInvalidArgument, path + ": kind is language, but no model is set",
                 "set model at " + path + " or at a parent node, or set kind to plain"};
  }
  return Success();
}

}  // namespace rattanramp::settings
