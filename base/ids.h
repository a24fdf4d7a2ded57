// Random identifiers of processes, requests and attempts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanramp {

/// Positive number that differs between starts of a process: milliseconds since 1970, followed by
/// 10 random bits.
std::int64_t NewIncarnation();

/// Prefix, a dash and 16 random hexadecimal digits.
std::string NewId(std::string_view prefix);

}  // namespace rattanramp
