#include "link/link_dialer.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/http_server.h"
#include "base/ids.h"

namespace rattanramp::link {

Result<std::shared_ptr<LinkDialer>> LinkDialer::Create(EventLoop& loop, const std::string& address,
                                                       const LinkOptions& options,
                                                       std::weak_ptr<LinkHandler> handler) {
  BOOST_OUTCOME_TRY(parsed, ParseHostPort(address));
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(parsed.host, error);
  if (error) {
    return Error{ErrorKind::kInvalidArgument, "'" + parsed.host + "' is not a numeric IP address",
                 "use a numeric IP address, for example 127.0.0.1:7000"};
  }
  const asio::ip::tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(parsed.port));
  return std::shared_ptr<LinkDialer>(
      new LinkDialer(loop, address, endpoint, options, std::move(handler)));
}

LinkDialer::LinkDialer(EventLoop& loop, std::string address, asio::ip::tcp::endpoint endpoint,
                       LinkOptions options, std::weak_ptr<LinkHandler> handler)
    : loop_(loop),
      address_(std::move(address)),
      endpoint_(std::move(endpoint)),
      options_(options),
      handler_(std::move(handler)),
      timer_(loop.context()),
      jitter_random_(static_cast<std::uint32_t>(
          Hash64(address_, static_cast<std::uint64_t>(NewIncarnation())))),
      back_off_(options.redial_min) {}

void LinkDialer::Start() {
  loop_.Post([self = shared_from_this()] { self->Dial(); });
}

void LinkDialer::Stop() {
  loop_.Post([self = shared_from_this()] {
    self->stopped_ = true;
    self->timer_.cancel();
    if (self->link_) {
      self->link_->Close("dialer stopped");
      self->link_.reset();
    }
  });
}

void LinkDialer::Dial() {
  if (stopped_) {
    return;
  }
  std::shared_ptr<asio::ip::tcp::socket> socket =
      std::make_shared<asio::ip::tcp::socket>(loop_.context());
  // A connection attempt that is not answered within silence_timeout is aborted, like a link on
  // which no frame is received for that time.
  timer_.expires_after(options_.silence_timeout);
  timer_.async_wait([socket](const asio::error_code& error) {
    if (!error) {
      asio::error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect(
      endpoint_, [self = shared_from_this(), socket](const asio::error_code& error) {
        self->timer_.cancel();
        if (self->stopped_) {
          return;
        }
        if (error) {
          self->ScheduleRedial();
          return;
        }
        self->link_ = std::make_shared<Link>(std::move(*socket), self->options_, self->handler_,
                                             self->address_);
        const TimePoint dialled_at = DefaultClock().now();
        self->link_->SetClosedCallback([weak = self->weak_from_this(), dialled_at] {
          const std::shared_ptr<LinkDialer> dialer = weak.lock();
          if (!dialer) {
            return;
          }
          dialer->link_.reset();
          // A link that was open for longer than silence_timeout is dialled again after the
          // minimum back-off. After a link that failed sooner, the back-off is not reset.
          if (DefaultClock().now() - dialled_at > dialer->options_.silence_timeout) {
            dialer->back_off_ = dialer->options_.redial_min;
          }
          dialer->ScheduleRedial();
        });
        self->link_->Start();
      });
}

void LinkDialer::ScheduleRedial() {
  if (stopped_) {
    return;
  }
  std::uniform_real_distribution<double> jitter_factor(0.5, 1.0);
  const double wait_ms = static_cast<double>(back_off_.count()) * jitter_factor(jitter_random_);
  back_off_ = std::min(back_off_ * 2, options_.redial_max);
  timer_.expires_after(Milliseconds(static_cast<std::int64_t>(wait_ms)));
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->Dial();
    }
  });
}

}  // namespace rattanramp::link
