// Order of the output of one attempt. Chunks may arrive late, twice or crossed; the assembler
// releases every byte once and in order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace rattanramp::core {

/// Chunks that wait for a missing one are dropped beyond this size and have to be sent again.
inline constexpr std::size_t kMaxPendingBytes = 4 * 1024 * 1024;

/// Offsets and sizes are in bytes of the output of one attempt.
struct StreamAssembler {
  /// Position after the last byte that was released.
  std::int64_t next_offset = 0;
  /// Chunks behind a gap, by offset.
  std::map<std::int64_t, std::string> pending;
  std::size_t pending_bytes = 0;
  /// Set by the end mark.
  std::optional<std::int64_t> total_bytes;
};

/// Takes a chunk and returns the bytes that can be released now; empty for duplicates and for
/// chunks behind a gap.
std::string AcceptChunk(StreamAssembler& stream, std::int64_t offset, std::string_view data);

/// Takes the end mark. Error: kProtocol when it contradicts the bytes released before or an earlier
/// end mark.
Result<void> AcceptEnd(StreamAssembler& stream, std::int64_t total_bytes);

/// True when bytes are missing before a chunk or the end mark that has arrived.
bool HasGap(const StreamAssembler& stream);

/// True when the end mark has arrived and every byte was released.
bool IsComplete(const StreamAssembler& stream);

}  // namespace rattanramp::core
