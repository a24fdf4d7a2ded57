// One connection to an HTTP server on the event loop. Carries one request at a time and tells for
// certain whether a failed request was sent.
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
  /// The connection could not be made; nothing was sent.
  kNotConnected,
  /// Closed or reset after the request was sent, before the answer was whole.
  kConnectionLost,
  /// Bytes that are no HTTP response.
  kMalformed,
};

/// Receives the answer to one request. Calls stop after OnComplete or OnFailure, and after
/// ClientConnection::Close.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;
  /// False when the answer belongs to another request; it is then read and dropped.
  virtual bool OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  /// is_reusable: the connection can carry another request.
  virtual void OnComplete(bool is_reusable) = 0;
  virtual void OnFailure(ExchangeFailure failure) = 0;
};

/// Not thread-safe; all calls on the event loop's thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  static std::shared_ptr<ClientConnection> Create(asio::io_context& context,
                                                  const asio::ip::tcp::endpoint& server,
                                                  Duration connect_timeout);

  /// Sends a request, connecting first if necessary. The listener must outlive the exchange or call
  /// Close. The connection must not be busy.
  void Send(std::string head, std::shared_ptr<const std::string> body, bool is_head_request,
            ResponseListener& listener);

  /// Ends the exchange and the connection without further calls to the listener.
  void Close();

  /// Stops reading from the server, so that its window fills; ResumeReading continues.
  void PauseReading() { is_paused_ = true; }
  void ResumeReading();

  /// Called once when an idle connection ends or gets bytes that nobody asked for.
  void SetIdleEndHandler(std::function<void()> handler) { on_idle_end_ = std::move(handler); }

  bool is_open() const { return is_connected_ && !is_closed_; }
  bool is_busy() const { return listener_ != nullptr; }
  /// Requests sent on this connection so far.
  std::int64_t requests_sent() const { return requests_sent_; }

 private:
  ClientConnection(asio::io_context& context, const asio::ip::tcp::endpoint& server,
                   Duration connect_timeout);

  void Connect();
  void Write();
  void Read();
  void OnRead(const std::error_code& error, std::size_t size);
  /// Parses what was read. Returns false when the connection was closed on the way.
  bool ParseBuffer();
  bool FinishResponse();
  void OnEndOfInput(bool is_orderly);
  void Fail(ExchangeFailure failure);

  asio::ip::tcp::endpoint server_;
  Duration connect_timeout_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::string request_head_;
  std::shared_ptr<const std::string> request_body_;
  /// One read; most messages fit.
  std::array<char, 8 * 1024> read_buffer_;
  /// Bytes that were read and not yet parsed.
  std::string unparsed_;
  std::optional<ResponseParser> parser_;
  ResponseListener* listener_ = nullptr;
  std::function<void()> on_idle_end_;
  std::int64_t requests_sent_ = 0;
  bool is_head_request_ = false;
  bool is_connected_ = false;
  bool is_closed_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_paused_ = false;
  bool is_head_reported_ = false;
  bool is_discarding_ = false;
};

}  // namespace rattanramp::http
