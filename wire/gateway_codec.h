// Encoding of the datagrams between gateways: the Thrift compact form of GatewayLoad. Complete
// reports list the whole load of a gateway. Change reports list only the upstreams whose load has
// changed since the gateway's previous report, and start with a marker byte.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::wire {

std::string EncodeGatewayLoad(const GatewayLoad& load);

/// Gateways that know only complete reports drop a change report as malformed.
std::string EncodeGatewayLoadChange(const GatewayLoad& change);

struct DecodedGatewayLoad {
  GatewayLoad load;
  bool is_change = false;
};

/// Reads both kinds of report. Errors: kProtocol on malformed input.
Result<DecodedGatewayLoad> DecodeGatewayLoad(std::string_view datagram);

}  // namespace rattanramp::wire
