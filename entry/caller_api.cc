#include "entry/caller_api.h"

#include <set>
#include <utility>

#include "base/ids.h"
#include "entry/call_driver.h"
#include "entry/generation_session.h"

namespace rattanramp::entry {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kInternalError = 500;
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kJson = "application/json";
constexpr const char* kServicePattern = R"(/services/([^/]+)(/.*)?)";
constexpr const char* kKeysPattern = R"(/services/([^/]+)/keys)";

Refusal Refuse(const char* kind, int status, std::string message, std::string remedy) {
  Refusal refusal;
  refusal.kind = kind;
  refusal.status = status;
  refusal.message = std::move(message);
  refusal.remedy = std::move(remedy);
  return refusal;
}

/// Returns the request id that the caller sent if it is safe in headers and logs, else a new one.
std::string RequestIdOf(const httplib::Request& request) {
  const std::string given = request.get_header_value(kRequestIdHeader);
  const bool safe = !given.empty() && given.size() <= kMaxRequestIdBytes &&
                    std::all_of(given.begin(), given.end(), [](char c) {
                      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
                             c == '_' || c == '.' || c == ':';
                    });
  return safe ? given : NewId("req");
}

/// Returns the path and query after /services/<service>, unchanged.
std::string UpstreamPath(const std::string& target) {
  constexpr std::string_view kPrefix = "/services/";
  const std::size_t end = target.find_first_of("/?", kPrefix.size());
  if (end == std::string::npos) {
    return "/";
  }
  return target[end] == '?' ? "/" + target.substr(end) : target.substr(end);
}

/// Fills in the refusal body for errors that the HTTP library produces itself, without a handler.
void FillLibraryRefusal(const httplib::Request& request, httplib::Response& response) {
  if (response.has_header(kRequestIdHeader)) {
    return;
  }
  const std::string request_id = RequestIdOf(request);
  response.set_header(kRequestIdHeader, request_id);
  Refusal refusal = Refuse("bad_request", response.status, "the HTTP request is not valid",
                           "check the request against the API documentation");
  if (response.status == kNotFound) {
    refusal.kind = "unknown_path";
    refusal.message = "no endpoint " + request.method + " " + request.path;
  } else if (response.status == kPayloadTooLarge) {
    refusal.kind = "body_too_large";
    refusal.message = "the body exceeds the size limit of the server";
    refusal.remedy = "send a smaller body";
  } else if (response.status >= kInternalError) {
    refusal.kind = "internal";
    refusal.message = "the entry failed while handling the request";
    refusal.remedy = "report the request id to the operators";
    refusal.outcome = core::Outcome::kUnknown;
  }
  WriteRefusal(refusal, request_id, response);
}

/// Sets type and body of the answer to a call. The body gets a length only if the upstream has
/// stated its end; otherwise it ends with the connection.
void SetCallAnswer(CallAnswer answer, httplib::Response& response) {
  const std::string type =
      answer.content_type.empty() ? "application/octet-stream" : std::move(answer.content_type);
  if (answer.is_end_stated) {
    response.set_content(answer.body, type);
    return;
  }
  response.set_header("Connection", "close");
  HttpServer::CloseAfterResponse();
  response.set_content_provider(
      type, [body = std::move(answer.body)](std::size_t /*offset*/, httplib::DataSink& sink) {
        sink.write(body.data(), body.size());
        sink.done();
        return true;
      });
}

}  // namespace

CallerApi::CallerApi(CallerApiContext context) : context_(std::move(context)) {}

