#include "core/share_ledger.h"

namespace rattanramp::core {

void ShareLedger::Start(std::string_view customer, double weight, double cost) {
  Usage& usage = usage_[std::string(customer)];
  if (usage.requests > 0) {
    total_weight_ -= usage.weight;
  }
  usage.weight = weight;
  usage.cost += cost;
  ++usage.requests;
  total_weight_ += weight;
  total_cost_ += cost;
}

void ShareLedger::Finish(std::string_view customer, double cost) {
  const std::unordered_map<std::string, Usage>::iterator found = usage_.find(std::string(customer));
  if (found == usage_.end()) {
    return;
  }
  found->second.cost -= cost;
  total_cost_ -= cost;
  if (--found->second.requests > 0) {
    return;
  }
  total_weight_ -= found->second.weight;
  usage_.erase(found);
  if (usage_.empty()) {
    // Clears accumulated rounding errors when no work is in flight.
    total_cost_ = 0;
    total_weight_ = 0;
  }
}

double ShareLedger::Share(std::string_view customer) const {
  const std::unordered_map<std::string, Usage>::const_iterator found =
      usage_.find(std::string(customer));
  return found == usage_.end() || total_cost_ <= 0 ? 0 : found->second.cost / total_cost_;
}

double ShareLedger::FairShare(std::string_view customer, double weight) const {
  const std::unordered_map<std::string, Usage>::const_iterator found =
      usage_.find(std::string(customer));
  const double others = total_weight_ - (found == usage_.end() ? 0 : found->second.weight);
  return weight / (weight + others);
}

}  // namespace rattanramp::core
