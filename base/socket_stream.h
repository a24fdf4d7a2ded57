// httplib stream over a connected socket. Replaces the socket stream of httplib, which is not part
// of its public interface.
#pragma once

#include <httplib.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace rattanramp {

/// Waits until one of the events occurs on the socket. Returns false after the timeout.
bool WaitForEvent(int socket, std::int16_t events, int timeout_ms);

/// Timeout of httplib's settings in ms.
int TimeoutMs(time_t seconds, time_t microseconds);

class SocketStream : public httplib::Stream {
 public:
  SocketStream(int socket, int read_timeout_ms, int write_timeout_ms);

  /// The bytes that follow are the head of a message, which is limited to 64 KiB.
  void BeginHead();

  bool is_readable() const override;
  bool is_writable() const override;
  /// Returns 0 at the end of input, and -1 after an error, a timeout or a line that is too long.
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  static constexpr std::size_t kReadBufferBytes = 16 * 1024;

  void CountLineBytes(const char* data, std::size_t count);
  ssize_t Receive(char* data, std::size_t size) const;

  int socket_;
  int read_timeout_ms_;
  int write_timeout_ms_;
  std::array<char, kReadBufferBytes> buffer_{};
  std::size_t read_position_ = 0;
  std::size_t buffered_bytes_ = 0;
  bool is_in_head_ = false;
  /// Bytes of the head, or of the line that has begun.
  std::size_t line_bytes_ = 0;
  /// Ends of lines without other bytes between them.
  int ended_lines_ = 0;
};

}  // namespace rattanramp
