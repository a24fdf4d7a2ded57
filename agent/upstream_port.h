// Port to the upstream of an agent. Adapters: HttpEngine and HttpService.
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
  /// Makes the call return with RunStatus::kStopped. May be repeated.
  void Stop();
  bool stopped() const;
  /// Set by the adapter while it waits; called under a lock.
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
  /// The connection broke or no reply arrived after sending.
  kBroken,
  kMemoryFull,
  kKvGone,
  /// The upstream does not know the request.
  kNotFound,
  /// Any other answer of the upstream; see message.
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

/// Called on the thread of the run.
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
  /// Only for Decode.
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
  /// kDone for any HTTP answer, kRefused when nothing was sent, kBroken when the outcome is
  /// unknown.
  RunStatus status = RunStatus::kError;
  int http_status = 0;
  std::string content_type;
  std::string body;
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

/// Blocking calls, safe from any thread. Errors of Result calls: kUnavailable (connection refused),
/// kTimeout (no answer), kNotFound, kConflict (old fencing number), kProtocol (bad answer).
class UpstreamPort {
 public:
  virtual ~UpstreamPort() = default;

  /// Fencing number sent with work and orders; zero while it is not known.
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
