#include "gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "wire/gateway_codec.h"

namespace rattanramp::gateway {
namespace {

// Shortest interval of progress reports.
constexpr Milliseconds kMinReportInterval{200};

// Progress reports that a gateway sends and receives per second, each way. Sending to one peer and
// receiving from one cost about 10 us of processor time each on the users' VMs, so that this rate
// is about half a percent of a core.
constexpr std::int64_t kProgressReportsPerSecond = 250;

// Delay of the reports on starts and ends for each peer, and its lower limit.
constexpr std::chrono::microseconds kStartDelayPerPeer{20};
constexpr Milliseconds kMinStartDelay{1};

// Bytes per second that the reports on starts and ends take at most of the sender's link. Under
// load several datagrams' worth of changes then share one.
constexpr std::int64_t kMaxChangeBytesPerSecond = 250'000;

// Bytes of the IP and UDP headers of a datagram.
constexpr std::size_t kHeaderBytes = 28;

// Unchanged load is reported every kRepeatIntervals intervals, and a peer counts as stopped after
// kLostRepeats repeats were lost in a row.
constexpr int kRepeatIntervals = 2;
constexpr int kLostRepeats = 4;
constexpr Milliseconds kPeerTimeoutMargin{100};

// Losses that one report lists at most of this gateway's own and of each that it relays, and the
// time for which an own loss is repeated. A loss takes about 60 bytes.
constexpr std::size_t kMaxReportedLosses = 16;
constexpr Milliseconds kLossReportTime{30'000};

// Longest time between the start of an attempt and its loss that is taken from a report.
constexpr Milliseconds kMaxRunTime{60'000};

// Answered parts that one report lists at most.
constexpr std::size_t kMaxReportedParts = 32;

// Upstreams that one report lists at most as running since their losses.
constexpr std::size_t kMaxReportedUpstreams = 32;

// Gateways that relay the evidence of blocked causes to each peer in a repeat interval.
constexpr std::int64_t kRelays = 8;

bool IsSame(const PeerLoad& a, const PeerLoad& b) {
  return a.key == b.key && a.load.running == b.load.running &&
         a.load.reserved_tokens == b.load.reserved_tokens &&
         a.load.prefill_tokens == b.load.prefill_tokens;
}

bool IsSame(const std::vector<PeerLoad>& a, const std::vector<PeerLoad>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const PeerLoad& x, const PeerLoad& y) { return IsSame(x, y); });
}

bool IsSame(const std::map<std::string, core::WaitingTokens>& a,
            const std::map<std::string, core::WaitingTokens>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
    return x.first == y.first && x.second.on_time == y.second.on_time &&
           x.second.late == y.second.late;
  });
}

bool IsSame(const SentLoad& a, const SentLoad& b) {
  return a.excluded == b.excluded && a.own_losses == b.own_losses && IsSame(a.loads, b.loads) &&
         IsSame(a.waiting, b.waiting);
}

/// Entries of `now` that differ from `before`, and zeros for those that are not in `now`. Both are
/// sorted by key.
std::vector<PeerLoad> ChangedLoads(const std::vector<PeerLoad>& before,
                                   const std::vector<PeerLoad>& now) {
  std::vector<PeerLoad> changed;
  auto old = before.begin();
  for (const PeerLoad& load : now) {
    for (; old != before.end() && old->key < load.key; ++old) {
      changed.push_back({old->key, {}});
    }
    const bool is_known = old != before.end() && old->key == load.key;
    if (!is_known || !IsSame(*old, load)) {
      changed.push_back(load);
    }
    old += is_known ? 1 : 0;
  }
  for (; old != before.end(); ++old) {
    changed.push_back({old->key, {}});
  }
  return changed;
}

wire::GatewayListNews EncodeNews(const core::ListNews& news) {
  wire::GatewayListNews encoded;
  encoded.read_clock_ms = news.read_clock_ms;
  encoded.digest = static_cast<std::int64_t>(news.digest);
  encoded.removed = news.removed;
  for (const core::UpstreamInfo& info : news.changed) {
    wire::GatewayListEntry entry;
    entry.id = info.id;
    entry.service_name = info.service;
    entry.failure_domain = info.failure_domain;
    entry.address = info.address;
    entry.port = info.port;
    entry.stage = static_cast<std::int32_t>(info.stage);
    entry.slots = info.slots;
    entry.draining = info.is_draining;
    entry.started_unix_ms = info.started_unix_ms;
    encoded.changed.push_back(std::move(entry));
  }
  return encoded;
}