void CallerApi::Register(HttpServer& server) {
  httplib::Server& routes = server.routes();
  routes.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("ok\n", "text/plain");
  });
  routes.Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
    const std::optional<Refusal> not_serving = context_.not_serving();
    response.status = not_serving ? kServiceUnavailable : kOk;
    response.set_header(kRequestIdHeader, NewId("req"));
    response.set_content(not_serving ? not_serving->message + "\n" : "ready\n", "text/plain");
  });
  routes.Get("/v1/models", Wrap("models", &CallerApi::Models));
  routes.Post("/v1/completions", Wrap("generation", &CallerApi::Complete));
  routes.Post("/v1/chat/completions", Wrap("generation", &CallerApi::Chat));
  routes.Post(kKeysPattern, Wrap("key", &CallerApi::IssueCallKey));
  const httplib::Server::Handler call = Wrap("call", &CallerApi::Call);
  routes.Get(kServicePattern, call);
  routes.Post(kServicePattern, call);
  routes.Put(kServicePattern, call);
  routes.Patch(kServicePattern, call);
  routes.Delete(kServicePattern, call);
  routes.Options(kServicePattern, call);
  routes.set_error_handler([](const httplib::Request& request, httplib::Response& response) {
    FillLibraryRefusal(request, response);
  });
}

httplib::Server::Handler CallerApi::Wrap(const std::string& kind, Handler handler) {
  return [this, kind, handler](const httplib::Request& request, httplib::Response& response) {
    const TimePoint arrived = context_.drivers.clock.now();
    AccessRecord record;
    record.request_id = RequestIdOf(request);
    record.request_kind = kind;
    response.set_header(kRequestIdHeader, record.request_id);
    const std::optional<Refusal> not_serving = context_.not_serving();
    if (not_serving) {
      record.refusal = not_serving;
      // Closing the connection lets the load balancer send the next request to another entry.
      response.set_header("Connection", "close");
      HttpServer::CloseAfterResponse();
    } else {
      (this->*handler)(request, response, record, arrived);
    }
    if (record.refusal) {
      WriteRefusal(*record.refusal, record.request_id, response);
    }
    if (record.request_kind.empty()) {
      // GenerationSession writes its own access log line when its stream has ended.
      return;
    }
    record.status = response.status < 0 ? kOk : response.status;
    record.total_ms = ToMs(context_.drivers.clock.now() - arrived);
    LogAccess(record, context_.drivers.metrics);
  };
}

void CallerApi::Complete(const httplib::Request& request, httplib::Response& response,
                         AccessRecord& record, TimePoint arrived) {
  Generate(false, request, response, record, arrived);
}

void CallerApi::Chat(const httplib::Request& request, httplib::Response& response,
                     AccessRecord& record, TimePoint arrived) {
  Generate(true, request, response, record, arrived);
}

void CallerApi::Generate(bool chat, const httplib::Request& request, httplib::Response& response,
                         AccessRecord& record, TimePoint arrived) {
  RefusalOr<GenerationRequest> parsed = ParseGeneration(
      request.body, chat, request.get_header_value("X-Service"), *context_.directory.current());
  if (!parsed) {
    record.refusal = std::move(parsed.error());
    return;
  }
  GenerationRequest generation = std::move(parsed.value());
  generation.request_id = record.request_id;
  generation.arrived = arrived;
  const bool stream = generation.stream;
  const std::shared_ptr<GenerationSession> session = std::make_shared<GenerationSession>(
      context_.drivers, std::move(generation), context_.failure_domain, Lease(), context_.active);
  record.request_kind.clear();
  if (!stream) {
    session->SendFullResponse(response);
    return;
  }
  if (!session->BeginStream(response)) {
    return;
  }
  response.set_header("Cache-Control", "no-cache");
  // The content provider keeps the session until the response is destroyed.
  response.set_chunked_content_provider(
      "text/event-stream",
      [session](std::size_t, httplib::DataSink& sink) { return session->ContinueStream(sink); });
}

