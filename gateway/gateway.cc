#include "gateway/gateway.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/bounded_json.h"
#include "base/hash.h"
#include "base/log.h"
#include "gateway/caller_check.h"
#include "gateway/crash_guard.h"
#include "gateway/generation_exchange.h"
#include "gateway/plain_exchange.h"
#include "platform/config_format.h"
#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

// Interval at which queued requests are tried again, in addition to each time that a request ends.
// Needed because the end of an upstream's back-off and changes of the peers' load call no handler.
constexpr Milliseconds kTickInterval{20};

// Connections that can wait to be accepted. When the queue is full, a caller loses 1 s until its
// connection attempt is repeated.
constexpr int kListenBacklog = 1'024;

// Time until the load balancer has removed a stopping process. It checks the readiness once a
// second and removes a process after two failed checks; until then it sends new connections.
constexpr Milliseconds kBalancerRemovalTime{3'000};

// End of the grace time by which the process exits although answers are unsent or the store has not
// confirmed that the gateway's row is removed.
constexpr Milliseconds kLastExitMargin{100};

// How long a draining or removed upstream is reported to the peers. By the end of this time each
// peer has read the upstream list itself.
constexpr Milliseconds kDrainNoticeTime{4'000};

// Retry-After for callers while the process has no configuration yet.
constexpr std::int64_t kNoConfigRetryMs = 500;

// Unreadable rows of the upstream list that are logged; each is logged once while it stays.
constexpr std::size_t kMaxLoggedRows = 20;

// Deadline of a request that states none.
constexpr std::int64_t kDefaultDeadlineMs = 30'000;

constexpr std::string_view kTextType = "text/plain";

// Largest body of a request to the readiness check, the metrics or the state dump; these need none.
constexpr std::int64_t kMaxStatusBodyBytes = 1'024;

// Connections and memory for these requests.
constexpr std::size_t kMaxStatusConnections = 32;
constexpr core::MemoryShares kStatusMemory = {4 * 1024 * 1024, 1024 * 1024, 512 * 1024};

// Returns where a peer receives load reports; nullopt if the row cannot be decoded.
std::optional<asio::ip::udp::endpoint> DecodeGatewayRow(const std::string& text) {
  const std::optional<nlohmann::json> row = ParseBoundedJson(text);
  if (!row || !row->is_object()) {
    return std::nullopt;
  }
  const auto address = row->find("address");
  const auto port = row->find("peer_port");
  if (address == row->end() || !address->is_string() || port == row->end() ||
      !port->is_number_unsigned()) {
    return std::nullopt;
  }
  std::error_code error;
  const asio::ip::address_v4 parsed =
      asio::ip::make_address_v4(address->get_ref<const std::string&>(), error);
  const std::uint64_t number = port->get<std::uint64_t>();
  if (error || number == 0 || number > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return asio::ip::udp::endpoint(parsed, static_cast<std::uint16_t>(number));
}

}  // namespace

class Gateway::StatusHost final : public CallerHost {
 public:
  explicit StatusHost(Gateway& gateway) : gateway_(gateway) {}

  std::unique_ptr<Exchange> StartExchange(CallerSink& sink, http::RequestHead head,
                                          std::string /*body*/) override {
    const http::Fields fields = {{"Content-Type", std::string(kTextType)}};
    const std::string_view path = http::PathOf(head.target);
    if (platform::IsReadinessRequest(head)) {
      sink.Answer(gateway_.is_ready() ? 200 : 503, fields,
                  gateway_.is_ready() ? "ready\n" : "not ready\n");
    } else if (head.method == "GET" && path == "/metrics") {
      gateway_.caller_memory_.UpdateMetrics();
      sink.Answer(200, fields, gateway_.metrics_.PrometheusText());
    } else if (head.method == "GET" && path == "/state") {
      sink.Answer(200, {{"Content-Type", "application/json"}}, gateway_.StateDump());
    } else {
      sink.Answer(404, fields, "unknown path; use /metrics or /state\n");
    }
    return nullptr;
  }
  core::CallerLimits caller_limits() const override {
    core::CallerLimits limits;
    limits.max_body_bytes = kMaxStatusBodyBytes;
    return limits;
  }
  CallerMemory* memory() override { return &gateway_.status_memory_; }
  bool is_stopping() const override { return false; }
  void OnConnectionEnd(const CallerConnection* connection) override {
    gateway_.OnConnectionEnd(connection);
  }

 private:
  Gateway& gateway_;
};

Result<std::unique_ptr<Gateway>> Gateway::Create(asio::io_context& context, const Clock& clock,
                                                 Settings settings, StoreSource source) {
  std::unique_ptr<Gateway> gateway(new Gateway(context, clock, std::move(settings)));
  const Settings& own = gateway->settings_;
  for (const auto& [acceptor, endpoint] :
       {std::pair{&gateway->caller_acceptor_, own.callers},
        std::pair{&gateway->readiness_acceptor_, own.readiness},
        std::pair{&gateway->metrics_acceptor_,
                  asio::ip::tcp::endpoint(own.address, own.metrics_port)}}) {
    const Result<void> listening = gateway->Listen(*acceptor, endpoint);
    if (!listening) {
      return listening.error();
    }
  }
  Result<std::unique_ptr<LoadExchange>> exchange = LoadExchange::Create(
      context, clock, gateway->fleet_, gateway->dispatcher_, gateway->state_.crash_causes, own.node,
      {own.address, own.peer_port}, [raw = gateway.get()] { raw->dispatcher_.WakeAll(); },
      [raw = gateway.get()] { raw->watch_->RefreshGateways(); },
      [raw = gateway.get()](const core::ListNews& news) { raw->OnListNews(news); });
  if (!exchange) {
    return exchange.error();
  }
  gateway->load_exchange_ = std::move(exchange.value());
  gateway->load_exchange_->AddSection(gateway->config_evidence_);
  gateway->fleet_.SetWeighsSpeed(own.weighs_cost);
  gateway->load_exchange_->AddSection(gateway->speed_exchange_);
  gateway->load_exchange_->AddSection(gateway->suspicion_exchange_);
  gateway->load_exchange_->AddSection(gateway->limiter_);
  gateway->state_.limiter = &gateway->limiter_;
  gateway->state_.crash_causes.started = clock.now();
  gateway->state_.on_reservation_change = [raw = gateway.get()] {
    raw->load_exchange_->ScheduleReport();
  };
  const nlohmann::json row = {{"address", own.address.to_string()},
                              {"peer_port", own.peer_port},
                              {"failure_domain", own.failure_domain}};
  std::unique_ptr<StageController> stage_controller = std::make_unique<StageController>(
      gateway->state_, source.make_client(), source.order_table, own.node);
  gateway->crash_records_ =
      std::make_unique<CrashRecords>(gateway->state_, source.make_client(), source.crash_table);
  PollIntervals intervals = PollIntervalsFor(own.disconnected_after, own.upstream_drain_limit);
  if (own.key_removal_limit) {
    intervals = WithKeyRemovalLimit(intervals, *own.key_removal_limit);
  }
  gateway->watch_ =
      std::make_unique<StoreWatch>(context, clock, static_cast<StoreListener&>(*gateway),
                                   std::move(source), intervals, own.node, row.dump());
  gateway->stage_controller_ = std::move(stage_controller);
  gateway->Accept(gateway->caller_acceptor_, *gateway);
  gateway->Accept(gateway->readiness_acceptor_, *gateway->status_host_);
  gateway->Accept(gateway->metrics_acceptor_, *gateway->status_host_);
  gateway->watch_->Start();
  gateway->Tick();
  return gateway;
}

Gateway::Gateway(asio::io_context& context, const Clock& clock, Settings settings)
    : context_(context),
      clock_(clock),
      settings_(std::move(settings)),
      dispatcher_(context, clock),
      state_{context, clock, settings_, fleet_, dispatcher_, metrics_, retry_windows_, {}, {}, 1},
      limiter_(settings_.limit_tolerance, clock),
      return_check_(state_),
      config_intake_(clock, *this),
      config_evidence_(
          state_,
          [this](const std::string& peer, const auto& fill) { load_exchange_->SendTo(peer, fill); },
          [this](const std::string& text, const core::StorePosition& row) {
            config_intake_.Take(text, row);
          }),
      speed_exchange_(fleet_, clock),
      suspicion_exchange_(fleet_.suspicions(), clock, settings_.node),
      status_host_(std::make_unique<StatusHost>(*this)),
      caller_acceptor_(context),
      readiness_acceptor_(context),
      metrics_acceptor_(context),
      tick_timer_(context),
      caller_memory_(context, clock, metrics_, core::SharesOf(settings_.memory_limit_bytes),
                     CallerConnectionLimit(settings_.max_descriptors,
                                           core::SharesOf(settings_.memory_limit_bytes))),
      status_memory_(context, clock, metrics_, kStatusMemory, kMaxStatusConnections) {}

Gateway::~Gateway() {
  // Handlers of the event loop keep connections alive beyond this object, but the exchanges use its
  // members.
  for (const auto& [key, connection] : connections_) {
    connection->DropExchange();
  }
}

Result<void> Gateway::Listen(asio::ip::tcp::acceptor& acceptor,
                             const asio::ip::tcp::endpoint& endpoint) {
  std::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return Error{ErrorKind::kIo,
                 fmt::format("cannot listen at {}:{}: {}", endpoint.address().to_string(),
                             endpoint.port(), error.message()),
                 "free the address or change the settings"};
  }
  return Success();
}

void Gateway::Accept(asio::ip::tcp::acceptor& acceptor, CallerHost& host) {
  acceptor.async_accept(
      [this, &acceptor, &host](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (!acceptor.is_open()) {
          return;
        }
        if (error) {
          // Mostly for lack of descriptors, so another try at once would fail too.
          Log(LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
          waiting_acceptors_.emplace_back(&acceptor, &host);
          return;
        }
        std::shared_ptr<CallerConnection> connection =
            CallerConnection::Create(std::move(socket), host);
        connections_[connection.get()] = connection;
        connection->Start();
        if (HasRoomFor(host)) {
          Accept(acceptor, host);
        } else {
          metrics_.Count("accept_pauses_total");
          waiting_acceptors_.emplace_back(&acceptor, &host);
        }
      });
}

bool Gateway::HasRoomFor(CallerHost& host) {
  CallerMemory& memory = *host.memory();
  return !memory.is_full() || memory.MakeRoomForConnection();
}

void Gateway::ResumeAccepting() {
  for (const auto& [acceptor, host] : std::exchange(waiting_acceptors_, {})) {
    if (HasRoomFor(*host)) {
      Accept(*acceptor, *host);
    } else {
      waiting_acceptors_.emplace_back(acceptor, host);
    }
  }
}

void Gateway::OnConnectionEnd(const CallerConnection* connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    asio::post(context_, [finished = found->second] {});
    connections_.erase(found);
  }
}

bool Gateway::is_ready() const {
  return table_ != nullptr && directory_.has_read && !is_stopping() && MayServeCallers(state_);
}

core::CallerLimits Gateway::caller_limits() const {
  return table_ ? table_->limits() : core::CallerLimits();
}

std::unique_ptr<Exchange> Gateway::StartExchange(CallerSink& sink, http::RequestHead head,
                                                 std::string body) {
  const Result<core::RequestFacts> facts = platform::DecodeRequest(head);
  if (!facts) {
    Log(LogLevel::kInfo, "request_malformed", {{"error", facts.error().message}});
    sink.Answer(400, platform::RefusalFields({}, std::nullopt),
                facts.error().message + ": " + facts.error().remedy + "\n");
    return nullptr;
  }
  const std::string& id = facts.value().request_id;
  if (!table_) {
    Log(LogLevel::kInfo, "request_refused", {{"request", id}, {"reason", "no configuration yet"}});
    sink.Answer(503, platform::RefusalFields(id, kNoConfigRetryMs), "no configuration yet\n");
    return nullptr;
  }
  const std::string* host = http::FindField(head.fields, "Host");
  const core::RouteRule* route =
      table_->Match(host == nullptr ? std::string_view() : *host, http::PathOf(head.target));
  if (route == nullptr) {
    Log(LogLevel::kInfo, "request_refused",
        {{"request", id},
         {"reason", "no route"},
         {"config_version", table_->version()},
         {"row_version", config_intake_.newest_row().version},
         {"store_era", config_intake_.newest_row().era},
         {"config_answer_age_ms", ConfigAnswerAgeMs()},
         {"host", host == nullptr ? "" : *host},
         {"target", head.target}});
    metrics_.Count("requests_without_route_total");
    sink.Answer(404, platform::RefusalFields(id, std::nullopt), "no route for host and path\n");
    return nullptr;
  }
  RequestContext request;
  request.seed = Hash64(id);
  const std::string& service_name = core::ServiceFor(*route, request.seed);
  request.service = table_->FindService(service_name);
  if (request.service == nullptr) {
    Log(LogLevel::kWarning, "request_refused",
        {{"request", id}, {"reason", "unknown service"}, {"service", service_name}});
    sink.Answer(503, platform::RefusalFields(id, kNoConfigRetryMs), "unknown service\n");
    return nullptr;
  }
  const TimePoint now = clock_.now();
  request.head = std::move(head);
  request.body = std::make_shared<const std::string>(std::move(body));
  request.facts = facts.value();
  request.table = table_;
  request.route = route;
  request.arrived = now;
  request.deadline =
      now + Milliseconds(std::min(request.facts.deadline_ms.value_or(kDefaultDeadlineMs),
                                  route->timeout_ms));
  request.target = now + Milliseconds(route->target_latency_ms);
  if (!AdmitCaller(request, state_, sink)) {
    return nullptr;
  }
  if (!AcceptsWork(request)) {
    AnswerNotRun(request, state_, sink, "the process is stopping", core::kStopRetryAfter.count());
    return nullptr;
  }
  if (!limiter_.Admit(request, state_, sink)) {
    return nullptr;
  }
  core::CountRequest(retry_windows_[service_name], settings_.retry_bound, now);
  if (route->kind == core::RequestKind::kStream) {
    return GenerationExchange::Start(std::move(request), state_, sink);
  }
  return PlainExchange::Start(std::move(request), state_, sink);
}

void Gateway::OnTable(std::shared_ptr<const core::RoutingTable> table) {
  table_ = std::move(table);
  state_.table = table_;
  LogKeyFaults(*table_);
  limiter_.SetRules(table_->workspaces(), clock_.now());
}

void Gateway::OnRowTaken(const core::StorePosition& row, const std::string& text, RowUse use) {
  config_evidence_.SetRow(text, row);
  // With a row that is held back, the one in force is newer than all in the store.
  if (use != RowUse::kRejected) {
    core::RecordRowInForce(state_.freshness, row, clock_.now());
  }
}

void Gateway::OnConfigEvidence(const core::ConfigEvidence& evidence, TimePoint sent) {
  core::RecordOwnEvidence(state_.freshness, evidence, sent, clock_.now());
  config_intake_.ConfirmNewest(evidence.row, sent);
}

void Gateway::OnConfigAnswer(ConfigAnswer answer) {
  metrics_.Count(fmt::format("config_answers_total{{kind=\"{}\"}}", NameOf(answer)));
}

double Gateway::ConfigAnswerAgeMs() const {
  const std::optional<TimePoint>& answered = watch_->config_state().answered;
  return answered ? ToMs(clock_.now() - *answered) : -1.0;
}

nlohmann::json Gateway::ConfigState() const {
  const ConfigWatchState& read = watch_->config_state();
  const std::optional<std::int64_t> held_back = config_intake_.held_back_revision();
  return {{"row_version", config_intake_.newest_row().version},
          {"row_era", config_intake_.newest_row().era},
          {"store_row_version", read.row.version},
          {"store_version", read.store.version},
          {"store_era", read.store.era},
          {"held_back_version", held_back ? nlohmann::json(*held_back) : nullptr},
          {"answer_age_ms", ConfigAnswerAgeMs()}};
}

void Gateway::OnUpstreamRows(const std::vector<store::TableRow>& rows,
                             const core::ListInterruption& interruption, std::int64_t clock_ms,
                             TimePoint read_at) {
  const platform::DecodedUpstreams decoded = platform::DecodeUpstreams(rows, upstream_cache_);
  LogInvalidUpstreams(decoded.invalid_row_keys);
  const std::int64_t previous_clock_ms = list_view_.read_clock_ms;
  const core::ListNews news = core::RecordRead(list_view_, decoded.upstreams, clock_ms);
  ApplyUpstreams(decoded.upstreams, interruption, read_at);
  // After an outage each gateway finds out by itself how long it must keep missing upstreams.
  if (clock_ms > 0 && !interruption.has_failed &&
      core::MayAnnounce(news, previous_clock_ms, heard_list_clock_ms_, ListPeers())) {
    load_exchange_->AnnounceList(news);
    metrics_.Count("list_announcements_total");
  }
}

void Gateway::LogInvalidUpstreams(const std::vector<std::string>& keys) {
  std::set<std::string> current;
  for (const std::string& key : keys) {
    if (current.size() >= kMaxLoggedRows) {
      break;
    }
    if (!invalid_upstreams_.contains(key)) {
      Log(LogLevel::kWarning, "upstream_row_unreadable", {{"upstream", key}});
    }
    current.insert(key);
  }
  invalid_upstreams_ = std::move(current);
}

std::size_t Gateway::ListPeers() const { return load_exchange_->live_peers(); }

void Gateway::OnListNews(const core::ListNews& news) {
  const std::optional<TimePoint> read_at = watch_->OwnTimeOf(news.read_clock_ms);
  const TimePoint now = clock_.now();
  // A read in the future comes from a faulty peer.
  if (read_at && *read_at <= now + core::kMaxNewsAge) {
    heard_list_clock_ms_ = std::max(heard_list_clock_ms_, news.read_clock_ms);
  }
  if (is_stopping() || !read_at || now - *read_at > core::kMaxNewsAge ||
      !core::ApplyNews(list_view_, news)) {
    metrics_.Count("list_news_unused_total");
    return;
  }
  metrics_.Count("list_news_total");
  const core::ListInterruption interruption = watch_->OnListNews();
  const bool is_unchanged =
      news.changed.empty() && news.removed.empty() && !interruption.has_failed;
  const TimePoint list_time = std::min(*read_at, now);
  if (!is_unchanged ||
      !core::ConfirmDirectory(directory_, list_view_.upstreams.size(), list_time)) {
    ApplyUpstreams(core::Entries(list_view_), interruption, list_time);
  }
  watch_->PostponeRead(news.read_clock_ms);
}

void Gateway::ApplyUpstreams(std::span<const core::UpstreamInfo> upstreams,
                             const core::ListInterruption& interruption, TimePoint read_at) {
  const core::DirectoryChange change =
      core::ApplySnapshot(directory_, upstreams, interruption, read_at);
  for (const auto& [what, infos] : {std::pair{"upstream_added", &change.added},
                                    {"upstream_changed", &change.updated},
                                    {"upstream_missing", &change.missing},
                                    {"upstream_removed", &change.removed}}) {
    for (const core::UpstreamInfo& info : *infos) {
      Log(LogLevel::kInfo, what,
          {{"upstream", info.id},
           {"service", info.service},
           {"address", fmt::format("{}:{}", info.address, info.port)},
           {"leaving", info.is_draining},
           {"stage", static_cast<int>(info.stage)}});
    }
  }
  fleet_.Apply(change);
  // The peers read the list at different times, so the exclusion is reported to them.
  for (const std::vector<core::UpstreamInfo>* infos : {&change.updated, &change.removed}) {
    for (const core::UpstreamInfo& info : *infos) {
      if (info.is_draining || infos == &change.removed) {
        fleet_.Exclude(KeyOf(info), clock_.now() + kDrainNoticeTime);
        load_exchange_->ScheduleReport();
      }
    }
  }
  dispatcher_.WakeAll();
}

void Gateway::OnGatewayRows(const std::map<std::string, std::string>& rows) {
  std::map<std::string, asio::ip::udp::endpoint> peers;
  for (const auto& [name, text] : rows) {
    if (name == settings_.node) {
      continue;
    }
    const std::optional<asio::ip::udp::endpoint> peer = DecodeGatewayRow(text);
    if (!peer) {
      Log(LogLevel::kWarning, "gateway_row_unreadable", {{"gateway", name}});
      continue;
    }
    peers[name] = *peer;
  }
  state_.gateways = static_cast<std::int64_t>(peers.size()) + 1;
  std::vector<std::string> names;
  names.reserve(peers.size());
  for (const auto& [name, endpoint] : peers) {
    names.push_back(name);
  }
  limiter_.SetPeers(names, clock_.now());
  load_exchange_->SetPeers(std::move(peers));
}

void Gateway::Reload(const Settings& settings) {
  settings_.retry_bound = settings.retry_bound;
  settings_.stop_grace = settings.stop_grace;
}

void Gateway::Tick() {
  if (is_stopping()) {
    CheckStopped();
  }
  if (table_) {
    stage_controller_->Tick(*table_, load_exchange_->is_first());
    return_check_.Tick(*table_);
  }
  fleet_.ConfirmReturned(clock_.now());
  UpdateBlockedCauses();
  caller_memory_.Tick();
  status_memory_.Tick();
  ResumeAccepting();
  limiter_.Tick(metrics_, clock_.now());
  dispatcher_.WakeAll();
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const std::error_code& error) {
    if (!error) {
      loop_delay_.Record(tick_timer_.expiry(), std::chrono::steady_clock::now());
      Tick();
    }
  });
}

