#include "http/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>
#include <vector>

namespace rattanramp::http {
namespace {

// Largest part of a response that cannot be parsed before more bytes arrive: a head, a chunk's size
// line, or the trailers.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeadBytes;

// Responses to other requests, and informational ones, that are skipped before the response to a
// request. A server sends one or two.
constexpr std::size_t kMaxDiscardedResponses = 8;
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;

}  // namespace

std::shared_ptr<ClientConnection> ClientConnection::Create(asio::io_context& context,
                                                           const asio::ip::tcp::endpoint& server,
                                                           Duration connect_timeout) {
  return std::shared_ptr<ClientConnection>(new ClientConnection(context, server, connect_timeout));
}

ClientConnection::ClientConnection(asio::io_context& context, const asio::ip::tcp::endpoint& server,
                                   Duration connect_timeout)
    : server_(server),
      connect_timeout_(connect_timeout),
      socket_(context),
      connect_timer_(context) {}

void ClientConnection::Send(std::string head, std::shared_ptr<const std::string> body,
                            bool is_head_request, ResponseListener& listener) {
  request_head_ = std::move(head);
  request_body_ = std::move(body);
  is_head_request_ = is_head_request;
  listener_ = &listener;
  parser_.emplace(is_head_request);
  is_head_reported_ = false;
  is_discarding_ = false;
  discarded_responses_ = 0;
  discarded_bytes_ = 0;
  is_paused_ = false;
  if (is_connected_) {
    Write();
  } else {
    Connect();
  }
}

void ClientConnection::Open(std::function<void(bool is_open)> on_end) {
  on_open_end_ = std::move(on_end);
  Connect();
}

void ClientConnection::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  listener_ = nullptr;
  on_idle_end_ = nullptr;
  on_open_end_ = nullptr;
  connect_timer_.cancel();
  // An error of close is ignored: the descriptor is released in any case.
  std::error_code ignored;
  socket_.close(ignored);
}

void ClientConnection::ResumeReading() {
  if (is_paused_) {
    is_paused_ = false;
    Read();
  }
}

void ClientConnection::Connect() {
  std::shared_ptr<ClientConnection> self = shared_from_this();
  connect_timer_.expires_after(connect_timeout_);
  connect_timer_.async_wait([self](const std::error_code& error) {
    if (!error && !self->is_connected_ && !self->is_closed_) {
      self->Fail(ExchangeFailure::kNotConnected);
    }
  });
  socket_.async_connect(server_, [self](const std::error_code& error) {
    if (self->is_closed_) {
      return;
    }
    self->connect_timer_.cancel();
    if (error) {
      self->Fail(ExchangeFailure::kNotConnected);
      return;
    }
    self->is_connected_ = true;
    self->ConfigureSocket();
    self->Read();
    if (self->on_open_end_) {
      std::exchange(self->on_open_end_, nullptr)(true);
    } else {
      self->Write();
    }
  });
}

void ClientConnection::ConfigureSocket() {
  // Errors are ignored because the connection also works without the options. Without TCP_NODELAY,
  // a small request is delayed until the previous one is acknowledged.
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  // Makes each close a reset, also that by the system when this process is killed. After an orderly
  // close, TCP would deliver unacknowledged bytes once a partition ends, at any later time. Asio's
  // own option is not used: with it, the socket's destructor would close in an orderly way.
  const linger reset_on_close = {1, 0};
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  if (delivery_timeout_ > Milliseconds::zero()) {
    const int timeout_ms = static_cast<int>(delivery_timeout_.count());
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
  }
}

int ClientConnection::delivery_timeout_ms() {
  int timeout_ms = 0;
  socklen_t size = sizeof(timeout_ms);
  const int result =
      getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, &size);
  return result == 0 ? timeout_ms : 0;
}

void ClientConnection::Write() {
  if (!listener_->MaySend()) {
    // Send may be on the call stack, so the failure is reported from the event loop.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->Fail(ExchangeFailure::kNotConnected); });
    return;
  }
  ++requests_sent_;
  is_writing_ = true;
  std::array<asio::const_buffer, 2> buffers = {asio::buffer(request_head_), asio::const_buffer()};
  if (request_body_) {
    buffers[1] = asio::buffer(*request_body_);
  }
  std::shared_ptr<ClientConnection> self = shared_from_this();
  asio::async_write(
      socket_, buffers,
      [self, body = request_body_](const std::error_code& error, std::size_t /*size*/) {
        self->OnWriteEnd(error);
      });
}

void ClientConnection::OnWriteEnd(const std::error_code& error) {
  is_writing_ = false;
  write_error_ = error;
  if (!error) {
    // An idle connection must not hold the request that it carried last.
    request_body_.reset();
    request_head_ = {};
  }
  if (is_closed_) {
    return;
  }
  if (is_end_pending_) {
    OnEndOfInput(IsOrderlyEnd());
  } else if (error && !is_reading_) {
    // While a read is pending, it ends too and reports the failure, so that the listener is called
    // once.
    Fail(ExchangeFailure::kConnectionReset);
  }
}

