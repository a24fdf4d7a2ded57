// One attempt at an agent: opened by a Submit, closed by its result or a Cancel.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "entry/agent_links.h"
#include "entry/attempt_registry.h"
#include "entry/crash_tracker.h"
#include "entry/fleet_table.h"
#include "entry/retry_budgets.h"

namespace rattanramp::entry {

/// Parts of the entry that the drivers use. All of them outlive the requests.
struct DriverContext {
  const Clock& clock;
  FleetTable& fleet;
  AgentLinks& links;
  AttemptRegistry& attempts;
  CrashTracker& crash_tracker;
  RetryBudgets& budgets;
  Metrics& metrics;
  /// Set when the process stops and does not wait for requests in flight any longer.
  const std::atomic<bool>& aborting;
};

struct Attempt {
  std::string id;
  std::string agent_id;
  /// Incarnation of the agent to which the attempt was sent.
  std::int64_t incarnation = 0;
  wire::WorkKind::type kind = wire::WorkKind::GENERATE;
  /// Sent and without a result so far.
  bool open = false;
  bool granted = false;
  /// Set while the link to the agent is down.
  std::optional<TimePoint> link_lost_at;
  /// Last message of the agent about the attempt, or last question to it.
  TimePoint last_message_at;
};

/// Registers the attempt and sends the Submit, whose attempt_id is filled in. Errors: those of
/// AgentLinks::Send; nothing was sent then.
Result<Attempt> OpenAttempt(const DriverContext& context, const std::shared_ptr<Mailbox>& mailbox,
                            const std::string& agent_id, wire::Submit submit,
                            const AttemptLoad& load);

/// Ends an attempt that has its result.
void FinishAttempt(const DriverContext& context, Attempt& attempt);

/// Ends an attempt whose result is no longer wanted; does nothing when it is not open.
void CancelAttempt(const DriverContext& context, Attempt& attempt, const std::string& reason);

/// Asks the agent to send the output again from the offset.
void SendResume(const DriverContext& context, const Attempt& attempt, std::int64_t offset);

/// Asks the agent about an attempt of which nothing was heard for the lease. An agent that has
/// dropped the attempt, for example because this process was paused, then says so.
void SendResumeIfSilent(const DriverContext& context, Attempt& attempt, Milliseconds lease,
                        std::int64_t offset);

/// Time at which an attempt whose link is down is given up; TimePoint::max() while it is up.
TimePoint LeaseEnd(const Attempt& attempt, Milliseconds lease);

}  // namespace rattanramp::entry
