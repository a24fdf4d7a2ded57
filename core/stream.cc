#include "core/stream.h"

#include <algorithm>
#include <utility>

namespace rattanramp::core {
namespace {

void Store(StreamAssembler& stream, std::int64_t offset, std::string_view data) {
  std::string& slot = stream.pending[offset];
  if (data.size() <= slot.size()) {
    return;
  }
  if (stream.pending_bytes - slot.size() + data.size() > kMaxPendingBytes) {
    if (slot.empty()) {
      stream.pending.erase(offset);
    }
    return;
  }
  stream.pending_bytes += data.size() - slot.size();
  slot = std::string(data);
}

}  // namespace

std::string AcceptChunk(StreamAssembler& stream, std::int64_t offset, std::string_view data) {
  const std::int64_t end = offset + static_cast<std::int64_t>(data.size());
  const bool beyond_end = stream.total_bytes.has_value() && end > *stream.total_bytes;
  if (offset < 0 || end <= stream.next_offset || beyond_end) {
    return "";
  }
  if (offset > stream.next_offset) {
    Store(stream, offset, data);
    return "";
  }
  std::string released(data.substr(static_cast<std::size_t>(stream.next_offset - offset)));
  stream.next_offset = end;
  while (!stream.pending.empty() && stream.pending.begin()->first <= stream.next_offset) {
    const auto first = stream.pending.begin();
    const std::int64_t known = stream.next_offset - first->first;
    if (known < static_cast<std::int64_t>(first->second.size())) {
      released.append(first->second, static_cast<std::size_t>(known));
      stream.next_offset = first->first + static_cast<std::int64_t>(first->second.size());
    }
    stream.pending_bytes -= first->second.size();
    stream.pending.erase(first);
  }
  return released;
}

Result<void> AcceptEnd(StreamAssembler& stream, std::int64_t total_bytes) {
  std::int64_t highest = stream.next_offset;
  for (const auto& [offset, data] : stream.pending) {
    highest = std::max(highest, offset + static_cast<std::int64_t>(data.size()));
  }
  const bool differs = stream.total_bytes.has_value() && *stream.total_bytes != total_bytes;
  if (total_bytes < highest || differs) {
    return Error{ErrorKind::kProtocol,
                 "End frame at " + std::to_string(total_bytes) +
                     " bytes contradicts an earlier End frame or data received up to offset " +
                     std::to_string(highest),
                 "check the agent that sent the stream"};
  }
  stream.total_bytes = total_bytes;
  return Success();
}

bool HasGap(const StreamAssembler& stream) {
  return !stream.pending.empty() ||
         (stream.total_bytes.has_value() && *stream.total_bytes > stream.next_offset);
}

bool IsComplete(const StreamAssembler& stream) {
  return stream.total_bytes.has_value() && *stream.total_bytes == stream.next_offset;
}

}  // namespace rattanramp::core
