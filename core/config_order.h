// Order of the configurations that a process reads, also where the store returns from an older copy
// and the operator writes again what was lost.
#pragma once

#include <cstdint>

#include "core/store_position.h"

namespace rattanramp::core {

/// How a reply of the store is used.
enum class ReplyUse {
  kUse,
  /// It shows an older state than an earlier reply.
  kOutdated,
  /// It has only the changes since a position of an earlier era, and lacks what was lost with it.
  kReadWholeTable,
};

/// known: position of the newest reply so far. is_whole: the reply has all rows of the table.
ReplyUse JudgeReply(const StorePosition& known, const StorePosition& reply, bool is_whole);

/// A row of the configuration.
struct ConfigVersion {
  StorePosition row;
  /// The operator's own number, which rises with each configuration; it outlives a loss of rows.
  std::int64_t revision = 0;
};

enum class RowOrder {
  kOlder,
  kNewer,
  /// The store has returned from a copy that lacks the configuration in force. The operator will
  /// write that one, or a newer one, again.
  kRestored,
};

/// Compares a row with the configuration in force. Versions of one era are ordered by the store,
/// also where the operator's numbers fall. is_rewriting: the operator may still be writing again
/// what a return has lost, oldest first, so that only its numbers tell.
RowOrder CompareRow(const ConfigVersion& in_force, const ConfigVersion& row, bool is_rewriting);

}  // namespace rattanramp::core
