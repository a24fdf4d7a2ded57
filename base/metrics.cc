#include "base/metrics.h"

// clang-format off
// Boost.Accumulators 1.74 uses std::ostringstream without including it.
#include <sstream>
// clang-format on

#include <spdlog/fmt/fmt.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace rattanramp {
namespace {

namespace acc = boost::accumulators;

// Probabilities that the P-square estimator tracks. It needs more of them (markers) than the
// quantiles that are exported.
constexpr std::array<double, 5> kMarkers = {0.25, 0.5, 0.75, 0.95, 0.99};
constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

/// Adds a label to a series name that may already carry labels.
std::string WithLabel(std::string_view series, std::string_view label) {
  if (series.ends_with('}')) {
    return fmt::format("{},{}}}", series.substr(0, series.size() - 1), label);
  }
  return fmt::format("{}{{{}}}", series, label);
}

/// Inserts a suffix before the labels.
std::string WithSuffix(std::string_view series, std::string_view suffix) {
  const std::size_t brace = series.find('{');
  if (brace == std::string_view::npos) {
    return fmt::format("{}{}", series, suffix);
  }
  return fmt::format("{}{}{}", series.substr(0, brace), suffix, series.substr(brace));
}

}  // namespace

struct Metrics::Summary {
  Accumulator samples{acc::extended_p_square_probabilities = kMarkers};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, double amount) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counters_[std::string(name)] += amount;
}

void Metrics::SetGauge(std::string_view name, double value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gauges_[std::string(name)] = value;
}

void Metrics::Observe(std::string_view name, double value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<Summary>& summary = summaries_[std::string(name)];
  if (!summary) {
    summary = std::make_unique<Summary>();
  }
  summary->samples(value);
}

double Metrics::value(std::string_view name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (const auto counter = counters_.find(name); counter != counters_.end()) {
    return counter->second;
  }
  if (const auto gauge = gauges_.find(name); gauge != gauges_.end()) {
    return gauge->second;
  }
  return 0;
}

std::string Metrics::PrometheusText() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  for (const auto& [name, value] : counters_) {
    text += fmt::format("rattanramp_{} {}\n", name, value);
  }
  for (const auto& [name, value] : gauges_) {
    text += fmt::format("rattanramp_{} {}\n", name, value);
  }
  for (const auto& [name, summary] : summaries_) {
    for (const double quantile : kQuantiles) {
      const double value = acc::quantile(summary->samples, acc::quantile_probability = quantile);
      text += fmt::format("rattanramp_{} {}\n",
                          WithLabel(name, fmt::format("quantile=\"{}\"", quantile)), value);
    }
    text += fmt::format("rattanramp_{} {}\n", WithSuffix(name, "_sum"), acc::sum(summary->samples));
    text +=
        fmt::format("rattanramp_{} {}\n", WithSuffix(name, "_count"), acc::count(summary->samples));
  }
  return text;
}

}  // namespace rattanramp
