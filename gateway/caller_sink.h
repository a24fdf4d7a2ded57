// Where the answer to one request goes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/message.h"

namespace rattanramp::gateway {

/// Exactly one of Answer, EndStream and Break ends an exchange. The exchange is destroyed after the
/// call has returned.
class CallerSink {
 public:
  virtual ~CallerSink() = default;
  /// Sends a whole answer.
  virtual void Answer(int status, const http::Fields& fields, std::string body) = 0;
  virtual void StartStream(int status, const http::Fields& fields) = 0;
  virtual void StreamBytes(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  /// Closes the connection, so that the caller sees that the answer is not whole.
  virtual void Abort() = 0;
  /// Bytes that the caller has not taken yet.
  virtual std::size_t unsent_bytes() const = 0;
};

/// One request of a caller while it is being served.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The caller has closed its connection.
  virtual void OnCallerDisconnected() = 0;
  /// The caller has taken bytes; unsent_bytes() is smaller.
  virtual void OnBytesSent() = 0;
};

}  // namespace rattanramp::gateway
