// Requests, answers and state that the stand-in engine and its HTTP interface share.
#pragma once

#include <httplib.h>

#include <boost/outcome.hpp>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace rattanramp::standins {

/// HTTP status and error code of a refused request.
struct EngineError {
  int status = 500;
  std::string error;
};

template <typename T>
using EngineResult =
    boost::outcome_v2::basic_result<T, EngineError, boost::outcome_v2::policy::terminate>;

/// Body of a prefill, decode or generate call.
struct EngineCall {
  std::string request_id;
  std::string prompt;
  /// Output that an earlier request already generated; whole tokens.
  std::string already_generated;
  /// Tokens to generate after already_generated.
  std::int64_t max_tokens = 0;
  /// Smaller is served first.
  std::int64_t priority = 0;
  /// Empty: prefill in place.
  std::string kv_handle;
  std::string source_url;
  std::optional<std::int64_t> fence;
};

struct PrefillResponse {
  std::string kv_handle;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t kv_bytes = 0;
};

/// What an engine sends another that imports KV. The bytes themselves are simulated.
struct KvExport {
  std::string kv_handle;
  std::uint64_t output_seed = 0;
  std::int64_t bytes = 0;
  /// Prefill tokens spent; wasted if the importer delivers no output token.
  std::int64_t prefill_tokens = 0;
};

/// Memory of a request or KV result.
struct Allocation {
  /// Pieces that are not in the prefix cache.
  int uncached_pieces = 0;
  /// Blocks of the prefix cache that it pins.
  std::vector<std::int64_t> pinned;
};

enum class RequestState { kImporting, kQueued, kPrefilling, kDecoding, kFinished, kFailed };

/// Guarded by the engine's mutex.
struct EngineRequest {
  std::string id;
  bool is_prefill = false;
  std::int64_t priority = 0;
  std::uint64_t arrival_number = 0;
  RequestState state = RequestState::kQueued;
  /// Set when state is kFailed.
  EngineError error;
  /// Dropped once the request has started.
  std::string prompt;
  std::vector<std::int64_t> block_hashes;
  std::uint64_t output_seed = 0;
  /// Seed of the prompt with already_generated, which a prefill for a resumed request may use.
  std::uint64_t context_seed = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t already_generated_bytes = 0;
  std::int64_t already_generated_tokens = 0;
  std::int64_t max_tokens = 0;
  bool kv_imported = false;
  std::optional<Allocation> allocation;
  std::optional<TimePoint> memory_wait_started_at;
  std::int64_t cached_tokens = 0;
  double remaining_prefill_tokens = 0;
  /// Prefill tokens computed here or, after an import, at the source.
  double prefill_tokens_spent = 0;
  /// Prefill tokens computed here.
  double local_prefill_tokens_spent = 0;
  std::int64_t produced_tokens = 0;
  PrefillResponse prefill_response;
  /// Present while KV is imported, so that a cancel can interrupt the transfer.
  std::shared_ptr<httplib::Client> import_client;
  std::condition_variable changed;
};

using RequestPtr = std::shared_ptr<EngineRequest>;

/// KV of a finished prefill that no engine has imported yet.
struct KvResult {
  std::string request_id;
  std::uint64_t output_seed = 0;
  Allocation allocation;
  std::int64_t bytes = 0;
  std::int64_t prefill_tokens = 0;
  TimePoint expires_at;
  int exports = 0;
};

struct EngineLoad {
  int free_pieces = 0;
  int running = 0;
  int queued = 0;
  std::int64_t queued_prefill_tokens = 0;
  std::int64_t link_queue_bytes = 0;
  std::string role;
  std::vector<std::string> models;
  bool operator==(const EngineLoad&) const = default;
};

struct EngineSnapshot {
  int held_pieces = 0;
  int cached_pieces = 0;
  int unclaimed_kv = 0;
  int running = 0;
  /// Ids of the running requests, sorted.
  std::vector<std::string> running_ids;
  int queued = 0;
  std::int64_t prefill_tokens_spent = 0;
  std::int64_t prefill_tokens_wasted = 0;
  std::int64_t output_tokens = 0;
  /// Requests whose already_generated was not the output of their prompt.
  std::int64_t wrong_continuations = 0;
};

struct EngineFaults {
  bool stall_transfers = false;
  bool freeze_streams = false;
  std::string crash_on;
};

/// One step of a stream.
struct StreamStep {
  enum class Kind { kNoOutput, kText, kDone, kFailed };
  Kind kind = Kind::kNoOutput;
  std::int64_t offset = 0;
  std::string text;
  EngineError error;
};

}  // namespace rattanramp::standins
