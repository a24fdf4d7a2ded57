#include "standins/engine_server.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "standins/expected_output.h"
#include "standins/http_json.h"

namespace rattanramp::standins {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr Milliseconds kDisconnectPollInterval{50};

/// Value of silence_epoch_ at the first request on this thread's connection; 0 before that. The
/// server uses one thread for each connection.
thread_local std::uint64_t connection_epoch = 0;

void SetErrorResponse(httplib::Response& response, const EngineError& error) {
  SetJson(response, error.status, {{"error", error.error}});
}

EngineCall ParseCall(const json& body) {
  EngineCall call;
  call.request_id = body.at("request_id").get<std::string>();
  call.prompt = body.at("prompt").get<std::string>();
  call.already_generated = body.value("already_generated", "");
  call.max_tokens = body.value("max_tokens", std::int64_t{0});
  call.priority = body.value("priority", std::int64_t{0});
  call.kv_handle = body.value("kv_handle", "");
  call.source_url = body.value("source_url", "");
  if (body.contains("fence") && body["fence"].is_number_integer()) {
    call.fence = body["fence"].get<std::int64_t>();
  }
  return call;
}

std::optional<std::int64_t> IntegerParameter(const httplib::Request& request, const char* name) {
  if (!request.has_param(name)) {
    return std::nullopt;
  }
  const json value = json::parse(request.get_param_value(name), nullptr, false);
  return value.is_number_integer() ? std::optional(value.get<std::int64_t>()) : std::nullopt;
}

bool WriteEvent(httplib::DataSink& sink, const json& event) {
  const std::string text = "data: " + event.dump() + "\n\n";
  return sink.write(text.data(), text.size());
}

}  // namespace

Result<std::unique_ptr<EngineServer>> EngineServer::Create(const std::string& listen,
                                                           const EngineOptions& options) {
  const std::string problem = FindOptionProblem(options);
  if (!problem.empty()) {
    return Error{ErrorKind::kInvalidArgument, problem, "set the option to a permitted value"};
  }
  HttpServerOptions server_options;
  server_options.address = listen;
  BOOST_OUTCOME_TRY(server, HttpServer::Create(server_options));
  return std::unique_ptr<EngineServer>(new EngineServer(std::move(server), options));
}

EngineServer::EngineServer(std::unique_ptr<HttpServer> server, const EngineOptions& options)
    : server_(std::move(server)), engine_(options) {
  AddRoutes();
  AddControlRoutes();
  AddTestRoutes();
  server_->Start();
}

EngineServer::~EngineServer() { Stop(); }

void EngineServer::Stop() {
  stopping_.store(true);
  engine_.Stop();
  server_->Stop();
}

httplib::Server::Handler EngineServer::WithSilentConnections(httplib::Server::Handler handler) {
  return [this, handler = WithJsonErrors(std::move(handler))](const httplib::Request& request,
                                                              httplib::Response& response) {
    if (!ConnectionIsSilenced()) {
      handler(request, response);
    }
    if (ConnectionIsSilenced()) {
      WaitForDisconnect();
    }
  };
}

bool EngineServer::ConnectionIsSilenced() {
  if (connection_epoch == 0) {
    connection_epoch = silence_epoch_.load();
  }
  return connection_epoch != silence_epoch_.load();
}

void EngineServer::WaitForDisconnect() const {
  while (!stopping_.load() && !HttpServer::CallerHasDisconnected()) {
    std::this_thread::sleep_for(kDisconnectPollInterval);
  }
  HttpServer::ShutDownConnection();
}

void EngineServer::AddRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Post("/v1/prefill", WithSilentConnections([this](const httplib::Request& request,
                                                          httplib::Response& response) {
                HandlePrefill(request, response);
              }));
  const httplib::Server::Handler decode =
      WithSilentConnections([this](const httplib::Request& request, httplib::Response& response) {
        HandleDecode(request, response);
      });
  routes.Post("/v1/decode", decode);
  routes.Post("/v1/generate", decode);
  routes.Get(
      R"(/v1/requests/([^/]+)/stream)",
      WithSilentConnections([this](const httplib::Request& request, httplib::Response& response) {
        HandleResume(request, response);
      }));
  const httplib::Server::Handler cancel =
      WithSilentConnections([this](const httplib::Request& request, httplib::Response& response) {
        HandleCancel(request, response);
      });
  routes.Delete(R"(/v1/requests/([^/]+))", cancel);
  routes.Delete("/v1/requests", cancel);
  routes.Get(R"(/v1/kv/([^/]+))", WithSilentConnections([this](const httplib::Request& request,
                                                               httplib::Response& response) {
               const EngineResult<KvExport> result =
                   engine_.Export(request.matches[1], HttpServer::CallerHasDisconnected);
               if (!result) {
                 SetErrorResponse(response, result.error());
                 return;
               }
               const KvExport& kv = result.value();
               SetJson(response, kOk,
                       {{"kv_handle", kv.kv_handle},
                        {"output_seed", kv.output_seed},
                        {"kv_bytes", kv.bytes},
                        {"prefill_tokens", kv.prefill_tokens}});
             }));
}

