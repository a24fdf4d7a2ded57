#include "agent/generation.h"

#include <algorithm>
#include <utility>

#include "agent/failures.h"
#include "base/log.h"
#include "core/route.h"

namespace rattanramp::agent {
namespace {

using std::chrono::duration_cast;

/// Maximum number of prefills at the engine: one is computed and one is ready to start. The rest
/// stay in the agent's queue, where later requests of higher priority can still overtake them.
constexpr std::int32_t kMaxEnginePrefills = 2;

constexpr Milliseconds kMemoryFullRetryDelay{50};
/// Time for which memory_full answers are retried. The engine's own count of free memory can lag
/// behind the agent's ledger for this long.
constexpr Milliseconds kMemoryFullTimeout{1000};
constexpr Milliseconds kProbeTimeout{1000};
/// Number of consecutive resumptions without output after which the engine is regarded as crashed.
/// It is more than one because a long prefill in the same batch can pause a stream for several idle
/// timeouts.
constexpr int kMaxResumesWithoutOutput = 3;
/// Factor from the estimated time of a prefill to its timeout.
constexpr double kPrefillTimeoutFactor = 4.0;
constexpr Milliseconds kPrefillTimeoutBase{2000};
/// Link rate that is assumed until the engine has reported one: 1 Gbit/s.
constexpr double kDefaultLinkBytesPerS = 125e6;
constexpr double kDefaultPrefillTokensPerS = 1000;
constexpr std::int64_t kCapacityRetryMs = 100;
constexpr std::int32_t kBytesPerToken = 4;

Duration FromMs(double ms) {
  return duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

void Generation::Submit(Attempt& attempt) {
  if (attempt.submit.kind == wire::WorkKind::PREFILL) {
    SubmitPrefill(attempt);
    return;
  }
  const std::int32_t max_running = context_.status.load.max_running;
  const bool slots_full = max_running > 0 && running() >= max_running;
  const TimePoint now = context_.clock.now();
  std::optional<TimePoint> expires;
  if (attempt.submit.kind == wire::WorkKind::DECODE) {
    expires = now + Milliseconds(std::max<std::int64_t>(0, attempt.submit.hold_ms));
  }
  if (slots_full || !core::ReserveMemory(memory_, attempt.id, PiecesOf(attempt), expires)) {
    attempts_.Refuse(attempt,
                     MakeRefused(wire::RefusalKind::NO_ROOM, wire::Outcome::NOT_RUN,
                                 slots_full ? "engine runs its maximum number of requests"
                                            : "engine has not enough free memory for the request",
                                 "choose another engine or retry later", kCapacityRetryMs));
    return;
  }
  attempts_.Grant(attempt, 0);
  context_.load_changed(false);
  if (attempt.submit.kind == wire::WorkKind::DECODE) {
    attempt.phase = Phase::kHeld;
    return;
  }
  attempt.phase = Phase::kRunning;
  BeginGenerate(attempt);
}

void Generation::SubmitPrefill(Attempt& attempt) {
  core::QueuedWork work;
  work.id = attempt.id;
  work.priority = attempt.submit.priority;
  work.patient = attempt.submit.patient;
  work.arrived = attempt.arrived;
  work.not_before = attempt.arrived;
  work.deadline = attempt.arrived + Milliseconds(attempt.submit.deadline_ms);
  work.tokens = attempt.submit.prompt_tokens;
  const std::int64_t wait_ms = EstimatedWaitMs();
  if (PiecesOf(attempt) > memory_.total_pieces) {
    attempts_.Refuse(attempt, MakeRefused(wire::RefusalKind::NO_ROOM, wire::Outcome::NOT_RUN,
                                          "prompt is larger than the engine's memory",
                                          "shorten the prompt", -1));
    return;
  }
  if (!work.patient && wait_ms > attempt.submit.deadline_ms) {
    attempts_.Refuse(attempt, MakeRefused(wire::RefusalKind::DEADLINE, wire::Outcome::NOT_RUN,
                                          "prefill would start after the deadline",
                                          "choose another engine", wait_ms));
    return;
  }
  if (!core::Enqueue(queue_, std::move(work))) {
    attempts_.Refuse(attempt, MakeRefused(wire::RefusalKind::QUEUE_FULL, wire::Outcome::NOT_RUN,
                                          "prefill queue is full",
                                          "choose another engine or retry later", wait_ms));
    return;
  }
  attempts_.Grant(attempt, wait_ms);
  context_.load_changed(false);
  StartQueuedPrefills(context_.clock.now());
}

void Generation::StartQueuedPrefills(TimePoint now) {
  while (prefills_running_ < kMaxEnginePrefills) {
    std::optional<core::QueuedWork> work = core::TakeNext(queue_, now);
    if (!work) {
      return;
    }
    Attempt* attempt = attempts_.Find(work->id);
    if (attempt == nullptr || attempt->phase != Phase::kQueued) {
      continue;
    }
    if (!StartPrefill(*attempt, *work)) {
      core::Requeue(queue_, std::move(*work), now + kMemoryFullRetryDelay);
      return;
    }
  }
}

bool Generation::StartPrefill(Attempt& attempt, const core::QueuedWork& work) {
  if (!core::ReserveMemory(memory_, attempt.id, PiecesOf(attempt), std::nullopt)) {
    return false;
  }
  Run& run = attempt.run;
  const int number = ++run.number;
  run.engine_id = attempt.id + "." + std::to_string(number);
  run.control = std::make_shared<RunControl>();
  PrefillRequest request;
  request.request_id = run.engine_id;
  request.prompt = attempt.submit.body;
  request.priority = attempt.submit.priority;
  const bool started =
      context_.workers.Run([this, id = attempt.id, number, work, request, control = run.control] {
        PrefillResult result = context_.upstream.Prefill(request, *control);
        if (control->stopped()) {
          context_.canceller.Cancel(request.request_id);
        }
        context_.loop.Post([this, id, number, work, result = std::move(result)] {
          OnPrefillEnd(id, number, work, result);
        });
      });
  if (!started) {
    core::ReleaseMemory(memory_, attempt.id);
    return false;
  }
  attempt.phase = Phase::kRunning;
  run.stage = RunStage::kPrefilling;
  run.deadline = context_.clock.now() + PrefillTimeout(attempt);
  ++prefills_running_;
  return true;
}

void Generation::OnPrefillEnd(const std::string& id, int number, const core::QueuedWork& work,
                              const PrefillResult& result) {
  prefills_running_ = std::max(0, prefills_running_ - 1);
  context_.load_changed(false);
  const TimePoint now = context_.clock.now();
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr || attempt->phase != Phase::kRunning || attempt->run.number != number) {
    StartQueuedPrefills(now);
    return;
  }
  ReleaseReservation(*attempt);
  switch (result.run.status) {
    case RunStatus::kDone: {
      core::ClearCrashes(context_.crash_table, attempt->submit.fingerprint, context_.boot.id,
                         context_.status.load.incarnation, now);
      wire::PrefillDone done;
      done.attempt_id = id;
      done.kv_handle = result.kv_handle;
      done.source_url = context_.boot.upstream.url;
      done.kv_bytes = result.kv_bytes;
      done.prefill_tokens = result.run.prefill_tokens;
      done.cached_tokens = result.run.cached_tokens;
      context_.metrics.Observe("agent_prefill_ms", ToMs(now - attempt->arrived));
      attempts_.FinishPrefill(*attempt, done);
      break;
    }
    case RunStatus::kMemoryFull:
      attempt->phase = Phase::kQueued;
      core::Requeue(queue_, work, now + kMemoryFullRetryDelay);
      break;
    case RunStatus::kRefused:
    case RunStatus::kBroken:
      on_crash_detected("prefill connection: " + result.run.message);
      break;
    case RunStatus::kStopped:
      attempts_.Finish(
          *attempt, MakeFailure(wire::RefusalKind::CANCELLED, wire::Outcome::RAN,
                                "prefill was cancelled at the engine", "submit the request again"));
      break;
    case RunStatus::kKvGone:
    case RunStatus::kNotFound:
    case RunStatus::kError:
      attempts_.Finish(*attempt, MakeFailure(wire::RefusalKind::UPSTREAM_ERROR, wire::Outcome::RAN,
                                             "engine failed the prefill: " + result.run.message,
                                             "choose another engine"));
      break;
  }
  StartQueuedPrefills(now);
}

void Generation::StartDecode(Attempt& attempt, const wire::StartDecode& start) {
  if (attempt.phase != Phase::kHeld) {
    return;
  }
  core::ConfirmReservation(memory_, attempt.id);
  attempt.start = start;
  attempt.phase = Phase::kRunning;
  BeginImport(attempt);
}

void Generation::BeginImport(Attempt& attempt) {
  ++attempt.run.imports;
  Launch(attempt, EngineCall::kDecode, RunStage::kImporting, ImportTimeout(attempt));
}

void Generation::BeginGenerate(Attempt& attempt) {
  Launch(attempt, EngineCall::kGenerate, RunStage::kPrefilling, PrefillTimeout(attempt));
}

void Generation::BeginResume(Attempt& attempt, const std::string& reason) {
  Log(LogLevel::kInfo, "stream_resumed",
      {{"attempt", attempt.id}, {"offset", attempt.output.size()}, {"reason", reason}});
  context_.metrics.Count("agent_stream_resumes_total");
  ++attempt.run.resumes_without_output;
  Launch(attempt, EngineCall::kResume, RunStage::kResuming, kProbeTimeout);
}

void Generation::Launch(Attempt& attempt, EngineCall call, RunStage stage, Duration timeout) {
  Run& run = attempt.run;
  if (run.control) {
    run.control->Stop();
  }
  const int number = ++run.number;
  if (call != EngineCall::kResume) {
    run.engine_id = attempt.id + "." + std::to_string(number);
  }
  run.control = std::make_shared<RunControl>();
  run.stage = stage;
  run.deadline = context_.clock.now() + timeout;

  GenerateRequest request;
  request.request_id = run.engine_id;
  if (call != EngineCall::kResume) {
    request.prompt = attempt.submit.body;
    request.already_generated = attempt.submit.already_sent;
    request.max_tokens = attempt.submit.max_output_tokens;
    request.priority = attempt.submit.priority;
  }
  if (call == EngineCall::kDecode) {
    request.kv_handle = attempt.start->kv_handle;
    request.source_url = attempt.start->source_url;
  }
  const std::int64_t offset = static_cast<std::int64_t>(attempt.output.size());
  const bool started = context_.workers.Run([this, call, id = attempt.id, number, offset, request,
                                             control = run.control] {
    RunSink sink;
    sink.on_accepted = [this, id, number] {
      context_.loop.Post([this, id, number] { OnAccepted(id, number); });
    };
    sink.on_output = [this, id, number](OutputChunk chunk) {
      context_.loop.Post(
          [this, id, number, chunk = std::move(chunk)] { OnOutput(id, number, chunk); });
    };
    RunResult result;
    switch (call) {
      case EngineCall::kDecode:
        result = context_.upstream.Decode(request, sink, *control);
        break;
      case EngineCall::kGenerate:
        result = context_.upstream.Generate(request, sink, *control);
        break;
      case EngineCall::kResume:
        result = context_.upstream.Resume(request.request_id, offset, sink, *control);
        break;
    }
    context_.loop.Post([this, id, number, engine_id = request.request_id,
                        result = std::move(result)] { OnRunEnd(id, number, engine_id, result); });
  });
  if (!started) {
    Fail(attempt,
         MakeFailure(wire::RefusalKind::NO_ROOM,
                     attempt.output.empty() ? wire::Outcome::NOT_RUN : wire::Outcome::RAN,
                     "agent has no free thread for the request", "retry later"),
         call == EngineCall::kResume);
  }
}

void Generation::OnAccepted(const std::string& id, int number) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr || attempt->phase != Phase::kRunning || attempt->run.number != number) {
    return;
  }
  Run& run = attempt->run;
  run.memory_full_since.reset();
  if (run.stage == RunStage::kResuming) {
    run.stage = RunStage::kStreaming;
    run.deadline = context_.clock.now() +
                   (attempt->output.empty() ? PrefillTimeout(*attempt) : IdleTimeout(*attempt));
  }
}

