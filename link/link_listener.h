// Accepts links from other rattanramp processes.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "link/event_loop.h"
#include "link/link.h"

namespace rattanramp::link {

class LinkListener : public std::enable_shared_from_this<LinkListener> {
 public:
  /// Binds the address immediately. Errors: kInvalidArgument (invalid address), kIo (for example
  /// port in use).
  static Result<std::shared_ptr<LinkListener>> Create(EventLoop& loop, const std::string& address,
                                                      const LinkOptions& options,
                                                      std::weak_ptr<LinkHandler> handler);

  void Start();
  /// Stops accepting; open links stay open.
  void Stop();
  int port() const { return port_; }

 private:
  LinkListener(EventLoop& loop, LinkOptions options, std::weak_ptr<LinkHandler> handler);
  void Accept();

  EventLoop& loop_;
  LinkOptions options_;
  std::weak_ptr<LinkHandler> handler_;
  asio::ip::tcp::acceptor acceptor_;
  int port_ = 0;
};

}  // namespace rattanramp::link
