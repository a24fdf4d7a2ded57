#include "wire/frame_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>

namespace rattanramp::wire {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

namespace {

// Maximum number of entries of a container. Limits the memory used for decoding: an entry of the
// smallest list element takes at least one byte on the wire, but many bytes when decoded.
constexpr std::int32_t kMaxContainerEntries = 1'000'000;

}  // namespace

Result<std::string> EncodeFrame(const Frame& frame) {
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  try {
    frame.write(&protocol);
  } catch (const std::exception& error) {
    return Error{ErrorKind::kInvalidArgument,
                 std::string("frame cannot be encoded: ") + error.what(),
                 "set exactly one member of the frame"};
  }
  std::uint8_t* data = nullptr;
  std::uint32_t size = 0;
  buffer->getBuffer(&data, &size);
  if (size > kMaxFrameBytes) {
    return Error{ErrorKind::kInvalidArgument,
                 "frame of " + std::to_string(size) + " bytes is too large",
                 "keep the message under " + std::to_string(kMaxFrameBytes) + " bytes"};
  }
  std::string encoded;
  encoded.reserve(kLengthPrefixBytes + size);
  for (int shift = 24; shift >= 0; shift -= 8) {
    encoded.push_back(static_cast<char>((size >> shift) & 0xFFU));
  }
  encoded.append(reinterpret_cast<const char*>(data), size);
  return encoded;
}

Result<std::size_t> DecodeLength(std::span<const std::uint8_t, kLengthPrefixBytes> prefix) {
  std::size_t length = 0;
  for (const std::uint8_t byte : prefix) {
    length = (length << 8U) | byte;
  }
  if (length == 0 || length > kMaxFrameBytes) {
    return Error{ErrorKind::kProtocol,
                 "frame length " + std::to_string(length) + " is out of range",
                 "check that both ends run the same protocol version"};
  }
  return length;
}

Result<Frame> DecodeFrame(std::span<const std::uint8_t> payload) {
  // TMemoryBuffer in OBSERVE mode takes a non-const pointer but does not write to it.
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>(
      const_cast<std::uint8_t*>(payload.data()), static_cast<std::uint32_t>(payload.size()),
      TMemoryBuffer::OBSERVE);
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, kMaxFrameBytes, kMaxContainerEntries);
  Frame frame;
  try {
    frame.read(&protocol);
  } catch (const std::exception& error) {
    return Error{ErrorKind::kProtocol, std::string("malformed frame: ") + error.what(),
                 "check that both ends run the same protocol version"};
  }
  return frame;
}

}  // namespace rattanramp::wire
