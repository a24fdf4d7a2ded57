#include "core/call_ledger.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

constexpr int kKeys = 4;
constexpr std::int64_t kStartMs = 1'700'000'000'000;

// Uses a fixed size, because rapidcheck otherwise narrows the ranges in the first cases and rare
// steps are hardly ever generated.
int In(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}
bool WithProbabilityOneIn(int count) { return In(1, count) == 1; }

/// Intent write that an agent has handed to the store thread.
struct PendingClaim {
  std::string agent;
  std::int64_t incarnation = 0;
  std::string name;
  IntentRecord record;
};

struct PendingReply {
  std::string agent;
  std::int64_t incarnation = 0;
  std::string name;
  std::string attempt;
  ClaimReply reply;
};

struct PendingRun {
  std::string agent;
  std::int64_t incarnation = 0;
  std::string name;
  std::string attempt;
  std::int64_t body_hash = 0;
};

/// State of an attempt as observed from outside the ledgers.
struct TrackedAttempt {
  CallSubmit submit;
  std::string agent;
  std::int64_t incarnation = 0;
  std::int64_t submitted_ms = 0;
  bool sent = false;
  bool answered_not_run = false;
  bool open = false;
};

/// Two agents that share one table service, with a count of the runs of each key.
class CallSimulation {
 public:
  CallSimulation() {
    Start("a");
    Start("b");
  }

  void Step() {
    now_ms_ += In(0, 50);
    switch (In(0, 11)) {
      case 0:
      case 1:
      case 2:
        SubmitNew();
        break;
      case 3:
        RepeatSubmit();
        break;
      case 4:
      case 5:
        ProcessClaim();
        break;
      case 6:
        DeliverReply();
        break;
      case 7:
      case 8:
        EndRun();
        break;
      case 9:
        Abandon();
        break;
      case 10:
        ApplyDelayedWrite();
        break;
      case 11:
        InjectFault();
        break;
      default:
        break;
    }
  }

 private:
  void Start(const std::string& agent) {
    CallLedger ledger;
    ledger.agent = agent;
    ledger.incarnation = next_incarnation_++;
    ledgers_[agent] = ledger;
  }

  std::string PickAgent() { return WithProbabilityOneIn(3) ? "b" : "a"; }

  std::string PickKey() {
    const int index = In(0, kKeys - 1);
    if (WithProbabilityOneIn(2)) {
      return "own-" + std::to_string(index);
    }
    // The incarnation that issued the key may have ended since.
    const std::string agent = PickAgent();
    const std::string fixed = agent + std::to_string(index);
    const auto known = issued_.find(fixed);
    if (known != issued_.end() && !WithProbabilityOneIn(5)) {
      return known->second;
    }
    const CallLedger& ledger = ledgers_.at(agent);
    issued_[fixed] = FormatIssuedKey(IssuedKey{agent, ledger.incarnation, now_ms_ / 1000},
                                     "n" + std::to_string(next_attempt_++));
    return issued_[fixed];
  }

  void SubmitNew() {
    CallSubmit submit;
    submit.attempt = "t" + std::to_string(next_attempt_++);
    submit.service = "claims";
    submit.key = PickKey();
    submit.body_hash = WithProbabilityOneIn(8) ? 2 : 1;
    const std::string agent = PickAgent();
    TrackedAttempt& tracked = attempts_[submit.attempt];
    tracked.submit = submit;
    tracked.agent = agent;
    tracked.incarnation = ledgers_.at(agent).incarnation;
    tracked.submitted_ms = now_ms_;
    tracked.open = true;
    Submit(agent, submit);
  }

  /// Submits an attempt again, as a late or duplicated frame does.
  void RepeatSubmit() {
    if (attempts_.empty()) {
      return;
    }
    const TrackedAttempt& tracked = RandomAttempt();
    // A link without traffic is closed after seconds, so no frame is an hour late.
    constexpr std::int64_t kLatestFrameMs = 3'600'000;
    if (ledgers_.at(tracked.agent).incarnation == tracked.incarnation &&
        now_ms_ - tracked.submitted_ms < kLatestFrameMs) {
      Submit(tracked.agent, CallSubmit(tracked.submit));
    }
  }

  TrackedAttempt& RandomAttempt() {
    const int index = In(0, static_cast<int>(attempts_.size()) - 1);
    return std::next(attempts_.begin(), index)->second;
  }

