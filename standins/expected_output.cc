#include "standins/expected_output.h"

#include <array>

#include "base/hash.h"

namespace rattanramp::standins {
namespace {

constexpr std::uint64_t kLetters = 26;

std::array<char, kTokenBytes> OutputToken(std::uint64_t seed, std::int64_t index) {
  const std::string_view key(reinterpret_cast<const char*>(&index), sizeof(index));
  std::uint64_t hash = Hash64(key, seed);
  std::array<char, kTokenBytes> token{' '};
  for (std::size_t i = 1; i < token.size(); ++i) {
    token[i] = static_cast<char>('a' + hash % kLetters);
    hash /= kLetters;
  }
  return token;
}

}  // namespace

std::int64_t TokenCount(std::string_view text) {
  return (static_cast<std::int64_t>(text.size()) + kTokenBytes - 1) / kTokenBytes;
}

std::uint64_t OutputSeed(std::string_view prompt) { return Hash64(prompt); }

std::string OutputText(std::uint64_t seed, std::int64_t first_byte, std::int64_t end_byte) {
  std::string text;
  if (first_byte >= end_byte) {
    return text;
  }
  const std::int64_t first_token = first_byte / kTokenBytes;
  for (std::int64_t i = first_token; i * kTokenBytes < end_byte; ++i) {
    const std::array<char, kTokenBytes> token = OutputToken(seed, i);
    text.append(token.data(), token.size());
  }
  return text.substr(static_cast<std::size_t>(first_byte - first_token * kTokenBytes),
                     static_cast<std::size_t>(end_byte - first_byte));
}

std::string ExpectedOutput(std::string_view prompt, std::int64_t first_token, std::int64_t count) {
  return OutputText(OutputSeed(prompt), first_token * kTokenBytes,
                    (first_token + count) * kTokenBytes);
}

}  // namespace rattanramp::standins
