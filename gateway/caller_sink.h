// Interfaces between a caller's connection and the code that serves one of its requests.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/message.h"

namespace rattanramp::gateway {

/// How the end of a streamed answer is shown to the caller.
enum class StreamEnd {
  /// By a last chunk, which states that the answer is whole.
  kStated,
  /// By the end of the connection, because the upstream has not stated the end either.
  kByClose,
};

/// Receives the answer to one request. Exactly one of Answer, EndStream and Abort ends an exchange;
/// the exchange is destroyed after that call has returned.
class CallerSink {
 public:
  virtual ~CallerSink() = default;
  /// Sends a complete answer.
  virtual void Answer(int status, const http::Fields& fields, std::string body) = 0;
  virtual void StartStream(int status, const http::Fields& fields, StreamEnd end) = 0;
  virtual void StreamBytes(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  /// Closes the connection in a way that shows the caller that the answer is incomplete.
  virtual void Abort() = 0;
  /// Bytes that have not been written to the caller's connection yet.
  virtual std::size_t unsent_bytes() const = 0;
  /// Unsent bytes above which reading from the upstream pauses.
  virtual std::size_t max_unsent_bytes() const { return 256 * 1024; }
  /// States how many bytes of an answer are held until it is complete. False: reading from the
  /// upstream pauses; Exchange::OnBytesSent is called when it may go on.
  virtual bool KeepAnswer(std::size_t /*bytes*/) { return true; }
};

/// One request of a caller while it is being served.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The caller has closed its connection.
  virtual void OnCallerDisconnected() = 0;
  /// Bytes were written to the caller's connection and unsent_bytes() has decreased, or there is
  /// memory again for an answer that is being kept.
  virtual void OnBytesSent() = 0;
  /// The process is stopping. Refuses the request if it is queued and can no longer end in time.
  virtual void OnStopProgress() = 0;
  /// The process is about to exit. Ends the request with what is known of its outcome.
  virtual void EndForStop() = 0;
};

}  // namespace rattanramp::gateway
