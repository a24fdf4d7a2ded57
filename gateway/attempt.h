// One send of a request to one upstream.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "core/request_facts.h"
#include "gateway/fleet.h"
#include "http/client_connection.h"

namespace rattanramp::gateway {

enum class AttemptFailure {
  /// No connection could be made: the upstream cannot have run it.
  kNotConnected,
  /// Closed, reset or garbage after the request was sent: it may have run.
  kConnectionLost,
  /// Nothing arrived for the allowed time; the connection is closed now.
  kTimedOut,
};

class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) = 0;
  virtual void OnAnswerBody(std::string_view bytes) = 0;
  virtual void OnAnswerComplete() = 0;
  virtual void OnAttemptFailure(AttemptFailure failure) = 0;
};

struct AttemptPlan {
  std::string head;
  std::shared_ptr<const std::string> body;
  std::string request_id;
  bool is_head_request = false;
  /// Until the first byte of the answer; zero: no limit.
  Duration first_byte_timeout{};
  /// Between later bytes; zero: no limit.
  Duration silence_timeout{};
  /// What the request adds to the upstream's load while the attempt lasts.
  core::UpstreamLoad load;
};

/// Ends, and takes its load back, when it is destroyed.
class Attempt final : private http::ResponseListener {
 public:
  static std::unique_ptr<Attempt> Start(asio::io_context& context,
                                        std::shared_ptr<Upstream> upstream, AttemptPlan plan,
                                        AttemptListener& listener);
  ~Attempt() override;
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  Upstream& upstream() { return *upstream_; }
  void PauseReading() { connection_->PauseReading(); }
  void ResumeReading() { connection_->ResumeReading(); }

 private:
  Attempt(asio::io_context& context, std::shared_ptr<Upstream> upstream, AttemptPlan plan,
          AttemptListener& listener);

  bool OnHead(const http::ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete(bool is_reusable) override;
  void OnFailure(http::ExchangeFailure failure) override;

  void ArmTimer(Duration wait);
  void ReleaseLoad();

  std::shared_ptr<Upstream> upstream_;
  AttemptPlan plan_;
  AttemptListener& listener_;
  std::shared_ptr<http::ClientConnection> connection_;
  asio::steady_timer timer_;
  /// Expires with the attempt, for timer handlers that run late.
  std::shared_ptr<std::uint64_t> timer_sequence_;
  core::AnswerFacts facts_;
  bool has_local_load_ = true;
};

}  // namespace rattanramp::gateway
