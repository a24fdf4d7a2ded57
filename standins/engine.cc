#include "standins/engine.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/ids.h"
#include "base/log.h"
#include "standins/expected_output.h"

namespace rattanramp::standins {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kCrashExitCode = 70;

/// Maximum time between two updates of the engine state while a prefill is running.
constexpr Duration kUpdateInterval = Milliseconds(10);
/// How often a waiting call checks whether its caller has disconnected.
constexpr Duration kCallerCheckInterval = Milliseconds(100);
constexpr Duration kIdleWait = std::chrono::hours(1);
/// If decoding is overdue by more than this, for example after the process was suspended, the
/// missed decode steps are skipped.
constexpr Duration kMaxDecodeBacklog = std::chrono::seconds(1);
/// Load changes within this interval are merged into one record of the load history.
constexpr Duration kLoadRecordInterval = Milliseconds(5);
constexpr std::time_t kImportTimeoutSeconds = 600;
constexpr double kTokenEpsilon = 1e-6;

Duration FromMs(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

TimePoint Now() { return DefaultClock().now(); }

std::pair<std::int64_t, std::uint64_t> QueueKey(const EngineRequest& request) {
  return {request.priority, request.arrival_number};
}

int NeededPieces(const EngineRequest& request) {
  const std::int64_t tokens =
      request.prompt_tokens + request.already_generated_tokens + request.max_tokens;
  return static_cast<int>(std::max<std::int64_t>(1, (tokens + kPieceTokens - 1) / kPieceTokens));
}

bool IsActive(const EngineRequest& request) {
  return request.state != RequestState::kFinished && request.state != RequestState::kFailed;
}

EngineError MemoryFull() { return {kUnavailable, "memory_full"}; }

}  // namespace

Engine::Engine(const EngineOptions& options)
    : options_(Scaled(options)),
      incarnation_(NewIncarnation()),
      role_(options.role),
      models_(options.models),
      prefill_advanced_at_(Now()),
      next_decode_step_(Now()),
      events_(FromMs(options_.event_delay_ms), options_.event_gap_percent, options_.seed),
      cache_([this](std::int64_t hash, bool stored) { events_.Add(hash, stored, Now()); }) {
  faults_.crash_on = options.crash_on;
  load_history_.emplace_back(Now(), CurrentLoad());
  thread_ = std::thread([this] { Run(); });
}

Engine::~Engine() { Stop(); }

void Engine::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
    std::vector<RequestPtr> active;
    for (const auto& [id, request] : requests_) {
      if (IsActive(*request)) {
        active.push_back(request);
      }
    }
    for (const RequestPtr& request : active) {
      Fail(request, {kUnavailable, "stopping"}, Now());
    }
    for (const RequestPtr& request : importing_) {
      request->import_client->stop();
    }
    transfers_changed_.notify_all();
    Wake();
  }
  thread_.join();
}

void Engine::Wake() {
  woken_ = true;
  work_.notify_one();
}

void Engine::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    woken_ = false;
    const TimePoint wake_at = Advance(Now());
    work_.wait_until(lock, wake_at, [this] { return woken_ || stopping_; });
  }
}

TimePoint Engine::Advance(TimePoint now) {
  AdvancePrefill(now);
  AdvanceDecode(now);
  ExpireKv(now);
  RemoveExpiredRequests(now);
  StartQueued(now);
  for (const RequestPtr& request : importing_) {
    // stop() has no effect before the client has connected, so it is called again on each update.
    if (!IsActive(*request)) {
      request->import_client->stop();
    }
  }
  RecordLoad(now);
  return NextWakeTime(now);
}