void Generation::OnOutput(const std::string& id, int number, const OutputChunk& chunk) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr || attempt->phase != Phase::kRunning || attempt->run.number != number) {
    return;
  }
  if (attempt->output.empty()) {
    context_.metrics.Observe("agent_first_output_ms",
                             ToMs(context_.clock.now() - attempt->arrived));
  }
  if (!attempts_.Append(*attempt, chunk.offset, chunk.text, chunk.tokens)) {
    BeginResume(*attempt, "gap in the stream");
    return;
  }
  attempt->run.stage = RunStage::kStreaming;
  attempt->run.resumes_without_output = 0;
  attempt->run.deadline = context_.clock.now() + IdleTimeout(*attempt);
  core::GrowReservation(memory_, id, PiecesOf(*attempt));
}

void Generation::OnRunEnd(const std::string& id, int number, const std::string& engine_id,
                          const RunResult& result) {
  Attempt* attempt = attempts_.Find(id);
  const bool running = attempt != nullptr && attempt->phase == Phase::kRunning;
  if (!running || attempt->run.number != number) {
    // The request can have reached the engine after its cancel, so it is cancelled again. The
    // exception is a request that the attempt still uses because its stream was resumed.
    if (result.status != RunStatus::kDone && !(running && attempt->run.engine_id == engine_id)) {
      context_.canceller.Cancel(engine_id);
    }
    return;
  }
  switch (result.status) {
    case RunStatus::kDone:
      if (result.total_bytes > static_cast<std::int64_t>(attempt->output.size())) {
        BeginResume(*attempt, "end event reports more bytes than were received");
        return;
      }
      Complete(*attempt, result);
      return;
    case RunStatus::kRefused:
      on_crash_detected("connection refused: " + result.message);
      return;
    case RunStatus::kBroken:
      if (attempt->run.stage == RunStage::kResuming) {
        on_crash_detected("resumption failed: " + result.message);
        return;
      }
      if (attempt->run.resumes_without_output >= kMaxResumesWithoutOutput) {
        on_crash_detected("stream broke again without output: " + result.message);
        return;
      }
      BeginResume(*attempt, "stream broke: " + result.message);
      return;
    case RunStatus::kMemoryFull:
      OnMemoryFull(*attempt);
      return;
    case RunStatus::kKvGone:
      OnImportFailed(*attempt, "kv_gone", false);
      return;
    case RunStatus::kNotFound:
      // Either the engine has restarted, which the next load report shows, or it lost the request.
      attempt->run.stage = RunStage::kProbing;
      attempt->run.deadline = context_.clock.now() + kProbeTimeout;
      return;
    case RunStatus::kStopped:
      Fail(*attempt,
           MakeFailure(wire::RefusalKind::CANCELLED, wire::Outcome::RAN,
                       "request was cancelled at the engine", "submit the request again"),
           false);
      return;
    case RunStatus::kError:
      Fail(*attempt,
           MakeFailure(wire::RefusalKind::UPSTREAM_ERROR, wire::Outcome::RAN,
                       "engine failed the request: " + result.message, "choose another engine"),
           true);
      return;
  }
}

