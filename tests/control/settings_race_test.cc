// Two operators change the settings through two entries while calls of the store fail. The tests
// run all combinations of the store call of the first request at which the second request is sent,
// the store call that fails, and the kind of failure.
#include <criterion/criterion.h>

#include <deque>
#include <functional>

#include "control/settings_store.h"
#include "tests/support/fake_platform.h"

using rattanramp::Error;
using rattanramp::ErrorKind;
using rattanramp::ManualClock;
using rattanramp::Result;
using rattanramp::control::ChangeOutcome;
using rattanramp::control::ChangeRequest;
using rattanramp::control::ChangeResult;
using rattanramp::control::SettingsReplica;
using rattanramp::store::CommitResult;
using rattanramp::store::FakePlatform;
using rattanramp::store::Row;
using rattanramp::store::Transaction;
namespace control = rattanramp::control;
namespace wire = rattanramp::wire;

namespace {

enum class CallFault {
  kNone,
  /// The call fails and changes nothing.
  kDown,
  /// The call takes effect, but its reply is lost.
  kReplyLost,
  /// The call does not take effect. The caller receives the same error as for a lost reply.
  kRequestLost,
  /// The call takes effect only during a later call. The caller receives the same error as for a
  /// lost reply.
  kDelayed,
};

/// Store that numbers the calls of all its users in one sequence; script selects the fault of each
/// call.
class ScriptedStore : public FakePlatform {
 public:
  std::function<CallFault(int)> script;

  Result<std::optional<Row>> Read(const std::string& key) override {
    if (NextFault() != CallFault::kNone) {
      return Error{ErrorKind::kUnavailable, "down", ""};
    }
    return FakePlatform::Read(key);
  }

  Result<CommitResult> Commit(const Transaction& transaction) override {
    const CallFault fault = NextFault();
    if (fault == CallFault::kDown) {
      return Error{ErrorKind::kUnavailable, "down", ""};
    }
    if (fault == CallFault::kDelayed) {
      delayed_.push_back(transaction);
    }
    if (fault == CallFault::kNone || fault == CallFault::kReplyLost) {
      const Result<CommitResult> result = FakePlatform::Commit(transaction);
      if (fault == CallFault::kNone) {
        return result;
      }
    }
    return Error{ErrorKind::kReplyLost, "no reply", ""};
  }

  /// Commits the delayed transactions.
  void DeliverDelayed() {
    for (const Transaction& transaction : delayed_) {
      cr_assert(FakePlatform::Commit(transaction).has_value());
    }
    delayed_.clear();
  }

 private:
  CallFault NextFault() {
    const int call = calls_++;
    return script ? script(call) : CallFault::kNone;
  }

  int calls_ = 0;
  std::deque<Transaction> delayed_;
};

struct Scenario {
  int second_at_call = 0;
  int fault_at_call = 0;
  CallFault fault = CallFault::kNone;
  /// Number of further calls that fail, and number of calls after the fault that succeed before
  /// them.
  int outage = 0;
  int outage_gap = 0;
  /// Number of calls after the fault until a delayed transaction is committed.
  int delay = 0;
  /// The answer of the first entry does not reach the operator.
  bool response_lost = false;
  bool repeat_at_other_entry = false;
  bool empty_store = false;
  /// Repeated requests expect the version that is present when they are sent.
  bool refresh_expected_version = false;
};

/// Operator who repeats a change until the answer has a definite outcome.
struct Operator {
  ChangeRequest request;
  std::optional<ChangeResult> definite_result;

