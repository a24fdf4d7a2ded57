#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <set>
#include <string>
#include <thread>
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

constexpr const char* kConfig = R"({"version":1,"routes":[
  {"name":"r","host":"h","prefix":"/p/","kind":"non_idempotent","timeout_ms":14000,
   "target_latency_ms":300,"priority":1,"service":"s","max_attempts":1}],
  "services":[{"name":"s","health_path":"/healthz","max_conns":100}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
   "idle_timeout_ms":15000}})";

struct StopCase {
  /// Time from the start of the stop to the request.
  Milliseconds delay;
  /// Time that the upstream takes for a request.
  Milliseconds work;
  /// Time that the store takes to remove the gateway's row.
  Milliseconds remove_delay;
  int deadline_ms = 4'000;
  /// Another caller sends a request 50 ms after the start of the stop.
  bool has_earlier_request = false;
  /// Requests that the upstream runs at once.
  int slots = 6;
  /// Time from the start of the stop to the destruction of the gateway, if it has not ended before.
  Milliseconds run_time{9'000};
  Milliseconds grace{8'000};
};

struct StopOutcome {
  /// All bytes of the answer, or the error.
  std::string answer;
  std::string earlier_answer;
  /// Time from the start of the stop to the end of the answer.
  Duration answered_after{};
  Duration stopped_after{};
  /// Requests that reached the upstream.
  std::size_t sent_upstream = 0;
};

/// Runs a gateway that is stopped at once and sends it requests on new connections.
StopOutcome RequestDuringStop(const StopCase& stop) {
  FakeEngine server([&](const std::string& head, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.later = {"HTTP/1.1 200 OK\r\nRequest-Id: " + tests::FieldOf(head, "Request-Id") +
                    "\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\ndone"};
    answer.pause = stop.work;
    return answer;
  });
  std::unique_ptr<asio::io_context> owned_context = std::make_unique<asio::io_context>();
  asio::io_context& context = *owned_context;
  tests::FakeTables tables;
  tables.remove_delay = stop.remove_delay;
  tables.tables["config"]["c"] = {"c", kConfig, ++tables.version, false};
  const std::string upstream = R"({"service":"s","addr":"127.0.0.1:)" +
                               std::to_string(server.port()) + R"(","zone":"domain-a","slots":)" +
                               std::to_string(stop.slots) + R"(,"state":"ready"})";
  tables.tables["upstreams"]["u"] = {"u", upstream, ++tables.version, false};
  gateway::StoreSource source{"config",
                              "c",
                              "upstreams",
                              "gateways",
                              "orders",
                              [&]() -> std::unique_ptr<store::AsyncTable> {
                                return std::make_unique<tests::FakeTable>(context, tables);
                              }};
  gateway::Settings settings = tests::TestSettings();
  settings.stop_grace = stop.grace;
  std::unique_ptr<gateway::Gateway> gateway = std::move(
      gateway::Gateway::Create(context, DefaultClock(), settings, std::move(source)).value());
  cr_assert(tests::RunUntil(context, [&] { return gateway->is_ready(); }));
  StopOutcome outcome;
  const TimePoint started = DefaultClock().now();
  gateway->Stop([&] {
    outcome.stopped_after = DefaultClock().now() - started;
    context.stop();
  });
  const auto call = [&](Milliseconds wait, const std::string& id, std::string& text) {
    std::this_thread::sleep_for(wait);
    asio::io_context caller_context;
    tcp::socket socket(caller_context);
    std::error_code error;
    socket.connect(settings.callers, error);
    asio::write(socket,
                asio::buffer("POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                             "\r\nDeadline-Ms: " + std::to_string(stop.deadline_ms) +
                             "\r\nContent-Length: 0\r\n\r\n"),
                error);
    asio::read(socket, asio::dynamic_buffer(text), error);
    if (error != asio::error::eof) {
      text += "[" + error.message() + "]";
    }
  };
  std::thread caller([&] {
    call(stop.delay, "r1", outcome.answer);
    outcome.answered_after = DefaultClock().now() - started;
  });
  std::thread earlier_caller([&] {
    if (stop.has_earlier_request) {
      call(Milliseconds(50), "r0", outcome.earlier_answer);
    }
  });
  context.restart();
  context.run_for(stop.run_time);
  // The process ends here, and with it all connections.
  gateway.reset();
  owned_context.reset();
  caller.join();
  earlier_caller.join();
  outcome.sent_upstream = server.heads().size();
  return outcome;
}

bool IsComplete(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 ") && answer.find('[') == std::string::npos;
}

struct KeptRequest {
  std::string id;
  /// Empty: the connection ended before a whole answer.
  std::string answer;
};