void Generation::OnImportFailed(Attempt& attempt, const std::string& reason, bool source_has_kv) {
  Log(LogLevel::kInfo, "import_failed",
      {{"attempt", attempt.id}, {"reason", reason}, {"imports", attempt.run.imports}});
  context_.metrics.Count("agent_import_failures_total{reason=\"" + reason + "\"}");
  context_.canceller.Cancel(attempt.run.engine_id);
  if (source_has_kv && attempt.run.imports == 1) {
    BeginImport(attempt);
    return;
  }
  BeginGenerate(attempt);
}

void Generation::OnMemoryFull(Attempt& attempt) {
  const TimePoint now = context_.clock.now();
  if (!attempt.run.memory_full_since) {
    attempt.run.memory_full_since = now;
  }
  if (now - *attempt.run.memory_full_since >= kMemoryFullTimeout) {
    Fail(attempt,
         MakeFailure(wire::RefusalKind::NO_ROOM, wire::Outcome::NOT_RUN,
                     "engine reports that its memory is full", "choose another engine"),
         false);
    return;
  }
  attempt.run.stage = RunStage::kWaiting;
  attempt.run.deadline = now + kMemoryFullRetryDelay;
}

void Generation::OnDeadline(Attempt& attempt) {
  switch (attempt.run.stage) {
    case RunStage::kImporting:
      OnImportFailed(attempt, "transfer_stalled", true);
      return;
    case RunStage::kWaiting:
      if (attempt.start && attempt.run.imports == 1) {
        Launch(attempt, EngineCall::kDecode, RunStage::kImporting, ImportTimeout(attempt));
        return;
      }
      BeginGenerate(attempt);
      return;
    case RunStage::kPrefilling:
      if (attempt.submit.kind == wire::WorkKind::PREFILL) {
        Fail(attempt,
             MakeFailure(wire::RefusalKind::UPSTREAM_ERROR, wire::Outcome::RAN,
                         "engine did not finish the prefill in time", "choose another engine"),
             true);
        return;
      }
      BeginResume(attempt, "no first output in time");
      return;
    case RunStage::kStreaming:
      if (attempt.run.resumes_without_output >= kMaxResumesWithoutOutput) {
        on_crash_detected("stream has no output after repeated resumption");
        return;
      }
      BeginResume(attempt, "no output within the idle timeout");
      return;
    case RunStage::kResuming:
      on_crash_detected("resumption was not answered in time");
      return;
    case RunStage::kProbing:
      Fail(attempt,
           MakeFailure(wire::RefusalKind::UPSTREAM_ERROR, wire::Outcome::RAN,
                       "engine has no record of the request", "submit the request again"),
           false);
      return;
    case RunStage::kNone:
      return;
  }
}

