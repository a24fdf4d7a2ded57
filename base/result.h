// Error and result types used by all subsystems.
#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace rattanramp {

enum class ErrorKind {
  kInvalidArgument,
  kNotFound,
  kUnavailable,
  /// A precondition of a write was not met.
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

/// Error with a message for logs and a remedy that states what the reader can do.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;
};

/// Value or Error. Reading the value of a failure, or the error of a success, terminates the
/// process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Value to return from a Result<void> function that succeeded.
inline auto Success() { return boost::outcome_v2::success(); }

}  // namespace rattanramp
