#include "http/parser.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace rattanramp;

namespace {

/// Feeds the text in segments of the given size and returns the unconsumed bytes, or an error.
template <typename Parser>
Result<std::string> FeedInSegments(Parser& parser, const std::string& text,
                                   std::size_t segment_size) {
  std::string buffer;
  for (std::size_t offset = 0; offset < text.size(); offset += segment_size) {
    buffer += text.substr(offset, segment_size);
    while (!buffer.empty() && !parser.is_complete()) {
      const Result<std::size_t> consumed = parser.Feed(buffer);
      if (!consumed) {
        return consumed.error();
      }
      buffer.erase(0, consumed.value());
      if (consumed.value() == 0) {
        break;
      }
    }
  }
  return buffer;
}

}  // namespace

// Guards against bytes of the next request being consumed as part of the current one. This could
// happen when both arrive in the same read or when a read ends inside the chunk framing.
Test(http_parser, request_ends_at_its_framing_boundary) {
  const std::string request =
      "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  const bool ok = rc::check("framing", [&] {
    http::RequestParser parser(16'384, 1'000);
    const std::size_t segment_size = *rc::gen::inRange<std::size_t>(1, 80);
    const Result<std::string> unconsumed =
        FeedInSegments(parser, request + "GET /next", segment_size);
    RC_ASSERT(unconsumed.has_value());
    RC_ASSERT(parser.is_complete());
    RC_ASSERT(parser.body() == "abcde");
    RC_ASSERT(parser.head().target == "/a/b?x=1");
    RC_ASSERT(unconsumed.value() == "GET /next");
  });
  cr_assert(ok);
}

// Guards against request smuggling, which is possible when this parser and another one find
// different ends of the same request. Heads with ambiguous framing must be rejected.
Test(http_parser, ambiguous_framing_is_rejected) {
  const std::vector<std::string> headers = {
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: +5\r\n",
      "Content-Length : 5\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
  };
  for (const std::string& header : headers) {
    http::RequestParser parser(16'384, 1'000);
    const Result<std::size_t> consumed = parser.Feed("POST / HTTP/1.1\r\n" + header + "\r\nabcde");
    cr_assert(!consumed.has_value(), "accepted: %s", header.c_str());
  }
}

