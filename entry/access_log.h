// One log line and the metrics of each finished request.
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
  /// Empty when the service could not be determined.
  std::shared_ptr<const Service> service;
  /// "generation", "call", "key" or "other".
  std::string request_kind;
  int status = 0;
  /// Set when the request was refused or failed.
  std::optional<Refusal> refusal;
  RequestStats stats;
  double total_ms = 0;
};

/// Both latency targets of the service were met. False for requests without a whole answer.
bool MetTargets(const AccessRecord& record);

void LogAccess(const AccessRecord& record, Metrics& metrics);

}  // namespace rattanramp::entry
