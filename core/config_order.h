// Order of the configurations that a process reads, also where the store returns from an older copy
// and the operator writes again what was lost.
#pragma once

#include <cstdint>

#include "core/store_position.h"

namespace rattanramp::core {

/// What a change feed's reply is good for.
enum class ReplyUse {
  kUse,
  /// It shows an older state than an earlier reply.
  kOutdated,
  /// The store has returned from a copy: what was lost shows in no list of changes.
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
/// also where the operator's numbers fall; across eras only the operator's numbers tell.
RowOrder CompareRow(const ConfigVersion& in_force, const ConfigVersion& row);

}  // namespace rattanramp::core
