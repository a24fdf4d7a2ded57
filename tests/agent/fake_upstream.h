// In-memory UpstreamPort for the agent's tests: an engine whose faults can be switched, and a
// service that counts the runs of each call.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "agent/upstream_port.h"

namespace rattanramp::agent {

class FakeUpstream : public UpstreamPort {
 public:
  // Faults, delays in ms and sizes. A test can change them at any time.
  std::atomic<bool> down{false};
  std::atomic<bool> freeze_streams{false};
  std::atomic<bool> stall_imports{false};
  std::atomic<bool> kv_gone{false};
  std::atomic<bool> break_calls{false};
  std::atomic<int> token_ms{2};
  std::atomic<int> call_ms{1};
  std::atomic<int> total_pieces{20};
  std::atomic<std::int64_t> engine_incarnation{7};

  // Counters and values that tests check.
  std::atomic<int> cancel_all_calls{0};
  std::atomic<int> decodes{0};
  std::atomic<int> generates{0};
  std::atomic<int> resumes{0};
  std::atomic<int> orders{0};
  std::atomic<std::int64_t> fence{0};

  /// Number of requests that the engine still runs.
  std::size_t running() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_.size();
  }
  /// Number of runs of the call with this idempotency key.
  int RunCount(const std::string& key) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto runs = runs_.find(key);
    return runs == runs_.end() ? 0 : runs->second;
  }
  /// Simulates a restart of the engine process: all requests are lost.
  void Restart() {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.clear();
    engine_incarnation.fetch_add(1);
  }

  /// Complete output of a request.
  static std::string ExpectedOutput(int tokens) {
    std::string text;
    for (int i = 0; i < tokens; ++i) {
      text += " " + std::string(3, static_cast<char>('a' + i % 26));
    }
    return text;
  }

  void SetFence(std::int64_t value) override { fence.store(value); }

  PrefillResult Prefill(const PrefillRequest& request, RunControl& control) override {
    PrefillResult result;
    if (down) {
      result.run.status = RunStatus::kRefused;
      return result;
    }
    Add(request.request_id, 0);
    Sleep(10, control);
    const bool known = Remove(request.request_id);
    result.run.status = control.stopped() || !known ? RunStatus::kStopped : RunStatus::kDone;
    result.run.prefill_tokens = static_cast<std::int32_t>(request.prompt.size() / 4);
    result.kv_handle = "kv-" + request.request_id;
    result.kv_bytes = 1000;
    return result;
  }

  RunResult Decode(const GenerateRequest& request, const RunSink& sink,
                   RunControl& control) override {
    ++decodes;
    if (kv_gone) {
      return Status(RunStatus::kKvGone);
    }
    if (!down) {
      Add(request.request_id, request.max_tokens);
      while (stall_imports && !control.stopped() && IsKnown(request.request_id)) {
        Sleep(5, control);
      }
    }
    return Stream(request.request_id, 0, sink, control);
  }

  RunResult Generate(const GenerateRequest& request, const RunSink& sink,
                     RunControl& control) override {
    ++generates;
    if (!down) {
      Add(request.request_id, request.max_tokens);
    }
    return Stream(request.request_id, 0, sink, control);
  }

  RunResult Resume(const std::string& request_id, std::int64_t offset, const RunSink& sink,
                   RunControl& control) override {
    ++resumes;
    return Stream(request_id, offset, sink, control);
  }

  Result<void> Cancel(const std::string& request_id) override {
    if (down) {
      return Error{ErrorKind::kUnavailable, "down", "none"};
    }
    if (!Remove(request_id)) {
      return Error{ErrorKind::kNotFound, "not found", "none"};
    }
    return Success();
  }

  Result<void> CancelAll() override {
    if (down) {
      return Error{ErrorKind::kUnavailable, "down", "none"};
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.clear();
    ++cancel_all_calls;
    return Success();
  }

  CallReply Call(const CallRequest& request, RunControl& control) override {
    CallReply reply;
    if (down) {
      reply.status = RunStatus::kRefused;
      return reply;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++runs_[request.idempotency_key];
    }
    Sleep(call_ms, control);
    if (control.stopped() || break_calls) {
      reply.status = control.stopped() ? RunStatus::kStopped : RunStatus::kBroken;
      return reply;
    }
    reply.status = RunStatus::kDone;
    reply.http_status = 201;
    reply.content_type = "text/plain";
    reply.body = "ran " + request.body;
    return reply;
  }

  Result<void> SendOrder(const Order&) override {
    ++orders;
    return Success();
  }

  Result<UpstreamLoad> Load() override {
    if (down) {
      return Error{ErrorKind::kUnavailable, "down", "none"};
    }
    UpstreamLoad load;
    load.incarnation = engine_incarnation;
    load.total_pieces = total_pieces;
    load.free_pieces = total_pieces;
    load.max_running = 20;
    load.prefill_tokens_per_s = 100'000;
    load.decode_token_ms = 2;
    load.link_bytes_per_s = 1e9;
    load.role = "both";
    return load;
  }

  Result<CacheEvents> Events(std::int64_t after) override {
    CacheEvents events;
    events.incarnation = engine_incarnation;
    if (after == 0) {
      events.events.push_back({1, 42, true});
    }
    return events;
  }

 private:
  static RunResult Status(RunStatus status) {
    RunResult result;
    result.status = status;
    return result;
  }

  static void Sleep(int ms, const RunControl& control) {
    for (int waited = 0; waited < ms && !control.stopped(); ++waited) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void Add(const std::string& id, int tokens) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_[id] = tokens;
  }
  bool Remove(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_.erase(id) > 0;
  }
  bool IsKnown(const std::string& id) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_.contains(id);
  }

  RunResult Stream(const std::string& id, std::int64_t offset, const RunSink& sink,
                   RunControl& control) {
    if (down) {
      return Status(RunStatus::kRefused);
    }
    int tokens = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto request = requests_.find(id);
      if (request == requests_.end()) {
        return Status(RunStatus::kNotFound);
      }
      tokens = request->second;
    }
    sink.on_accepted();
    const std::string output = ExpectedOutput(tokens);
    for (std::size_t at = static_cast<std::size_t>(offset); at < output.size(); at += 4) {
      Sleep(token_ms, control);
      while (freeze_streams && !control.stopped()) {
        Sleep(1, control);
      }
      if (control.stopped()) {
        return Status(RunStatus::kStopped);
      }
      if (down || !IsKnown(id)) {
        return Status(RunStatus::kBroken);
      }
      sink.on_output(OutputChunk{static_cast<std::int64_t>(at), output.substr(at, 4), 1});
    }
    Remove(id);
    RunResult result = Status(RunStatus::kDone);
    result.output_tokens = tokens;
    result.total_bytes = static_cast<std::int64_t>(output.size());
    return result;
  }

  mutable std::mutex mutex_;
  std::map<std::string, int> requests_;
  std::map<std::string, int> runs_;
};

}  // namespace rattanramp::agent