void EngineServer::AddControlRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/v1/load",
             WithSilentConnections([this](const httplib::Request&, httplib::Response& response) {
               HandleLoad(response);
             }));
  routes.Get("/v1/events", WithSilentConnections([this](const httplib::Request& request,
                                                        httplib::Response& response) {
               json events = json::array();
               const std::int64_t after = IntegerParameter(request, "after").value_or(0);
               for (const CacheEvent& event : engine_.EventsAfter(after)) {
                 events.push_back({{"sequence", event.sequence},
                                   {"block_hash", event.block_hash},
                                   {"stored", event.stored}});
               }
               SetJson(response, kOk, {{"incarnation", engine_.incarnation()}, {"events", events}});
             }));
  routes.Post("/v1/orders", WithSilentConnections([this](const httplib::Request& request,
                                                         httplib::Response& response) {
                HandleOrder(request, response);
              }));
}

void EngineServer::AddTestRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/v1/truth", [this](const httplib::Request&, httplib::Response& response) {
    const EngineSnapshot snapshot = engine_.Snapshot();
    SetJson(response, kOk,
            {{"held_pieces", snapshot.held_pieces},
             {"cached_pieces", snapshot.cached_pieces},
             {"unclaimed_kv", snapshot.unclaimed_kv},
             {"running", snapshot.running_ids},
             {"queued", snapshot.queued},
             {"prefill_tokens_spent", snapshot.prefill_tokens_spent},
             {"prefill_tokens_wasted", snapshot.prefill_tokens_wasted},
             {"output_tokens", snapshot.output_tokens},
             {"wrong_continuations", snapshot.wrong_continuations}});
  });
  routes.Post("/v1/faults",
              WithJsonErrors([this](const httplib::Request& request, httplib::Response& response) {
                HandleFaults(request, response);
              }));
}

void EngineServer::HandlePrefill(const httplib::Request& request, httplib::Response& response) {
  const json body = ParseObject(request, response);
  if (body.is_null()) {
    return;
  }
  const EngineResult<PrefillResponse> result =
      engine_.Prefill(ParseCall(body), HttpServer::CallerHasDisconnected);
  if (!result) {
    SetErrorResponse(response, result.error());
    return;
  }
  const PrefillResponse& answer = result.value();
  SetJson(response, kOk,
          {{"kv_handle", answer.kv_handle},
           {"prompt_tokens", answer.prompt_tokens},
           {"cached_tokens", answer.cached_tokens},
           {"kv_bytes", answer.kv_bytes}});
}

void EngineServer::HandleDecode(const httplib::Request& request, httplib::Response& response) {
  const json body = ParseObject(request, response);
  if (body.is_null()) {
    return;
  }
  EngineCall call = ParseCall(body);
  if (request.path == "/v1/generate") {
    call.kv_handle.clear();
  }
  if (call.max_tokens < 0) {
    SetJson(response, kBadRequest, {{"error", "max_tokens must not be negative"}});
    return;
  }
  const EngineResult<RequestPtr> result = engine_.Decode(call, HttpServer::CallerHasDisconnected);
  if (!result) {
    SetErrorResponse(response, result.error());
    return;
  }
  StartStream(response, result.value(), 0);
}

void EngineServer::HandleResume(const httplib::Request& request, httplib::Response& response) {
  const std::int64_t offset = IntegerParameter(request, "offset").value_or(0);
  const EngineResult<RequestPtr> result = engine_.FindStream(request.matches[1]);
  if (!result) {
    SetErrorResponse(response, result.error());
    return;
  }
  if (offset < 0 || offset > result.value()->max_tokens * kTokenBytes) {
    SetJson(response, kBadRequest, {{"error", "offset must be within the output of the request"}});
    return;
  }
  StartStream(response, result.value(), offset);
}

void EngineServer::StartStream(httplib::Response& response, const RequestPtr& request,
                               std::int64_t offset) {
  response.status = kOk;
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, request, position = offset](std::size_t, httplib::DataSink& sink) mutable {
        return WriteStep(sink, request, position);
      });
}