/// Empty when a field is outside its range.
std::optional<core::ListNews> DecodeNews(const wire::GatewayListNews& encoded) {
  core::ListNews news;
  news.read_clock_ms = encoded.read_clock_ms;
  news.digest = static_cast<std::uint64_t>(encoded.digest);
  news.removed = encoded.removed;
  for (const wire::GatewayListEntry& entry : encoded.changed) {
    std::error_code address_error;
    asio::ip::make_address_v4(entry.address, address_error);
    if (address_error || entry.port <= 0 || entry.port > 65'535 || entry.stage < 0 ||
        entry.stage > static_cast<std::int32_t>(core::UpstreamStage::kDecode) || entry.slots < 0) {
      return std::nullopt;
    }
    core::UpstreamInfo info;
    info.id = entry.id;
    info.service = entry.service_name;
    info.failure_domain = entry.failure_domain;
    info.address = entry.address;
    info.port = static_cast<std::uint16_t>(entry.port);
    info.stage = static_cast<core::UpstreamStage>(entry.stage);
    info.slots = entry.slots;
    info.is_draining = entry.draining;
    info.started_unix_ms = entry.started_unix_ms;
    news.changed.push_back(std::move(info));
  }
  return news;
}

}  // namespace

ReportPace ReportPaceFor(std::size_t peers) {
  const std::int64_t count = static_cast<std::int64_t>(peers);
  ReportPace pace;
  pace.interval =
      std::max(kMinReportInterval, Milliseconds(1'000 * count / kProgressReportsPerSecond));
  pace.repeat_interval = kRepeatIntervals * pace.interval;
  pace.peer_timeout = kLostRepeats * pace.repeat_interval + kPeerTimeoutMargin;
  pace.start_delay = std::max<Duration>(kMinStartDelay, kStartDelayPerPeer * count);
  return pace;
}

Result<std::unique_ptr<LoadExchange>> LoadExchange::Create(
    asio::io_context& context, const Clock& clock, Fleet& fleet, const Dispatcher& dispatcher,
    core::CrashCauses& crash_causes, std::string own_name, const asio::ip::udp::endpoint& listen,
    std::function<void()> on_change, std::function<void()> on_unknown_peer,
    ListNewsHandler on_list_news) {
  std::unique_ptr<LoadExchange> exchange(
      new LoadExchange(context, clock, fleet, dispatcher, crash_causes, std::move(own_name),
                       std::move(on_change), std::move(on_unknown_peer), std::move(on_list_news)));
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
                           const Dispatcher& dispatcher, core::CrashCauses& crash_causes,
                           std::string own_name, std::function<void()> on_change,
                           std::function<void()> on_unknown_peer, ListNewsHandler on_list_news)
    : clock_(clock),
      fleet_(fleet),
      dispatcher_(dispatcher),
      crash_causes_(crash_causes),
      own_name_(std::move(own_name)),
      on_change_(std::move(on_change)),
      on_unknown_peer_(std::move(on_unknown_peer)),
      on_list_news_(std::move(on_list_news)),
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
  report_timer_.expires_after(
      std::max(ReportPaceFor(peers_.size()).start_delay, next_change_report_ - clock_.now()));
  report_timer_.async_wait([this](const std::error_code& error) {
    is_report_scheduled_ = false;
    if (!error && !is_stopped_) {
      SendChange();
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
  const Result<wire::DecodedGatewayLoad> decoded =
      wire::DecodeGatewayLoad(std::string_view(datagram_.data(), size));
  if (!decoded) {
    Log(LogLevel::kWarning, "load_report_unreadable",
        {{"sender", sender_.address().to_string()}, {"error", decoded.error().message}});
    return;
  }
  const wire::GatewayLoad& report = decoded.value().load;
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
  RecordCrashEvidence(report);
  for (ReportSection* section : sections_) {
    section->Record(report);
  }
  if (decoded.value().is_change) {
    fleet_.ChangePeerState(report.gateway, std::move(state));
  } else {
    fleet_.SetPeerState(report.gateway, std::move(state));
  }
  if (report.__isset.list_news && on_list_news_) {
    const std::optional<core::ListNews> news = DecodeNews(report.list_news);
    if (news) {
      on_list_news_(*news);
    } else {
      Log(LogLevel::kWarning, "list_news_unreadable", {{"peer", report.gateway}});
    }
  }
  on_change_();
}

void LoadExchange::Tick() {
  const TimePoint now = clock_.now();
  const ReportPace pace = ReportPaceFor(std::max(peers_.size(), last_reports_.size()));
  fleet_.ExpireExclusions(now);
  core::RemoveOldLosses(crash_causes_, now);
  for (auto last_report = last_reports_.begin(); last_report != last_reports_.end();) {
    if (now - last_report->second.received > pace.peer_timeout) {
      Log(LogLevel::kInfo, "peer_lost",
          {{"peer", last_report->first}, {"silent_ms", ToMs(now - last_report->second.received)}});
      fleet_.RemovePeer(last_report->first);
      for (ReportSection* section : sections_) {
        section->OnPeerLost(last_report->first);
      }
      last_report = last_reports_.erase(last_report);
      on_change_();
    } else {
      ++last_report;
    }
  }
  // Also repeats what change reports contained, because their datagrams may be lost.
  if (!IsSame(LocalLoad(), last_complete_) || now - last_complete_at_ >= pace.repeat_interval) {
    SendComplete(nullptr);
  }
  timer_.expires_after(pace.interval);
  timer_.async_wait([this](const std::error_code& error) {
    if (!error && !is_stopped_) {
      Tick();
    }
  });
}

void LoadExchange::AnnounceList(const core::ListNews& news) { SendComplete(&news); }

SentLoad LoadExchange::LocalLoad() const {
  SentLoad load;
  load.loads = fleet_.LocalLoad();
  std::sort(load.loads.begin(), load.loads.end(),
            [](const PeerLoad& a, const PeerLoad& b) { return a.key < b.key; });
  load.waiting = dispatcher_.waiting_tokens_by_service();
  load.excluded = fleet_.LocalExclusions();
  load.own_losses = crash_causes_.own_losses;
  return load;
}

wire::GatewayLoad LoadExchange::MakeReport(const std::vector<PeerLoad>& loads) {
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
  for (const auto& [service, tokens] : last_sent_.waiting) {
    report.waiting_tokens[service] = tokens.on_time;
    report.late_waiting_tokens[service] = tokens.late;
  }
  report.withheld_upstreams = last_sent_.excluded;
  return report;
}

void LoadExchange::SendChange() {
  SentLoad load = LocalLoad();
  const bool has_news =
      std::any_of(sections_.begin(), sections_.end(),
                  [](const ReportSection* section) { return section->has_news(); });
  if (!has_news && IsSame(load, last_sent_)) {
    return;
  }
  const std::vector<PeerLoad> changed = ChangedLoads(last_sent_.loads, load.loads);
  const bool has_new_losses = load.own_losses != last_sent_.own_losses;
  last_sent_ = std::move(load);
  wire::GatewayLoad report = MakeReport(changed);
  if (has_new_losses) {
    AddCrashEvidence(report, /*relays=*/false);
  }
  for (ReportSection* section : sections_) {
    section->AddTo(report, /*is_complete=*/false);
  }
  const std::string datagram = wire::EncodeGatewayLoadChange(report);
  const std::size_t bytes = peers_.size() * (datagram.size() + kHeaderBytes);
  next_change_report_ =
      clock_.now() + std::chrono::microseconds(static_cast<std::int64_t>(bytes) * 1'000'000 /
                                               kMaxChangeBytesPerSecond);
  SendToPeers(datagram);
}

void LoadExchange::SendComplete(const core::ListNews* news) {
  last_sent_ = LocalLoad();
  last_complete_ = last_sent_;
  last_complete_at_ = clock_.now();
  wire::GatewayLoad report = MakeReport(last_sent_.loads);
  // Each peer gets relayed evidence from about kRelays gateways in each repeat interval.
  const std::int64_t turns = 1 + static_cast<std::int64_t>(peers_.size()) / kRelays;
  AddCrashEvidence(report, ++complete_reports_ % turns == 0);
  for (ReportSection* section : sections_) {
    section->AddTo(report, /*is_complete=*/true);
  }
  if (news != nullptr) {
    report.__set_list_news(EncodeNews(*news));
  }
  SendToPeers(wire::EncodeGatewayLoad(report));
}

void LoadExchange::AddCrashEvidence(wire::GatewayLoad& report, bool relays) const {
  const TimePoint now = clock_.now();
  std::vector<core::StartLoss> losses;
  // The newest ones are at the end.
  for (auto loss = crash_causes_.losses.rbegin(); loss != crash_causes_.losses.rend(); ++loss) {
    if (losses.size() >= kMaxReportedLosses || now - loss->at > kLossReportTime) {
      break;
    }
    if (loss->is_own) {
      losses.push_back(*loss);
    }
  }
  if (relays) {
    std::size_t relayed = 0;
    std::vector<std::int64_t> blocked;
    for (const auto& [cause, block] : crash_causes_.blocked) {
      blocked.push_back(static_cast<std::int64_t>(cause));
      for (core::StartLoss& loss : core::EvidenceOf(crash_causes_, cause, now)) {
        if (relayed++ < kMaxReportedLosses) {
          losses.push_back(std::move(loss));
        }
      }
    }
    if (!blocked.empty()) {
      report.__set_blocked_causes(blocked);
    }
  }
  std::vector<wire::GatewayStartLoss> encoded;
  for (const core::StartLoss& loss : losses) {
    wire::GatewayStartLoss& entry = encoded.emplace_back();
    entry.upstream_key = loss.upstream;
    entry.content = static_cast<std::int64_t>(loss.causes.content);
    for (const core::Cause part : loss.causes.parts) {
      entry.parts.push_back(static_cast<std::int64_t>(part));
    }
    entry.age_ms = std::chrono::duration_cast<Milliseconds>(now - loss.at).count();
    entry.__set_run_ms(std::chrono::duration_cast<Milliseconds>(loss.run_time).count());
  }
  if (!encoded.empty()) {
    report.__set_start_losses(encoded);
  }
  std::vector<wire::GatewayRunningUpstream> running;
  for (const auto& [upstream, at] : core::UpstreamsSeenRunning(crash_causes_)) {
    if (running.size() >= kMaxReportedUpstreams) {
      break;
    }
    wire::GatewayRunningUpstream& entry = running.emplace_back();
    entry.upstream_key = upstream;
    entry.age_ms = std::chrono::duration_cast<Milliseconds>(now - at).count();
  }
  if (!running.empty()) {
    report.__set_running_upstreams(running);
  }
  std::vector<wire::GatewayAnsweredPart> answered;
  for (const auto& [part, started] : core::AnsweredPartsInQuestion(crash_causes_)) {
    if (answered.size() >= kMaxReportedParts) {
      break;
    }
    wire::GatewayAnsweredPart& entry = answered.emplace_back();
    entry.part = static_cast<std::int64_t>(part);
    entry.age_ms = std::chrono::duration_cast<Milliseconds>(now - started).count();
  }
  if (!answered.empty()) {
    report.__set_answered_parts(answered);
  }
}

void LoadExchange::RecordCrashEvidence(const wire::GatewayLoad& report) {
  const TimePoint now = clock_.now();
  for (const wire::GatewayStartLoss& entry : report.start_losses) {
    if (entry.age_ms < 0 || entry.age_ms > core::kLossLifetime.count()) {
      continue;
    }
    core::StartLoss loss;
    loss.upstream = entry.upstream_key;
    loss.causes.content = static_cast<core::Cause>(entry.content);
    for (const std::int64_t part : entry.parts) {
      loss.causes.parts.push_back(static_cast<core::Cause>(part));
    }
    loss.at = now - Milliseconds(entry.age_ms);
    loss.run_time = Milliseconds(std::clamp<std::int64_t>(entry.run_ms, 0, kMaxRunTime.count()));
    core::RecordLoss(crash_causes_, std::move(loss), now);
  }
  for (const wire::GatewayRunningUpstream& entry : report.running_upstreams) {
    if (entry.age_ms >= 0 && entry.age_ms <= core::kLossLifetime.count()) {
      core::RecordRunning(crash_causes_, entry.upstream_key, now - Milliseconds(entry.age_ms),
                          /*is_own=*/false);
    }
  }
  for (const std::int64_t cause : report.blocked_causes) {
    core::RecordPeerBlock(crash_causes_, static_cast<core::Cause>(cause));
  }
  for (const wire::GatewayAnsweredPart& entry : report.answered_parts) {
    if (entry.age_ms >= 0 && entry.age_ms <= core::kLossLifetime.count()) {
      core::RecordPeerAnswered(crash_causes_, static_cast<core::Cause>(entry.part),
                               now - Milliseconds(entry.age_ms));
    }
  }
}

void LoadExchange::SendTo(const std::string& peer,
                          const std::function<void(wire::GatewayLoad&)>& fill) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  wire::GatewayLoad report = MakeReport({});
  fill(report);
  std::error_code ignored;  // as in SendToPeers
  socket_.send_to(asio::buffer(wire::EncodeGatewayLoadChange(report)), found->second, 0, ignored);
}

void LoadExchange::SendToPeers(const std::string& datagram) {
  for (const auto& [name, endpoint] : peers_) {
    // A failed send is treated as a lost datagram; the next complete report follows soon.
    std::error_code ignored;
    socket_.send_to(asio::buffer(datagram), endpoint, 0, ignored);
  }
}

}  // namespace rattanramp::gateway
