#include "core/config_freshness.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

using namespace rattanramp;
using core::CallerKind;
using core::CallerVerdict;
using core::ConfigEvidence;
using core::ConfigFreshness;

namespace {

constexpr Milliseconds kLimit{5'000};
// What the rules leave unused: the margin, and 2 ms of rounding.
constexpr std::int64_t kUnusedMs = 102;
constexpr std::int64_t kUnknown = -1;
constexpr std::int64_t kEra = 3;

TimePoint At(std::int64_t ms) { return TimePoint(Milliseconds(3'600'000 + ms)); }

/// A store, whose clock differs from the processes' in its start and its rate, and all evidence
/// that it has given out.
struct Store {
  struct Reply {
    std::int64_t sent_ms = 0;
    std::int64_t evaluated_ms = 0;
    ConfigEvidence evidence;
  };

  std::int64_t ClockMs(std::int64_t now_ms) const {
    return 77'000 + now_ms + static_cast<std::int64_t>(static_cast<double>(now_ms) * drift);
  }
  std::int64_t VersionAt(std::int64_t ms) const {
    return std::upper_bound(written_ms.begin(), written_ms.end(), ms) - written_ms.begin();
  }
  Reply Answer(std::int64_t sent_ms, std::int64_t evaluated_ms) const {
    return {sent_ms, evaluated_ms, {{kEra, VersionAt(evaluated_ms)}, ClockMs(evaluated_ms)}};
  }

  double drift = 0;
  /// When each version was written, from version 1.
  std::vector<std::int64_t> written_ms = {0};
};

}  // namespace

// Guards against requests that run with a key later than the bound after it was taken away, and
// against refusals while there is evidence: over random orders of new versions, own replies of the
// store (held, slow), evidence of peers (late, doubled, out of order), rows that arrive late or by
// a peer, cuts, and freezes of the process between any two of these.
Test(config_freshness, no_key_is_used_too_late_and_none_is_refused_in_vain) {
  const bool ok = rc::check("bound", [] {
    Store store;
    store.drift = *rc::gen::inRange(-1, 2) * 1e-4;
    ConfigFreshness freshness;
    std::vector<Store::Reply> given;
    // Latest moment of the store for which evidence has arrived that the own version is the newest.
    std::int64_t known_ms = kUnknown;
    std::int64_t now_ms = 10;
    std::int64_t own_version = 0;
    std::int64_t longest_call_ms = 0;
    const auto take_own = [&](const Store::Reply& reply) {
      core::RecordOwnEvidence(freshness, reply.evidence, At(reply.sent_ms), At(now_ms));
      given.push_back(reply);
      if (reply.evidence.row.version == own_version) {
        known_ms = std::max(known_ms, reply.evaluated_ms);
      }
    };
    const auto take_row = [&](std::int64_t version) {
      if (version > own_version) {
        own_version = version;
        known_ms = kUnknown;
        core::RecordRowInForce(freshness, {kEra, version}, At(now_ms));
      }
    };
    for (int step = 0; step < 120; ++step) {
      now_ms += *rc::gen::element<std::int64_t>(0, 1, 7, 150, 900, 4'000, 20'000);
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          store.written_ms.push_back(now_ms);
          break;
        case 1:
        case 2: {  // an own call, held for a while, whose reply takes some time
          const std::int64_t sent_ms = now_ms;
          const std::int64_t evaluated_ms = now_ms + *rc::gen::element<std::int64_t>(0, 3, 2'800);
          now_ms = evaluated_ms + *rc::gen::element<std::int64_t>(0, 3, 700, 6'000);
          const Store::Reply reply = store.Answer(sent_ms, evaluated_ms);
          longest_call_ms = std::max(longest_call_ms, evaluated_ms - sent_ms);
          take_row(reply.evidence.row.version);
          take_own(reply);
          break;
        }
        case 3: {  // a peer's call; its evidence arrives whenever it does
          const Store::Reply reply = store.Answer(now_ms, now_ms);
          given.push_back(reply);
          break;
        }
        case 4:
        case 5:
          if (!given.empty()) {
            const Store::Reply reply = given[*rc::gen::inRange<std::size_t>(0, given.size())];
            core::RecordPeerEvidence(freshness, reply.evidence, At(now_ms));
            if (freshness.clock.sent && reply.evidence.row.version == own_version) {
              known_ms = std::max(known_ms, reply.evaluated_ms);
            }
          }
          break;
        default:
          if (!given.empty()) {  // a row through a peer
            take_row(given[*rc::gen::inRange<std::size_t>(0, given.size())].evidence.row.version);
          }
          break;
      }
      // A request that arrives now, or that arrived before and is judged only now.
      const std::int64_t arrived_ms = now_ms - *rc::gen::element<std::int64_t>(0, 5, 3'000);
      const bool may_run =
          own_version > 0 && core::JudgeCaller(CallerKind::kKnown, freshness, At(arrived_ms),
                                               kLimit) == CallerVerdict::kRun;
      const bool is_replaced =
          own_version > 0 && static_cast<std::size_t>(own_version) < store.written_ms.size();
      if (may_run && is_replaced) {
        RC_ASSERT(arrived_ms <=
                  store.written_ms[static_cast<std::size_t>(own_version)] + kLimit.count());
      }
      const std::int64_t drifted_ms = 1 + now_ms / 2'500;
      if (known_ms != kUnknown &&
          arrived_ms <= known_ms + kLimit.count() - kUnusedMs - longest_call_ms - drifted_ms) {
        RC_ASSERT(may_run);
      }
      // A refusal for good is right for the newest version that any process could know.
      if (core::JudgeCaller(CallerKind::kUnknown, freshness, At(arrived_ms), kLimit) ==
              CallerVerdict::kUnknownKey &&
          is_replaced) {
        RC_ASSERT(arrived_ms <=
                  store.written_ms[static_cast<std::size_t>(own_version)] + kLimit.count() / 2);
      }
    }
  });
  cr_assert(ok);
}

namespace {

/// A store that may return from an older copy: its era rises, and the versions since that copy are
/// given out again for other rows.
struct ReturningStore {
  struct Row {
    core::StorePosition position;
    std::int64_t since_ms = 0;
  };

  void Write(std::int64_t now_ms) {
    rows.push_back({{rows.back().position.era, rows.back().position.version + 1}, now_ms});
  }
  void ReturnFrom(std::int64_t version, std::int64_t now_ms) {
    rows.push_back({{rows.back().position.era + 1, version}, now_ms});
  }
  ConfigEvidence Answer(std::int64_t now_ms) const {
    return {rows.back().position, 77'000 + now_ms};
  }
  /// When a newer row replaced this one; empty: it is the newest.
  std::optional<std::int64_t> ReplacedAt(const core::StorePosition& position) const {
    for (const Row& row : rows) {
      if (row.position > position) {
        return row.since_ms;
      }
    }
    return std::nullopt;
  }

  /// In the order of their positions.
  std::vector<Row> rows = {{{1, 1}, 0}};
};

}  // namespace

// Guards against evidence of another era that confirms the own row, and so a key that is used later
// than the bound after it was taken away, and against evidence of the own row that doesn't count
// because of one: over random orders of new rows, returns of the store from several versions, own
// replies, evidence of peers (late, doubled, of any era), rows of peers, and cuts.
Test(config_freshness, evidence_of_another_era_prolongs_no_key) {
  const bool ok = rc::check("bound across eras", [] {
    ReturningStore store;
    ConfigFreshness freshness;
    std::vector<ConfigEvidence> given;
    core::StorePosition own_row;
    core::StorePosition newest_row;
    // While set, neither the store's answers nor rows of peers arrive.
    bool is_cut = false;
    std::int64_t known_ms = kUnknown;
    std::int64_t now_ms = 10;
    const auto take_row = [&](const core::StorePosition& row) {
      if (row > own_row) {
        own_row = row;
        known_ms = kUnknown;
        core::RecordRowInForce(freshness, row, At(now_ms));
      }
    };
    const auto note = [&](const ConfigEvidence& evidence) {
      newest_row = std::max(newest_row, evidence.row);
      if (evidence.row == own_row && freshness.clock.sent) {
        known_ms = std::max(known_ms, evidence.clock_ms - 77'000);
      }
    };
    for (int step = 0; step < 120; ++step) {
      now_ms += *rc::gen::element<std::int64_t>(0, 1, 7, 150, 900, 4'000);
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
          store.Write(now_ms);
          break;
        case 1: {  // a return from a copy
          const std::int64_t version = store.rows.back().position.version;
          store.ReturnFrom(
              *rc::gen::inRange<std::int64_t>(std::max<std::int64_t>(1, version - 3), version + 1),
              now_ms);
          break;
        }
        case 2:
        case 3: {  // an own call; the row that it shows may be refused, so that the own one stays
          const ConfigEvidence evidence = store.Answer(now_ms);
          if (is_cut) {
            break;
          }
          if (*rc::gen::inRange(0, 4) > 0) {
            take_row(evidence.row);
          }
          core::RecordOwnEvidence(freshness, evidence, At(now_ms), At(now_ms));
          note(evidence);
          given.push_back(evidence);
          break;
        }
        case 4:  // a peer's call
          given.push_back(store.Answer(now_ms));
          break;
        case 5:
        case 6:
          if (!given.empty()) {
            const ConfigEvidence& evidence = given[*rc::gen::inRange<std::size_t>(0, given.size())];
            core::RecordPeerEvidence(freshness, evidence, At(now_ms));
            note(evidence);
          }
          break;
        case 7:
          is_cut = *rc::gen::inRange(0, 3) > 0;
          break;
        default:
          if (!given.empty() && !is_cut) {
            take_row(given[*rc::gen::inRange<std::size_t>(0, given.size())].row);
          }
          break;
      }
      RC_ASSERT(freshness.newest.row == newest_row);
      if (own_row.version == 0) {
        continue;
      }
      const CallerVerdict known =
          core::JudgeCaller(CallerKind::kKnown, freshness, At(now_ms), kLimit);
      const CallerVerdict unknown =
          core::JudgeCaller(CallerKind::kUnknown, freshness, At(now_ms), kLimit);
      if (newest_row > own_row) {
        RC_ASSERT(unknown == CallerVerdict::kUncertain);
      }
      const std::optional<std::int64_t> replaced_ms = store.ReplacedAt(own_row);
      if (replaced_ms) {
        RC_ASSERT(known != CallerVerdict::kRun || now_ms <= *replaced_ms + kLimit.count());
        RC_ASSERT(unknown != CallerVerdict::kUnknownKey ||
                  now_ms <= *replaced_ms + kLimit.count() / 2);
      }
      const std::int64_t drifted_ms = 1 + now_ms / 2'500;
      if (known_ms != kUnknown && now_ms <= known_ms + kLimit.count() - kUnusedMs - drifted_ms) {
        RC_ASSERT(known == CallerVerdict::kRun);
      }
    }
  });
  cr_assert(ok);
}

// Guards against evidence of another era that confirms the own row because their versions are
// equal.
Test(config_freshness, evidence_of_an_equal_version_of_another_era_confirms_nothing) {
  ConfigFreshness freshness;
  core::RecordRowInForce(freshness, {1, 4}, At(0));
  core::RecordOwnEvidence(freshness, {{1, 4}, 1'000}, At(0), At(2));
  core::RecordPeerEvidence(freshness, {{2, 4}, 9'000}, At(9'000));
  cr_assert(core::IsFresh(freshness, At(4'890), kLimit));
  cr_assert_not(core::IsFresh(freshness, At(4'901), kLimit), "a peer's evidence");
  core::RecordOwnEvidence(freshness, {{2, 4}, 10'000}, At(9'000), At(9'002));
  cr_assert_not(core::IsFresh(freshness, At(4'901), kLimit), "own evidence");
  cr_assert(core::JudgeCaller(CallerKind::kUnknown, freshness, At(1'000), kLimit) ==
            CallerVerdict::kUncertain);
  core::RecordRowInForce(freshness, {2, 4}, At(9'100));
  cr_assert(core::IsFresh(freshness, At(13'890), kLimit), "evidence came before the row");
  core::RecordPeerEvidence(freshness, {{1, 4}, 18'000}, At(17'500));
  cr_assert_not(core::IsFresh(freshness, At(13'901), kLimit), "evidence of the era before");
  core::RecordPeerEvidence(freshness, {{3, 5}, 18'000}, At(17'500));
  core::RecordRowInForce(freshness, {2, 5}, At(17'600));
  cr_assert_not(core::IsFresh(freshness, At(17'600), kLimit), "evidence before the row");
}

// Guards against evidence that makes itself younger on the way, or that makes another version fresh
// than the one it is about.
Test(config_freshness, late_and_foreign_evidence_changes_nothing) {
  ConfigFreshness freshness;
  core::RecordRowInForce(freshness, {kEra, 4}, At(0));
  cr_assert_not(core::IsFresh(freshness, At(0), kLimit), "no evidence after a start");
  core::RecordOwnEvidence(freshness, {{kEra, 4}, 1'000}, At(0), At(2));
  core::RecordPeerEvidence(freshness, {{kEra, 4}, 1'000}, At(4'999));
  core::RecordPeerEvidence(freshness, {{kEra, 3}, 9'000}, At(9'000));
  core::RecordPeerEvidence(freshness, {{kEra, 5}, 9'000}, At(9'000));
  core::RecordPeerEvidence(freshness, {{kEra, 4}, 99'000}, At(9'000));
  cr_assert(core::IsFresh(freshness, At(4'890), kLimit));
  cr_assert_not(core::IsFresh(freshness, At(4'901), kLimit));
  cr_assert_eq(freshness.newest.row.version, 5);
  core::RecordRowInForce(freshness, {kEra, 5}, At(9'500));
  cr_assert(core::IsFresh(freshness, At(12'800), kLimit), "evidence came before the row");
  // The store's clock is set forward and then back.
  for (const std::int64_t clock_ms : {900'000, 500}) {
    const std::int64_t at_ms = 20'000 - clock_ms / 1'000;
    core::RecordOwnEvidence(freshness, {{kEra, 5}, clock_ms}, At(at_ms), At(at_ms + 3));
    core::RecordPeerEvidence(freshness, {{kEra, 5}, clock_ms + 50}, At(at_ms + 55));
    cr_assert(core::IsFresh(freshness, At(at_ms + 4'940), kLimit));
    cr_assert_not(core::IsFresh(freshness, At(at_ms + 4'951), kLimit));
  }
}

// Guards against days without the bound that lose requests to a check that nobody asked for, and
// against refusals for good while a newer configuration may hold the key.
Test(config_freshness, verdicts_follow_the_bound_and_the_newest_version) {
  ConfigFreshness freshness;
  const auto judge = [&](CallerKind kind, std::int64_t at_ms, std::optional<Duration> limit) {
    return core::JudgeCaller(kind, freshness, At(at_ms), limit);
  };
  cr_assert(judge(CallerKind::kKnown, 0, std::nullopt) == CallerVerdict::kRun);
  cr_assert(judge(CallerKind::kUnknown, 0, std::nullopt) == CallerVerdict::kUnknownKey);
  cr_assert(judge(CallerKind::kMissing, 0, std::nullopt) == CallerVerdict::kNoKey);
  cr_assert(judge(CallerKind::kOpen, 0, kLimit) == CallerVerdict::kRun);
  cr_assert(judge(CallerKind::kKnown, 0, kLimit) == CallerVerdict::kUncertain);
  cr_assert(judge(CallerKind::kUnknown, 0, kLimit) == CallerVerdict::kUncertain);
  core::RecordRowInForce(freshness, {kEra, 1}, At(0));
  core::RecordOwnEvidence(freshness, {{kEra, 1}, 1'000}, At(0), At(1));
  cr_assert(judge(CallerKind::kUnknown, 1'000, kLimit) == CallerVerdict::kUnknownKey);
  cr_assert(judge(CallerKind::kUnknown, 3'000, kLimit) == CallerVerdict::kUncertain);
  core::RecordPeerEvidence(freshness, {{kEra, 2}, 1'500}, At(600));
  cr_assert(judge(CallerKind::kUnknown, 1'000, kLimit) == CallerVerdict::kUncertain);
  cr_assert(judge(CallerKind::kKnown, 1'000, kLimit) == CallerVerdict::kRun);
}