TimePoint Engine::NextWakeTime(TimePoint now) const {
  TimePoint wake_at = now + kIdleWait;
  if (!decoding_.empty()) {
    wake_at = std::min(wake_at, next_decode_step_);
  }
  if (!prefilling_.empty()) {
    const double remaining = prefilling_.begin()->second->remaining_prefill_tokens;
    const Duration until_done =
        FromSeconds(remaining / options_.prefill_tokens_per_s) + std::chrono::microseconds(1);
    wake_at = std::min(wake_at, now + std::min(until_done, kUpdateInterval));
  }
  for (const auto& [handle, kv] : kv_results_) {
    if (kv.exports == 0) {
      wake_at = std::min(wake_at, kv.expires_at);
    }
  }
  for (const auto& [key, request] : queued_) {
    if (request->memory_wait_started_at) {
      wake_at =
          std::min(wake_at, *request->memory_wait_started_at + FromMs(options_.memory_wait_ms));
    }
  }
  if (!finished_.empty()) {
    wake_at = std::min(wake_at, finished_.front().first + FromMs(options_.finished_keep_ms));
  }
  const bool has_cancelled_import = std::any_of(importing_.begin(), importing_.end(),
                                                [](const RequestPtr& r) { return !IsActive(*r); });
  return has_cancelled_import ? std::min(wake_at, now + kUpdateInterval) : wake_at;
}

Duration Engine::DecodeStepTime() const {
  const double others = decoding_.empty() ? 0 : static_cast<double>(decoding_.size() - 1);
  return FromMs(options_.decode_token_ms * (1 + options_.decode_batch_slope * others));
}

void Engine::AdvancePrefill(TimePoint now) {
  double budget = ToSeconds(now - prefill_advanced_at_) * options_.prefill_tokens_per_s;
  prefill_advanced_at_ = now;
  while (!prefilling_.empty()) {
    const RequestPtr request = prefilling_.begin()->second;
    const double tokens = std::min(budget, request->remaining_prefill_tokens);
    budget -= tokens;
    prefill_tokens_spent_ += tokens;
    request->prefill_tokens_spent += tokens;
    request->local_prefill_tokens_spent += tokens;
    request->remaining_prefill_tokens -= tokens;
    if (request->remaining_prefill_tokens > kTokenEpsilon) {
      return;
    }
    prefilling_.erase(prefilling_.begin());
    FinishPrefill(request, now);
  }
}

void Engine::FinishPrefill(const RequestPtr& request, TimePoint now) {
  StoreBlocks(request->block_hashes, *request->allocation);
  if (!request->is_prefill) {
    request->state = RequestState::kDecoding;
    decoding_.push_back(request);
    if (decoding_.size() == 1) {
      next_decode_step_ = now + DecodeStepTime();
    }
    if (request->max_tokens == 0) {
      Finish(request, now);
    }
    return;
  }
  const std::string handle =
      "kv-" + std::to_string(incarnation_) + "-" + std::to_string(++last_handle_number_);
  KvResult kv;
  kv.request_id = request->id;
  kv.output_seed = request->output_seed;
  kv.allocation = std::move(*request->allocation);
  request->allocation.reset();
  kv.bytes = static_cast<std::int64_t>(static_cast<double>(request->prompt_tokens) *
                                       options_.kv_bytes_per_token);
  kv.prefill_tokens = std::llround(request->prefill_tokens_spent);
  kv.expires_at = now + FromMs(options_.kv_lifetime_ms);
  request->prefill_response = {handle, request->prompt_tokens, request->cached_tokens, kv.bytes};
  kv_results_.emplace(handle, std::move(kv));
  Finish(request, now);
}

void Engine::AdvanceDecode(TimePoint now) {
  if (now - next_decode_step_ > kMaxDecodeBacklog) {
    next_decode_step_ = now;
  }
  while (!decoding_.empty() && next_decode_step_ <= now) {
    const std::vector<RequestPtr> batch = decoding_;
    for (const RequestPtr& request : batch) {
      ++request->produced_tokens;
      ++output_tokens_;
      if (request->produced_tokens >= request->max_tokens) {
        Finish(request, now);
      } else if (request->produced_tokens % options_.tokens_per_event == 0) {
        request->changed.notify_all();
      }
    }
    next_decode_step_ += DecodeStepTime();
  }
}

