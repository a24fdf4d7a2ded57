#include "gateway/stage_controller.h"

#include <spdlog/fmt/fmt.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/log.h"
#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

constexpr Milliseconds kCheckInterval{250};

// An uneven division must last this long before an order is sent. After a start the list of
// upstreams is complete within a second, and crashed engines restart within some seconds.
constexpr Milliseconds kSettleTime{1'500};

// Time for an engine to finish its running work before it changes its stage (a stream takes 3 to 8
// s), and for the change to appear in the upstream list.
constexpr Milliseconds kDrainTime{8'000};

constexpr Milliseconds kRetryDelay{1'000};

// An engine that refused an order, or could not be reached, gets no other order for this long.
constexpr Milliseconds kRefusalBackOff{15'000};

constexpr std::string_view kRowKey = "last";

Result<core::OrderRecord> DecodeRecord(const std::string& text) {
  const nlohmann::json row = nlohmann::json::parse(text, nullptr, false);
  if (!row.is_object() || !row.contains("holder") || !row["holder"].is_string() ||
      !row.contains("fencing_token") || !row["fencing_token"].is_number_integer() ||
      !row.contains("clock_ms") || !row["clock_ms"].is_number_integer()) {
    return Error{ErrorKind::kProtocol, fmt::format("malformed stage order record: {:.100}", text),
                 "remove the row; no stage order is sent until it is removed"};
  }
  return core::OrderRecord{row["holder"].get<std::string>(),
                           row["fencing_token"].get<std::int64_t>(),
                           row["clock_ms"].get<std::int64_t>()};
}

std::string EncodeRecord(const core::OrderRecord& record) {
  return nlohmann::json({{"holder", record.holder},
                         {"fencing_token", record.fencing_token},
                         {"clock_ms", record.clock_ms}})
      .dump();
}

}  // namespace

StageController::StageController(GatewayState& state, std::unique_ptr<store::AsyncTable> table,
                                 std::string order_table, std::string own_name)
    : state_(state),
      table_(std::move(table)),
      order_table_(std::move(order_table)),
      own_name_(std::move(own_name)) {}

void StageController::Stop() {
  is_stopped_ = true;
  table_->Cancel();
  attempt_.reset();
  order_.reset();
}

void StageController::Tick(const core::RoutingTable& rules, bool is_first) {
  const TimePoint now = state_.clock.now();
  if (is_stopped_ || now < next_check_) {
    return;
  }
  next_check_ = now + kCheckInterval;
  RemoveFinishedChanges(now);
  if (!is_first) {
    imbalance_since_.clear();
    return;
  }
  if (order_) {
    return;
  }
  for (const core::ServiceRule& service : rules.services()) {
    std::optional<Order> order = NextOrder(service, now);
    if (!order) {
      imbalance_since_.erase(service.name);
      continue;
    }
    const TimePoint since = imbalance_since_.try_emplace(service.name, now).first->second;
    if (now - since >= kSettleTime) {
      order_ = std::move(order);
      ReadLastOrder();
      return;
    }
  }
}

void StageController::RemoveFinishedChanges(TimePoint now) {
  std::erase_if(pending_changes_, [&](const auto& entry) {
    const Upstream* upstream = state_.fleet.Find(entry.first);
    const bool has_ended =
        upstream == nullptr || upstream->info.stage == entry.second.to || now >= entry.second.until;
    if (has_ended) {
      state_.fleet.EndExclusion(entry.first);
    }
    return has_ended;
  });
  std::erase_if(refused_until_, [now](const auto& entry) { return now >= entry.second; });
}

std::optional<StageController::Order> StageController::NextOrder(const core::ServiceRule& service,
                                                                 TimePoint now) {
  if (!service.engine || service.engine->stage_change_ms <= 0) {
    return std::nullopt;
  }
  std::vector<core::PlacementCandidate> candidates;
  state_.fleet.FillCandidates(service.name, service, {}, {}, now, candidates);
  const std::span<const std::shared_ptr<Upstream>> upstreams = state_.fleet.OfService(service.name);
  std::vector<core::PlannedEngine> engines;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto change = pending_changes_.find(upstreams[i]->key);
    core::PlannedEngine engine;
    engine.stage = change == pending_changes_.end() ? candidates[i].stage : change->second.to;
    engine.failure_domain = candidates[i].failure_domain;
    engine.may_change = candidates[i].is_usable && change == pending_changes_.end() &&
                        !refused_until_.contains(upstreams[i]->key);
    if (upstreams[i]->info.is_draining || upstreams[i]->is_leaving()) {
      engine.stage = core::UpstreamStage::kPlain;
    }
    engines.push_back(engine);
  }
  const double share = core::PrefillShare(ProfileOf(state_, service.name),
                                          service.engine->memory_tokens, service.engine->slots);
  const std::optional<core::StageChange> change = core::NextStageChange(engines, share);
  if (!change) {
    return std::nullopt;
  }
  Order order;
  order.upstream = upstreams[change->engine];
  order.to = change->to;
  order.change_time = Milliseconds(service.engine->stage_change_ms);
  return order;
}

void StageController::ReadLastOrder() {
  table_->ReadAll(order_table_, [this](const Result<store::TableRows>& rows) {
    if (!rows) {
      AbandonOrder(rows.error().message, kRetryDelay);
      return;
    }
    OnLastOrder(rows.value());
  });
}

void StageController::OnLastOrder(const store::TableRows& rows) {
  core::OrderRecord last;
  std::int64_t version = 0;
  for (const store::TableRow& row : rows.rows) {
    if (row.key == kRowKey) {
      const Result<core::OrderRecord> record = DecodeRecord(row.value);
      if (!record) {
        AbandonOrder(record.error().message, core::kLeaseTransferDelay);
        return;
      }
      last = record.value();
      version = row.version;
    }
  }
  if (!core::HoldsOrderLease(last, own_name_, rows.clock_ms)) {
    AbandonOrder(fmt::format("gateway {} holds the order lease; its last order was {} ms ago",
                             last.holder, rows.clock_ms - last.clock_ms),
                 kRetryDelay);
    return;
  }
  order_->record = {own_name_, last.fencing_token + 1, rows.clock_ms};
  order_->record_requested = state_.clock.now();
  table_->WriteIf(
      order_table_, kRowKey, EncodeRecord(order_->record), version,
      [this](const Result<void>& written) {
        if (!written) {
          AbandonOrder(written.error().message, kRetryDelay);
        } else if (state_.clock.now() - order_->record_requested > core::kOrderValidity) {
          AbandonOrder("writing the order record took too long", kRetryDelay);
        } else if (order_->upstream->is_removed) {
          AbandonOrder("the engine was removed from the upstream list", kRetryDelay);
        } else {
          SendOrder();
        }
      });
}

void StageController::SendOrder() {
  const Upstream& upstream = *order_->upstream;
  platform::StageOrder order;
  order.instance = upstream.info.id;
  order.address = fmt::format("{}:{}", upstream.info.address, upstream.info.port);
  order.stage = order_->to;
  order.holder = own_name_;
  order.fencing_token = order_->record.fencing_token;
  platform::EncodedCall call = platform::EncodeStageOrder(order);
  AttemptPlan plan;
  plan.head = std::move(call.head);
  plan.body = std::make_shared<const std::string>(std::move(call.body));
  // Engines answer at once, before they carry the order out; an engine that has not answered may
  // still carry it out later.
  plan.first_byte_timeout = core::kOrderTimeout;
  plan.read_timeout = core::kOrderTimeout;
  plan.delivery_timeout = core::kOrderTimeout;
  plan.send_before = order_->record_requested + core::kOrderValidity;
  attempt_ = Attempt::Start(state_.context, state_.clock, order_->upstream, std::move(plan), *this);
}

void StageController::AbandonOrder(std::string_view why, Duration pause) {
  Log(LogLevel::kInfo, "stage_order_not_sent",
      {{"upstream", order_->upstream->info.id}, {"reason", why}});
  attempt_.reset();
  order_.reset();
  next_check_ = state_.clock.now() + pause;
}

void StageController::RecordChange(TimePoint now) {
  const TimePoint until = now + order_->change_time + kDrainTime;
  pending_changes_[order_->upstream->key] = {order_->to, until};
  state_.metrics.Count("stage_orders_total");
  state_.fleet.Exclude(order_->upstream->key, until);
  state_.on_reservation_change();
}

void StageController::OnAnswerHead(const http::ResponseHead& head,
                                   const core::AnswerFacts& /*facts*/) {
  answer_status_ = head.status;
}

void StageController::OnAnswerComplete() {
  const TimePoint now = state_.clock.now();
  const platform::OrderOutcome outcome = platform::DecodeOrderAnswer(answer_status_);
  Log(LogLevel::kInfo, "stage_ordered",
      {{"upstream", order_->upstream->info.id},
       {"to", order_->to == core::UpstreamStage::kDecode ? "decode" : "prefill"},
       {"fencing_token", order_->record.fencing_token},
       {"status", answer_status_}});
  if (outcome == platform::OrderOutcome::kRefused) {
    refused_until_[order_->upstream->key] = now + kRefusalBackOff;
  } else {
    RecordChange(now);
  }
  attempt_.reset();
  order_.reset();
  next_check_ = now;
}

void StageController::OnAttemptFailure(AttemptFailure failure) {
  const TimePoint now = state_.clock.now();
  if (failure == AttemptFailure::kNotConnected) {
    refused_until_[order_->upstream->key] = now + kRefusalBackOff;
    AbandonOrder("connection to the engine failed", kRetryDelay);
    return;
  }
  // The engine may still carry out the order, so it is treated as accepted.
  Log(LogLevel::kWarning, "stage_order_unanswered",
      {{"upstream", order_->upstream->info.id}, {"fencing_token", order_->record.fencing_token}});
  RecordChange(now);
  attempt_.reset();
  order_.reset();
}

}  // namespace rattanramp::gateway
