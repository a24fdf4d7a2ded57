// Metrics of a run: goodput, latencies, refusals, wasted prefill, at-most-once violations.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/runner.h"
#include "load/workload.h"

namespace rattanramp::load {

/// Prefill tokens counted by the stand-in engines; read before and after a run.
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

/// Returns a JSON object with "workload", "services" (one member for each service and path) and
/// "total".
nlohmann::json MakeReport(const ReportInput& input);

/// Formats the report as a table with one row for each service.
std::string FormatTable(const nlohmann::json& report);

/// Sums the prefill counters of /v1/truth over engines; an engine that does not answer counts as
/// zero.
PrefillTotals ReadPrefillTotals(const std::vector<std::string>& engine_urls);

/// Sums the runs of each idempotency key in /counts over services.
std::map<std::string, std::int64_t> ReadRunsByKey(const std::vector<std::string>& service_urls);

}  // namespace rattanramp::load
