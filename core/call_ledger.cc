#include "core/call_ledger.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace rattanramp::core {
namespace {

constexpr std::string_view kIssuedPrefix = "rr1.";

/// Marks of attempts are kept for one hour. No duplicate of a Submit arrives later than that,
/// because a link without traffic is closed after seconds. If the mark of an unused claim is
/// removed, the only effect is that its key is answered as `unknown`.
constexpr std::int64_t kMarkRetentionMs = 3'600'000;

CallDecision Refuse(const std::string& attempt, CallRefusal refusal) {
  CallDecision decision;
  decision.attempt = attempt;
  decision.action = CallAction::kRefuse;
  decision.refusal = refusal;
  return decision;
}

CallDecision MakeDecision(const std::string& attempt, CallAction action) {
  CallDecision decision;
  decision.attempt = attempt;
  decision.action = action;
  return decision;
}

CallDecision StartRun(CallLedger& ledger, CallEntry& entry, const std::string& attempt,
                      std::int64_t now_ms) {
  entry.state = CallState::kRunning;
  ledger.unused_claims.erase(entry.claim_attempt);
  ledger.ran[attempt] = now_ms;
  return MakeDecision(attempt, CallAction::kRun);
}

CallDecision Replay(const std::string& attempt, const CallResult& result) {
  CallDecision decision = MakeDecision(attempt, CallAction::kReplay);
  decision.result = result;
  return decision;
}

CallDecision RefuseNamingOwner(const std::string& attempt, CallRefusal refusal,
                               const std::string& agent, std::int64_t incarnation) {
  CallDecision decision = Refuse(attempt, refusal);
  decision.owner_agent = agent;
  decision.owner_incarnation = incarnation;
  return decision;
}

/// Marks the attempt as abandoned if it is refused with NOT_RUN, so that a late duplicate of it
/// cannot run.
CallDecision MarkIfNotRun(CallLedger& ledger, CallDecision decision, std::int64_t now_ms) {
  if (decision.action == CallAction::kRefuse && IsNotRun(decision.refusal)) {
    ledger.abandoned[decision.attempt] = now_ms;
  }
  return decision;
}

bool IsUnderWay(const CallEntry& entry) {
  return entry.state == CallState::kClaiming || entry.state == CallState::kRunning;
}

void AddWaiter(CallEntry& entry, const std::string& attempt) {
  if (std::find(entry.waiters.begin(), entry.waiters.end(), attempt) == entry.waiters.end()) {
    entry.waiters.push_back(attempt);
  }
}

CallDecision DecideForEntry(CallLedger& ledger, CallEntry& entry, const CallSubmit& submit,
                            std::int64_t now_ms) {
  if (entry.body_hash != submit.body_hash) {
    return Refuse(submit.attempt, CallRefusal::kKeyReused);
  }
  entry.touched_ms = now_ms;
  switch (entry.state) {
    case CallState::kClaiming:
    case CallState::kRunning:
      AddWaiter(entry, submit.attempt);
      return MakeDecision(submit.attempt, CallAction::kWait);
    case CallState::kOwned:
      AddWaiter(entry, submit.attempt);
      return StartRun(ledger, entry, submit.attempt, now_ms);
    case CallState::kDone:
      return Replay(submit.attempt, entry.result);
    case CallState::kUnknown:
      return Refuse(submit.attempt, CallRefusal::kOutcomeUnknown);
  }
  return Refuse(submit.attempt, CallRefusal::kOutcomeUnknown);
}

/// Whether the entry of an attempt that was started still records that run. After an eviction the
/// entry is missing or belongs to a newer claim that has not run.
bool HasRunEntry(const CallLedger& ledger,
                 std::unordered_map<std::string, CallEntry>::const_iterator entry) {
  return entry != ledger.calls.end() && entry->second.state != CallState::kClaiming &&
         entry->second.state != CallState::kOwned;
}

/// Checks an issued key that is not in memory. The refusal is kNone when this incarnation may run
/// it.
CallDecision CheckIssuedKey(const CallLedger& ledger, const IssuedKey& key,
                            const CallSubmit& submit, const CallLimits& limits,
                            std::int64_t now_ms) {
  if (key.agent != ledger.agent) {
    return RefuseNamingOwner(submit.attempt, CallRefusal::kOwnedElsewhere, key.agent,
                             key.incarnation);
  }
  if (key.incarnation != ledger.incarnation) {
    return RefuseNamingOwner(submit.attempt, CallRefusal::kOwnerGone, key.agent, key.incarnation);
  }
  constexpr std::int64_t kMsPerSecond = 1000;
  const std::int64_t age_ms = now_ms - key.issued_s * kMsPerSecond;
  if (age_ms >= limits.retention_ms || key.issued_s <= ledger.evicted_issued_s) {
    return Refuse(submit.attempt, CallRefusal::kKeyExpired);
  }
  return MakeDecision(submit.attempt, CallAction::kRun);
}

/// Decision for one waiting attempt of a claim that found another record in the store.
CallDecision DecideConflict(const CallLedger& ledger, const std::string& attempt,
                            std::int64_t body_hash, const IntentRecord& record) {
  if (record.body_hash != body_hash) {
    return Refuse(attempt, CallRefusal::kKeyReused);
  }
  if (record.state == "done") {
    return Replay(attempt, record.result);
  }
  if (record.state == "unknown") {
    return Refuse(attempt, CallRefusal::kOutcomeUnknown);
  }
  if (record.agent != ledger.agent) {
    return RefuseNamingOwner(attempt, CallRefusal::kOwnedElsewhere, record.agent,
                             record.incarnation);
  }
  // If this incarnation wrote the record but the key is not in memory, the entry of its run may
  // have been evicted.
  return RefuseNamingOwner(attempt,
                           record.incarnation == ledger.incarnation ? CallRefusal::kOutcomeUnknown
                                                                    : CallRefusal::kOwnerGone,
                           record.agent, record.incarnation);
}

// JSON text must be UTF-8, but bodies may contain any bytes, so byte 0xNN is stored as the
// character U+00NN.
constexpr unsigned char kFirstTwoByte = 0x80;
constexpr unsigned char kLeadByteBits = 0xC0;
constexpr unsigned char kContinuationMask = 0x3F;
constexpr int kContinuationBits = 6;

std::string BytesToText(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char character : bytes) {
    const unsigned char byte = static_cast<unsigned char>(character);
    if (byte < kFirstTwoByte) {
      text.push_back(character);
      continue;
    }
    text.push_back(static_cast<char>(kLeadByteBits | (byte >> kContinuationBits)));
    text.push_back(static_cast<char>(kFirstTwoByte | (byte & kContinuationMask)));
  }
  return text;
}

