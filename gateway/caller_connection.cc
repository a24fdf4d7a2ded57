#include "gateway/caller_connection.h"

#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Limit on the bytes of later requests that are read while one is being served. Reading continues
// so that a close by the caller is detected.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

// How long the rest of a refused request is read before the connection is closed. Closing with
// unread bytes would reset the connection before the caller has read the refusal.
constexpr Milliseconds kLingerTime{1'000};

// Shortest time without progress after which an answer that is being sent is given up. Callers
// leave a stream after a gap of 2 s or more (users' documentation).
constexpr Milliseconds kStalledSendTime{3'000};

// How long an expired timer waits for bytes that have arrived but have not been read. The event
// loop reads them in its next turn.
constexpr Milliseconds kUnreadWait{10};

}  // namespace

std::shared_ptr<CallerConnection> CallerConnection::Create(asio::ip::tcp::socket socket,
                                                           CallerHost& host) {
  return std::shared_ptr<CallerConnection>(new CallerConnection(std::move(socket), host));
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerHost& host)
    : socket_(std::move(socket)), host_(host), timer_(socket_.get_executor()) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::Start() {
  // The connection also works without TCP_NODELAY.
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  ArmIdleTimer();
  Read();
}

void CallerConnection::CloseIfIdle() {
  if (has_answered_ && !is_answering_ && !is_lingering_ && buffer_.empty() && !parser_ &&
      unsent_bytes() == 0 && !has_unread_bytes()) {
    Close();
  }
}

void CallerConnection::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  timer_.cancel();
  std::error_code ignored;  // the descriptor is released even if close fails
  socket_.close(ignored);
  if (exchange_) {
    exchange_->OnCallerDisconnected();
    asio::post(socket_.get_executor(),
               [finished = std::shared_ptr<Exchange>(std::move(exchange_))] {});
  }
  host_.OnConnectionEnd(this);
}

void CallerConnection::OnStopProgress() {
  if (exchange_) {
    exchange_->OnStopProgress();
  }
}

void CallerConnection::EndForStop() {
  if (exchange_) {
    exchange_->EndForStop();
  }
}

void CallerConnection::Read() {
  if (is_reading_ || is_closed_ || (is_answering_ && buffer_.size() >= kMaxPipelinedBytes)) {
    return;
  }
  is_reading_ = true;
  std::shared_ptr<CallerConnection> self = shared_from_this();
  socket_.async_read_some(asio::buffer(input_),
                          [self](const std::error_code& error, std::size_t size) {
                            self->is_reading_ = false;
                            self->OnRead(error, size);
                          });
}

