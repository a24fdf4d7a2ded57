// HTTP/1.1 client connection on the event loop. Carries one request at a time. A failure is
// reported as kNotConnected only if no byte of the request was sent. The connection always ends
// with a reset, so that the bytes of a request that was given up are not delivered later.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/message.h"
#include "http/parser.h"

namespace rattanramp::http {

enum class ExchangeFailure {
  /// The connection could not be established; no byte of the request was sent.
  kNotConnected,
  /// The server closed the connection in an orderly way after sending had started and before the
  /// response was complete. It may have processed the request.
  kConnectionClosed,
  /// The same, but the connection was reset, or carries responses to other requests only.
  kConnectionReset,
  /// The received bytes are not a valid HTTP response.
  kMalformed,
};

/// Receives the response to one request. No method is called after OnComplete, OnFailure or
/// ClientConnection::Close.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;
  /// Asked once, immediately before the first byte is sent. False: the exchange fails with
  /// kNotConnected.
  virtual bool MaySend() { return true; }
  /// Returns false when the response belongs to another request; it is then read to its end and
  /// discarded.
  virtual bool OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  /// `is_reusable`: the connection can carry another request.
  virtual void OnComplete(bool is_reusable) = 0;
  virtual void OnFailure(ExchangeFailure failure) = 0;
};

/// Not thread-safe: all methods must be called on the event loop's thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  static std::shared_ptr<ClientConnection> Create(asio::io_context& context,
                                                  const asio::ip::tcp::endpoint& server,
                                                  Duration connect_timeout);

  /// Sends a request and connects first if necessary. The connection must not be busy. Before the
  /// listener is destroyed, the exchange must have ended or Close must have been called.
  void Send(std::string head, std::shared_ptr<const std::string> body, bool is_head_request,
            ResponseListener& listener);

  /// Connects without sending a request. on_end: called once with whether the connection is open,
  /// unless Close is called before. Called at most once, before the first Send, which must wait for
  /// on_end.
  void Open(std::function<void(bool is_open)> on_end);

  /// Resets the connection and aborts the exchange without further calls to the listener.
  void Close();

  /// Bytes that are unacknowledged for this time are dropped with the connection, also while this
  /// process is paused. Called before the first Send.
  void SetDeliveryTimeout(Milliseconds timeout) { delivery_timeout_ = timeout; }
  /// The timeout that is in force on the connected socket; 0: the system's own.
  int delivery_timeout_ms();

  /// Stops reading from the server, so that TCP flow control stops its sending. ResumeReading
  /// continues.
  void PauseReading() { is_paused_ = true; }
  void ResumeReading();

  /// Sets a handler that is called once when the connection is closed by the server while idle, or
  /// when bytes arrive that belong to no request.
  void SetIdleEndHandler(std::function<void()> handler) { on_idle_end_ = std::move(handler); }

  bool is_open() const { return is_connected_ && !is_closed_; }
  bool is_busy() const { return listener_ != nullptr; }
  /// Number of requests for which sending was started on this connection.
  std::int64_t requests_sent() const { return requests_sent_; }

 private:
  ClientConnection(asio::io_context& context, const asio::ip::tcp::endpoint& server,
                   Duration connect_timeout);

  void Connect();
  void ConfigureSocket();
  void Write();
  void OnWriteEnd(const std::error_code& error);
  void Read();
  void OnRead(const std::error_code& error, std::size_t size);
  /// Parses the bytes that were read. Returns false when the connection was closed meanwhile.
  bool ParseBuffer();
  /// Whether the response that is being discarded, and those before it, exceed their limits.
  bool IsDiscardLimitExceeded() const;
  bool FinishResponse();
  void OnEndOfInput(bool is_orderly);
  /// Whether the server has ended its side of the connection, which is still open.
  bool IsHalfClosed();
  /// Whether an end of input that was read is the server's own. The socket reports an error only
  /// once: if a reset fails the write, the read that follows sees an end of input. A write fails
  /// with broken_pipe if the server had ended its side before the reset.
  bool IsOrderlyEnd() const;
  void Fail(ExchangeFailure failure);

  asio::ip::tcp::endpoint server_;
  Duration connect_timeout_;
  /// Zero: the system's own.
  Milliseconds delivery_timeout_{};
  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::string request_head_;
  std::shared_ptr<const std::string> request_body_;
  /// Target of one socket read; most messages fit into it.
  std::array<char, 8 * 1024> read_buffer_;
  /// Bytes that were received and not yet parsed.
  std::string unparsed_;
  std::optional<ResponseParser> parser_;
  ResponseListener* listener_ = nullptr;
  std::function<void()> on_idle_end_;
  std::function<void(bool is_open)> on_open_end_;
  std::int64_t requests_sent_ = 0;
  bool is_head_request_ = false;
  bool is_connected_ = false;
  bool is_closed_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_paused_ = false;
  /// The end of the input was read while the write had not ended.
  bool is_end_pending_ = false;
  /// Error of the last write, which has ended.
  std::error_code write_error_;
  bool is_head_reported_ = false;
  bool is_discarding_ = false;
  /// Responses that were discarded since the request was sent, and the bytes of their bodies.
  std::size_t discarded_responses_ = 0;
  std::size_t discarded_bytes_ = 0;
};

}  // namespace rattanramp::http
