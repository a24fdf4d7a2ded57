// One attempt to run a request on an agent. A Submit opens it; its result or a Cancel closes it.
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

/// Objects of the entry that the request drivers use. All of them must outlive the requests.
struct DriverContext {
  const Clock& clock;
  FleetTable& fleet;
  AgentLinks& links;
  AttemptRegistry& attempts;
  CrashTracker& crash_tracker;
  RetryBudgets& budgets;
  Metrics& metrics;
  /// Set at shutdown when requests in flight must be aborted.
  const std::atomic<bool>& aborting;
};

struct Attempt {
  std::string id;
  std::string agent_id;
  /// Incarnation of the agent at the time of the Submit.
  std::int64_t incarnation = 0;
  wire::WorkKind::type kind = wire::WorkKind::GENERATE;
  /// Submitted, without a result so far.
  bool open = false;
  bool granted = false;
  /// Time at which the link to the agent went down; empty while it is up.
  std::optional<TimePoint> link_lost_at;
  /// Time of the last message from the agent about the attempt, or of the last Resume that
  /// SendResumeIfInactive sent.
  TimePoint last_message_at;
};

/// Registers the attempt, sets submit.attempt_id and sends the Submit. Errors: those of
/// AgentLinks::Send; after an error nothing was sent.
Result<Attempt> OpenAttempt(const DriverContext& context, const std::shared_ptr<Mailbox>& mailbox,
                            const std::string& agent_id, wire::Submit submit,
                            const AttemptLoad& load);

/// Closes an attempt that has its result.
void FinishAttempt(const DriverContext& context, Attempt& attempt);

/// Closes an attempt whose result is no longer needed and sends a Cancel. Does nothing when the
/// attempt is not open.
void CancelAttempt(const DriverContext& context, Attempt& attempt, const std::string& reason);

/// Requests that the agent sends the output again from the offset.
void SendResume(const DriverContext& context, const Attempt& attempt, std::int64_t offset);

/// Sends a Resume when no message about the attempt arrived for the duration of the lease. If the
/// agent has dropped the attempt, for example because this process was paused, it responds with a
/// failed End.
void SendResumeIfInactive(const DriverContext& context, Attempt& attempt, Milliseconds lease,
                          std::int64_t offset);

/// Returns the time at which an attempt fails because its link stayed down for the whole lease, or
/// TimePoint::max() while the link is up.
TimePoint LeaseEnd(const Attempt& attempt, Milliseconds lease);

}  // namespace rattanramp::entry
