#include "core/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace rattanramp::core {
namespace {

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number < 0) {
    return std::nullopt;
  }
  return number;
}

/// Adds a line other than an empty one to the event. Returns false if the line is not part of one.
bool AddLine(EventLines& event, std::string_view line, std::string_view version_field) {
  const std::size_t colon = line.find(':');
  if (colon == 0) {
    return true;  // comment
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  const bool is_first = !event.has_fields;
  event.has_fields = true;
  if (name == "data") {
    event.has_data = true;
    return true;
  }
  if (name == "id") {
    const bool is_repeated = event.id.has_value();
    event.id = ParseNumber(value);
    return event.id && !is_repeated;
  }
  if (name == "event" || name == "retry") {
    return true;
  }
  event.has_version = !version_field.empty() && name == version_field;
  return event.has_version && is_first && ParseNumber(value);
}

/// Adds a complete event to the stream. Returns false if it does not continue the stream.
bool AddEvent(EventSplitter& splitter) {
  const EventLines& event = splitter.lines;
  if (!event.id) {
    return !event.has_data && !event.has_version;
  }
  // Streams are numbered from 1.
  const std::int64_t step = *event.id - splitter.last_id.value_or(0);
  if (splitter.last_id && step <= 0) {
    return false;
  }
  const bool has_gap = splitter.largest_step > 0 && step > splitter.largest_step;
  if (splitter.is_continuation && has_gap) {
    return false;
  }
  splitter.is_continuation = false;
  splitter.is_silent = false;
  splitter.largest_step = std::max(splitter.largest_step, step);
  splitter.last_id = event.id;
  ++splitter.events;
  return true;
}

}  // namespace

std::string TakeCompleteEvents(EventSplitter& splitter, std::string_view bytes) {
  // The bytes before were searched for the end of the line already.
  std::size_t search_from = splitter.partial.size();
  splitter.partial.append(bytes);
  const std::string_view text = splitter.partial;
  std::size_t complete_size = 0;
  while (!splitter.is_malformed) {
    const std::size_t line_end = text.find('\n', search_from);
    if (line_end == std::string_view::npos) {
      break;
    }
    std::string_view line = text.substr(splitter.read_bytes, line_end - splitter.read_bytes);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    search_from = line_end + 1;
    splitter.read_bytes = search_from;
    if (!line.empty()) {
      splitter.is_malformed = !AddLine(splitter.lines, line, splitter.version_field);
    } else if (AddEvent(splitter)) {
      splitter.lines = {};
      complete_size = search_from;
    } else {
      splitter.is_malformed = true;
    }
  }
  std::string events = splitter.partial.substr(0, complete_size);
  splitter.partial.erase(0, complete_size);
  splitter.read_bytes -= complete_size;
  return events;
}

StreamEnding JudgeEnding(const EventSplitter& splitter, bool is_end_stated) {
  const std::string_view line = std::string_view(splitter.partial).substr(splitter.read_bytes);
  const bool is_in_event =
      splitter.lines.has_fields || (!line.empty() && !line.starts_with(':') && line != "\r");
  if (splitter.is_malformed || is_in_event) {
    return StreamEnding::kBroken;
  }
  if (is_end_stated) {
    return StreamEnding::kWhole;
  }
  if (!splitter.partial.empty()) {
    return StreamEnding::kBroken;
  }
  return splitter.is_silent ? StreamEnding::kNoEvent : StreamEnding::kUnstated;
}

void DropPartialEvent(EventSplitter& splitter) {
  splitter.partial.clear();
  splitter.read_bytes = 0;
  splitter.lines = {};
  splitter.is_malformed = false;
  splitter.is_continuation = true;
  splitter.is_silent = true;
}

}  // namespace rattanramp::core