void ClientConnection::Read() {
  if (is_reading_ || is_closed_ || is_paused_ || is_end_pending_) {
    return;
  }
  is_reading_ = true;
  std::shared_ptr<ClientConnection> self = shared_from_this();
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self](const std::error_code& error, std::size_t size) {
                            self->is_reading_ = false;
                            self->OnRead(error, size);
                          });
}

void ClientConnection::OnRead(const std::error_code& error, std::size_t size) {
  if (is_closed_) {
    return;
  }
  if (error == asio::error::eof && is_writing_ && !IsHalfClosed()) {
    // The connection is down, so the write ends soon and shows whether it was reset.
    is_end_pending_ = true;
    return;
  }
  if (error) {
    OnEndOfInput(error == asio::error::eof && IsOrderlyEnd());
    return;
  }
  unparsed_.append(read_buffer_.data(), size);
  std::shared_ptr<ClientConnection> self = shared_from_this();
  if (!ParseBuffer()) {
    return;
  }
  if (unparsed_.size() > kMaxUnparsedBytes) {
    Fail(ExchangeFailure::kMalformed);
    return;
  }
  Read();
}

bool ClientConnection::IsHalfClosed() {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  return getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

bool ClientConnection::IsOrderlyEnd() const {
  return !write_error_ || write_error_ == asio::error::broken_pipe;
}

bool ClientConnection::IsDiscardLimitExceeded() const {
  return discarded_responses_ > kMaxDiscardedResponses || discarded_bytes_ > kMaxDiscardedBytes;
}

bool ClientConnection::ParseBuffer() {
  while (!unparsed_.empty()) {
    if (listener_ == nullptr) {
      // The bytes belong to no request. Later responses could no longer be matched to requests, so
      // the connection is closed.
      OnEndOfInput(false);
      return false;
    }
    const Result<std::size_t> consumed = parser_->Feed(unparsed_);
    if (!consumed) {
      Fail(ExchangeFailure::kMalformed);
      return false;
    }
    unparsed_.erase(0, consumed.value());
    if (parser_->has_head() && !is_head_reported_) {
      is_head_reported_ = true;
      is_discarding_ = parser_->head().status < 200 || !listener_->OnHead(parser_->head());
      if (is_closed_) {
        return false;
      }
    }
    const std::string body = parser_->TakeBody();
    if (is_discarding_) {
      discarded_bytes_ += body.size();
      discarded_responses_ += parser_->is_complete() ? 1 : 0;
      if (IsDiscardLimitExceeded()) {
        Fail(ExchangeFailure::kMalformed);
        return false;
      }
    } else if (!body.empty()) {
      listener_->OnBody(body);
      if (is_closed_) {
        return false;
      }
    }
    if (parser_->is_complete()) {
      if (!FinishResponse()) {
        return false;
      }
      continue;
    }
    if (consumed.value() == 0) {
      break;
    }
  }
  return true;
}

bool ClientConnection::FinishResponse() {
  const bool keep_alive =
      parser_->head().keep_alive && parser_->head().framing != BodyFraming::kUntilClose;
  if (is_discarding_) {
    if (!keep_alive && parser_->head().status >= 200) {
      Fail(ExchangeFailure::kConnectionReset);
      return false;
    }
    parser_.emplace(is_head_request_);
    is_head_reported_ = false;
    is_discarding_ = false;
    return true;
  }
  // A server may respond before it has read the whole request body. It would then parse the rest
  // of that body as the next request, so the connection is reusable only after the whole
  // request was written.
  const bool is_reusable = keep_alive && !is_writing_ && !write_error_ && unparsed_.empty();
  ResponseListener* listener = std::exchange(listener_, nullptr);
  parser_.reset();
  if (!is_reusable) {
    Close();
  }
  listener->OnComplete(is_reusable);
  return !is_closed_;
}

void ClientConnection::OnEndOfInput(bool is_orderly) {
  if (listener_ == nullptr) {
    std::function<void()> on_idle_end = std::move(on_idle_end_);
    Close();
    if (on_idle_end) {
      on_idle_end();
    }
    return;
  }
  if (is_orderly && is_head_reported_ && !is_discarding_ && parser_->FinishAtEof()) {
    ResponseListener* listener = std::exchange(listener_, nullptr);
    Close();
    listener->OnComplete(false);
    return;
  }
  Fail(is_orderly ? ExchangeFailure::kConnectionClosed : ExchangeFailure::kConnectionReset);
}

void ClientConnection::Fail(ExchangeFailure failure) {
  ResponseListener* listener = std::exchange(listener_, nullptr);
  const std::function<void(bool)> on_open_end = std::exchange(on_open_end_, nullptr);
  Close();
  if (listener != nullptr) {
    listener->OnFailure(failure);
  }
  if (on_open_end) {
    on_open_end(false);
  }
}

}  // namespace rattanramp::http
