#include "standins/engine.h"

#include <criterion/criterion.h>

#include <functional>
#include <thread>

#include "base/clock.h"
#include "standins/engine_server.h"
#include "standins/expected_output.h"
#include "tests/standins/engine_client.h"

using nlohmann::json;
using rattanramp::DefaultClock;
using rattanramp::Milliseconds;
using rattanramp::TimePoint;
using rattanramp::standins::EngineClient;
using rattanramp::standins::EngineOptions;
using rattanramp::standins::EngineServer;
using rattanramp::standins::EngineSnapshot;
using rattanramp::standins::ExpectedOutput;
using rattanramp::standins::kBlockBytes;
using rattanramp::standins::kPieceTokens;
using rattanramp::standins::StreamResult;

namespace {

/// Engine whose prefills take almost no time and that decodes one token per millisecond.
EngineOptions FastOptions() {
  EngineOptions options;
  options.prefill_tokens_per_s = 1e9;
  options.decode_token_ms = 1;
  options.load_lag_ms = 0;
  options.event_delay_ms = 0;
  options.event_gap_percent = 0;
  return options;
}

/// Engine that decodes one token in ten minutes, so that requests do not finish during a test.
EngineOptions SlowDecodeOptions() {
  EngineOptions options = FastOptions();
  options.decode_token_ms = 600'000;
  return options;
}

std::unique_ptr<EngineServer> Start(const EngineOptions& options) {
  rattanramp::Result<std::unique_ptr<EngineServer>> server =
      EngineServer::Create("127.0.0.1:0", options);
  cr_assert(server.has_value());
  return std::move(server.value());
}

bool Eventually(const std::function<bool()>& condition) {
  const TimePoint deadline = DefaultClock().now() + std::chrono::seconds(10);
  while (!condition()) {
    if (DefaultClock().now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return true;
}

json Call(const std::string& id, const std::string& prompt, int max_tokens) {
  return {{"request_id", id}, {"prompt", prompt}, {"max_tokens", max_tokens}};
}

std::string Prompt(int blocks, char letter) {
  return std::string(static_cast<std::size_t>(blocks) * kBlockBytes, letter) + "tail";
}

/// Returns the body of a decode call that imports the KV of a prefill response.
json ImportCall(json call, const json& prefill, const std::string& source_url) {
  call["kv_handle"] = prefill.at("kv_handle");
  call["source_url"] = source_url;
  return call;
}

}  // namespace

// Guards against output that differs from ExpectedOutput, with which load tools and tests compare
// it.
Test(engine, streamed_output_equals_expected_output) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  EngineClient client(server->port());
  const StreamResult stream = client.PostStream("/v1/generate", Call("a", "a prompt", 25));
  cr_assert_eq(stream.text, ExpectedOutput("a prompt", 0, 25));
  cr_assert(stream.offsets_in_order);
  cr_assert_eq(stream.done.at("output_tokens"), 25);
  cr_assert_eq(stream.done.at("total_bytes"), 100);
  cr_assert_eq(stream.done.at("prefill_tokens"), 2);
}

// Guards against a generation that restarts from its first token when it is continued on another
// engine. Also checks that a wrong continuation is counted.
Test(engine, continuation_follows_already_generated_text) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  EngineClient client(server->port());
  json call = Call("a", "a prompt", 5);
  call["already_generated"] = ExpectedOutput("a prompt", 0, 7);
  cr_assert_eq(client.PostStream("/v1/generate", call).text, ExpectedOutput("a prompt", 7, 5));
  cr_assert_eq(server->engine().Snapshot().wrong_continuations, 0);
  call["already_generated"] = "not what it said";
  cr_assert_eq(client.PostStream("/v1/generate", call).status, 200);
  cr_assert_eq(server->engine().Snapshot().wrong_continuations, 1);
}

// Guards against a request that is aborted when its connection is closed, and against a resumed
// stream that repeats or skips text.
Test(engine, resumes_an_interrupted_stream_from_an_offset) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  EngineClient client(server->port());
  client.StartAndDisconnect("/v1/generate", Call("a", "a prompt", 60));
  const StreamResult stream = client.Resume("a", 10);
  cr_assert_eq(stream.text, ExpectedOutput("a prompt", 0, 60).substr(10));
  cr_assert(stream.offsets_in_order);
  cr_assert_eq(stream.done.at("total_bytes"), 240);
  cr_assert_eq(client.Resume("a", 240).text, "");
  cr_assert_eq(client.Resume("unknown", 0).status, 404);
}

