// One TCP connection between two rattanramp processes: handshake, frames, heartbeats and the
// timeout after which a connection without incoming frames is closed.
#pragma once

#include <array>
#include <asio.hpp>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "wire/frame_codec.h"

namespace rattanramp::link {

struct LinkOptions {
  Milliseconds heartbeat{500};
  /// The link is closed when no frame has been received for this time. Also the timeout of a
  /// connection attempt and TCP_USER_TIMEOUT.
  Milliseconds silence_timeout{2000};
  /// Upper bound of the bytes queued for sending. A frame that would exceed it is refused.
  std::size_t max_queued_bytes = 64 * 1024 * 1024;
  /// Bounds of the back-off before a failed link is dialled again.
  Milliseconds redial_min{50};
  Milliseconds redial_max{2000};
};

class Link;

/// Receives the events of links. All calls are made on the event loop's thread.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  /// Hello frame to send on a new link.
  virtual wire::Hello LocalHello() = 0;
  /// Settings version to advertise in heartbeats.
  virtual std::int64_t SettingsVersion() = 0;
  /// Called when the handshake is complete: the peer's Hello has been accepted.
  virtual void OnUp(const std::shared_ptr<Link>& link) = 0;
  /// Called with every frame except Hello, including heartbeats.
  virtual void OnFrame(const std::shared_ptr<Link>& link, wire::Frame frame) = 0;
  /// Called once when the link closes, only if OnUp was called before.
  virtual void OnDown(const std::shared_ptr<Link>& link, const Error& reason) = 0;
};

class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::ip::tcp::socket socket, LinkOptions options, std::weak_ptr<LinkHandler> handler,
       std::string remote_address);

  /// Sends Hello and starts reading and heartbeats. Must be called on the loop's thread.
  void Start();

  /// Queues a frame; may be called from any thread. Returns kOverloaded when the queue is full,
  /// kUnavailable when the link is down, kInvalidArgument when the frame cannot be encoded. Success
  /// means only that the frame was queued: it may not reach the peer if the link closes.
  Result<void> Send(const wire::Frame& frame);

  /// Closes the link; may be called from any thread.
  void Close(const std::string& reason);

  /// Hello frame of the peer; valid after OnUp.
  const wire::Hello& peer() const { return peer_; }
  /// Address that was dialled, or the remote address of an accepted connection.
  const std::string& remote_address() const { return remote_address_; }
  bool is_up() const { return up_.load(); }
  bool is_closed() const { return closed_.load(); }

  /// Sets a function that is called when the link has closed, whether or not it was up. Used by the
  /// dialer.
  void SetClosedCallback(std::function<void()> callback) { closed_callback_ = std::move(callback); }

 private:
  void ReadLength();
  void ReadPayload(std::size_t length);
  void HandleFrame(wire::Frame frame);
  void WriteNext();
  void ScheduleHeartbeat();
  void Fail(const Error& reason);

  asio::ip::tcp::socket socket_;
  LinkOptions options_;
  std::weak_ptr<LinkHandler> handler_;
  std::string remote_address_;
  asio::steady_timer heartbeat_timer_;
  TimePoint last_received_;
  std::int64_t heartbeat_sequence_ = 0;
  wire::Hello peer_;
  std::array<std::uint8_t, wire::kLengthPrefixBytes> length_{};
  std::vector<std::uint8_t> payload_;
  std::deque<std::string> outbound_;
  bool writing_ = false;
  std::atomic<std::size_t> queued_bytes_{0};
  std::atomic<bool> up_{false};
  std::atomic<bool> closed_{false};
  std::function<void()> closed_callback_;
};

/// Sets TCP_NODELAY, keepalive and TCP_USER_TIMEOUT on a connected socket.
void ConfigureSocket(asio::ip::tcp::socket& socket, Milliseconds user_timeout);

}  // namespace rattanramp::link
