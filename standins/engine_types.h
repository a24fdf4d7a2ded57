// Requests, responses and state that the simulated engine and its HTTP interface share.
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

/// HTTP status and error code of a rejected or failed request.
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
  /// Output that an earlier request has already generated. Consists of whole tokens.
  std::string already_generated;
  /// Tokens to generate after already_generated.
  std::int64_t max_tokens = 0;
  /// Requests with a smaller value are processed first.
  std::int64_t priority = 0;
  /// KV to import. If empty, this engine runs the prefill itself.
  std::string kv_handle;
  /// URL of the engine that holds the KV.
  std::string source_url;
  /// Fencing token of the caller.
  std::optional<std::int64_t> fence;
};

struct PrefillResponse {
  std::string kv_handle;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t kv_bytes = 0;
};

/// Response to an engine that imports KV. Only the time of the transfer is simulated; the KV data
/// itself is not sent.
struct KvExport {
  std::string kv_handle;
  std::uint64_t output_seed = 0;
  std::int64_t bytes = 0;
  /// Tokens computed by the prefill. They count as wasted if the importing engine produces no
  /// output token.
  std::int64_t prefill_tokens = 0;
};

/// Memory allocated to a request or a KV result.
struct Allocation {
  /// Number of allocated pieces that are not part of the prefix cache.
  int uncached_pieces = 0;
  /// Hashes of the prefix cache blocks that are pinned by this allocation.
  std::vector<std::int64_t> pinned;
};

enum class RequestState { kImporting, kQueued, kPrefilling, kDecoding, kFinished, kFailed };

/// Protected by the engine's mutex.
struct EngineRequest {
  std::string id;
  bool is_prefill = false;
  std::int64_t priority = 0;
  /// Order of arrival among requests of the same priority.
  std::uint64_t arrival_number = 0;
  RequestState state = RequestState::kQueued;
  /// Set when state is kFailed.
  EngineError error;
  /// Cleared when the request starts, to free memory.
  std::string prompt;
  std::vector<std::int64_t> block_hashes;
  std::uint64_t output_seed = 0;
  /// Output seed of the prompt followed by already_generated. Imported KV has this seed if its
  /// prefill covered both.
  std::uint64_t context_seed = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t already_generated_bytes = 0;
  std::int64_t already_generated_tokens = 0;
  std::int64_t max_tokens = 0;
  bool kv_imported = false;
  std::optional<Allocation> allocation;
  /// When memory for the request was first unavailable.
  std::optional<TimePoint> memory_wait_started_at;
  std::int64_t cached_tokens = 0;
  double remaining_prefill_tokens = 0;
  /// Prefill tokens computed by this engine or, for imported KV, by the source engine.
  double prefill_tokens_spent = 0;
  /// Prefill tokens computed by this engine.
  double local_prefill_tokens_spent = 0;
  std::int64_t produced_tokens = 0;
  PrefillResponse prefill_response;
  /// Set while KV is being imported, so that a cancellation can abort the transfer.
  std::shared_ptr<httplib::Client> import_client;
  std::condition_variable changed;
};

using RequestPtr = std::shared_ptr<EngineRequest>;

/// KV of a finished prefill that has not been imported yet.
struct KvResult {
  std::string request_id;
  std::uint64_t output_seed = 0;
  Allocation allocation;
  std::int64_t bytes = 0;
  std::int64_t prefill_tokens = 0;
  TimePoint expires_at;
  /// Exports in progress. The KV does not expire during an export.
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

/// Current state and counters of the engine, reported without delay.
struct EngineSnapshot {
  int held_pieces = 0;
  int cached_pieces = 0;
  /// KV results that have not been imported yet.
  int unclaimed_kv = 0;
  int running = 0;
  /// Sorted IDs of all requests that have started or are importing KV.
  std::vector<std::string> running_ids;
  int queued = 0;
  std::int64_t prefill_tokens_spent = 0;
  std::int64_t prefill_tokens_wasted = 0;
  std::int64_t output_tokens = 0;
  /// Requests whose already_generated was not a prefix of the expected output of their prompt.
  std::int64_t wrong_continuations = 0;
};

struct EngineFaults {
  /// KV transfers do not finish while this is set.
  bool stall_transfers = false;
  /// Streams send no output while this is set. The requests themselves continue.
  bool freeze_streams = false;
  /// The process exits when it starts a request whose prompt contains this text. Empty: no crash.
  std::string crash_on;
};

/// Next part of an output stream.
struct StreamStep {
  enum class Kind { kNoOutput, kText, kDone, kFailed };
  Kind kind = Kind::kNoOutput;
  /// Byte position of the text in the output of the request.
  std::int64_t offset = 0;
  std::string text;
  EngineError error;
};

}  // namespace rattanramp::standins
