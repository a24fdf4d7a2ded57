#include "base/ids.h"

#include <spdlog/fmt/fmt.h>

#include <random>

#include "base/clock.h"

namespace rattanramp {
namespace {

std::uint64_t RandomBits() {
  thread_local std::mt19937_64 engine{[] {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
  }()};
  return engine();
}

}  // namespace

std::int64_t NewIncarnation() {
  constexpr std::uint64_t kRandomBits = 10;
  const std::uint64_t time = static_cast<std::uint64_t>(DefaultClock().unix_ms()) << kRandomBits;
  return static_cast<std::int64_t>(time | (RandomBits() & ((1U << kRandomBits) - 1)));
}

std::string NewId(std::string_view prefix) {
  return fmt::format("{}-{:016x}", prefix, RandomBits());
}

}  // namespace rattanramp
