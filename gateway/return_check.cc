#include "gateway/return_check.h"

#include <spdlog/fmt/fmt.h>

#include <string>
#include <utility>

#include "base/log.h"
#include "gateway/attempt.h"
#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

// Time from the return of an upstream to its first check. A peer that knows that the upstream
// leaves reports this when it has read the entry: reads of the list reach all gateways within a
// tenth of a second, and reports follow within 20 us a peer.
constexpr Milliseconds kCheckDelay{300};

// Longest wait for the answer to a health check. It waits for a slot like any other request.
constexpr Milliseconds kCheckTimeout{1'000};

// Time between two checks of an upstream that has not confirmed that it runs.
constexpr Milliseconds kCheckInterval{1'000};

constexpr int kHealthyStatus = 200;

}  // namespace

class ReturnCheck::Check final : private AttemptListener {
 public:
  Check(GatewayState& state, std::shared_ptr<Upstream> upstream)
      : state_(state),
        upstream_(std::move(upstream)),
        next_check_(state.clock.now() + kCheckDelay) {}

  bool is_done() const {
    return upstream_->is_removed || upstream_->is_leaving() ||
           !upstream_->statement->is_unconfirmed;
  }

  void Tick(const core::RoutingTable& rules) {
    const core::ServiceRule* service = rules.FindService(upstream_->info.service);
    const TimePoint now = state_.clock.now();
    if (attempt_ || now < next_check_ || upstream_->is_excluded || service == nullptr ||
        service->health_path.empty()) {
      return;
    }
    next_check_ = now + kCheckInterval;
    AttemptPlan plan;
    plan.head = platform::EncodeHealthCheck(
        upstream_->info.id, fmt::format("{}:{}", upstream_->info.address, upstream_->info.port),
        service->health_path);
    plan.first_byte_timeout = kCheckTimeout;
    plan.read_timeout = kCheckTimeout;
    state_.metrics.Count("health_checks_total");
    attempt_ = Attempt::Start(state_.context, state_.clock, upstream_, std::move(plan), *this);
  }

 private:
  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override {
    is_healthy_ = head.status == kHealthyStatus && !facts.is_leaving;
  }
  BodyProgress OnAnswerBody(std::string_view /*bytes*/) override { return BodyProgress::kNone; }

  void OnAnswerComplete() override {
    attempt_.reset();
    if (std::exchange(is_healthy_, false) && !is_done()) {
      upstream_->statement->is_unconfirmed = false;
      Log(LogLevel::kInfo, "returned_upstream_confirmed",
          {{"upstream", upstream_->info.id}, {"by", "health check"}});
      state_.dispatcher.WakeAll();
    }
  }
  void OnAttemptFailure(AttemptFailure failure) override {
    attempt_.reset();
    is_healthy_ = false;
    Log(LogLevel::kInfo, "health_check_failed",
        {{"upstream", upstream_->info.id}, {"failure", FailureName(failure)}});
  }

  GatewayState& state_;
  std::shared_ptr<Upstream> upstream_;
  std::unique_ptr<Attempt> attempt_;
  TimePoint next_check_;
  bool is_healthy_ = false;
};

ReturnCheck::ReturnCheck(GatewayState& state) : state_(state) {}

ReturnCheck::~ReturnCheck() = default;

void ReturnCheck::Tick(const core::RoutingTable& rules) {
  if (is_stopped_) {
    return;
  }
  for (const auto& [upstream, seen] : state_.fleet.returned()) {
    if (!checks_.contains(upstream)) {
      checks_.emplace(upstream, std::make_unique<Check>(state_, upstream));
    }
  }
  std::erase_if(checks_, [](const auto& entry) { return entry.second->is_done(); });
  for (const auto& [upstream, check] : checks_) {
    check->Tick(rules);
  }
}

void ReturnCheck::Stop() {
  is_stopped_ = true;
  checks_.clear();
}

}  // namespace rattanramp::gateway
