#include "gateway/store_watch.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/gateway/fake_table.h"

using namespace rattanramp;
using gateway::PaceFor;
using gateway::StoreWatch;
using gateway::WatchPace;
using tests::FakeTable;
using tests::FakeTables;

namespace {

struct RecordingWatcher final : gateway::StoreWatcher {
  void OnConfigRow(const std::string& text, std::int64_t /*row_version*/) override {
    configs.push_back(text);
  }
  void OnUpstreamRows(const std::vector<store::TableRow>& rows, bool has_failed) override {
    outages += has_failed ? 1 : 0;
    ++upstream_reads;
    upstreams = rows.size();
  }
  void OnGatewayRows(const std::map<std::string, std::string>& rows) override { gateways = rows; }

  std::vector<std::string> configs;
  int upstream_reads = 0;
  int outages = 0;
  std::size_t upstreams = 0;
  std::map<std::string, std::string> gateways;
};

/// A watch with a pace fast enough for a test.
class Fixture {
 public:
  explicit Fixture(Milliseconds gateway_interval = Milliseconds(150))
      : watch_(context_, DefaultClock(), watcher, Source(),
               WatchPace{Milliseconds(200), Milliseconds(50), gateway_interval}, "a", "row a") {
    Put("config", "c", "one");
    watch_.Start();
  }

  void Put(const std::string& table, const std::string& key, const std::string& value) {
    tables.tables[table][key] = {key, value, ++tables.version, false};
  }

  void Run(Milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  StoreWatch& watch() { return watch_; }

  FakeTables tables;
  RecordingWatcher watcher;

 private:
  gateway::StoreSource Source() {
    gateway::StoreSource source;
    source.config_table = "config";
    source.config_key = "c";
    source.upstream_table = "upstreams";
    source.gateway_table = "gateways";
    source.make_client = [this] { return std::make_unique<FakeTable>(context_, tables); };
    return source;
  }

  asio::io_context context_;
  StoreWatch watch_;
};

}  // namespace

// Guards against a pace that misses the operator's bounds when one call finds its connection
// silent, and against one that is faster than needed: each call is priced, and 30 gateways made
// 4,600 of them in a quiet day.
Test(store_watch, pace_keeps_the_bounds_with_the_fewest_calls) {
  constexpr Milliseconds kCallTimeout{1'600};
  for (const auto& [contact_ms, leave_ms] : {std::pair{3'000, 2'000}, {4'000, 3'000}}) {
    const WatchPace pace = PaceFor(Milliseconds(contact_ms), Milliseconds(leave_ms));
    cr_assert_lt(pace.upstream_interval + kCallTimeout, Milliseconds(contact_ms));
    cr_assert_lt(pace.upstream_interval, Milliseconds(leave_ms));
    cr_assert_lt(pace.config_wait, Milliseconds(contact_ms));
    const double calls_a_second = 1'000.0 / static_cast<double>(pace.upstream_interval.count()) +
                                  1'000.0 / static_cast<double>(pace.config_wait.count());
    cr_assert_lt(calls_a_second, 1.5);
  }
  cr_assert_gt(PaceFor(Milliseconds(1), Milliseconds(1)).upstream_interval.count(), 0);
}

// Guards against changes that are lost while the store is away or has forgotten its history.
Test(store_watch, configuration_is_read_whole_after_a_failure, .timeout = 30) {
  Fixture fixture;
  fixture.Run(Milliseconds(60));
  cr_assert_eq(fixture.watcher.configs, std::vector<std::string>{"one"});
  for (const ErrorKind kind :
       {ErrorKind::kUnavailable, ErrorKind::kReplyLost, ErrorKind::kNotFound}) {
    fixture.tables.failure = Error{kind, "no", "wait"};
    fixture.Run(Milliseconds(300));
    fixture.Put("config", "c", "later " + std::to_string(static_cast<int>(kind)));
    fixture.tables.failure.reset();
    fixture.Run(Milliseconds(700));
    cr_assert_eq(fixture.watcher.configs.back(), "later " + std::to_string(static_cast<int>(kind)));
  }
  cr_assert_eq(fixture.watcher.configs.size(), 4);
}

// Guards against an outage that is taken for a list without upstreams.
Test(store_watch, failed_read_reports_no_list, .timeout = 30) {
  Fixture fixture;
  fixture.Put("upstreams", "u", "{}");
  fixture.Run(Milliseconds(200));
  cr_assert_eq(fixture.watcher.upstreams, 1);
  fixture.tables.failure = Error{ErrorKind::kOverloaded, "no", "wait"};
  fixture.Run(Milliseconds(150));
  const int reads = fixture.watcher.upstream_reads;
  fixture.Run(Milliseconds(300));
  cr_assert_eq(fixture.watcher.upstream_reads, reads);
  cr_assert_eq(fixture.watcher.upstreams, 1);
  cr_assert_eq(fixture.watcher.outages, 0);
  fixture.tables.failure.reset();
  fixture.Run(Milliseconds(600));
  cr_assert_eq(fixture.watcher.outages, 1);
}

// Guards against load reports to gateways that are gone, and against a new gateway that waits for
// the next renewal before it is told.
Test(store_watch, gateways_come_and_go, .timeout = 30) {
  Fixture fixture;
  fixture.Run(Milliseconds(60));
  cr_assert_eq(fixture.watcher.gateways.size(), 1);
  cr_assert_eq(fixture.watcher.gateways.at("a"), "row a");
  fixture.Put("gateways", "b", "row b");
  fixture.Run(Milliseconds(1'100));
  cr_assert_eq(fixture.watcher.gateways.size(), 2);
  // Row b is not renewed.
  fixture.Run(Milliseconds(1'700));
  cr_assert_eq(fixture.watcher.gateways.size(), 1);
}

// Guards against a peer that is never in the table (the store refuses its writes) keeping this
// gateway from renewing its own row: each of its reports asks for a read.
Test(store_watch, refreshes_do_not_put_off_the_own_row, .timeout = 30) {
  Fixture fixture(Milliseconds(1'500));
  fixture.Run(Milliseconds(60));
  const std::int64_t first = fixture.tables.tables["gateways"]["a"].version;
  for (int i = 0; i < 40; ++i) {
    fixture.watch().RefreshGateways();
    fixture.Run(Milliseconds(100));
  }
  const std::int64_t last = fixture.tables.tables["gateways"]["a"].version;
  cr_assert_geq(last - first, 2, "%ld renewals in 4 s", static_cast<long>(last - first));
}

// Guards against a gateway that is stopped and goes on counting as a live one.
Test(store_watch, own_row_is_taken_out, .timeout = 30) {
  Fixture fixture;
  fixture.Run(Milliseconds(60));
  bool is_done = false;
  fixture.watch().Leave([&is_done] { is_done = true; });
  const int calls = fixture.tables.calls;
  fixture.Run(Milliseconds(500));
  cr_assert(is_done);
  cr_assert_eq(fixture.tables.tables["gateways"].size(), 0);
  cr_assert_eq(fixture.tables.calls, calls);
}
