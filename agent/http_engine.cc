#include "agent/http_engine.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "agent/event_stream.h"
#include "agent/http_client.h"

namespace rattanramp::agent {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr const char* kJsonType = "application/json";

// The agent detects a stalled request by a timeout that depends on its stage. This longer timeout
// only ends threads whose connection was lost without being closed.
constexpr Milliseconds kRunReadTimeout{600'000};
constexpr Milliseconds kControlReadTimeout{1000};

// Longest body of an answer that reports an error.
constexpr std::size_t kMaxErrorBytes = 64 * 1024;

std::string ErrorKindOf(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error")) {
    return "";
  }
  const json& error = parsed["error"];
  return error.is_string() ? error.get<std::string>() : error.dump();
}

RunStatus StatusOf(int http_status, const std::string& error) {
  if (http_status == kNotFound) {
    return RunStatus::kNotFound;
  }
  if (http_status == kUnavailable) {
    return RunStatus::kMemoryFull;
  }
  if (http_status == kConflict) {
    return error.find("cancelled") != std::string::npos ? RunStatus::kStopped : RunStatus::kKvGone;
  }
  return RunStatus::kError;
}

httplib::Request MakePostRequest(const std::string& path, const json& body) {
  httplib::Request request;
  request.method = "POST";
  request.path = path;
  request.set_header("Content-Type", kJsonType);
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

/// Runs a request whose response is a stream of server-sent events.
RunResult RunStream(const std::string& url, httplib::Request request, const RunSink& sink,
                    RunControl& control) {
  RunResult result;
  bool done = false;
  int http_status = 0;
  std::string error_body;
  EventStream events([&](const json& event) {
    if (event.value("done", false)) {
      done = true;
      result.output_tokens = event.value("output_tokens", 0);
      result.prefill_tokens = event.value("prefill_tokens", 0);
      result.cached_tokens = event.value("cached_tokens", 0);
      result.total_bytes = event.value("total_bytes", std::int64_t{0});
      return;
    }
    if (event.contains("error")) {
      result.message = event["error"].dump();
      return;
    }
    sink.on_output(OutputChunk{event.value("offset", std::int64_t{0}), event.value("text", ""),
                               event.value("tokens", 0)});
  });
  request.response_handler = [&](const httplib::Response& response) {
    http_status = response.status;
    if (http_status == kOk) {
      sink.on_accepted();
    }
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    if (http_status != kOk) {
      error_body.append(data, size);
      return error_body.size() <= kMaxErrorBytes;
    }
    try {
      return !control.stopped() && events.Feed(std::string_view(data, size));
    } catch (const json::exception&) {
      return false;
    }
  };
  const std::unique_ptr<http::StrictClient> client = MakeClient(url, kRunReadTimeout);
  const HttpReply reply = SendRequest(*client, std::move(request), control);
  if (done) {
    result.status = RunStatus::kDone;
    return result;
  }
  if (http_status != 0 && http_status != kOk) {
    const std::string error = ErrorKindOf(error_body);
    result.status = StatusOf(http_status, error);
    result.message = "status " + std::to_string(http_status) + " " + error;
    return result;
  }
  // A stream that ends without its end event is incomplete, as after a lost connection.
  result.status = reply.status == RunStatus::kDone ? RunStatus::kBroken : reply.status;
  if (result.message.empty()) {
    result.message = reply.message.empty() ? "stream ended without its end event" : reply.message;
  }
  return result;
}

Error MakeControlError(const HttpReply& reply, const std::string& action) {
  const std::string detail = action + " failed: " + reply.message;
  if (reply.status == RunStatus::kRefused) {
    return {ErrorKind::kUnavailable, detail, "check that the engine runs"};
  }
  return {ErrorKind::kTimeout, detail, "check the engine and its load"};
}

/// Sends a control request with a timeout of 1 s. Any status other than 200 is an error.
Result<std::string> SendControlRequest(const std::string& url, httplib::Request request,
                                       const std::string& action) {
  const std::unique_ptr<http::StrictClient> client = MakeClient(url, kControlReadTimeout);
  RunControl control;
  const HttpReply reply = SendRequest(*client, std::move(request), control);
  if (reply.status != RunStatus::kDone) {
    return MakeControlError(reply, action);
  }
  const int status = reply.response.status;
  if (status == kOk) {
    return reply.response.body;
  }
  const std::string detail = action + ": status " + std::to_string(status);
  if (status == kNotFound) {
    return Error{ErrorKind::kNotFound, detail, "none"};
  }
  if (status == kConflict) {
    return Error{ErrorKind::kConflict, detail + " " + ErrorKindOf(reply.response.body),
                 "another agent with a newer epoch controls the engine; stop this agent"};
  }
  return Error{ErrorKind::kProtocol, detail, "check the version of the engine"};
}

httplib::Request MakeControlRequest(const std::string& method, const std::string& path) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  return request;
}

json GenerateBody(const GenerateRequest& request, std::int64_t fence) {
  return {{"request_id", request.request_id},
          {"prompt", request.prompt},
          {"already_generated", request.already_generated},
          {"max_tokens", request.max_tokens},
          {"priority", request.priority},
          {"fence", fence}};
}

Result<UpstreamLoad> ParseLoad(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  const Error error{ErrorKind::kProtocol, "load response has an unexpected format",
                    "check the version of the engine"};
  if (!parsed.is_object()) {
    return error;
  }
  try {
    UpstreamLoad load;
    load.incarnation = parsed.value("incarnation", std::int64_t{0});
    load.total_pieces = parsed.value("total_pieces", 0);
    load.free_pieces = parsed.value("free_pieces", 0);
    load.max_running = parsed.value("max_running", 0);
    load.running = parsed.value("running", 0);
    load.queued = parsed.value("queued", 0);
    load.queued_prefill_tokens = parsed.value("queued_prefill_tokens", std::int64_t{0});
    load.prefill_tokens_per_s = parsed.value("prefill_tokens_per_s", 0.0);
    load.decode_token_ms = parsed.value("decode_token_ms", 0.0);
    load.link_queue_bytes = parsed.value("link_queue_bytes", std::int64_t{0});
    load.link_bytes_per_s = parsed.value("link_bytes_per_s", 0.0);
    load.kv_bytes_per_token = parsed.value("kv_bytes_per_token", 0.0);
    load.role = parsed.value("role", "");
    load.models = parsed.value("models", std::vector<std::string>());
    return load;
  } catch (const json::exception&) {
    return error;
  }
}

}  // namespace

