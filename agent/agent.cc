#include "agent/agent.h"

#include <algorithm>
#include <future>
#include <utility>

#include "agent/failures.h"
#include "agent/state_dump.h"
#include "base/ids.h"
#include "base/log.h"

namespace rattanramp::agent {
namespace {

constexpr Milliseconds kTickPeriod{25};
/// Maximum number of threads for requests at the upstream. Interrupted requests that have not
/// returned yet are included.
constexpr std::size_t kMaxWorkers = 512;
/// Number of consecutive load requests without an answer after which the upstream is regarded as
/// crashed. Each one times out after about a second.
constexpr int kMaxFailedLoads = 3;
constexpr Milliseconds kSettingsPullPeriod{200};
/// Time for sending the last frames after the last attempt has ended.
constexpr Milliseconds kFlushPeriod{300};
/// While draining, longest wait for result records that the platform has not accepted yet.
constexpr Milliseconds kResultFlushTimeout{3000};
constexpr std::int64_t kQuarantineRetryMs = 500;
constexpr std::int64_t kNotReadyRetryMs = 500;
constexpr Milliseconds kStateTimeout{2000};

}  // namespace

Result<std::shared_ptr<Agent>> Agent::Create(AgentParts parts) {
  std::shared_ptr<Agent> agent(new Agent(std::move(parts)));
  link::LinkOptions options;
  BOOST_OUTCOME_TRY(
      listener, link::LinkListener::Create(agent->loop_, agent->boot_.listen.link, options, agent));
  agent->listener_ = std::move(listener);
  return agent;
}

Agent::Agent(AgentParts parts)
    : boot_(std::move(parts.boot)),
      upstream_(std::move(parts.upstream)),
      store_(std::move(parts.store)),
      clock_(*parts.clock),
      incarnation_(NewIncarnation()),
      workers_(kMaxWorkers),
      canceller_(*upstream_, clock_),
      context_{.boot = boot_,
               .incarnation = incarnation_,
               .loop = loop_,
               .upstream = *upstream_,
               .workers = workers_,
               .canceller = canceller_,
               .metrics = metrics_,
               .clock = clock_,
               .settings_cache = SettingsCache(replica_, boot_)},
      attempts_(context_),
      generation_(context_, attempts_),
      calls_(context_, attempts_, *store_),
      reporter_(context_),
      monitor_(
          *upstream_,
          {[this](const Result<UpstreamLoad>& load, std::int64_t completed_clean_up) {
             loop_.Post([this, load, completed_clean_up] { OnLoad(load, completed_clean_up); });
           },
           [this](CacheEvents events) {
             loop_.Post([this, events = std::move(events)] { reporter_.AddEvents(events); });
           }}),
      last_settings_pull_(clock_.now() - kSettingsPullPeriod),
      idle_since_(clock_.now()) {
  context_.load_changed = [this](bool urgent) { reporter_.Request(urgent); };
  context_.snapshot = [this] { return Snapshot(); };
  generation_.on_crash_detected = [this](const std::string& reason) { OnCrash(reason); };
}

Agent::~Agent() { Stop(); }

void Agent::Start() {
  RequestCleanUp();
  listener_->Start();
  loop_.RunEvery(kTickPeriod, [this] { Tick(); });
  loop_.Start();
  monitor_.Start();
  epoch_ = std::make_unique<EpochAcquirer>(
      *store_, boot_.id, incarnation_, [this](std::int64_t epoch) { upstream_->SetFence(epoch); });
}

void Agent::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  monitor_.Stop();
  epoch_.reset();
  // Runs must be interrupted before Join below, otherwise their threads would not end.
  std::promise<void> interrupted;
  if (listener_) {
    listener_->Stop();
  }
  loop_.Post([this, &interrupted] {
    for (const std::string& id : attempts_.ActiveIds()) {
      CancelAttempt(*attempts_.Find(id));
    }
    std::vector<std::shared_ptr<link::Link>> links;
    for (const auto& [pointer, link] : links_) {
      links.push_back(link.second);
    }
    for (const std::shared_ptr<link::Link>& link : links) {
      link->Close("agent is stopping");
    }
    interrupted.set_value();
  });
  // If Start was not called, the loop does not run the posted task, but there is no work to stop.
  interrupted.get_future().wait_for(Milliseconds(1000));
  workers_.Join();
  loop_.Stop();
}

