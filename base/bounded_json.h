// JSON parsing with a nesting limit, for text that comes from outside the process.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rattanramp {

/// Parses JSON without exceptions. Returns nullopt when the text is not JSON or nests deeper than
/// 64 levels. The limit prevents a stack overflow in code that traverses or serialises a value
/// recursively.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text);

/// Text of a value for an error message, truncated to 100 bytes. Invalid UTF-8 is replaced.
std::string ShortText(const nlohmann::json& value);

}  // namespace rattanramp
