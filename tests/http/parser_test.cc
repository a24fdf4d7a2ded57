#include "http/parser.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace rattanramp;

namespace {

/// Feeds the text in pieces of the given size and returns what was left over, or an error.
template <typename Parser>
Result<std::string> FeedInPieces(Parser& parser, const std::string& text, std::size_t piece) {
  std::string buffer;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    buffer += text.substr(at, piece);
    while (!buffer.empty() && !parser.is_complete()) {
      const Result<std::size_t> used = parser.Feed(buffer);
      if (!used) {
        return used.error();
      }
      buffer.erase(0, used.value());
      if (used.value() == 0) {
        break;
      }
    }
  }
  return buffer;
}

}  // namespace

// Guards against bytes of the next request being read as part of this one, however they arrive.
Test(http_parser, request_ends_where_its_framing_says) {
  const std::string request =
      "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  const bool ok = rc::check("framing", [&] {
    http::RequestParser parser(16'384, 1'000);
    const std::size_t piece = *rc::gen::inRange<std::size_t>(1, 80);
    const Result<std::string> rest = FeedInPieces(parser, request + "GET /next", piece);
    RC_ASSERT(rest.has_value());
    RC_ASSERT(parser.is_complete());
    RC_ASSERT(parser.body() == "abcde");
    RC_ASSERT(parser.head().target == "/a/b?x=1");
    RC_ASSERT(rest.value() == "GET /next");
  });
  cr_assert(ok);
}

// Guards against request smuggling: heads that two readers could frame differently are refused.
Test(http_parser, ambiguous_framing_is_refused) {
  const std::vector<std::string> heads = {
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: +5\r\n",
      "Content-Length : 5\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
  };
  for (const std::string& head : heads) {
    http::RequestParser parser(16'384, 1'000);
    const Result<std::size_t> used = parser.Feed("POST / HTTP/1.1\r\n" + head + "\r\nabcde");
    cr_assert(!used.has_value(), "accepted: %s", head.c_str());
  }
}

// Guards against a large body filling the memory of a small VM.
Test(http_parser, body_over_the_limit_is_refused) {
  http::RequestParser parser(16'384, 4);
  const Result<std::size_t> used = parser.Feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde");
  cr_assert(!used.has_value());
  cr_assert(used.error().kind == ErrorKind::kOverloaded);
  cr_assert(parser.body_too_large());
}

// Guards against a cut answer that is passed on as whole.
Test(http_parser, response_is_complete_only_at_its_end) {
  http::ResponseParser cut(false);
  cr_assert(FeedInPieces(cut, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 7).has_value());
  cr_assert(!cut.is_complete());
  cr_assert(!cut.FinishAtEnd());

  http::ResponseParser unframed(false);
  cr_assert(FeedInPieces(unframed, "HTTP/1.1 200 OK\r\n\r\nabc", 7).has_value());
  cr_assert(!unframed.is_complete());
  cr_assert(unframed.head().ends_with_connection);
  cr_assert(unframed.FinishAtEnd());
  cr_assert_eq(unframed.TakeBody(), "abc");

  http::ResponseParser chunked(false);
  cr_assert(
      FeedInPieces(chunked, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 9)
          .has_value());
  cr_assert(!chunked.FinishAtEnd());
}

// Guards against one caller's connection fields reaching an upstream.
Test(http_message, connection_fields_stay_on_their_hop) {
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
