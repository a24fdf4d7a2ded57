// At-most-once state machine of one agent incarnation for calls with an idempotency key. The
// functions return the store writes and the runs that are due; the code that uses the ledger
// performs them. Not thread-safe.
//
// A key is first claimed and then runs once. An issued key is claimed by this incarnation because
// the key contains the incarnation's number; a key chosen by the caller is claimed by writing an
// intent record. Before an attempt is answered with NOT_RUN it is marked as abandoned, and it can
// never run afterwards; another attempt with the same key may still run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.h"

namespace rattanramp::core {

/// Answer of the upstream to a call.
struct CallResult {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The upstream has stated the end of the body, which is therefore whole.
  bool is_end_stated = true;
};

/// Parts of a key issued by an agent: rr1.<agent>.<incarnation>.<issued_s>.<nonce>.
struct IssuedKey {
  std::string agent;
  std::int64_t incarnation = 0;
  std::int64_t issued_s = 0;
};

std::string FormatIssuedKey(const IssuedKey& key, std::string_view nonce);
/// Empty when the text is not an issued key; it is then a key chosen by the caller.
std::optional<IssuedKey> ParseIssuedKey(std::string_view text);

enum class CallState {
  /// The intent record is being written.
  kClaiming,
  /// Claimed by this incarnation; has never run.
  kOwned,
  kRunning,
  kDone,
  /// Sent to the upstream, but the answer was lost.
  kUnknown,
};

struct CallEntry {
  CallState state = CallState::kOwned;
  bool issued = false;
  std::int64_t issued_s = 0;
  std::int64_t body_hash = 0;
  /// Attempt named in the intent record.
  std::string claim_attempt;
  /// Attempts to answer when the claim or the run ends.
  std::vector<std::string> waiters;
  CallResult result;
  std::int64_t touched_ms = 0;
};

struct CallLimits {
  std::size_t max_entries = 100'000;
  std::int64_t retention_ms = 86'400'000;
};

struct CallLedger {
  std::string agent;
  std::int64_t incarnation = 0;
  /// By service and key.
  std::unordered_map<std::string, CallEntry> calls;
  /// Abandoned attempts with the time at which they were marked. None of them has run or will run.
  std::unordered_map<std::string, std::int64_t> abandoned;
  /// Attempts with the time at which they were marked, whose intent record is stored or may still
  /// be stored by a delayed write, and whose key has not run. Another attempt with that key may run
  /// on the basis of such a record.
  std::unordered_map<std::string, std::int64_t> unused_claims;
  /// Attempts whose run was started, with the time of the start. A duplicate of such an attempt
  /// must not be answered with NOT_RUN, even when its call has been evicted from memory.
  std::unordered_map<std::string, std::int64_t> ran;
  /// Issued keys with an issue time up to this one may have been evicted from memory. Such a key is
  /// refused if it is not in memory.
  std::int64_t evicted_issued_s = 0;
};

/// Intent record of a key chosen by the caller, as stored in `calls/<service>/<key>`.
struct IntentRecord {
  std::string agent;
  std::int64_t incarnation = 0;
  std::string attempt;
  std::int64_t body_hash = 0;
  /// "intent", "done" or "unknown".
  std::string state = "intent";
  CallResult result;
};

std::string FormatIntent(const IntentRecord& record);
/// Error: kProtocol when the text is not an intent record.
Result<IntentRecord> ParseIntent(const std::string& text);

enum class CallAction {
  /// Run the call now.
  kRun,
  /// Write the intent record, then call FinishClaim.
  kClaim,
  /// The claim or the run of an earlier attempt is in progress; this attempt is answered when it
  /// ends.
  kWait,
  /// Answer with the recorded result.
  kReplay,
  kRefuse,
};

enum class CallRefusal {
  kNone,
  /// NOT_RUN: the key was used with another body.
  kKeyReused,
  /// NOT_RUN for this attempt: another agent owns the key.
  kOwnedElsewhere,
  /// UNKNOWN: the agent incarnation that owned the key has ended.
  kOwnerGone,
  /// UNKNOWN: the key is older than the retention time, or not newer than an evicted key.
  kKeyExpired,
  /// NOT_RUN: the attempt was abandoned earlier.
  kAbandoned,
  /// NOT_RUN: the intent record could not be written.
  kStoreUnavailable,
  /// UNKNOWN: the call was sent to the upstream and its answer was lost.
  kOutcomeUnknown,
  /// NOT_RUN: the ledger is full of calls that are in progress.
  kTableFull,
};

struct CallDecision {
  std::string attempt;
  CallAction action = CallAction::kRefuse;
  CallRefusal refusal = CallRefusal::kNone;
  std::string owner_agent;
  std::int64_t owner_incarnation = 0;
  /// Set for kReplay.
  CallResult result;
};

struct CallSubmit {
  std::string attempt;
  std::string service;
  std::string key;
  std::int64_t body_hash = 0;
};

/// Result of writing an intent record to the table service.
enum class ClaimStatus {
  kOwned,
  /// Another record exists; see ClaimReply::record.
  kConflict,
  /// Nothing was written.
  kUnavailable,
  /// The write may have taken effect or may still take effect, and the record could not be read
  /// back.
  kUncertain,
};

struct ClaimReply {
  ClaimStatus status = ClaimStatus::kUnavailable;
  std::optional<IntentRecord> record;
};

/// Whether a refusal with this reason proves that the attempt did not and will not run.
bool IsNotRun(CallRefusal refusal);

/// Name of a key in CallLedger::calls and, below `calls/`, in the table service.
std::string CallName(std::string_view service, std::string_view key);

CallDecision SubmitCall(CallLedger& ledger, const CallSubmit& submit, const CallLimits& limits,
                        std::int64_t now_ms);

/// Ends the claim of `attempt`. Returns one decision for each waiting attempt; at most one of them
/// is kRun. Attempts that are refused with NOT_RUN are marked as abandoned. Empty when this claim
/// is no longer pending.
std::vector<CallDecision> FinishClaim(CallLedger& ledger, const std::string& name,
                                      const std::string& attempt, const ClaimReply& reply,
                                      std::int64_t now_ms);

/// Marks an attempt as abandoned. Returns true when the attempt has not run and never will, so that
/// it may be answered with NOT_RUN. Returns false when its call has been sent to the upstream.
bool AbandonAttempt(CallLedger& ledger, const std::string& name, const std::string& attempt,
                    std::int64_t now_ms);

/// The run ended with an answer. Returns the attempts to answer.
std::vector<std::string> FinishRun(CallLedger& ledger, const std::string& name,
                                   const CallResult& result, std::int64_t now_ms);

/// The call was sent and its answer was lost. Returns the attempts to answer with UNKNOWN.
std::vector<std::string> RecordLostAnswer(CallLedger& ledger, const std::string& name,
                                          std::int64_t now_ms);

/// The call was not sent (connection refused). Another attempt may run the key later. Returns the
/// attempts to answer with NOT_RUN; they are marked as abandoned.
std::vector<std::string> CancelRun(CallLedger& ledger, const std::string& name,
                                   std::int64_t now_ms);

/// Removes entries that exceed the limits. Calls that are in progress are kept.
void EvictOldCalls(CallLedger& ledger, const CallLimits& limits, std::int64_t now_ms);

}  // namespace rattanramp::core
