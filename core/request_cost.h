// What requests are likely to cost, learned from the answers to earlier ones: the time of a plain
// request by route, the time to read a token of a prompt, the time between two events of a stream,
// and the size of an answer against the caller's estimate. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace rattanramp::core {

/// Running median of the time that one unit of work takes. A median, because a few slow upstreams
/// must not make the others look fast.
struct UnitTime {
  double ms = 0;
  std::int64_t samples = 0;
};

void RecordUnitTime(UnitTime& time, double ms);

/// Samples from which a median is used.
inline constexpr std::int64_t kMinUnitSamples = 8;

/// Empty while too little is known.
std::optional<double> KnownUnitMs(const UnitTime& time);

struct ServiceCost {
  UnitTime plain_request;
  UnitTime prompt_token;
  UnitTime event;
  /// Mean of output tokens over the caller's estimate; the estimate is right at the median, and
  /// long answers exceed it by more than short ones fall below it.
  double output_ratio = 1;
};

struct CostModel {
  std::map<std::string, ServiceCost, std::less<>> services;
  /// Plain requests by route; at most kMaxRouteCosts, further routes use their service's.
  std::map<std::string, UnitTime, std::less<>> routes;
};

inline constexpr std::size_t kMaxRouteCosts = 256;
inline constexpr std::size_t kMaxServiceCosts = 256;

/// The service's costs; an entry that is not kept when there are kMaxServiceCosts.
ServiceCost& CostOf(CostModel& model, std::string_view service);

void RecordPlainTime(CostModel& model, std::string_view service, std::string_view route, double ms);

/// Time that a plain request of the route takes at an upstream with a free slot; empty while too
/// little is known.
std::optional<double> ExpectedPlainMs(const CostModel& model, std::string_view service,
                                      std::string_view route);

/// Records a complete answer of `output` tokens to a request whose caller had estimated `estimate`.
void RecordOutput(ServiceCost& cost, std::int64_t output, std::int64_t estimate);

/// The caller's estimate corrected by what answers of the service turned out to have.
double CorrectedOutput(const ServiceCost& cost, double estimate);

/// Limits of the reading speed that placement plans with, in tokens per ms.
inline constexpr double kMinPrefillTokensPerMs = 5;
inline constexpr double kMaxPrefillTokensPerMs = 500;

/// Speed at which engines of the service read prompts; `fallback` while too little is known.
double PrefillTokensPerMs(const ServiceCost& cost, double fallback);

}  // namespace rattanramp::core
