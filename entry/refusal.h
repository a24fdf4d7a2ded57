// Refusals that callers see: kind, HTTP status, remedy and what is known about the execution.
#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/http_server.h"
#include "core/retry.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::entry {

inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kUnsupportedMediaType = 415;
inline constexpr int kUnprocessable = 422;
/// Written to the log only; the caller is gone.
inline constexpr int kCallerDisconnected = 499;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

struct Refusal {
  std::string kind;
  int status = kServiceUnavailable;
  std::string message;
  std::string remedy;
  core::Outcome outcome = core::Outcome::kNotRun;
  /// Empty when a retry makes no sense.
  std::optional<std::int64_t> retry_after_ms;
};

/// Value or Refusal.
template <typename T>
using RefusalOr = boost::outcome_v2::basic_result<T, Refusal, boost::outcome_v2::policy::terminate>;

std::string_view OutcomeName(core::Outcome outcome);
core::Outcome FromWire(wire::Outcome::type outcome);
core::FailureKind FailureKindOf(wire::RefusalKind::type kind);

/// Refusal to the caller for a refusal or a failed end of an agent.
Refusal FromWire(const wire::Refused& refused);
Refusal FromWire(const wire::End& end);

/// {"error": {...}} as section 9 of the design page has it.
nlohmann::json RefusalBody(const Refusal& refusal, const std::string& request_id);

/// Fills status, Retry-After and body.
void WriteRefusal(const Refusal& refusal, const std::string& request_id,
                  httplib::Response& response);

/// Refusal of all requests while the process is starting or draining.
Refusal NotServing(const std::string& kind, const std::string& message);

}  // namespace rattanramp::entry
