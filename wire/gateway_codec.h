// Encoding of the datagrams between gateways: the Thrift compact form of GatewayLoad.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::wire {

std::string EncodeGatewayLoad(const GatewayLoad& load);

/// Errors: kProtocol on malformed input.
Result<GatewayLoad> DecodeGatewayLoad(std::string_view datagram);

}  // namespace rattanramp::wire
