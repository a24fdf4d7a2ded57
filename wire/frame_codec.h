// Encoding of Frame messages: 4-byte big-endian length, then the Thrift compact form.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "base/result.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::wire {

inline constexpr std::int32_t kProtocolVersion = 1;
inline constexpr std::size_t kLengthPrefixBytes = 4;
inline constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

/// Returns the frame with its length prefix, or kInvalidArgument when it exceeds kMaxFrameBytes.
Result<std::string> EncodeFrame(const Frame& frame);

/// Reads the length prefix. Returns kProtocol when the length is zero or above kMaxFrameBytes.
Result<std::size_t> DecodeLength(std::span<const std::uint8_t, kLengthPrefixBytes> prefix);

/// Decodes the part after the length prefix. Returns kProtocol on malformed input.
Result<Frame> DecodeFrame(std::span<const std::uint8_t> payload);

}  // namespace rattanramp::wire