void Engine::StartQueued(TimePoint now) {
  const auto batch_is_full = [this] {
    return prefilling_.size() + decoding_.size() >= static_cast<std::size_t>(options_.max_running);
  };
  if (queued_.empty() || batch_is_full()) {
    return;
  }
  bool memory_is_exhausted = false;
  std::vector<RequestPtr> candidates;
  candidates.reserve(queued_.size());
  for (const auto& [key, request] : queued_) {
    candidates.push_back(request);
  }
  for (const RequestPtr& request : candidates) {
    if (batch_is_full()) {
      return;
    }
    if (!request->allocation) {
      // Later requests must not allocate the memory that an earlier request is waiting for.
      if (memory_is_exhausted) {
        continue;
      }
      request->allocation = Allocate(*request);
    }
    if (!request->allocation) {
      memory_is_exhausted = true;
      if (!request->memory_wait_started_at) {
        request->memory_wait_started_at = now;
      }
      if (now - *request->memory_wait_started_at >= FromMs(options_.memory_wait_ms)) {
        Fail(request, MemoryFull(), now);
        memory_is_exhausted = false;
      }
      continue;
    }
    CrashIfPromptMatches(*request);
    queued_.erase(QueueKey(*request));
    if (!request->kv_imported) {
      request->cached_tokens =
          static_cast<std::int64_t>(request->allocation->pinned.size()) * kPieceTokens;
      request->remaining_prefill_tokens = static_cast<double>(
          request->prompt_tokens - request->cached_tokens + request->already_generated_tokens);
    }
    request->state = RequestState::kPrefilling;
    request->prompt.clear();
    request->prompt.shrink_to_fit();
    request->changed.notify_all();
    if (request->remaining_prefill_tokens > kTokenEpsilon) {
      prefilling_.emplace(QueueKey(*request), request);
    } else {
      FinishPrefill(request, now);
    }
  }
}

void Engine::CrashIfPromptMatches(const EngineRequest& request) const {
  if (faults_.crash_on.empty() || request.prompt.find(faults_.crash_on) == std::string::npos) {
    return;
  }
  // The counters are lost when the process exits, so they are logged. The wasted tokens include the
  // prefill work that is lost in this crash.
  double wasted = prefill_tokens_wasted_;
  for (const auto& [id, active] : requests_) {
    wasted += IsActive(*active) && active->produced_tokens == 0 ? active->prefill_tokens_spent : 0;
  }
  for (const auto& [handle, kv] : kv_results_) {
    wasted += static_cast<double>(kv.prefill_tokens);
  }
  Log(LogLevel::kError, "crashed on request",
      {{"request_id", request.id},
       {"prefill_tokens_spent", std::llround(prefill_tokens_spent_)},
       {"prefill_tokens_wasted", std::llround(wasted)}});
  ShutdownLogging();
  _exit(kCrashExitCode);
}

void Engine::ExpireKv(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [handle, kv] : kv_results_) {
    if (kv.exports == 0 && kv.expires_at <= now) {
      expired.push_back(handle);
    }
  }
  for (const std::string& handle : expired) {
    RemoveKv(handle, true);
  }
}

void Engine::RemoveKv(const std::string& kv_handle, bool wasted) {
  const auto entry = kv_results_.find(kv_handle);
  if (wasted) {
    AddWastedTokens(static_cast<double>(entry->second.prefill_tokens));
  }
  Release(entry->second.allocation);
  kv_results_.erase(entry);
  transfers_changed_.notify_all();
}

void Engine::RemoveExpiredRequests(TimePoint now) {
  while (!finished_.empty() && finished_.front().first + FromMs(options_.finished_keep_ms) <= now) {
    const RequestPtr& request = finished_.front().second;
    const auto entry = requests_.find(request->id);
    if (entry != requests_.end() && entry->second == request) {
      requests_.erase(entry);
    }
    finished_.pop_front();
  }
}

