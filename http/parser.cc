#include "http/parser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional.hpp>
#include <limits>
#include <ostream>
#include <utility>

#include "base/heap.h"

namespace rattanramp::http {
namespace {

namespace beast = boost::beast;
using beast::http::basic_parser;
using beast::http::field;
using beast::http::verb;
using ErrorCode = beast::error_code;

std::string ToString(beast::string_view text) { return {text.data(), text.size()}; }

// Rejects a Transfer-Encoding other than chunked. Beast treats a message with an unknown transfer
// coding as one without a body, so its body would be parsed as the next message.
void CheckTransferEncoding(const Fields& fields, bool chunked, ErrorCode& ec) {
  if (!chunked && FindField(fields, "Transfer-Encoding") != nullptr) {
    ec = beast::http::error::bad_transfer_encoding;
  }
}

// A line that begins with a blank continues the value of the line before it (RFC 9112,
// section 5.2). Read as a field of its own, it can change the framing.
bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

Error MalformedError(const char* message, const ErrorCode& code) {
  return Error{ErrorKind::kProtocol, std::string(message) + ": " + code.message(),
               "send well-formed HTTP/1.1"};
}

}  // namespace

struct RequestParser::Impl final : basic_parser<true> {
  Impl(std::size_t max_head_bytes, std::uint64_t max_body_bytes) : max_body(max_body_bytes) {
    header_limit(static_cast<std::uint32_t>(max_head_bytes));
    body_limit(std::numeric_limits<std::uint64_t>::max());
    eager(true);
  }

  void on_request_impl(verb /*method*/, beast::string_view method, beast::string_view target,
                       int version, ErrorCode& ec) override {
    ec = {};
    head.method = ToString(method);
    head.target = ToString(target);
    head.minor_version = version % 10;
  }
  void on_response_impl(int /*status*/, beast::string_view /*reason*/, int /*version*/,
                        ErrorCode& ec) override {
    ec = {};
  }
  void on_field_impl(field /*name*/, beast::string_view name, beast::string_view value,
                     ErrorCode& ec) override {
    ec = {};
    // Trailers must not become fields of the request.
    if (!is_header_done()) {
      field_bytes += name.size() + value.size();
      head.fields.push_back({ToString(name), ToString(value)});
    }
  }
  void on_header_impl(ErrorCode& ec) override {
    ec = {};
    head.keep_alive = keep_alive();
    CheckBodySize(content_length() ? *content_length() : 0, ec);
    CheckTransferEncoding(head.fields, chunked(), ec);
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, ErrorCode& ec) override {
    ec = {};
  }
  std::size_t on_body_impl(beast::string_view bytes, ErrorCode& ec) override {
    return AppendBody(bytes, ec);
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                            ErrorCode& ec) override {
    ec = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view bytes,
                                 ErrorCode& ec) override {
    return AppendBody(bytes, ec);
  }
  void on_finish_impl(ErrorCode& ec) override { ec = {}; }

  std::size_t AppendBody(beast::string_view bytes, ErrorCode& ec) {
    ec = {};
    CheckBodySize(body.size() + bytes.size(), ec);
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void CheckBodySize(std::uint64_t size, ErrorCode& ec) {
    if (size > max_body) {
      body_too_large = true;
      ec = beast::http::error::body_limit;
    }
  }

  RequestHead head;
  std::string body;
  std::size_t field_bytes = 0;
  std::uint64_t max_body;
  bool body_too_large = false;
};

RequestParser::RequestParser(std::size_t max_head_bytes, std::uint64_t max_body_bytes)
    : impl_(std::make_unique<Impl>(max_head_bytes, max_body_bytes)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

Result<std::size_t> RequestParser::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && !impl_->is_done()) {
    ErrorCode ec;
    const std::size_t parsed =
        impl_->put(boost::asio::const_buffer(bytes.data() + consumed, bytes.size() - consumed), ec);
    consumed += parsed;
    if (ec == beast::http::error::need_more) {
      break;
    }
    if (ec == beast::http::error::header_limit || ec == beast::http::error::body_limit) {
      return Error{ErrorKind::kOverloaded, "request is too large: " + ec.message(),
                   "send a smaller head or body"};
    }
    if (ec) {
      return MalformedError("malformed request", ec);
    }
    if (parsed == 0) {
      break;
    }
  }
  return consumed;
}

bool RequestParser::has_head() const { return impl_->is_header_done(); }
bool RequestParser::is_complete() const { return impl_->is_done(); }
bool RequestParser::body_too_large() const { return impl_->body_too_large; }
bool RequestParser::expects_continue() const {
  const std::string* expect = FindField(impl_->head.fields, "Expect");
  return expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
}
const RequestHead& RequestParser::head() const { return impl_->head; }
std::string& RequestParser::body() { return impl_->body; }
std::size_t RequestParser::held_bytes() const {
  return impl_->head.target.size() + impl_->field_bytes +
         impl_->head.fields.capacity() * sizeof(Field) + HeldBytes(impl_->body);
}

struct ResponseParser::Impl final : basic_parser<false> {
  explicit Impl(bool is_head_request) {
    header_limit(static_cast<std::uint32_t>(kMaxHeadBytes));
    body_limit(std::numeric_limits<std::uint64_t>::max());
    skip(is_head_request);
  }

