// Registry of counters, gauges and summaries, written as Prometheus text.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace rattanramp {

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// name is a full Prometheus series, for example `requests_total{service="verdicts"}`.
  void Count(std::string_view name, double amount = 1);
  void SetGauge(std::string_view name, double value);
  /// Adds a sample to a summary with the quantiles 0.5, 0.95 and 0.99 (Boost.Accumulators).
  void Observe(std::string_view name, double value);

  /// Current value of a counter or gauge; zero when it does not exist.
  double value(std::string_view name) const;

  /// All series in the Prometheus text format, names prefixed with `rattanramp_`.
  std::string PrometheusText() const;

 private:
  struct Summary;
  mutable std::mutex mutex_;
  std::map<std::string, double, std::less<>> counters_;
  std::map<std::string, double, std::less<>> gauges_;
  std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries_;
};

}  // namespace rattanramp