void Engine::Finish(const RequestPtr& request, TimePoint now) {
  std::erase(decoding_, request);
  if (request->allocation) {
    Release(*request->allocation);
    request->allocation.reset();
  }
  request->state = RequestState::kFinished;
  finished_.emplace_back(now, request);
  request->changed.notify_all();
}

void Engine::Fail(const RequestPtr& request, EngineError error, TimePoint now) {
  queued_.erase(QueueKey(*request));
  prefilling_.erase(QueueKey(*request));
  std::erase(decoding_, request);
  if (request->produced_tokens == 0) {
    AddWastedTokens(request->prefill_tokens_spent);
  }
  if (request->allocation) {
    Release(*request->allocation);
    request->allocation.reset();
  }
  request->state = RequestState::kFailed;
  request->error = std::move(error);
  finished_.emplace_back(now, request);
  request->changed.notify_all();
}

EngineResult<RequestPtr> Engine::Submit(const EngineCall& call, bool is_prefill) {
  if (call.already_generated.size() % kTokenBytes != 0) {
    return EngineError{kBadRequest, "already_generated must consist of whole tokens of 4 bytes"};
  }
  const RequestPtr request = std::make_shared<EngineRequest>();
  request->id = call.request_id;
  request->is_prefill = is_prefill;
  request->priority = call.priority;
  request->prompt = call.prompt;
  request->block_hashes = BlockHashes(call.prompt);
  request->output_seed = OutputSeed(call.prompt);
  request->context_seed = OutputSeed(call.prompt + call.already_generated);
  request->prompt_tokens = TokenCount(call.prompt);
  request->already_generated_bytes = static_cast<std::int64_t>(call.already_generated.size());
  request->already_generated_tokens = request->already_generated_bytes / kTokenBytes;
  request->max_tokens = is_prefill ? 0 : call.max_tokens;
  const bool is_wrong_continuation =
      call.already_generated !=
      OutputText(request->output_seed, 0, request->already_generated_bytes);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopping_) {
    return EngineError{kUnavailable, "stopping"};
  }
  if (role_ == (is_prefill ? "decode" : "prefill")) {
    return EngineError{kConflict, "wrong_role"};
  }
  const auto existing = requests_.find(call.request_id);
  if (existing != requests_.end() && IsActive(*existing->second)) {
    return EngineError{kConflict, "duplicate_request"};
  }
  if (NeededPieces(*request) > options_.total_pieces ||
      queued_.size() >= static_cast<std::size_t>(options_.max_queued)) {
    return MemoryFull();
  }
  wrong_continuations_ += is_wrong_continuation ? 1 : 0;
  request->arrival_number = ++last_arrival_number_;
  if (is_prefill || call.kv_handle.empty()) {
    Enqueue(request);
  } else if (kv_results_.contains(call.kv_handle)) {
    BOOST_OUTCOME_TRY(UseLocalKv(request, call.kv_handle));
    Enqueue(request);
  } else {
    // Memory for imported KV must be allocated before the transfer starts.
    request->allocation = Allocate(*request);
    if (!request->allocation) {
      return MemoryFull();
    }
    request->state = RequestState::kImporting;
  }
  requests_[request->id] = request;
  RecordLoad(Now());
  Wake();
  return request;
}

EngineResult<void> Engine::UseLocalKv(const RequestPtr& request, const std::string& kv_handle) {
  KvResult& kv = kv_results_.at(kv_handle);
  if (!AcceptKv(*request, kv.output_seed)) {
    return EngineError{kBadRequest, "kv_of_another_prompt"};
  }
  const int missing_pieces = std::max(0, NeededPieces(*request) - kv.allocation.uncached_pieces -
                                             static_cast<int>(kv.allocation.pinned.size()));
  while (FreePieces() < missing_pieces && cache_.EvictOne()) {
  }
  if (FreePieces() < missing_pieces) {
    return MemoryFull();
  }
  request->allocation = std::exchange(kv.allocation, {});
  request->allocation->uncached_pieces += missing_pieces;
  uncached_pieces_ += missing_pieces;
  request->prefill_tokens_spent = static_cast<double>(kv.prefill_tokens);
  RemoveKv(kv_handle, false);
  return boost::outcome_v2::success();
}