std::string TextToBytes(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const unsigned char byte = static_cast<unsigned char>(text[i]);
    if (byte < kFirstTwoByte || i + 1 == text.size()) {
      bytes.push_back(text[i]);
      continue;
    }
    ++i;
    bytes.push_back(static_cast<char>((byte << kContinuationBits) |
                                      (static_cast<unsigned char>(text[i]) & kContinuationMask)));
  }
  return bytes;
}

/// Whether the record was written by this incarnation and its key has not run since.
bool IsOwnUnusedClaim(const CallLedger& ledger, const ClaimReply& reply) {
  return reply.record && reply.record->state == "intent" && reply.record->agent == ledger.agent &&
         reply.record->incarnation == ledger.incarnation &&
         ledger.unused_claims.contains(reply.record->attempt);
}

}  // namespace

std::string FormatIssuedKey(const IssuedKey& key, std::string_view nonce) {
  return std::string(kIssuedPrefix) + key.agent + "." + std::to_string(key.incarnation) + "." +
         std::to_string(key.issued_s) + "." + std::string(nonce);
}

std::optional<IssuedKey> ParseIssuedKey(std::string_view text) {
  if (!text.starts_with(kIssuedPrefix)) {
    return std::nullopt;
  }
  text.remove_prefix(kIssuedPrefix.size());
  // The agent id may contain dots, the parts after it may not, so the text is split from the end.
  const std::size_t nonce = text.rfind('.');
  if (nonce == std::string_view::npos || nonce == 0) {
    return std::nullopt;
  }
  const std::size_t issued = text.rfind('.', nonce - 1);
  if (issued == std::string_view::npos || issued == 0) {
    return std::nullopt;
  }
  const std::size_t incarnation = text.rfind('.', issued - 1);
  if (incarnation == std::string_view::npos || incarnation == 0) {
    return std::nullopt;
  }
  const auto read = [&text](std::size_t begin, std::size_t end, std::int64_t& number) {
    const std::from_chars_result result =
        std::from_chars(text.data() + begin, text.data() + end, number);
    return result.ec == std::errc() && result.ptr == text.data() + end;
  };
  IssuedKey key;
  key.agent = std::string(text.substr(0, incarnation));
  if (!read(incarnation + 1, issued, key.incarnation) || !read(issued + 1, nonce, key.issued_s)) {
    return std::nullopt;
  }
  return key;
}

std::string FormatIntent(const IntentRecord& record) {
  nlohmann::json object = {{"agent", record.agent},
                           {"incarnation", record.incarnation},
                           {"attempt", record.attempt},
                           {"body_hash", record.body_hash},
                           {"state", record.state}};
  if (record.state == "done") {
    object["status"] = record.result.status;
    object["content_type"] = record.result.content_type;
    if (!record.result.is_end_stated) {
      object["end_unstated"] = true;
    }
    object["body"] = BytesToText(record.result.body);
  }
  return object.dump();
}