// Guards against a memory leak: a finished request must be removed after finished_keep_ms.
Test(engine, finished_request_is_removed) {
  EngineOptions options = FastOptions();
  options.finished_keep_ms = 20;
  const std::unique_ptr<EngineServer> server = Start(options);
  EngineClient client(server->port());
  client.PostStream("/v1/generate", Call("a", "a prompt", 1));
  cr_assert(Eventually([&] { return client.Resume("a", 0).status == 404; }));
}

// A prefill runs on one engine and its decode on another. Guards against a second prefill on the
// decode engine and against KV that stays allocated on the source engine.
Test(engine, decode_after_kv_import) {
  EngineOptions options = FastOptions();
  options.kv_lifetime_ms = 60'000;
  const std::unique_ptr<EngineServer> source = Start(options);
  const std::unique_ptr<EngineServer> target = Start(options);
  EngineClient source_client(source->port());
  EngineClient target_client(target->port());
  const std::string prompt = Prompt(2, 'p');
  const json prefill = source_client.Post("/v1/prefill", Call("a", prompt, 0));
  cr_assert_eq(prefill.at("prompt_tokens"), 4'097);
  cr_assert_eq(source->engine().Snapshot().held_pieces, 3);
  const StreamResult stream = target_client.PostStream(
      "/v1/decode", ImportCall(Call("a", prompt, 8), prefill, source_client.url()));
  cr_assert_eq(stream.text, ExpectedOutput(prompt, 0, 8));
  cr_assert_eq(stream.done.at("prefill_tokens"), 0);
  for (EngineServer* server : {source.get(), target.get()}) {
    const EngineSnapshot snapshot = server->engine().Snapshot();
    cr_assert_eq(snapshot.held_pieces, 0);
    cr_assert_eq(snapshot.prefill_tokens_wasted, 0);
  }
  cr_assert_eq(target->engine().Snapshot().prefill_tokens_spent, 0);
}

// Guards against an engine with the role "both" that loses KV from its own prefill or that imports
// it over HTTP from itself.
Test(engine, decode_of_local_kv) {
  EngineOptions options = FastOptions();
  options.kv_lifetime_ms = 60'000;
  const std::unique_ptr<EngineServer> server = Start(options);
  EngineClient client(server->port());
  const json prefill = client.Post("/v1/prefill", Call("a", Prompt(1, 'p'), 0));
  const StreamResult stream = client.PostStream(
      "/v1/decode", ImportCall(Call("a", Prompt(1, 'p'), 4), prefill, client.url()));
  cr_assert_eq(stream.text, ExpectedOutput(Prompt(1, 'p'), 0, 4));
  cr_assert_eq(server->engine().Snapshot().held_pieces, 0);
}

// Guards against KV that is not freed after kv_lifetime_ms, and against expired prefill tokens that
// are not counted as wasted.
Test(engine, kv_expires_after_its_lifetime) {
  EngineOptions options = FastOptions();
  options.kv_lifetime_ms = 20;
  const std::unique_ptr<EngineServer> source = Start(options);
  const std::unique_ptr<EngineServer> target = Start(options);
  EngineClient source_client(source->port());
  EngineClient target_client(target->port());
  const json prefill = source_client.Post("/v1/prefill", Call("a", Prompt(1, 'p'), 0));
  cr_assert(Eventually([&] { return source->engine().Snapshot().held_pieces == 0; }));
  const StreamResult stream = target_client.PostStream(
      "/v1/decode", ImportCall(Call("a", Prompt(1, 'p'), 4), prefill, source_client.url()));
  cr_assert_eq(stream.status, 409);
  cr_assert_eq(stream.error, "kv_gone");
  cr_assert_eq(source->engine().Snapshot().prefill_tokens_wasted, 2'049);
  cr_assert_eq(target->engine().Snapshot().held_pieces, 0);
}

// Guards against memory that is not freed after a cancellation. The cancelled requests are
// decoding, queued and importing KV.
Test(engine, held_pieces_return_to_zero_after_cancel) {
  EngineOptions options = SlowDecodeOptions();
  options.max_running = 1;
  options.kv_lifetime_ms = 60'000;
  const std::unique_ptr<EngineServer> server = Start(options);
  const std::unique_ptr<EngineServer> source = Start(options);
  EngineClient client(server->port());
  EngineClient source_client(source->port());
  const json prefill = source_client.Post("/v1/prefill", Call("imported", Prompt(1, 'i'), 0));
  source_client.Post("/v1/faults", {{"stall_transfers", true}});
  std::vector<std::thread> callers;
  std::vector<StreamResult> results(3);
  const std::vector<json> calls = {
      Call("decoding", Prompt(2, 'd'), 9), Call("queued", Prompt(2, 'q'), 9),
      ImportCall(Call("imported", Prompt(1, 'i'), 9), prefill, source_client.url())};
  for (std::size_t i = 0; i < calls.size(); ++i) {
    callers.emplace_back([&, i] {
      EngineClient thread_client(server->port());
      results[i] = thread_client.PostStream("/v1/decode", calls[i]);
    });
    const int known_requests = static_cast<int>(i) + 1;
    cr_assert(Eventually([&] {
      const EngineSnapshot snapshot = server->engine().Snapshot();
      return snapshot.running + snapshot.queued == known_requests;
    }));
  }
  cr_assert_eq(server->engine().Snapshot().held_pieces, 5);
  cr_assert_eq(client.Get("/v1/truth").at("running"), json({"decoding", "imported"}));
  cr_assert_eq(client.Delete("/v1/requests/imported").at("status"), 200);
  cr_assert_eq(client.Delete("/v1/requests").at("cancelled"), 2);
  const EngineSnapshot snapshot = server->engine().Snapshot();
  cr_assert_eq(snapshot.held_pieces, 0);
  cr_assert_eq(snapshot.running + snapshot.queued, 0);
  cr_assert(client.Get("/v1/truth").at("running").empty());
  cr_assert_eq(snapshot.prefill_tokens_wasted, 4'097);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const StreamResult& result : results) {
    cr_assert_eq(result.error, "cancelled");
  }
  // The aborted transfer does not free the KV on the source engine; it must be cancelled there too.
  cr_assert_eq(source_client.Delete("/v1/requests/imported").at("status"), 200);
  cr_assert_eq(source->engine().Snapshot().held_pieces, 0);
  cr_assert_eq(client.Delete("/v1/requests/unknown").at("status"), 404);
}

// Guards against prefill tokens of a cancelled request that are not counted as spent and wasted.
Test(engine, cancelled_prefill_is_counted_as_wasted) {
  EngineOptions options = FastOptions();
  options.prefill_tokens_per_s = 100;
  const std::unique_ptr<EngineServer> server = Start(options);
  EngineClient client(server->port());
  json answer;
  std::thread caller([&] {
    EngineClient thread_client(server->port());
    answer = thread_client.Post("/v1/prefill", Call("a", Prompt(1, 'p'), 0));
  });
  cr_assert(Eventually([&] { return server->engine().Snapshot().prefill_tokens_spent > 2; }));
  client.Delete("/v1/requests/a");
  caller.join();
  cr_assert_eq(answer.at("status"), 409);
  cr_assert_eq(answer.at("error"), "cancelled");
  const EngineSnapshot snapshot = server->engine().Snapshot();
  cr_assert_eq(snapshot.prefill_tokens_wasted, snapshot.prefill_tokens_spent);
  cr_assert_lt(snapshot.prefill_tokens_spent, 2'049);
}

// Guards against cached blocks that are prefilled again, and against stored blocks for which no
// cache event is published.
Test(engine, cached_prefix_costs_no_prefill) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  EngineClient client(server->port());
  client.PostStream("/v1/generate", Call("a", Prompt(2, 'p'), 1));
  const json second = client.Post("/v1/prefill", Call("b", Prompt(2, 'p') + " more", 0));
  cr_assert_eq(second.at("cached_tokens"), 2 * kPieceTokens);
  cr_assert_eq(server->engine().Snapshot().prefill_tokens_spent, 4'097 + 3);
  const json events = client.Get("/v1/events?after=1").at("events");
  cr_assert_eq(events.size(), 1);
  cr_assert_eq(events[0].at("block_hash"), rattanramp::standins::BlockHashes(Prompt(2, 'p')).at(1));
  cr_assert(events[0].at("stored").get<bool>());
}

// Guards against cached blocks that are not evicted when a request needs their memory.
Test(engine, cached_blocks_are_evicted_for_requests) {
  EngineOptions options = FastOptions();
  options.total_pieces = 4;
  options.prefix_cache_pieces = 4;
  const std::unique_ptr<EngineServer> server = Start(options);
  EngineClient client(server->port());
  client.PostStream("/v1/generate", Call("a", Prompt(3, 'a'), 1));
  cr_assert_eq(server->engine().Snapshot().cached_pieces, 3);
  cr_assert_eq(client.Get("/v1/load").at("free_pieces"), 4);
  cr_assert_eq(client.PostStream("/v1/generate", Call("b", Prompt(3, 'b'), 1)).status, 200);
  cr_assert_eq(server->engine().Snapshot().cached_pieces, 3);
}

// Guards against allocations beyond the engine memory. Rejects a request that exceeds the total
// memory, a queued request and an import.
Test(engine, rejects_requests_that_exceed_memory) {
  EngineOptions options = SlowDecodeOptions();
  options.total_pieces = 3;
  options.memory_wait_ms = 1;
  const std::unique_ptr<EngineServer> server = Start(options);
  EngineClient client(server->port());
  cr_assert_eq(client.PostStream("/v1/generate", Call("huge", Prompt(3, 'a'), 1)).status, 503);
  std::thread holder([&] {
    EngineClient thread_client(server->port());
    thread_client.PostStream("/v1/generate", Call("holder", Prompt(1, 'a'), 1));
  });
  cr_assert(Eventually([&] { return server->engine().Snapshot().held_pieces == 2; }));
  const StreamResult queued = client.PostStream("/v1/generate", Call("b", Prompt(1, 'b'), 1));
  cr_assert_eq(queued.error, "memory_full");
  json import = Call("c", Prompt(1, 'c'), 1);
  import["kv_handle"] = "kv-elsewhere";
  import["source_url"] = "http://127.0.0.1:1";
  cr_assert_eq(client.PostStream("/v1/decode", import).error, "memory_full");
  client.Delete("/v1/requests");
  holder.join();
}

// Guards against an engine that accepts calls from an agent that has been replaced. Such calls have
// a stale fencing token.
Test(engine, rejects_a_stale_fencing_token_when_checking_is_enabled) {
  EngineOptions options = FastOptions();
  for (const bool checks : {true, false}) {
    options.checks_fencing = checks;
    const std::unique_ptr<EngineServer> server = Start(options);
    EngineClient client(server->port());
    const json order = {{"fence", 7}, {"kind", "load_model"}, {"name", "m2"}};
    cr_assert_eq(client.Post("/v1/orders", order).at("status"), 200);
    json call = Call("a", "a prompt", 1);
    call["fence"] = 6;
    const StreamResult stream = client.PostStream("/v1/generate", call);
    cr_assert_eq(stream.status, checks ? 409 : 200);
    cr_assert_eq(stream.error, checks ? "stale_fence" : "");
    cr_assert_eq(client.Delete("/v1/requests?fence=6").at("status"), checks ? 409 : 200);
    cr_assert_eq(client.Get("/v1/load").at("models"), json({"m1", "m2"}));
  }
}

// Guards against a role change that does not take effect. Does not cover requests that run during
// the change, which must not be aborted.
Test(engine, role_decides_which_work_is_accepted) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  EngineClient client(server->port());
  client.Post("/v1/orders", {{"kind", "set_role"}, {"role", "prefill"}});
  cr_assert_eq(client.PostStream("/v1/generate", Call("a", "p", 1)).error, "wrong_role");
  client.Post("/v1/orders", {{"kind", "set_role"}, {"role", "decode"}});
  cr_assert_eq(client.Post("/v1/prefill", Call("b", "p", 0)).at("error"), "wrong_role");
  cr_assert_eq(client.Get("/v1/load").at("role"), "decode");
}

// Guards against an urgent prefill that has to wait for an earlier prefill of lower priority (a
// greater number).
Test(engine, smaller_priority_is_processed_first) {
  EngineOptions options = FastOptions();
  options.prefill_tokens_per_s = 20'000;
  const std::unique_ptr<EngineServer> server = Start(options);
  std::thread patient([&] {
    EngineClient thread_client(server->port());
    json call = Call("patient", Prompt(20, 'p'), 0);
    call["priority"] = 5;
    thread_client.Post("/v1/prefill", call);
  });
  cr_assert(Eventually([&] { return server->engine().Snapshot().running == 1; }));
  EngineClient client(server->port());
  cr_assert_eq(client.Post("/v1/prefill", Call("urgent", "p", 0)).at("status"), 200);
  cr_assert_eq(server->engine().Snapshot().running, 1);
  client.Delete("/v1/requests");
  patient.join();
}

// Guards against a reported load that is more recent than load_lag_ms, which a real engine would
// not provide.
Test(engine, reported_load_is_delayed) {
  EngineOptions options = SlowDecodeOptions();
  options.load_lag_ms = 600'000;
  const std::unique_ptr<EngineServer> server = Start(options);
  std::thread holder([&] {
    EngineClient thread_client(server->port());
    thread_client.PostStream("/v1/generate", Call("holder", Prompt(1, 'a'), 1));
  });
  cr_assert(Eventually([&] { return server->engine().Snapshot().held_pieces == 2; }));
  EngineClient client(server->port());
  cr_assert_eq(client.Get("/v1/load").at("free_pieces"), 40);
  client.Delete("/v1/requests");
  holder.join();
}

// Guards against reported rates without the time scale, with which callers would estimate wrong
// durations.
Test(engine, reported_rates_follow_the_time_scale) {
  EngineOptions options = FastOptions();
  options.time_scale = 10;
  options.prefill_tokens_per_s = 20'000;
  options.decode_token_ms = 10;
  const std::unique_ptr<EngineServer> server = Start(options);
  EngineClient client(server->port());
  const json load = client.Get("/v1/load");
  cr_assert_eq(load.at("prefill_tokens_per_s"), 200'000.0);
  cr_assert_eq(load.at("decode_token_ms"), 1.0);
}

// Guards against a silent_connections fault that also affects new connections or that closes the
// existing ones.
Test(engine, silenced_connection_gets_no_response_while_new_ones_work) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  httplib::Client old_client("127.0.0.1", server->port());
  old_client.set_keep_alive(true);
  cr_assert_eq(old_client.Get("/v1/load")->status, 200);
  EngineClient client(server->port());
  client.Post("/v1/faults", {{"silent_connections", true}});
  old_client.set_read_timeout(0, 300'000);
  cr_assert(old_client.Get("/v1/load").error() == httplib::Error::Read);
  EngineClient new_client(server->port());
  cr_assert_eq(new_client.Get("/v1/load").at("status"), 200);
}

// Guards against a freeze_streams fault that loses output or that stops the request itself.
Test(engine, frozen_stream_continues_after_the_fault) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  EngineClient client(server->port());
  client.Post("/v1/faults", {{"freeze_streams", true}});
  StreamResult stream;
  std::thread caller([&] {
    EngineClient thread_client(server->port());
    stream = thread_client.PostStream("/v1/generate", Call("a", "a prompt", 10));
  });
  cr_assert(Eventually([&] { return server->engine().Snapshot().output_tokens == 10; }));
  client.Post("/v1/faults", {{"freeze_streams", false}});
  caller.join();
  cr_assert_eq(stream.text, ExpectedOutput("a prompt", 0, 10));
}

// Guards against a crash_on fault that runs the request first or that exits with a code other
// than 70.
Test(engine, crashes_on_the_given_text, .exit_code = 70) {
  const std::unique_ptr<EngineServer> server = Start(FastOptions());
  EngineClient client(server->port());
  cr_assert_eq(client.PostStream("/v1/generate", Call("a", "harmless", 1)).status, 200);
  client.Post("/v1/faults", {{"crash_on", "poison"}});
  client.PostStream("/v1/generate", Call("b", "some poison here", 1));
}

// Guards against cache events that become visible before their delay has elapsed, and against lost
// events that leave no gap in the sequence numbers.
Test(cache_event_log, events_are_delayed_and_have_gaps) {
  constexpr Milliseconds kDelay{50};
  rattanramp::standins::CacheEventLog log(kDelay, 50, 1);
  const TimePoint start = DefaultClock().now();
  for (int i = 0; i < 100; ++i) {
    log.Add(i, true, start);
  }
  cr_assert(log.After(0, start + kDelay - Milliseconds(1)).empty());
  const std::vector<rattanramp::standins::CacheEvent> events = log.After(10, start + kDelay);
  cr_assert_gt(events.size(), 20);
  cr_assert_lt(events.size(), 70);
  for (const rattanramp::standins::CacheEvent& event : events) {
    cr_assert_gt(event.sequence, 10);
    cr_assert_eq(event.block_hash, event.sequence - 1);
  }
}
