// Boot file of a process: its identity, its listen addresses, and the addresses of platform and
// peers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace rattanramp::settings {

/// Listen addresses, each "host:port". The process does not open those that are empty.
struct ListenAddresses {
  std::string caller;
  std::string operator_address;
  std::string link;
  /// Local address that an agent binds exclusively until it exits.
  std::string lock;
};

/// Upstream of an agent.
struct UpstreamConfig {
  /// Base URL, for example http://127.0.0.1:9000.
  std::string url;
  /// "engine" or "service".
  std::string kind;
  /// Name of a plain service; empty for an engine.
  std::string service;
  std::string model;
  /// "prefill", "decode" or "both"; engines only.
  std::string role;
  bool checks_fencing = false;
};

struct BootConfig {
  std::string id;
  std::string failure_domain;
  std::string region;
  ListenAddresses listen;
  std::string platform_url;
  /// Link addresses of entries.
  std::vector<std::string> peers;
  /// Link addresses of agents that are always dialled.
  std::vector<std::string> upstreams;
  UpstreamConfig upstream;

  /// Parses the boot file of a process. Error: kInvalidArgument naming the member and its remedy.
  static Result<BootConfig> Parse(std::string_view text);
  static Result<BootConfig> Load(const std::string& file);
};

}  // namespace rattanramp::settings
