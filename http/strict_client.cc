#include "http/strict_client.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/http_server.h"
#include "base/socket_stream.h"
#include "http/parser.h"

namespace rattanramp::http {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr int kDefaultPort = 80;
constexpr int kMaxInformationalResponses = 8;

/// Passes on the head of the response only when all of it has been read and is well-formed.
class ResponseStream final : public httplib::Stream {
 public:
  explicit ResponseStream(SocketStream& socket) : socket_(socket) {}

  bool is_readable() const override {
    return position_ < received_.size() || socket_.is_readable();
  }
  bool is_writable() const override { return socket_.is_writable(); }

  ssize_t read(char* data, size_t size) override {
    if (!has_head_ && !ReadHead()) {
      return -1;
    }
    if (position_ == received_.size()) {
      return socket_.read(data, size);
    }
    const std::size_t count = received_.copy(data, size, position_);
    position_ += count;
    return static_cast<ssize_t>(count);
  }
  ssize_t write(const char* data, size_t size) override { return socket_.write(data, size); }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    socket_.get_remote_ip_and_port(ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    socket_.get_local_ip_and_port(ip, port);
  }
  socket_t socket() const override { return socket_.socket(); }

 private:
  /// Reads until the head of the final response is complete. Returns false if it is malformed, or
  /// if the connection ends before.
  bool ReadHead() {
    ResponseParser parser(false);
    std::size_t parsed = 0;
    int informational_responses = 0;
    while (true) {
      const Result<std::size_t> consumed = parser.Feed(std::string_view(received_).substr(parsed));
      if (!consumed) {
        return false;
      }
      parsed += consumed.value();
      if (!parser.has_head()) {
        if (received_.size() - parsed > kMaxHeadBytes || !Receive()) {
          return false;
        }
        continue;
      }
      if (parser.head().status >= 200) {
        has_head_ = HasKnownEncoding(parser.head());
        return has_head_;
      }
      if (++informational_responses > kMaxInformationalResponses) {
        return false;
      }
      position_ = parsed;
      parser = ResponseParser(false);
    }
  }

  bool Receive() {
    char bytes[4096];
    const ssize_t size = socket_.read(bytes, sizeof(bytes));
    received_.append(bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return size > 0;
  }

  /// The library does not remove the framing of chunks if there are other transfer codings.
  static bool HasKnownEncoding(const ResponseHead& head) {
    return std::all_of(head.fields.begin(), head.fields.end(), [](const Field& field) {
      return !EqualsIgnoreCase(field.name, "Transfer-Encoding") ||
             EqualsIgnoreCase(field.value, "chunked");
    });
  }

  SocketStream& socket_;
  /// Bytes that were read up to the end of the head, and body bytes that came with them.
  std::string received_;
  /// Bytes of `received_` that were passed on or skipped.
  std::size_t position_ = 0;
  bool has_head_ = false;
};

}  // namespace

std::unique_ptr<StrictClient> StrictClient::Create(const std::string& url) {
  const std::string address = url.starts_with(kScheme) ? url.substr(kScheme.size()) : url;
  const Result<HostPort> parsed = ParseHostPort(address);
  HostPort server = parsed ? parsed.value() : HostPort{address, kDefaultPort};
  if (server.host.starts_with('[') && server.host.ends_with(']')) {
    server.host = server.host.substr(1, server.host.size() - 2);  // IPv6
  }
  return std::unique_ptr<StrictClient>(new StrictClient(server.host, server.port));
}

bool StrictClient::process_socket(const Socket& socket,
                                  std::function<bool(httplib::Stream& stream)> exchange) {
  SocketStream stream(socket.sock, TimeoutMs(read_timeout_sec_, read_timeout_usec_),
                      TimeoutMs(write_timeout_sec_, write_timeout_usec_));
  ResponseStream checked(stream);
  return exchange(checked);
}

}  // namespace rattanramp::http
