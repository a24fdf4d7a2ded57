#include "wire/gateway_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>

namespace rattanramp::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Maximum size of a datagram, 64 KB. Also the maximum number of entries of a list, because a list
// in a datagram cannot have more entries than bytes.
constexpr std::int32_t kMaxBytes = 64 * 1024;

// First byte of a change report. In the compact form it ends a struct, so no complete report, which
// has required fields, starts with it.
constexpr char kChangeMarker = '\0';

}  // namespace

std::string EncodeGatewayLoad(const GatewayLoad& load) {
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  load.write(&protocol);
  return buffer->getBufferAsString();
}

std::string EncodeGatewayLoadChange(const GatewayLoad& change) {
  return kChangeMarker + EncodeGatewayLoad(change);
}

Result<DecodedGatewayLoad> DecodeGatewayLoad(std::string_view datagram) {
  DecodedGatewayLoad decoded;
  if (datagram.starts_with(kChangeMarker)) {
    decoded.is_change = true;
    datagram.remove_prefix(1);
  }
  // TMemoryBuffer in OBSERVE mode takes a non-const pointer but does not write to it.
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(datagram.data())),
      static_cast<std::uint32_t>(datagram.size()), TMemoryBuffer::OBSERVE);
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, kMaxBytes, kMaxBytes);
  try {
    decoded.load.read(&protocol);
  } catch (const std::exception& error) {
    return Error{ErrorKind::kProtocol, std::string("malformed load report: ") + error.what(),
                 "check that all gateways run the same version"};
  }
  return decoded;
}

}  // namespace rattanramp::wire