void Gateway::UpdateBlockedCauses() {
  core::CrashCauses& causes = state_.crash_causes;
  state_.tries_blocked_causes = load_exchange_->is_first();
  ConfirmRunningUpstreams(state_);
  core::UpdateBlocked(causes, clock_.now());
  crash_records_->Tick(load_exchange_->is_first());
  for (const auto& [cause, block] : causes.blocked) {
    if (logged_causes_.insert(cause).second) {
      metrics_.Count("crash_causes_blocked_total");
      Log(LogLevel::kWarning, "crash_cause_blocked",
          {{"cause", fmt::format("{:016x}", cause)},
           {"kind", block.is_content ? "content" : "prompt part"},
           {"upstreams", block.upstreams},
           {"requests", block.requests},
           {"companions", block.companions.size()}});
    }
  }
  std::erase_if(logged_causes_, [&causes](core::Cause cause) {
    const bool is_released = !causes.blocked.contains(cause);
    if (is_released) {
      Log(LogLevel::kInfo, "crash_cause_released", {{"cause", fmt::format("{:016x}", cause)}});
    }
    return is_released;
  });
}

void Gateway::Stop(std::function<void()> done) {
  if (is_stopping()) {
    return;
  }
  state_.stop = {clock_.now(), settings_.stop_grace};
  stage_controller_->Stop();
  return_check_.Stop();
  crash_records_->Stop();
  on_stopped_ = std::move(done);
  Log(LogLevel::kInfo, "stop_started",
      {{"open_requests", OpenRequests()},
       {"queued_requests", dispatcher_.waiting()},
       {"grace_ms", ToMs(settings_.stop_grace)}});
}

