#include "store/http_platform.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/strict_client.h"

namespace rattanramp::store {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kMinServerErrorStatus = 500;

Error Unavailable(const std::string& detail) {
  return {ErrorKind::kUnavailable, "platform is unavailable: " + detail,
          "retry later; requests that do not need the platform are still processed"};
}

/// Returns false for errors that occur before the request is sent, true for all others: the
/// platform may then have received and processed it.
bool MayHaveTakenEffect(httplib::Error error) {
  return error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout &&
         error != httplib::Error::BindIPAddress;
}

Result<json> ParseBody(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return Unavailable("response is not a JSON object");
  }
  return parsed;
}

/// Returns a member of an object, or the fallback if it is missing or not a string. json::value is
/// not used because it throws for a member of another type, which would terminate the process.
std::string StringOr(const json& object, const char* name, const std::string& fallback) {
  const auto member = object.is_object() ? object.find(name) : object.end();
  return member != object.end() && member->is_string() ? member->get<std::string>() : fallback;
}

std::int64_t IntegerOrZero(const json& object, const char* name) {
  const auto member = object.is_object() ? object.find(name) : object.end();
  return member != object.end() && member->is_number_integer() ? member->get<std::int64_t>() : 0;
}

json ArrayOrEmpty(const json& object, const char* name) {
  const auto member = object.find(name);
  return member != object.end() && member->is_array() ? *member : json::array();
}

Row ParseRow(const json& object) {
  return {StringOr(object, "key", ""), StringOr(object, "value", ""),
          IntegerOrZero(object, "version")};
}

/// Error for a write to which the response had a status other than success. Status 5xx gives
/// kReplyLost: a proxy may have sent it, so the write may have reached the table.
Error WriteError(int status) {
  if (status < kMinServerErrorStatus) {
    return Unavailable("status " + std::to_string(status));
  }
  return {ErrorKind::kReplyLost, "outcome of a write is unknown: status " + std::to_string(status),
          "read the rows to find out whether the write took effect"};
}

}  // namespace

Result<std::unique_ptr<HttpPlatform>> HttpPlatform::Create(const std::string& url,
                                                           Milliseconds timeout) {
  if (!url.starts_with("http://")) {
    return Error{ErrorKind::kInvalidArgument, "invalid platform_url '" + url + "'",
                 "write http://HOST:PORT"};
  }
  return std::unique_ptr<HttpPlatform>(new HttpPlatform(url, timeout));
}

HttpPlatform::HttpPlatform(std::string url, Milliseconds timeout)
    : url_(std::move(url)), timeout_(timeout) {}

namespace {

std::unique_ptr<http::StrictClient> MakeClient(const std::string& url, Milliseconds timeout) {
  std::unique_ptr<http::StrictClient> client = http::StrictClient::Create(url);
  client->set_connection_timeout(timeout);
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  client->set_tcp_nodelay(true);
  return client;
}

Result<std::optional<std::string>> GetBody(const std::string& url, Milliseconds timeout,
                                           const std::string& path) {
  const std::unique_ptr<http::StrictClient> client = MakeClient(url, timeout);
  const httplib::Result result = client->Get(path);
  if (!result) {
    return Unavailable(httplib::to_string(result.error()));
  }
  if (result->status == kStatusNotFound) {
    return std::optional<std::string>();
  }
  if (result->status != kStatusOk) {
    return Unavailable("status " + std::to_string(result->status));
  }
  return std::optional<std::string>(result->body);
}

}  // namespace

Result<std::optional<Row>> HttpPlatform::Read(const std::string& key) {
  BOOST_OUTCOME_TRY(body, GetBody(url_, timeout_, "/table/rows/" + key));
  if (!body) {
    return std::optional<Row>();
  }
  BOOST_OUTCOME_TRY(parsed, ParseBody(*body));
  return std::optional<Row>(ParseRow(parsed));
}

Result<std::vector<Row>> HttpPlatform::Scan(const std::string& prefix) {
  BOOST_OUTCOME_TRY(body, GetBody(url_, timeout_, "/table/rows?prefix=" + prefix));
  if (!body) {
    return Unavailable("scan of rows is not supported");
  }
  BOOST_OUTCOME_TRY(parsed, ParseBody(*body));
  std::vector<Row> rows;
  for (const json& row : ArrayOrEmpty(parsed, "rows")) {
    rows.push_back(ParseRow(row));
  }
  return rows;
}

Result<CommitResult> HttpPlatform::Commit(const Transaction& transaction) {
  json conditions = json::array();
  for (const Condition& condition : transaction.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", condition.version}});
  }
  json writes = json::array();
  for (const Write& write : transaction.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value ? json(*write.value) : json()}});
  }
  const json body = {{"conditions", conditions}, {"writes", writes}};
  const std::unique_ptr<http::StrictClient> client = MakeClient(url_, timeout_);
  const httplib::Result result =
      client->Post("/table/transactions", body.dump(), "application/json");
  if (!result) {
    if (MayHaveTakenEffect(result.error())) {
      return Error{ErrorKind::kReplyLost,
                   "no response to a transaction: " + httplib::to_string(result.error()),
                   "read the rows to find out whether the write took effect"};
    }
    return Unavailable(httplib::to_string(result.error()));
  }
  if (result->status == kStatusOk) {
    return CommitResult{true, "", std::nullopt};
  }
  if (result->status != kStatusConflict) {
    return WriteError(result->status);
  }
  BOOST_OUTCOME_TRY(parsed, ParseBody(result->body));
  CommitResult conflict;
  conflict.conflict_key = StringOr(parsed, "key", "");
  if (parsed.contains("row") && parsed["row"].is_object()) {
    conflict.conflict_row = ParseRow(parsed["row"]);
  }
  return conflict;
}

Result<std::optional<std::string>> HttpPlatform::ReadObject(const std::string& name) {
  return GetBody(url_, timeout_, "/objects/" + name);
}

Result<void> HttpPlatform::WriteObject(const std::string& name, const std::string& content) {
  const std::unique_ptr<http::StrictClient> client = MakeClient(url_, timeout_);
  const httplib::Result result =
      client->Put("/objects/" + name, content, "application/octet-stream");
  if (!result) {
    if (MayHaveTakenEffect(result.error())) {
      return Error{ErrorKind::kReplyLost, "no response to an object write",
                   "repeat the write; writing the same content again is safe"};
    }
    return Unavailable(httplib::to_string(result.error()));
  }
  if (result->status != kStatusOk) {
    return WriteError(result->status);
  }
  return Success();
}

Result<VmList> HttpPlatform::ListVms() {
  BOOST_OUTCOME_TRY(body, GetBody(url_, timeout_, "/vms"));
  if (!body) {
    return Unavailable("VM list not found");
  }
  BOOST_OUTCOME_TRY(parsed, ParseBody(*body));
  VmList list;
  list.version = IntegerOrZero(parsed, "version");
  for (const json& vm : ArrayOrEmpty(parsed, "vms")) {
    list.vms.push_back({StringOr(vm, "id", ""), StringOr(vm, "role", ""),
                        StringOr(vm, "link_address", ""), StringOr(vm, "failure_domain", ""),
                        StringOr(vm, "region", ""), StringOr(vm, "state", "live") == "leaving"});
  }
  return list;
}

}  // namespace rattanramp::store