  void Submit(const std::string& agent, const CallSubmit& submit) {
    CallLedger& ledger = ledgers_.at(agent);
    const CallDecision decision = SubmitCall(ledger, submit, limits_, now_ms_);
    if (decision.action == CallAction::kClaim) {
      IntentRecord record;
      record.agent = agent;
      record.incarnation = ledger.incarnation;
      record.attempt = submit.attempt;
      record.body_hash = submit.body_hash;
      claims_.push_back(
          PendingClaim{agent, ledger.incarnation, CallName(submit.service, submit.key), record});
      return;
    }
    Apply(agent, decision);
  }

  void Apply(const std::string& agent, const CallDecision& decision) {
    TrackedAttempt& tracked = attempts_.at(decision.attempt);
    const std::string name = CallName(tracked.submit.service, tracked.submit.key);
    switch (decision.action) {
      case CallAction::kRun:
        // Invariants: no key runs twice, and no attempt runs after NOT_RUN.
        RC_ASSERT(runs_[name] == 0);
        RC_ASSERT(!tracked.answered_not_run);
        runs_[name] = 1;
        tracked.sent = true;
        running_.push_back(PendingRun{agent, ledgers_.at(agent).incarnation, name, decision.attempt,
                                      tracked.submit.body_hash});
        break;
      case CallAction::kReplay:
        RC_ASSERT(runs_[name] == 1);
        RC_ASSERT(decision.result.body == "result of " + name);
        tracked.open = false;
        break;
      case CallAction::kRefuse:
        tracked.open = false;
        if (IsNotRun(decision.refusal)) {
          RecordNotRun(tracked);
        }
        break;
      case CallAction::kWait:
      case CallAction::kClaim:
        break;
    }
  }

  void RecordNotRun(TrackedAttempt& tracked) {
    RC_ASSERT(!tracked.sent);
    tracked.answered_not_run = true;
    tracked.open = false;
  }

  void ProcessClaim() {
    if (claims_.empty()) {
      return;
    }
    const PendingClaim claim = claims_.front();
    claims_.pop_front();
    PendingReply reply{claim.agent, claim.incarnation, claim.name, claim.record.attempt, {}};
    switch (In(0, 5)) {
      case 0:  // The store is unavailable.
        reply.reply.status = ClaimStatus::kUnavailable;
        break;
      case 1:  // Reply lost, write delayed, read-back finds nothing or fails.
        delayed_writes_.push_back(claim);
        reply.reply.status = ClaimStatus::kUncertain;
        break;
      case 2:  // Reply lost after the write, read-back fails.
        Insert(claim);
        reply.reply.status = ClaimStatus::kUncertain;
        break;
      case 3:  // Reply lost after the write, read-back succeeds.
      case 4:
      default:
        Insert(claim);
        const IntentRecord& record = table_.at(claim.name);
        const bool own =
            record.attempt == claim.record.attempt && record.incarnation == claim.incarnation;
        reply.reply.status = own ? ClaimStatus::kOwned : ClaimStatus::kConflict;
        reply.reply.record = record;
        break;
    }
    replies_.push_back(reply);
  }

  void Insert(const PendingClaim& claim) { table_.try_emplace(claim.name, claim.record); }

  void ApplyDelayedWrite() {
    if (!delayed_writes_.empty()) {
      Insert(delayed_writes_.front());
      delayed_writes_.pop_front();
    }
  }

  void DeliverReply() {
    if (replies_.empty()) {
      return;
    }
    const PendingReply reply = replies_.front();
    replies_.pop_front();
    CallLedger& ledger = ledgers_.at(reply.agent);
    if (ledger.incarnation != reply.incarnation) {
      return;
    }
    for (const CallDecision& decision :
         FinishClaim(ledger, reply.name, reply.attempt, reply.reply, now_ms_)) {
      Apply(reply.agent, decision);
    }
  }

  void EndRun() {
    if (running_.empty()) {
      return;
    }
    const std::size_t index =
        static_cast<std::size_t>(In(0, static_cast<int>(running_.size()) - 1));
    const PendingRun run = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    CallLedger& ledger = ledgers_.at(run.agent);
    if (ledger.incarnation != run.incarnation) {
      return;
    }
    std::vector<std::string> waiters;
    switch (In(0, 3)) {
      case 0:  // Connection refused: the call was not sent.
        runs_[run.name] = 0;
        attempts_.at(run.attempt).sent = false;
        waiters = CancelRun(ledger, run.name, now_ms_);
        for (const std::string& waiter : waiters) {
          RecordNotRun(attempts_.at(waiter));
        }
        break;
      case 1:
        waiters = RecordLostAnswer(ledger, run.name, now_ms_);
        Record(ledger, run, "unknown");
        break;
      default: {
        CallResult result{200, "text/plain", "result of " + run.name};
        waiters = FinishRun(ledger, run.name, result, now_ms_);
        Record(ledger, run, "done");
        break;
      }
    }
    for (const std::string& waiter : waiters) {
      attempts_.at(waiter).open = false;
    }
  }