std::size_t Gateway::OpenRequests() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second->is_serving(); }));
}

bool Gateway::AcceptsWork(const RequestContext& request) {
  return !is_stopping() ||
         (!is_finishing_ && core::MayAccept(*state_.stop, request.arrived, request.deadline,
                                            ExpectedDuration(request, state_)));
}

void Gateway::CheckStopped() {
  if (!on_stopped_) {
    return;
  }
  const TimePoint now = clock_.now();
  const Duration elapsed = now - state_.stop->started;
  const bool is_forced = now >= core::ForcedEnd(*state_.stop);
  // Connections may end during the calls below.
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (const auto& [key, connection] : connections_) {
    connections.push_back(connection);
  }
  const std::size_t open_requests = OpenRequests();
  for (const std::shared_ptr<CallerConnection>& connection : connections) {
    if (is_forced) {
      connection->EndForStop();
    } else {
      connection->OnStopProgress();
    }
  }
  if (!is_forced && elapsed < kBalancerRemovalTime) {
    return;
  }
  for (const std::shared_ptr<CallerConnection>& connection : connections) {
    connection->CloseIfIdle();
  }
  const bool has_unsent =
      std::any_of(connections.begin(), connections.end(),
                  [](const std::shared_ptr<CallerConnection>& c) { return c->unsent_bytes() > 0; });
  if (!is_finishing_) {
    if (!is_forced && (has_unsent || OpenRequests() > 0)) {
      return;
    }
    is_finishing_ = true;
    Log(LogLevel::kInfo, "stop_finishing",
        {{"after_ms", ToMs(elapsed)}, {"ended_requests", is_forced ? open_requests : 0}});
    watch_->Deregister([this] { is_deregistered_ = true; });
    return;
  }
  if ((is_deregistered_ && !has_unsent) || elapsed >= state_.stop->grace - kLastExitMargin) {
    Log(LogLevel::kInfo, "stopped", {{"after_ms", ToMs(elapsed)}, {"unsent_answers", has_unsent}});
    std::exchange(on_stopped_, nullptr)();
  }
}

