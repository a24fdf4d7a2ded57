// Tracks the work in flight of each customer, for fair shares at overload.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rattanramp::core {

class ShareLedger {
 public:
  /// Adds a request that is queued or starts to run. `weight` must be above zero; `cost` is in
  /// pieces or tokens.
  void Start(std::string_view customer, double weight, double cost);
  /// Removes a request that Start added.
  void Finish(std::string_view customer, double cost);

  /// The customer's fraction of the cost of all work in flight; 0 when there is none.
  double Share(std::string_view customer) const;
  /// The customer's weight divided by the sum of its own weight and those of all other customers
  /// with work in flight.
  double FairShare(std::string_view customer, double weight) const;

 private:
  struct Usage {
    double weight = 1;
    double cost = 0;
    std::int64_t requests = 0;
  };

  std::unordered_map<std::string, Usage> usage_;
  double total_cost_ = 0;
  double total_weight_ = 0;
};

}  // namespace rattanramp::core
