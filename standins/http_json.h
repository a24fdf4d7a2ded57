// JSON bodies of the stand-ins' HTTP interfaces.
#pragma once

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace rattanramp::standins {

/// Sets the answer to a JSON body.
void SetJson(httplib::Response& response, int status, const nlohmann::json& body);

/// Parses the body of a request. Without a JSON object it answers 400 and returns null.
nlohmann::json ParseObject(const httplib::Request& request, httplib::Response& response);

/// Calls handler and answers 400 when a member of the body has a wrong type.
httplib::Server::Handler WithJsonErrors(httplib::Server::Handler handler);

}  // namespace rattanramp::standins
