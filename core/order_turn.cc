#include "core/order_turn.h"

namespace rattanramp::core {

bool MayOrder(const OrderRecord& last, const std::string& own_name, std::int64_t clock_ms) {
  return last.holder.empty() || last.holder == own_name ||
         clock_ms - last.clock_ms >= kHolderPause.count();
}

}  // namespace rattanramp::core