/// Sends requests one after the other on one connection until it ends, a new one 20 ms after each
/// answer.
std::vector<KeptRequest> CallUntilClosed(const tcp::endpoint& gateway, const std::string& name,
                                         int deadline_ms) {
  std::vector<KeptRequest> requests;
  asio::io_context context;
  tcp::socket socket(context);
  std::error_code error;
  socket.connect(gateway, error);
  std::string buffer;
  while (!error) {
    KeptRequest request{name + "-" + std::to_string(requests.size()), ""};
    asio::write(socket,
                asio::buffer("POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + request.id +
                             "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                             "\r\nContent-Length: 0\r\n\r\n"),
                error);
    const std::size_t head_size =
        error ? 0 : asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
    if (!error) {
      const std::string head = buffer.substr(0, head_size);
      const std::string length = tests::FieldOf(head, "Content-Length");
      const std::size_t size = head_size + static_cast<std::size_t>(std::stoul("0" + length));
      while (buffer.size() < size && !error) {
        asio::read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(1), error);
      }
      request.answer = error ? "" : buffer.substr(0, size);
      buffer.erase(0, size);
    }
    requests.push_back(request);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return requests;
}

}  // namespace

// Guards against a planned stop that cuts off a request without an answer: it was accepted after
// the last running request had ended, while the gateway's row was being removed from the store.
Test(gateway_stop, request_accepted_during_the_last_steps_is_answered, .timeout = 40) {
  const std::string answer =
      RequestDuringStop({Milliseconds(3'300), Milliseconds(2'500), Milliseconds(1'500)}).answer;
  cr_assert(answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"), "%s",
            answer.c_str());
  cr_assert(IsComplete(answer), "%s", answer.c_str());
}

// Guards against refusing connections while the load balancer still sends some: callers get a
// refusal that says that the request has not run.
Test(gateway_stop, late_connection_is_refused_with_an_answer, .timeout = 40) {
  const std::string answer =
      RequestDuringStop({Milliseconds(4'300), Milliseconds(10), Milliseconds(2'500)}).answer;
  cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  cr_assert(IsComplete(answer), "%s", answer.c_str());
}

// Guards against the incident LOST: work was taken near the end of a stop, could not be finished
// before the process had to end, and was cut.
Test(gateway_stop, request_that_may_outlast_the_stop_is_refused, .timeout = 40) {
  const StopOutcome outcome =
      RequestDuringStop({Milliseconds(3'300), Milliseconds(5'000), Milliseconds(10), 14'000, true});
  cr_assert(outcome.answer.starts_with("HTTP/1.1 503"), "%s", outcome.answer.c_str());
  cr_assert(outcome.earlier_answer.starts_with("HTTP/1.1 200"), "%s",
            outcome.earlier_answer.c_str());
}

// Guards against the incident LOST: requests that were accepted at the start of a stop waited in
// the queue, or ran, until the process exited, and ended without an answer.
Test(gateway_stop, open_requests_are_answered_before_the_process_exits, .timeout = 40) {
  const StopOutcome outcome = RequestDuringStop(
      {Milliseconds(500), Milliseconds(20'000), Milliseconds(10), 14'000, true, 1});
  cr_assert(outcome.answer.starts_with("HTTP/1.1 503"), "%s", outcome.answer.c_str());
  cr_assert(IsComplete(outcome.answer), "%s", outcome.answer.c_str());
  // The upstream may have run this one.
  cr_assert(outcome.earlier_answer.starts_with("HTTP/1.1 502"), "%s",
            outcome.earlier_answer.c_str());
  cr_assert(IsComplete(outcome.earlier_answer), "%s", outcome.earlier_answer.c_str());
  cr_assert_eq(outcome.sent_upstream, 1);
  // The queued request needs its latency target of 300 ms before the forced end at 7.5 s.
  cr_assert_lt(ToMs(outcome.answered_after), 7'450.0);
  cr_assert_gt(ToMs(outcome.stopped_after), 7'450.0);
  cr_assert_lt(ToMs(outcome.stopped_after), 8'000.0);
}

// Guards against a process that is killed with unsent answers because the store does not answer the
// removal of its row.
Test(gateway_stop, silent_store_does_not_delay_the_exit_beyond_the_grace_time, .timeout = 40) {
  const StopOutcome outcome =
      RequestDuringStop({Milliseconds(500), Milliseconds(20'000), Milliseconds(5'000), 14'000});
  cr_assert(IsComplete(outcome.answer), "%s", outcome.answer.c_str());
  cr_assert_gt(ToMs(outcome.stopped_after), 0.0);
  cr_assert_lt(ToMs(outcome.stopped_after), 8'000.0);
}

// Guards against a stop that is delayed although nothing is left to do.
Test(gateway_stop, idle_gateway_stops_after_the_balancer_has_removed_it, .timeout = 40) {
  const StopOutcome outcome =
      RequestDuringStop({Milliseconds(1'000), Milliseconds(10), Milliseconds(10)});
  cr_assert(outcome.answer.starts_with("HTTP/1.1 200"), "%s", outcome.answer.c_str());
  cr_assert_lt(ToMs(outcome.stopped_after), 4'500.0);
  cr_assert_gt(ToMs(outcome.stopped_after), 0.0);
}

// Guards against a crash at the exit of the process while requests are running and queued.
Test(gateway_stop, gateway_can_be_destroyed_with_open_requests, .timeout = 40) {
  StopCase stop{Milliseconds(300), Milliseconds(20'000), Milliseconds(10), 14'000, true, 1};
  stop.run_time = Milliseconds(1'000);
  const StopOutcome outcome = RequestDuringStop(stop);
  cr_assert(!IsComplete(outcome.answer), "%s", outcome.answer.c_str());
  cr_assert_eq(outcome.stopped_after.count(), 0);
}

// Guards against a process that is killed with its answers unsent and its row in the store,
// because the grace time is shorter than the time until the balancer has removed it.
Test(gateway_stop, short_grace_time_is_kept, .timeout = 40) {
  StopCase stop{Milliseconds(500), Milliseconds(20'000), Milliseconds(10), 14'000, true, 1};
  stop.grace = Milliseconds(2'000);
  const StopOutcome outcome = RequestDuringStop(stop);
  cr_expect(IsComplete(outcome.answer), "%s", outcome.answer.c_str());
  cr_expect(IsComplete(outcome.earlier_answer), "%s", outcome.earlier_answer.c_str());
  cr_expect_gt(ToMs(outcome.stopped_after), 0.0);
  cr_expect_lt(ToMs(outcome.stopped_after), 2'000.0, "%f", ToMs(outcome.stopped_after));
}

// Guards against a planned stop in calm that takes requests late in the grace time, passes them on
// and cuts them at its end without an answer, also those that may run once only: callers use their
// connections until the process is gone.
Test(gateway_stop, requests_on_kept_connections_are_answered_to_the_end, .timeout = 40) {
  FakeEngine server([](const std::string& head, int number) -> FakeAnswer {
    FakeAnswer answer;
    answer.later = {"HTTP/1.1 200 OK\r\nRequest-Id: " + tests::FieldOf(head, "Request-Id") +
                    "\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\ndone"};
    // Most answers come at once, some outlast the deadline or the stop.
    constexpr int kWorkMs[] = {5, 20, 80, 300, 900, 2'500};
    answer.pause = Milliseconds(kWorkMs[number % 6]);
    return answer;
  });
  std::unique_ptr<asio::io_context> owned_context = std::make_unique<asio::io_context>();
  asio::io_context& context = *owned_context;
  tests::FakeTables tables;
  tables.remove_delay = Milliseconds(300);
  tables.tables["config"]["c"] = {"c", kConfig, ++tables.version, false};
  tables.tables["upstreams"]["u"] = {"u",
                                     R"({"service":"s","addr":"127.0.0.1:)" +
                                         std::to_string(server.port()) +
                                         R"(","zone":"domain-a","slots":30,"state":"ready"})",
                                     ++tables.version, false};
  gateway::StoreSource source{"config",
                              "c",
                              "upstreams",
                              "gateways",
                              "orders",
                              [&]() -> std::unique_ptr<store::AsyncTable> {
                                return std::make_unique<tests::FakeTable>(context, tables);
                              }};
  const gateway::Settings settings = tests::TestSettings();
  std::unique_ptr<gateway::Gateway> gateway = std::move(
      gateway::Gateway::Create(context, DefaultClock(), settings, std::move(source)).value());
  cr_assert(tests::RunUntil(context, [&] { return gateway->is_ready(); }));
  bool has_stopped = false;
  gateway->Stop([&] {
    has_stopped = true;
    context.stop();
  });
  constexpr int kDeadlinesMs[] = {400, 1'000, 3'000, 14'000};
  std::vector<std::vector<KeptRequest>> results(12);
  std::vector<std::thread> callers;
  std::atomic<int> running = 0;
  for (std::size_t i = 0; i < results.size(); ++i) {
    ++running;
    callers.emplace_back([&, i] {
      // The first three seconds are those in which the balancer still sends connections.
      const TimePoint end = DefaultClock().now() + Milliseconds(9'000);
      for (int n = 0; DefaultClock().now() < end; ++n) {
        const std::vector<KeptRequest> requests =
            CallUntilClosed(settings.callers, "r" + std::to_string(i) + "-" + std::to_string(n),
                            kDeadlinesMs[i % 4]);
        results[i].insert(results[i].end(), requests.begin(), requests.end());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
      --running;
    });
  }
  context.restart();
  context.run_for(Milliseconds(9'000));
  gateway.reset();
  owned_context.reset();
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert(has_stopped);
  std::set<std::string> passed_on;
  for (const std::string& head : server.heads()) {
    passed_on.insert(tests::FieldOf(head, "Request-Id"));
  }
  int answered = 0;
  for (const std::vector<KeptRequest>& requests : results) {
    for (const KeptRequest& request : requests) {
      const bool is_refusal = request.answer.starts_with("HTTP/1.1 503");
      const bool was_sent = passed_on.contains(request.id);
      cr_expect(!was_sent || !request.answer.empty(), "%s was passed on and got no answer",
                request.id.c_str());
      cr_expect(!was_sent || !is_refusal, "%s was passed on and refused", request.id.c_str());
      answered += request.answer.empty() ? 0 : 1;
    }
  }
  cr_expect_gt(answered, 50);
}
