// Retry budgets per service.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/retry.h"
#include "entry/service_directory.h"

namespace rattanramp::entry {

/// Thread-safe.
class RetryBudgets {
 public:
  /// Counts a new request of the service, which adds its share to the retry budget.
  void Count(const Service& service);
  /// Takes one retry from the budget of the service. Returns false when the budget is used up.
  bool Take(const Service& service, TimePoint now);

 private:
  std::mutex mutex_;
  std::map<std::string, core::RetryBudget> budgets_;
};

}  // namespace rattanramp::entry
