// Incremental HTTP/1.1 parsers based on Boost.Beast's parser. They accept bytes as an event loop
// reads them and never consume bytes after the end of a message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "http/message.h"

namespace rattanramp::http {

/// Largest response head (status line and header fields) that ResponseParser accepts, in bytes. The
/// limit of a RequestParser is set by its caller.
inline constexpr std::size_t kMaxHeadBytes = 64 * 1024;

class RequestParser {
 public:
  RequestParser(std::size_t max_head_bytes, std::uint64_t max_body_bytes);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /// Consumes bytes of the message and returns their number. Bytes of an incomplete line are not
  /// consumed; the caller passes them again together with the bytes that follow.
  /// Errors: kProtocol (malformed), kOverloaded (head or body over its limit, see body_too_large).
  Result<std::size_t> Feed(std::string_view bytes);

  bool has_head() const;
  bool is_complete() const;
  bool body_too_large() const;
  /// The client sends the body only after it has received "100 Continue".
  bool expects_continue() const;
  const RequestHead& head() const;
  /// Body bytes received so far, without chunk framing. Trailers are dropped.
  std::string& body();
  /// Memory that the head and the body take.
  std::size_t held_bytes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

class ResponseParser {
 public:
  /// `is_head_request`: the response has no body, even if its fields state a length.
  explicit ResponseParser(bool is_head_request);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  /// Works like RequestParser::Feed, but returns after the head, so that the caller can examine it
  /// before it passes the body. Errors: kProtocol.
  Result<std::size_t> Feed(std::string_view bytes);

  /// Reports that the server closed the connection without a reset. Returns true if the message is
  /// complete.
  bool FinishAtEof();

  bool has_head() const;
  bool is_complete() const;
  const ResponseHead& head() const;
  /// Returns and removes the body bytes received since the last call, without chunk framing.
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanramp::http
