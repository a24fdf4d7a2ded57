// Settings of a gateway process, read from a JSON file.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "core/retry_window.h"
#include "core/workspace_limits.h"

namespace rattanramp::gateway {

struct Settings {
  std::string node;
  std::string failure_domain;
  asio::ip::address_v4 address;
  asio::ip::tcp::endpoint callers;
  asio::ip::tcp::endpoint readiness;
  /// Port on `address` that serves the metrics as text.
  std::uint16_t metrics_port = 0;
  /// UDP port for the load reports between gateways; the same on all VMs.
  std::uint16_t peer_port = 0;
  asio::ip::tcp::endpoint table_service;
  /// Time between the stop signal and the forced kill of the process.
  Duration stop_grace = Milliseconds(8'000);
  /// A VM without contact to the platform for this long counts as disconnected. The gateway must
  /// detect the lost contact within this time.
  Duration disconnected_after = Milliseconds(3'000);
  /// Time within which a gateway must stop sending requests to a draining upstream.
  Duration upstream_drain_limit = Milliseconds(2'000);
  core::RetryBound retry_bound;
  /// A key that the operator has removed must not be used later than this after the removal, also
  /// while the platform's store is away; empty: no such bound.
  std::optional<Duration> key_removal_limit;
  /// Tolerance of the limits of workspaces.
  core::LimitTolerance limit_tolerance;
  /// Memory and descriptors of the process that the VM allows; 0: not known.
  std::int64_t memory_limit_bytes = 0;
  std::int64_t max_descriptors = 0;
  /// Placement considers the speed of upstreams and the cost of requests that were measured.
  bool weighs_cost = true;
};

/// Value of an environment variable; null: it is not set.
using Environment = std::function<const char*(const char* name)>;

/// Settings that a platform may lack can also come from the environment (docs/OPERATIONS.md); an
/// empty variable counts as not set, and others take precedence over the text. Errors:
/// kInvalidArgument names the field, its value and what is allowed.
Result<Settings> ParseSettings(
    std::string_view text, const Environment& environment = [](const char*) { return nullptr; });

/// Uses the environment of the process. Errors: as ParseSettings, and kIo when the file cannot be
/// read.
Result<Settings> ReadSettingsFile(const std::string& path);

}  // namespace rattanramp::gateway
