// Callers with keys, end to end through a gateway: who is served, what reaches the upstream, and
// what happens when keys are taken away while the store does not answer.
#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "tests/gateway/fake_engine.h"
#include "tests/gateway/fake_table.h"
#include "tests/gateway/gateway_settings.h"
#include "tests/gateway/run_until.h"

using namespace rattanramp;
using asio::ip::tcp;
using asio::ip::udp;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

constexpr Milliseconds kLimit{5'000};

/// The process's clock, which a test can set forward: a VM that was suspended.
class TestClock final : public SystemClock {
 public:
  TimePoint now() const override { return SystemClock::now() + offset; }
  Duration offset{0};
};

/// keys: a JSON list of the workspace "w1"; empty: there are no workspaces.
std::string Config(int version, const std::string& keys) {
  const std::string route = R"(,"kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,
      "priority":1,"service":"s","max_attempts":1)";
  const std::string tenants = keys.empty()
                                  ? ""
                                  : R"("tenants":[{"name":"w1","priority":0,"api_keys":)" + keys +
                                        R"(},{"name":"w2","api_keys":["key-of-w2","shared"]},)" +
                                        R"({"name":"w3","api_keys":["shared"]}],)";
  return R"({"version":)" + std::to_string(version) + "," + tenants +
         R"("routes":[{"name":"r","host":"h","prefix":"/p/")" + route +
         R"(},{"name":"o","host":"h","prefix":"/open/","public":true)" + route + R"(}],
      "services":[{"name":"s","health_path":"/healthz","max_conns":100}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
       "idle_timeout_ms":15000}})";
}

class CallersFixture {
 public:
  explicit CallersFixture(const std::string& keys, bool is_strict = true, int slots = 30,
                          Milliseconds work = Milliseconds(0))
      : peer(context, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
        server([work](const std::string& head, int /*number*/) {
          FakeAnswer answer;
          answer.later = {"HTTP/1.1 200 OK\r\nRequest-Id: " + tests::FieldOf(head, "Request-Id") +
                          "\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\ndone"};
          answer.pause = work;
          return answer;
        }) {
    peer.non_blocking(true);
    SetConfig(1, keys);
    Put("upstreams", "u",
        R"({"service":"s","addr":"127.0.0.1:)" + std::to_string(server.port()) +
            R"(","zone":"domain-a","slots":)" + std::to_string(slots) + R"(,"state":"ready"})");
    Put("gateways", "p",
        R"({"address":"127.0.0.1","peer_port":)" + std::to_string(peer.local_endpoint().port()) +
            "}");
    settings = tests::TestSettings();
    // Held calls of 0.3 s.
    settings.disconnected_after = Milliseconds(1'500);
    tables.clock_ms = store_clock_ms();
    if (is_strict) {
      settings.key_removal_limit = kLimit;
    }
  }

  void Start() {
    gateway::StoreSource source{
        "config",    "c",
        "upstreams", "gateways",
        "orders",    [this] { return std::make_unique<tests::FakeTable>(context, tables); }};
    gateway_ =
        std::move(gateway::Gateway::Create(context, clock, settings, std::move(source)).value());
  }
  void StartReady() {
    Start();
    cr_assert(Until([this] { return gateway_->is_ready(); }));
    RunFor(Milliseconds(100));
  }

  void SetConfig(int version, const std::string& keys) {
    Put("config", "c", Config(version, keys));
  }
  std::int64_t config_row() { return tables.tables["config"]["c"].version; }
  std::int64_t store_clock_ms() const {
    return std::chrono::duration_cast<Milliseconds>(clock.now().time_since_epoch()).count();
  }

  /// Puts the store back to a copy, as its next history.
  void ReturnFrom(const tests::FakeTables& copy) {
    tables.tables = copy.tables;
    tables.version = copy.version;
    ++tables.era;
  }

  /// From now on the store refuses all calls; returns when the held call has ended, too.
  void TurnAway() {
    tables.failure = Error{ErrorKind::kUnavailable, "503", "later"};
    RunFor(Milliseconds(700));
  }

  template <typename Condition>
  bool Until(Condition condition) {
    return tests::RunUntil(context, [&] {
      tables.clock_ms = store_clock_ms();
      return condition();
    });
  }
  void RunFor(Milliseconds time) {
    const TimePoint end = clock.now() + time;
    Until([&] { return clock.now() >= end; });
  }

