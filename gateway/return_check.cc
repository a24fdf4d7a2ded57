#include "gateway/return_check.h"

#include <spdlog/fmt/fmt.h>

#include <string>
#include <utility>

#include "base/log.h"
#include "gateway/attempt.h"
#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

// Longest wait for the answer to a health check. It waits for a slot like any other request.
constexpr Milliseconds kCheckTimeout{1'000};

// Time between two checks of an upstream that does not confirm that it runs.
constexpr Milliseconds kCheckInterval{1'000};

// Time in the list after which an upstream counts as running without an answer to a check. An entry
// that is not renewed expires after three heartbeats, which take 3.6 s, and is missing from the
// next read of the list.
constexpr Milliseconds kListedTime{5'000};

// Lowest status with which a server says that it is failing or leaves.
constexpr int kMinFailureStatus = 500;

}  // namespace

class ReturnCheck::Check final : private AttemptListener {
 public:
  Check(GatewayState& state, std::shared_ptr<Upstream> upstream)
      : state_(state), upstream_(std::move(upstream)), returned_(state.clock.now()) {}

  bool is_done() const {
    return upstream_->is_removed || upstream_->is_leaving() ||
           !upstream_->statement->is_unconfirmed;
  }

  void Tick(const core::RoutingTable& rules) {
    const TimePoint now = state_.clock.now();
    if (now - returned_ >= kListedTime) {
      Confirm();
      return;
    }
    if (attempt_ || now < next_check_) {
      return;
    }
    const core::ServiceRule* service = rules.FindService(upstream_->info.service);
    if (service == nullptr) {
      return;
    }
    AttemptPlan plan;
    plan.head = platform::EncodeHealthCheck(
        upstream_->info.id, fmt::format("{}:{}", upstream_->info.address, upstream_->info.port),
        service->health_path);
    plan.first_byte_timeout = kCheckTimeout;
    plan.read_timeout = kCheckTimeout;
    attempt_ = Attempt::Start(state_.context, state_.clock, upstream_, std::move(plan), *this);
  }

 private:
  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override {
    is_running_ = head.status < kMinFailureStatus && !facts.wrong_instance && !facts.is_leaving;
  }
  BodyProgress OnAnswerBody(std::string_view /*bytes*/) override { return BodyProgress::kNone; }

  void OnAnswerComplete() override {
    if (std::exchange(is_running_, false)) {
      Confirm();
    }
    End();
  }
  void OnAttemptFailure(AttemptFailure /*failure*/) override { End(); }

  void Confirm() {
    upstream_->statement->is_unconfirmed = false;
    Log(LogLevel::kInfo, "returned_upstream_confirmed", {{"upstream", upstream_->info.id}});
    state_.dispatcher.WakeAll();
  }

  void End() {
    attempt_.reset();
    next_check_ = state_.clock.now() + kCheckInterval;
  }

  GatewayState& state_;
  std::shared_ptr<Upstream> upstream_;
  std::unique_ptr<Attempt> attempt_;
  TimePoint returned_;
  TimePoint next_check_;
  bool is_running_ = false;
};

ReturnCheck::ReturnCheck(GatewayState& state) : state_(state) {}

ReturnCheck::~ReturnCheck() = default;

void ReturnCheck::Tick(const core::RoutingTable& rules) {
  if (is_stopped_) {
    return;
  }
  for (std::shared_ptr<Upstream>& upstream : state_.fleet.TakeReturned()) {
    Log(LogLevel::kInfo, "returned_upstream_is_checked", {{"upstream", upstream->info.id}});
    state_.metrics.Count("upstreams_returned_total");
    checks_.push_back(std::make_unique<Check>(state_, std::move(upstream)));
  }
  std::erase_if(checks_, [](const std::unique_ptr<Check>& check) { return check->is_done(); });
  for (const std::unique_ptr<Check>& check : checks_) {
    check->Tick(rules);
  }
}

void ReturnCheck::Stop() {
  is_stopped_ = true;
  checks_.clear();
}

}  // namespace rattanramp::gateway
