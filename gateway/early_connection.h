// Connects to a decode engine while its prompt is read, so that an engine that has ended is found
// before the prompt waits for it.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "gateway/fleet.h"

namespace rattanramp::gateway {

class EarlyConnection {
 public:
  /// Null if the upstream has an idle connection: it is open unless the upstream has closed it.
  /// on_failure: called once if the connection cannot be made; may destroy the object. A connection
  /// that was made becomes an idle one of the upstream.
  static std::unique_ptr<EarlyConnection> Start(asio::io_context& context, const Clock& clock,
                                                std::shared_ptr<Upstream> upstream,
                                                std::function<void()> on_failure);
  /// Whether a sound engine would have accepted the connection by now.
  bool IsOverdue(TimePoint now) const { return connection_ && now - started_ >= kUsualConnectTime; }

  /// Closes the connection if it has not been made yet.
  ~EarlyConnection();
  EarlyConnection(const EarlyConnection&) = delete;
  EarlyConnection& operator=(const EarlyConnection&) = delete;

 private:
  /// Longest time until a sound engine accepts: a few ms on the network, and its event loop.
  static constexpr Milliseconds kUsualConnectTime{60};

  EarlyConnection(const Clock& clock, std::shared_ptr<Upstream> upstream,
                  std::function<void()> on_failure);

  void OnEnd(bool is_open);

  const Clock& clock_;
  std::shared_ptr<Upstream> upstream_;
  std::function<void()> on_failure_;
  TimePoint started_;
  /// Null once the connection is made or has failed.
  std::shared_ptr<http::ClientConnection> connection_;
};

}  // namespace rattanramp::gateway
