// Routes frames and link events to the request that owns the attempt.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>

#include "base/bounded_queue.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::entry {

/// Event: the link to the attempt's agent went down.
struct LinkLost {};

/// Event: the link to the attempt's agent is up again.
struct LinkRestored {
  std::int64_t incarnation = 0;
};

/// Event for one request. Messages are held by pointer to keep the event queue of a request small.
struct RequestEvent {
  std::string attempt_id;
  std::variant<LinkLost, LinkRestored, std::unique_ptr<wire::Granted>,
               std::unique_ptr<wire::Refused>, std::unique_ptr<wire::PrefillDone>,
               std::unique_ptr<wire::Chunk>, std::unique_ptr<wire::End>,
               std::unique_ptr<wire::KeyIssued>>
      body;
};

/// Event queue of one request. Events that arrive while the queue is full are dropped and
/// overflowed is set; the reader then requests the missing output from the agents again.
struct Mailbox {
  /// At 63 ms per token this buffers 16 s of output for a caller that does not read.
  static constexpr std::size_t kCapacity = 256;

  BoundedQueue<RequestEvent> events{kCapacity};
  std::atomic<bool> overflowed{false};

  void Push(RequestEvent event) {
    if (!events.TryPush(std::move(event))) {
      overflowed.store(true);
    }
  }
};

/// Thread-safe.
class AttemptRegistry {
 public:
  /// Must be called before the Submit is sent, so that the request receives LinkLost if the link
  /// fails during the send.
  void Add(const std::string& attempt_id, const std::string& agent_id,
           std::shared_ptr<Mailbox> mailbox);
  void Remove(const std::string& attempt_id);

  /// Returns false when no request is registered for the attempt.
  bool Deliver(RequestEvent event);
  void NotifyLinkLost(const std::string& agent_id);
  void NotifyLinkRestored(const std::string& agent_id, std::int64_t incarnation);

  std::size_t size() const;

 private:
  struct Attempt {
    std::string agent_id;
    std::shared_ptr<Mailbox> mailbox;
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Attempt> attempts_;
};

}  // namespace rattanramp::entry
