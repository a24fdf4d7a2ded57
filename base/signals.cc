#include "base/signals.h"

#include <csignal>
#include <ctime>

namespace rattanramp {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int WaitForStopSignal(Duration timeout) {
  const sigset_t set = StopSignals();
  const std::chrono::nanoseconds timeout_ns =
      std::chrono::duration_cast<std::chrono::nanoseconds>(timeout);
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  timespec wait_time{};
  wait_time.tv_sec = timeout_ns.count() / kNanosPerSecond;
  wait_time.tv_nsec = timeout_ns.count() % kNanosPerSecond;
  const int signal = sigtimedwait(&set, nullptr, &wait_time);
  return signal > 0 ? signal : 0;
}

}  // namespace rattanramp