void Agent::Drain() {
  if (draining_.exchange(true)) {
    return;
  }
  Log(LogLevel::kInfo, "drain_started");
  loop_.Post([this] {
    context_.leaving = true;
    idle_since_ = clock_.now();
    UpdateState();
  });
}

settings::Settings Agent::ProcessSettings() const {
  return replica_.current()->tree.Resolve("", boot_.failure_domain, boot_.upstream.model);
}

Result<void> Agent::SendOrder(const Order& order) {
  if (!epoch_ || epoch_->epoch() == 0) {
    return Error{ErrorKind::kUnavailable, "the agent has not acquired its epoch yet",
                 "retry when the platform is available"};
  }
  return upstream_->SendOrder(order);
}

wire::Hello Agent::LocalHello() {
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.process_id = boot_.id;
  hello.role = wire::ProcessRole::AGENT;
  hello.incarnation = incarnation_;
  hello.failure_domain = boot_.failure_domain;
  hello.region = boot_.region;
  hello.settings_version = replica_.version();
  return hello;
}

std::int64_t Agent::SettingsVersion() { return replica_.version(); }

void Agent::OnUp(const std::shared_ptr<link::Link>& link) {
  const core::ConnectionId connection = next_connection_++;
  links_[link.get()] = {connection, link};
  core::RenewLeases(attempts_.leases(), connection, clock_.now());
  Log(LogLevel::kInfo, "link_up",
      {{"peer", link->peer().process_id}, {"address", link->remote_address()}});
  reporter_.AddLink(connection, link);
  PullNewerSettings(link, link->peer().settings_version);
}

void Agent::OnDown(const std::shared_ptr<link::Link>& link, const Error& reason) {
  const auto found = links_.find(link.get());
  if (found == links_.end()) {
    return;
  }
  Log(LogLevel::kInfo, "link_down",
      {{"peer", link->peer().process_id}, {"reason", reason.message}});
  reporter_.RemoveLink(found->second.first);
  core::RemoveConnection(attempts_.leases(), found->second.first);
  links_.erase(found);
}

void Agent::OnFrame(const std::shared_ptr<link::Link>& link, wire::Frame frame) {
  const auto found = links_.find(link.get());
  if (found == links_.end()) {
    return;
  }
  const core::ConnectionId connection = found->second.first;
  core::RenewLeases(attempts_.leases(), connection, clock_.now());
  if (frame.__isset.heartbeat) {
    PullNewerSettings(link, frame.heartbeat.settings_version);
  } else if (frame.__isset.submit) {
    OnSubmit(link, connection, std::move(frame.submit));
  } else if (frame.__isset.start_decode) {
    Attempt* attempt = attempts_.Find(frame.start_decode.attempt_id);
    if (attempt != nullptr) {
      generation_.StartDecode(*attempt, frame.start_decode);
    }
  } else if (frame.__isset.cancel) {
    OnCancel(frame.cancel.attempt_id);
  } else if (frame.__isset.resume) {
    OnResume(link, connection, frame.resume);
  } else if (frame.__isset.issue_key) {
    wire::KeyIssued issued = calls_.IssueKey(frame.issue_key);
    if (state_ != wire::UpstreamState::READY) {
      issued.key.clear();
      issued.error = NotReadyReason();
    }
    wire::Frame answer;
    answer.__set_key_issued(issued);
    static_cast<void>(link->Send(answer));
  } else if (frame.__isset.drain) {
    Drain();
  } else if (frame.__isset.settings_push) {
    OnSettings(link, frame.settings_push);
  } else if (frame.__isset.settings_pull) {
    wire::Frame answer;
    answer.__set_settings_push(replica_.MakePush(frame.settings_pull.have_version));
    static_cast<void>(link->Send(answer));
  }
}

