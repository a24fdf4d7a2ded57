#include "entry/retry_budgets.h"

namespace rattanramp::entry {
namespace {

core::RetryBudgetLimits LimitsOf(const Service& service) {
  return {service.settings.retry_budget_percent, service.settings.retry_min_per_second};
}

}  // namespace

void RetryBudgets::Count(const Service& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  core::CountRequest(budgets_[service.name], LimitsOf(service));
}

bool RetryBudgets::Take(const Service& service, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return core::TakeRetry(budgets_[service.name], LimitsOf(service), now);
}

}  // namespace rattanramp::entry