void CallerApi::Models(const httplib::Request&, httplib::Response& response, AccessRecord&,
                       TimePoint) {
  std::set<std::string> names;
  nlohmann::json data = nlohmann::json::array();
  for (const std::shared_ptr<const Service>& service :
       context_.directory.current()->LanguageServices("")) {
    if (!service->settings.model.empty() && names.insert(service->settings.model).second) {
      data.push_back({{"id", service->settings.model},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", service->settings.customer}});
    }
  }
  response.set_content(nlohmann::json({{"object", "list"}, {"data", std::move(data)}}).dump(),
                       kJson);
}

RefusalOr<std::shared_ptr<const Service>> CallerApi::FindPlainService(
    const httplib::Request& request) const {
  const std::string name = request.matches[1].str();
  std::shared_ptr<const Service> service = context_.directory.current()->Find(name);
  if (!service || service->settings.kind != "plain") {
    return Refuse("unknown_service", kNotFound, "no plain service is named '" + name + "'",
                  "use the name of a plain service in the settings");
  }
  return service;
}

void CallerApi::Call(const httplib::Request& request, httplib::Response& response,
                     AccessRecord& record, TimePoint arrived) {
  RefusalOr<std::shared_ptr<const Service>> service = FindPlainService(request);
  if (!service) {
    record.refusal = std::move(service.error());
    return;
  }
  record.service = service.value();
  const settings::Settings& settings = record.service->settings;
  CallRequest call;
  call.idempotency_key = request.get_header_value("Idempotency-Key");
  if (request.is_multipart_form_data()) {
    record.refusal =
        Refuse("unsupported_media_type", kUnsupportedMediaType,
               "multipart bodies are not supported", "send the body without multipart encoding");
    return;
  }
  if (static_cast<std::int64_t>(request.body.size()) > settings.max_body_bytes) {
    record.refusal = Refuse("body_too_large", kPayloadTooLarge,
                            "the body has " + std::to_string(request.body.size()) + " bytes",
                            "send at most " + std::to_string(settings.max_body_bytes) + " bytes");
    return;
  }
  if (!settings.repeatable && call.idempotency_key.empty()) {
    record.refusal =
        Refuse("missing_idempotency_key", kBadRequest,
               "the service runs each request at most once and requires an Idempotency-Key",
               "send an Idempotency-Key header, for example one from POST /services/" +
                   record.service->name + "/keys");
    return;
  }
  if (call.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    record.refusal = Refuse("bad_idempotency_key", kBadRequest, "the Idempotency-Key is too long",
                            "use at most " + std::to_string(kMaxIdempotencyKeyBytes) + " bytes");
    return;
  }
  call.request_id = record.request_id;
  call.service = record.service;
  call.method = request.method;
  call.path = UpstreamPath(request.target);
  call.content_type = request.get_header_value("Content-Type");
  call.body = request.body;
  call.arrived = arrived;
  const ActiveRequest active(context_.active,
                             {record.request_id, record.service->name, "call", arrived});
  CallDriver driver(context_.drivers, std::move(call), Lease(), &HttpServer::CallerHasDisconnected);
  RefusalOr<CallAnswer> answer = driver.Run();
  record.stats = driver.stats();
  if (!answer) {
    record.refusal = std::move(answer.error());
    return;
  }
  response.status = answer.value().status;
  if (answer.value().replayed) {
    response.set_header("Idempotent-Replayed", "true");
  }
  SetCallAnswer(std::move(answer.value()), response);
}

void CallerApi::IssueCallKey(const httplib::Request& request, httplib::Response& response,
                             AccessRecord& record, TimePoint arrived) {
  RefusalOr<std::shared_ptr<const Service>> service = FindPlainService(request);
  if (!service) {
    record.refusal = std::move(service.error());
    return;
  }
  record.service = service.value();
  const ActiveRequest active(context_.active,
                             {record.request_id, record.service->name, "key", arrived});
  RefusalOr<std::string> key = IssueKey(context_.drivers, *record.service, record.request_id,
                                        &HttpServer::CallerHasDisconnected);
  if (!key) {
    record.refusal = std::move(key.error());
    return;
  }
  response.status = kCreated;
  response.set_content(nlohmann::json({{"key", key.value()}}).dump(), kJson);
}

Milliseconds CallerApi::Lease() const {
  return Milliseconds(context_.directory.current()->process.lease_ms);
}

}  // namespace rattanramp::entry
