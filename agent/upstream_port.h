// Interface to the upstream of an agent, implemented by HttpEngine and HttpService.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace rattanramp::agent {

/// Interrupts a blocking call of UpstreamPort from another thread.
class RunControl {
 public:
  /// Makes the call return RunStatus::kStopped. Can be called more than once.
  void Stop();
  bool stopped() const;
  /// Sets the function that Stop calls, under a lock, to interrupt the blocking call.
  void SetInterrupt(std::function<void()> interrupt);
  void ClearInterrupt();

 private:
  mutable std::mutex mutex_;
  bool stopped_ = false;
  std::function<void()> interrupt_;
};

enum class RunStatus {
  kDone,
  kStopped,
  /// The connection was refused; nothing was sent.
  kRefused,
  /// The connection was lost, or no response arrived after the request was sent.
  kBroken,
  kMemoryFull,
  /// The source engine no longer has the KV, or has no such handle.
  kKvGone,
  /// The upstream has no record of the request.
  kNotFound,
  /// Any other response of the upstream; see message.
  kError,
};

struct RunResult {
  RunStatus status = RunStatus::kError;
  std::int32_t output_tokens = 0;
  std::int32_t prefill_tokens = 0;
  std::int32_t cached_tokens = 0;
  std::int64_t total_bytes = 0;
  std::string message;
};

struct OutputChunk {
  /// Position of text in the output of the request, in bytes.
  std::int64_t offset = 0;
  std::string text;
  std::int32_t tokens = 0;
};

/// Callbacks of a run, called on its thread.
struct RunSink {
  /// The upstream accepted the request.
  std::function<void()> on_accepted;
  std::function<void(OutputChunk)> on_output;
};

struct PrefillRequest {
  std::string request_id;
  std::string prompt;
  std::int32_t priority = 0;
};

struct PrefillResult {
  RunResult run;
  std::string kv_handle;
  std::int64_t kv_bytes = 0;
};

struct GenerateRequest {
  std::string request_id;
  std::string prompt;
  std::string already_generated;
  std::int32_t max_tokens = 0;
  std::int32_t priority = 0;
  /// kv_handle and source_url are used only by Decode.
  std::string kv_handle;
  std::string source_url;
};

struct CallRequest {
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string idempotency_key;
  std::string request_id;
  Milliseconds timeout{0};
};

struct CallReply {
  /// kDone for any HTTP response, kRefused if nothing was sent, kStopped if interrupted, kBroken if
  /// the outcome is unknown.
  RunStatus status = RunStatus::kError;
  int http_status = 0;
  std::string content_type;
  std::string body;
  /// The service has stated the end of the body, by a length or a last chunk. Otherwise the body
  /// ended with its connection, and the service may have crashed before it was whole.
  bool is_end_stated = true;
  std::string message;
};

struct Order {
  /// set_role, load_model, unload_model or load_adapter.
  std::string kind;
  std::string name;
  std::string role;
};

struct UpstreamLoad {
  std::int64_t incarnation = 0;
  std::int32_t total_pieces = 0;
  std::int32_t free_pieces = 0;
  std::int32_t max_running = 0;
  std::int32_t running = 0;
  std::int32_t queued = 0;
  std::int64_t queued_prefill_tokens = 0;
  double prefill_tokens_per_s = 0;
  double decode_token_ms = 0;
  std::int64_t link_queue_bytes = 0;
  double link_bytes_per_s = 0;
  double kv_bytes_per_token = 0;
  std::string role;
  std::vector<std::string> models;
};

struct CacheEvent {
  std::int64_t sequence = 0;
  std::int64_t block_hash = 0;
  bool stored = false;
};

struct CacheEvents {
  std::int64_t incarnation = 0;
  std::vector<CacheEvent> events;
};

/// All calls block and are safe from any thread. Errors of calls that return Result: kUnavailable
/// (connection refused), kTimeout (no response), kNotFound, kConflict (outdated fencing token),
/// kProtocol (invalid response).
class UpstreamPort {
 public:
  virtual ~UpstreamPort() = default;

  /// Sets the fencing token that is sent with work and orders. It is zero until the first call.
  virtual void SetFence(std::int64_t fence) = 0;

  virtual PrefillResult Prefill(const PrefillRequest& request, RunControl& control) = 0;
  virtual RunResult Decode(const GenerateRequest& request, const RunSink& sink,
                           RunControl& control) = 0;
  virtual RunResult Generate(const GenerateRequest& request, const RunSink& sink,
                             RunControl& control) = 0;
  /// Continues the stream of a running request on a new connection.
  virtual RunResult Resume(const std::string& request_id, std::int64_t offset, const RunSink& sink,
                           RunControl& control) = 0;
  virtual Result<void> Cancel(const std::string& request_id) = 0;
  virtual Result<void> CancelAll() = 0;

  virtual CallReply Call(const CallRequest& request, RunControl& control) = 0;

  virtual Result<void> SendOrder(const Order& order) = 0;
  virtual Result<UpstreamLoad> Load() = 0;
  virtual Result<CacheEvents> Events(std::int64_t after) = 0;
};

}  // namespace rattanramp::agent
