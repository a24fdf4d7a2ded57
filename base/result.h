// Error and result types used by all subsystems.
#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace rattanramp {

enum class ErrorKind {
  kInvalidArgument,
  kNotFound,
  kUnavailable,
  /// A condition of a write did not hold.
  kConflict,
  /// The request may have taken effect although no reply arrived.
  kReplyLost,
  kTimeout,
  kProtocol,
  kOverloaded,
  kLeaving,
  kIo,
  kInternal,
};

/// Failure with a message for logs and a remedy for the person who reads it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;
};

/// Value or Error. Access to the wrong side terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Value to return from a Result<void> function that succeeded.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace rattanramp