bool Engine::AcceptKv(EngineRequest& request, std::uint64_t seed) {
  const bool is_of_prompt = seed == request.output_seed;
  if (!is_of_prompt && seed != request.context_seed) {
    return false;
  }
  request.kv_imported = true;
  // If the KV covers only the prompt, the tokens of already_generated still need a prefill here.
  request.remaining_prefill_tokens =
      is_of_prompt ? static_cast<double>(request.already_generated_tokens) : 0;
  return true;
}

void Engine::Enqueue(const RequestPtr& request) {
  request->state = RequestState::kQueued;
  queued_.emplace(QueueKey(*request), request);
}

EngineResult<PrefillResponse> Engine::Prefill(const EngineCall& call,
                                              const CallerDisconnected& caller_disconnected) {
  BOOST_OUTCOME_TRY(CheckFencingToken(call.fence));
  BOOST_OUTCOME_TRY(request, Submit(call, true));
  std::unique_lock<std::mutex> lock(mutex_);
  while (IsActive(*request)) {
    request->changed.wait_for(lock, kCallerCheckInterval);
    if (caller_disconnected()) {
      return EngineError{kUnavailable, "caller_left"};
    }
  }
  if (request->state == RequestState::kFailed) {
    return request->error;
  }
  return request->prefill_response;
}

EngineResult<RequestPtr> Engine::Decode(const EngineCall& call,
                                        const CallerDisconnected& caller_disconnected) {
  BOOST_OUTCOME_TRY(CheckFencingToken(call.fence));
  BOOST_OUTCOME_TRY(request, Submit(call, false));
  if (!call.kv_handle.empty()) {
    BOOST_OUTCOME_TRY(Import(request, call));
  }
  std::unique_lock<std::mutex> lock(mutex_);
  while (request->state == RequestState::kQueued) {
    request->changed.wait_for(lock, kCallerCheckInterval);
    if (caller_disconnected()) {
      return EngineError{kUnavailable, "caller_left"};
    }
  }
  if (request->state == RequestState::kFailed) {
    return request->error;
  }
  return request;
}

EngineResult<void> Engine::Import(const RequestPtr& request, const EngineCall& call) {
  std::shared_ptr<httplib::Client> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (request->state != RequestState::kImporting) {
      return boost::outcome_v2::success();
    }
    client = std::make_shared<httplib::Client>(call.source_url);
    client->set_connection_timeout(Milliseconds(1000));
    client->set_read_timeout(kImportTimeoutSeconds, 0);
    request->import_client = client;
    importing_.push_back(request);
  }
  const httplib::Result answer = client->is_valid()
                                     ? client->Get("/v1/kv/" + call.kv_handle)
                                     : httplib::Result(nullptr, httplib::Error::Connection);
  const nlohmann::json body = answer && answer->status == 200
                                  ? nlohmann::json::parse(answer->body, nullptr, false)
                                  : nlohmann::json();
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(importing_, request);
  request->import_client.reset();
  const TimePoint now = Now();
  const bool transferred = body.is_object();
  request->prefill_tokens_spent = transferred ? body.value("prefill_tokens", 0.0) : 0;
  if (!IsActive(*request)) {
    AddWastedTokens(request->prefill_tokens_spent);
    return request->error;
  }
  if (!transferred) {
    Fail(request, {kConflict, "kv_gone"}, now);
  } else if (!AcceptKv(*request, body.value("output_seed", std::uint64_t{0}))) {
    Fail(request, {kBadRequest, "kv_of_another_prompt"}, now);
  }
  if (!IsActive(*request)) {
    RecordLoad(now);
    Wake();
    return request->error;
  }
  StoreBlocks(request->block_hashes, *request->allocation);
  Enqueue(request);
  Wake();
  return boost::outcome_v2::success();
}

