// Builds Refused and End messages for attempts that fail.
#pragma once

#include <cstdint>
#include <string>

#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::agent {

/// Refusal of an attempt. retry_after_ms is negative if a retry cannot succeed.
wire::Refused MakeRefused(wire::RefusalKind::type kind, wire::Outcome::type outcome,
                          const std::string& message, const std::string& remedy,
                          std::int64_t retry_after_ms);

/// End of a failed attempt.
wire::End MakeFailure(wire::RefusalKind::type kind, wire::Outcome::type outcome,
                      const std::string& message, const std::string& remedy);

/// Converts the End of a failure into a refusal, for an attempt that has not been granted.
wire::Refused ToRefused(const wire::End& end, std::int64_t retry_after_ms);

}  // namespace rattanramp::agent
