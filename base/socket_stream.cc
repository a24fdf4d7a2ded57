#include "base/socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace rattanramp {
namespace {

// Largest head of a message, and longest line between the chunks of its body. The library bounds
// neither the number of lines nor, before it has read them, their length.
constexpr std::size_t kMaxLineBytes = 64 * 1024;

}  // namespace

bool WaitForEvent(int socket, std::int16_t events, int timeout_ms) {
  pollfd entry{socket, events, 0};
  int result = 0;
  do {
    result = poll(&entry, 1, timeout_ms);
  } while (result < 0 && errno == EINTR);
  return result > 0 && (entry.revents & events) != 0;
}

int TimeoutMs(time_t seconds, time_t microseconds) {
  return static_cast<int>(seconds * 1000 + microseconds / 1000);
}

SocketStream::SocketStream(int socket, int read_timeout_ms, int write_timeout_ms)
    : socket_(socket), read_timeout_ms_(read_timeout_ms), write_timeout_ms_(write_timeout_ms) {}

void SocketStream::BeginHead() {
  is_in_head_ = true;
  line_bytes_ = 0;
  ended_lines_ = 0;
}

bool SocketStream::is_readable() const {
  return read_position_ < buffered_bytes_ || WaitForEvent(socket_, POLLIN, read_timeout_ms_);
}

bool SocketStream::is_writable() const { return WaitForEvent(socket_, POLLOUT, write_timeout_ms_); }

ssize_t SocketStream::read(char* data, size_t size) {
  if (line_bytes_ > kMaxLineBytes) {
    return -1;
  }
  if (read_position_ == buffered_bytes_) {
    if (!WaitForEvent(socket_, POLLIN, read_timeout_ms_)) {
      return -1;
    }
    const ssize_t received = Receive(buffer_.data(), buffer_.size());
    if (received <= 0) {
      return received;
    }
    read_position_ = 0;
    buffered_bytes_ = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(size, buffered_bytes_ - read_position_);
  std::copy_n(buffer_.data() + read_position_, count, data);
  read_position_ += count;
  CountLineBytes(data, count);
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* data, size_t size) {
  if (!WaitForEvent(socket_, POLLOUT, write_timeout_ms_)) {
    return -1;
  }
  ssize_t sent = 0;
  do {
    sent = send(socket_, data, size, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent;
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip = "unknown";
  port = 0;
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip = "unknown";
  port = 0;
}

// The library reads lines byte by byte, and bodies in larger pieces.
void SocketStream::CountLineBytes(const char* data, std::size_t count) {
  const bool is_line_end = count == 1 && data[0] == '\n';
  if (!is_in_head_) {
    line_bytes_ = count > 1 || is_line_end ? 0 : line_bytes_ + 1;
    return;
  }
  line_bytes_ += count;
  if (is_line_end) {
    ++ended_lines_;
  } else if (count > 1 || data[0] != '\r') {
    ended_lines_ = 0;
  }
  if (ended_lines_ == 2) {
    is_in_head_ = false;
    line_bytes_ = 0;
  }
}

ssize_t SocketStream::Receive(char* data, std::size_t size) const {
  ssize_t received = 0;
  do {
    received = recv(socket_, data, size, 0);
  } while (received < 0 && errno == EINTR);
  return received;
}

}  // namespace rattanramp