  /// Sends a request without waiting for its answer.
  std::unique_ptr<tcp::socket> Send(const std::string& fields, const std::string& path = "/p/x",
                                    const std::string& body = "Content-Length: 0\r\n\r\n") {
    std::unique_ptr<tcp::socket> socket = std::make_unique<tcp::socket>(context);
    socket->connect(settings.callers);
    Write(*socket, fields, path, body);
    return socket;
  }
  void Write(tcp::socket& socket, const std::string& fields, const std::string& path = "/p/x",
             const std::string& body = "Content-Length: 0\r\n\r\n") {
    asio::write(socket, asio::buffer("POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
                                     std::to_string(++requests_) + "\r\n" + fields + body));
  }
  /// Runs until an answer has arrived; returns it.
  std::string Answer(tcp::socket& socket) {
    socket.non_blocking(true);
    std::string text;
    Until([&] {
      char bytes[4'096];
      std::error_code error;
      const std::size_t size = socket.read_some(asio::buffer(bytes), error);
      text.append(bytes, size);
      const std::size_t head = text.find("\r\n\r\n");
      return (error && error != asio::error::would_block) ||
             (head != std::string::npos && text.size() > head + 4);
    });
    return text;
  }
  std::string Ask(const std::string& fields, const std::string& path = "/p/x") {
    return Answer(*Send(fields, path));
  }
  std::string AskWith(const std::string& key) {
    return Ask("Authorization: Bearer " + key + "\r\n");
  }

  void Report(const std::function<void(wire::GatewayLoad&)>& fill) {
    wire::GatewayLoad report;
    report.gateway = "p";
    report.sequence = ++sequence_;
    fill(report);
    peer.send_to(asio::buffer(wire::EncodeGatewayLoadChange(report)),
                 {settings.address, settings.peer_port});
    RunFor(Milliseconds(30));
  }
  /// era: empty: the report has none, as those of earlier versions of the program.
  void ReportEvidence(std::int64_t row_version, std::int64_t clock_ms,
                      std::optional<std::int64_t> era = std::nullopt) {
    Report([&](wire::GatewayLoad& report) {
      wire::GatewayConfigEvidence evidence;
      evidence.row_version = row_version;
      evidence.clock_ms = clock_ms;
      if (era) {
        evidence.__set_era(*era);
      }
      report.__set_config_evidence(evidence);
    });
  }
  void ReportRow(std::int64_t row_version, const std::string& text,
                 std::optional<std::int64_t> era) {
    Report([&](wire::GatewayLoad& report) {
      wire::GatewayConfigRow row;
      row.row_version = row_version;
      row.text = text;
      if (era) {
        row.__set_era(*era);
      }
      report.__set_config_row(row);
    });
  }
  /// Reports of the gateway that have arrived at the peer since the last call.
  std::vector<wire::GatewayLoad> ReceivedByPeer() {
    std::vector<wire::GatewayLoad> reports;
    std::vector<char> bytes(65'536);
    std::error_code error;
    for (udp::endpoint from; !error;) {
      const std::size_t size = peer.receive_from(asio::buffer(bytes), from, 0, error);
      if (!error) {
        reports.push_back(wire::DecodeGatewayLoad({bytes.data(), size}).value().load);
      }
    }
    return reports;
  }

  /// The position of each row that the gateway has asked the peer for since the last call.
  std::vector<core::StorePosition> RowsWanted() {
    std::vector<core::StorePosition> wanted;
    for (const wire::GatewayLoad& report : ReceivedByPeer()) {
      if (report.__isset.wanted_config) {
        wanted.push_back({report.wanted_config_era, report.wanted_config});
      }
    }
    return wanted;
  }
  /// The row that the gateway sends when the peer asks for this one; empty: none.
  std::optional<wire::GatewayConfigRow> RowSentFor(std::int64_t row_version,
                                                   std::optional<std::int64_t> era) {
    ReceivedByPeer();
    Report([&](wire::GatewayLoad& report) {
      report.__set_wanted_config(row_version);
      if (era) {
        report.__set_wanted_config_era(*era);
      }
    });
    std::optional<wire::GatewayConfigRow> row;
    for (const wire::GatewayLoad& report : ReceivedByPeer()) {
      if (report.__isset.config_row) {
        row = report.config_row;
      }
    }
    return row;
  }

  void Put(const std::string& table, const std::string& key, const std::string& value) {
    tables.tables[table][key] = {key, value, ++tables.version, false};
  }

  asio::io_context context;
  udp::socket peer;
  FakeEngine server;
  tests::FakeTables tables;
  TestClock clock;
  gateway::Settings settings;
  std::unique_ptr<gateway::Gateway> gateway_;

 private:
  int requests_ = 0;
  std::int64_t sequence_ = 0;
};

bool Is(const std::string& answer, int status) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

}  // namespace

// Guards against requests of nobody or somebody else that run (11,418 to 20,803 times a day
// before), and against keys that reach the upstream in any form of the header.
Test(callers, only_known_keys_run_and_no_key_is_passed_on, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1","key-2-of-w1"])");
  fixture.StartReady();
  const std::string key = "Authorization: Bearer key-of-w1\r\n";
  for (const std::string& fields :
       {std::string(), std::string("Authorization: Bearer unknown\r\n"),
        std::string("Authorization: Bearer shared\r\n"), std::string("Authorization: Bearer \r\n"),
        std::string("Authorization: Basic key-of-w1\r\n"),
        std::string("Authorization: Bearerkey-of-w1\r\n"),
        std::string("Authorization: Bearer key-of-w1, Bearer key-of-w2\r\n"),
        "Authorization: Bearer " + std::string(2'000, 'k') + "\r\n",
        key + "authorization: Bearer key-of-w2\r\n", key + "Authorization: Basic abc\r\n",
        std::string("Tenant-Id: w1\r\n"),
        std::string("Proxy-Authorization: Bearer key-of-w1\r\n")}) {
    const std::unique_ptr<tcp::socket> socket = fixture.Send(fields);
    const std::string answer = fixture.Answer(*socket);
    cr_assert(Is(answer, 401), "%s was answered with %s", fields.c_str(), answer.c_str());
    cr_assert_neq(answer.find("WWW-Authenticate: Bearer"), std::string::npos);
    cr_assert_eq(answer.find("key-of"), std::string::npos);
    fixture.Write(*socket, key);
    cr_assert(Is(fixture.Answer(*socket), 200), "the connection is of no use after a refusal");
  }
  cr_assert(Is(fixture.Answer(*fixture.Send("Transfer-Encoding: chunked\r\n", "/p/x",
                                            "\r\n0\r\nAuthorization: Bearer key-of-w1\r\n\r\n")),
               401),
            "a key in a trailer counted");
  const std::size_t before = fixture.server.heads().size();
  const std::string chunked =
      "Transfer-Encoding: chunked\r\n\r\n0\r\nAuthorization: Bearer key-2-of-w1\r\nTenant-Id: "
      "w2\r\n"
      "\r\n";
  cr_assert(Is(fixture.Answer(*fixture.Send(key, "/p/x", chunked)), 200));
  for (const std::string& fields :
       {std::string("AUTHORIZATION:\tbEARER   key-of-w1 \t\r\n"), key + key,
        key + "Tenant-Id: w2\r\ntenant-id: w3\r\n", key + "Tenant_Id: w2\r\nTENANT-ID:w2\r\n",
        key + "Connection: Tenant-Id, Authorization\r\n"}) {
    const std::string answer = fixture.Ask(fields);
    cr_assert(Is(answer, 200), "%s was answered with %s", fields.c_str(), answer.c_str());
  }
  // A folded line is a malformed request.
  cr_assert_not(Is(fixture.Ask("Authorization: Bearer\r\n key-of-w1\r\nTenant-Id: w2\r\n"), 500));
  const std::vector<std::string> heads = fixture.server.heads();
  cr_assert_geq(heads.size(), before + 6);
  for (const std::string& head : heads) {
    cr_assert_eq(head.find("key-"), std::string::npos, "the upstream got a key: %s", head.c_str());
    cr_assert_neq(head.find("\r\nTenant-Id: w1\r\n"), std::string::npos);
    cr_assert_eq(head.find("w2"), std::string::npos);
    cr_assert_eq(head.find("uthorization"), std::string::npos);
  }
  cr_assert(Is(fixture.Ask("Tenant-Id: w2\r\n" + key, "/open/x"), 200));
  const std::string open = fixture.server.heads().back();
  cr_assert_eq(open.find("Tenant-Id"), std::string::npos);
  cr_assert_eq(open.find("key-of-w1"), std::string::npos);
  cr_assert(Is(fixture.Ask("", "/none/x"), 404));
  const std::string state = fixture.gateway_->StateDump();
  cr_assert_neq(state.find("\"w1\""), std::string::npos);
  cr_assert_eq(state.find("key-of"), std::string::npos);
}

// Guards against another service for deployments without workspaces: everything is passed on.
Test(callers, without_workspaces_everything_is_passed_on, .timeout = 30) {
  CallersFixture fixture("", /*is_strict=*/false);
  fixture.StartReady();
  cr_assert(Is(fixture.Ask("Authorization: Bearer key-of-w1\r\nTenant-Id: x\r\n"), 200));
  const std::string head = fixture.server.heads().back();
  cr_assert_neq(head.find("Authorization: Bearer key-of-w1\r\n"), std::string::npos);
  cr_assert_neq(head.find("Tenant-Id: x\r\n"), std::string::npos);
}

// Guards against keys that are used on while the store is away (up to 3,482 times a day before),
// for the reasons that the process cannot tell apart, and against a clock that omits a suspension.
Test(callers, keys_end_with_the_evidence_and_public_routes_go_on, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1"])");
  fixture.StartReady();
  cr_assert(Is(fixture.AskWith("key-of-w1"), 200));
  fixture.TurnAway();
  cr_assert(Is(fixture.AskWith("key-of-w1"), 200), "evidence is still fresh");
  fixture.clock.offset = kLimit;
  for (const char* key : {"key-of-w1", "unknown", ""}) {
    const std::string answer = fixture.AskWith(key);
    cr_assert(Is(answer, 503), "%s", answer.c_str());
    cr_assert_neq(answer.find("Retry-After: "), std::string::npos);
  }
  cr_assert(Is(fixture.Ask("", "/open/x"), 200));
  fixture.tables.failure.reset();
  cr_assert(fixture.Until([&] { return Is(fixture.AskWith("key-of-w1"), 200); }));
}

