// Metadata that a caller sends with a request, and that an upstream sends with an answer. It is
// decoded once, when the message is received.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanramp::core {

struct RequestFacts {
  /// Unique for each attempt that a caller makes.
  std::string request_id;
  /// Remaining time for which the caller waits, in ms.
  std::optional<std::int64_t> deadline_ms;
  /// Highest event id that the caller has received; set when the caller resumes a stream.
  std::optional<std::int64_t> resume_after_event;
  /// Id of the last part of the prompt, which is specific to the request or its session. Empty if
  /// the caller sent none.
  std::string prompt_id;
  /// Ids of the other parts of the prompt, in its order. Requests share them.
  std::vector<std::string> prompt_parts;
  /// Zero for requests that are not generations.
  std::int64_t prompt_tokens = 0;
  /// Largest number of tokens that the answer may have.
  std::int64_t max_output_tokens = 0;
  /// The caller's estimate of the output; often inaccurate.
  std::optional<std::int64_t> expected_output_tokens;
};

struct AnswerFacts {
  /// Id of the request that the answer belongs to; empty when the upstream did not send it.
  std::string request_id;
  /// The upstream signed the answer.
  bool is_signed = false;
  /// The upstream states that it did not run the request.
  bool not_run = false;
  /// The statements contradict each other, as in the mixture of two answers. Whether the request
  /// ran is unknown.
  bool is_contradictory = false;
  /// The process at this address is not the one that the request was meant for.
  bool wrong_instance = false;
  /// The body is encoded, for example compressed, so it is not the one that was asked for.
  bool is_encoded = false;
  /// The body is a stream of events. Assumed if the upstream does not state a type.
  bool is_event_stream = true;
  /// The upstream takes no new requests any more and will exit.
  bool is_leaving = false;
  /// Time for which the upstream wants no requests from this process, in ms; absent if not stated.
  std::optional<std::int64_t> pause_ms;
  /// Time for which the upstream keeps an idle connection open, in ms; absent if not stated.
  std::optional<std::int64_t> idle_timeout_ms;
};

/// Whether a status promises that the request has not run and never will.
inline bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Whether an answer without the statement "not run" is one that a server has made for the request,
/// so that it may be passed on. Otherwise it is not known whether the request ran.
inline bool IsAnswerOfRun(const AnswerFacts& facts, int status) {
  return facts.is_signed && !facts.is_encoded && !PromisesNotRun(status);
}

}  // namespace rattanramp::core
