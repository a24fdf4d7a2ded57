#include "core/config_order.h"

namespace rattanramp::core {

ReplyUse JudgeReply(const StorePosition& known, const StorePosition& reply, bool is_whole) {
  if (reply < known) {
    return ReplyUse::kOutdated;
  }
  return reply.era > known.era && !is_whole ? ReplyUse::kReadWholeTable : ReplyUse::kUse;
}

RowOrder CompareRow(const ConfigVersion& in_force, const ConfigVersion& row, bool is_rewriting) {
  if (row.row <= in_force.row) {
    return RowOrder::kOlder;
  }
  return is_rewriting && row.revision < in_force.revision ? RowOrder::kRestored : RowOrder::kNewer;
}

}  // namespace rattanramp::core
