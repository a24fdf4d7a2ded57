#include "core/fair_queue.h"

#include <algorithm>

namespace rattanramp::core {

void FairQueue::Push(WaitingRequest request) {
  const Customers::iterator customer = customers_.try_emplace(request.customer).first;
  customer->second.weight = request.weight;
  if (customer->second.waiting.empty()) {
    idle_.erase({customer->second.start, customer->first});
    customer->second.start = std::max(customer->second.start, virtual_time_);
    active_.insert({customer->second.start, customer->first});
  }
  const TimePoint due = request.patient ? request.arrived + patient_aging_ : request.deadline;
  Insert(customer->second, due, std::move(request));
}

const WaitingRequest* FairQueue::Front(TimePoint now) {
  if (active_.empty()) {
    return nullptr;
  }
  Customer& customer = NextCustomer()->second;
  DemoteOverdue(customer, now);
  return &customer.waiting.begin()->second;
}

std::optional<WaitingRequest> FairQueue::Pop(TimePoint now) {
  if (Front(now) == nullptr) {
    return std::nullopt;
  }
  const Customers::iterator customer = NextCustomer();
  const std::map<Position, WaitingRequest>::iterator first = customer->second.waiting.begin();
  WaitingRequest request = std::move(first->second);
  customer->second.waiting.erase(first);
  positions_.erase(request.id);
  virtual_time_ = customer->second.start;
  SetStart(customer, customer->second.start + request.cost / customer->second.weight);
  if (customer->second.waiting.empty()) {
    Deactivate(customer);
  }
  RemoveIdleCustomers();
  return request;
}

bool FairQueue::Remove(std::uint64_t id) {
  const std::unordered_map<std::uint64_t, std::pair<std::string, Position>>::iterator position =
      positions_.find(id);
  if (position == positions_.end()) {
    return false;
  }
  const Customers::iterator customer = customers_.find(position->second.first);
  customer->second.waiting.erase(position->second.second);
  positions_.erase(position);
  if (customer->second.waiting.empty()) {
    Deactivate(customer);
  }
  RemoveIdleCustomers();
  return true;
}

FairQueue::Customers::iterator FairQueue::NextCustomer() {
  return customers_.find(active_.begin()->second);
}

void FairQueue::DemoteOverdue(Customer& customer, TimePoint now) {
  for (;;) {
    const std::map<Position, WaitingRequest>::iterator first = customer.waiting.begin();
    const TimePoint aged = first->second.arrived + patient_aging_;
    const bool late = !first->second.patient && first->second.deadline < now;
    if (!late || first->first.first >= aged) {
      return;
    }
    WaitingRequest request = std::move(first->second);
    customer.waiting.erase(first);
    Insert(customer, aged, std::move(request));
  }
}

void FairQueue::Insert(Customer& customer, TimePoint due, WaitingRequest request) {
  const Position position{due, next_order_++};
  positions_[request.id] = {request.customer, position};
  customer.waiting.emplace(position, std::move(request));
}

void FairQueue::SetStart(const Customers::iterator& customer, double start) {
  active_.erase({customer->second.start, customer->first});
  customer->second.start = start;
  active_.insert({start, customer->first});
}

void FairQueue::Deactivate(const Customers::iterator& customer) {
  active_.erase({customer->second.start, customer->first});
  idle_.insert({customer->second.start, customer->first});
}

void FairQueue::RemoveIdleCustomers() {
  // Without waiting requests all idle customers are removed, so that service received in one busy
  // period does not count against a customer in the next.
  while (!idle_.empty() && (active_.empty() || idle_.begin()->first <= virtual_time_)) {
    customers_.erase(idle_.begin()->second);
    idle_.erase(idle_.begin());
  }
}

}  // namespace rattanramp::core
