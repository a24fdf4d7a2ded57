#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gateway/gateway.h"
#include "tests/gateway/fake_engine.h"
#include "tests/gateway/fake_table.h"
#include "tests/gateway/gateway_settings.h"
#include "tests/gateway/run_until.h"

using namespace rattanramp;
using asio::ip::tcp;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

constexpr int kDecodeEngines = 10;

/// The users' time to learn of a fault, and the requests with the part that may still reach engines
/// after it.
constexpr std::chrono::milliseconds kContactTime{3'000};
constexpr int kMaxLaterArrivals = 3;

/// Engines that must have ended before the users' bound applies.
constexpr int kCrashesBeforeBound = 5;

constexpr int kResetStreams = 6;

constexpr const char* kConfig = R"({"version":1,"routes":[
  {"name":"r","host":"h","prefix":"/p/","kind":"streaming","timeout_ms":14000,
   "target_latency_ms":900,"target_gap_ms":300,"priority":1,"service":"s","max_attempts":2,
   "sticky":true,"resumable":true},
  {"name":"q","host":"h","prefix":"/q/","kind":"streaming","timeout_ms":14000,
   "target_latency_ms":900,"target_gap_ms":300,"priority":1,"service":"s","max_attempts":1}],
  "services":[{"name":"s","health_path":"/healthz","max_conns":100,
   "engine":{"slots":12,"kv_tokens":65000,"stride":72,"kv_hold_s":0.5,"switch_s":1.0,
    "models":[{"name":"m"}]}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
   "idle_timeout_ms":15000}})";

bool HasPart(const std::string& head, const std::string& part) {
  return head.find(part + ":") != std::string::npos;
}

/// Gateways that share a store, before engines that end when they begin to answer a request with
/// the part "bad". An engine that has ended is back at once, as a new incarnation with the same id.
/// The first kResetStreams requests with the part "new" lose their connections, while their engines
/// run on.
class CrashingFleet {
 public:
  explicit CrashingFleet(int gateways) {
    tables_.tables["config"]["c"] = {"c", kConfig, ++tables_.version, false};
    AddEngine("prefill", "p0");
    for (int i = 0; i < kDecodeEngines; ++i) {
      AddEngine("decode", "d" + std::to_string(i));
    }
    for (int i = 0; i < gateways; ++i) {
      AddGateway();
    }
  }

  /// Starts one more gateway; returns its index.
  std::size_t AddGateway() {
    gateway::Settings settings = tests::TestSettings();
    settings.node = "g" + std::to_string(settings_.size());
    gateway::StoreSource source{"config",
                                "c",
                                "upstreams",
                                "gateways",
                                "orders",
                                [this]() -> std::unique_ptr<store::AsyncTable> {
                                  return std::make_unique<tests::FakeTable>(*context_, tables_);
                                }};
    settings_.push_back(settings);
    gateways_.push_back(std::move(
        gateway::Gateway::Create(*context_, DefaultClock(), settings, std::move(source)).value()));
    cr_assert(tests::RunUntil(*context_, [&] { return gateways_.back()->is_ready(); }));
    return settings_.size() - 1;
  }

  /// Ends all gateways, as a loss of power does.
  void KillGateways() {
    gateways_.clear();
    context_ = std::make_unique<asio::io_context>();
  }

  /// Runs the gateways while `callers` runs on another thread.
  template <typename Callers>
  void Run(Callers callers) {
    std::atomic<bool> is_done = false;
    std::thread thread([&] {
      callers();
      is_done = true;
    });
    while (!is_done) {
      WriteRows();
      context_->restart();
      context_->run_for(std::chrono::milliseconds(5));
    }
    thread.join();
  }

