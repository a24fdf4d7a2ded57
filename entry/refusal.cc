#include "entry/refusal.h"

#include <algorithm>

namespace rattanramp::entry {
namespace {

constexpr std::int64_t kDefaultRetryAfterMs = 1'000;
constexpr std::int64_t kMsPerSecond = 1'000;

struct KindInfo {
  wire::RefusalKind::type wire;
  const char* name;
  int status;
  core::FailureKind failure;
};

using wire::RefusalKind;

constexpr KindInfo kKinds[] = {
    {RefusalKind::NO_ROOM, "no_room", kServiceUnavailable, core::FailureKind::kOverloaded},
    {RefusalKind::QUEUE_FULL, "queue_full", kServiceUnavailable, core::FailureKind::kOverloaded},
    {RefusalKind::LEAVING, "leaving", kServiceUnavailable, core::FailureKind::kUnavailable},
    {RefusalKind::WRONG_MODEL, "wrong_model", kServiceUnavailable, core::FailureKind::kUnavailable},
    {RefusalKind::DEADLINE, "deadline", kGatewayTimeout, core::FailureKind::kRejected},
    {RefusalKind::KEY_REUSED, "key_reused", kUnprocessable, core::FailureKind::kRejected},
    {RefusalKind::OWNED_ELSEWHERE, "owned_elsewhere", kConflict,
     core::FailureKind::kOwnedElsewhere},
    {RefusalKind::KEY_EXPIRED, "key_expired", kGone, core::FailureKind::kRejected},
    {RefusalKind::STORE_UNAVAILABLE, "store_unavailable", kServiceUnavailable,
     core::FailureKind::kStoreUnavailable},
    {RefusalKind::SUSPECT, "suspect", kServiceUnavailable, core::FailureKind::kQuarantined},
    {RefusalKind::NOT_READY, "not_ready", kServiceUnavailable, core::FailureKind::kUnavailable},
    {RefusalKind::MALFORMED, "malformed", kBadRequest, core::FailureKind::kRejected},
    {RefusalKind::UPSTREAM_DOWN, "upstream_down", kServiceUnavailable,
     core::FailureKind::kUnavailable},
    {RefusalKind::ABANDONED, "abandoned", kServiceUnavailable, core::FailureKind::kLost},
    {RefusalKind::OWNER_GONE, "owner_gone", kConflict, core::FailureKind::kRejected},
    {RefusalKind::UPSTREAM_CRASHED, "upstream_crashed", kBadGateway, core::FailureKind::kCrashed},
    {RefusalKind::LEASE_EXPIRED, "lease_expired", kServiceUnavailable, core::FailureKind::kLost},
    {RefusalKind::KV_GONE, "kv_gone", kBadGateway, core::FailureKind::kTransfer},
    {RefusalKind::TRANSFER_STALLED, "transfer_stalled", kBadGateway, core::FailureKind::kTransfer},
    {RefusalKind::CANCELLED, "cancelled", kServiceUnavailable, core::FailureKind::kLost},
    {RefusalKind::UPSTREAM_ERROR, "upstream_error", kBadGateway, core::FailureKind::kUpstreamError},
};

constexpr KindInfo kUnknownKind = {RefusalKind::UPSTREAM_ERROR, "upstream_error", kBadGateway,
                                   core::FailureKind::kUpstreamError};

const KindInfo& InfoOf(RefusalKind::type kind) {
  const auto* found =
      std::find_if(std::begin(kKinds), std::end(kKinds),
                   [kind](const KindInfo& candidate) { return candidate.wire == kind; });
  return found == std::end(kKinds) ? kUnknownKind : *found;
}

Refusal MakeRefusal(const KindInfo& info, const std::string& message, const std::string& remedy,
                    core::Outcome outcome) {
  Refusal refusal;
  refusal.kind = info.name;
  refusal.status = info.status;
  refusal.message = message.empty() ? "the agent of the upstream refused the request" : message;
  refusal.remedy = remedy.empty() ? "retry later" : remedy;
  refusal.outcome = outcome;
  return refusal;
}

}  // namespace

std::string_view OutcomeName(core::Outcome outcome) {
  switch (outcome) {
    case core::Outcome::kNotRun:
      return "not_run";
    case core::Outcome::kRan:
      return "ran";
    case core::Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

core::Outcome FromWire(wire::Outcome::type outcome) {
  if (outcome == wire::Outcome::NOT_RUN) {
    return core::Outcome::kNotRun;
  }
  return outcome == wire::Outcome::RAN ? core::Outcome::kRan : core::Outcome::kUnknown;
}

core::FailureKind FailureKindOf(RefusalKind::type kind) { return InfoOf(kind).failure; }

Refusal FromWire(const wire::Refused& refused) {
  Refusal refusal =
      MakeRefusal(InfoOf(refused.kind), refused.message, refused.remedy, FromWire(refused.outcome));
  if (refused.retry_after_ms >= 0) {
    refusal.retry_after_ms = refused.retry_after_ms;
  }
  return refusal;
}

Refusal FromWire(const wire::End& end) {
  const RefusalKind::type kind = end.__isset.error ? end.error : RefusalKind::UPSTREAM_ERROR;
  return MakeRefusal(InfoOf(kind), end.message, end.remedy, FromWire(end.outcome));
}

nlohmann::json RefusalBody(const Refusal& refusal, const std::string& request_id) {
  nlohmann::json error = {{"kind", refusal.kind},      {"message", refusal.message},
                          {"remedy", refusal.remedy},  {"outcome", OutcomeName(refusal.outcome)},
                          {"retry_after_ms", nullptr}, {"request_id", request_id}};
  if (refusal.retry_after_ms) {
    error["retry_after_ms"] = *refusal.retry_after_ms;
  }
  return {{"error", std::move(error)}};
}

void WriteRefusal(const Refusal& refusal, const std::string& request_id,
                  httplib::Response& response) {
  response.status = refusal.status;
  std::optional<std::int64_t> retry_after_ms = refusal.retry_after_ms;
  if (!retry_after_ms && refusal.status == kServiceUnavailable &&
      refusal.outcome == core::Outcome::kNotRun) {
    retry_after_ms = kDefaultRetryAfterMs;
  }
  Refusal completed = refusal;
  completed.retry_after_ms = retry_after_ms;
  if (retry_after_ms) {
    // The header has whole seconds. Rounding up prevents a retry before retry_after_ms has passed.
    const std::int64_t seconds =
        std::max<std::int64_t>(1, (*retry_after_ms + kMsPerSecond - 1) / kMsPerSecond);
    response.set_header("Retry-After", std::to_string(seconds));
  }
  const nlohmann::json body = RefusalBody(completed, request_id);
  response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                       "application/json");
}

Refusal NotServing(const std::string& kind, const std::string& message) {
  Refusal refusal;
  refusal.kind = kind;
  refusal.message = message;
  refusal.remedy = "send the request to another entry or retry later";
  refusal.retry_after_ms = kDefaultRetryAfterMs;
  return refusal;
}

}  // namespace rattanramp::entry