// Guards against a request body that exhausts the memory of a small VM.
Test(http_parser, body_over_the_limit_is_rejected) {
  http::RequestParser parser(16'384, 4);
  const Result<std::size_t> consumed =
      parser.Feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde");
  cr_assert(!consumed.has_value());
  cr_assert(consumed.error().kind == ErrorKind::kOverloaded);
  cr_assert(parser.body_too_large());
}

// Guards against a truncated response being forwarded as complete when the connection is closed
// before the end of the body.
Test(http_parser, truncated_response_is_not_complete) {
  http::ResponseParser truncated(false);
  cr_assert(
      FeedInSegments(truncated, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 7).has_value());
  cr_assert(!truncated.is_complete());
  cr_assert(!truncated.FinishAtEof());

  http::ResponseParser unframed(false);
  cr_assert(FeedInSegments(unframed, "HTTP/1.1 200 OK\r\n\r\nabc", 7).has_value());
  cr_assert(!unframed.is_complete());
  cr_assert(unframed.head().framing == http::BodyFraming::kUntilClose);
  cr_assert(unframed.FinishAtEof());
  cr_assert_eq(unframed.TakeBody(), "abc");

  http::ResponseParser chunked(false);
  cr_assert(FeedInSegments(chunked,
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 9)
                .has_value());
  cr_assert(!chunked.FinishAtEof());
}

// Guards against forwarding a caller's hop-by-hop fields, including those that its Connection field
// lists, to an upstream.
Test(http_message, hop_by_hop_fields_are_removed) {
  const http::Fields fields = {{"Host", "h"},
                               {"Connection", "close, X-Private"},
                               {"X-Private", "1"},
                               {"Keep-Alive", "timeout=5"},
                               {"Accept", "*/*"}};
  const http::Fields kept = http::EndToEndFields(fields);
  cr_assert_eq(kept.size(), 2);
  cr_assert(http::FindField(kept, "host") != nullptr);
  cr_assert(http::FindField(kept, "accept") != nullptr);
}

// Guards against trailers that become fields of the request: a caller could state another identity,
// deadline or key behind a body, and trailers without end would take memory.
Test(http_parser, trailers_are_dropped) {
  const std::string request =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
      "Request-Id: other\r\nFiller: f\r\n\r\n";
  for (const std::size_t size : {std::size_t{1}, std::size_t{7}, request.size()}) {
    http::RequestParser parser(16'384, 65'536);
    const Result<std::string> rest = FeedInSegments(parser, request, size);
    cr_assert(rest && rest.value().empty());
    cr_assert(parser.is_complete());
    cr_assert_eq(parser.body(), "x");
    cr_assert_eq(parser.head().fields.size(), 2);
    cr_assert_null(http::FindField(parser.head().fields, "Request-Id"));
  }
}

// Guards against a status that HTTP doesn't have, such as 000, being passed on as an answer, or
// taken for an informational one.
Test(http_parser, status_out_of_range_is_rejected) {
  for (int status = 0; status < 1'000; ++status) {
    const std::string digits = std::to_string(1'000 + status).substr(1);
    std::string head = "HTTP/1.1 ";
    head.append(digits).append(" Text\r\nContent-Length: 0\r\n\r\n");
    for (const std::size_t segment_size : {std::size_t{1}, head.size()}) {
      http::ResponseParser parser(false);
      const bool is_accepted = FeedInSegments(parser, head, segment_size).has_value();
      cr_expect_eq(is_accepted, status >= 100 && status < 600, "status %s", digits.c_str());
    }
  }
}

// Guards against a field whose name holds a blank, a control byte or another delimiter: it would be
// passed on, or hide the framing of the body, as "Content-Length : 5" does.
Test(http_parser, field_name_that_is_no_token_is_rejected) {
  const std::string token_characters =
      "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
  for (int value = 0; value < 256; ++value) {
    const char byte = static_cast<char>(value);
    for (const std::string& name :
         {byte + std::string("Name"), "Na" + std::string(1, byte) + "me",
          "A-long-name-of-more-than-sixteen-bytes" + std::string(1, byte)}) {
      // A colon within a name ends it.
      const bool is_valid =
          token_characters.find(byte) != std::string::npos || (byte == ':' && name[0] != ':');
      for (const std::string& before : {std::string(), std::string("Id: a\r\n")}) {
        std::string head = "HTTP/1.1 200 OK\r\n";
        head.append(before).append(name).append(": x\r\nContent-Length: 0\r\n\r\n");
        for (const std::size_t segment_size : {std::size_t{1}, head.size()}) {
          http::ResponseParser parser(false);
          const bool is_accepted = FeedInSegments(parser, head, segment_size).has_value();
          cr_expect_eq(is_accepted, is_valid, "byte %d in '%s' after '%s'", value, name.c_str(),
                       before.c_str());
        }
      }
    }
  }
}

// Guards against a control byte that is passed on in the value of a field. Tabs are allowed.
Test(http_parser, control_byte_in_a_field_value_is_rejected) {
  for (int value = 0; value < 256; ++value) {
    std::string head = "HTTP/1.1 200 OK\r\nId: a";
    head.append(1, static_cast<char>(value)).append("b\r\nContent-Length: 0\r\n\r\n");
    for (const std::size_t segment_size : {std::size_t{1}, head.size()}) {
      http::ResponseParser parser(false);
      const bool is_accepted = FeedInSegments(parser, head, segment_size).has_value();
      cr_expect_eq(is_accepted, value == '\t' || (value >= 32 && value != 127), "byte %d", value);
    }
  }
}
