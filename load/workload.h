// Workload file and the request plan that is generated from it with a seed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace rattanramp::load {

/// Log-normal distribution of token counts, clamped to [min, max].
struct TokenDistribution {
  double median = 100;
  double sigma = 0;
  std::int64_t min = 1;
  std::int64_t max = 1'000'000;
};

enum class RequestKind {
  /// Generation through POST /v1/completions.
  kCompletion,
  /// Repeatable GET to a plain service.
  kLookup,
  /// POST to a plain service that must run at most once.
  kClaim,
};

enum class KeyKind { kOwn, kIssued };

struct ServiceLoad {
  std::string service;
  RequestKind kind = RequestKind::kCompletion;
  std::string model;
  /// Path below /services/<service> for lookups and claims.
  std::string path;
  double rate_per_s = 1;
  bool stream = true;
  TokenDistribution prompt_tokens;
  TokenDistribution output_tokens;
  /// Share of prompts that start with a shared prefix. There are shared_prefixes such texts of
  /// shared_prefix_tokens tokens each.
  double shared_prefix_share = 0;
  std::int64_t shared_prefixes = 1;
  std::int64_t shared_prefix_tokens = 0;
  /// Share of requests that the caller cancels after half of the output.
  double cancel_share = 0;
  /// Share of claims that the caller repeats through another entry after the first answer.
  double repeat_share = 0;
  KeyKind key_kind = KeyKind::kOwn;
  double first_output_target_ms = 600;
  double pace_target_ms = 63;
};

/// Periodic increase of all rates: in each period of every_s seconds, the first for_s seconds have
/// rates multiplied by factor.
struct Bursts {
  double every_s = 0;
  double for_s = 0;
  double factor = 1;
};

struct Workload {
  std::string name;
  std::vector<ServiceLoad> services;
  Bursts bursts;

  /// Returns kInvalidArgument with the faulty member and a remedy when the text is not a valid
  /// workload.
  static Result<Workload> Parse(std::string_view text);
  static Result<Workload> Load(const std::string& file);
};

struct PlannedRequest {
  Duration at{};
  /// Index into Workload::services.
  std::size_t service = 0;
  std::string prompt;
  std::int64_t output_tokens = 0;
  bool cancel = false;
  bool repeat = false;
  /// Random number that selects the looked-up item or identifies the claim.
  std::uint64_t number = 0;
};

/// Generates Poisson arrivals for the given time. The same arguments give the same plan.
std::vector<PlannedRequest> DrawPlan(const Workload& workload, std::uint64_t seed, Duration length,
                                     double rate_factor);

}  // namespace rattanramp::load
