// One caller's connection: reads requests, one at a time, and writes their answers.
#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "core/routing_table.h"
#include "gateway/caller_memory.h"
#include "gateway/caller_sink.h"
#include "http/parser.h"

namespace rattanramp::gateway {

class CallerConnection;

/// Functions of the gateway that its caller connections use.
class CallerHost {
 public:
  virtual ~CallerHost() = default;
  /// Starts serving a request. Returns null when the sink has already received the complete answer.
  virtual std::unique_ptr<Exchange> StartExchange(CallerSink& sink, http::RequestHead head,
                                                  std::string body) = 0;
  virtual core::CallerLimits caller_limits() const = 0;
  /// While true, answers carry "Connection: close".
  virtual bool is_stopping() const = 0;
  virtual void OnConnectionEnd(const CallerConnection* connection) = 0;
  /// Memory that the connections share; null: not bounded.
  virtual CallerMemory* memory() { return nullptr; }
};

class CallerConnection final : public CallerSink,
                               private CallerMemory::Holder,
                               public std::enable_shared_from_this<CallerConnection> {
 public:
  static std::shared_ptr<CallerConnection> Create(asio::ip::tcp::socket socket, CallerHost& host);
  ~CallerConnection() override;

  void Start();
  /// Closes the connection if no request is in progress or partly received, and at least one was
  /// answered. The first request of a new connection may be on its way.
  void CloseIfIdle();
  void Close();
  /// Passes the progress of a stop on to the request in progress; see Exchange.
  void OnStopProgress();
  /// Ends the request in progress, because the process is about to exit.
  void EndForStop();
  /// Destroys the request in progress without an answer, because the gateway and its memory end.
  /// Not to be called from that request.
  void DropExchange() {
    exchange_.reset();
    memory_ = nullptr;
  }
  bool is_serving() const { return exchange_ != nullptr || is_answering_; }

  void Answer(int status, const http::Fields& fields, std::string body) override;
  void StartStream(int status, const http::Fields& fields, StreamEnd end) override;
  void StreamBytes(std::string_view bytes) override;
  void EndStream() override;
  void Abort() override;
  std::size_t unsent_bytes() const override { return write_buffer_.size() + unsent_.size(); }
  std::size_t max_unsent_bytes() const override;
  bool KeepAnswer(std::size_t bytes) override;

 private:
  CallerConnection(asio::ip::tcp::socket socket, CallerHost& host);

  void Read();
  void OnRead(const std::error_code& error, std::size_t size);
  /// Parses bytes that are in input_.
  void TakeInput(std::size_t size);
  void ParseBuffer();
  void Refuse(int status, std::string_view text, http::Fields fields = {});
  void RefuseForMemory();
  void Serve();
  void FinishAnswer();
  void AppendHead(int status, const http::Fields& fields, std::string_view framing);
  void Write();
  /// `size`: bytes of write_buffer_ that were sent so far.
  void OnSent(std::size_t size);
  void OnWritten(const std::error_code& error);
  void ArmTimer(Duration wait);
  void ArmIdleTimer();
  /// Whether bytes have arrived that have not been read.
  bool has_unread_bytes() const;
  void OnTimer();
  void LingerThenClose();
  void OnMemory() override;
  bool CloseForRoom() override;
  void StopWaitingForAnswer();
  /// Tells the memory that the callers share what this connection holds.
  void ReportMemory();
  /// Whether a close resets the connection, also that by the system when this process is killed.
  /// Without chunks or a length, only a reset shows that an answer is incomplete.
  void SetResetOnClose(bool enabled);

  asio::ip::tcp::socket socket_;
  CallerHost& host_;
  asio::steady_timer timer_;
  std::uint64_t timer_sequence_ = 0;
  /// The limit on idle time for which the timer is armed.
  Milliseconds idle_limit_{};
  /// Buffer for one read; most requests fit into it.
  std::array<char, 8 * 1024> input_;
  /// Bytes that have been read but not parsed yet.
  std::string buffer_;
  /// Bytes in input_ that wait for memory. Until it is free, the connection is not read.
  std::size_t waiting_input_ = 0;
  /// Null: not bounded.
  CallerMemory* memory_;
  core::HolderId holder_ = 0;
  /// Memory of the request that is being served, and of its answer as far as it is not unsent yet.
  std::size_t request_bytes_ = 0;
  std::size_t answer_bytes_ = 0;
  std::optional<http::RequestParser> parser_;
  std::unique_ptr<Exchange> exchange_;
  std::string write_buffer_;
  std::string unsent_;
  /// A request is being served.
  bool is_answering_ = false;
  bool is_head_request_ = false;
  bool is_http_1_0_ = false;
  bool keep_alive_ = true;
  bool is_chunked_ = false;
  bool is_closed_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  /// The timer has expired once and waits for bytes that had arrived by then.
  bool is_overdue_ = false;
  /// Bytes were sent since the timer was armed.
  bool has_sent_bytes_ = false;
  /// Bytes of write_buffer_ that were sent.
  std::size_t sent_bytes_ = 0;
  /// Close the connection after all bytes are written.
  bool close_after_write_ = false;
  bool is_lingering_ = false;
  bool has_sent_continue_ = false;
  bool has_answered_ = false;
};

}  // namespace rattanramp::gateway