  /// Writes the result record of a key chosen by the caller; the write is lost in one of three
  /// cases.
  void Record(const CallLedger& ledger, const PendingRun& run, const std::string& state) {
    if (!table_.contains(run.name) || WithProbabilityOneIn(3)) {
      return;
    }
    IntentRecord record;
    record.agent = ledger.agent;
    record.incarnation = ledger.incarnation;
    record.attempt = run.attempt;
    record.body_hash = run.body_hash;
    record.state = state;
    record.result = CallResult{200, "text/plain", "result of " + run.name};
    // The record is formatted and parsed, as between two processes.
    table_[run.name] = ParseIntent(FormatIntent(record)).value();
  }

  void Abandon() {
    if (attempts_.empty()) {
      return;
    }
    TrackedAttempt& tracked = RandomAttempt();
    CallLedger& ledger = ledgers_.at(tracked.agent);
    if (!tracked.open || ledger.incarnation != tracked.incarnation) {
      return;
    }
    const std::string name = CallName(tracked.submit.service, tracked.submit.key);
    if (AbandonAttempt(ledger, name, tracked.submit.attempt, now_ms_)) {
      RecordNotRun(tracked);
    }
    tracked.open = false;
  }

  void InjectFault() {
    switch (In(0, 3)) {
      case 0: {  // The agent restarts; its pending writes may still be applied.
        const std::string agent = PickAgent();
        const std::int64_t old = ledgers_.at(agent).incarnation;
        for (const PendingClaim& claim : claims_) {
          if (claim.incarnation == old && WithProbabilityOneIn(2)) {
            delayed_writes_.push_back(claim);
          }
        }
        std::erase_if(claims_, [old](const PendingClaim& item) { return item.incarnation == old; });
        Start(agent);
        break;
      }
      case 1:  // The ledger exceeds its maximum size.
        limits_.max_entries = static_cast<std::size_t>(In(1, 3));
        EvictOldCalls(ledgers_.at(PickAgent()), limits_, now_ms_);
        limits_.max_entries = 100;
        break;
      case 2:
        now_ms_ += limits_.retention_ms / 2;
        EvictOldCalls(ledgers_.at(PickAgent()), limits_, now_ms_);
        break;
      default:
        now_ms_ += 1000;
        break;
    }
  }

  std::int64_t now_ms_ = kStartMs;
  std::int64_t next_incarnation_ = 1;
  int next_attempt_ = 1;
  // The retention time is longer than that of the marks of attempts, so that the removal of marks
  // is tested as well.
  CallLimits limits_{100, 10'000'000};
  std::map<std::string, CallLedger> ledgers_;
  std::map<std::string, std::string> issued_;
  std::map<std::string, IntentRecord> table_;
  std::deque<PendingClaim> claims_;
  std::deque<PendingClaim> delayed_writes_;
  std::deque<PendingReply> replies_;
  std::vector<PendingRun> running_;
  std::map<std::string, TrackedAttempt> attempts_;
  /// Number of times that each key was sent.
  std::map<std::string, int> runs_;
};

CallSubmit SubmitOf(const std::string& attempt, const std::string& key, std::int64_t body = 1) {
  return CallSubmit{attempt, "claims", key, body};
}

CallLedger LedgerOf(const std::string& agent, std::int64_t incarnation) {
  CallLedger ledger;
  ledger.agent = agent;
  ledger.incarnation = incarnation;
  return ledger;
}

}  // namespace

// Guards against a key that runs twice, and against NOT_RUN for an attempt that ran or can still
// run. The steps are in random order: submits, repeats at another agent, store outages, lost
// replies, delayed writes, restarts, abandoned attempts and evictions.
Test(call_ledger, random_interleavings_run_at_most_once, .timeout = 120) {
  cr_assert(rc::check("each key runs at most once", [] {
    constexpr int kSimulations = 5;
    for (int i = 0; i < kSimulations; ++i) {
      CallSimulation simulation;
      const int steps = In(50, 400);
      for (int step = 0; step < steps; ++step) {
        simulation.Step();
      }
    }
  }));
}

