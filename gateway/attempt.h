// One attempt to have a request answered by one upstream.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/request_facts.h"
#include "gateway/fleet.h"
#include "http/client_connection.h"

namespace rattanramp::gateway {

enum class AttemptFailure {
  /// No connection could be made, so the upstream has not run the request.
  kNotConnected,
  /// The upstream closed the connection in an orderly way before its answer was complete. The
  /// request may have run.
  kConnectionClosed,
  /// The connection was reset after the request was sent. The request may have run.
  kConnectionReset,
  /// The answer was malformed or too large. The upstream was running, and the request may have run.
  kMalformed,
  /// No bytes arrived within the timeout, and the connection was closed. The request may have run.
  kTimedOut,
};

/// Whether the connection was lost, which can be the end of the upstream.
inline bool IsConnectionLost(AttemptFailure failure) {
  return failure == AttemptFailure::kConnectionClosed ||
         failure == AttemptFailure::kConnectionReset;
}

/// Description of a failure for the log.
std::string_view FailureName(AttemptFailure failure);

/// What the bytes of an answer mean for the attempt.
enum class BodyProgress {
  /// The wait for further bytes starts anew.
  kProgress,
  /// The bytes do not show that the upstream works on the request.
  kNone,
  /// The answer exceeds a limit; the attempt fails.
  kTooLarge,
  /// The bytes cannot be part of the answer; the attempt fails.
  kMalformed,
};

class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) = 0;
  virtual BodyProgress OnAnswerBody(std::string_view bytes) = 0;
  virtual void OnAnswerComplete() = 0;
  virtual void OnAttemptFailure(AttemptFailure failure) = 0;
  /// Called when the upstream has been silent for the timeout of the plan, and repeatedly while the
  /// silence lasts. Returns true to end the attempt with kTimedOut. Must not destroy the attempt.
  virtual bool OnSilence(Duration /*silent_for*/) { return true; }
};

struct AttemptPlan {
  std::string head;
  std::shared_ptr<const std::string> body;
  std::string request_id;
  bool is_head_request = false;
  /// The request is not sent later than this, for example because the process was paused while it
  /// connected.
  TimePoint send_before = TimePoint::max();
  /// The upstream does not receive the request later than this after it was sent, even if this
  /// process is paused and a partition holds the bytes up. Zero: no limit but the end of the
  /// attempt.
  Milliseconds delivery_timeout{};
  /// Wait for the head of the answer after which the listener decides whether the attempt goes on;
  /// zero: no limit.
  Duration first_byte_timeout{};
  /// The same for further progress after the head.
  Duration read_timeout{};
  /// How a wait of that length counts in the upstream's health; empty: not at all.
  std::optional<core::AnswerResult> silence_result;
  /// Added to the upstream's local_load for the duration of the attempt.
  core::UpstreamLoad load;
};

/// The destructor closes the connection and subtracts the attempt's load from the upstream's.
class Attempt final : private http::ResponseListener {
 public:
  static std::unique_ptr<Attempt> Start(asio::io_context& context, const Clock& clock,
                                        std::shared_ptr<Upstream> upstream, AttemptPlan plan,
                                        AttemptListener& listener);
  ~Attempt() override;
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  Upstream& upstream() { return *upstream_; }
  /// Whether sending of the request was started, so that the upstream may have run it.
  bool has_sent() const { return !connection() || connection()->requests_sent() > sent_before_; }
  /// How long the upstream has been silent, once this is longer than the timeout of the plan; zero
  /// before.
  Duration silent_for() const { return silent_for_; }
  /// Replaces the listener for all further calls; may be called from a call of the current one.
  void SetListener(AttemptListener& listener) { listener_ = &listener; }
  /// While reading is paused, the upstream's silence is not timed.
  void PauseReading();
  void ResumeReading();

 private:
  Attempt(asio::io_context& context, const Clock& clock, std::shared_ptr<Upstream> upstream,
          AttemptPlan plan, AttemptListener& listener);

  const std::shared_ptr<http::ClientConnection>& connection() const {
    return upstream_connection_.connection;
  }
  /// While the connection was made, the upstream may have said elsewhere that it leaves or pauses.
  bool MaySend() override {
    const TimePoint now = clock_.now();
    return now <= plan_.send_before && !upstream_->is_leaving() && now >= upstream_->paused_until();
  }
  bool OnHead(const http::ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete(bool is_reusable) override;
  void OnFailure(http::ExchangeFailure failure) override;

  /// Starts to time the upstream's silence; the listener is asked after `timeout`.
  void TimeSilence(Duration timeout);
  void ArmTimer(Duration wait);
  void OnTimer(Duration waited);
  void ReleaseLoad();

  const Clock& clock_;
  std::shared_ptr<Upstream> upstream_;
  AttemptPlan plan_;
  AttemptListener* listener_;
  /// Without a connection once the answer is complete.
  UpstreamConnection upstream_connection_;
  /// Requests that were sent on the connection before this one.
  std::int64_t sent_before_ = 0;
  asio::steady_timer timer_;
  /// Number of the current timer. Handlers hold it weakly, and return if the attempt was destroyed
  /// or the timer was started again.
  std::shared_ptr<std::uint64_t> timer_sequence_;
  /// Time for which the upstream has been silent, as far as it has been timed.
  Duration silent_for_{};
  core::AnswerFacts facts_;
  bool has_local_load_ = true;
  bool is_paused_ = false;
  /// Reading was paused, so bytes may be read long after the upstream sent them.
  bool was_paused_ = false;
};

}  // namespace rattanramp::gateway
