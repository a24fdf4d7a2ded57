// Agent in the test process: answers frames like an agent whose upstream never fails. Hooks replace
// its answers to simulate failures.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/ids.h"
#include "link/event_loop.h"
#include "link/link_listener.h"

namespace rattanramp::test_support {

/// Output token i of a prompt: a space and three letters derived from a hash of prompt and i.
inline std::string OutputToken(const std::string& prompt, std::size_t i) {
  std::uint64_t hash = Hash64(prompt, i);
  std::string token = " ";
  for (int letter = 0; letter < 3; ++letter) {
    token += static_cast<char>('a' + hash % 26);
    hash /= 26;
  }
  return token;
}

inline std::string ExpectedOutput(const std::string& prompt, std::size_t tokens) {
  std::string text;
  for (std::size_t i = 0; i < tokens; ++i) {
    text += OutputToken(prompt, i);
  }
  return text;
}

class FakeAgent : public link::LinkHandler, public std::enable_shared_from_this<FakeAgent> {
 public:
  struct Options {
    std::string id;
    wire::EngineRole::type role = wire::EngineRole::BOTH;
    /// Model of an engine or name of a plain service.
    std::string model;
    std::string service;
    std::int64_t incarnation = NewIncarnation();
  };
  using Hook = std::function<bool(FakeAgent&, const wire::Frame&)>;

  static std::shared_ptr<FakeAgent> Start(Options options, const std::string& address) {
    std::shared_ptr<FakeAgent> agent(new FakeAgent(std::move(options)));
    link::LinkOptions link_options;
    link_options.heartbeat = Milliseconds(100);
    agent->listener_ =
        link::LinkListener::Create(*agent->loop_, address, link_options, agent).value();
    agent->listener_->Start();
    agent->loop_->Start();
    // Link events hold a shared reference to the agent while they run. With a plain shared_ptr the
    // loop's thread could release the last reference and would then join itself, so the returned
    // handle stops the agent on the thread of the test.
    return {agent.get(), [agent](FakeAgent*) { agent->Stop(); }};
  }
  ~FakeAgent() override { Stop(); }

  /// Closes all sockets and frees the port, as the end of a killed process does.
  void Stop() {
    if (!loop_) {
      return;
    }
    loop_->Stop();
    listener_.reset();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_.clear();
    }
    loop_.reset();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(listener_->port()); }
  const Options& options() const { return options_; }

  /// Must be called before the entry connects. A hook that returns true suppresses the default
  /// answer.
  void SetHook(Hook hook) { hook_ = std::move(hook); }