// Guards against a second run when the same key is submitted again while the first run is in
// progress or after it has ended.
Test(call_ledger, repeat_waits_and_gets_the_recorded_result) {
  CallLedger ledger = LedgerOf("a", 1);
  const std::string key = FormatIssuedKey(IssuedKey{"a", 1, kStartMs / 1000}, "n");
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t1", key), {}, kStartMs).action, CallAction::kRun);
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t2", key), {}, kStartMs).action, CallAction::kWait);
  const CallDecision reused = SubmitCall(ledger, SubmitOf("t3", key, 2), {}, kStartMs);
  cr_assert_eq(reused.refusal, CallRefusal::kKeyReused);
  const std::vector<std::string> waiters =
      FinishRun(ledger, CallName("claims", key), CallResult{201, "t", "b"}, kStartMs);
  cr_assert_eq(waiters.size(), 2u);
  const CallDecision replay = SubmitCall(ledger, SubmitOf("t4", key), {}, kStartMs);
  cr_assert_eq(replay.action, CallAction::kReplay);
  cr_assert_eq(replay.result.status, 201);
}

// Guards against running a key that another incarnation or agent issued and may have run already.
Test(call_ledger, issued_key_of_another_owner_is_refused) {
  CallLedger ledger = LedgerOf("a", 2);
  const std::string old = FormatIssuedKey(IssuedKey{"a", 1, kStartMs / 1000}, "n");
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t1", old), {}, kStartMs).refusal,
               CallRefusal::kOwnerGone);
  const std::string other = FormatIssuedKey(IssuedKey{"host.b", 5, kStartMs / 1000}, "n");
  const CallDecision decision = SubmitCall(ledger, SubmitOf("t2", other), {}, kStartMs);
  cr_assert_eq(decision.refusal, CallRefusal::kOwnedElsewhere);
  cr_assert_eq(decision.owner_agent, "host.b");
  cr_assert_eq(decision.owner_incarnation, 5);
}

// Guards against a late Submit that runs after its attempt was answered with NOT_RUN, and against a
// key that other attempts can no longer use after one attempt was abandoned.
Test(call_ledger, another_attempt_runs_after_an_abandoned_claim) {
  CallLedger ledger = LedgerOf("a", 1);
  const std::string name = CallName("claims", "k");
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t1", "k"), {}, kStartMs).action, CallAction::kClaim);
  cr_assert(AbandonAttempt(ledger, name, "t1", kStartMs));
  cr_assert(FinishClaim(ledger, name, "t1", {ClaimStatus::kOwned, {}}, kStartMs).empty());
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t1", "k"), {}, kStartMs).refusal,
               CallRefusal::kAbandoned);
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t2", "k"), {}, kStartMs).action, CallAction::kRun);
  cr_assert(!AbandonAttempt(ledger, name, "t2", kStartMs));
}

// Guards against a second run of a key whose entry was evicted after its run, while the intent
// record still names an attempt that was abandoned before that run.
Test(call_ledger, evicted_run_on_an_abandoned_claim_is_unknown) {
  CallLedger ledger = LedgerOf("a", 1);
  const std::string name = CallName("claims", "k");
  SubmitCall(ledger, SubmitOf("t1", "k"), {}, kStartMs);
  AbandonAttempt(ledger, name, "t1", kStartMs);
  FinishClaim(ledger, name, "t1", {ClaimStatus::kOwned, {}}, kStartMs);
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t2", "k"), {}, kStartMs).action, CallAction::kRun);
  FinishRun(ledger, name, CallResult{200, "t", "b"}, kStartMs);
  EvictOldCalls(ledger, CallLimits{1, 1000}, kStartMs);
  cr_assert(ledger.calls.empty());
  cr_assert_eq(SubmitCall(ledger, SubmitOf("t3", "k"), {}, kStartMs).action, CallAction::kClaim);
  IntentRecord record;
  record.agent = "a";
  record.incarnation = 1;
  record.attempt = "t1";
  record.body_hash = 1;
  const std::vector<CallDecision> decisions =
      FinishClaim(ledger, name, "t3", {ClaimStatus::kConflict, record}, kStartMs);
  cr_assert_eq(decisions.size(), 1u);
  cr_assert_eq(decisions[0].refusal, CallRefusal::kOutcomeUnknown);
}

// Guards against result bodies that are changed by storing them as JSON, such as bodies with zero
// bytes or invalid UTF-8.
Test(call_ledger, intent_record_preserves_arbitrary_bytes) {
  cr_assert(rc::check("parsed body equals the formatted body", [](const std::string& body) {
    IntentRecord record;
    record.agent = "a";
    record.incarnation = 3;
    record.attempt = "t";
    record.state = "done";
    record.result = CallResult{200, "application/octet-stream", body + "\xff\x00\x80",
                               *rc::gen::arbitrary<bool>()};
    const Result<IntentRecord> read = ParseIntent(FormatIntent(record));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value().result.body == record.result.body);
    RC_ASSERT(read.value().result.is_end_stated == record.result.is_end_stated);
  }));
  cr_assert(!ParseIntent("[]").has_value());
  cr_assert(!ParseIntent("{\"agent\":1}").has_value());
}
