// Writes one access log line and updates the metrics for each finished request.
#pragma once

#include <optional>
#include <string>

#include "base/metrics.h"
#include "entry/refusal.h"
#include "entry/request_stats.h"
#include "entry/service_directory.h"

namespace rattanramp::entry {

struct AccessRecord {
  std::string request_id;
  /// Null when the service could not be determined.
  std::shared_ptr<const Service> service;
  /// "generation", "call", "key" or "models". Empty when a GenerationSession writes the log line.
  std::string request_kind;
  int status = 0;
  /// Set when the request was refused or failed.
  std::optional<Refusal> refusal;
  RequestStats stats;
  double total_ms = 0;
};

/// Returns true when the request met both latency targets of its service (first output and mean
/// time between tokens). Returns false for requests without a complete response.
bool MetTargets(const AccessRecord& record);

void LogAccess(const AccessRecord& record, Metrics& metrics);

}  // namespace rattanramp::entry
