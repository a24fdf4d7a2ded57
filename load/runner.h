// Plays a request plan against entries, one thread for each request in flight.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "load/workload.h"

namespace rattanramp::load {

/// What happened to one request, as its caller saw it.
struct RequestRecord {
  std::size_t service = 0;
  std::string key;
  std::string request_id;
  /// 0 when no HTTP answer arrived.
  int status = 0;
  /// Kind of the refusal or failure; empty for a good answer.
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

/// Text that a correct engine produces for a prompt.
using ExpectedOutput = std::function<std::string(const std::string& prompt, std::int64_t tokens)>;

struct RunnerOptions {
  /// Caller addresses "host:port"; requests go to them in turn.
  std::vector<std::string> entries;
  /// Compared with the received text when set.
  ExpectedOutput expected_output;
  /// A request without an answer is given up after this time.
  Milliseconds timeout{180'000};
};

/// Sends the plan at its times and waits for all answers.
std::vector<RequestRecord> RunPlan(const Workload& workload,
                                   const std::vector<PlannedRequest>& plan,
                                   const RunnerOptions& options);

}  // namespace rattanramp::load
