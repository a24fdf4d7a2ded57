#include "core/event_splitter.h"

#include <charconv>

namespace rattanramp::core {
namespace {

constexpr std::string_view kIdField = "id:";

/// Returns the offset after the blank line that ends the first event, or npos if it is incomplete.
std::size_t FindEventEnd(std::string_view text) {
  std::size_t line_start = 0;
  while (true) {
    const std::size_t line_end = text.find('\n', line_start);
    if (line_end == std::string_view::npos) {
      return std::string_view::npos;
    }
    std::string_view line = text.substr(line_start, line_end - line_start);
    if (line.empty() || line == "\r") {
      return line_end + 1;
    }
    line_start = line_end + 1;
  }
}

std::optional<std::int64_t> ParseEventId(std::string_view event) {
  std::size_t start = 0;
  while (start < event.size()) {
    const std::size_t end = event.find('\n', start);
    std::string_view line = event.substr(start, end - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      std::int64_t id = 0;
      const std::from_chars_result parsed =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (parsed.ec == std::errc()) {
        return id;
      }
    }
    if (end == std::string_view::npos) {
      break;
    }
    start = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::string TakeCompleteEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.partial.append(bytes);
  const std::string_view text = splitter.partial;
  std::size_t complete_size = 0;
  while (true) {
    const std::size_t end = FindEventEnd(text.substr(complete_size));
    if (end == std::string_view::npos) {
      break;
    }
    const std::optional<std::int64_t> id = ParseEventId(text.substr(complete_size, end));
    if (id) {
      splitter.last_id = id;
      ++splitter.events;
    }
    complete_size += end;
  }
  std::string events = splitter.partial.substr(0, complete_size);
  splitter.partial.erase(0, complete_size);
  return events;
}

void DropPartialEvent(EventSplitter& splitter) { splitter.partial.clear(); }

}  // namespace rattanramp::core