// Guards against a gateway that stops serving because the store turns it away and no other, against
// evidence of a peer that is itself stale or is repeated late, and against a key that is used on
// after a peer has reported its removal.
Test(callers, gateway_that_is_turned_away_serves_on_through_a_peer, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1","key-2-of-w1"])");
  fixture.StartReady();
  fixture.TurnAway();
  const std::int64_t row = fixture.config_row();
  const std::int64_t stale_ms = fixture.store_clock_ms();
  for (int i = 0; i < 3; ++i) {
    fixture.clock.offset += Milliseconds(4'000);
    fixture.ReportEvidence(row, fixture.store_clock_ms() - 50);
    cr_assert(Is(fixture.AskWith("key-of-w1"), 200), "after %d reports", i + 1);
  }
  fixture.clock.offset += Milliseconds(5'000);
  fixture.ReportEvidence(row, stale_ms);
  fixture.ReportEvidence(row - 1, fixture.store_clock_ms());
  cr_assert(Is(fixture.AskWith("key-of-w1"), 503), "stale or foreign evidence counted");
  fixture.ReceivedByPeer();
  // A newer version: its keys are not known here until the peer has sent the row.
  const std::string newer = Config(2, R"(["key-2-of-w1","key-3-of-w1"])");
  fixture.ReportEvidence(row + 100, fixture.store_clock_ms());
  bool is_asked = false;
  for (const wire::GatewayLoad& report : fixture.ReceivedByPeer()) {
    is_asked = is_asked || (report.__isset.wanted_config && report.wanted_config == row + 100);
  }
  cr_assert(is_asked, "the gateway has not asked for the newer row");
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 503));
  for (const auto& [version, text] :
       {std::pair{row + 100, newer}, {row + 50, Config(1, R"(["key-of-w1"])")}}) {
    fixture.Report([&](wire::GatewayLoad& report) {
      wire::GatewayConfigRow config;
      config.row_version = version;
      config.text = text;
      report.__set_config_row(config);
    });
  }
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200));
  cr_assert(Is(fixture.AskWith("key-2-of-w1"), 200));
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401), "an older row replaced a newer one");
  // The store comes back with what it had before, as a read that lags would.
  fixture.tables.failure.reset();
  fixture.RunFor(Milliseconds(1'000));
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401), "a lagging read replaced a newer row");
  // A peer that asks gets the row.
  fixture.ReceivedByPeer();
  fixture.Report([&](wire::GatewayLoad& report) { report.__set_wanted_config(row + 100); });
  bool is_sent = false;
  for (const wire::GatewayLoad& report : fixture.ReceivedByPeer()) {
    is_sent = is_sent || (report.__isset.config_row && report.config_row.text == newer);
  }
  cr_assert(is_sent, "the gateway has not sent its row");
}

