#include "base/bounded_json.h"

#include <utility>

namespace rattanramp {
namespace {

using nlohmann::json;

constexpr int kMaxDepth = 64;
constexpr std::size_t kMaxShownBytes = 100;

/// Whether brackets outside strings nest at most kMaxDepth levels. The result for
/// text that is not JSON may also be true.
bool IsShallow(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      // The character after a backslash does not end the string.
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) {
        return false;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return true;
}

}  // namespace

std::optional<json> ParseBoundedJson(std::string_view text) {
  // The nesting is checked before parsing. The callback of the parser receives the depth too, but
  // its run time is quadratic in the number of members of an object.
  if (!IsShallow(text)) {
    return std::nullopt;
  }
  json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    return std::nullopt;
  }
  return parsed;
}

std::string ShortText(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

}  // namespace rattanramp