EngineResult<RequestPtr> Engine::FindStream(const std::string& request_id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto entry = requests_.find(request_id);
  if (entry == requests_.end() || entry->second->is_prefill) {
    return EngineError{kNotFound, "unknown_request"};
  }
  if (entry->second->state == RequestState::kFailed) {
    return entry->second->error;
  }
  return entry->second;
}

StreamStep Engine::NextStep(const RequestPtr& request, std::int64_t offset) {
  StreamStep step;
  step.offset = offset;
  std::unique_lock<std::mutex> lock(mutex_);
  const std::int64_t event_bytes = options_.tokens_per_event * kTokenBytes;
  request->changed.wait_for(lock, kCallerCheckInterval, [&] {
    return !IsActive(*request) || (!faults_.freeze_streams &&
                                   request->produced_tokens * kTokenBytes - offset >= event_bytes);
  });
  if (request->state == RequestState::kFailed) {
    step.kind = StreamStep::Kind::kFailed;
    step.error = request->error;
    return step;
  }
  if (faults_.freeze_streams) {
    lock.unlock();
    // The wait above returns immediately for a finished request. This sleep keeps a frozen stream
    // from polling in a busy loop.
    std::this_thread::sleep_for(kUpdateInterval);
    return step;
  }
  const std::int64_t produced_bytes = request->produced_tokens * kTokenBytes;
  const bool finished = request->state == RequestState::kFinished;
  if (produced_bytes > offset && (finished || produced_bytes - offset >= event_bytes)) {
    step.kind = StreamStep::Kind::kText;
    step.text = OutputText(request->output_seed, request->already_generated_bytes + offset,
                           request->already_generated_bytes + produced_bytes);
  } else if (finished) {
    step.kind = StreamStep::Kind::kDone;
  }
  return step;
}

bool Engine::Cancel(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = Now();
  AdvancePrefill(now);
  const auto entry = requests_.find(request_id);
  bool known = entry != requests_.end();
  if (known && IsActive(*entry->second)) {
    Fail(RequestPtr(entry->second), {kConflict, "cancelled"}, now);
  }
  std::vector<std::string> handles;
  for (const auto& [handle, kv] : kv_results_) {
    if (kv.request_id == request_id) {
      handles.push_back(handle);
    }
  }
  for (const std::string& handle : handles) {
    known = true;
    RemoveKv(handle, true);
  }
  RecordLoad(now);
  Wake();
  return known;
}

int Engine::CancelAll() {
  std::vector<std::string> ids;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, request] : requests_) {
      if (IsActive(*request)) {
        ids.push_back(id);
      }
    }
    for (const auto& [handle, kv] : kv_results_) {
      ids.push_back(kv.request_id);
    }
  }
  int cancelled = 0;
  for (const std::string& id : ids) {
    cancelled += Cancel(id) ? 1 : 0;
  }
  return cancelled;
}