bool EngineServer::WriteStep(httplib::DataSink& sink, const RequestPtr& request,
                             std::int64_t& offset) {
  const StreamStep step = engine_.NextStep(request, offset);
  if (ConnectionIsSilenced()) {
    WaitForDisconnect();
    return false;
  }
  switch (step.kind) {
    case StreamStep::Kind::kNoOutput:
      return !HttpServer::CallerHasDisconnected();
    case StreamStep::Kind::kText:
      offset += static_cast<std::int64_t>(step.text.size());
      return WriteEvent(
          sink, {{"offset", step.offset}, {"text", step.text}, {"tokens", TokenCount(step.text)}});
    case StreamStep::Kind::kDone:
      // The fields of a finished request do not change, so they are read without the mutex.
      WriteEvent(
          sink, {{"done", true},
                 {"output_tokens", request->produced_tokens},
                 {"prefill_tokens", static_cast<std::int64_t>(request->local_prefill_tokens_spent)},
                 {"cached_tokens", request->cached_tokens},
                 {"total_bytes", request->produced_tokens * kTokenBytes}});
      break;
    case StreamStep::Kind::kFailed:
      WriteEvent(sink, {{"error", step.error.error}});
      break;
  }
  sink.done();
  return true;
}

void EngineServer::HandleCancel(const httplib::Request& request, httplib::Response& response) {
  const EngineResult<void> fencing_check =
      engine_.CheckFencingToken(IntegerParameter(request, "fence"));
  if (!fencing_check) {
    SetErrorResponse(response, fencing_check.error());
    return;
  }
  if (request.matches.size() < 2) {
    SetJson(response, kOk, {{"cancelled", engine_.CancelAll()}});
    return;
  }
  if (!engine_.Cancel(request.matches[1])) {
    SetJson(response, kNotFound, {{"error", "unknown_request"}});
    return;
  }
  SetJson(response, kOk, {{"cancelled", 1}});
}

void EngineServer::HandleOrder(const httplib::Request& request, httplib::Response& response) {
  const json body = ParseObject(request, response);
  if (body.is_null()) {
    return;
  }
  std::optional<std::int64_t> fencing_token;
  if (body.contains("fence")) {
    fencing_token = body["fence"].get<std::int64_t>();
  }
  const EngineResult<void> fencing_check = engine_.CheckFencingToken(fencing_token);
  if (!fencing_check) {
    SetErrorResponse(response, fencing_check.error());
    return;
  }
  const std::string kind = body.at("kind").get<std::string>();
  const std::string name = body.value("name", "");
  const std::string role = body.value("role", "");
  if (kind == "set_role" && (role == "prefill" || role == "decode" || role == "both")) {
    engine_.SetRole(role);
  } else if (kind == "load_model" && !name.empty()) {
    engine_.LoadModel(name);
  } else if (kind == "unload_model" && !name.empty()) {
    engine_.UnloadModel(name);
  } else if (kind != "load_adapter" || name.empty()) {
    SetJson(response, kBadRequest,
            {{"error", "unknown kind of order, or its name or role is missing or invalid"}});
    return;
  }
  SetJson(response, kOk, {{"done", true}});
}

void EngineServer::HandleLoad(httplib::Response& response) const {
  const EngineLoad load = engine_.ReportedLoad();
  const EngineOptions& options = engine_.options();
  SetJson(response, kOk,
          {{"incarnation", engine_.incarnation()},
           {"total_pieces", options.total_pieces},
           {"free_pieces", load.free_pieces},
           {"max_running", options.max_running},
           {"running", load.running},
           {"queued", load.queued},
           {"queued_prefill_tokens", load.queued_prefill_tokens},
           {"prefill_tokens_per_s", options.prefill_tokens_per_s},
           {"decode_token_ms", options.decode_token_ms},
           {"link_queue_bytes", load.link_queue_bytes},
           {"link_bytes_per_s", options.link_bytes_per_s},
           {"kv_bytes_per_token", options.kv_bytes_per_token},
           {"role", load.role},
           {"models", load.models}});
}

void EngineServer::HandleFaults(const httplib::Request& request, httplib::Response& response) {
  const json body = ParseObject(request, response);
  if (body.is_null()) {
    return;
  }
  EngineFaults faults = engine_.faults();
  faults.stall_transfers = body.value("stall_transfers", faults.stall_transfers);
  faults.freeze_streams = body.value("freeze_streams", faults.freeze_streams);
  faults.crash_on = body.value("crash_on", faults.crash_on);
  engine_.SetFaults(faults);
  if (body.value("silent_connections", false)) {
    connection_epoch = silence_epoch_.fetch_add(1) + 1;
  }
  SetJson(response, kOk,
          {{"stall_transfers", faults.stall_transfers},
           {"freeze_streams", faults.freeze_streams},
           {"crash_on", faults.crash_on}});
}

}  // namespace rattanramp::standins
