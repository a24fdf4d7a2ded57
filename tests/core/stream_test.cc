#include "core/stream.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace rattanramp;

namespace {

struct TextRange {
  std::size_t offset = 0;
  std::size_t size = 0;
};

/// Ranges that cover the text in random order, some of them duplicated or overlapping.
std::vector<TextRange> ShuffledRanges(std::size_t size) {
  std::vector<TextRange> ranges;
  for (std::size_t offset = 0; offset < size;) {
    const std::size_t length =
        std::min<std::size_t>(size - offset, *rc::gen::inRange<std::size_t>(1, 9));
    ranges.push_back({offset, length});
    offset += length;
  }
  const std::size_t extra = size == 0 ? 0 : *rc::gen::inRange<std::size_t>(0, 10);
  for (std::size_t i = 0; i < extra; ++i) {
    const std::size_t offset = *rc::gen::inRange<std::size_t>(0, size);
    ranges.push_back({offset, *rc::gen::inRange<std::size_t>(1, size - offset + 1)});
  }
  for (std::size_t i = ranges.size(); i > 1; --i) {
    std::swap(ranges[i - 1], ranges[*rc::gen::inRange<std::size_t>(0, i)]);
  }
  return ranges;
}

}  // namespace

// Guards against text that is lost, duplicated or out of order when chunks arrive late, twice or in
// another order and the End frame arrives at any position among them.
Test(stream, releases_each_byte_once_in_order) {
  const bool ok = rc::check("each byte is released once and in order", [] {
    const std::string text = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    const std::vector<TextRange> ranges = ShuffledRanges(text.size());
    const std::size_t end_at = *rc::gen::inRange<std::size_t>(0, ranges.size() + 1);
    core::StreamAssembler stream;
    std::string released;
    for (std::size_t i = 0; i <= ranges.size(); ++i) {
      if (i == end_at) {
        RC_ASSERT(core::AcceptEnd(stream, static_cast<std::int64_t>(text.size())).has_value());
      }
      if (i < ranges.size()) {
        RC_ASSERT(!core::IsComplete(stream) || released == text);
        released += core::AcceptChunk(stream, static_cast<std::int64_t>(ranges[i].offset),
                                      text.substr(ranges[i].offset, ranges[i].size));
        RC_ASSERT(text.starts_with(released));
      }
    }
    RC_ASSERT(released == text);
    RC_ASSERT(core::IsComplete(stream));
    RC_ASSERT(!core::HasGap(stream));
    RC_ASSERT(stream.pending_bytes == 0U);
  });
  cr_assert(ok);
}

// Guards against a stream that is reported as complete although a chunk or the End frame is
// missing.
Test(stream, is_never_complete_with_a_missing_chunk) {
  const bool ok = rc::check("stream with a missing chunk is incomplete", [] {
    const std::size_t chunks = *rc::gen::inRange<std::size_t>(1, 20);
    const std::size_t missing = *rc::gen::inRange<std::size_t>(0, chunks + 1);
    core::StreamAssembler stream;
    for (std::size_t i = 0; i < chunks; ++i) {
      if (i != missing) {
        core::AcceptChunk(stream, static_cast<std::int64_t>(i * 4), "abcd");
      }
    }
    if (missing < chunks) {
      RC_ASSERT(core::AcceptEnd(stream, static_cast<std::int64_t>(chunks * 4)).has_value());
      RC_ASSERT(core::HasGap(stream));
      RC_ASSERT(stream.next_offset == static_cast<std::int64_t>(missing * 4));
    }
    RC_ASSERT(!core::IsComplete(stream));
  });
  cr_assert(ok);
}

// Guards against an End frame that truncates text which was already released or received.
Test(stream, refuses_a_contradicting_end_frame) {
  core::StreamAssembler stream;
  core::AcceptChunk(stream, 0, "abcd");
  core::AcceptChunk(stream, 8, "ijkl");
  cr_assert(!core::AcceptEnd(stream, 3).has_value());
  cr_assert(!core::AcceptEnd(stream, 10).has_value());
  cr_assert(core::AcceptEnd(stream, 12).has_value());
  cr_assert(!core::AcceptEnd(stream, 16).has_value());
}

// Guards against unbounded memory use when an agent sends many chunks after a missing one.
Test(stream, bounds_the_chunks_behind_a_gap) {
  core::StreamAssembler stream;
  const std::string chunk(1024 * 1024, 'x');
  for (std::int64_t i = 0; i < 10; ++i) {
    core::AcceptChunk(stream, 1 + i * static_cast<std::int64_t>(chunk.size()), chunk);
  }
  cr_assert_leq(stream.pending_bytes, core::kMaxPendingBytes);
  cr_assert_eq(core::AcceptChunk(stream, 0, "y").size(), 1 + core::kMaxPendingBytes);
}
