// JSON parsing with a bound on nesting, for text that comes from outside the process.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rattanramp::settings {

/// Parses JSON without exceptions. Empty when the text is not JSON or nests deeper than 64 levels:
/// code that walks or writes a value is recursive and would exhaust the stack.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text);

/// Text of a value for an error message, cut to 100 bytes. Invalid UTF-8 is replaced.
std::string ShortText(const nlohmann::json& value);

}  // namespace rattanramp::settings
