#include "load/runner.h"

#include <algorithm>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/ids.h"
#include "http/strict_client.h"

namespace rattanramp::load {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kCreated = 201;

std::unique_ptr<http::StrictClient> MakeClient(const std::string& entry, Milliseconds timeout) {
  std::unique_ptr<http::StrictClient> client = http::StrictClient::Create("http://" + entry);
  client->set_connection_timeout(Milliseconds(5000));
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  client->set_tcp_nodelay(true);
  return client;
}

void ReadError(const json& body, RequestRecord& record) {
  const json error = body.is_object() ? body.value("error", json::object()) : json::object();
  record.error_kind = error.is_object() ? error.value("kind", "unreadable") : "unreadable";
  record.outcome = error.is_object() ? error.value("outcome", "") : "";
}

/// Parses server-sent events and records the times of the output in the request record.
class StreamReader {
 public:
  StreamReader(TimePoint sent, std::int64_t cancel_after_tokens, RequestRecord& record)
      : sent_at_(sent), cancel_after_tokens_(cancel_after_tokens), record_(record) {}

  /// Returns false when the request is to be cancelled.
  bool Receive(std::string_view data) {
    buffer_.append(data);
    std::size_t end = buffer_.find("\n\n");
    while (end != std::string::npos) {
      HandleEvent(std::string_view(buffer_).substr(0, end));
      buffer_.erase(0, end + 2);
      end = buffer_.find("\n\n");
    }
    return cancel_after_tokens_ <= 0 || record_.output_tokens < cancel_after_tokens_;
  }

  const std::string& text() const { return text_; }

 private:
  void HandleEvent(std::string_view event) {
    const std::size_t start = event.find("data: ");
    if (start == std::string_view::npos) {
      return;
    }
    const std::string_view data = event.substr(start + 6);
    if (data == "[DONE]") {
      record_.complete = record_.error_kind.empty();
      return;
    }
    const json body = json::parse(data, nullptr, false);
    if (!body.is_object()) {
      record_.error_kind = "unreadable";
      return;
    }
    if (body.contains("error")) {
      ReadError(body, record_);
      return;
    }
    const std::string fragment = body.value("/choices/0/text"_json_pointer, "");
    if (!fragment.empty()) {
      AddText(fragment);
    }
  }

  void AddText(const std::string& fragment) {
    const TimePoint now = DefaultClock().now();
    constexpr std::size_t kBytesPerToken = 4;
    const std::int64_t tokens =
        static_cast<std::int64_t>((fragment.size() + kBytesPerToken - 1) / kBytesPerToken);
    if (text_.empty()) {
      record_.first_output_ms = ToMs(now - sent_at_);
      first_output_at_ = now;
    } else {
      const double gap = ToMs(now - last_output_at_) / static_cast<double>(tokens);
      record_.pace_max_ms = std::max(record_.pace_max_ms, gap);
    }
    record_.output_tokens += tokens;
    if (record_.output_tokens > 1) {
      record_.pace_mean_ms =
          ToMs(now - first_output_at_) / static_cast<double>(record_.output_tokens - 1);
    }
    last_output_at_ = now;
    text_ += fragment;
  }

  TimePoint sent_at_;
  std::int64_t cancel_after_tokens_;
  RequestRecord& record_;
  std::string buffer_;
  std::string text_;
  TimePoint first_output_at_;
  TimePoint last_output_at_;
};

json CompletionBody(const ServiceLoad& load, const PlannedRequest& request) {
  return {{"model", load.model},
          {"service", load.service},
          {"prompt", request.prompt},
          {"max_tokens", request.output_tokens},
          {"stream", load.stream}};
}

RequestRecord SendCompletion(const ServiceLoad& load, const PlannedRequest& request,
                             const std::string& entry, const RunnerOptions& options) {
  RequestRecord record;
  record.service = request.service;
  const std::unique_ptr<http::StrictClient> client = MakeClient(entry, options.timeout);
  const TimePoint sent = DefaultClock().now();
  const std::int64_t cancel_after =
      request.cancel ? std::max<std::int64_t>(1, request.output_tokens / 2) : 0;
  StreamReader reader(sent, cancel_after, record);
  httplib::Request http_request;
  http_request.method = "POST";
  http_request.path = "/v1/completions";
  http_request.set_header("Content-Type", "application/json");
  http_request.body = CompletionBody(load, request).dump();
  std::string response_body;
  http_request.response_handler = [&record](const httplib::Response& response) {
    record.status = response.status;
    record.request_id = response.get_header_value("X-Request-Id");
    return true;
  };
  http_request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                      std::uint64_t) {
    if (load.stream && record.status == kOk) {
      return reader.Receive(std::string_view(data, size));
    }
    response_body.append(data, size);
    return true;
  };
  const httplib::Result result = client->send(http_request);
  record.total_ms = ToMs(DefaultClock().now() - sent);
  if (request.cancel && record.output_tokens >= cancel_after) {
    record.cancelled = true;
    return record;
  }
  if (!result && record.error_kind.empty()) {
    record.error_kind = "connection: " + httplib::to_string(result.error());
    record.complete = false;
    return record;
  }
  if (record.status != kOk) {
    ReadError(json::parse(response_body, nullptr, false), record);
    return record;
  }
  std::string text = reader.text();
  if (!load.stream) {
    const json body = json::parse(response_body, nullptr, false);
    text = body.is_object() ? body.value("/choices/0/text"_json_pointer, "") : "";
    record.complete = body.is_object() && body.contains("choices");
    record.first_output_ms = record.total_ms;
  }
  if (record.complete && options.expected_output) {
    record.correct = text == options.expected_output(request.prompt, request.output_tokens);
  }
  return record;
}

