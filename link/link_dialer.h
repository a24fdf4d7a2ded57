// Maintains one link to an address: dials it and, after a failure, dials it again with jittered
// exponential back-off.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "link/event_loop.h"
#include "link/link.h"

namespace rattanramp::link {

class LinkDialer : public std::enable_shared_from_this<LinkDialer> {
 public:
  /// Error: kInvalidArgument when the address is not HOST:PORT with a numeric IP address.
  static Result<std::shared_ptr<LinkDialer>> Create(EventLoop& loop, const std::string& address,
                                                    const LinkOptions& options,
                                                    std::weak_ptr<LinkHandler> handler);

  /// Starts dialling; may be called from any thread.
  void Start();
  /// Closes the link and stops dialling; may be called from any thread.
  void Stop();

  const std::string& address() const { return address_; }

 private:
  LinkDialer(EventLoop& loop, std::string address, asio::ip::tcp::endpoint endpoint,
             LinkOptions options, std::weak_ptr<LinkHandler> handler);
  void Dial();
  void ScheduleRedial();

  EventLoop& loop_;
  std::string address_;
  asio::ip::tcp::endpoint endpoint_;
  LinkOptions options_;
  std::weak_ptr<LinkHandler> handler_;
  asio::steady_timer timer_;
  std::shared_ptr<Link> link_;
  std::minstd_rand jitter_random_;
  Milliseconds back_off_;
  bool stopped_ = false;
};

}  // namespace rattanramp::link
