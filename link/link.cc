#include "link/link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace rattanramp::link {

Link::Link(asio::ip::tcp::socket socket, LinkOptions options, std::weak_ptr<LinkHandler> handler,
           std::string remote_address)
    : socket_(std::move(socket)),
      options_(options),
      handler_(std::move(handler)),
      remote_address_(std::move(remote_address)),
      heartbeat_timer_(socket_.get_executor()),
      last_received_(DefaultClock().now()) {}

void Link::Start() {
  const std::shared_ptr<LinkHandler> handler = handler_.lock();
  if (!handler) {
    Fail({ErrorKind::kUnavailable, "process is shutting down", "none"});
    return;
  }
  ConfigureSocket(socket_, options_.silence_timeout);
  wire::Frame frame;
  frame.__set_hello(handler->LocalHello());
  const Result<void> sent = Send(frame);
  if (!sent) {
    Fail(sent.error());
    return;
  }
  ReadLength();
  ScheduleHeartbeat();
}

Result<void> Link::Send(const wire::Frame& frame) {
  if (closed_.load()) {
    return Error{ErrorKind::kUnavailable, "link to " + remote_address_ + " is down",
                 "wait until the link is re-established or use another peer"};
  }
  BOOST_OUTCOME_TRY(encoded, wire::EncodeFrame(frame));
  if (queued_bytes_.load() + encoded.size() > options_.max_queued_bytes) {
    return Error{ErrorKind::kOverloaded, "send queue to " + remote_address_ + " is full",
                 "retry later or use another peer"};
  }
  queued_bytes_.fetch_add(encoded.size());
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), data = std::move(encoded)]() mutable {
               if (self->closed_.load()) {
                 return;
               }
               self->outbound_.push_back(std::move(data));
               if (!self->writing_) {
                 self->WriteNext();
               }
             });
  return Success();
}

void Link::Close(const std::string& reason) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), reason] {
    self->Fail({ErrorKind::kUnavailable, reason, "none"});
  });
}

void Link::ReadLength() {
  asio::async_read(socket_, asio::buffer(length_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (error) {
                       self->Fail({ErrorKind::kIo, "link read failed: " + error.message(),
                                   "redialled automatically"});
                       return;
                     }
                     const Result<std::size_t> length = wire::DecodeLength(self->length_);
                     if (!length) {
                       self->Fail(length.error());
                       return;
                     }
                     self->ReadPayload(length.value());
                   });
}

void Link::ReadPayload(std::size_t length) {
  payload_.resize(length);
  asio::async_read(socket_, asio::buffer(payload_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (error) {
                       self->Fail({ErrorKind::kIo, "link read failed: " + error.message(),
                                   "redialled automatically"});
                       return;
                     }
                     Result<wire::Frame> frame = wire::DecodeFrame(self->payload_);
                     if (!frame) {
                       self->Fail(frame.error());
                       return;
                     }
                     self->last_received_ = DefaultClock().now();
                     self->HandleFrame(std::move(frame.value()));
                     if (!self->closed_.load()) {
                       self->ReadLength();
                     }
                   });
}

void Link::HandleFrame(wire::Frame frame) {
  const std::shared_ptr<LinkHandler> handler = handler_.lock();
  if (!handler) {
    Fail({ErrorKind::kUnavailable, "process is shutting down", "none"});
    return;
  }
  if (frame.__isset.hello) {
    if (up_.load()) {
      Fail({ErrorKind::kProtocol, "peer sent a second Hello on the same link",
            "check the peer's version"});
      return;
    }
    if (frame.hello.protocol_version != wire::kProtocolVersion) {
      Fail({ErrorKind::kProtocol,
            "peer uses protocol version " + std::to_string(frame.hello.protocol_version),
            "run versions of rattanramp with the same protocol version"});
      return;
    }
    peer_ = frame.hello;
    up_.store(true);
    handler->OnUp(shared_from_this());
    return;
  }
  if (!up_.load()) {
    Fail({ErrorKind::kProtocol, "peer sent another frame before Hello",
          "check that the peer is a rattanramp process"});
    return;
  }
  handler->OnFrame(shared_from_this(), std::move(frame));
}

void Link::WriteNext() {
  writing_ = true;
  asio::async_write(socket_, asio::buffer(outbound_.front()),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      if (error) {
                        self->Fail({ErrorKind::kIo, "link write failed: " + error.message(),
                                    "redialled automatically"});
                        return;
                      }
                      self->queued_bytes_.fetch_sub(self->outbound_.front().size());
                      self->outbound_.pop_front();
                      if (self->outbound_.empty()) {
                        self->writing_ = false;
                        return;
                      }
                      self->WriteNext();
                    });
}

void Link::ScheduleHeartbeat() {
  heartbeat_timer_.expires_after(options_.heartbeat);
  heartbeat_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->closed_.load()) {
      return;
    }
    const Duration silence = DefaultClock().now() - self->last_received_;
    if (silence > self->options_.silence_timeout) {
      self->Fail({ErrorKind::kTimeout, "no frame received within the silence timeout",
                  "redialled automatically"});
      return;
    }
    const std::shared_ptr<LinkHandler> handler = self->handler_.lock();
    if (handler && self->up_.load()) {
      wire::Frame frame;
      wire::Heartbeat heartbeat;
      heartbeat.sequence = ++self->heartbeat_sequence_;
      heartbeat.settings_version = handler->SettingsVersion();
      frame.__set_heartbeat(heartbeat);
      // The heartbeat is not sent when the queue is full. If the queue stays full, the peer
      // receives no frame and closes the link after its silence timeout.
      static_cast<void>(self->Send(frame));
    }
    self->ScheduleHeartbeat();
  });
}

void Link::Fail(const Error& reason) {
  if (closed_.exchange(true)) {
    return;
  }
  asio::error_code ignored;
  heartbeat_timer_.cancel();
  if (reason.kind == ErrorKind::kTimeout) {
    // The peer may be behind a partition. Frames that were sent to it must not arrive after it.
    const linger reset_on_close = {1, 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
  } else {
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }
  socket_.close(ignored);
  const std::shared_ptr<LinkHandler> handler = handler_.lock();
  if (up_.exchange(false) && handler) {
    handler->OnDown(shared_from_this(), reason);
  }
  if (closed_callback_) {
    closed_callback_();
    closed_callback_ = nullptr;
  }
}

void ConfigureSocket(asio::ip::tcp::socket& socket, Milliseconds user_timeout) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int timeout_ms = static_cast<int>(user_timeout.count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
}

}  // namespace rattanramp::link