Result<IntentRecord> ParseIntent(const std::string& text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  const Error error{ErrorKind::kProtocol, "row is not an intent record",
                    "check which program writes below calls/"};
  if (!object.is_object()) {
    return error;
  }
  try {
    IntentRecord record;
    record.agent = object.at("agent").get<std::string>();
    record.incarnation = object.at("incarnation").get<std::int64_t>();
    record.attempt = object.at("attempt").get<std::string>();
    record.body_hash = object.at("body_hash").get<std::int64_t>();
    record.state = object.at("state").get<std::string>();
    if (record.state == "done") {
      record.result.status = object.at("status").get<int>();
      record.result.content_type = object.at("content_type").get<std::string>();
      record.result.is_end_stated = !object.value("end_unstated", false);
      record.result.body = TextToBytes(object.at("body").get<std::string>());
    }
    return record;
  } catch (const nlohmann::json::exception&) {
    return error;
  }
}

bool IsNotRun(CallRefusal refusal) {
  switch (refusal) {
    case CallRefusal::kKeyReused:
    case CallRefusal::kOwnedElsewhere:
    case CallRefusal::kAbandoned:
    case CallRefusal::kStoreUnavailable:
    case CallRefusal::kTableFull:
      return true;
    case CallRefusal::kNone:
    case CallRefusal::kOwnerGone:
    case CallRefusal::kKeyExpired:
    case CallRefusal::kOutcomeUnknown:
      return false;
  }
  return false;
}

std::string CallName(std::string_view service, std::string_view key) {
  return std::string(service) + "/" + std::string(key);
}

CallDecision SubmitCall(CallLedger& ledger, const CallSubmit& submit, const CallLimits& limits,
                        std::int64_t now_ms) {
  if (ledger.abandoned.contains(submit.attempt)) {
    return Refuse(submit.attempt, CallRefusal::kAbandoned);
  }
  const std::string name = CallName(submit.service, submit.key);
  const auto found = ledger.calls.find(name);
  if (ledger.ran.contains(submit.attempt) && !HasRunEntry(ledger, found)) {
    return Refuse(submit.attempt, CallRefusal::kOutcomeUnknown);
  }
  if (found != ledger.calls.end()) {
    return MarkIfNotRun(ledger, DecideForEntry(ledger, found->second, submit, now_ms), now_ms);
  }
  const std::optional<IssuedKey> issued = ParseIssuedKey(submit.key);
  if (issued) {
    const CallDecision check = CheckIssuedKey(ledger, *issued, submit, limits, now_ms);
    if (check.action == CallAction::kRefuse) {
      return MarkIfNotRun(ledger, check, now_ms);
    }
  }
  if (ledger.calls.size() >= limits.max_entries) {
    EvictOldCalls(ledger, limits, now_ms);
  }
  if (ledger.calls.size() >= limits.max_entries) {
    return MarkIfNotRun(ledger, Refuse(submit.attempt, CallRefusal::kTableFull), now_ms);
  }
  CallEntry& entry = ledger.calls[name];
  entry.issued = issued.has_value();
  entry.issued_s = issued ? issued->issued_s : 0;
  entry.body_hash = submit.body_hash;
  entry.touched_ms = now_ms;
  entry.claim_attempt = submit.attempt;
  entry.state = CallState::kClaiming;
  AddWaiter(entry, submit.attempt);
  return issued ? StartRun(ledger, entry, submit.attempt, now_ms)
                : MakeDecision(submit.attempt, CallAction::kClaim);
}

std::vector<CallDecision> FinishClaim(CallLedger& ledger, const std::string& name,
                                      const std::string& attempt, const ClaimReply& reply,
                                      std::int64_t now_ms) {
  const auto found = ledger.calls.find(name);
  if (found == ledger.calls.end() || found->second.state != CallState::kClaiming ||
      found->second.claim_attempt != attempt) {
    return {};
  }
  CallEntry& entry = found->second;
  entry.touched_ms = now_ms;
  std::vector<CallDecision> decisions;
  const bool own_unused = IsOwnUnusedClaim(ledger, reply);
  if (reply.status == ClaimStatus::kOwned || own_unused) {
    if (own_unused && reply.record->body_hash != entry.body_hash) {
      // The stored record binds the key to another body, whose call has not run.
      entry.body_hash = reply.record->body_hash;
      for (const std::string& waiter : entry.waiters) {
        decisions.push_back(MarkIfNotRun(ledger, Refuse(waiter, CallRefusal::kKeyReused), now_ms));
      }
      entry.waiters.clear();
    }
    if (own_unused) {
      entry.claim_attempt = reply.record->attempt;
    }
    if (entry.waiters.empty()) {
      entry.state = CallState::kOwned;
      ledger.unused_claims[entry.claim_attempt] = now_ms;
      return decisions;
    }
    for (const std::string& waiter : entry.waiters) {
      decisions.push_back(decisions.empty() ? StartRun(ledger, entry, waiter, now_ms)
                                            : MakeDecision(waiter, CallAction::kWait));
    }
    return decisions;
  }
  const std::vector<std::string> waiters = std::move(entry.waiters);
  const std::int64_t body_hash = entry.body_hash;
  ledger.calls.erase(found);
  if (reply.status == ClaimStatus::kUncertain) {
    // The write may still take effect; the record is then recognised by its attempt.
    ledger.unused_claims[attempt] = now_ms;
  }
  for (const std::string& waiter : waiters) {
    const CallDecision decision = reply.status == ClaimStatus::kConflict && reply.record
                                      ? DecideConflict(ledger, waiter, body_hash, *reply.record)
                                      : Refuse(waiter, CallRefusal::kStoreUnavailable);
    decisions.push_back(MarkIfNotRun(ledger, decision, now_ms));
  }
  return decisions;
}

