// Entry's side of a link for the agent's tests: sends frames and records the replies.
#pragma once

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "link/event_loop.h"
#include "link/link_dialer.h"

namespace rattanramp::agent {

inline bool WaitUntil(const std::function<bool()>& condition, int limit_ms = 5000) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return condition();
}

class TestEntry : public link::LinkHandler, public std::enable_shared_from_this<TestEntry> {
 public:
  /// Replies that the agent has sent for one attempt.
  struct AttemptReplies {
    bool granted = false;
    std::optional<wire::Refused> refused;
    std::optional<wire::PrefillDone> prefill_done;
    std::optional<wire::End> end;
    std::string output;
    bool gap = false;
  };

  static std::shared_ptr<TestEntry> Dial(int port, std::int64_t settings_version = 0,
                                         Milliseconds heartbeat = Milliseconds(50)) {
    std::shared_ptr<TestEntry> entry = std::make_shared<TestEntry>();
    entry->settings_version_ = settings_version;
    link::LinkOptions options;
    options.heartbeat = heartbeat;
    entry->dialer_ =
        link::LinkDialer::Create(entry->loop_, "127.0.0.1:" + std::to_string(port), options, entry)
            .value();
    entry->loop_.Start();
    entry->dialer_->Start();
    cr_assert(WaitUntil([&] { return entry->link_ups_.load() > 0; }));
    // Link events hold a reference to the entry for a short time. Without this handle the last
    // reference could be released on the loop's thread, which would then join itself.
    return {entry.get(), [entry](TestEntry*) { entry->loop_.Stop(); }};
  }

  ~TestEntry() override { loop_.Stop(); }

  void Send(const wire::Frame& frame) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cr_assert(link_ != nullptr);
    static_cast<void>(link_->Send(frame));
  }

  void PushSettings(std::int64_t version, const std::string& tree_json = "{}") {
    wire::Frame frame;
    wire::SettingsPush push;
    push.version = version;
    push.__set_snapshot_json(tree_json);
    frame.__set_settings_push(push);
    Send(frame);
  }

  void Submit(const wire::Submit& submit) {
    wire::Frame frame;
    frame.__set_submit(submit);
    Send(frame);
  }

  void Cancel(const std::string& attempt) {
    wire::Frame frame;
    wire::Cancel cancel;
    cancel.attempt_id = attempt;
    frame.__set_cancel(cancel);
    Send(frame);
  }

  void Resume(const std::string& attempt, std::int64_t offset) {
    wire::Frame frame;
    wire::Resume resume;
    resume.attempt_id = attempt;
    resume.offset = offset;
    frame.__set_resume(resume);
    Send(frame);
  }

  void StartDecode(const std::string& attempt, const wire::PrefillDone& done) {
    wire::Frame frame;
    wire::StartDecode start;
    start.attempt_id = attempt;
    start.kv_handle = done.kv_handle;
    start.source_url = done.source_url;
    start.kv_bytes = done.kv_bytes;
    frame.__set_start_decode(start);
    Send(frame);
  }

  std::string IssueKey() {
    wire::Frame frame;
    frame.__set_issue_key(wire::IssueKey());
    Send(frame);
    cr_assert(WaitUntil([&] {
      const std::lock_guard<std::mutex> lock(mutex_);
      return !issued_key_.empty();
    }));
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(issued_key_, {});
  }

  /// Closes the connection and does not reconnect.
  void Disconnect() { dialer_->Stop(); }

  AttemptReplies RepliesTo(const std::string& attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return replies_[attempt];
  }
  wire::LoadReport report() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return report_;
  }
  int pulls() const { return pulls_.load(); }
  int events() const { return events_.load(); }

  bool WaitReady() {
    return WaitUntil([&] { return report().state == wire::UpstreamState::READY; });
  }
  bool WaitEnd(const std::string& attempt, int limit_ms = 5000) {
    return WaitUntil([&] { return RepliesTo(attempt).end || RepliesTo(attempt).refused; },
                     limit_ms);
  }

  wire::Hello LocalHello() override {
    wire::Hello hello;
    hello.protocol_version = wire::kProtocolVersion;
    hello.process_id = "test-entry";
    hello.role = wire::ProcessRole::ENTRY;
    hello.settings_version = settings_version_;
    return hello;
  }
  std::int64_t SettingsVersion() override { return settings_version_; }
  void OnUp(const std::shared_ptr<link::Link>& link) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    link_ = link;
    ++link_ups_;
  }
  void OnDown(const std::shared_ptr<link::Link>&, const Error&) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    link_ = nullptr;
  }
  void OnFrame(const std::shared_ptr<link::Link>&, wire::Frame frame) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (frame.__isset.load_report) {
      report_ = frame.load_report;
      events_ += static_cast<int>(report_.prefix_events.size());
    } else if (frame.__isset.granted) {
      replies_[frame.granted.attempt_id].granted = true;
    } else if (frame.__isset.refused) {
      replies_[frame.refused.attempt_id].refused = frame.refused;
    } else if (frame.__isset.prefill_done) {
      replies_[frame.prefill_done.attempt_id].prefill_done = frame.prefill_done;
    } else if (frame.__isset.chunk) {
      AttemptReplies& replies = replies_[frame.chunk.attempt_id];
      const std::int64_t received = static_cast<std::int64_t>(replies.output.size());
      if (frame.chunk.offset > received) {
        replies.gap = true;
      } else if (frame.chunk.offset + static_cast<std::int64_t>(frame.chunk.data.size()) >
                 received) {
        replies.output +=
            frame.chunk.data.substr(static_cast<std::size_t>(received - frame.chunk.offset));
      }
    } else if (frame.__isset.attempt_end) {
      replies_[frame.attempt_end.attempt_id].end = frame.attempt_end;
    } else if (frame.__isset.key_issued) {
      issued_key_ = frame.key_issued.key;
    } else if (frame.__isset.settings_pull) {
      ++pulls_;
    }
  }

 private:
  link::EventLoop loop_;
  std::shared_ptr<link::LinkDialer> dialer_;
  std::int64_t settings_version_ = 0;
  std::atomic<int> link_ups_{0};
  std::atomic<int> pulls_{0};
  std::atomic<int> events_{0};
  std::mutex mutex_;
  std::shared_ptr<link::Link> link_;
  wire::LoadReport report_;
  std::map<std::string, AttemptReplies> replies_;
  std::string issued_key_;
};

}  // namespace rattanramp::agent
