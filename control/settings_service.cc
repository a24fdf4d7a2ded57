#include "control/settings_service.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "settings/schema.h"

namespace rattanramp::control {
namespace {

using nlohmann::json;

constexpr const char* kJson = "application/json";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflictStatus = 409;
constexpr int kUnavailableStatus = 503;
constexpr int kRetryAfterMs = 2000;
/// Upper bound of the poll interval until the first settings are received.
constexpr Milliseconds kBootPollInterval{1000};
constexpr std::size_t kDefaultHistory = 20;
constexpr std::size_t kMaxHistory = 500;

void Reply(httplib::Response& response, int status, const json& body) {
  response.status = status;
  // The body can contain query parameters with invalid UTF-8; invalid bytes are replaced.
  response.set_content(body.dump(2, ' ', false, json::error_handler_t::replace) + "\n", kJson);
}

json ChangeToJson(const wire::SettingsChange& change) {
  return {{"version", change.version},
          {"change_id", change.change_id},
          {"author", change.author},
          {"at_unix_ms", change.at_unix_ms},
          {"operations", json::parse(change.operations_json, nullptr, false)}};
}

json ErrorBody(const std::string& kind, const std::string& outcome, const Error& error,
               const std::string& change_id) {
  return {{"kind", kind},       {"message", error.message}, {"remedy", error.remedy},
          {"outcome", outcome}, {"change_id", change_id},   {"retry_after_ms", nullptr}};
}

void ReplyToChange(httplib::Response& response, const ChangeRequest& request,
                   const ChangeResult& result) {
  json error;
  int status = kUnavailableStatus;
  switch (result.outcome) {
    case ChangeOutcome::kAccepted:
      Reply(response, kOk,
            {{"outcome", "accepted"},
             {"version", result.version},
             {"change_id", request.change_id},
             {"repeated", result.repeated}});
      return;
    case ChangeOutcome::kInvalid:
      status = kBadRequest;
      error = ErrorBody("invalid", "not_run", result.error, request.change_id);
      break;
    case ChangeOutcome::kConflict:
      status = kConflictStatus;
      error = ErrorBody("conflict", "not_run", result.error, request.change_id);
      error["current_version"] = result.version;
      error["winner"] = result.winner ? ChangeToJson(*result.winner) : json();
      break;
    case ChangeOutcome::kNotRun:
      error = ErrorBody("unavailable", "not_run", result.error, request.change_id);
      error["retry_after_ms"] = kRetryAfterMs;
      break;
    case ChangeOutcome::kUnknown:
      error = ErrorBody("reply_lost", "unknown", result.error, request.change_id);
      error["retry_after_ms"] = kRetryAfterMs;
      break;
  }
  if (!error["retry_after_ms"].is_null()) {
    response.set_header("Retry-After", std::to_string(kRetryAfterMs / 1000));
  }
  Reply(response, status, {{"error", error}});
}

std::size_t HistoryLimit(const httplib::Request& request) {
  const std::string text = request.get_param_value("limit");
  std::size_t limit = kDefaultHistory;
  std::from_chars(text.data(), text.data() + text.size(), limit);
  return std::clamp<std::size_t>(limit, 1, kMaxHistory);
}

json ExplainToJson(const VersionedSettings& settings, const httplib::Request& request) {
  const std::string service = request.get_param_value("service");
  const std::string failure_domain = request.get_param_value("failure_domain");
  const std::string model = request.get_param_value("model");
  json values = json::array();
  for (const settings::Explanation& explanation :
       settings.tree.Explain(service, failure_domain, model)) {
    json overridden = json::array();
    for (const settings::OriginValue& overridden_value : explanation.overridden) {
      overridden.push_back(
          {{"origin", overridden_value.origin}, {"value", overridden_value.value}});
    }
    const settings::KeySpec* spec = settings::FindKey(explanation.key);
    values.push_back({{"key", explanation.key},
                      {"value", explanation.value},
                      {"unit", spec->unit},
                      {"origin", explanation.origin},
                      {"overridden", overridden},
                      {"description", spec->description}});
  }
  json answer = {{"version", settings.version},
                 {"service", service},
                 {"failure_domain", failure_domain},
                 {"model", model},
                 {"paths", settings.tree.ResolvedPaths(service, failure_domain, model)},
                 {"values", values}};
  if (!service.empty() && !settings.tree.has_service(service)) {
    const std::vector<std::string> services = settings.tree.services();
    const std::vector<std::string_view> names(services.begin(), services.end());
    answer["note"] = "there is no service '" + service + "'" +
                     (names.empty() ? ""
                                    : "; the nearest is '" +
                                          std::string(settings::NearestName(service, names)) + "'");
  }
  return answer;
}

}  // namespace

SettingsService::SettingsService(store::PlatformStore& store, SettingsReplica& replica,
                                 const Clock& clock, PushCallback push)
    : store_(store),
      replica_(replica),
      clock_(clock),
      push_(std::move(push)),
      thread_([this] { static_cast<void>(PollOnce()); }, [this] { return PollInterval(); }) {}

void SettingsService::Start() { thread_.Start(); }

void SettingsService::Stop() { thread_.Stop(); }

Result<bool> SettingsService::PollOnce() {
  const std::int64_t before = replica_.version();
  const Result<SettingsHead> head = CatchUp(store_, replica_);
  const bool failed = !head.has_value();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (failed != poll_failed_) {
      Log(failed ? LogLevel::kWarning : LogLevel::kInfo,
          failed ? "settings_poll_failed" : "settings_poll_recovered",
          {{"version", replica_.version()}, {"error", failed ? head.error().message : ""}});
    }
    poll_failed_ = failed;
  }
  if (failed) {
    return head.error();
  }
  return replica_.version() > before;
}