  void Send(const wire::Frame& frame) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::shared_ptr<link::Link>& link : links_) {
      static_cast<void>(link->Send(frame));
    }
  }
  void DropLinks() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::shared_ptr<link::Link>& link : links_) {
      link->Close("test");
    }
  }

  std::vector<wire::Submit> submits(wire::WorkKind::type kind) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<wire::Submit> matching;
    for (const wire::Submit& submit : submits_) {
      if (submit.kind == kind) {
        matching.push_back(submit);
      }
    }
    return matching;
  }
  std::vector<std::string> cancelled() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return cancelled_;
  }
  std::int64_t settings_version() const { return settings_version_.load(); }

  void SendReport(wire::UpstreamState::type state) {
    wire::Frame frame;
    frame.__set_load_report(Report(state));
    Send(frame);
  }
  void SendGranted(const std::string& attempt_id) {
    wire::Frame frame;
    wire::Granted granted;
    granted.attempt_id = attempt_id;
    frame.__set_granted(granted);
    Send(frame);
  }
  void SendRefused(const std::string& attempt_id, wire::RefusalKind::type kind,
                   wire::Outcome::type outcome, const std::string& owner = "") {
    wire::Refused refused;
    refused.attempt_id = attempt_id;
    refused.kind = kind;
    refused.outcome = outcome;
    refused.retry_after_ms = 10;
    refused.owner_agent = owner;
    wire::Frame frame;
    frame.__set_refused(refused);
    Send(frame);
  }
  void SendChunk(const std::string& attempt_id, std::size_t offset, const std::string& data,
                 std::int32_t tokens) {
    wire::Chunk chunk;
    chunk.attempt_id = attempt_id;
    chunk.offset = static_cast<std::int64_t>(offset);
    chunk.data = data;
    chunk.tokens = tokens;
    wire::Frame frame;
    frame.__set_chunk(chunk);
    Send(frame);
  }
  void SendEnd(const std::string& attempt_id, std::size_t total_bytes, int status = 0) {
    wire::End end;
    end.attempt_id = attempt_id;
    end.outcome = wire::Outcome::RAN;
    end.complete = true;
    end.status = status;
    end.total_bytes = static_cast<std::int64_t>(total_bytes);
    end.content_type = "text/plain";
    wire::Frame frame;
    frame.__set_attempt_end(end);
    Send(frame);
  }
  void SendFailedEnd(const std::string& attempt_id, wire::RefusalKind::type error,
                     wire::Outcome::type outcome) {
    wire::End end;
    end.attempt_id = attempt_id;
    end.outcome = outcome;
    end.__set_error(error);
    wire::Frame frame;
    frame.__set_attempt_end(end);
    Send(frame);
  }
  /// Sends the output tokens `from` up to, not including, `to`; both count from the start of the
  /// attempt.
  void SendTokens(const wire::Submit& submit, std::size_t from, std::size_t to) {
    const std::size_t base = submit.already_sent.size() / 4;
    for (std::size_t i = from; i < to; ++i) {
      SendChunk(submit.attempt_id, i * 4, OutputToken(submit.body, base + i), 1);
    }
  }
  void SendAllTokens(const wire::Submit& submit) {
    const std::size_t count = static_cast<std::size_t>(submit.max_output_tokens);
    SendTokens(submit, 0, count);
    SendEnd(submit.attempt_id, count * 4);
  }

  wire::Hello LocalHello() override {
    wire::Hello hello;
    hello.protocol_version = wire::kProtocolVersion;
    hello.process_id = options_.id;
    hello.role = wire::ProcessRole::AGENT;
    hello.incarnation = options_.incarnation;
    hello.failure_domain = "fd-a";
    return hello;
  }
  std::int64_t SettingsVersion() override { return settings_version_.load(); }
  void OnUp(const std::shared_ptr<link::Link>& link) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_.push_back(link);
    }
    SendReport(wire::UpstreamState::READY);
  }
  void OnDown(const std::shared_ptr<link::Link>& link, const Error&) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::erase(links_, link);
  }
  void OnFrame(const std::shared_ptr<link::Link>&, wire::Frame frame) override {
    Record(frame);
    if (hook_ && hook_(*this, frame)) {
      return;
    }
    Answer(frame);
  }

 private:
  explicit FakeAgent(Options options) : options_(std::move(options)) {}

  wire::LoadReport Report(wire::UpstreamState::type state) {
    wire::LoadReport report;
    report.sequence = ++report_sequence_;
    report.state = state;
    report.role = options_.role;
    report.model = options_.model;
    report.service_name = options_.service;
    report.total_pieces = 200;
    report.free_pieces = 200;
    report.max_running = 20;
    report.prefill_tokens_per_s = 10'000;
    report.decode_token_ms = 20;
    report.link_bytes_per_s = 1e9;
    report.kv_bytes_per_token = 1'000;
    return report;
  }

  void Record(const wire::Frame& frame) {
    if (frame.__isset.settings_push) {
      settings_version_.store(frame.settings_push.version);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (frame.__isset.submit) {
      submits_.push_back(frame.submit);
    } else if (frame.__isset.cancel) {
      cancelled_.push_back(frame.cancel.attempt_id);
    }
  }

  void Answer(const wire::Frame& frame) {
    if (frame.__isset.submit) {
      AnswerSubmit(frame.submit);
    } else if (frame.__isset.start_decode) {
      const auto waiting = waiting_decodes_.find(frame.start_decode.attempt_id);
      if (waiting != waiting_decodes_.end()) {
        SendAllTokens(waiting->second);
        waiting_decodes_.erase(waiting);
      }
    } else if (frame.__isset.issue_key) {
      wire::KeyIssued issued;
      issued.request_id = frame.issue_key.request_id;
      issued.key = "rr1." + options_.id + "." + std::to_string(options_.incarnation) + ".1.n";
      wire::Frame answer;
      answer.__set_key_issued(issued);
      Send(answer);
    }
  }

  void AnswerSubmit(const wire::Submit& submit) {
    SendGranted(submit.attempt_id);
    if (submit.kind == wire::WorkKind::DECODE) {
      waiting_decodes_[submit.attempt_id] = submit;
    } else if (submit.kind == wire::WorkKind::GENERATE) {
      SendAllTokens(submit);
    } else if (submit.kind == wire::WorkKind::PREFILL) {
      wire::PrefillDone done;
      done.attempt_id = submit.attempt_id;
      done.kv_handle = "kv";
      done.prefill_tokens = submit.prompt_tokens;
      wire::Frame answer;
      answer.__set_prefill_done(done);
      Send(answer);
    } else {
      const std::string body = options_.id + " " + submit.method + " " + submit.path;
      SendChunk(submit.attempt_id, 0, body, 0);
      SendEnd(submit.attempt_id, body.size(), 200);
    }
  }

  Options options_;
  std::unique_ptr<link::EventLoop> loop_ = std::make_unique<link::EventLoop>();
  std::shared_ptr<link::LinkListener> listener_;
  Hook hook_;
  std::int64_t report_sequence_ = 0;
  std::atomic<std::int64_t> settings_version_{0};
  /// Granted decodes that wait for start_decode, by attempt id. Only used on the loop's thread.
  std::map<std::string, wire::Submit> waiting_decodes_;
  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<link::Link>> links_;
  std::vector<wire::Submit> submits_;
  std::vector<std::string> cancelled_;
};

}  // namespace rattanramp::test_support
