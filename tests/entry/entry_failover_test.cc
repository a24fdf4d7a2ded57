#include <criterion/criterion.h>

#include <mutex>

#include "tests/support/entry_agents.h"

using namespace rattanramp;
using namespace rattanramp::test_support;

namespace {

using Hook = FakeAgent::Hook;

/// Runs action for the first Submit that any agent with this hook receives. Later ones get the
/// default response.
Hook FirstSubmit(const std::function<void(FakeAgent&, const wire::Submit&)>& action) {
  const std::shared_ptr<std::atomic<bool>> used = std::make_shared<std::atomic<bool>>(false);
  return [action, used](FakeAgent& agent, const wire::Frame& frame) {
    if (!frame.__isset.submit || used->exchange(true)) {
      return false;
    }
    action(agent, frame.submit);
    return true;
  };
}

void ExpectCompleteStream(const EntryFixture& fixture, const std::string& service,
                          const std::string& prompt, int tokens) {
  const httplib::Result result = Complete(fixture, service, prompt, tokens, true);
  cr_assert(result);
  cr_assert_eq(result->status, 200, "%s", result->body.c_str());
  bool done = false;
  cr_assert_eq(StreamedText(result->body, &done),
               ExpectedOutput(prompt, static_cast<std::size_t>(tokens)), "%s",
               result->body.c_str());
  cr_assert(done);
}

}  // namespace

// Guards against lost or duplicated text when an engine crashes in the middle of a stream. The
// retry must continue after the text that the caller has already received.
Test(entry_failover, crashed_stream_continues_on_another_engine) {
  const Hook hook = FirstSubmit([](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendTokens(submit, 0, 7);
    agent.SendFailedEnd(submit.attempt_id, wire::RefusalKind::UPSTREAM_CRASHED, wire::Outcome::RAN);
  });
  const std::shared_ptr<FakeAgent> first = Engine("e1", wire::EngineRole::BOTH, hook);
  const std::shared_ptr<FakeAgent> second = Engine("e2", wire::EngineRole::BOTH, hook);
  const EntryFixture fixture({first, second});
  ExpectCompleteStream(fixture, "chat", "crash once", 20);
  std::vector<wire::Submit> submits = first->submits(wire::WorkKind::GENERATE);
  const std::vector<wire::Submit> others = second->submits(wire::WorkKind::GENERATE);
  cr_assert_eq(submits.size(), 1);
  cr_assert_eq(others.size(), 1);
  const wire::Submit& retried =
      submits.front().already_sent.empty() ? others.front() : submits.front();
  cr_assert_eq(retried.already_sent, ExpectedOutput("crash once", 7));
  cr_assert_eq(retried.max_output_tokens, 13);
  cr_assert_eq(retried.crash_count, 1);
}

// Guards against reporting a truncated stream as complete. The upstream fails in the middle of the
// output and no attempt delivers an End.
Test(entry_failover, stream_without_end_is_an_error) {
  const std::shared_ptr<FakeAgent> engine =
      Engine("e1", wire::EngineRole::BOTH, [](FakeAgent& agent, const wire::Frame& frame) {
        if (frame.__isset.submit) {
          agent.SendTokens(frame.submit, 0, 1);
          agent.SendFailedEnd(frame.submit.attempt_id, wire::RefusalKind::UPSTREAM_ERROR,
                              wire::Outcome::RAN);
        }
        return frame.__isset.submit;
      });
  const EntryFixture fixture({engine});
  const httplib::Result streamed = Complete(fixture, "chat", "no end", 9, true);
  cr_assert(streamed);
  bool done = true;
  StreamedText(streamed->body, &done);
  cr_assert(!done);
  cr_assert(streamed->body.find("event: error") != std::string::npos);
  const httplib::Result not_streamed = Complete(fixture, "chat", "no end", 9);
  cr_assert_eq(not_streamed->status, 502, "%s", not_streamed->body.c_str());
  cr_assert_eq(ErrorOf(not_streamed)["outcome"].get<std::string>(), std::string("ran"));
}

// Guards against a response that never ends when the engine crashes after the last token and before
// the End. The retry must generate the last token again to receive an End.
Test(entry_failover, lost_end_is_recovered_by_repeating_the_last_token) {
  const Hook hook = FirstSubmit([](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendTokens(submit, 0, 5);
    agent.SendFailedEnd(submit.attempt_id, wire::RefusalKind::UPSTREAM_CRASHED, wire::Outcome::RAN);
  });
  const std::shared_ptr<FakeAgent> engine = Engine("e1", wire::EngineRole::BOTH, hook);
  const EntryFixture fixture({engine});
  ExpectCompleteStream(fixture, "chat", "last", 5);
  cr_assert_eq(engine->submits(wire::WorkKind::GENERATE).back().already_sent,
               ExpectedOutput("last", 4));
}