void Generation::Complete(Attempt& attempt, const RunResult& result) {
  core::ClearCrashes(context_.crash_table, attempt.submit.fingerprint, context_.boot.id,
                     context_.status.load.incarnation, context_.clock.now());
  ReleaseReservation(attempt);
  wire::End end;
  end.outcome = wire::Outcome::RAN;
  end.complete = true;
  end.output_tokens = result.output_tokens;
  end.prefill_tokens = result.prefill_tokens;
  end.cached_tokens = result.cached_tokens;
  attempts_.Finish(attempt, std::move(end));
  context_.load_changed(false);
}

void Generation::Fail(Attempt& attempt, const wire::End& end, bool stop_at_engine) {
  if (stop_at_engine) {
    StopRun(attempt);
  }
  ReleaseReservation(attempt);
  attempts_.Finish(attempt, end);
  context_.load_changed(false);
}

void Generation::Cancel(Attempt& attempt) {
  if (attempt.phase == Phase::kEnded) {
    return;
  }
  core::RemoveQueued(queue_, attempt.id);
  if (attempt.phase == Phase::kRunning) {
    StopRun(attempt);
  }
  ReleaseReservation(attempt);
  context_.load_changed(false);
}

void Generation::StopRun(Attempt& attempt) {
  if (attempt.run.control) {
    attempt.run.control->Stop();
  }
  if (!attempt.run.engine_id.empty()) {
    context_.canceller.Cancel(attempt.run.engine_id);
  }
}

