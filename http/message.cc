#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <ostream>

namespace rattanramp::http {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "connection",        "keep-alive", "proxy-connection",
    "transfer-encoding", "te",         "trailer",
    "content-length",    "upgrade",    "expect"};

char ToLower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

/// Calls `visit` for each non-empty element of a comma-separated list, without the spaces and tabs
/// around it.
template <typename Visit>
void ForEachToken(std::string_view list, Visit visit) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    std::string_view token = list.substr(0, comma);
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    while (!token.empty() && (token.front() == ' ' || token.front() == '\t')) {
      token.remove_prefix(1);
    }
    while (!token.empty() && (token.back() == ' ' || token.back() == '\t')) {
      token.remove_suffix(1);
    }
    if (!token.empty()) {
      visit(token);
    }
  }
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ToLower(x) == ToLower(y);
         });
}

const std::string* FindField(std::span<const Field> fields, std::string_view name) {
  for (const Field& field : fields) {
    if (EqualsIgnoreCase(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

bool IsFieldText(std::string_view text) {
  constexpr char kFirstVisible = '!';
  constexpr char kLastVisible = '~';
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= kFirstVisible && c <= kLastVisible;
  });
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                     [&](std::string_view known) { return EqualsIgnoreCase(known, name); });
}

Fields EndToEndFields(std::span<const Field> fields) {
  std::vector<std::string_view> connection_options;
  for (const Field& field : fields) {
    if (EqualsIgnoreCase(field.name, "connection")) {
      ForEachToken(field.value,
                   [&](std::string_view token) { connection_options.push_back(token); });
    }
  }
  Fields kept;
  kept.reserve(fields.size());
  for (const Field& field : fields) {
    const bool is_connection_option =
        std::any_of(connection_options.begin(), connection_options.end(),
                    [&](std::string_view name) { return EqualsIgnoreCase(name, field.name); });
    if (!is_connection_option && !IsHopByHop(field.name)) {
      kept.push_back(field);
    }
  }
  return kept;
}

void AppendFields(std::span<const Field> fields, std::string& out) {
  for (const Field& field : fields) {
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

bool IsValidStatus(int code) {
  constexpr int kFirstStatus = 100;
  constexpr int kLastStatus = 599;
  return code >= kFirstStatus && code <= kLastStatus;
}

std::string_view ReasonPhrase(int status) {
  const boost::beast::string_view phrase =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  return phrase.empty() ? std::string_view("Status")
                        : std::string_view(phrase.data(), phrase.size());
}

std::string_view FramingName(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kUntilClose:
      break;
  }
  return "close";
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

}  // namespace rattanramp::http
