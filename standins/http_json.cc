#include "standins/http_json.h"

#include <utility>

namespace rattanramp::standins {
namespace {

constexpr int kBadRequest = 400;

}  // namespace

void SetJson(httplib::Response& response, int status, const nlohmann::json& body) {
  response.status = status;
  response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                       "application/json");
}

nlohmann::json ParseObject(const httplib::Request& request, httplib::Response& response) {
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    SetJson(response, kBadRequest, {{"error", "body is not a JSON object"}});
    return nullptr;
  }
  return body;
}

httplib::Server::Handler WithJsonErrors(httplib::Server::Handler handler) {
  return
      [handler = std::move(handler)](const httplib::Request& request, httplib::Response& response) {
        try {
          handler(request, response);
        } catch (const nlohmann::json::exception& error) {
          SetJson(response, kBadRequest, {{"error", error.what()}});
        }
      };
}

}  // namespace rattanramp::standins