void Generation::ReleaseReservation(Attempt& attempt) { core::ReleaseMemory(memory_, attempt.id); }

void Generation::Tick(TimePoint now) {
  for (const std::string& id : core::ExpireReservations(memory_, now)) {
    Attempt* attempt = attempts_.Find(id);
    if (attempt != nullptr && attempt->phase == Phase::kHeld) {
      attempts_.Finish(*attempt,
                       // Not DEADLINE: the caller still waits; only the reservation has expired.
                       MakeFailure(wire::RefusalKind::NO_ROOM, wire::Outcome::NOT_RUN,
                                   "reservation expired before the prefill was done",
                                   "submit the request again"));
      context_.load_changed(false);
    }
  }
  for (const std::string& id : core::TakeOverdue(queue_, now)) {
    Attempt* attempt = attempts_.Find(id);
    if (attempt != nullptr && attempt->phase == Phase::kQueued) {
      attempts_.Finish(*attempt, MakeFailure(wire::RefusalKind::DEADLINE, wire::Outcome::NOT_RUN,
                                             "deadline passed in the queue", "none"));
    }
  }
  for (const std::string& id : attempts_.ActiveIds()) {
    Attempt* attempt = attempts_.Find(id);
    if (attempt != nullptr && attempt->phase == Phase::kRunning &&
        attempt->run.stage != RunStage::kNone && attempt->run.deadline <= now) {
      OnDeadline(*attempt);
    }
  }
  StartQueuedPrefills(now);
}

void Generation::OnLoad(const UpstreamLoad& load) { memory_.total_pieces = load.total_pieces; }

void Generation::OnCrash(const std::string& reason) {
  const TimePoint now = context_.clock.now();
  const std::vector<std::string> active = attempts_.ActiveIds();
  for (const std::string& id : active) {
    const Attempt& attempt = *attempts_.Find(id);
    if (attempt.phase == Phase::kRunning && attempt.submit.fingerprint != 0) {
      core::MergeCrash(context_.crash_table,
                       core::CrashRecord{attempt.submit.fingerprint, context_.boot.id,
                                         context_.status.load.incarnation, now, false});
    }
  }
  for (const std::string& id : active) {
    Attempt& attempt = *attempts_.Find(id);
    const bool ran = attempt.phase == Phase::kRunning;
    if (attempt.run.control) {
      attempt.run.control->Stop();
    }
    core::RemoveQueued(queue_, id);
    ReleaseReservation(attempt);
    wire::End end = MakeFailure(wire::RefusalKind::UPSTREAM_CRASHED,
                                ran ? wire::Outcome::RAN : wire::Outcome::NOT_RUN,
                                "engine crashed: " + reason, "continue on another engine");
    if (ran && attempt.submit.fingerprint != 0) {
      wire::CrashCount count;
      count.fingerprint = attempt.submit.fingerprint;
      count.upstream = context_.boot.id;
      count.upstream_incarnation = context_.status.load.incarnation;
      end.crashes.push_back(count);
    }
    attempts_.Finish(attempt, std::move(end));
  }
}