  void Send(ScriptedStore& store, SettingsReplica& replica, bool response_lost,
            bool refresh_expected_version) {
    const ManualClock clock;
    if (request.repeat && refresh_expected_version) {
      cr_assert(control::CatchUp(store, replica).has_value());
      request.expected_version = replica.version();
    }
    const std::int64_t before = replica.version();
    const ChangeResult result = control::CommitChange(store, replica, request, clock);
    cr_assert(replica.version() >= before);
    const bool definite = result.outcome != ChangeOutcome::kUnknown && !response_lost;
    // kNotRun also counts as definite: the request is not sent again, so that the test can check
    // that it had no effect.
    if (definite) {
      definite_result = result;
    }
    request.repeat = true;
  }
};

Operator MakeOperator(const std::string& id, const std::string& key, std::int64_t expected) {
  return {{id, id, expected, {{"/", key, 7, false}}, false}, std::nullopt};
}

std::vector<wire::SettingsChange> ReadLog(ScriptedStore& store) {
  SettingsReplica observer;
  cr_assert(control::CatchUp(store, observer).has_value());
  return control::ReadHistory(store, observer, 100);
}

/// Checks that the outcome which an operator received agrees with the settings log.
void CheckReportedResult(const Operator& checked_operator,
                         const std::vector<wire::SettingsChange>& log) {
  std::vector<std::int64_t> versions;
  for (const wire::SettingsChange& change : log) {
    if (change.change_id == checked_operator.request.change_id) {
      versions.push_back(change.version);
    }
  }
  cr_assert(versions.size() <= 1, "a change was applied twice");
  cr_assert(checked_operator.definite_result.has_value(),
            "an operator received no definite outcome although the store works");
  const bool accepted = checked_operator.definite_result->outcome == ChangeOutcome::kAccepted;
  cr_assert(accepted == (versions.size() == 1),
            "an operator received an outcome that contradicts the log");
  cr_assert(!accepted || checked_operator.definite_result->version == versions[0]);
  if (checked_operator.definite_result->outcome == ChangeOutcome::kConflict &&
      checked_operator.definite_result->winner) {
    cr_assert(checked_operator.definite_result->winner->change_id !=
              checked_operator.request.change_id);
  }
}

/// Runs one scenario. Returns the number of accepted changes.
int RunScenario(const Scenario& scenario) {
  ScriptedStore store;
  SettingsReplica first_entry;
  SettingsReplica second_entry;
  std::int64_t base = 0;
  if (!scenario.empty_store) {
    Operator setup = MakeOperator("setup", "max_attempts", 0);
    setup.Send(store, first_entry, false, false);
    base = 1;
  }
  Operator first = MakeOperator("first", "crash_limit", base);
  Operator second = MakeOperator("second", "priority", base);
  bool second_sent = false;
  int calls = 0;
  store.script = [&](int) {
    const int call = calls++;
    if (call == scenario.fault_at_call + 1 + scenario.delay) {
      store.DeliverDelayed();
    }
    if (call == scenario.second_at_call && !second_sent) {
      second_sent = true;
      second.Send(store, second_entry, false, scenario.refresh_expected_version);
    }
    if (call == scenario.fault_at_call) {
      return scenario.fault;
    }
    const int outage_begin = scenario.fault_at_call + 1 + scenario.outage_gap;
    const bool in_outage = call >= outage_begin && call < outage_begin + scenario.outage;
    return in_outage ? CallFault::kDown : CallFault::kNone;
  };
  first.Send(store, first_entry, scenario.response_lost, scenario.refresh_expected_version);
  if (!second_sent) {
    second.Send(store, second_entry, false, scenario.refresh_expected_version);
  }
  // From here on all calls of the store succeed. A delayed transaction may not be committed yet.
  store.script = nullptr;
  for (int i = 0; i < 2; ++i) {
    if (!first.definite_result) {
      first.Send(store, scenario.repeat_at_other_entry ? second_entry : first_entry, false,
                 scenario.refresh_expected_version);
    }
    if (!second.definite_result) {
      second.Send(store, second_entry, false, scenario.refresh_expected_version);
    }
  }
  store.DeliverDelayed();
  const std::vector<wire::SettingsChange> log = ReadLog(store);
  CheckReportedResult(first, log);
  CheckReportedResult(second, log);
  int accepted = 0;
  for (SettingsReplica* replica : {&first_entry, &second_entry}) {
    cr_assert(control::CatchUp(store, *replica).has_value());
    cr_assert(replica->version() == static_cast<std::int64_t>(log.size()));
    const rattanramp::settings::Settings settings = replica->current()->tree.Resolve("", "", "");
    const bool first_accepted = first.definite_result->outcome == ChangeOutcome::kAccepted;
    const bool second_accepted = second.definite_result->outcome == ChangeOutcome::kAccepted;
    cr_assert((settings.crash_limit == 7) == first_accepted, "an accepted change was lost");
    cr_assert((settings.priority == 7) == second_accepted, "an accepted change was lost");
    accepted = (first_accepted ? 1 : 0) + (second_accepted ? 1 : 0);
  }
  return accepted;
}

}  // namespace

// Guards against an accepted change that is lost, reverted or applied twice, and against a change
// that is reported as accepted when it was not, or as not accepted when it was. These failures can
// occur when a reply of the store is lost or delayed while another entry commits a change.
Test(settings_race, reported_outcomes_match_the_log, .timeout = 60) {
  // Greater than the number of store calls of one request, so that each of these calls is covered.
  constexpr int kCallPositions = 12;
  constexpr std::array<std::pair<int, int>, 4> kOutages = {{{0, 0}, {1, 0}, {3, 0}, {1, 1}}};
  int scenario_count = 0;
  int both_accepted_count = 0;
  int none_accepted_count = 0;
  const auto run_scenarios = [&](Scenario scenario) {
    for (scenario.second_at_call = 0; scenario.second_at_call < kCallPositions;
         ++scenario.second_at_call) {
      for (scenario.fault_at_call = 0; scenario.fault_at_call < kCallPositions;
           ++scenario.fault_at_call) {
        const int accepted = RunScenario(scenario);
        // Both requests expect the same version. Both can be accepted only when one of them is
        // repeated with another expected version.
        cr_assert(accepted < 2 || scenario.refresh_expected_version);
        ++scenario_count;
        both_accepted_count += accepted == 2 ? 1 : 0;
        none_accepted_count += accepted == 0 ? 1 : 0;
      }
    }
  };
  for (const CallFault fault :
       {CallFault::kDown, CallFault::kReplyLost, CallFault::kRequestLost, CallFault::kDelayed}) {
    for (int flags = 0; flags < 16; ++flags) {
      for (const auto& [outage, gap] : kOutages) {
        const int delays = fault == CallFault::kDelayed ? 5 : 1;
        for (int delay = 0; delay < delays; ++delay) {
          run_scenarios({0, 0, fault, outage, gap, delay, (flags & 1) != 0, (flags & 2) != 0,
                         (flags & 4) != 0, (flags & 8) != 0});
        }
      }
    }
  }
  cr_log_info("%d scenarios, both accepted in %d, none in %d", scenario_count, both_accepted_count,
              none_accepted_count);
  cr_assert(scenario_count == 73'728 && both_accepted_count > 0);
  cr_assert(none_accepted_count < scenario_count / 2);
}
