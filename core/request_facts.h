// What a caller states about a request, and what an upstream states about an answer, decoded once
// from the wire.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace rattanramp::core {

struct RequestFacts {
  /// Unique for each attempt of a caller.
  std::string request_id;
  /// Time that the caller still waits, in ms.
  std::optional<std::int64_t> deadline_ms;
  /// Highest event that the caller already has; set when the caller resumes a stream.
  std::optional<std::int64_t> resume_after_event;
  /// Names the last part of the prompt, which belongs to the request or its session; empty: none.
  std::string prompt_id;
  /// Zero for requests that are not generations.
  std::int64_t prompt_tokens = 0;
  /// Most tokens that the answer may have.
  std::int64_t max_output_tokens = 0;
  /// The caller's estimate of the output; often far off.
  std::optional<std::int64_t> expected_output_tokens;
};

struct AnswerFacts {
  /// Id of the request that the answer belongs to; empty when the upstream did not name it.
  std::string request_id;
  /// The upstream signed the answer.
  bool is_signed = false;
  /// The upstream promises that the request did not run.
  bool not_run = false;
  /// Another process has the address.
  bool wrong_instance = false;
  /// How long the upstream keeps an idle connection, in ms, when it says so.
  std::optional<std::int64_t> idle_timeout_ms;
};

}  // namespace rattanramp::core
