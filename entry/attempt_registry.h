// Delivers frames and link events to the requests whose attempts they concern.
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

/// The link to the attempt's agent is down.
struct LinkLost {};

/// The link to the attempt's agent is up again.
struct LinkRestored {
  std::int64_t incarnation = 0;
};

/// Large messages are held by pointer, which keeps the ring of a request small.
struct RequestEvent {
  std::string attempt_id;
  std::variant<LinkLost, LinkRestored, std::unique_ptr<wire::Granted>,
               std::unique_ptr<wire::Refused>, std::unique_ptr<wire::PrefillDone>,
               std::unique_ptr<wire::Chunk>, std::unique_ptr<wire::End>,
               std::unique_ptr<wire::KeyIssued>>
      body;
};

/// Events of one request. When the ring was full, the reader asks the agents to send again.
struct Mailbox {
  /// At 63 ms a token this covers a caller that takes nothing for 16 s.
  static constexpr std::size_t kCapacity = 256;

  BoundedQueue<RequestEvent> events{kCapacity};
  std::atomic<bool> overflowed{false};

  void Push(RequestEvent event) {
    if (!events.TryPush(std::move(event))) {
      overflowed.store(true);
    }
  }
};

/// Safe from any thread.
class AttemptRegistry {
 public:
  /// Register before sending, so that a link that fails meanwhile is reported to the request.
  void Add(const std::string& attempt_id, const std::string& agent_id,
           std::shared_ptr<Mailbox> mailbox);
  void Remove(const std::string& attempt_id);

  /// Returns false when no request waits for the attempt.
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
