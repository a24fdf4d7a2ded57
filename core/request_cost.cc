#include "core/request_cost.h"

#include <algorithm>

namespace rattanramp::core {
namespace {

// Relative step of a running median: large at first, and small enough later that the median stays
// within a few percent.
constexpr double kMinMedianStep = 0.02;

// Weight of a new answer in the mean of the output ratio, and the limits of one answer.
constexpr double kOutputWeight = 0.02;
constexpr double kMinOutputRatio = 0.25;
constexpr double kMaxOutputRatio = 4;

}  // namespace

void RecordUnitTime(UnitTime& time, double ms) {
  if (!(ms > 0)) {
    return;
  }
  if (time.samples == 0) {
    time.ms = ms;
  } else {
    const double step = std::max(kMinMedianStep, 0.5 / static_cast<double>(time.samples));
    time.ms *= ms > time.ms ? 1 + step : 1 / (1 + step);
  }
  ++time.samples;
}

std::optional<double> KnownUnitMs(const UnitTime& time) {
  return time.samples >= kMinUnitSamples ? std::optional(time.ms) : std::nullopt;
}

ServiceCost& CostOf(CostModel& model, std::string_view service) {
  const auto found = model.services.find(service);
  if (found != model.services.end()) {
    return found->second;
  }
  if (model.services.size() >= kMaxServiceCosts) {
    model.services.erase(model.services.begin());
  }
  return model.services[std::string(service)];
}

void RecordPlainTime(CostModel& model, std::string_view service, std::string_view route,
                     double ms) {
  RecordUnitTime(CostOf(model, service).plain_request, ms);
  auto found = model.routes.find(route);
  if (found == model.routes.end() && model.routes.size() < kMaxRouteCosts) {
    found = model.routes.emplace(route, UnitTime()).first;
  }
  if (found != model.routes.end()) {
    RecordUnitTime(found->second, ms);
  }
}

std::optional<double> ExpectedPlainMs(const CostModel& model, std::string_view service,
                                      std::string_view route) {
  const auto by_route = model.routes.find(route);
  if (by_route != model.routes.end() && by_route->second.samples >= kMinUnitSamples) {
    return by_route->second.ms;
  }
  const auto by_service = model.services.find(service);
  return by_service == model.services.end() ? std::nullopt
                                            : KnownUnitMs(by_service->second.plain_request);
}

void RecordOutput(ServiceCost& cost, std::int64_t output, std::int64_t estimate) {
  if (estimate <= 0 || output <= 0) {
    return;
  }
  const double ratio = std::clamp(static_cast<double>(output) / static_cast<double>(estimate),
                                  kMinOutputRatio, kMaxOutputRatio);
  cost.output_ratio += kOutputWeight * (ratio - cost.output_ratio);
}

double CorrectedOutput(const ServiceCost& cost, double estimate) {
  return cost.output_ratio * estimate;
}

double PrefillTokensPerMs(const ServiceCost& cost, double fallback) {
  const std::optional<double> ms = KnownUnitMs(cost.prompt_token);
  return ms && *ms > 0 ? std::clamp(1 / *ms, kMinPrefillTokensPerMs, kMaxPrefillTokensPerMs)
                       : fallback;
}

}  // namespace rattanramp::core
