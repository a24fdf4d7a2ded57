// Effective settings of one service, failure domain and model.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace rattanramp::settings {

/// Values after inheritance. The member initialisers are the defaults; units, ranges and
/// descriptions are in schema.cc. Each member has the name of its key in the settings tree.
struct Settings {
  // Service.
  std::string kind = "language";
  std::string model;
  std::string customer;
  std::string policy = "planned";
  std::int64_t first_output_target_ms = 600;
  std::int64_t pace_target_ms = 63;
  std::int64_t deadline_ms = 120'000;
  bool repeatable = true;
  bool patient = false;
  std::int64_t priority = 0;
  double fair_share_weight = 1.0;
  std::int64_t max_body_bytes = 4 * 1024 * 1024;
  std::int64_t max_prompt_tokens = 65'536;
  std::int64_t max_output_tokens = 4'096;
  std::int64_t expected_output_tokens = 225;

  // Routing.
  std::int64_t in_place_prompt_tokens = 2'048;
  std::int64_t hold_margin_ms = 500;
  double transfer_slack = 2.0;
  std::int64_t transfer_base_ms = 100;
  std::int64_t pace_idle_factor = 20;
  std::int64_t subset_size = 64;

  // Retries and crashes.
  std::int64_t max_attempts = 3;
  double retry_budget_percent = 10.0;
  double retry_min_per_second = 1.0;
  std::int64_t crash_limit = 2;
  std::int64_t suspicion_ttl_ms = 600'000;

  // Calls that run at most once.
  std::int64_t call_memory_entries = 100'000;
  std::int64_t call_memory_ms = 86'400'000;
  std::int64_t call_group_ms = 5;

  // Processes.
  std::int64_t heartbeat_ms = 500;
  std::int64_t link_dead_ms = 2'000;
  std::int64_t lease_ms = 3'000;
  std::int64_t report_ms = 250;
  std::int64_t settings_poll_ms = 5'000;
  std::int64_t vm_poll_ms = 5'000;
  std::int64_t drain_timeout_ms = 600'000;
  bool checks_fencing = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    Settings, kind, model, customer, policy, first_output_target_ms, pace_target_ms, deadline_ms,
    repeatable, patient, priority, fair_share_weight, max_body_bytes, max_prompt_tokens,
    max_output_tokens, expected_output_tokens, in_place_prompt_tokens, hold_margin_ms,
    transfer_slack, transfer_base_ms, pace_idle_factor, subset_size, max_attempts,
    retry_budget_percent, retry_min_per_second, crash_limit, suspicion_ttl_ms, call_memory_entries,
    call_memory_ms, call_group_ms, heartbeat_ms, link_dead_ms, lease_ms, report_ms,
    settings_poll_ms, vm_poll_ms, drain_timeout_ms, checks_fencing)

}  // namespace rattanramp::settings