  /// Sends a generation whose prompt has the shared parts "first" and "caller", `part` between them
  /// unless it is empty, and a last part of its own. Returns the bytes of the answer.
  std::string Call(std::size_t gateway, const std::string& part, const std::string& path = "/p/x") {
    const std::string id = "r" + std::to_string(next_request_++);
    asio::io_context context;
    tcp::socket socket(context);
    std::error_code error;
    socket.connect(settings_[gateway].callers, error);
    asio::write(
        socket,
        asio::buffer("POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: " +
                     id + "\r\nDeadline-Ms: 14000\r\nModel-Id: m\r\nToken-Count: 1000,100" +
                     "\r\nPrompt-Prefix: first:200," + (part.empty() ? "" : part + ":100,") +
                     "caller:100," + id + ":600\r\nContent-Length: 0\r\n\r\n"),
        error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  /// Sends generations with the part in turn to the gateways until enough engines have ended.
  void CrashEngines(const std::vector<std::size_t>& gateways) {
    Run([&] {
      for (std::size_t i = 0; crashes_ < kCrashesBeforeBound && i < 20; ++i) {
        Call(gateways[i % gateways.size()], "bad");
        Call(gateways[i % gateways.size()], "");
      }
      std::this_thread::sleep_for(kContactTime);
    });
  }

  /// Connections are not reset any more.
  void EndResets() { resets_ = kResetStreams; }
  /// Rows of evidence in the store.
  std::size_t crash_rows() { return tables_.tables["rattanramp_crashes"].size(); }
  /// Engines that have ended under a request with the part.
  int crashes() const { return crashes_; }
  /// Calls with the part that have reached engines, prefills included.
  int bad_arrivals() const { return bad_arrivals_; }

 private:
  struct Engine {
    std::string id;
    std::string stage;
    /// Number of times that it has ended.
    std::atomic<int> ends = 0;
    int written_ends = -1;
    std::unique_ptr<FakeEngine> server;
  };

  void AddEngine(const std::string& stage, const std::string& id) {
    engines_.push_back(std::make_unique<Engine>());
    Engine& engine = *engines_.back();
    engine.id = id;
    engine.stage = stage;
    engine.server =
        std::make_unique<FakeEngine>([this, &engine](const std::string& head, int number) {
          return Answer(engine, head, number);
        });
    WriteRows();
  }

  /// Writes the rows of the engines that have ended since.
  void WriteRows() {
    for (const std::unique_ptr<Engine>& engine : engines_) {
      const int ends = engine->ends;
      if (std::exchange(engine->written_ends, ends) == ends) {
        continue;
      }
      const std::string row = R"({"service":"s","addr":"127.0.0.1:)" +
                              std::to_string(engine->server->port()) +
                              R"(","zone":"domain-a","slots":12,"state":"ready","stage":")" +
                              engine->stage + R"(","born":)" + std::to_string(1'000 + ends) + "}";
      tables_.tables["upstreams"][engine->id] = {engine->id, row, ++tables_.version, false};
    }
  }

  FakeAnswer Answer(Engine& engine, const std::string& head, int number) {
    const std::string start =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + tests::FieldOf(head, "Request-Id") + "\r\n";
    if (head.starts_with("POST /rattanramp/order")) {
      return {"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"};
    }
    const bool is_bad = HasPart(head, "bad");
    bad_arrivals_ += is_bad ? 1 : 0;
    if (engine.stage == "prefill") {
      const std::string body = R"({"kv_handle":"h)" + std::to_string(number) + R"(","tokens":1})";
      return {start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    }
    const std::string stream_head = start +
                                    "Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n";
    if (is_bad) {
      ++crashes_;
      ++engine.ends;
      return {stream_head, true};
    }
    if (HasPart(head, "new") && resets_++ < kResetStreams) {
      FakeAnswer answer{stream_head, true, {"f\r\nid: 1\ndata: x\n\n\r\n"}};
      answer.pause = std::chrono::milliseconds(400);
      return answer;
    }
    return {stream_head + "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n"};
  }

  std::unique_ptr<asio::io_context> context_ = std::make_unique<asio::io_context>();
  tests::FakeTables tables_;
  std::atomic<int> crashes_ = 0;
  std::atomic<int> bad_arrivals_ = 0;
  std::atomic<int> next_request_ = 0;
  std::atomic<int> resets_ = 0;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<gateway::Settings> settings_;
  std::vector<std::unique_ptr<gateway::Gateway>> gateways_;
};

/// Sends twelve generations with the part to the gateways and as many without it. Returns the calls
/// with the part that reached engines.
int ArrivalsAfterContactTime(CrashingFleet& fleet, const std::vector<std::size_t>& gateways) {
  const int before = fleet.bad_arrivals();
  int served = 0;
  fleet.Run([&] {
    for (std::size_t i = 0; i < 12; ++i) {
      const std::string refusal = fleet.Call(gateways[i % gateways.size()], "bad");
      cr_expect(refusal.find(" 200 ") == std::string::npos || fleet.bad_arrivals() > before);
      served += fleet.Call(gateways[i % gateways.size()], "").find("0\r\n\r\n") != std::string::npos
                    ? 1
                    : 0;
    }
  });
  // They share the first part and the part of the caller.
  cr_expect_eq(served, 12, "%d of 12 sound requests were served", served);
  return fleet.bad_arrivals() - before;
}

}  // namespace

