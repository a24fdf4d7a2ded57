#include <criterion/criterion.h>

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

#include "http/parser.h"
#include "rapidcheck.h"

using namespace rattanramp;

namespace {

/// What a parser made of some bytes, whatever the pieces in which they came. A message that is not
/// complete may be found malformed at once or only when more bytes arrive: Beast parses a head that
/// comes in pieces when its end has arrived.
struct Outcome {
  bool is_complete = false;
  /// Empty if the message is not complete.
  std::string body;

  bool operator==(const Outcome&) const = default;
};

std::ostream& operator<<(std::ostream& out, const Outcome& outcome) {
  return out << "{complete " << outcome.is_complete << ", body '" << outcome.body << "'}";
}

template <typename Parser, typename TakeBody>
Outcome Parse(Parser parser, const std::vector<std::string>& pieces, TakeBody take_body) {
  Outcome outcome;
  std::string unparsed;
  for (const std::string& piece : pieces) {
    unparsed += piece;
    while (!unparsed.empty() && !parser.is_complete()) {
      const Result<std::size_t> used = parser.Feed(unparsed);
      if (!used) {
        return {};
      }
      RC_ASSERT(used.value() <= unparsed.size());
      unparsed.erase(0, used.value());
      take_body(parser, outcome.body);
      if (used.value() == 0) {
        break;
      }
    }
  }
  outcome.is_complete = parser.is_complete();
  return outcome.is_complete ? outcome : Outcome();
}

Outcome ParseResponse(const std::vector<std::string>& pieces) {
  return Parse(http::ResponseParser(false), pieces,
               [](http::ResponseParser& parser, std::string& body) { body += parser.TakeBody(); });
}

Outcome ParseRequest(const std::vector<std::string>& pieces) {
  return Parse(http::RequestParser(16'384, 65'536), pieces,
               [](http::RequestParser& parser, std::string& body) { body = parser.body(); });
}

/// Replaces, removes and repeats some bytes of a well-formed message.
std::string Damage(std::string message) {
  const int changes = *rc::gen::inRange(0, 4);
  for (int i = 0; i < changes && !message.empty(); ++i) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, message.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        message[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
      case 1:
        message.erase(at, 1 + *rc::gen::inRange<std::size_t>(0, 6));
        break;
      default:
        message.insert(at, message.substr(at, 1 + *rc::gen::inRange<std::size_t>(0, 30)));
    }
  }
  return message;
}

std::vector<std::string> Split(const std::string& message) {
  std::vector<std::string> pieces;
  std::size_t from = 0;
  while (from < message.size()) {
    const std::size_t size = *rc::gen::inRange<std::size_t>(1, 40);
    pieces.push_back(message.substr(from, size));
    from += size;
  }
  return pieces;
}

const std::vector<std::string> kResponses = {
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 11\r\n\r\nhello there",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;a=b\r\n there\r\n0\r\n"
    "X-End: 1\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};

const std::vector<std::string> kRequests = {
    "POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello there",
    "POST /p/x?a=b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
    "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n"};

}  // namespace

// Guards against an answer that is read differently, or read beyond its bytes, depending on how the
// network cuts it.
Test(parser_fuzz, response_does_not_depend_on_the_pieces, .timeout = 60) {
  cr_assert(rc::check("response", [] {
    const std::string bytes = Damage(*rc::gen::elementOf(kResponses));
    const Outcome whole = ParseResponse({bytes});
    const Outcome split = ParseResponse(Split(bytes));
    RC_LOG() << "whole " << whole << ", split " << split << ", bytes " << bytes;
    RC_ASSERT(whole == split);
  }));
}

// The same for requests; a difference could be used to smuggle one request inside another.
Test(parser_fuzz, request_does_not_depend_on_the_pieces, .timeout = 60) {
  cr_assert(rc::check("request", [] {
    const std::string bytes = Damage(*rc::gen::elementOf(kRequests));
    const Outcome whole = ParseRequest({bytes});
    const Outcome split = ParseRequest(Split(bytes));
    RC_LOG() << "whole " << whole << ", split " << split << ", bytes " << bytes;
    RC_ASSERT(whole == split);
  }));
}