EngineResult<KvExport> Engine::Export(const std::string& kv_handle,
                                      const CallerDisconnected& caller_disconnected) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto found = kv_results_.find(kv_handle);
  if (found == kv_results_.end()) {
    return EngineError{kNotFound, "kv_gone"};
  }
  KvResult& kv = found->second;
  ++kv.exports;
  const KvExport result{kv_handle, kv.output_seed, kv.bytes, kv.prefill_tokens};
  const std::uint64_t transfer_id = ++last_transfer_id_;
  transfers_.push_back({transfer_id, kv.bytes, std::nullopt});
  RecordLoad(Now());
  bool done = false;
  bool is_disconnected = false;
  while (!done && !is_disconnected && !stopping_ && kv_results_.contains(kv_handle)) {
    TimePoint wake_at = Now() + kCallerCheckInterval;
    if (transfers_.front().transfer_id == transfer_id) {
      Transfer& transfer = transfers_.front();
      if (!transfer.done_at) {
        transfer.done_at =
            Now() + FromSeconds(static_cast<double>(transfer.bytes) / options_.link_bytes_per_s);
      }
      done = !faults_.stall_transfers && *transfer.done_at <= Now();
      // A stalled transfer whose transfer time has elapsed waits until the fault is cleared.
      if (*transfer.done_at > Now()) {
        wake_at = std::min(wake_at, *transfer.done_at);
      }
    }
    if (!done) {
      transfers_changed_.wait_until(lock, wake_at);
      is_disconnected = caller_disconnected();
    }
  }
  std::erase_if(transfers_,
                [transfer_id](const Transfer& t) { return t.transfer_id == transfer_id; });
  transfers_changed_.notify_all();
  const auto entry = kv_results_.find(kv_handle);
  const bool present = entry != kv_results_.end();
  if (present) {
    --entry->second.exports;
  }
  if (present && done) {
    RemoveKv(kv_handle, false);
  }
  RecordLoad(Now());
  Wake();
  if (!present || !done) {
    return EngineError{kNotFound, "kv_gone"};
  }
  return result;
}

EngineResult<void> Engine::CheckFencingToken(std::optional<std::int64_t> fencing_token) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!options_.checks_fencing || !fencing_token) {
    return boost::outcome_v2::success();
  }
  if (*fencing_token < highest_fencing_token_) {
    return EngineError{kConflict, "stale_fence"};
  }
  highest_fencing_token_ = *fencing_token;
  return boost::outcome_v2::success();
}

void Engine::SetRole(const std::string& role) {
  const std::lock_guard<std::mutex> lock(mutex_);
  role_ = role;
  RecordLoad(Now());
}

void Engine::LoadModel(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (std::find(models_.begin(), models_.end(), name) == models_.end()) {
    models_.push_back(name);
  }
  RecordLoad(Now());
}

void Engine::UnloadModel(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(models_, name);
  RecordLoad(Now());
}

EngineFaults Engine::faults() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return faults_;
}

void Engine::SetFaults(const EngineFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
  transfers_changed_.notify_all();
}

std::optional<Allocation> Engine::Allocate(const EngineRequest& request) {
  Allocation allocation;
  const std::size_t cached = cache_.Match(request.block_hashes);
  allocation.pinned.assign(request.block_hashes.begin(),
                           request.block_hashes.begin() + static_cast<std::ptrdiff_t>(cached));
  for (const std::int64_t hash : allocation.pinned) {
    cache_.Pin(hash);
  }
  const int needed = NeededPieces(request) - static_cast<int>(cached);
  while (FreePieces() < needed && cache_.EvictOne()) {
  }
  if (FreePieces() < needed) {
    Release(allocation);
    return std::nullopt;
  }
  allocation.uncached_pieces = needed;
  uncached_pieces_ += needed;
  return allocation;
}

void Engine::StoreBlocks(const std::vector<std::int64_t>& hashes, Allocation& allocation) {
  // If a block is new, its piece becomes part of the cache. If the block is already cached, its
  // piece is freed.
  while (allocation.pinned.size() < hashes.size()) {
    const std::int64_t hash = hashes[allocation.pinned.size()];
    --allocation.uncached_pieces;
    --uncached_pieces_;
    cache_.Pin(hash);
    allocation.pinned.push_back(hash);
  }
}

void Engine::Release(Allocation& allocation) {
  // A cached block can be reused only with all blocks before it. The blocks are unpinned in reverse
  // order so that later blocks are evicted first.
  for (auto hash = allocation.pinned.rbegin(); hash != allocation.pinned.rend(); ++hash) {
    cache_.Unpin(*hash);
  }
  uncached_pieces_ -= allocation.uncached_pieces;
  allocation = {};
  while (cache_.unpinned() > static_cast<std::size_t>(std::max(0, options_.prefix_cache_pieces))) {
    cache_.EvictOne();
  }
}

