// Whether the platform's store answers, as far as one process can tell.
#pragma once

#include "base/clock.h"

namespace rattanramp::core {

/// What kept a process from reading the list of upstreams between two views of it.
struct ListInterruption {
  /// A call to the store has failed, or was not answered in time.
  bool has_failed = false;
  /// Longest time without an answer that contains such a failure.
  Duration outage{};
};

struct StoreContact {
  /// Last time at which the store is known to have answered this process or a peer.
  TimePoint last_answer;
  /// A call has failed since then.
  bool is_failing = false;
  /// What has happened since the last view of the list.
  ListInterruption interruption;
};

void RecordStoreAnswer(StoreContact& contact, TimePoint now);
void RecordStoreFailure(StoreContact& contact);

/// Returns what has happened since the last call, which was made with the previous view of the
/// list.
ListInterruption TakeInterruption(StoreContact& contact);

}  // namespace rattanramp::core
