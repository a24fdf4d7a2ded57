// Work in flight per customer, for fair shares at overload.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rattanramp::core {

class ShareLedger {
 public:
  /// Counts a request that starts to wait or run; weight > 0, cost in pieces or tokens.
  void Start(std::string_view customer, double weight, double cost);
  /// Takes back what Start counted.
  void Finish(std::string_view customer, double cost);

  /// The customer's share of all work in flight, 0 when there is none.
  double Share(std::string_view customer) const;
  /// Its weight as a share of the weights of all customers with work in flight and its own.
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
