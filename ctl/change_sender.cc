#include "ctl/change_sender.h"

#include <thread>

namespace rattanramp::ctl {
namespace {

constexpr int kConflictStatus = 409;
constexpr int kFirstServerError = 500;

/// Whether the answer leaves open if the change was accepted.
bool IsUnknown(const OperatorAnswer& answer, bool may_have_run) {
  if (answer.status < kFirstServerError) {
    return false;
  }
  const nlohmann::json error =
      answer.body.is_object() ? answer.body.value("error", nlohmann::json()) : nlohmann::json();
  const bool not_run = error.is_object() && error.value("outcome", nlohmann::json()) == "not_run";
  return may_have_run || !not_run;
}

SendResult FromAnswer(const OperatorAnswer& answer) {
  if (IsOk(answer)) {
    return {kExitOk, answer.body, {}};
  }
  return {answer.status == kConflictStatus ? kExitConflict : kExitRefused, answer.body,
          AnswerError(answer)};
}

}  // namespace

SendResult SendChange(const OperatorClient& client, nlohmann::json change,
                      const SendOptions& options) {
  bool may_have_run = change.value("repeat", false);
  Milliseconds wait = options.back_off;
  SendResult result;
  for (int tries = 0; tries < options.max_tries; ++tries) {
    if (tries > 0) {
      std::this_thread::sleep_for(wait);
      wait *= 2;
    }
    change["repeat"] = may_have_run;
    const Result<OperatorAnswer> answer =
        client.Post(static_cast<std::size_t>(tries), "/settings/changes", change.dump());
    if (answer && !IsUnknown(answer.value(), may_have_run)) {
      return FromAnswer(answer.value());
    }
    may_have_run = may_have_run || answer || answer.error().kind == ErrorKind::kReplyLost;
    result.body = answer ? answer.value().body : nlohmann::json();
    result.error = answer ? AnswerError(answer.value()) : answer.error();
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
