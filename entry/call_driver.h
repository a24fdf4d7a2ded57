// Runs one call to a plain service, with retries, and issues idempotency keys. Not thread-safe:
// each driver is used by one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/stream.h"
#include "entry/attempt.h"
#include "entry/refusal.h"
#include "entry/request_stats.h"

namespace rattanramp::entry {

struct CallRequest {
  std::string request_id;
  std::shared_ptr<const Service> service;
  std::string method;
  /// Path and query at the upstream, with the leading slash.
  std::string path;
  std::string content_type;
  std::string body;
  std::string idempotency_key;
  TimePoint arrived;
};

struct CallAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The response was recorded by an earlier run; the call did not run again.
  bool replayed = false;
  /// The upstream has stated the end of the body, which is therefore whole.
  bool is_end_stated = true;
};

/// Returns the agent id in an issued key "rr1.<agent>.<incarnation>.<issued_s>.<nonce>", or an
/// empty string for any other key.
std::string AgentOfIssuedKey(const std::string& key);

class CallDriver {
 public:
  /// lease is the time for which an attempt stays open without a link. caller_disconnected is
  /// called a few times per second.
  CallDriver(const DriverContext& context, CallRequest request, Milliseconds lease,
             std::function<bool()> caller_disconnected);
  ~CallDriver();
  CallDriver(const CallDriver&) = delete;
  CallDriver& operator=(const CallDriver&) = delete;

  RefusalOr<CallAnswer> Run();

  const RequestStats& stats() const { return stats_; }
  const CallRequest& request() const { return request_; }

 private:
  /// Reason why an attempt failed. owner_agent is set when the refusal names the owner of the key.
  struct Failure {
    core::FailureKind kind = core::FailureKind::kLost;
    Refusal refusal;
    std::string owner_agent;
  };
  using AttemptResult =
      boost::outcome_v2::basic_result<CallAnswer, Failure, boost::outcome_v2::policy::terminate>;

  RefusalOr<std::string> ChooseAgent() const;
  AttemptResult RunAttempt(const std::string& agent_id);
  /// Dials the agent if needed and waits for the link. Returns false without a link.
  bool WaitForLink(const std::string& agent_id);
  AttemptResult WaitForAnswer(Attempt& attempt);
  /// Returns a failure when the event ends the attempt without a response.
  std::optional<Failure> Handle(Attempt& attempt, RequestEvent event);
  std::optional<Failure> OnEnd(Attempt& attempt, const wire::End& end);
  /// Returns a failure when the caller has disconnected, the entry is aborting, the deadline has
  /// passed or the lease has expired.
  std::optional<Failure> CheckTermination(Attempt& attempt);
  /// Decides whether to retry and waits for the back-off. Returns false when there is no retry.
  bool PrepareRetry(const Failure& failure, const std::string& agent_id);
  std::int32_t CrashCount() const;
  wire::Submit MakeSubmit() const;

  DriverContext context_;
  CallRequest request_;
  Milliseconds lease_;
  std::function<bool()> caller_disconnected_;
  TimePoint deadline_;
  /// Agent named in an issued idempotency key. Empty for other keys and for repeatable services.
  std::string pinned_agent_;
  std::int64_t fingerprint_ = 0;
  std::shared_ptr<Mailbox> mailbox_;
  core::StreamAssembler stream_;
  CallAnswer answer_;
  std::vector<std::string> excluded_agents_;
  /// Agent to which an OWNED_ELSEWHERE refusal redirected the call.
  std::string owner_agent_;
  std::int32_t failures_ = 0;
  std::int32_t own_crashes_ = 0;
  core::Outcome outcome_ = core::Outcome::kNotRun;
  RequestStats stats_;
};

/// Requests an idempotency key from an agent of the service.
RefusalOr<std::string> IssueKey(const DriverContext& context, const Service& service,
                                const std::string& request_id,
                                const std::function<bool()>& caller_disconnected);

}  // namespace rattanramp::entry
