// Queue of the requests that wait at an entry for free memory on the same engines. Customers are
// served in proportion to their weights. Within a customer, impatient requests are ordered by
// deadline and patient requests by age.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/clock.h"

namespace rattanramp::core {

/// Maximum time for which impatient requests that arrive later overtake a patient request. In the
/// policy simulation at 1.3 times capacity, 30 s gave 10% more goodput than 5 s: patient requests
/// of that age have already missed their target, while impatient ones can still meet theirs.
inline constexpr Duration kDefaultPatientAging = Milliseconds(30'000);

struct WaitingRequest {
  /// Unique in the queue.
  std::uint64_t id = 0;
  std::string customer;
  /// Must be above zero. The weight of a customer's latest request applies.
  double weight = 1;
  /// Work that the request causes, in tokens or pieces.
  double cost = 1;
  bool patient = false;
  TimePoint arrived;
  /// Time by which the first output is due. Ignored for patient requests.
  TimePoint deadline;
};

/// Start-time fair queueing between customers: while two customers have waiting requests, the
/// amounts of service they receive, divided by their weights, differ by at most one request of
/// each. Within a customer the request with the earliest due time is next: the deadline of
/// impatient work; arrival plus `patient_aging` for patient work, so that later impatient work
/// cannot overtake it indefinitely. Impatient work whose deadline has passed is treated as patient.
/// No request is dropped.
class FairQueue {
 public:
  explicit FairQueue(Duration patient_aging = kDefaultPatientAging)
      : patient_aging_(patient_aging) {}

  void Push(WaitingRequest request);
  /// The request that Pop would return. The pointer is valid until the queue changes; null when the
  /// queue is empty.
  const WaitingRequest* Front(TimePoint now);
  std::optional<WaitingRequest> Pop(TimePoint now);
  /// Removes a request whose caller has disconnected. Returns false when it is not waiting.
  bool Remove(std::uint64_t id);

  std::size_t size() const { return positions_.size(); }

 private:
  /// Due time, then order of insertion.
  using Position = std::pair<TimePoint, std::uint64_t>;
  struct Customer {
    double weight = 1;
    /// Virtual time at which the customer's next request starts.
    double start = 0;
    std::map<Position, WaitingRequest> waiting;
  };
  using Customers = std::map<std::string, Customer, std::less<>>;

  Customers::iterator NextCustomer();
  /// Moves impatient requests whose deadline has passed to the due time of a patient request.
  void DemoteOverdue(Customer& customer, TimePoint now);
  void Insert(Customer& customer, TimePoint due, WaitingRequest request);
  void SetStart(const Customers::iterator& customer, double start);
  void Deactivate(const Customers::iterator& customer);
  void RemoveIdleCustomers();

  Duration patient_aging_;
  Customers customers_;
  /// Customers by start time: `active_` has those with waiting requests, `idle_` those without
  /// whose start time is still later than the virtual time.
  std::set<std::pair<double, std::string>> active_;
  std::set<std::pair<double, std::string>> idle_;
  std::unordered_map<std::uint64_t, std::pair<std::string, Position>> positions_;
  double virtual_time_ = 0;
  std::uint64_t next_order_ = 0;
};

}  // namespace rattanramp::core
