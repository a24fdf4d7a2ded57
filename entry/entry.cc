#include "entry/entry.h"

#include <set>
#include <thread>
#include <utility>

#include "base/ids.h"
#include "base/log.h"
#include "control/operator_port.h"

namespace rattanramp::entry {
namespace {

/// Connection limit of the caller server. An entry carries about 470 streams at the target fleet
/// size; about twice that also allows for idle connections of the load balancer.
constexpr std::size_t kMaxCallerConnections = 1'024;
constexpr Milliseconds kDrainPollInterval{20};
constexpr int kStatusAccepted = 202;
constexpr int kStatusNotFound = 404;
constexpr const char* kJson = "application/json";
/// Interval at which dialers of VMs that are no longer in the VM list are stopped.
constexpr Milliseconds kUnlistedCheckInterval{5'000};
/// Maximum wait for aborted requests to send their error to the caller.
constexpr Milliseconds kAbortTimeout{1'000};

link::LinkOptions LinkOptionsFrom(const settings::Settings& settings) {
  link::LinkOptions options;
  options.heartbeat = Milliseconds(settings.heartbeat_ms);
  options.silence_timeout = Milliseconds(settings.link_dead_ms);
  return options;
}

}  // namespace

Result<std::unique_ptr<Entry>> Entry::Create(const settings::BootConfig& boot,
                                             std::unique_ptr<store::PlatformStore> store) {
  std::unique_ptr<Entry> entry(new Entry(boot, std::move(store)));
  BOOST_OUTCOME_TRYV(entry->Listen());
  return entry;
}

Entry::Entry(const settings::BootConfig& boot, std::unique_ptr<store::PlatformStore> store)
    : boot_(boot), store_(std::move(store)), directory_(settings_, boot.failure_domain) {
  const Clock& clock = DefaultClock();
  links_ = std::make_shared<AgentLinks>(
      loop_, [this] { return LinkOptionsFrom(directory_.current()->process); },
      LinkIdentity{boot_.id, NewIncarnation(), boot_.failure_domain, boot_.region},
      LinkContext{clock, settings_, fleet_, attempts_, crash_tracker_, metrics_});
  settings_service_ = std::make_unique<control::SettingsService>(
      *store_, settings_, clock, [this](const wire::Frame&) { links_->PushSettings(); });
  vm_directory_ = std::make_unique<control::VmDirectory>(
      *store_, settings_, [this](const control::VmChanges&) { OnVmListChanged(); });
  links_->SetVmDirectory(vm_directory_.get());
  const DriverContext drivers{clock,          fleet_,   *links_,  attempts_,
                              crash_tracker_, budgets_, metrics_, aborting_};
  api_ = std::make_unique<CallerApi>(CallerApiContext{
      drivers, directory_, active_, [this] { return NotServingRefusal(); }, boot_.failure_domain});
}

Entry::~Entry() { Stop(); }

Result<void> Entry::Listen() {
  HttpServerOptions caller_options;
  caller_options.address = boot_.listen.caller;
  caller_options.max_connections = kMaxCallerConnections;
  BOOST_OUTCOME_TRY(caller_server, HttpServer::Create(caller_options));
  caller_server_ = std::move(caller_server);
  api_->Register(*caller_server_);
  if (!boot_.listen.operator_address.empty()) {
    HttpServerOptions operator_options;
    operator_options.address = boot_.listen.operator_address;
    BOOST_OUTCOME_TRY(operator_server, HttpServer::Create(operator_options));
    operator_server_ = std::move(operator_server);
    settings_service_->RegisterRoutes(*operator_server_);
    RegisterUpstreamRoutes();
    control::RegisterOperatorRoutes(*operator_server_, metrics_,
                                    {[this] {
                                       const std::optional<Refusal> not_serving =
                                           NotServingRefusal();
                                       return not_serving ? not_serving->message : std::string();
                                     },
                                     [this] { return State(); }});
  }
  if (!boot_.listen.link.empty()) {
    BOOST_OUTCOME_TRY(listener, link::LinkListener::Create(loop_, boot_.listen.link,
                                                           link::LinkOptions(), links_));
    listener_ = std::move(listener);
  }
  return Success();
}

void Entry::Start() {
  loop_.Start();
  if (listener_) {
    listener_->Start();
  }
  links_->DialFixed(boot_.upstreams);
  links_->DialFixed(boot_.peers);
  settings_service_->Start();
  vm_directory_->Start();
  loop_.RunEvery(kUnlistedCheckInterval, [this] { links_->StopUnlistedDialers(); });
  if (operator_server_) {
    operator_server_->Start();
  }
  caller_server_->Start();
  Log(LogLevel::kInfo, "started", {{"caller_port", caller_port()}, {"link_port", link_port()}});
}

std::size_t Entry::Drain() {
  draining_.store(true);
  const Milliseconds timeout(directory_.current()->process.drain_timeout_ms);
  Log(LogLevel::kInfo, "draining", {{"in_flight", active_.size()}});
  WaitForRequests(timeout);
  const std::size_t aborted = active_.size();
  aborting_.store(true);
  WaitForRequests(kAbortTimeout);
  Log(LogLevel::kInfo, "drained", {{"cut", aborted}});
  return aborted;
}

void Entry::WaitForRequests(Milliseconds timeout) const {
  const TimePoint until = DefaultClock().now() + timeout;
  while (active_.size() > 0 && DefaultClock().now() < until) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

void Entry::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  draining_.store(true);
  aborting_.store(true);
  if (caller_server_) {
    caller_server_->Stop();
  }
  if (operator_server_) {
    operator_server_->Stop();
  }
  settings_service_->Stop();
  vm_directory_->Stop();
  links_->StopAll();
  loop_.Stop();
}

std::optional<Refusal> Entry::NotServingRefusal() const {
  if (draining_.load()) {
    return NotServing("leaving", "the entry is shutting down");
  }
  if (settings_.version() == 0) {
    return NotServing("no_settings", "the entry has not received its settings yet");
  }
  return std::nullopt;
}

nlohmann::json Entry::State() const {
  return {{"id", boot_.id},
          {"settings_version", settings_.version()},
          {"draining", draining_.load()},
          {"requests", active_.Dump(DefaultClock().now())},
          {"open_attempts", attempts_.size()},
          {"suspects", crash_tracker_.size()},
          {"links", links_->Dump()},
          {"fleet", fleet_.Dump()}};
}

void Entry::RegisterUpstreamRoutes() {
  httplib::Server& routes = operator_server_->routes();
  routes.Get("/upstreams", [this](const httplib::Request&, httplib::Response& response) {
    const nlohmann::json body = {{"upstreams", fleet_.Upstreams()}};
    response.set_content(body.dump(2), kJson);
  });
  routes.Post(R"(/upstreams/([^/]+)/drain)", [this](const httplib::Request& request,
                                                    httplib::Response& response) {
    const Result<void> sent = links_->Drain(request.matches[1].str(), "requested by an operator");
    nlohmann::json body = {{"draining", true}};
    response.status = kStatusAccepted;
    if (!sent) {
      response.status = kStatusNotFound;
      body = {{"error",
               {{"kind", "no_link"},
                {"message", sent.error().message},
                {"remedy", "use POST /drain on the agent itself"}}}};
    }
    response.set_content(body.dump(2), kJson);
  });
}

void Entry::OnVmListChanged() {
  const std::shared_ptr<const store::VmList> list = vm_directory_->current();
  std::set<std::string> leaving;
  for (const store::Vm& vm : list->vms) {
    if (vm.leaving && vm.role == "agent") {
      leaving.insert(vm.id);
      // If the agent has no link, AgentLinks::OnUp sends the Drain when the link is up.
      static_cast<void>(links_->Drain(vm.id, "its VM is listed as leaving"));
    }
  }
  fleet_.SetListedLeaving(std::move(leaving));
  links_->ApplyVmList(*list);
}

}  // namespace rattanramp::entry