int Engine::HeldPieces() const {
  return uncached_pieces_ + static_cast<int>(cache_.size() - cache_.unpinned());
}

int Engine::FreePieces() const {
  return options_.total_pieces - uncached_pieces_ - static_cast<int>(cache_.size());
}

int Engine::RunningCount() const {
  const std::ptrdiff_t importing = std::count_if(importing_.begin(), importing_.end(),
                                                 [](const RequestPtr& r) { return IsActive(*r); });
  return static_cast<int>(prefilling_.size() + decoding_.size()) + static_cast<int>(importing);
}

EngineLoad Engine::CurrentLoad() const {
  EngineLoad load;
  load.free_pieces = options_.total_pieces - HeldPieces();
  load.running = RunningCount();
  load.queued = static_cast<int>(queued_.size());
  double tokens = 0;
  for (const auto& [key, request] : prefilling_) {
    tokens += request->remaining_prefill_tokens;
  }
  for (const auto& [key, request] : queued_) {
    tokens += request->kv_imported ? request->remaining_prefill_tokens
                                   : static_cast<double>(request->prompt_tokens);
  }
  load.queued_prefill_tokens = static_cast<std::int64_t>(tokens);
  for (const Transfer& transfer : transfers_) {
    double bytes = static_cast<double>(transfer.bytes);
    if (transfer.done_at) {
      const double remaining_bytes =
          ToSeconds(*transfer.done_at - Now()) * options_.link_bytes_per_s;
      bytes = std::clamp(remaining_bytes, 0.0, bytes);
    }
    load.link_queue_bytes += static_cast<std::int64_t>(bytes);
  }
  load.role = role_;
  load.models = models_;
  return load;
}

void Engine::RecordLoad(TimePoint now) {
  EngineLoad load = CurrentLoad();
  if (load == load_history_.back().second) {
    return;
  }
  if (load_history_.size() > 1 && now - load_history_.back().first < kLoadRecordInterval) {
    load_history_.back().second = std::move(load);
  } else {
    load_history_.emplace_back(now, std::move(load));
  }
  while (load_history_.size() > 1 && load_history_[1].first + FromMs(options_.load_lag_ms) <= now) {
    load_history_.pop_front();
  }
}

EngineLoad Engine::ReportedLoad() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint visible_until = Now() - FromMs(options_.load_lag_ms);
  EngineLoad load = load_history_.front().second;
  for (const auto& [at, candidate] : load_history_) {
    if (at <= visible_until) {
      load = candidate;
    }
  }
  return load;
}

std::vector<CacheEvent> Engine::EventsAfter(std::int64_t sequence) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return events_.After(sequence, Now());
}

EngineSnapshot Engine::Snapshot() {
  const std::lock_guard<std::mutex> lock(mutex_);
  AdvancePrefill(Now());
  EngineSnapshot snapshot;
  snapshot.held_pieces = HeldPieces();
  snapshot.cached_pieces = static_cast<int>(cache_.size());
  snapshot.unclaimed_kv = static_cast<int>(kv_results_.size());
  snapshot.running = RunningCount();
  for (const auto& [id, request] : requests_) {
    if (IsActive(*request) && request->state != RequestState::kQueued) {
      snapshot.running_ids.push_back(id);
    }
  }
  std::sort(snapshot.running_ids.begin(), snapshot.running_ids.end());
  snapshot.queued = static_cast<int>(queued_.size());
  snapshot.prefill_tokens_spent = std::llround(prefill_tokens_spent_);
  snapshot.prefill_tokens_wasted = std::llround(prefill_tokens_wasted_);
  snapshot.output_tokens = output_tokens_;
  snapshot.wrong_continuations = wrong_continuations_;
  return snapshot;
}

}  // namespace rattanramp::standins