// Guards against a key of the newer configuration that is refused, and a removed one that is
// served again, after the store has returned from a copy with an older configuration; also where a
// peer that has not seen the return reports a higher version of the era before.
Test(callers, store_return_neither_restores_removed_keys_nor_refuses_new_ones, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1","key-2-of-w1"])");
  fixture.tables.era = 1;
  fixture.StartReady();
  const tests::FakeTables copy = fixture.tables;
  fixture.tables.version += 100;
  fixture.SetConfig(2, R"(["key-2-of-w1","key-3-of-w1"])");
  const std::int64_t lost_row = fixture.config_row();
  cr_assert(fixture.Until([&] { return Is(fixture.AskWith("key-3-of-w1"), 200); }));
  fixture.ReturnFrom(copy);
  fixture.RunFor(Milliseconds(1'000));
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200), "the newer configuration was dropped");
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401), "the copy's configuration came back");
  // The gateway's own reads are evidence for the configuration that it keeps.
  fixture.clock.offset += kLimit;
  fixture.RunFor(Milliseconds(1'000));
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200), "no evidence of the new era counts");
  fixture.ReceivedByPeer();
  for (const std::int64_t row : {lost_row, lost_row + 100}) {
    fixture.ReportEvidence(row, fixture.store_clock_ms() - 50, /*era=*/1);
    cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200));
    cr_assert(Is(fixture.AskWith("key-2-of-w1"), 200));
    const std::string answer = fixture.AskWith("key-of-w1");
    cr_assert(Is(answer, 401), "evidence of the era before counted: %s", answer.c_str());
  }
  cr_assert(fixture.RowsWanted().empty(), "the gateway asked for a row of the era before");
}

