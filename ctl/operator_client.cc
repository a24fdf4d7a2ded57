#include "ctl/operator_client.h"

#include <memory>
#include <utility>

#include "base/bounded_json.h"
#include "base/http_server.h"
#include "http/strict_client.h"

namespace rattanramp::ctl {
namespace {

constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstRedirectStatus = 300;
constexpr int kNotFoundStatus = 404;

bool MayHaveBeenSent(httplib::Error error) {
  return error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout &&
         error != httplib::Error::BindIPAddress;
}

std::unique_ptr<http::StrictClient> MakeClient(const std::string& address, Milliseconds timeout) {
  std::unique_ptr<http::StrictClient> client = http::StrictClient::Create("http://" + address);
  client->set_connection_timeout(timeout);
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  return client;
}

OperatorResponse ToOperatorResponse(const httplib::Response& response) {
  return {response.status, response.body,
          ParseBoundedJson(response.body).value_or(nlohmann::json())};
}

}  // namespace

bool IsOk(const OperatorResponse& response) {
  return response.status >= kFirstSuccessStatus && response.status < kFirstRedirectStatus;
}

Error ErrorFromResponse(const OperatorResponse& response) {
  const nlohmann::json error =
      response.body.is_object() ? response.body.value("error", nlohmann::json()) : nlohmann::json();
  const auto text = [&error](const char* member) {
    const nlohmann::json value = error.is_object() ? error.value(member, nlohmann::json()) : error;
    return value.is_string() ? value.get<std::string>() : std::string();
  };
  if (!text("message").empty()) {
    return {ErrorKind::kInvalidArgument, text("message"), text("remedy")};
  }
  const std::string remedy = response.status == kNotFoundStatus
                                 ? "check the name, and that --entry is an entry's operator port"
                                 : "check the log of the process";
  return {ErrorKind::kProtocol,
          "the process responded with status " + std::to_string(response.status), remedy};
}

Result<OperatorClient> OperatorClient::Create(std::vector<std::string> addresses,
                                              Milliseconds timeout) {
  if (addresses.empty()) {
    return Error{ErrorKind::kInvalidArgument, "no operator address was given",
                 "pass --entry HOST:PORT or set RATTANRAMP_ENTRY"};
  }
  for (const std::string& address : addresses) {
    BOOST_OUTCOME_TRYV(ParseHostPort(address));
  }
  return OperatorClient(std::move(addresses), timeout);
}

OperatorClient::OperatorClient(std::vector<std::string> addresses, Milliseconds timeout)
    : addresses_(std::move(addresses)), timeout_(timeout) {}

Result<OperatorResponse> OperatorClient::Get(
    const std::string& path, const std::multimap<std::string, std::string>& parameters) const {
  Error error;
  for (const std::string& address : addresses_) {
    const std::unique_ptr<http::StrictClient> client = MakeClient(address, timeout_);
    const httplib::Result result = client->Get(path, parameters, httplib::Headers());
    if (result) {
      return ToOperatorResponse(*result);
    }
    error = {ErrorKind::kUnavailable,
             "no response from " + address + ": " + httplib::to_string(result.error()),
             "check that the process is running, or pass another address with --entry"};
  }
  return error;
}

Result<OperatorResponse> OperatorClient::Post(std::size_t index, const std::string& path,
                                              const std::string& body) const {
  const std::string& address = addresses_[index % addresses_.size()];
  const std::unique_ptr<http::StrictClient> client = MakeClient(address, timeout_);
  const httplib::Result result = client->Post(path, body, "application/json");
  if (result) {
    return ToOperatorResponse(*result);
  }
  const std::string detail = address + ": " + httplib::to_string(result.error());
  if (MayHaveBeenSent(result.error())) {
    return Error{ErrorKind::kReplyLost, "no reply from " + detail, "repeat the request"};
  }
  return Error{ErrorKind::kUnavailable, "cannot connect to " + detail,
               "check that the process is running, or pass another address with --entry"};
}

Result<OperatorResponse> OperatorClient::PostToAny(const std::string& path,
                                                   const std::string& body) const {
  Result<OperatorResponse> response = Post(0, path, body);
  for (std::size_t i = 1; i < addresses_.size(); ++i) {
    if (response || response.error().kind != ErrorKind::kUnavailable) {
      return response;
    }
    response = Post(i, path, body);
  }
  return response;
}

}  // namespace rattanramp::ctl
