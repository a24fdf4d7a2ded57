// The output that a stand-in engine generates for a prompt. Load tools and tests compare answers
// with it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanramp::standins {

/// Bytes of text in one token.
inline constexpr std::int64_t kTokenBytes = 4;

/// Tokens of a text, rounded up.
std::int64_t TokenCount(std::string_view text);

/// Identifies the output of a prompt; the argument of OutputText.
std::uint64_t OutputSeed(std::string_view prompt);

/// Bytes [first_byte, end_byte) of the unbounded output that belongs to the seed.
std::string OutputText(std::uint64_t seed, std::int64_t first_byte, std::int64_t end_byte);

/// Text of output tokens [first_token, first_token + count) of a prompt.
std::string ExpectedOutput(std::string_view prompt, std::int64_t first_token, std::int64_t count);

}  // namespace rattanramp::standins
