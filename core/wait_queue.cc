#include "core/wait_queue.h"

#include <algorithm>

namespace rattanramp::core {

void WaitQueue::Push(WaitingRequest request) {
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

const WaitingRequest* WaitQueue::Front(TimePoint now) {
  if (active_.empty()) {
    return nullptr;
  }
  Customer& customer = NextCustomer()->second;
  DemoteLate(customer, now);
  return &customer.waiting.begin()->second;
}

std::optional<WaitingRequest> WaitQueue::Pop(TimePoint now) {
  if (Front(now) == nullptr) {
    return std::nullopt;
  }
  const Customers::iterator customer = NextCustomer();
  const std::map<Place, WaitingRequest>::iterator first = customer->second.waiting.begin();
  WaitingRequest request = std::move(first->second);
  customer->second.waiting.erase(first);
  places_.erase(request.id);
  virtual_time_ = customer->second.start;
  SetStart(customer, customer->second.start + request.cost / customer->second.weight);
  if (customer->second.waiting.empty()) {
    Deactivate(customer);
  }
  ForgetIdle();
  return request;
}

bool WaitQueue::Remove(std::uint64_t id) {
  const std::unordered_map<std::uint64_t, std::pair<std::string, Place>>::iterator place =
      places_.find(id);
  if (place == places_.end()) {
    return false;
  }
  const Customers::iterator customer = customers_.find(place->second.first);
  customer->second.waiting.erase(place->second.second);
  places_.erase(place);
  if (customer->second.waiting.empty()) {
    Deactivate(customer);
  }
  ForgetIdle();
  return true;
}

WaitQueue::Customers::iterator WaitQueue::NextCustomer() {
  return customers_.find(active_.begin()->second);
}

void WaitQueue::DemoteLate(Customer& customer, TimePoint now) {
  for (;;) {
    const std::map<Place, WaitingRequest>::iterator first = customer.waiting.begin();
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

void WaitQueue::Insert(Customer& customer, TimePoint due, WaitingRequest request) {
  const Place place{due, next_order_++};
  places_[request.id] = {request.customer, place};
  customer.waiting.emplace(place, std::move(request));
}

void WaitQueue::SetStart(const Customers::iterator& customer, double start) {
  active_.erase({customer->second.start, customer->first});
  customer->second.start = start;
  active_.insert({start, customer->first});
}

void WaitQueue::Deactivate(const Customers::iterator& customer) {
  active_.erase({customer->second.start, customer->first});
  idle_.insert({customer->second.start, customer->first});
}

void WaitQueue::ForgetIdle() {
  // A busy period ends when nothing waits; debts from it do not carry over.
  while (!idle_.empty() && (active_.empty() || idle_.begin()->first <= virtual_time_)) {
    customers_.erase(idle_.begin()->second);
    idle_.erase(idle_.begin());
  }
}

}  // namespace rattanramp::core
