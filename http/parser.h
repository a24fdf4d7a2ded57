// Incremental HTTP/1.1 parsers over Boost.Beast's parser. They take bytes as an event loop reads
// them and never look past the end of a message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "http/message.h"

namespace rattanramp::http {

/// Largest head that a parser accepts when its user sets no smaller limit, in bytes.
inline constexpr std::size_t kMaxHeadBytes = 64 * 1024;

class RequestParser {
 public:
  RequestParser(std::size_t max_head_bytes, std::uint64_t max_body_bytes);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /// Consumes the bytes that belong to the message and returns their number; bytes of an
  /// unfinished line are left to the caller, who presents them again with more.
  /// Errors: kProtocol (malformed), kOverloaded (head or body over its limit, see body_too_large).
  Result<std::size_t> Feed(std::string_view bytes);

  bool has_head() const;
  bool is_complete() const;
  bool body_too_large() const;
  /// The client waits for "100 Continue" before it sends the body.
  bool expects_continue() const;
  const RequestHead& head() const;
  /// Body so far, without chunk framing.
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

class ResponseParser {
 public:
  /// is_head_request: the answer has no body, whatever its fields say.
  explicit ResponseParser(bool is_head_request);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  /// As RequestParser::Feed. Stops once after the head, so that its reader can decide about the
  /// body. Errors: kProtocol.
  Result<std::size_t> Feed(std::string_view bytes);

  /// The peer closed its side in order. True when that completes the message.
  bool FinishAtEof();

  bool has_head() const;
  bool is_complete() const;
  const ResponseHead& head() const;
  /// Body bytes that arrived since the last call, without chunk framing.
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanramp::http
