// Splits a text/event-stream at event boundaries, so that another upstream can continue a broken
// stream without a missing, duplicated or merged event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanramp::core {

/// Largest event that is accepted, in bytes. The users' events have at most some KB.
inline constexpr std::size_t kMaxEventBytes = 64 * 1024;

struct EventSplitter {
  /// Bytes received of the event that is not complete yet.
  std::string partial;
  /// Id of the last complete event that has one.
  std::optional<std::int64_t> last_id;
  /// Number of complete events that have an id.
  std::int64_t events = 0;
};

/// Appends `bytes` and returns all complete events. Keeps the incomplete rest in `partial`.
std::string TakeCompleteEvents(EventSplitter& splitter, std::string_view bytes);

/// Discards the incomplete event; the upstream that continues the stream sends it again.
void DropPartialEvent(EventSplitter& splitter);

}  // namespace rattanramp::core