// Guards against the incident BUDGET: requests with one part in their prompts, no two alike, crash
// one engine after the other because no gateway finds out what they share.
Test(crashing_part, requests_with_the_part_stop_reaching_engines, .timeout = 60) {
  CrashingFleet fleet(3);
  fleet.CrashEngines({0, 1, 2});
  cr_assert_geq(fleet.crashes(), 3);
  cr_assert_leq(ArrivalsAfterContactTime(fleet, {0, 1, 2}), kMaxLaterArrivals);
}

// Guards against the incident BUDGET at a gateway that has lost no request with the part itself.
Test(crashing_part, other_gateways_stop_sending_the_part_too, .timeout = 60) {
  CrashingFleet fleet(3);
  fleet.CrashEngines({0, 1});
  cr_assert_leq(ArrivalsAfterContactTime(fleet, {2}), kMaxLaterArrivals);
}

// Guards against the incident BUDGET after a start: a gateway that joins learns of the part from
// its peers before it would have to lose engines to it.
Test(crashing_part, gateway_that_starts_learns_the_part_from_its_peers, .timeout = 60) {
  CrashingFleet fleet(2);
  fleet.CrashEngines({0, 1});
  const std::size_t joined = fleet.AddGateway();
  fleet.Run([] { std::this_thread::sleep_for(kContactTime); });
  cr_assert_leq(ArrivalsAfterContactTime(fleet, {joined}), kMaxLaterArrivals);
}

// Guards against the incident BUDGET after all gateways have been killed at once: what they knew of
// the part must not be lost with them.
Test(crashing_part, part_is_remembered_when_all_gateways_were_killed, .timeout = 60) {
  CrashingFleet fleet(2);
  fleet.CrashEngines({0, 1});
  fleet.KillGateways();
  const std::vector<std::size_t> started = {fleet.AddGateway(), fleet.AddGateway()};
  fleet.Run([] { std::this_thread::sleep_for(kContactTime); });
  cr_assert_leq(ArrivalsAfterContactTime(fleet, started), kMaxLaterArrivals);
}

// Guards against a new route that is refused for minutes because the connections of its first
// streams were reset at one moment (review case 4), at the gateway that lost them and at its peers.
Test(crashing_part, reset_of_connections_blocks_no_part, .timeout = 60) {
  CrashingFleet fleet(2);
  std::atomic<int> lost = 0;
  int served = 0;
  fleet.Run([&] {
    std::vector<std::thread> callers;
    for (int i = 0; i < kResetStreams; ++i) {
      callers.emplace_back([&] {
        lost += fleet.Call(0, "new", "/q/x").find("0\r\n\r\n") == std::string::npos ? 1 : 0;
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (std::size_t i = 0; i < 8; ++i) {
      served += fleet.Call(i % 2, "new", "/q/x").find("0\r\n\r\n") != std::string::npos ? 1 : 0;
    }
  });
  cr_assert_eq(lost, kResetStreams);
  cr_assert_eq(served, 8, "%d of 8 requests were served after the reset", served);
}

// Guards against a sound part that stays blocked after connections were reset at several moments
// (review case 4): its engines answer other requests. All gateways take the block back, and the
// evidence leaves the store.
Test(crashing_part, part_is_released_when_its_engines_run_on, .timeout = 60) {
  CrashingFleet fleet(2);
  int refused = 0;
  int served = 0;
  fleet.Run([&] {
    for (int i = 0; i < kResetStreams; ++i) {
      refused += fleet.Call(0, "new", "/q/x").find(" 503 ") != std::string::npos ? 1 : 0;
    }
    fleet.EndResets();
    for (int i = 0; i < 200; ++i) {
      fleet.Call(static_cast<std::size_t>(i % 2), "");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (std::size_t i = 0; i < 8; ++i) {
      served += fleet.Call(i % 2, "new", "/q/x").find("0\r\n\r\n") != std::string::npos ? 1 : 0;
    }
  });
  cr_assert_gt(refused, 0);
  cr_assert_eq(served, 8, "%d of 8 requests were served", served);
  cr_assert_eq(fleet.crash_rows(), 0);
}
