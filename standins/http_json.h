// JSON requests and responses of the simulated engine, service and platform.
#pragma once

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace rattanramp::standins {

/// Sets the status and the JSON body of the response.
void SetJson(httplib::Response& response, int status, const nlohmann::json& body);

/// Parses the request body. If it is not a JSON object, sets response status 400 and returns null.
nlohmann::json ParseObject(const httplib::Request& request, httplib::Response& response);

/// Returns a handler that calls the given one and responds with status 400 if it throws a JSON
/// exception, for example because a field is missing or has the wrong type.
httplib::Server::Handler WithJsonErrors(httplib::Server::Handler handler);

}  // namespace rattanramp::standins
