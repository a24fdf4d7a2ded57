#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace rattanramp::testing {

int FreePort() {
  constexpr int kFirstPort = 20'000;
  constexpr int kPortCount = 10'000;
  constexpr int kPidStride = 97;
  static int next = getpid() * kPidStride;
  for (int attempt = 0; attempt < kPortCount; ++attempt) {
    const int port = kFirstPort + (next++ & 0x7FFFFFFF) % kPortCount;
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    // Gateways use their peer port for UDP.
    const int datagram_fd = socket(AF_INET, SOCK_DGRAM, 0);
    const bool is_free =
        bind(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
        bind(datagram_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(socket_fd);
    close(datagram_fd);
    if (is_free) {
      return port;
    }
  }
  std::abort();
}

}  // namespace rattanramp::testing
