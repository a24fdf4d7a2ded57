// Refusals and endings with their messages.
#pragma once

#include <cstdint>
#include <string>

#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::agent {

/// retry_after_ms is negative when a retry makes no sense.
wire::Refused MakeRefused(wire::RefusalKind::type kind, wire::Outcome::type outcome,
                          const std::string& message, const std::string& remedy,
                          std::int64_t retry_after_ms);

/// End of an attempt that failed.
wire::End MakeFailure(wire::RefusalKind::type kind, wire::Outcome::type outcome,
                      const std::string& message, const std::string& remedy);

/// The same failure as a refusal or as an ending, for attempts that may or may not be granted.
wire::Refused ToRefused(const wire::End& end, std::int64_t retry_after_ms);

}  // namespace rattanramp::agent