bool AbandonAttempt(CallLedger& ledger, const std::string& name, const std::string& attempt,
                    std::int64_t now_ms) {
  const auto found = ledger.calls.find(name);
  if (found != ledger.calls.end()) {
    CallEntry& entry = found->second;
    const auto waiter = std::find(entry.waiters.begin(), entry.waiters.end(), attempt);
    if (waiter != entry.waiters.end()) {
      if (entry.state == CallState::kRunning) {
        return false;
      }
      entry.waiters.erase(waiter);
    }
  }
  ledger.abandoned[attempt] = now_ms;
  return true;
}

std::vector<std::string> FinishRun(CallLedger& ledger, const std::string& name,
                                   const CallResult& result, std::int64_t now_ms) {
  const auto found = ledger.calls.find(name);
  if (found == ledger.calls.end() || found->second.state != CallState::kRunning) {
    return {};
  }
  found->second.state = CallState::kDone;
  found->second.result = result;
  found->second.touched_ms = now_ms;
  return std::exchange(found->second.waiters, {});
}

std::vector<std::string> RecordLostAnswer(CallLedger& ledger, const std::string& name,
                                          std::int64_t now_ms) {
  const auto found = ledger.calls.find(name);
  if (found == ledger.calls.end() || found->second.state != CallState::kRunning) {
    return {};
  }
  found->second.state = CallState::kUnknown;
  found->second.touched_ms = now_ms;
  return std::exchange(found->second.waiters, {});
}

std::vector<std::string> CancelRun(CallLedger& ledger, const std::string& name,
                                   std::int64_t now_ms) {
  const auto found = ledger.calls.find(name);
  if (found == ledger.calls.end() || found->second.state != CallState::kRunning) {
    return {};
  }
  found->second.state = CallState::kOwned;
  found->second.touched_ms = now_ms;
  if (!found->second.issued) {
    ledger.unused_claims[found->second.claim_attempt] = now_ms;
  }
  std::vector<std::string> waiters = std::exchange(found->second.waiters, {});
  for (const std::string& waiter : waiters) {
    ledger.ran.erase(waiter);
    ledger.abandoned[waiter] = now_ms;
  }
  return waiters;
}

void EvictOldCalls(CallLedger& ledger, const CallLimits& limits, std::int64_t now_ms) {
  // A tenth of the entries is removed at a time, so that the entries are not sorted on every call
  // once the ledger is full.
  constexpr std::size_t kEvictionDivisor = 10;
  std::size_t surplus = 0;
  if (ledger.calls.size() >= limits.max_entries) {
    surplus = ledger.calls.size() - limits.max_entries + 1 + limits.max_entries / kEvictionDivisor;
  }
  std::vector<std::pair<std::int64_t, const std::string*>> idle;
  for (const auto& [name, entry] : ledger.calls) {
    const bool old = now_ms - entry.touched_ms >= limits.retention_ms;
    if (!IsUnderWay(entry) && (old || surplus > 0)) {
      idle.emplace_back(entry.touched_ms, &name);
    }
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [touched_ms, name] : idle) {
    if (surplus == 0 && now_ms - touched_ms < limits.retention_ms) {
      break;
    }
    const auto entry = ledger.calls.find(*name);
    if (entry->second.issued) {
      ledger.evicted_issued_s = std::max(ledger.evicted_issued_s, entry->second.issued_s);
    }
    ledger.calls.erase(entry);
    surplus -= surplus > 0 ? 1 : 0;
  }
  const auto is_old = [now_ms](const auto& mark) {
    return now_ms - mark.second >= kMarkRetentionMs;
  };
  std::erase_if(ledger.abandoned, is_old);
  std::erase_if(ledger.unused_claims, is_old);
  std::erase_if(ledger.ran, is_old);
}

}  // namespace rattanramp::core