void Agent::PullNewerSettings(const std::shared_ptr<link::Link>& link, std::int64_t version) {
  const TimePoint now = clock_.now();
  if (version <= replica_.version() || now - last_settings_pull_ < kSettingsPullPeriod) {
    return;
  }
  last_settings_pull_ = now;
  wire::Frame frame;
  wire::SettingsPull pull;
  pull.have_version = replica_.version();
  frame.__set_settings_pull(pull);
  static_cast<void>(link->Send(frame));
}

void Agent::OnSettings(const std::shared_ptr<link::Link>& link, const wire::SettingsPush& push) {
  const Result<bool> applied = replica_.Apply(push);
  if (!applied) {
    Log(LogLevel::kWarning, "settings_refused",
        {{"version", push.version}, {"message", applied.error().message}});
    if (applied.error().kind == ErrorKind::kNotFound) {
      wire::Frame frame;
      frame.__set_settings_pull(wire::SettingsPull());
      static_cast<void>(link->Send(frame));
    }
    return;
  }
  if (applied.value()) {
    Log(LogLevel::kInfo, "settings_applied", {{"version", replica_.version()}});
    UpdateState();
  }
}

void Agent::OnSubmit(const std::shared_ptr<link::Link>& link, core::ConnectionId connection,
                     wire::Submit submit) {
  context_.metrics.Count("agent_submits_total{kind=\"" + wire::to_string(submit.kind) + "\"}");
  Attempt* known = attempts_.Find(submit.attempt_id);
  if (known != nullptr) {
    attempts_.Resume(*known, link, connection, 0);
    return;
  }
  if (attempts_.WasRemoved(submit.attempt_id)) {
    wire::Frame frame;
    wire::Refused refused =
        MakeRefused(wire::RefusalKind::ABANDONED, wire::Outcome::UNKNOWN,
                    "the attempt has already been cancelled", "submit a new attempt", -1);
    refused.attempt_id = submit.attempt_id;
    frame.__set_refused(refused);
    static_cast<void>(link->Send(frame));
    return;
  }
  std::optional<wire::Refused> refused = CheckSubmit(submit);
  const wire::WorkKind::type kind = submit.kind;
  // The checks below use the higher of the crash counts of the entry and of this agent.
  submit.crash_count = std::max(
      submit.crash_count,
      core::CrashCountOf(context_.crash_table, submit.fingerprint,
                         Milliseconds(context_.SettingsOf(submit.service_name).suspicion_ttl_ms),
                         clock_.now()));
  if (!refused) {
    refused = CheckQuarantine(submit);
  }
  Attempt& attempt = attempts_.Add(std::move(submit), link, connection);
  if (refused) {
    attempts_.Refuse(attempt, *refused);
    return;
  }
  if (kind == wire::WorkKind::CALL) {
    calls_.Submit(attempt);
    return;
  }
  generation_.Submit(attempt);
}

