#include "core/order_lease.h"

namespace rattanramp::core {

bool HoldsOrderLease(const OrderRecord& last, const std::string& own_name, std::int64_t clock_ms) {
  return last.holder.empty() || last.holder == own_name ||
         clock_ms - last.clock_ms >= kLeaseTransferDelay.count();
}

}  // namespace rattanramp::core
