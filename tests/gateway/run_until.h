// Runs an event loop until a condition holds, for tests whose result must not depend on the load of
// the machine.
#pragma once

#include <asio/io_context.hpp>
#include <chrono>

namespace rattanramp::tests {

/// Returns whether the condition came to hold within 10 s.
template <typename Condition>
bool RunUntil(asio::io_context& context, Condition condition) {
  constexpr std::chrono::milliseconds kStep{5};
  constexpr std::chrono::seconds kLimit{10};
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + kLimit;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    context.restart();
    context.run_for(kStep);
  }
  return condition();
}

}  // namespace rattanramp::tests