// Guards against a key that is served on because the row that removes it has a smaller version than
// the row in force had before the store's return.
Test(callers, key_removed_after_a_store_return_is_refused, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1","key-2-of-w1"])");
  fixture.tables.era = 1;
  fixture.StartReady();
  const tests::FakeTables copy = fixture.tables;
  fixture.tables.version += 100;
  const std::string lost = R"(["key-2-of-w1","key-3-of-w1"])";
  fixture.SetConfig(2, lost);
  cr_assert(fixture.Until([&] { return Is(fixture.AskWith("key-3-of-w1"), 200); }));
  fixture.ReturnFrom(copy);
  fixture.RunFor(Milliseconds(700));
  fixture.SetConfig(2, lost);
  fixture.RunFor(Milliseconds(700));
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200));
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401));
  fixture.SetConfig(3, R"(["key-3-of-w1","key-4-of-w1"])");
  fixture.RunFor(Milliseconds(700));
  cr_assert(Is(fixture.AskWith("key-4-of-w1"), 200), "a key that was added is refused");
  cr_assert(Is(fixture.AskWith("key-2-of-w1"), 401), "a key that was removed is served");
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200));
}

// Guards against a gateway that the store turns away and that passes over a peer's newer row
// because the store has returned since, and against an asked peer's row of the era before.
Test(callers, gateway_that_is_turned_away_takes_a_row_of_a_new_era_only, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1"])");
  fixture.tables.era = 1;
  fixture.tables.version += 100;
  fixture.SetConfig(2, R"(["key-of-w1","key-2-of-w1"])");
  fixture.StartReady();
  fixture.TurnAway();
  fixture.ReceivedByPeer();
  fixture.ReportEvidence(40, fixture.store_clock_ms() - 50, /*era=*/2);
  cr_assert(fixture.RowsWanted() == (std::vector<core::StorePosition>{{2, 40}}),
            "the gateway has not asked for the row of the new era");
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 503), "the newer row may have this key");
  fixture.ReportRow(40, Config(3, R"(["key-2-of-w1","key-3-of-w1"])"), /*era=*/2);
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200));
  cr_assert(Is(fixture.AskWith("key-2-of-w1"), 200));
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401), "a removed key is served");
  // A read of the table that lags, from before the return.
  fixture.tables.failure.reset();
  fixture.RunFor(Milliseconds(700));
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401), "a read of the era before replaced the row");
  fixture.TurnAway();
  fixture.ReceivedByPeer();
  fixture.ReportEvidence(60, fixture.store_clock_ms() - 50, /*era=*/2);
  cr_assert(fixture.RowsWanted() == (std::vector<core::StorePosition>{{2, 60}}));
  fixture.ReportRow(50, Config(4, R"(["key-of-w1"])"), /*era=*/1);
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200), "a row of the era before was taken");
  cr_assert(Is(fixture.AskWith("key-of-w1"), 503), "the newer row may have this key");
  fixture.ReportRow(60, Config(4, R"(["key-3-of-w1","key-4-of-w1"])"), /*era=*/2);
  cr_assert(Is(fixture.AskWith("key-4-of-w1"), 200));
  cr_assert(Is(fixture.AskWith("key-2-of-w1"), 401));
}

