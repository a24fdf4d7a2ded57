#include "ctl/change_sender.h"

#include <thread>

namespace rattanramp::ctl {
namespace {

constexpr int kConflictStatus = 409;
constexpr int kFirstServerErrorStatus = 500;

/// Whether the response does not show if the change was accepted.
bool IsOutcomeUnknown(const OperatorResponse& response, bool may_have_run) {
  if (response.status < kFirstServerErrorStatus) {
    return false;
  }
  const nlohmann::json error =
      response.body.is_object() ? response.body.value("error", nlohmann::json()) : nlohmann::json();
  const bool not_run = error.is_object() && error.value("outcome", nlohmann::json()) == "not_run";
  return may_have_run || !not_run;
}

SendResult ResultFromResponse(const OperatorResponse& response) {
  if (IsOk(response)) {
    return {kExitOk, response.body, {}};
  }
  return {response.status == kConflictStatus ? kExitConflict : kExitRefused, response.body,
          ErrorFromResponse(response)};
}

}  // namespace

SendResult SendChange(const OperatorClient& client, nlohmann::json change,
                      const SendOptions& options) {
  bool may_have_run = change.value("repeat", false);
  Milliseconds wait = options.initial_back_off;
  SendResult result;
  for (int attempt = 0; attempt < options.max_attempts; ++attempt) {
    if (attempt > 0) {
      std::this_thread::sleep_for(wait);
      wait *= 2;
    }
    change["repeat"] = may_have_run;
    const Result<OperatorResponse> response =
        client.Post(static_cast<std::size_t>(attempt), "/settings/changes", change.dump());
    if (response && !IsOutcomeUnknown(response.value(), may_have_run)) {
      return ResultFromResponse(response.value());
    }
    may_have_run = may_have_run || response || response.error().kind == ErrorKind::kReplyLost;
    result.body = response ? response.value().body : nlohmann::json();
    result.error = response ? ErrorFromResponse(response.value()) : response.error();
  }
  result.exit_code = may_have_run ? kExitUnknown : kExitUnreachable;
  if (may_have_run) {
    result.error.message =
        "it is not known whether the change was accepted: " + result.error.message;
    result.error.remedy = "run the command again with --change-id " +
                          change.value("change_id", std::string()) + " --expected-version " +
                          change.value("expected_version", nlohmann::json(0)).dump();
  }
  return result;
}

}  // namespace rattanramp::ctl
