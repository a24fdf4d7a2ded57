// At-most-once state machine of one agent incarnation for calls with an idempotency key. The caller
// performs the store writes and the runs that the functions ask for. Not thread-safe.
//
// A key is claimed (an issued key by naming this incarnation, a caller's own key by an intent
// record), then runs once. An attempt that is told NOT_RUN is marked as abandoned first and can
// never run afterwards; another attempt with the same key may.
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
};

/// Parts of a key issued by an agent: rr1.<agent>.<incarnation>.<issued_s>.<nonce>.
struct IssuedKey {
  std::string agent;
  std::int64_t incarnation = 0;
  std::int64_t issued_s = 0;
};

std::string FormatIssuedKey(const IssuedKey& key, std::string_view nonce);
/// Empty when the text is not an issued key and therefore a caller's own key.
std::optional<IssuedKey> ParseIssuedKey(std::string_view text);

enum class CallState {
  /// The intent record is being written.
  kClaiming,
  /// Owned by this incarnation, not running; has never run.
  kOwned,
  kRunning,
  kDone,
  /// Sent to the upstream, answer lost.
  kUnknown,
};

struct CallEntry {
  CallState state = CallState::kOwned;
  bool issued = false;
  std::int64_t issued_s = 0;
  std::int64_t body_hash = 0;
  /// Attempt named in the intent record.
  std::string claim_attempt;
  /// Attempts that wait for the claim or the result.
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
  /// Abandoned attempts with the time of their mark. None of them has run or will run.
  std::unordered_map<std::string, std::int64_t> abandoned;
  /// Attempts whose intent record exists or may appear later while its key has not run, with the
  /// time of their mark. Another attempt with that key may run on such a record.
  std::unordered_map<std::string, std::int64_t> unused_claims;
  /// Attempts that were told to run, with the time. A copy of one whose call is no longer in memory
  /// must not be told NOT_RUN.
  std::unordered_map<std::string, std::int64_t> ran;
  /// Issued keys up to this time may have been removed from memory; an unknown one is refused.
  std::int64_t evicted_issued_s = 0;
};

/// Intent record of a caller's own key as it is stored in `calls/<service>/<key>`.
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
  /// The claim or the run of an earlier attempt is under way; its end answers this attempt.
  kWait,
  /// Answer with the recorded result.
  kReplay,
  kRefuse,
};

enum class CallRefusal {
  kNone,
  /// NOT_RUN: the key was used with another body.
  kKeyReused,
  /// NOT_RUN by this attempt: another agent owns the key.
  kOwnedElsewhere,
  /// UNKNOWN: the incarnation that owned the key is gone.
  kOwnerGone,
  /// UNKNOWN: the key is older than the memory of keys.
  kKeyExpired,
  /// NOT_RUN: the attempt was abandoned before.
  kAbandoned,
  /// NOT_RUN: the intent record could not be written.
  kStoreUnavailable,
  /// UNKNOWN: the call was sent to the upstream and its answer was lost.
  kOutcomeUnknown,
  /// NOT_RUN: the memory of keys is full of calls that are under way.
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

/// What the table service said about a claim.
enum class ClaimStatus {
  kOwned,
  /// Another record exists; see ClaimReply::record.
  kConflict,
  /// Nothing was written.
  kUnavailable,
  /// The write may have taken effect, now or later, and could not be read back.
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
/// is kRun. Refused attempts are marked as abandoned where the refusal says NOT_RUN. Empty when the
/// ledger no longer waits for this claim.
std::vector<CallDecision> FinishClaim(CallLedger& ledger, const std::string& name,
                                      const std::string& attempt, const ClaimReply& reply,
                                      std::int64_t now_ms);

/// Marks an attempt as abandoned. True when the attempt has not run and never will; NOT_RUN may
/// then be said. False when its call has been sent to the upstream.
bool AbandonAttempt(CallLedger& ledger, const std::string& name, const std::string& attempt,
                    std::int64_t now_ms);

/// The run ended with an answer. Returns the attempts to answer.
std::vector<std::string> FinishRun(CallLedger& ledger, const std::string& name,
                                   const CallResult& result, std::int64_t now_ms);

/// The call was sent and its answer was lost. Returns the attempts to answer with UNKNOWN.
std::vector<std::string> RecordLostAnswer(CallLedger& ledger, const std::string& name,
                                          std::int64_t now_ms);

/// The call was not sent (connection refused). The key may run later by another attempt. Returns
/// the attempts to answer with NOT_RUN; they are marked as abandoned.
std::vector<std::string> CancelRun(CallLedger& ledger, const std::string& name,
                                   std::int64_t now_ms);

/// Removes entries beyond the limits. Calls that are under way stay.
void EvictOldCalls(CallLedger& ledger, const CallLimits& limits, std::int64_t now_ms);

}  // namespace rattanramp::core