// Guards against lost or duplicated text when a link is down for less than the lease. The output
// must be resumed at the offset without a new attempt.
Test(entry_failover, restored_link_resumes_stream_at_offset) {
  const std::shared_ptr<FakeAgent> engine =
      Engine("e1", wire::EngineRole::BOTH, [](FakeAgent& agent, const wire::Frame& frame) {
        if (frame.__isset.submit) {
          agent.SendTokens(frame.submit, 0, 4);
          agent.DropLinks();
          return true;
        }
        if (frame.__isset.resume) {
          // Resends one token before the requested offset: the entry must drop the duplicate text.
          const wire::Submit submit = agent.submits(wire::WorkKind::GENERATE).front();
          const std::size_t offset = static_cast<std::size_t>(frame.resume.offset) / 4;
          agent.SendTokens(submit, offset == 0 ? 0 : offset - 1, 10);
          agent.SendEnd(submit.attempt_id, 40);
        }
        return false;
      });
  const EntryFixture fixture({engine});
  ExpectCompleteStream(fixture, "chat", "resume", 10);
  cr_assert_eq(engine->submits(wire::WorkKind::GENERATE).size(), 1);
}

// Guards against waiting until the deadline for an attempt that the agent has dropped although the
// link is up. Happens when the entry was paused for longer than the lease.
Test(entry_failover, attempt_dropped_by_agent_is_retried) {
  const std::shared_ptr<std::atomic<bool>> dropped = std::make_shared<std::atomic<bool>>(false);
  const std::shared_ptr<FakeAgent> engine =
      Engine("e1", wire::EngineRole::BOTH, [dropped](FakeAgent& agent, const wire::Frame& frame) {
        if (frame.__isset.resume) {
          agent.SendFailedEnd(frame.resume.attempt_id, wire::RefusalKind::LEASE_EXPIRED,
                              wire::Outcome::UNKNOWN);
          return true;
        }
        if (!frame.__isset.submit || dropped->exchange(true)) {
          return false;
        }
        agent.SendTokens(frame.submit, 0, 3);
        return true;
      });
  const EntryFixture fixture({engine});
  const TimePoint start = DefaultClock().now();
  ExpectCompleteStream(fixture, "chat", "dropped", 10);
  cr_assert_lt(ToMs(DefaultClock().now() - start), 3'000);
}

// Guards against lost text when an agent sends faster than the caller reads. Events that do not fit
// into the event queue of the request are dropped and must be requested again.
Test(entry_failover, burst_above_the_queue_capacity_is_resent) {
  const std::shared_ptr<std::atomic<int>> resumes = std::make_shared<std::atomic<int>>(0);
  const std::shared_ptr<FakeAgent> engine =
      Engine("e1", wire::EngineRole::BOTH, [resumes](FakeAgent& agent, const wire::Frame& frame) {
        if (frame.__isset.resume) {
          ++*resumes;
          const wire::Submit submit = agent.submits(wire::WorkKind::GENERATE).front();
          agent.SendTokens(submit, static_cast<std::size_t>(frame.resume.offset) / 4, 4'000);
          agent.SendEnd(submit.attempt_id, 16'000);
        }
        return false;
      });
  const EntryFixture fixture({engine});
  ExpectCompleteStream(fixture, "chat", "burst", 4'000);
  cr_assert_eq(engine->submits(wire::WorkKind::GENERATE).size(), 1);
  cr_assert_gt(resumes->load(), 0);
}

// Guards against waiting for output of an agent that lost its state in a restart. The request must
// run again and continue after the text that the caller has already received.
Test(entry_failover, restarted_agent_gets_a_new_attempt) {
  const std::shared_ptr<FakeAgent> first =
      Engine("e1", wire::EngineRole::BOTH, [](FakeAgent& agent, const wire::Frame& frame) {
        if (frame.__isset.submit) {
          agent.SendTokens(frame.submit, 0, 4);
        }
        return frame.__isset.submit;
      });
  const std::string address = first->address();
  const EntryFixture fixture({first});
  std::string body;
  std::thread caller([&] { body = Complete(fixture, "chat", "restart", 10, true)->body; });
  cr_assert(EntryFixture::WaitUntil(
      [&] { return first->submits(wire::WorkKind::GENERATE).size() == 1; }));
  std::this_thread::sleep_for(Milliseconds(50));
  first->Stop();
  const std::shared_ptr<FakeAgent> second = FakeAgent::Start(
      {.id = "e1", .role = wire::EngineRole::BOTH, .model = "m1", .service = ""}, address);
  caller.join();
  bool done = false;
  cr_assert_eq(StreamedText(body, &done), ExpectedOutput("restart", 10), "%s", body.c_str());
  cr_assert(done);
}

// Guards against waiting for a stopped agent. After the lease the request must be retried on
// another agent.
Test(entry_failover, unreachable_agent_is_replaced_after_the_lease) {
  std::mutex mutex;
  std::string stopped_id;
  const Hook hook = FirstSubmit([&](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendTokens(submit, 0, 4);
    const std::lock_guard<std::mutex> lock(mutex);
    stopped_id = agent.options().id;
  });
  const std::shared_ptr<FakeAgent> first = Engine("e1", wire::EngineRole::BOTH, hook);
  const std::shared_ptr<FakeAgent> second = Engine("e2", wire::EngineRole::BOTH, hook);
  const EntryFixture fixture({first, second});
  std::string body;
  std::thread caller([&] { body = Complete(fixture, "chat", "dead", 10, true)->body; });
  cr_assert(EntryFixture::WaitUntil([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    return !stopped_id.empty();
  }));
  std::this_thread::sleep_for(Milliseconds(50));
  (stopped_id == "e1" ? first : second)->Stop();
  caller.join();
  bool done = false;
  cr_assert_eq(StreamedText(body, &done), ExpectedOutput("dead", 10), "%s", body.c_str());
  cr_assert(done);
}

// Guards against wasted prefill work. A decode engine refuses the memory reservation, so no prefill
// may start until another decode engine has granted it.
Test(entry_failover, refused_decode_reservation_starts_no_prefill) {
  const Hook hook = FirstSubmit([](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendRefused(submit.attempt_id, wire::RefusalKind::NO_ROOM, wire::Outcome::NOT_RUN);
  });
  const std::shared_ptr<FakeAgent> prefill = Engine("p1", wire::EngineRole::PREFILL);
  const std::shared_ptr<FakeAgent> first = Engine("d1", wire::EngineRole::DECODE, hook);
  const std::shared_ptr<FakeAgent> second = Engine("d2", wire::EngineRole::DECODE, hook);
  const EntryFixture fixture({prefill, first, second});
  // A short prompt would be prefilled on the decode engine.
  ExpectCompleteStream(fixture, "long", std::string(3'600, 'r'), 10);
  cr_assert_eq(prefill->submits(wire::WorkKind::PREFILL).size(), 1);
}

// Guards against a retry storm when an agent refuses every attempt. The number of attempts is
// limited by max_attempts, and a request that no engine ran is reported as not run.
Test(entry_failover, refusals_end_after_max_attempts) {
  const Hook refuse = [](FakeAgent& agent, const wire::Frame& frame) {
    if (frame.__isset.submit) {
      agent.SendRefused(frame.submit.attempt_id, wire::RefusalKind::QUEUE_FULL,
                        wire::Outcome::NOT_RUN);
    }
    return frame.__isset.submit;
  };
  const std::shared_ptr<FakeAgent> engine = Engine("e1", wire::EngineRole::BOTH, refuse);
  nlohmann::json tree = DefaultTree();
  tree["values"]["retry_min_per_second"] = 100;
  const EntryFixture fixture({engine}, tree);
  const httplib::Result result = Complete(fixture, "chat", "full", 10);
  cr_assert_eq(result->status, 503, "%s", result->body.c_str());
  cr_assert_eq(ErrorOf(result)["outcome"].get<std::string>(), std::string("not_run"));
  cr_assert_eq(ErrorOf(result)["kind"].get<std::string>(), std::string("queue_full"));
  cr_assert_eq(engine->submits(wire::WorkKind::GENERATE).size(), 3);
}

// Guards against refusing a patient request under overload. It must wait until the engine has free
// memory.
Test(entry_failover, patient_request_waits_for_memory) {
  const std::shared_ptr<std::atomic<int>> refusals = std::make_shared<std::atomic<int>>(0);
  const Hook refuse = [refusals](FakeAgent& agent, const wire::Frame& frame) {
    if (!frame.__isset.submit || refusals->fetch_add(1) >= 5) {
      return false;
    }
    agent.SendRefused(frame.submit.attempt_id, wire::RefusalKind::NO_ROOM, wire::Outcome::NOT_RUN);
    return true;
  };
  const std::shared_ptr<FakeAgent> engine = Engine("e1", wire::EngineRole::BOTH, refuse);
  nlohmann::json tree = DefaultTree();
  tree["services"]["chat"]["values"]["patient"] = true;
  const EntryFixture fixture({engine}, tree);
  ExpectCompleteStream(fixture, "chat", "patience", 10);
}

// Guards against a request that crashes one engine after another. It must fail at the crash limit,
// and when the caller repeats it, it must be refused without an attempt.
Test(entry_failover, crashing_request_is_refused_when_repeated) {
  const Hook crash = [](FakeAgent& agent, const wire::Frame& frame) {
    if (!frame.__isset.submit) {
      return false;
    }
    wire::CrashCount crash_count;
    crash_count.fingerprint = frame.submit.fingerprint;
    crash_count.upstream = agent.options().id;
    crash_count.upstream_incarnation = 1;
    wire::End end;
    end.attempt_id = frame.submit.attempt_id;
    end.outcome = wire::Outcome::RAN;
    end.__set_error(wire::RefusalKind::UPSTREAM_CRASHED);
    end.crashes.push_back(crash_count);
    end.__isset.crashes = true;
    wire::Frame answer;
    answer.__set_attempt_end(end);
    agent.Send(answer);
    return true;
  };
  const std::shared_ptr<FakeAgent> first = Engine("e1", wire::EngineRole::BOTH, crash);
  const std::shared_ptr<FakeAgent> second = Engine("e2", wire::EngineRole::BOTH, crash);
  const std::shared_ptr<FakeAgent> third = Engine("e3", wire::EngineRole::BOTH, crash);
  const EntryFixture fixture({first, second, third});
  const httplib::Result crashed = Complete(fixture, "chat", "poison", 10);
  cr_assert_eq(crashed->status, 502, "%s", crashed->body.c_str());
  cr_assert_eq(ErrorOf(crashed)["outcome"].get<std::string>(), std::string("ran"));
  const httplib::Result again = Complete(fixture, "chat", "poison", 10);
  cr_assert_eq(again->status, 422, "%s", again->body.c_str());
  cr_assert_eq(ErrorOf(again)["outcome"].get<std::string>(), std::string("not_run"));
  const std::size_t attempts = first->submits(wire::WorkKind::GENERATE).size() +
                               second->submits(wire::WorkKind::GENERATE).size() +
                               third->submits(wire::WorkKind::GENERATE).size();
  cr_assert_eq(attempts, 2);
}

// Guards against engine work for a caller that has disconnected. The caller closes the connection
// during prefill; both attempts must be cancelled within 1 s.
Test(entry_failover, caller_disconnect_cancels_attempts) {
  const std::shared_ptr<FakeAgent> prefill =
      Engine("p1", wire::EngineRole::PREFILL,
             [](FakeAgent&, const wire::Frame& frame) { return frame.__isset.submit; });
  const std::shared_ptr<FakeAgent> decode = Engine("d1", wire::EngineRole::DECODE);
  const EntryFixture fixture({prefill, decode});
  for (const bool stream : {false, true}) {
    const std::size_t before = prefill->submits(wire::WorkKind::PREFILL).size();
    std::thread caller([&] {
      httplib::Client client("127.0.0.1", fixture.entry->caller_port());
      client.set_read_timeout(0, 300'000);
      const nlohmann::json body = {{"prompt", std::string(3'600, 'g')}, {"stream", stream}};
      client.Post("/v1/completions", {{"X-Service", "long"}}, body.dump(), "application/json");
    });
    cr_assert(EntryFixture::WaitUntil(
        [&] { return prefill->submits(wire::WorkKind::PREFILL).size() > before; }));
    caller.join();
    const TimePoint disconnected_at = DefaultClock().now();
    cr_assert(EntryFixture::WaitUntil([&] {
      return prefill->cancelled().size() > before && decode->cancelled().size() > before;
    }));
    cr_assert_lt(ToMs(DefaultClock().now() - disconnected_at), 1'000);
  }
}

// Guards against an idle connection while a stream waits for its first output, which proxies may
// close. The entry must send keep-alive comment lines.
Test(entry_failover, waiting_stream_gets_keep_alive_comments) {
  const std::shared_ptr<FakeAgent> engine =
      Engine("e1", wire::EngineRole::BOTH, [](FakeAgent& agent, const wire::Frame& frame) {
        if (!frame.__isset.submit) {
          return false;
        }
        const wire::Submit submit = frame.submit;
        std::thread([&agent, submit, self = agent.shared_from_this()] {
          std::this_thread::sleep_for(Milliseconds(2'600));
          agent.SendAllTokens(submit);
        }).detach();
        return true;
      });
  const EntryFixture fixture({engine});
  const httplib::Result result = Complete(fixture, "chat", "late", 5, true);
  bool done = false;
  cr_assert_eq(StreamedText(result->body, &done), ExpectedOutput("late", 5));
  cr_assert(result->body.starts_with(": keep-alive\n"));
}
