#include "gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "wire/gateway_codec.h"

namespace rattanramp::gateway {
namespace {

// Delay before the start or end of a generation is reported. Further starts and ends within the
// delay share the datagram.
constexpr Milliseconds kReportDelay{1};

// Interval of reports on the progress of streams and the load of plain services. Plain requests
// start and end faster than any report; for that reason placement chooses at random between
// servers.
constexpr Milliseconds kReportInterval{200};

// Interval at which unchanged load is reported again, so that a lost datagram has only a short
// effect.
constexpr Milliseconds kRepeatInterval{400};

// A peer without a report for this long counts as stopped, and its load is removed. The time covers
// four repeated reports lost in a row.
constexpr Milliseconds kPeerTimeout{1'700};

bool IsSame(const std::vector<PeerLoad>& a, const std::vector<PeerLoad>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const PeerLoad& x, const PeerLoad& y) {
                      return x.key == y.key && x.load.running == y.load.running &&
                             x.load.reserved_tokens == y.load.reserved_tokens &&
                             x.load.prefill_tokens == y.load.prefill_tokens;
                    });
}

}  // namespace

Result<std::unique_ptr<LoadExchange>> LoadExchange::Create(
    asio::io_context& context, const Clock& clock, Fleet& fleet, const Dispatcher& dispatcher,
    std::string own_name, const asio::ip::udp::endpoint& listen, std::function<void()> on_change,
    std::function<void()> on_unknown_peer) {
  std::unique_ptr<LoadExchange> exchange(new LoadExchange(context, clock, fleet, dispatcher,
                                                          std::move(own_name), std::move(on_change),
                                                          std::move(on_unknown_peer)));
  std::error_code error;
  exchange->socket_.open(asio::ip::udp::v4(), error);
  if (!error) {
    exchange->socket_.bind(listen, error);
  }
  if (!error) {
    exchange->socket_.non_blocking(true, error);
  }
  if (error) {
    return Error{ErrorKind::kIo,
                 "UDP port " + std::to_string(listen.port()) + ": " + error.message(),
                 "set /peer_ports to a free port"};
  }
  // The sequence starts at the current time, so that the reports of a restarted process are not
  // dropped as late datagrams of its predecessor.
  exchange->sequence_ = clock.unix_ms();
  exchange->Receive();
  exchange->Tick();
  return exchange;
}

LoadExchange::LoadExchange(asio::io_context& context, const Clock& clock, Fleet& fleet,
                           const Dispatcher& dispatcher, std::string own_name,
                           std::function<void()> on_change, std::function<void()> on_unknown_peer)
    : clock_(clock),
      fleet_(fleet),
      dispatcher_(dispatcher),
      own_name_(std::move(own_name)),
      on_change_(std::move(on_change)),
      on_unknown_peer_(std::move(on_unknown_peer)),
      socket_(context),
      timer_(context),
      report_timer_(context) {}

void LoadExchange::SetPeers(std::map<std::string, asio::ip::udp::endpoint> peers) {
  peers_ = std::move(peers);
}

void LoadExchange::ScheduleReport() {
  if (std::exchange(is_report_scheduled_, true)) {
    return;
  }
  report_timer_.expires_after(kReportDelay);
  report_timer_.async_wait([this](const std::error_code& error) {
    is_report_scheduled_ = false;
    if (!error && !is_stopped_) {
      Send();
    }
  });
}

void LoadExchange::Stop() {
  is_stopped_ = true;
  report_timer_.cancel();
  timer_.cancel();
  std::error_code ignored;  // the descriptor is released even if close fails
  socket_.close(ignored);
}

void LoadExchange::Receive() {
  socket_.async_receive_from(asio::buffer(datagram_), sender_,
                             [this](const std::error_code& error, std::size_t size) {
                               if (is_stopped_) {
                                 return;
                               }
                               if (!error) {
                                 OnDatagram(size);
                               }
                               Receive();
                             });
}