void CallerConnection::OnRead(const std::error_code& error, std::size_t size) {
  if (is_closed_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (is_lingering_) {
    Read();
    return;
  }
  buffer_.append(input_.data(), size);
  if (!is_answering_) {
    ParseBuffer();
  }
  Read();
}

void CallerConnection::ParseBuffer() {
  // Blank lines before a request are skipped, as RFC 9112 requires.
  if (!parser_) {
    buffer_.erase(0, std::min(buffer_.size(), buffer_.find_first_not_of("\r\n")));
  }
  if (buffer_.empty()) {
    return;
  }
  const core::CallerLimits limits = host_.caller_limits();
  if (!parser_) {
    parser_.emplace(static_cast<std::size_t>(limits.max_head_bytes),
                    static_cast<std::uint64_t>(limits.max_body_bytes));
    has_sent_continue_ = false;
    ArmTimer(Milliseconds(limits.head_timeout_ms));
  }
  const Result<std::size_t> used = parser_->Feed(buffer_);
  if (!used) {
    Log(LogLevel::kWarning, "request_unreadable",
        {{"error", used.error().message},
         {"has_head", parser_->has_head()},
         {"bytes", buffer_.size()}});
    if (used.error().kind == ErrorKind::kOverloaded) {
      Refuse(parser_->body_too_large() ? 413 : 431, used.error().message);
    } else {
      Refuse(400, used.error().message);
    }
    return;
  }
  buffer_.erase(0, used.value());
  if (parser_->is_complete()) {
    Serve();
    return;
  }
  if (parser_->has_head() && parser_->expects_continue() && !has_sent_continue_) {
    has_sent_continue_ = true;
    unsent_ += "HTTP/1.1 100 Continue\r\n\r\n";
    Write();
  }
}

void CallerConnection::Serve() {
  http::RequestHead head = parser_->head();
  std::string body = std::move(parser_->body());
  parser_.reset();
  // The exchange has its own deadline timer.
  ++timer_sequence_;
  timer_.cancel();
  is_answering_ = true;
  is_head_request_ = head.method == "HEAD";
  is_http_1_0_ = head.minor_version == 0;
  keep_alive_ = head.keep_alive;
  std::shared_ptr<CallerConnection> self = shared_from_this();
  std::unique_ptr<Exchange> exchange = host_.StartExchange(*this, std::move(head), std::move(body));
  if (is_answering_ && !is_closed_) {
    exchange_ = std::move(exchange);
  } else if (exchange) {
    asio::post(socket_.get_executor(),
               [finished = std::shared_ptr<Exchange>(std::move(exchange))] {});
  }
}

void CallerConnection::Refuse(int status, std::string_view text) {
  parser_.reset();
  is_answering_ = true;
  keep_alive_ = false;
  std::string body(text);
  body += "\n";
  Answer(status, {{"Content-Type", "text/plain"}}, std::move(body));
}

void CallerConnection::Answer(int status, const http::Fields& fields, std::string body) {
  AppendHead(status, fields, fmt::format("Content-Length: {}\r\n", body.size()));
  if (!is_head_request_) {
    unsent_ += body;
  }
  FinishAnswer();
}

void CallerConnection::StartStream(int status, const http::Fields& fields, StreamEnd end) {
  is_chunked_ = !is_http_1_0_ && end == StreamEnd::kStated;
  if (!is_chunked_) {
    keep_alive_ = false;
    SetResetOnClose(true);
  }
  AppendHead(status, fields, is_chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
  Write();
}

void CallerConnection::StreamBytes(std::string_view bytes) {
  if (bytes.empty() || is_closed_) {
    return;
  }
  if (is_chunked_) {
    fmt::format_to(std::back_inserter(unsent_), "{:x}\r\n", bytes.size());
  }
  unsent_.append(bytes);
  if (is_chunked_) {
    unsent_ += "\r\n";
  }
  Write();
}

void CallerConnection::EndStream() {
  if (is_chunked_) {
    unsent_ += "0\r\n\r\n";
  }
  FinishAnswer();
}

void CallerConnection::Abort() {
  is_answering_ = false;
  if (exchange_) {
    asio::post(socket_.get_executor(),
               [finished = std::shared_ptr<Exchange>(std::move(exchange_))] {});
  }
  if (is_chunked_) {
    // The missing last chunk shows that the answer is incomplete. Bytes that are queued are still
    // sent.
    keep_alive_ = false;
    close_after_write_ = true;
    Write();
    return;
  }
  Close();
}

void CallerConnection::SetResetOnClose(bool enabled) {
  // Asio's own option is not used: with it, the socket's destructor would close in an orderly way.
  const linger option = {enabled ? 1 : 0, 0};
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void CallerConnection::AppendHead(int status, const http::Fields& fields,
                                  std::string_view framing) {
  if (host_.is_stopping()) {
    keep_alive_ = false;
  }
  fmt::format_to(std::back_inserter(unsent_), "HTTP/1.1 {} {}\r\n", status,
                 http::ReasonPhrase(status));
  http::AppendFields(fields, unsent_);
  unsent_ += framing;
  if (!keep_alive_) {
    unsent_ += "Connection: close\r\n";
  } else if (is_http_1_0_) {
    unsent_ += "Connection: keep-alive\r\n";
  }
  unsent_ += "\r\n";
}

void CallerConnection::FinishAnswer() {
  is_answering_ = false;
  has_answered_ = true;
  if (exchange_) {
    // The exchange is still on the call stack, so it is destroyed later, from the event loop.
    asio::post(socket_.get_executor(),
               [finished = std::shared_ptr<Exchange>(std::move(exchange_))] {});
  }
  // During a stop too, a connection that the head of this answer promised to keep takes one more
  // request; the caller may have sent it already.
  close_after_write_ = !keep_alive_;
  Write();
  if (is_closed_ || close_after_write_) {
    return;
  }
  ArmIdleTimer();
  std::shared_ptr<CallerConnection> self = shared_from_this();
  asio::post(socket_.get_executor(), [self] {
    if (!self->is_closed_ && !self->is_answering_) {
      self->ParseBuffer();
      self->Read();
    }
  });
}

void CallerConnection::Write() {
  if (is_writing_ || is_closed_) {
    return;
  }
  if (unsent_.empty()) {
    if (close_after_write_ && !is_answering_) {
      LingerThenClose();
    }
    return;
  }
  is_writing_ = true;
  write_buffer_ = std::exchange(unsent_, {});
  std::shared_ptr<CallerConnection> self = shared_from_this();
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self](const std::error_code& error, std::size_t size) {
        self->has_sent_bytes_ = self->has_sent_bytes_ || size > 0;
        return asio::transfer_all()(error, size);
      },
      [self](const std::error_code& error, std::size_t /*size*/) { self->OnWritten(error); });
}

void CallerConnection::OnWritten(const std::error_code& error) {
  is_writing_ = false;
  write_buffer_.clear();
  if (is_closed_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (exchange_) {
    exchange_->OnBytesSent();
  }
  if (unsent_.empty() && !is_answering_ && !parser_ && !close_after_write_) {
    // The caller counts its idle time from the last byte.
    ArmIdleTimer();
  }
  Write();
}

void CallerConnection::LingerThenClose() {
  if (is_lingering_) {
    return;
  }
  is_lingering_ = true;
  SetResetOnClose(false);
  std::error_code ignored;  // the peer may already have closed the connection
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  ArmTimer(kLingerTime);
  Read();
}

void CallerConnection::ArmIdleTimer() {
  idle_limit_ = Milliseconds(host_.caller_limits().idle_timeout_ms);
  if (unsent_bytes() > 0) {
    idle_limit_ = std::max(idle_limit_, kStalledSendTime);
  }
  ArmTimer(idle_limit_);
}

bool CallerConnection::has_unread_bytes() const {
  std::error_code error;  // the pending read reports the same error
  return socket_.available(error) > 0 && !error;
}

void CallerConnection::ArmTimer(Duration wait) {
  is_overdue_ = false;
  has_sent_bytes_ = false;
  timer_.expires_after(wait);
  std::shared_ptr<CallerConnection> self = shared_from_this();
  timer_.async_wait([self, number = ++timer_sequence_](const std::error_code& error) {
    if (!error && number == self->timer_sequence_ && !self->is_closed_) {
      self->OnTimer();
    }
  });
}

void CallerConnection::OnTimer() {
  if (!is_lingering_ && !is_overdue_ && has_unread_bytes()) {
    // These bytes may be or complete a request that was sent in time.
    ArmTimer(kUnreadWait);
    is_overdue_ = true;
    return;
  }
  if (parser_ && !is_lingering_) {
    Refuse(408, "timeout: the request was not received completely in time");
    return;
  }
  if (unsent_bytes() > 0 && has_sent_bytes_) {
    ArmIdleTimer();
    return;
  }
  const Milliseconds newest_limit(host_.caller_limits().idle_timeout_ms);
  if (!is_lingering_ && newest_limit > idle_limit_) {
    // Callers keep to the newest limit, also for time in which an older one was in force.
    ArmTimer(newest_limit - std::exchange(idle_limit_, newest_limit));
    return;
  }
  Close();
}

}  // namespace rattanramp::gateway
