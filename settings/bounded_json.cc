#include "settings/bounded_json.h"

#include <utility>

namespace rattanramp::settings {
namespace {

using nlohmann::json;

constexpr int kMaxDepth = 64;
constexpr std::size_t kMaxShownBytes = 100;

}  // namespace

std::optional<json> ParseBoundedJson(std::string_view text) {
  bool too_deep = false;
  json parsed = json::parse(
      text,
      [&too_deep](int depth, json::parse_event_t, const json&) {
        too_deep = too_deep || depth > kMaxDepth;
        return !too_deep;
      },
      false);
  if (too_deep || parsed.is_discarded()) {
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

}  // namespace rattanramp::settings