void LoadExchange::OnDatagram(std::size_t size) {
  const Result<wire::GatewayLoad> load =
      wire::DecodeGatewayLoad(std::string_view(datagram_.data(), size));
  if (!load) {
    Log(LogLevel::kWarning, "load_report_unreadable",
        {{"sender", sender_.address().to_string()}, {"error", load.error().message}});
    return;
  }
  const wire::GatewayLoad& report = load.value();
  if (report.gateway == own_name_) {
    return;
  }
  if (!peers_.contains(report.gateway)) {
    on_unknown_peer_();
  }
  LastReport& last_report = last_reports_[report.gateway];
  if (report.sequence <= last_report.sequence) {
    return;
  }
  last_report = {report.sequence, clock_.now()};
  PeerState state;
  state.loads.reserve(report.upstreams.size());
  for (const wire::GatewayUpstreamLoad& upstream : report.upstreams) {
    state.loads.push_back({upstream.upstream_key,
                           {upstream.running, upstream.reserved_tokens, upstream.prefill_tokens}});
  }
  for (const auto& [service, tokens] : report.waiting_tokens) {
    state.waiting_tokens[service].on_time = tokens;
  }
  for (const auto& [service, tokens] : report.late_waiting_tokens) {
    state.waiting_tokens[service].late = tokens;
  }
  state.excluded = report.withheld_upstreams;
  fleet_.SetPeerState(report.gateway, std::move(state));
  on_change_();
}

void LoadExchange::Tick() {
  const TimePoint now = clock_.now();
  fleet_.ExpireExclusions(now);
  for (auto last_report = last_reports_.begin(); last_report != last_reports_.end();) {
    if (now - last_report->second.received > kPeerTimeout) {
      Log(LogLevel::kInfo, "peer_lost",
          {{"peer", last_report->first}, {"silent_ms", ToMs(now - last_report->second.received)}});
      fleet_.RemovePeer(last_report->first);
      last_report = last_reports_.erase(last_report);
      on_change_();
    } else {
      ++last_report;
    }
  }
  Send();
  timer_.expires_after(kReportInterval);
  timer_.async_wait([this](const std::error_code& error) {
    if (!error && !is_stopped_) {
      Tick();
    }
  });
}

void LoadExchange::Send() {
  const TimePoint now = clock_.now();
  std::vector<PeerLoad> loads = fleet_.LocalLoad();
  std::vector<std::int64_t> excluded = fleet_.LocalExclusions();
  std::map<std::string, std::int64_t> waiting;
  std::map<std::string, std::int64_t> late;
  for (const auto& [service, tokens] : dispatcher_.waiting_tokens_by_service()) {
    waiting[service] = tokens.on_time;
    late[service] = tokens.late;
  }
  if (IsSame(loads, last_sent_) && waiting == last_waiting_ && late == last_late_ &&
      excluded == last_excluded_ && now - last_sent_at_ < kRepeatInterval) {
    return;
  }
  wire::GatewayLoad report;
  report.gateway = own_name_;
  report.sequence = ++sequence_;
  for (const PeerLoad& load : loads) {
    wire::GatewayUpstreamLoad upstream;
    upstream.upstream_key = load.key;
    upstream.running = load.load.running;
    upstream.reserved_tokens = load.load.reserved_tokens;
    upstream.prefill_tokens = load.load.prefill_tokens;
    report.upstreams.push_back(upstream);
  }
  report.waiting_tokens = waiting;
  report.late_waiting_tokens = late;
  report.withheld_upstreams = excluded;
  const std::string datagram = wire::EncodeGatewayLoad(report);
  for (const auto& [name, endpoint] : peers_) {
    // A failed send is treated as a lost datagram; the next report follows within kRepeatInterval.
    std::error_code ignored;
    socket_.send_to(asio::buffer(datagram), endpoint, 0, ignored);
  }
  last_sent_ = std::move(loads);
  last_waiting_ = std::move(waiting);
  last_late_ = std::move(late);
  last_excluded_ = std::move(excluded);
  last_sent_at_ = now;
}

}  // namespace rattanramp::gateway
