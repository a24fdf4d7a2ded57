// Reassembles the output of one attempt. Chunks may arrive late, twice or out of order; the
// assembler releases every byte once and in order. An End frame with the total
// size ends the output.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace rattanramp::core {

/// Maximum size of the chunks that are buffered behind a gap. Chunks beyond it are dropped and must
/// be sent again.
inline constexpr std::size_t kMaxPendingBytes = 4 * 1024 * 1024;

/// Offsets and sizes are in bytes of the output of one attempt.
struct StreamAssembler {
  /// Offset after the last byte that was released.
  std::int64_t next_offset = 0;
  /// Chunks behind a gap, by offset.
  std::map<std::int64_t, std::string> pending;
  std::size_t pending_bytes = 0;
  /// Total size of the output; set by the End frame.
  std::optional<std::int64_t> total_bytes;
};

/// Accepts a chunk and returns the bytes that can be released now; empty for duplicates and for
/// chunks behind a gap.
std::string AcceptChunk(StreamAssembler& stream, std::int64_t offset, std::string_view data);

/// Accepts the End frame. Error: kProtocol when it contradicts the bytes received before or an
/// earlier End frame.
Result<void> AcceptEnd(StreamAssembler& stream, std::int64_t total_bytes);

/// True when bytes are missing before a chunk or the End frame that has arrived.
bool HasGap(const StreamAssembler& stream);

/// True when the End frame has arrived and every byte was released.
bool IsComplete(const StreamAssembler& stream);

}  // namespace rattanramp::core