std::optional<wire::Refused> Agent::CheckSubmit(const wire::Submit& submit) const {
  const wire::Outcome::type not_run = wire::Outcome::NOT_RUN;
  switch (state_) {
    case wire::UpstreamState::LEAVING:
      return MakeRefused(wire::RefusalKind::LEAVING, not_run, "upstream is shutting down",
                         "choose another upstream", 0);
    case wire::UpstreamState::STARTING:
      return MakeRefused(wire::RefusalKind::NOT_READY, not_run, NotReadyReason(),
                         "choose another upstream or retry later", kNotReadyRetryMs);
    case wire::UpstreamState::DOWN:
      return MakeRefused(wire::RefusalKind::UPSTREAM_DOWN, not_run, "upstream does not respond",
                         "choose another upstream", kNotReadyRetryMs);
    case wire::UpstreamState::READY:
      break;
  }
  const bool is_call = submit.kind == wire::WorkKind::CALL;
  if (is_call == is_engine()) {
    return MakeRefused(wire::RefusalKind::MALFORMED, not_run,
                       is_call ? "upstream is a model engine" : "upstream is a plain service",
                       "check how the entry chose the upstream", -1);
  }
  const bool matches = is_call ? submit.service_name == boot_.upstream.service
                               : submit.model == boot_.upstream.model;
  if (!matches) {
    return MakeRefused(wire::RefusalKind::WRONG_MODEL, not_run,
                       is_call ? "upstream serves " + boot_.upstream.service
                               : "upstream serves the model " + boot_.upstream.model,
                       "choose an upstream that serves the request", 0);
  }
  if (!is_call && submit.max_output_tokens <= 0 && submit.kind != wire::WorkKind::PREFILL) {
    return MakeRefused(wire::RefusalKind::MALFORMED, not_run, "max_output_tokens is not positive",
                       "request at least one output token", -1);
  }
  return std::nullopt;
}

std::optional<wire::Refused> Agent::CheckQuarantine(const wire::Submit& submit) const {
  if (submit.fingerprint == 0 || submit.crash_count == 0) {
    return std::nullopt;
  }
  const std::int64_t limit =
      replica_.current()
          ->tree.Resolve(submit.service_name, boot_.failure_domain, boot_.upstream.model)
          .crash_limit;
  if (submit.crash_count >= limit) {
    return MakeRefused(wire::RefusalKind::SUSPECT, wire::Outcome::NOT_RUN,
                       "the request has reached the limit of upstream crashes",
                       "change the request", -1);
  }
  for (const auto& [id, attempt] : attempts_.all()) {
    const bool other_quarantined_request = attempt.phase != Phase::kEnded &&
                                           attempt.submit.crash_count > 0 &&
                                           attempt.submit.request_id != submit.request_id;
    if (other_quarantined_request) {
      return MakeRefused(wire::RefusalKind::SUSPECT, wire::Outcome::NOT_RUN,
                         "another request that has crashed an upstream is active here",
                         "choose another upstream", kQuarantineRetryMs);
    }
  }
  return std::nullopt;
}

void Agent::OnResume(const std::shared_ptr<link::Link>& link, core::ConnectionId connection,
                     const wire::Resume& resume) {
  Attempt* attempt = attempts_.Find(resume.attempt_id);
  if (attempt != nullptr) {
    attempts_.Resume(*attempt, link, connection, resume.offset);
    return;
  }
  // A Submit of this attempt can still arrive on an earlier link. It must not run after this reply.
  attempts_.MarkRemoved(resume.attempt_id);
  wire::End end = MakeFailure(wire::RefusalKind::LEASE_EXPIRED, wire::Outcome::UNKNOWN,
                              "the agent has no record of the attempt",
                              "submit the request again if it may "
                              "be repeated");
  end.attempt_id = resume.attempt_id;
  wire::Frame frame;
  frame.__set_attempt_end(end);
  static_cast<void>(link->Send(frame));
}

void Agent::OnCancel(const std::string& attempt_id) {
  Attempt* attempt = attempts_.Find(attempt_id);
  if (attempt == nullptr) {
    attempts_.MarkRemoved(attempt_id);
    return;
  }
  CancelAttempt(*attempt);
  attempts_.Remove(attempt_id);
}

void Agent::CancelAttempt(Attempt& attempt) {
  if (attempt.submit.kind == wire::WorkKind::CALL) {
    calls_.Cancel(attempt);
    return;
  }
  generation_.Cancel(attempt);
}

