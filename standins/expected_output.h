// Deterministic output that the simulated engine generates for a prompt. Load tools and tests
// compare responses with it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanramp::standins {

/// Bytes of text in one token.
inline constexpr std::int64_t kTokenBytes = 4;

/// Number of tokens in a text, rounded up.
std::int64_t TokenCount(std::string_view text);

/// Returns the seed from which OutputText generates the output of a prompt.
std::uint64_t OutputSeed(std::string_view prompt);

/// Returns the bytes [first_byte, end_byte) of the output for the seed. The output has no end.
std::string OutputText(std::uint64_t seed, std::int64_t first_byte, std::int64_t end_byte);

/// Returns the output tokens [first_token, first_token + count) of a prompt as text.
std::string ExpectedOutput(std::string_view prompt, std::int64_t first_token, std::int64_t count);

}  // namespace rattanramp::standins
