#include "agent/event_stream.h"

#include <utility>

namespace rattanramp::agent {

EventStream::EventStream(std::function<void(const nlohmann::json&)> on_event)
    : on_event_(std::move(on_event)) {}

bool EventStream::Feed(std::string_view bytes) {
  pending_.append(bytes);
  std::size_t begin = 0;
  for (std::size_t end = pending_.find('\n'); end != std::string::npos;
       end = pending_.find('\n', begin)) {
    std::string_view line = std::string_view(pending_).substr(begin, end - begin);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!ParseLine(line)) {
      return false;
    }
    begin = end + 1;
  }
  pending_.erase(0, begin);
  return pending_.size() <= kMaxEventBytes && data_.size() <= kMaxEventBytes;
}

bool EventStream::ParseLine(std::string_view line) {
  constexpr std::string_view kData = "data:";
  if (line.starts_with(kData)) {
    line.remove_prefix(kData.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    data_.append(line);
    return true;
  }
  if (!line.empty() || data_.empty()) {
    return true;
  }
  const nlohmann::json event = nlohmann::json::parse(std::exchange(data_, {}), nullptr, false);
  if (!event.is_object()) {
    return false;
  }
  on_event_(event);
  return true;
}

}  // namespace rattanramp::agent