// Guards against reports of an earlier version of the program, which have no era, that confirm or
// replace a configuration of a store that states one, and against requests of it that are ignored.
Test(callers, report_without_an_era_is_answered_and_changes_nothing, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1","key-2-of-w1"])");
  fixture.tables.era = 1;
  fixture.StartReady();
  const std::int64_t row = fixture.config_row();
  fixture.TurnAway();
  fixture.ReceivedByPeer();
  fixture.ReportEvidence(row + 100, fixture.store_clock_ms() - 50);
  fixture.ReportRow(row + 100, Config(2, R"(["key-3-of-w1"])"), std::nullopt);
  cr_assert(fixture.RowsWanted().empty(), "the gateway asked for a row without an era");
  cr_assert(Is(fixture.AskWith("key-of-w1"), 200));
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 401), "a report without an era counted");
  const std::optional<wire::GatewayConfigRow> sent = fixture.RowSentFor(row, std::nullopt);
  cr_assert(sent, "a request without an era was ignored");
  cr_assert_eq(sent->text, Config(1, R"(["key-of-w1","key-2-of-w1"])"));
  // It does not hide the evidence of a peer that states the era, nor replaces it.
  fixture.clock.offset += kLimit;
  fixture.ReportEvidence(row, fixture.store_clock_ms() - 50);
  cr_assert(Is(fixture.AskWith("key-of-w1"), 503), "evidence without an era confirmed the row");
  fixture.ReportEvidence(row, fixture.store_clock_ms() - 50, /*era=*/1);
  cr_assert(Is(fixture.AskWith("key-of-w1"), 200));
}

// Guards against one position with two texts after a return of the store: a peer that had got the
// newer text under the position of the copy's row would not see which of the two the store has.
Test(callers, peer_gets_the_row_that_is_held_back_as_it_is, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1","key-2-of-w1"])");
  fixture.tables.era = 1;
  fixture.StartReady();
  const tests::FakeTables copy = fixture.tables;
  fixture.tables.version += 100;
  fixture.SetConfig(2, R"(["key-2-of-w1","key-3-of-w1"])");
  cr_assert(fixture.Until([&] { return Is(fixture.AskWith("key-3-of-w1"), 200); }));
  fixture.ReturnFrom(copy);
  fixture.RunFor(Milliseconds(700));
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401), "the copy's configuration came back");
  const std::optional<wire::GatewayConfigRow> row =
      fixture.RowSentFor(fixture.config_row(), /*era=*/2);
  cr_assert(row, "the gateway has not sent its row");
  cr_assert_eq(row->era, 2);
  cr_assert_eq(row->row_version, fixture.config_row());
  cr_assert_eq(row->text, copy.tables.at("config").at("c").value);
}

