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
constexpr Milliseconds kSilentPoll{50};

/// Epoch of the connection that this thread serves; the server has a thread for each connection.
thread_local std::uint64_t connection_epoch = 0;

void SetError(httplib::Response& response, const EngineError& error) {
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

std::optional<std::int64_t> NumberParameter(const httplib::Request& request, const char* name) {
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
    return Error{ErrorKind::kInvalidArgument, problem, "correct the option"};
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

httplib::Server::Handler EngineServer::Wrap(httplib::Server::Handler handler) {
  return [this, handler = WithJsonErrors(std::move(handler))](const httplib::Request& request,
                                                              httplib::Response& response) {
    if (!ConnectionIsSilenced()) {
      handler(request, response);
    }
    if (ConnectionIsSilenced()) {
      WaitSilently();
    }
  };
}

bool EngineServer::ConnectionIsSilenced() {
  if (connection_epoch == 0) {
    connection_epoch = silence_epoch_.load();
  }
  return connection_epoch != silence_epoch_.load();
}

void EngineServer::WaitSilently() const {
  while (!stopping_.load() && !HttpServer::CallerHasLeft()) {
    std::this_thread::sleep_for(kSilentPoll);
  }
  HttpServer::BreakConnection();
}

void EngineServer::AddRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Post("/v1/prefill",
              Wrap([this](const httplib::Request& request, httplib::Response& response) {
                HandlePrefill(request, response);
              }));
  const httplib::Server::Handler decode =
      Wrap([this](const httplib::Request& request, httplib::Response& response) {
        HandleDecode(request, response);
      });
  routes.Post("/v1/decode", decode);
  routes.Post("/v1/generate", decode);
  routes.Get(R"(/v1/requests/([^/]+)/stream)",
             Wrap([this](const httplib::Request& request, httplib::Response& response) {
               HandleResume(request, response);
             }));
  const httplib::Server::Handler cancel =
      Wrap([this](const httplib::Request& request, httplib::Response& response) {
        HandleCancel(request, response);
      });
  routes.Delete(R"(/v1/requests/([^/]+))", cancel);
  routes.Delete("/v1/requests", cancel);
  routes.Get(R"(/v1/kv/([^/]+))",
             Wrap([this](const httplib::Request& request, httplib::Response& response) {
               const EngineResult<KvExport> result =
                   engine_.Export(request.matches[1], HttpServer::CallerHasLeft);
               if (!result) {
                 SetError(response, result.error());
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
  routes.Get("/v1/load", Wrap([this](const httplib::Request&, httplib::Response& response) {
               HandleLoad(response);
             }));
  routes.Get("/v1/events",
             Wrap([this](const httplib::Request& request, httplib::Response& response) {
               json events = json::array();
               const std::int64_t after = NumberParameter(request, "after").value_or(0);
               for (const CacheEvent& event : engine_.EventsAfter(after)) {
                 events.push_back({{"sequence", event.sequence},
                                   {"block_hash", event.block_hash},
                                   {"stored", event.stored}});
               }
               SetJson(response, kOk, {{"incarnation", engine_.incarnation()}, {"events", events}});
             }));
  routes.Post("/v1/orders",
              Wrap([this](const httplib::Request& request, httplib::Response& response) {
                HandleOrder(request, response);
              }));
}

void EngineServer::AddTestRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/v1/truth", [this](const httplib::Request&, httplib::Response& response) {
    const EngineTruth truth = engine_.Truth();
    SetJson(response, kOk,
            {{"held_pieces", truth.held_pieces},
             {"cached_pieces", truth.cached_pieces},
             {"unclaimed_kv", truth.unclaimed_kv},
             {"running", truth.running},
             {"queued", truth.queued},
             {"prefill_tokens_spent", truth.prefill_tokens_spent},
             {"prefill_tokens_wasted", truth.prefill_tokens_wasted},
             {"output_tokens", truth.output_tokens},
             {"wrong_continuations", truth.wrong_continuations}});
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
  const EngineResult<PrefillAnswer> result =
      engine_.Prefill(ParseCall(body), HttpServer::CallerHasLeft);
  if (!result) {
    SetError(response, result.error());
    return;
  }
  const PrefillAnswer& answer = result.value();
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
    SetJson(response, kBadRequest, {{"error", "max_tokens is negative"}});
    return;
  }
  const EngineResult<RequestPtr> result = engine_.Decode(call, HttpServer::CallerHasLeft);
  if (!result) {
    SetError(response, result.error());
    return;
  }
  StartStream(response, result.value(), 0);
}

void EngineServer::HandleResume(const httplib::Request& request, httplib::Response& response) {
  const std::int64_t offset = NumberParameter(request, "offset").value_or(0);
  const EngineResult<RequestPtr> result = engine_.FindStream(request.matches[1]);
  if (!result) {
    SetError(response, result.error());
    return;
  }
  if (offset < 0 || offset > result.value()->max_tokens * kTokenBytes) {
    SetJson(response, kBadRequest, {{"error", "offset is outside the output"}});
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
    WaitSilently();
    return false;
  }
  switch (step.kind) {
    case StreamStep::Kind::kNothingYet:
      return !HttpServer::CallerHasLeft();
    case StreamStep::Kind::kText:
      offset += static_cast<std::int64_t>(step.text.size());
      return WriteEvent(
          sink, {{"offset", step.offset}, {"text", step.text}, {"tokens", TokenCount(step.text)}});
    case StreamStep::Kind::kDone:
      // A finished request changes no more, so its fields need no lock.
      WriteEvent(sink, {{"done", true},
                        {"output_tokens", request->produced_tokens},
                        {"prefill_tokens", static_cast<std::int64_t>(request->prefill_spent_here)},
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
  const EngineResult<void> fence = engine_.CheckFence(NumberParameter(request, "fence"));
  if (!fence) {
    SetError(response, fence.error());
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
  std::optional<std::int64_t> number;
  if (body.contains("fence")) {
    number = body["fence"].get<std::int64_t>();
  }
  const EngineResult<void> fence = engine_.CheckFence(number);
  if (!fence) {
    SetError(response, fence.error());
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
    SetJson(response, kBadRequest, {{"error", "unknown order or missing name or role"}});
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