void ReadCallResult(const httplib::Result& result, TimePoint sent, RequestRecord& record) {
  record.total_ms = ToMs(DefaultClock().now() - sent);
  record.first_output_ms = record.total_ms;
  if (!result) {
    record.error_kind = "connection: " + httplib::to_string(result.error());
    record.outcome = "unknown";
    return;
  }
  record.status = result->status;
  record.request_id = result->get_header_value("X-Request-Id");
  record.replayed = result->get_header_value("Idempotent-Replayed") == "true";
  if (result->status == kOk || result->status == kCreated) {
    record.complete = true;
    record.outcome = "ran";
    return;
  }
  ReadError(json::parse(result->body, nullptr, false), record);
}

RequestRecord SendLookup(const ServiceLoad& load, const PlannedRequest& request,
                         const std::string& entry, const RunnerOptions& options) {
  RequestRecord record;
  record.service = request.service;
  const std::unique_ptr<http::StrictClient> client = MakeClient(entry, options.timeout);
  const TimePoint sent = DefaultClock().now();
  constexpr std::uint64_t kLookupItems = 10'000;
  const std::string path =
      "/services/" + load.service + load.path + "/" + std::to_string(request.number % kLookupItems);
  ReadCallResult(client->Get(path), sent, record);
  return record;
}

RequestRecord SendClaimOnce(const ServiceLoad& load, const PlannedRequest& request,
                            const std::string& key, const std::string& entry,
                            const RunnerOptions& options) {
  RequestRecord record;
  record.service = request.service;
  record.key = key;
  const std::unique_ptr<http::StrictClient> client = MakeClient(entry, options.timeout);
  const TimePoint sent = DefaultClock().now();
  const json body = {{"claim", request.number}};
  const httplib::Headers headers = {{"Idempotency-Key", key}};
  ReadCallResult(client->Post("/services/" + load.service + load.path, headers, body.dump(),
                              "application/json"),
                 sent, record);
  return record;
}

std::string ObtainKey(const ServiceLoad& load, const PlannedRequest& request,
                      const std::string& entry, const RunnerOptions& options) {
  if (load.key_kind == KeyKind::kOwn) {
    return NewId("key-" + std::to_string(request.number));
  }
  const std::unique_ptr<http::StrictClient> client = MakeClient(entry, options.timeout);
  const httplib::Result result =
      client->Post("/services/" + load.service + "/keys", "", "text/plain");
  if (!result || result->status != kCreated) {
    return "";
  }
  const json body = json::parse(result->body, nullptr, false);
  return body.is_object() ? body.value("key", "") : "";
}

std::vector<RequestRecord> SendClaim(const ServiceLoad& load, const PlannedRequest& request,
                                     const std::string& entry, const std::string& other_entry,
                                     const RunnerOptions& options) {
  const std::string key = ObtainKey(load, request, entry, options);
  if (key.empty()) {
    RequestRecord record;
    record.service = request.service;
    record.error_kind = "no_key";
    record.outcome = "not_run";
    return {record};
  }
  std::vector<RequestRecord> records = {SendClaimOnce(load, request, key, entry, options)};
  if (request.repeat) {
    records.push_back(SendClaimOnce(load, request, key, other_entry, options));
    records.back().repeat = true;
  }
  return records;
}

}  // namespace

std::vector<RequestRecord> RunPlan(const Workload& workload,
                                   const std::vector<PlannedRequest>& plan,
                                   const RunnerOptions& options) {
  std::mutex mutex;
  std::vector<RequestRecord> records;
  std::vector<std::thread> threads;
  threads.reserve(plan.size());
  const TimePoint start = DefaultClock().now();
  std::size_t request_index = 0;
  for (const PlannedRequest& request : plan) {
    std::this_thread::sleep_until(start + request.at);
    const std::string& entry = options.entries[request_index % options.entries.size()];
    const std::string& other_entry = options.entries[(request_index + 1) % options.entries.size()];
    ++request_index;
    threads.emplace_back([&, entry, other_entry] {
      const ServiceLoad& load = workload.services[request.service];
      std::vector<RequestRecord> sent;
      if (load.kind == RequestKind::kCompletion) {
        sent.push_back(SendCompletion(load, request, entry, options));
      } else if (load.kind == RequestKind::kLookup) {
        sent.push_back(SendLookup(load, request, entry, options));
      } else {
        sent = SendClaim(load, request, entry, other_entry, options);
      }
      const std::lock_guard<std::mutex> lock(mutex);
      records.insert(records.end(), sent.begin(), sent.end());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return records;
}

}  // namespace rattanramp::load
