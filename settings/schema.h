// Types, units and ranges of the settings keys.
#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace rattanramp::settings {

enum class ValueType { kBoolean, kInteger, kNumber, kString, kChoice };

struct KeySpec {
  std::string_view name;
  ValueType type;
  /// Empty for values without a unit.
  std::string_view unit;
  double min = 0;
  double max = 0;
  /// Allowed values of a kChoice key, separated by '|'.
  std::string_view choices;
  std::string_view description;
};

/// All keys in the order of the documentation.
std::span<const KeySpec> Keys();

/// nullptr when the key does not exist.
const KeySpec* FindKey(std::string_view name);

/// Candidate with the smallest edit distance to name. Returns the first one when several have the
/// same distance, and an empty name when there are no candidates.
std::string_view NearestName(std::string_view name, std::span<const std::string_view> candidates);

/// Existing key with the smallest edit distance to name.
std::string_view NearestKey(std::string_view name);

/// Whether the value of an existing key has the JSON type of that key. Ranges are not checked.
bool HasKeyType(std::string_view key, const nlohmann::json& value);

/// Description of the allowed values of a key, without the unit, for example "an integer from 1 to
/// 20".
std::string AllowedValues(const KeySpec& spec);

/// Markdown table of all keys with unit, default, allowed values and description.
std::string KeysAsMarkdown();

/// Checks one value. The error names path, key, value, what is allowed and, for an unknown key, the
/// nearest valid one. Error: kInvalidArgument.
Result<void> CheckValue(std::string_view path, std::string_view key, const nlohmann::json& value);

}  // namespace rattanramp::settings
