// Figures of a run: goodput, latencies, refusals, wasted prefill, at-most-once violations.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/runner.h"
#include "load/workload.h"

namespace rattanramp::load {

/// Totals read from the stand-in engines before and after a run.
struct PrefillTotals {
  std::int64_t spent = 0;
  std::int64_t wasted = 0;
};

struct ReportInput {
  const Workload& workload;
  const std::vector<RequestRecord>& records;
  double length_s = 0;
  PrefillTotals before;
  PrefillTotals after;
  /// Runs of each idempotency key, summed over the stand-in services.
  std::map<std::string, std::int64_t> runs_by_key;
};

/// JSON object with one member a service and "total".
nlohmann::json MakeReport(const ReportInput& input);

/// Short table of the report.
std::string FormatTable(const nlohmann::json& report);

/// Sums /v1/truth of engines; an engine that does not answer counts as zero.
PrefillTotals ReadPrefillTotals(const std::vector<std::string>& engine_urls);

/// Sums /counts of services.
std::map<std::string, std::int64_t> ReadRunsByKey(const std::vector<std::string>& service_urls);

}  // namespace rattanramp::load
