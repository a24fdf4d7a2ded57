#include "agent/lock_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

#include "base/http_server.h"

namespace rattanramp::agent {

Result<std::unique_ptr<LockPort>> LockPort::Acquire(const std::string& address) {
  BOOST_OUTCOME_TRY(parsed, ParseHostPort(address));
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(parsed.port));
  if (inet_pton(AF_INET, parsed.host.c_str(), &endpoint.sin_addr) != 1) {
    return Error{ErrorKind::kInvalidArgument, "listen.lock has no IPv4 address: '" + address + "'",
                 "use an IPv4 address, for example 127.0.0.1:7100"};
  }
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (handle < 0) {
    return Error{ErrorKind::kIo, "cannot create a socket for the lock port",
                 "check the limit on open files"};
  }
  std::unique_ptr<LockPort> lock(new LockPort(handle));
  // SO_REUSEADDR and SO_REUSEPORT are not set, so a second bind fails as long as the first process
  // exists, even while it is paused. Nothing connects to the port, so no socket in TIME_WAIT delays
  // a restart.
  if (bind(handle, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0 ||
      listen(handle, 1) != 0) {
    const int code = errno;
    if (code == EADDRINUSE) {
      return Error{ErrorKind::kConflict,
                   "lock port " + address + " is in use: another agent serves this upstream",
                   "stop the other rattanramp-agent; a paused process also keeps the port in use"};
    }
    return Error{
        ErrorKind::kIo,
        "cannot bind the lock port " + address + ": " + std::system_category().message(code),
        "choose a local address in listen.lock"};
  }
  return lock;
}

LockPort::~LockPort() { close(socket_); }

}  // namespace rattanramp::agent