std::int64_t Generation::PendingPrefillTokens() const {
  std::int64_t tokens = core::QueuedTokens(queue_);
  for (const auto& [id, attempt] : attempts_.all()) {
    if (attempt.phase == Phase::kRunning && attempt.run.stage == RunStage::kPrefilling) {
      tokens += attempt.submit.prompt_tokens;
    }
  }
  return tokens;
}

std::int32_t Generation::GrantablePieces() const {
  const std::int32_t free = core::FreePieces(memory_);
  // A prefill engine keeps the KV of finished prefills until it is imported or evicted. Only the
  // engine counts that memory, so the lower of both counts applies.
  return context_.boot.upstream.role == "prefill" ? std::min(free, context_.status.load.free_pieces)
                                                  : free;
}

std::int32_t Generation::running() const {
  return static_cast<std::int32_t>(
      std::count_if(attempts_.all().begin(), attempts_.all().end(), [](const auto& entry) {
        return entry.second.phase == Phase::kRunning || entry.second.phase == Phase::kHeld;
      }));
}

std::int32_t Generation::PiecesOf(const Attempt& attempt) const {
  if (attempt.submit.kind == wire::WorkKind::PREFILL) {
    return std::max(1, core::PiecesFor(attempt.submit.prompt_tokens, 0));
  }
  const std::int32_t already = static_cast<std::int32_t>(
      (attempt.submit.already_sent.size() + kBytesPerToken - 1) / kBytesPerToken);
  const std::int32_t needed = already + attempt.output_tokens;
  return std::max(1, core::PiecesFor(attempt.submit.prompt_tokens,
                                     std::max(attempt.submit.expected_output_tokens, needed)));
}

Duration Generation::IdleTimeout(const Attempt& attempt) const {
  const settings::Settings& settings = context_.SettingsOf(attempt.submit.service_name);
  return Milliseconds(settings.pace_idle_factor * settings.pace_target_ms);
}

Duration Generation::ImportTimeout(const Attempt& attempt) const {
  const settings::Settings& settings = context_.SettingsOf(attempt.submit.service_name);
  const UpstreamLoad& load = context_.status.load;
  const double rate = load.link_bytes_per_s > 0 ? load.link_bytes_per_s : kDefaultLinkBytesPerS;
  constexpr double kMsPerSecond = 1000;
  const double bytes = static_cast<double>(attempt.start->kv_bytes + load.link_queue_bytes);
  // The transfer is known to be complete only when the first output arrives, so one output interval
  // is added.
  return FromMs(bytes / rate * kMsPerSecond * settings.transfer_slack +
                static_cast<double>(settings.transfer_base_ms + settings.pace_target_ms));
}

Duration Generation::PrefillTimeout(const Attempt& attempt) const {
  const UpstreamLoad& load = context_.status.load;
  const double rate =
      load.prefill_tokens_per_s > 0 ? load.prefill_tokens_per_s : kDefaultPrefillTokensPerS;
  constexpr double kMsPerSecond = 1000;
  const double tokens =
      static_cast<double>(attempt.submit.prompt_tokens + load.queued_prefill_tokens);
  return FromMs(tokens / rate * kMsPerSecond * kPrefillTimeoutFactor) + kPrefillTimeoutBase +
         IdleTimeout(attempt);
}

std::int64_t Generation::EstimatedWaitMs() const {
  const UpstreamLoad& load = context_.status.load;
  const double rate =
      load.prefill_tokens_per_s > 0 ? load.prefill_tokens_per_s : kDefaultPrefillTokensPerS;
  constexpr double kMsPerSecond = 1000;
  return static_cast<std::int64_t>(static_cast<double>(PendingPrefillTokens()) / rate *
                                   kMsPerSecond);
}

}  // namespace rattanramp::agent
