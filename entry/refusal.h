// Refusals that are sent to callers: kind, HTTP status, message, remedy, and whether the request
// ran.
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
/// Status 499 is only logged: the caller has disconnected and receives no response.
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
  /// Time after which a retry may succeed. Empty when a retry is not expected to succeed.
  std::optional<std::int64_t> retry_after_ms;
};

/// Result type: a value or a Refusal.
template <typename T>
using RefusalOr = boost::outcome_v2::basic_result<T, Refusal, boost::outcome_v2::policy::terminate>;

std::string_view OutcomeName(core::Outcome outcome);
core::Outcome FromWire(wire::Outcome::type outcome);
core::FailureKind FailureKindOf(wire::RefusalKind::type kind);

/// Converts the Refused message or the failed End of an agent to a refusal for the caller.
Refusal FromWire(const wire::Refused& refused);
Refusal FromWire(const wire::End& end);

/// Returns {"error": {...}} as specified in section 9 of the design page.
nlohmann::json RefusalBody(const Refusal& refusal, const std::string& request_id);

/// Sets the status, the Retry-After header and the body of the response.
void WriteRefusal(const Refusal& refusal, const std::string& request_id,
                  httplib::Response& response);

/// Returns the refusal for all requests while the process is starting or draining.
Refusal NotServing(const std::string& kind, const std::string& message);

}  // namespace rattanramp::entry