void Agent::Tick() {
  const TimePoint now = clock_.now();
  const settings::Settings& settings = context_.SettingsOf("");
  for (const std::string& id :
       core::TakeExpiredLeases(attempts_.leases(), Milliseconds(settings.lease_ms), now)) {
    Attempt* attempt = attempts_.Find(id);
    if (attempt == nullptr) {
      continue;
    }
    if (attempt->phase != Phase::kEnded) {
      metrics_.Count("agent_leases_expired_total");
      Log(LogLevel::kWarning, "lease_expired",
          {{"attempt", id}, {"request", attempt->submit.request_id}});
      CancelAttempt(*attempt);
    }
    attempts_.Remove(id);
  }
  if (is_engine()) {
    generation_.Tick(now);
  } else {
    calls_.Tick(now);
  }
  attempts_.RemoveDelivered(now);
  core::EvictOldCrashes(context_.crash_table, Milliseconds(settings.suspicion_ttl_ms), now);
  reporter_.Tick(now);

  const std::size_t active = attempts_.active();
  active_.store(active);
  metrics_.SetGauge("agent_active_attempts", static_cast<double>(active));
  metrics_.SetGauge("agent_held_pieces", generation_.memory().reserved_pieces);
  metrics_.SetGauge("agent_links", static_cast<double>(links_.size()));
  metrics_.SetGauge("agent_call_memory_entries", static_cast<double>(calls_.ledger().calls.size()));
  const bool busy = active > 0 || calls_.running() > 0 || canceller_.pending() > 0 ||
                    (calls_.pending_results() > 0 && now - idle_since_ < kResultFlushTimeout);
  if (busy && (active > 0 || calls_.running() > 0)) {
    idle_since_ = now;
  }
  drained_.store(draining_.load() && context_.leaving && !busy &&
                 now - idle_since_ >= kFlushPeriod);
}

void Agent::OnLoad(const Result<UpstreamLoad>& load, std::int64_t completed_clean_up) {
  if (!load) {
    ++failed_loads_;
    const bool connection_refused = load.error().kind == ErrorKind::kUnavailable;
    if (context_.status.up && (connection_refused || failed_loads_ >= kMaxFailedLoads)) {
      OnCrash(load.error().message);
    }
    return;
  }
  failed_loads_ = 0;
  const UpstreamLoad& answer = load.value();
  if (context_.status.load_known && answer.incarnation != context_.status.load.incarnation &&
      context_.status.up) {
    OnCrash("engine has restarted");
  }
  context_.status.load = answer;
  context_.status.load_known = true;
  context_.status.up = true;
  context_.status.clean = completed_clean_up == clean_up_number_;
  generation_.OnLoad(answer);
  UpdateState();
}

void Agent::OnCrash(const std::string& reason) {
  Log(LogLevel::kError, "upstream_down", {{"reason", reason}, {"active", attempts_.active()}});
  metrics_.Count("agent_upstream_crashes_total");
  context_.status.up = false;
  context_.status.clean = false;
  if (is_engine()) {
    generation_.OnCrash(reason);
    RequestCleanUp();
  }
  UpdateState();
}

void Agent::RequestCleanUp() {
  ++clean_up_number_;
  monitor_.RequestCleanUp(clean_up_number_);
}

wire::UpstreamState::type Agent::ComputeState() const {
  if (context_.leaving) {
    return wire::UpstreamState::LEAVING;
  }
  const bool serving = context_.status.up && context_.status.clean;
  if (serving) {
    return replica_.version() > 0 ? wire::UpstreamState::READY : wire::UpstreamState::STARTING;
  }
  return context_.status.load_known ? wire::UpstreamState::DOWN : wire::UpstreamState::STARTING;
}

void Agent::UpdateState() {
  const wire::UpstreamState::type state = ComputeState();
  if (state == state_) {
    return;
  }
  state_ = state;
  public_state_.store(state);
  Log(LogLevel::kInfo, "state_changed", {{"state", wire::to_string(state)}});
  reporter_.Request(true);
}

