#include "core/store_contact.h"

#include <algorithm>
#include <utility>

namespace rattanramp::core {

void RecordStoreAnswer(StoreContact& contact, TimePoint now) {
  if (std::exchange(contact.is_failing, false)) {
    contact.interruption.outage = std::max(contact.interruption.outage, now - contact.last_answer);
  }
  contact.last_answer = now;
}

void RecordStoreFailure(StoreContact& contact) {
  contact.is_failing = true;
  contact.interruption.has_failed = true;
}

ListInterruption TakeInterruption(StoreContact& contact) {
  return std::exchange(contact.interruption, {});
}

}  // namespace rattanramp::core
