// HTTP client of the simulated engine for tests.
#pragma once

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rattanramp::standins {

struct StreamResult {
  int status = 0;
  std::string text;
  /// Error code of a rejected request or of a stream that failed.
  std::string error;
  /// Final event of the stream; null if the stream ended without one.
  nlohmann::json done;
  bool offsets_in_order = true;
};

class EngineClient {
 public:
  explicit EngineClient(int port) : client_("127.0.0.1", port), url_(UrlOf(port)) {
    client_.set_read_timeout(20, 0);
  }

  nlohmann::json Get(const std::string& path) { return Parse(client_.Get(path)); }
  nlohmann::json Delete(const std::string& path) { return Parse(client_.Delete(path)); }
  /// Returns the response body with the HTTP status added as the field "status", or null if there
  /// is no response.
  nlohmann::json Post(const std::string& path, const nlohmann::json& body) {
    return Parse(client_.Post(path, body.dump(), "application/json"));
  }

  StreamResult PostStream(const std::string& path, const nlohmann::json& body) {
    return ParseStream(client_.Post(path, body.dump(), "application/json"), 0);
  }

  StreamResult Resume(const std::string& id, std::int64_t offset) {
    return ParseStream(
        client_.Get("/v1/requests/" + id + "/stream?offset=" + std::to_string(offset)), offset);
  }

  /// Starts a generation and closes the connection when the first event arrives.
  void StartAndDisconnect(const std::string& path, const nlohmann::json& body) {
    httplib::Client client(url_);
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body.dump();
    request.set_header("Content-Type", "application/json");
    request.content_receiver = [](const char*, std::size_t, std::uint64_t, std::uint64_t) {
      return false;
    };
    client.send(request);
  }

  const std::string& url() const { return url_; }

 private:
  static std::string UrlOf(int port) { return "http://127.0.0.1:" + std::to_string(port); }

  static nlohmann::json Parse(const httplib::Result& result) {
    if (!result) {
      return nullptr;
    }
    nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
    if (body.is_object()) {
      body["status"] = result->status;
    }
    return body;
  }

  static StreamResult ParseStream(const httplib::Result& result, std::int64_t offset) {
    StreamResult stream;
    if (!result) {
      return stream;
    }
    stream.status = result->status;
    if (result->status != 200) {
      stream.error = nlohmann::json::parse(result->body).value("error", "");
      return stream;
    }
    const std::string& body = result->body;
    constexpr std::size_t kPrefixBytes = 6;  // "data: "
    for (std::size_t start = 0; start < body.size();) {
      const std::size_t end = body.find("\n\n", start);
      const nlohmann::json event =
          nlohmann::json::parse(body.substr(start + kPrefixBytes, end - start - kPrefixBytes));
      start = end + 2;
      if (event.contains("text")) {
        stream.offsets_in_order &= event.at("offset") == offset;
        const std::string text = event.at("text");
        stream.text += text;
        offset += static_cast<std::int64_t>(text.size());
      } else if (event.contains("done")) {
        stream.done = event;
      } else {
        stream.error = event.value("error", "");
      }
    }
    return stream;
  }

  httplib::Client client_;
  std::string url_;
};

}  // namespace rattanramp::standins
