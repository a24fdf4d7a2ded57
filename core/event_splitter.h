// Splits a text/event-stream at event boundaries, so that another upstream can continue a broken
// stream without a missing, duplicated or merged event. Bytes that are not events of the stream,
// for example an error text, are not passed on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanramp::core {

/// Largest event that is accepted, in bytes. The users' events have at most some KB.
inline constexpr std::size_t kMaxEventBytes = 64 * 1024;

/// What the lines of an event that is not complete yet have stated so far.
struct EventLines {
  std::optional<std::int64_t> id;
  bool has_version = false;
  bool has_data = false;
  /// Whether there was a line other than a comment.
  bool has_fields = false;
};

struct EventSplitter {
  /// Name of the field, besides those of the event-stream format, that may be the first line of an
  /// event; its value is a number. Empty: there is no such field.
  std::string_view version_field;
  /// Bytes received of the event that is not complete yet.
  std::string partial;
  /// Id of the last complete event that has one, or the event after which the stream starts.
  std::optional<std::int64_t> last_id;
  /// Number of complete events that have an id.
  std::int64_t events = 0;
  /// The bytes after the last complete event are not events of this stream.
  bool is_malformed = false;

  /// Lines of `partial` that have been read: their bytes, and what they state.
  std::size_t read_bytes = 0;
  EventLines lines;
  /// Largest difference between the ids of two successive events; 0: not known.
  std::int64_t largest_step = 0;
  /// The next event is the first one of its upstream, which continues the stream of another one.
  bool is_continuation = false;
  /// The current upstream has sent no event with an id.
  bool is_silent = true;
};

/// Appends `bytes` and returns all complete events. Keeps the incomplete rest in `partial`. An
/// event consists of fields of the event-stream format, of which each has one line; with data it
/// has an id, and ids increase. The first event of a continuation is at most the largest step so
/// far after the event before. At the first violation is_malformed is set, and nothing after it is
/// returned.
std::string TakeCompleteEvents(EventSplitter& splitter, std::string_view bytes);

/// What the end of an upstream's stream shows.
enum class StreamEnding {
  /// The upstream has stated the end, and it is not within an event.
  kWhole,
  /// The connection ended between two events. The stream is whole, or its upstream has crashed.
  kUnstated,
  /// The same, but the upstream has sent no event.
  kNoEvent,
  /// The stream ended within an event; if the end is not stated, also within a comment or a line
  /// end.
  kBroken,
};

/// Judges a stream of which no further bytes follow. is_end_stated: by a length or a last chunk.
StreamEnding JudgeEnding(const EventSplitter& splitter, bool is_end_stated);

/// Discards the incomplete event and what followed it; the upstream that continues the stream sends
/// the event again.
void DropPartialEvent(EventSplitter& splitter);

}  // namespace rattanramp::core