Result<std::unique_ptr<HttpEngine>> HttpEngine::Create(const std::string& url) {
  if (!url.starts_with("http://")) {
    return Error{ErrorKind::kInvalidArgument, "bad upstream.url '" + url + "'",
                 "write http://HOST:PORT"};
  }
  return std::unique_ptr<HttpEngine>(new HttpEngine(url));
}

HttpEngine::HttpEngine(std::string url) : url_(std::move(url)) {}

void HttpEngine::SetFence(std::int64_t fence) { fence_.store(fence); }

PrefillResult HttpEngine::Prefill(const PrefillRequest& request, RunControl& control) {
  const json body = {{"request_id", request.request_id},
                     {"prompt", request.prompt},
                     {"priority", request.priority},
                     {"fence", fence_.load()}};
  const std::unique_ptr<http::StrictClient> client = MakeClient(url_, kRunReadTimeout);
  const HttpReply reply = SendRequest(*client, MakePostRequest("/v1/prefill", body), control);
  PrefillResult result;
  result.run.status = reply.status;
  result.run.message = reply.message;
  if (reply.status != RunStatus::kDone) {
    return result;
  }
  if (reply.response.status != kOk) {
    const std::string error = ErrorKindOf(reply.response.body);
    result.run.status = StatusOf(reply.response.status, error);
    result.run.message = "status " + std::to_string(reply.response.status) + " " + error;
    return result;
  }
  const json parsed = json::parse(reply.response.body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("kv_handle")) {
    result.run.status = RunStatus::kError;
    result.run.message = "prefill response has no kv_handle";
    return result;
  }
  result.kv_handle = parsed["kv_handle"].is_string() ? parsed["kv_handle"].get<std::string>()
                                                     : parsed["kv_handle"].dump();
  result.kv_bytes = parsed.value("kv_bytes", std::int64_t{0});
  result.run.prefill_tokens = parsed.value("prompt_tokens", 0);
  result.run.cached_tokens = parsed.value("cached_tokens", 0);
  return result;
}