  void on_request_impl(verb /*method*/, beast::string_view /*name*/, beast::string_view /*target*/,
                       int /*version*/, ErrorCode& ec) override {
    ec = {};
  }
  void on_response_impl(int status, beast::string_view /*reason*/, int /*version*/,
                        ErrorCode& ec) override {
    // Beast accepts any three digits.
    ec = IsValidStatus(status) ? ErrorCode() : make_error_code(beast::http::error::bad_status);
    head.status = status;
  }
  void on_field_impl(field /*name*/, beast::string_view name, beast::string_view value,
                     ErrorCode& ec) override {
    ec = {};
    head.fields.push_back({ToString(name), ToString(value)});
  }
  void on_header_impl(ErrorCode& ec) override {
    ec = {};
    CheckTransferEncoding(head.fields, chunked(), ec);
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, ErrorCode& ec) override {
    ec = {};
  }
  std::size_t on_body_impl(beast::string_view bytes, ErrorCode& ec) override {
    return AppendBody(bytes, ec);
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                            ErrorCode& ec) override {
    ec = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view bytes,
                                 ErrorCode& ec) override {
    return AppendBody(bytes, ec);
  }
  void on_finish_impl(ErrorCode& ec) override { ec = {}; }

  std::size_t AppendBody(beast::string_view bytes, ErrorCode& ec) {
    ec = {};
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  ResponseHead head;
  std::string body;
};

namespace {

BodyFraming FramingOf(const basic_parser<false>& parser) {
  if (parser.need_eof()) {
    return BodyFraming::kUntilClose;
  }
  return parser.chunked() ? BodyFraming::kChunks : BodyFraming::kLength;
}

}  // namespace

ResponseParser::ResponseParser(bool is_head_request)
    : impl_(std::make_unique<Impl>(is_head_request)) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

Result<std::size_t> ResponseParser::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && !impl_->is_done()) {
    const bool had_head = impl_->is_header_done();
    // While the head is incomplete, eager mode is off, so that put() returns after the head and
    // does not parse the body in the same call.
    impl_->eager(had_head);
    ErrorCode ec;
    const std::size_t parsed =
        impl_->put(boost::asio::const_buffer(bytes.data() + consumed, bytes.size() - consumed), ec);
    if (!had_head && HasFoldedLine(bytes.substr(consumed, parsed))) {
      ec = beast::http::error::bad_obs_fold;
    }
    consumed += parsed;
    if (ec && ec != beast::http::error::need_more) {
      return MalformedError("malformed response", ec);
    }
    if (!had_head && impl_->is_header_done()) {
      impl_->head.keep_alive = impl_->keep_alive();
      impl_->head.framing = FramingOf(*impl_);
      break;
    }
    if (ec == beast::http::error::need_more || parsed == 0) {
      break;
    }
  }
  return consumed;
}

bool ResponseParser::FinishAtEof() {
  if (!impl_->is_header_done()) {
    return false;
  }
  if (impl_->is_done()) {
    return true;
  }
  ErrorCode ec;
  impl_->put_eof(ec);
  return !ec && impl_->is_done();
}

bool ResponseParser::has_head() const { return impl_->is_header_done(); }
bool ResponseParser::is_complete() const { return impl_->is_done(); }
const ResponseHead& ResponseParser::head() const { return impl_->head; }
std::string ResponseParser::TakeBody() { return std::exchange(impl_->body, {}); }

}  // namespace rattanramp::http