std::string Agent::NotReadyReason() const {
  switch (public_state_.load()) {
    case wire::UpstreamState::READY:
      return "";
    case wire::UpstreamState::LEAVING:
      return "leaving";
    case wire::UpstreamState::DOWN:
      return "upstream does not respond";
    default:
      return replica_.version() == 0 ? "no settings yet; no entry has sent them"
                                     : "upstream has not responded yet";
  }
}

wire::LoadReport Agent::Snapshot() const {
  const UpstreamLoad& load = context_.status.load;
  wire::LoadReport report;
  report.state = state_;
  report.service_name = boot_.upstream.service;
  report.model = boot_.upstream.model;
  report.role =
      EngineRoleOf(is_engine() ? (load.role.empty() ? boot_.upstream.role : load.role) : "service");
  report.total_pieces = load.total_pieces;
  report.free_pieces = generation_.GrantablePieces();
  report.max_running = load.max_running;
  report.running = is_engine() ? generation_.running() : calls_.running();
  report.queued =
      static_cast<std::int32_t>(is_engine() ? generation_.queue().items.size() : calls_.queued());
  report.queued_prefill_tokens = generation_.PendingPrefillTokens();
  report.prefill_tokens_per_s = load.prefill_tokens_per_s;
  report.decode_token_ms = load.decode_token_ms;
  report.link_queue_bytes = load.link_queue_bytes;
  report.link_bytes_per_s = load.link_bytes_per_s;
  report.kv_bytes_per_token = load.kv_bytes_per_token;
  report.engine_incarnation = load.incarnation;
  report.upstream_url = boot_.upstream.url;
  report.crashes = CrashCounts(clock_.now());
  return report;
}

std::vector<wire::CrashCount> Agent::CrashCounts(TimePoint now) const {
  std::vector<wire::CrashCount> counts;
  for (const core::CrashRecord& record : core::CrashRecords(context_.crash_table)) {
    wire::CrashCount count;
    count.fingerprint = record.fingerprint;
    count.upstream = record.upstream;
    count.upstream_incarnation = record.upstream_incarnation;
    // Rounded down to seconds: the age changes less often, so an otherwise unchanged report is not
    // sent again each time.
    count.age_ms = std::chrono::duration_cast<std::chrono::seconds>(now - record.at).count() * 1000;
    count.cleared = record.cleared;
    counts.push_back(count);
  }
  return counts;
}

nlohmann::json Agent::State() {
  const std::shared_ptr<std::promise<nlohmann::json>> promise =
      std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> state = promise->get_future();
  loop_.Post([this, promise] { promise->set_value(StateOnLoop()); });
  if (state.wait_for(kStateTimeout) != std::future_status::ready) {
    return {{"error", "link thread did not respond within 2 s"}};
  }
  return state.get();
}

nlohmann::json Agent::StateOnLoop() const {
  nlohmann::json state = DumpUpstream(context_);
  state["id"] = boot_.id;
  state["incarnation"] = incarnation_;
  state["epoch"] = epoch_ ? epoch_->epoch() : 0;
  state["state"] = wire::to_string(state_);
  state["settings_version"] = replica_.version();
  state["room"] = DumpMemory(generation_.memory());
  state["queue"] = DumpQueue(generation_.queue());
  state["attempts"] = DumpAttempts(attempts_, clock_.now());
  state["calls"] = DumpCalls(calls_);
  state["threads"] = {{"workers", workers_.running()}, {"cancels_pending", canceller_.pending()}};
  nlohmann::json links = nlohmann::json::array();
  for (const auto& [pointer, link] : links_) {
    links.push_back({{"connection", link.first},
                     {"peer", link.second->peer().process_id},
                     {"incarnation", link.second->peer().incarnation},
                     {"address", link.second->remote_address()}});
  }
  state["links"] = links;
  return state;
}

}  // namespace rattanramp::agent
