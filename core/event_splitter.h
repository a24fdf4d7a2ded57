// Cuts a text/event-stream at event boundaries, so that a broken stream can be continued by another
// upstream without a missing, doubled or joined event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanramp::core {

struct EventSplitter {
  /// Bytes of the event that is not complete yet.
  std::string partial;
  /// Id of the last complete event.
  std::optional<std::int64_t> last_id;
  std::int64_t events = 0;
};

/// Adds bytes and returns those that complete events. Keeps the rest in `partial`.
std::string TakeCompleteEvents(EventSplitter& splitter, std::string_view bytes);

/// Forgets the incomplete event; the next upstream sends it again.
void DropPartialEvent(EventSplitter& splitter);

}  // namespace rattanramp::core