// Guards against a removed key that is served because a peer has sent the row of the store's copy,
// as it should: the receiver holds it back, too.
Test(callers, row_of_the_copy_from_a_peer_is_held_back, .timeout = 60) {
  CallersFixture fixture(R"(["key-2-of-w1"])");
  fixture.tables.era = 1;
  fixture.tables.version += 100;
  fixture.SetConfig(2, R"(["key-2-of-w1"])");
  fixture.StartReady();
  fixture.TurnAway();
  fixture.ReportEvidence(40, fixture.store_clock_ms() - 50, /*era=*/2);
  fixture.ReportRow(40, Config(1, R"(["key-of-w1","key-2-of-w1"])"), /*era=*/2);
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401));
  fixture.clock.offset += kLimit;
  fixture.ReportEvidence(40, fixture.store_clock_ms() - 50, /*era=*/2);
  cr_assert(Is(fixture.AskWith("key-2-of-w1"), 200), "evidence of the copy's row did not count");
  // The lost configurations are written again, the older one first.
  fixture.ReportEvidence(41, fixture.store_clock_ms() - 50, /*era=*/2);
  fixture.ReportRow(41, Config(1, R"(["key-of-w1"])"), /*era=*/2);
  cr_assert(Is(fixture.AskWith("key-of-w1"), 401));
  fixture.ReportEvidence(42, fixture.store_clock_ms() - 50, /*era=*/2);
  fixture.ReportRow(42, Config(3, R"(["key-3-of-w1"])"), /*era=*/2);
  cr_assert(Is(fixture.AskWith("key-3-of-w1"), 200));
}

// Guards against a key that was taken away while its request waited in the queue, and against a
// request that is cut because its key goes while it runs.
Test(callers, key_that_goes_while_a_request_is_queued, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1"])", /*is_strict=*/true, /*slots=*/1, Milliseconds(1'000));
  fixture.StartReady();
  const std::string key = "Authorization: Bearer key-of-w1\r\n";
  const std::unique_ptr<tcp::socket> running = fixture.Send(key);
  cr_assert(fixture.Until([&] { return fixture.server.heads().size() == 1; }));
  const std::unique_ptr<tcp::socket> queued = fixture.Send(key);
  fixture.RunFor(Milliseconds(100));
  fixture.SetConfig(2, R"(["other"])");
  cr_assert(Is(fixture.Answer(*queued), 503));
  cr_assert(Is(fixture.Answer(*running), 200));
  cr_assert_eq(fixture.server.heads().size(), 1);
  cr_assert(fixture.Until([&] { return Is(fixture.AskWith("key-of-w1"), 401); }));
}

// Guards against 401 for all callers of a gateway that has just started, and against evidence of a
// peer that is used before the own relation to the store's clock is known.
Test(callers, gateway_without_a_read_refuses_with_503, .timeout = 60) {
  CallersFixture fixture(R"(["key-of-w1"])");
  fixture.tables.failure = Error{ErrorKind::kUnavailable, "503", "later"};
  fixture.Start();
  fixture.RunFor(Milliseconds(100));
  fixture.ReportEvidence(fixture.config_row(), fixture.store_clock_ms());
  cr_assert(Is(fixture.AskWith("key-of-w1"), 503));
  cr_assert(Is(fixture.AskWith("unknown"), 503));
  cr_assert_not(fixture.gateway_->is_ready());
  fixture.tables.failure.reset();
  cr_assert(fixture.Until([&] { return Is(fixture.AskWith("key-of-w1"), 200); }));
}

// Guards against evidence that is too rare for the bound, and against more calls than it needs.
Test(callers, held_calls_are_as_long_as_the_bound_allows) {
  const gateway::PollIntervals usual =
      gateway::PollIntervalsFor(Milliseconds(4'000), Milliseconds(3'000));
  cr_assert_eq(gateway::WithKeyRemovalLimit(usual, kLimit).config_wait.count(),
               usual.config_wait.count());
  for (const int limit_ms : {1'000, 2'000, 4'000}) {
    const std::int64_t wait_ms =
        gateway::WithKeyRemovalLimit(usual, Milliseconds(limit_ms)).config_wait.count();
    cr_assert(wait_ms >= 300 && wait_ms < 0.6 * limit_ms);
  }
}
