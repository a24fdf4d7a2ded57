// Sends a request plan to entries, with one thread for each request.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "load/workload.h"

namespace rattanramp::load {

/// Result of one request as its caller received it.
struct RequestRecord {
  std::size_t service = 0;
  std::string key;
  std::string request_id;
  /// 0 when no HTTP answer arrived.
  int status = 0;
  /// Kind of the refusal or failure; empty for a successful answer.
  std::string error_kind;
  /// Execution outcome that the answer stated: not_run, ran, unknown or empty.
  std::string outcome;
  double first_output_ms = 0;
  double pace_mean_ms = 0;
  double pace_max_ms = 0;
  double total_ms = 0;
  std::int64_t output_tokens = 0;
  bool cancelled = false;
  /// The complete answer arrived; for a stream, including the terminator "[DONE]".
  bool complete = false;
  /// The text equals the expected one; true when no check was configured.
  bool correct = true;
  bool replayed = false;
  bool repeat = false;
};

/// Returns the text that a correct engine generates for a prompt.
using ExpectedOutput = std::function<std::string(const std::string& prompt, std::int64_t tokens)>;

struct RunnerOptions {
  /// Caller addresses "host:port"; requests are distributed round-robin.
  std::vector<std::string> entries;
  /// When set, its result is compared with the received text.
  ExpectedOutput expected_output;
  /// Read and write timeout of each request.
  Milliseconds timeout{180'000};
};

/// Sends each request at its planned time and waits for all answers.
std::vector<RequestRecord> RunPlan(const Workload& workload,
                                   const std::vector<PlannedRequest>& plan,
                                   const RunnerOptions& options);

}  // namespace rattanramp::load