ChangeResult SettingsService::Change(const ChangeRequest& request) {
  ChangeResult result = CommitChange(store_, replica_, request, clock_);
  Log(LogLevel::kInfo, "settings_change",
      {{"change_id", request.change_id},
       {"author", request.author},
       {"accepted", result.outcome == ChangeOutcome::kAccepted},
       {"version", result.version},
       {"error", result.error.message}});
  if (result.outcome == ChangeOutcome::kAccepted && push_) {
    wire::Frame frame;
    frame.__set_settings_push(replica_.MakePush(result.version - 1));
    push_(frame);
  }
  return result;
}

void SettingsService::RegisterRoutes(HttpServer& server) {
  httplib::Server& routes = server.routes();
  routes.Get("/settings", [this](const httplib::Request&, httplib::Response& response) {
    const std::shared_ptr<const VersionedSettings> settings = replica_.current();
    Reply(response, kOk, {{"version", settings->version}, {"tree", settings->tree.json()}});
  });
  routes.Get("/settings/history",
             [this](const httplib::Request& request, httplib::Response& response) {
               json changes = json::array();
               for (const wire::SettingsChange& change :
                    ReadHistory(store_, replica_, HistoryLimit(request))) {
                 changes.push_back(ChangeToJson(change));
               }
               Reply(response, kOk, {{"version", replica_.version()}, {"changes", changes}});
             });
  routes.Get("/settings/explain",
             [this](const httplib::Request& request, httplib::Response& response) {
               Reply(response, kOk, ExplainToJson(*replica_.current(), request));
             });
  routes.Post("/settings/changes",
              [this](const httplib::Request& request, httplib::Response& response) {
                const Result<ChangeRequest> change = ParseChangeRequest(request.body);
                if (!change) {
                  Reply(response, kBadRequest,
                        {{"error", ErrorBody("invalid", "not_run", change.error(), "")}});
                  return;
                }
                ReplyToChange(response, change.value(), Change(change.value()));
              });
}

Milliseconds SettingsService::PollInterval() const {
  const std::shared_ptr<const VersionedSettings> settings = replica_.current();
  const Milliseconds interval(settings->tree.Resolve("", "", "").settings_poll_ms);
  return settings->version == 0 ? std::min(interval, kBootPollInterval) : interval;
}

}  // namespace rattanramp::control
