#include "gateway/early_connection.h"

#include <optional>
#include <utility>

namespace rattanramp::gateway {

std::unique_ptr<EarlyConnection> EarlyConnection::Start(asio::io_context& context,
                                                        const Clock& clock,
                                                        std::shared_ptr<Upstream> upstream,
                                                        std::function<void()> on_failure) {
  CloseExpiredConnections(*upstream, clock.now());
  if (!upstream->idle.empty()) {
    return nullptr;
  }
  std::unique_ptr<EarlyConnection> early(
      new EarlyConnection(clock, std::move(upstream), std::move(on_failure)));
  early->connection_ = OpenableConnection(*early->upstream_, context);
  early->connection_->Open([raw = early.get()](bool is_open) { raw->OnEnd(is_open); });
  return early;
}

EarlyConnection::EarlyConnection(const Clock& clock, std::shared_ptr<Upstream> upstream,
                                 std::function<void()> on_failure)
    : clock_(clock),
      upstream_(std::move(upstream)),
      on_failure_(std::move(on_failure)),
      started_(clock.now()) {}

EarlyConnection::~EarlyConnection() {
  if (connection_) {
    connection_->Close();
  }
}

void EarlyConnection::OnEnd(bool is_open) {
  std::shared_ptr<http::ClientConnection> connection = std::exchange(connection_, nullptr);
  const TimePoint now = clock_.now();
  if (is_open) {
    ReleaseConnection(upstream_, {std::move(connection), {}}, std::nullopt, now);
    return;
  }
  core::RecordAnswer(upstream_->health, core::AnswerResult::kNoAnswer, now);
  RecordFailureSign(*upstream_, core::FailureSign::kNotConnected, now);
  const std::function<void()> on_failure = std::move(on_failure_);
  on_failure();
}

}  // namespace rattanramp::gateway
