#include "agent/canceller.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace rattanramp::agent {
namespace {

constexpr std::size_t kQueueCapacity = 4096;
constexpr Milliseconds kPollInterval{20};
constexpr Milliseconds kRetryDelay{200};
/// Number of attempts if the upstream reports that the request is unknown. A cancel can arrive
/// before the request that it cancels, so it is repeated.
constexpr int kMaxNotFoundAttempts = 3;
constexpr int kMaxAttempts = 20;

}  // namespace

Canceller::Canceller(UpstreamPort& upstream, const Clock& clock)
    : upstream_(upstream), clock_(clock), queue_(kQueueCapacity), thread_([this] { RunLoop(); }) {}

Canceller::~Canceller() {
  queue_.Close();
  thread_.join();
}

void Canceller::Cancel(const std::string& request_id) {
  pending_count_.fetch_add(1);
  if (!queue_.TryPush(request_id)) {
    pending_count_.fetch_sub(1);
    Log(LogLevel::kError, "cancel_dropped", {{"request", request_id}});
  }
}

void Canceller::RunLoop() {
  while (true) {
    std::optional<std::string> id = queue_.Pop(kPollInterval);
    if (id) {
      pending_.push_back(Pending{std::move(*id), 0, clock_.now()});
    }
    const TimePoint now = clock_.now();
    const std::size_t removed = std::erase_if(pending_, [this, now](Pending& pending) {
      return pending.next_attempt <= now && TryCancel(pending);
    });
    pending_count_.fetch_sub(removed);
    if (queue_.closed() && !id) {
      return;
    }
  }
}

bool Canceller::TryCancel(Pending& pending) {
  const Result<void> result = upstream_.Cancel(pending.request_id);
  ++pending.attempts;
  if (result) {
    return true;
  }
  const ErrorKind kind = result.error().kind;
  // An engine that refuses connections runs no requests, so nothing is left to cancel.
  if (kind == ErrorKind::kUnavailable || pending.attempts >= kMaxAttempts ||
      (kind == ErrorKind::kNotFound && pending.attempts >= kMaxNotFoundAttempts)) {
    return true;
  }
  pending.next_attempt = clock_.now() + kRetryDelay;
  return false;
}

}  // namespace rattanramp::agent