RunResult HttpEngine::Decode(const GenerateRequest& request, const RunSink& sink,
                             RunControl& control) {
  json body = GenerateBody(request, fence_.load());
  body["kv_handle"] = request.kv_handle;
  body["source_url"] = request.source_url;
  return RunStream(url_, MakePostRequest("/v1/decode", body), sink, control);
}

RunResult HttpEngine::Generate(const GenerateRequest& request, const RunSink& sink,
                               RunControl& control) {
  const json body = GenerateBody(request, fence_.load());
  return RunStream(url_, MakePostRequest("/v1/generate", body), sink, control);
}

RunResult HttpEngine::Resume(const std::string& request_id, std::int64_t offset,
                             const RunSink& sink, RunControl& control) {
  return RunStream(url_,
                   MakeControlRequest("GET", "/v1/requests/" + request_id +
                                                 "/stream?offset=" + std::to_string(offset)),
                   sink, control);
}

Result<void> HttpEngine::Cancel(const std::string& request_id) {
  BOOST_OUTCOME_TRYV(SendControlRequest(
      url_, MakeControlRequest("DELETE", "/v1/requests/" + request_id), "cancel"));
  return Success();
}

Result<void> HttpEngine::CancelAll() {
  BOOST_OUTCOME_TRYV(
      SendControlRequest(url_, MakeControlRequest("DELETE", "/v1/requests"), "cancel all"));
  return Success();
}

CallReply HttpEngine::Call(const CallRequest& /*request*/, RunControl& /*control*/) {
  CallReply reply;
  reply.status = RunStatus::kRefused;
  reply.message = "the upstream is a model engine and does not accept calls";
  return reply;
}

Result<void> HttpEngine::SendOrder(const Order& order) {
  const json body = {
      {"fence", fence_.load()}, {"kind", order.kind}, {"name", order.name}, {"role", order.role}};
  BOOST_OUTCOME_TRYV(
      SendControlRequest(url_, MakePostRequest("/v1/orders", body), "order " + order.kind));
  return Success();
}

Result<UpstreamLoad> HttpEngine::Load() {
  BOOST_OUTCOME_TRY(body, SendControlRequest(url_, MakeControlRequest("GET", "/v1/load"), "load"));
  return ParseLoad(body);
}

Result<CacheEvents> HttpEngine::Events(std::int64_t after) {
  BOOST_OUTCOME_TRY(
      body,
      SendControlRequest(
          url_, MakeControlRequest("GET", "/v1/events?after=" + std::to_string(after)), "events"));
  const json parsed = json::parse(body, nullptr, false);
  const Error error{ErrorKind::kProtocol, "events response has an unexpected format",
                    "check the version of the engine"};
  if (!parsed.is_object()) {
    return error;
  }
  try {
    CacheEvents events;
    events.incarnation = parsed.value("incarnation", std::int64_t{0});
    for (const json& event : parsed.value("events", json::array())) {
      events.events.push_back({event.value("sequence", std::int64_t{0}),
                               event.value("block_hash", std::int64_t{0}),
                               event.value("stored", false)});
    }
    return events;
  } catch (const json::exception&) {
    return error;
  }
}

}  // namespace rattanramp::agent
