#include "wire/frame_codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstring>

using rattanramp::Result;
namespace wire = rattanramp::wire;

namespace {

std::span<const std::uint8_t> PayloadOf(const std::string& encoded) {
  const std::uint8_t* data = reinterpret_cast<const std::uint8_t*>(encoded.data());
  return {data + wire::kLengthPrefixBytes, encoded.size() - wire::kLengthPrefixBytes};
}

}  // namespace

// Guards against fields that are lost or changed between encode and decode.
Test(frame_codec, round_trip) {
  cr_assert(rc::check([](const std::string& id, std::int64_t offset, const std::string& data) {
    wire::Chunk chunk;
    chunk.attempt_id = id;
    chunk.offset = offset;
    chunk.data = data;
    wire::Frame frame;
    frame.__set_chunk(chunk);
    const Result<std::string> encoded = wire::EncodeFrame(frame);
    RC_ASSERT(encoded.has_value());
    const Result<wire::Frame> decoded = wire::DecodeFrame(PayloadOf(encoded.value()));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().__isset.chunk);
    RC_ASSERT(decoded.value().chunk == chunk);
  }));
}

// Guards against a crash or an unbounded allocation when a peer sends random bytes.
Test(frame_codec, random_bytes_do_not_crash) {
  cr_assert(rc::check(
      [](const std::vector<std::uint8_t>& bytes) { static_cast<void>(wire::DecodeFrame(bytes)); }));
}

// Guards against allocating memory for a frame whose length prefix is far too large, and against
// accepting a length of zero.
Test(frame_codec, rejects_length_out_of_range) {
  const std::array<std::uint8_t, 4> huge = {0xFF, 0xFF, 0xFF, 0xFF};
  const std::array<std::uint8_t, 4> zero = {0, 0, 0, 0};
  cr_assert(!wire::DecodeLength(huge).has_value());
  cr_assert(!wire::DecodeLength(zero).has_value());
}