std::string Gateway::StateDump() const {
  const TimePoint now = clock_.now();
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [id, upstream] : fleet_.upstreams()) {
    upstreams.push_back({{"id", id},
                         {"service", upstream->info.service},
                         {"failure_domain", upstream->info.failure_domain},
                         {"leaving", upstream->info.is_draining || upstream->is_leaving()},
                         {"unconfirmed", upstream->statement->is_unconfirmed},
                         {"paused_ms", std::max(0.0, ToMs(upstream->paused_until() - now))},
                         {"own_running", upstream->local_load.running},
                         {"peers_running", upstream->peer_load.running},
                         {"own_reserved_tokens", upstream->local_load.reserved_tokens},
                         {"peers_reserved_tokens", upstream->peer_load.reserved_tokens},
                         {"avoided", IsAvoided(*upstream, now)},
                         {"slowness", core::Slowness(upstream->speed, upstream->peer_speed, now)},
                         {"poor_share", upstream->health.failure_share}});
  }
  nlohmann::json blocked = nlohmann::json::array();
  for (const auto& [cause, block] : state_.crash_causes.blocked) {
    blocked.push_back({{"cause", fmt::format("{:016x}", cause)},
                       {"kind", block.is_content ? "content" : "prompt part"},
                       {"upstreams", block.upstreams},
                       {"requests", block.requests},
                       {"blocked_ms", ToMs(now - block.since)},
                       {"next_trial_ms", ToMs(block.next_trial - now)}});
  }
  nlohmann::json queues = nlohmann::json::array();
  for (const auto& [service, time] : state_.service_times) {
    const std::optional<Duration> late_wait = dispatcher_.ExpectedLateWait(service);
    queues.push_back({{"service", service},
                      {"waiting", dispatcher_.waiting(service)},
                      {"waiting_on_time", dispatcher_.waiting_on_time(service)},
                      {"mean_service_ms", time.mean_ms},
                      {"service_deviation_ms", time.deviation_ms},
                      {"late_wait_ms", late_wait ? nlohmann::json(ToMs(*late_wait)) : nullptr}});
  }
  const nlohmann::json dump = {
      {"queues", queues},
      {"blocked_causes", blocked},
      {"start_losses", state_.crash_causes.losses.size()},
      {"node", settings_.node},
      {"ready", is_ready()},
      {"stopping", is_stopping()},
      {"config_version", table_ ? table_->version() : 0},
      {"configuration", ConfigState()},
      {"upstream_list_age_ms", directory_.has_read ? ToMs(now - directory_.last_read) : -1.0},
      {"gateways", state_.gateways},
      {"live_peers", load_exchange_->live_peers()},
      {"callers", CallerState(state_)},
      {"limits", limiter_.State(now)},
      {"connections", connections_.size()},
      {"caller_memory", caller_memory_.StateDump()},
      {"upstreams", upstreams}};
  return dump.dump(1) + "\n";
}

}  // namespace rattanramp::gateway
