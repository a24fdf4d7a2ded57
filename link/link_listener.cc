#include "link/link_listener.h"

#include <utility>

#include "base/http_server.h"

namespace rattanramp::link {

Result<std::shared_ptr<LinkListener>> LinkListener::Create(EventLoop& loop,
                                                           const std::string& address,
                                                           const LinkOptions& options,
                                                           std::weak_ptr<LinkHandler> handler) {
  BOOST_OUTCOME_TRY(parsed, ParseHostPort(address));
  std::shared_ptr<LinkListener> listener(new LinkListener(loop, options, std::move(handler)));
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(parsed.host, error);
  if (error) {
    return Error{ErrorKind::kInvalidArgument, "'" + parsed.host + "' is not a numeric IP address",
                 "use a numeric IP address, for example 127.0.0.1:7000"};
  }
  const asio::ip::tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(parsed.port));
  listener->acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    listener->acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    listener->acceptor_.bind(endpoint, error);
  }
  if (!error) {
    listener->acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{ErrorKind::kIo, "cannot listen on " + address + ": " + error.message(),
                 "choose a free port or stop the process that uses it"};
  }
  listener->port_ = listener->acceptor_.local_endpoint().port();
  return listener;
}

LinkListener::LinkListener(EventLoop& loop, LinkOptions options, std::weak_ptr<LinkHandler> handler)
    : loop_(loop), options_(options), handler_(std::move(handler)), acceptor_(loop.context()) {}

void LinkListener::Start() {
  loop_.Post([self = shared_from_this()] { self->Accept(); });
}

void LinkListener::Stop() {
  loop_.Post([self = shared_from_this()] {
    asio::error_code ignored;
    self->acceptor_.close(ignored);
  });
}

void LinkListener::Accept() {
  acceptor_.async_accept([self = shared_from_this()](const asio::error_code& error,
                                                     asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || !self->acceptor_.is_open()) {
      return;
    }
    if (!error) {
      asio::error_code ignored;
      const asio::ip::tcp::endpoint remote = socket.remote_endpoint(ignored);
      const std::string address =
          remote.address().to_string() + ":" + std::to_string(remote.port());
      std::make_shared<Link>(std::move(socket), self->options_, self->handler_, address)->Start();
    }
    self->Accept();
  });
}

}  // namespace rattanramp::link
