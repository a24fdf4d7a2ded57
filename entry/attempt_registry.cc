#include "entry/attempt_registry.h"

#include <utility>

namespace rattanramp::entry {

void AttemptRegistry::Add(const std::string& attempt_id, const std::string& agent_id,
                          std::shared_ptr<Mailbox> mailbox) {
  const std::lock_guard<std::mutex> lock(mutex_);
  attempts_[attempt_id] = {agent_id, std::move(mailbox)};
}

void AttemptRegistry::Remove(const std::string& attempt_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  attempts_.erase(attempt_id);
}

bool AttemptRegistry::Deliver(RequestEvent event) {
  std::shared_ptr<Mailbox> mailbox;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = attempts_.find(event.attempt_id);
    if (found == attempts_.end()) {
      return false;
    }
    mailbox = found->second.mailbox;
  }
  mailbox->Push(std::move(event));
  return true;
}

void AttemptRegistry::NotifyLinkLost(const std::string& agent_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [attempt_id, attempt] : attempts_) {
    if (attempt.agent_id == agent_id) {
      attempt.mailbox->Push({attempt_id, LinkLost{}});
    }
  }
}

void AttemptRegistry::NotifyLinkRestored(const std::string& agent_id, std::int64_t incarnation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [attempt_id, attempt] : attempts_) {
    if (attempt.agent_id == agent_id) {
      attempt.mailbox->Push({attempt_id, LinkRestored{incarnation}});
    }
  }
}

std::size_t AttemptRegistry::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return attempts_.size();
}

}  // namespace rattanramp::entry
