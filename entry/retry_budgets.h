// Retry budgets of all services.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/retry.h"
#include "entry/service_directory.h"

namespace rattanramp::entry {

/// Safe from any thread.
class RetryBudgets {
 public:
  void Count(const Service& service);
  /// Returns false when the budget of the service is spent.
  bool Take(const Service& service, TimePoint now);

 private:
  std::mutex mutex_;
  std::map<std::string, core::RetryBudget> budgets_;
};

}  // namespace rattanramp::entry
