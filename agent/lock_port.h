// Exclusive local TCP port that prevents a second agent from serving the same upstream.
#pragma once

#include <memory>
#include <string>

#include "base/result.h"

namespace rattanramp::agent {

class LockPort {
 public:
  /// Binds and listens without address sharing. Errors: kInvalidArgument (bad address), kConflict
  /// (another process uses the port), kIo.
  static Result<std::unique_ptr<LockPort>> Acquire(const std::string& address);
  ~LockPort();
  LockPort(const LockPort&) = delete;
  LockPort& operator=(const LockPort&) = delete;

 private:
  explicit LockPort(int socket) : socket_(socket) {}

  int socket_;
};

}  // namespace rattanramp::agent
