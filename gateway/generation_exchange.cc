#include "gateway/generation_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

#include "base/log.h"
#include "core/placement.h"
#include "gateway/caller_check.h"
#include "gateway/crash_guard.h"
#include "gateway/engine_calls.h"
#include "gateway/engine_choice.h"
#include "gateway/generation_queue.h"
#include "gateway/speed_exchange.h"

namespace rattanramp::gateway {
namespace {

// Time after the caller's own limit at which a silent attempt ends in any case. Callers that have
// not disconnected by then do not keep that limit.
constexpr Milliseconds kCallerLimitMargin{500};

// Shortest time from the start of a prefill to the first event that is planned for. An engine with
// free capacity takes 100 to 200 ms.
constexpr Milliseconds kMinServiceTime{250};

// Subtracted from the time for which an engine keeps a prefilled prompt: a round trip and the start
// of the KV transfer.
constexpr Milliseconds kKvHoldMargin{80};

// Number of failures without a run after which the request is refused.
constexpr std::int64_t kMaxFailuresWithoutRun = 4;

// Retry-After when the engines have no capacity: a part of a stream's duration, in which some of
// the running streams end.
constexpr std::int64_t kNoCapacityRetryMs = 800;

// Time until another engine is asked again to continue the stream of a silent one, doubled with
// each refusal.
constexpr Milliseconds kMoveBackOff{150};

// Retry-After when the engine's connection was lost.
constexpr std::int64_t kNoUpstreamRetryMs = 500;

}  // namespace

std::unique_ptr<GenerationExchange> GenerationExchange::Start(RequestContext request,
                                                              GatewayState& state,
                                                              CallerSink& sink) {
  std::unique_ptr<GenerationExchange> exchange(
      new GenerationExchange(std::move(request), state, sink));
  const TimePoint now = state.clock.now();
  exchange->deadline_timer_.expires_after(exchange->request_.deadline - now);
  exchange->deadline_timer_.async_wait(
      [raw = exchange.get(),
       lifetime = std::weak_ptr<bool>(exchange->lifetime_)](const std::error_code& error) {
        if (!error && lifetime.lock()) {
          raw->OnDeadline();
        }
      });
  MarkSentAgain(exchange->request_, state);
  PrepareCrashGuard(exchange->request_);
  if (exchange->EndIfItMayNotRun() || exchange->RefuseIfQueueIsLong()) {
    return exchange;
  }
  exchange->WaitUntil(std::max(now, LatestStart(exchange->request_, state)));
  exchange->Enqueue();
  return exchange;
}

GenerationExchange::GenerationExchange(RequestContext request, GatewayState& state,
                                       CallerSink& sink)
    : request_(std::move(request)),
      state_(state),
      sink_(sink),
      deadline_timer_(state.context),
      caller_timeout_timer_(state.context),
      answer_allowance_(state.answer_budget),
      splitter_(platform::MakeEventSplitter(request_.facts.resume_after_event)) {}

GenerationExchange::~GenerationExchange() {
  if (queue_id_ != 0) {
    state_.dispatcher.Remove(request_.service->name, queue_id_);
  }
  DropRuns();
  state_.dispatcher.Wake(request_.service->name);
}

void GenerationExchange::DropRuns() {
  silent_.reset();
  early_connection_.reset();
  run_ = {};
}

void GenerationExchange::OnCallerDisconnected() {
  if (phase_ == Phase::kDone) {
    return;
  }
  LogRequestEnd(request_, state_, 499, "caller_gone",
                is_stream_open_ ? "during the stream" : "before the stream started");
  phase_ = Phase::kDone;
  DropRuns();
}

void GenerationExchange::OnBytesSent() {
  if (is_paused_ && run_.attempt && sink_.unsent_bytes() < sink_.max_unsent_bytes() / 2) {
    is_paused_ = false;
    run_.attempt->ResumeReading();
  }
}

std::int64_t GenerationExchange::MemoryTokens() const {
  return core::ExpectedMemoryTokens({request_.facts.prompt_tokens, request_.facts.max_output_tokens,
                                     ExpectedOutput(request_, state_), generated_tokens()});
}

std::int64_t GenerationExchange::generated_tokens() const {
  return splitter_.events * request_.service->engine_limits().tokens_per_event;
}

void GenerationExchange::UpdateReservation() { run_.decode_load.SetTokens(MemoryTokens()); }

std::optional<std::int64_t> GenerationExchange::ResumePoint() const { return splitter_.last_id; }

bool GenerationExchange::MayMoveLater() const {
  return core::MayRunAgain(*request_.route) &&
         possible_runs_ + (silent_ ? 2 : 1) < request_.route->max_upstreams;
}

bool GenerationExchange::HasOtherEngine() const {
  return phase_ == Phase::kPrefill
             ? HasOtherPrefill(request_, state_, run_)
             : HasOtherDecode(request_, state_, MemoryTokens(), is_stream_open_);
}

bool GenerationExchange::TakeRetry() {
  return std::exchange(has_retry_, false) || TakeExtraArrival(state_, request_.service->name);
}

bool GenerationExchange::IsSilentTooLong(Duration silent_for) const {
  return silent_for >=
         core::FirstEventTimeout(request_.route->target_latency_ms, request_.route->target_gap_ms) +
             kCallerLimitMargin;
}

bool GenerationExchange::OnSilence(Duration silent_for) {
  if (IsSilentTooLong(silent_for)) {
    return true;
  }
  const TimePoint now = state_.clock.now();
  // An answer that is no stream has begun, and no other engine could go on with it.
  if (now < next_move_ || (phase_ == Phase::kDecode && !run_.is_streaming && has_answer_head_)) {
    return false;
  }
  // Another engine is of use only if it can go on at once, and to the end.
  const bool may_move = failures_without_run_ + 1 < kMaxFailuresWithoutRun &&
                        (phase_ == Phase::kPrefill || MayMoveLater());
  const bool has_time = !state_.stop || core::CanEndInTime(*state_.stop, now, request_.deadline,
                                                           ExpectedDuration(request_, state_));
  has_retry_ = may_move && has_time && HasOtherEngine() && TakeRetry();
  if (!has_retry_ || phase_ == Phase::kPrefill || silent_) {
    return has_retry_;
  }
  if (!std::exchange(is_move_planned_, true)) {
    // Not in the call of an attempt, which may have to be ended.
    asio::post(state_.context, [this, lifetime = std::weak_ptr<bool>(lifetime_)] {
      if (lifetime.lock()) {
        AskOtherEngine();
      }
    });
  }
  return false;
}

void GenerationExchange::AskOtherEngine() {
  is_move_planned_ = false;
  if (phase_ != Phase::kDecode || silent_ || run_.attempt->silent_for() == Duration::zero() ||
      CheckAttempt(request_, state_)) {
    return;
  }
  LogRequestStep(request_, "silent_run_kept", *run_.decode,
                 fmt::format("silent for {:.0f} ms", ToMs(run_.attempt->silent_for())));
  SilentRunOwner& owner = *this;
  silent_ = std::make_unique<SilentRun>(std::exchange(run_, {}), splitter_, stream_end_, owner);
  phase_ = Phase::kWaiting;
  has_retry_ = false;
  if (!TryStart()) {
    // Another request took the capacity first, so nothing was sent.
    has_retry_ = true;
    TakeBackSilentRun();
  }
}

bool GenerationExchange::TakeBackSilentRun() {
  if (!silent_) {
    return false;
  }
  const TimePoint now = state_.clock.now();
  if (phase_ == Phase::kDecode && run_.attempt && run_.attempt->has_sent()) {
    ++possible_runs_;
  }
  splitter_ = silent_->splitter();
  EngineRun run = silent_->Release();
  silent_.reset();
  early_connection_.reset();
  if (core::IsHeld(run_.handle, now) && run.handle.state == core::HandleState::kGone) {
    // The next engine that is asked can take the prompt.
    run.handle = run_.handle;
    run.prefill = run_.prefill;
    run.prefill_load = std::move(run_.prefill_load);
  }
  run_ = std::move(run);
  has_answer_head_ = run_.is_streaming;
  phase_ = Phase::kDecode;
  next_move_ = now + kMoveBackOff * (1 << std::min<std::int64_t>(failures_without_run_, 4));
  LogRequestStep(request_, "silent_run_taken_back", *run_.decode, "");
  return true;
}

void GenerationExchange::OnRunGoesOn() { TakeBackSilentRun(); }

void GenerationExchange::OnRunLost(AttemptFailure failure, bool is_refused) {
  const EngineRun lost = silent_->Release();
  silent_.reset();
  possible_runs_ += is_refused ? 0 : 1;
  LogRequestStep(request_, "decode_broke", *lost.decode, FailureName(failure));
  if (failure != AttemptFailure::kTimedOut && !is_refused) {
    core::RecordAnswer(lost.decode->health, core::AnswerResult::kLost, state_.clock.now());
  }
  if (IsConnectionLost(failure) && !lost.is_proven && !is_refused) {
    RecordStartLoss(request_, state_, *lost.decode, lost.started);
  }
}

bool GenerationExchange::RefuseIfQueueIsLong() {
  const std::string reason = LongQueue(request_, state_);
  if (!reason.empty()) {
    Refuse("long_queue", reason);
  }
  return !reason.empty();
}

void GenerationExchange::Refuse(std::string_view cause, std::string_view reason) {
  phase_ = Phase::kDone;
  CountRefusal(request_, state_, cause);
  AnswerNotRun(request_, state_, sink_, reason, RetryAfterBurstMs(request_, state_));
}

void GenerationExchange::WaitUntil(TimePoint time) {
  caller_timeout_timer_.expires_after(std::max(Duration(0), time - state_.clock.now()));
  caller_timeout_timer_.async_wait(
      [this, lifetime = std::weak_ptr<bool>(lifetime_)](const std::error_code& error) {
        if (!error && lifetime.lock()) {
          OnWaited();
        }
      });
}

void GenerationExchange::OnWaited() {
  const TimePoint latest_start = CallerTimeoutAt(request_) - PlannedServiceTime(request_, state_);
  if (state_.clock.now() < latest_start) {
    const core::WaitingTokens waiting = AllWaitingTokens(request_, state_);
    if (phase_ != Phase::kWaiting || is_stream_open_ || possible_runs_ > 0 ||
        request_.is_sent_again ||
        !core::IsLateGenerationHopeless(
            waiting, ExpectedWaitMs(request_, state_, waiting.on_time + waiting.late),
            PlannedServiceTime(request_, state_))) {
      WaitUntil(latest_start);
      return;
    }
  } else if (phase_ != Phase::kWaiting || is_stream_open_ || possible_runs_ > 0) {
    return;
  }
  Refuse("late_queue", "no engine capacity before the first event would be late");
}

void GenerationExchange::Enqueue() {
  phase_ = Phase::kWaiting;
  core::QueuedRequest waiting;
  waiting.priority = request_.priority();
  waiting.workspace = std::string(request_.workspace_name());
  waiting.due = LatestStart(request_, state_);
  if (is_stream_open_) {
    // The caller has already received part of this stream, so it precedes all requests that have
    // not started.
    waiting.priority -= 1;
    waiting.due = request_.deadline;
  }
  waiting.deadline = request_.deadline;
  queue_id_ = state_.dispatcher.Add(request_.service->name, waiting, MemoryTokens(),
                                    [this] { return TryStart(); });
}

bool GenerationExchange::TryStart() {
  if (phase_ != Phase::kWaiting) {
    queue_id_ = 0;
    return true;
  }
  const TimePoint now = state_.clock.now();
  if (now >= request_.deadline) {
    // The process was paused, so the deadline timer has not expired yet.
    queue_id_ = 0;
    OnDeadline();
    return true;
  }
  if (IsTooLateInStop()) {
    queue_id_ = 0;
    EndForStop();
    return true;
  }
  const std::uint64_t queue_id = std::exchange(queue_id_, 0);
  if (EndIfItMayNotRun()) {
    return true;
  }
  queue_id_ = queue_id;
  if (now < capacity_share_.next_try) {
    return false;
  }
  const std::vector<core::PlacementCandidate> candidates = EngineCandidates(request_, state_);
  core::GenerationNeed need;
  need.prompt_tokens = request_.facts.prompt_tokens;
  need.memory_tokens = MemoryTokens();
  if (state_.settings.weighs_cost) {
    need.prefill_tokens_per_ms = core::PrefillTokensPerMs(
        core::CostOf(state_.costs, request_.service->name), core::kPrefillTokensPerMs);
  }
  const std::optional<TimePoint> paused_until =
      state_.fleet.PausedUntil(request_.service->name, core::UpstreamStage::kDecode, now);
  if (paused_until && !is_stream_open_ && possible_runs_ == 0 &&
      *paused_until + kMinServiceTime > CallerTimeoutAt(request_)) {
    queue_id_ = 0;
    EndWithFailure("all engines have asked for a pause",
                   std::chrono::duration_cast<Milliseconds>(*paused_until - now).count());
    return true;
  }
  if (!is_stream_open_ && !MayTakeCapacity(capacity_share_, request_, state_, candidates, need)) {
    return false;
  }
  const std::optional<core::GenerationPlacement> placement =
      ChooseEngines(request_, state_, run_, candidates, need);
  if (!placement) {
    return false;
  }
  queue_id_ = 0;
  RecordFirstStart(request_, state_);
  const std::span<const std::shared_ptr<Upstream>> upstreams =
      state_.fleet.OfService(request_.service->name);
  // Logs the load on which the placement was based, before this request is added to it.
  LogRequestStep(request_, "placed", *upstreams[placement->decode],
                 placement->prefill ? upstreams[*placement->prefill]->info.id : "prefill in place");
  ReserveDecode(upstreams[placement->decode]);
  const bool needs_prefill = !core::IsHeld(run_.handle, now) && placement->prefill;
  if (needs_prefill &&
      (completed_prefills_ == 0 || TakeExtraArrival(state_, request_.service->name))) {
    StartPrefill(upstreams[*placement->prefill]);
  } else {
    StartDecode();
  }
  return true;
}

bool GenerationExchange::EndIfItMayNotRun() {
  const std::optional<CrashRefusal> refusal = CheckAttempt(request_, state_);
  if (refusal) {
    EndWithFailure(refusal->reason, refusal->retry_after_ms);
  }
  return refusal.has_value();
}

void GenerationExchange::ReserveDecode(const std::shared_ptr<Upstream>& decode) {
  ReleaseDecode();
  run_.decode = decode;
  run_.reserved_at = state_.clock.now();
  run_.decode_load = LoadReservation(decode, {1, MemoryTokens(), 0}, state_.on_reservation_change);
}

void GenerationExchange::ReleaseDecode() {
  early_connection_.reset();
  run_.decode_load.Release();
}

void GenerationExchange::ReservePrefill(const std::shared_ptr<Upstream>& prefill) {
  run_.prefill = prefill;
  run_.prefill_load =
      LoadReservation(prefill, {0, request_.facts.prompt_tokens, 0}, state_.on_reservation_change);
}

void GenerationExchange::ReleasePrefill() {
  run_.prefill.reset();
  run_.prefill_load.Release();
}

void GenerationExchange::StartPrefill(const std::shared_ptr<Upstream>& prefill) {
  phase_ = Phase::kPrefill;
  queued_tokens_ = prefill->local_load.prefill_tokens + prefill->peer_load.prefill_tokens;
  ReservePrefill(prefill);
  request_.tried_ids.push_back(prefill->info.id);
  const TimePoint now = state_.clock.now();
  answer_body_.clear();
  answer_allowance_.Release();
  run_.started = now;
  run_.events_before = splitter_.events;
  run_.first_event.reset();
  run_.is_proven = false;
  // When a stream is resumed, it was the answer of an earlier attempt, not of this prefill.
  run_.is_streaming = false;
  run_.attempt = Attempt::Start(state_.context, state_.clock, prefill,
                                PlanPrefill(request_, *prefill, now), *this);
  ConnectEarly();
}

void GenerationExchange::StartDecode() {
  phase_ = Phase::kDecode;
  request_.tried.push_back(run_.decode->key);
  request_.tried_ids.push_back(run_.decode->info.id);
  const TimePoint now = state_.clock.now();
  AttemptPlan plan =
      PlanDecode(request_, *run_.decode, core::Offer(run_.handle, now), ResumePoint(), now);
  answer_body_.clear();
  answer_allowance_.Release();
  early_connection_.reset();
  run_.is_streaming = false;
  has_answer_head_ = false;
  core::DropPartialEvent(splitter_);
  run_.started = now;
  run_.events_before = splitter_.events;
  run_.first_event.reset();
  run_.is_proven = false;
  run_.attempt = Attempt::Start(state_.context, state_.clock, run_.decode, std::move(plan), *this);
}

void GenerationExchange::OnDeadline() { EndIncomplete(504, "deadline passed", std::nullopt); }

bool GenerationExchange::IsTooLateInStop() const {
  return !is_stream_open_ && state_.stop &&
         !core::CanEndInTime(*state_.stop, state_.clock.now(), request_.deadline,
                             ExpectedDuration(request_, state_));
}

void GenerationExchange::OnStopProgress() {
  if (phase_ == Phase::kWaiting && IsTooLateInStop()) {
    EndForStop();
  }
}

void GenerationExchange::EndForStop() {
  EndIncomplete(502, "the process stops", core::kStopRetryAfter.count());
}

void GenerationExchange::EndIncomplete(int unknown_status, std::string_view cause,
                                       std::optional<std::int64_t> retry_after_ms) {
  if (phase_ == Phase::kDone) {
    return;
  }
  const bool may_have_run =
      possible_runs_ > 0 || silent_ || (phase_ == Phase::kDecode && run_.attempt->has_sent());
  phase_ = Phase::kDone;
  DropRuns();
  if (is_stream_open_) {
    LogRequestEnd(request_, state_, 200, "cut", fmt::format("{} during the stream", cause));
    sink_.Abort();
  } else if (may_have_run) {
    AnswerOutcomeUnknown(request_, state_, sink_, unknown_status,
                         fmt::format("{} after the request was sent to an engine", cause));
  } else {
    AnswerNotRun(request_, state_, sink_, fmt::format("{} before the decode was sent", cause),
                 retry_after_ms);
  }
}

void GenerationExchange::OnAnswerHead(const http::ResponseHead& head,
                                      const core::AnswerFacts& facts) {
  run_.answer_head = head;
  run_.answer_facts = facts;
  has_answer_head_ = true;
  if (!facts.wrong_instance) {
    RecordRunningUpstream(state_, run_.attempt->upstream(), run_.started);
  }
  if (phase_ != Phase::kDecode || !IsStream(head, facts)) {
    return;
  }
  core::RecordOffer(run_.handle, core::OfferResult::kTaken);
  ReleasePrefill();
  run_.is_streaming = true;
  if (!silent_) {
    OpenStream();
  }
}

void GenerationExchange::OpenStream() {
  if (silent_) {
    ++possible_runs_;
    LogRequestStep(request_, "silent_run_left", *silent_->run().decode, run_.decode->info.id);
    silent_.reset();
  }
  if (!is_stream_open_) {
    is_stream_open_ = true;
    stream_end_ = StreamEndOf(run_.answer_head);
    sink_.StartStream(run_.answer_head.status, platform::CallerFields(run_.answer_head),
                      stream_end_);
  }
}

BodyProgress GenerationExchange::OnAnswerBody(std::string_view bytes) {
  if (!run_.is_streaming) {
    if (!answer_allowance_.Take(bytes.size())) {
      return BodyProgress::kTooLarge;
    }
    answer_body_.append(bytes);
    return BodyProgress::kProgress;
  }
  const std::int64_t events_before = splitter_.events;
  const std::string events = core::TakeCompleteEvents(splitter_, bytes);
  BodyProgress progress =
      splitter_.events > events_before ? BodyProgress::kProgress : BodyProgress::kNone;
  if (splitter_.is_malformed) {
    progress = BodyProgress::kMalformed;
  } else if (splitter_.partial.size() > core::kMaxEventBytes) {
    progress = BodyProgress::kTooLarge;
  }
  if (events.empty()) {
    return progress;
  }
  OpenStream();
  if (!first_event_) {
    first_event_ = state_.clock.now();
    state_.metrics.Observe("first_event_ms", ToMs(*first_event_ - request_.arrived));
    if (possible_runs_ == 0 && failures_without_run_ == 0) {
      core::RecordServiceTime(state_.service_times[request_.service->name],
                              *first_event_ - *request_.started, *first_event_);
    }
  }
  RecordEvents(splitter_.events - events_before);
  CheckProven(/*is_complete=*/false);
  if (!was_paused_) {
    RecordContinuedStream(state_, run_.attempt->upstream(), run_.started);
  }
  UpdateReservation();
  sink_.StreamBytes(events);
  const bool goes_on = progress == BodyProgress::kProgress || progress == BodyProgress::kNone;
  if (goes_on && sink_.unsent_bytes() > sink_.max_unsent_bytes() && run_.attempt) {
    is_paused_ = true;
    was_paused_ = true;
    run_.attempt->PauseReading();
  }
  return progress;
}

void GenerationExchange::OnAnswerComplete() {
  if (phase_ == Phase::kDone) {
    return;
  }
  state_.dispatcher.Wake(request_.service->name);
  if (phase_ == Phase::kPrefill) {
    OnPrefillAnswer();
    return;
  }
  core::UpstreamHealth& health = run_.decode->health;
  const TimePoint now = state_.clock.now();
  if (run_.answer_facts.wrong_instance) {
    ExcludeMisdirected(state_, *run_.decode);
    core::RecordOffer(run_.handle, core::OfferResult::kNotReached);
    OnDecodeNotRun("another process answers at the engine's address");
    return;
  }
  if (run_.answer_facts.not_run) {
    core::RecordAnswer(health, core::AnswerResult::kErrorAnswer, now);
    core::RecordOffer(run_.handle, core::OfferResult::kRefused);
    OnDecodeNotRun("the engine refused the request");
    return;
  }
  if (!run_.is_streaming) {
    core::RecordAnswer(health,
                       run_.answer_head.status >= 500 ? core::AnswerResult::kErrorAnswer
                                                      : core::AnswerResult::kSuccess,
                       now);
    // A success that is not a stream cannot continue one, and no other answer replaces a stream
    // that may go on at its silent engine.
    const bool is_stray = is_stream_open_ && (run_.answer_head.status == 200 || silent_);
    if (run_.answer_head.status >= 500 || is_stray ||
        !core::IsAnswerOfRun(run_.answer_facts, run_.answer_head.status)) {
      OnDecodeBroken(AttemptFailure::kConnectionClosed);
      return;
    }
    ForwardAnswer();
    return;
  }
  const core::StreamEnding ending =
      core::JudgeEnding(splitter_, StreamEndOf(run_.answer_head) == StreamEnd::kStated);
  // An engine that ends right after its head is lost, but one that was asked to go on may have had
  // nothing to add.
  const bool is_lost = ending == core::StreamEnding::kBroken ||
                       (ending == core::StreamEnding::kNoEvent && splitter_.events == 0);
  if (is_lost) {
    core::RecordAnswer(health, core::AnswerResult::kLost, now);
    RecordLossUnlessProven();
  }
  // The last chunk is sent only if an engine has stated the end.
  const bool is_unconfirmed =
      ending == core::StreamEnding::kNoEvent ||
      (ending == core::StreamEnding::kUnstated && stream_end_ == StreamEnd::kStated);
  if (is_lost || is_unconfirmed) {
    OnDecodeBroken(AttemptFailure::kConnectionClosed);
    return;
  }
  OpenStream();
  core::RecordAnswer(health, core::AnswerResult::kSuccess, now);
  CheckProven(/*is_complete=*/ending == core::StreamEnding::kWhole);
  phase_ = Phase::kDone;
  RecordGeneration(request_, state_, generated_tokens(), now - run_.reserved_at);
  ReleaseDecode();
  sink_.StreamBytes(splitter_.partial);
  CountIfOnTime(request_, state_, first_event_.value_or(now));
  LogRequestEnd(request_, state_, 200, "answered",
                fmt::format("{} events, first after {:.0f} ms, framing {}", splitter_.events,
                            ToMs(first_event_.value_or(now) - request_.arrived),
                            http::FramingName(run_.answer_head.framing)));
  sink_.EndStream();
}

void GenerationExchange::RecordEvents(std::int64_t events) {
  const TimePoint now = state_.clock.now();
  // Several events at once were delayed on the way or by this process.
  if (run_.first_event && events == 1 && !is_paused_) {
    RecordEventGap(request_, state_, *run_.decode, now - last_event_);
  }
  last_event_ = now;
}

void GenerationExchange::ForwardAnswer() {
  phase_ = Phase::kDone;
  silent_.reset();
  ReleaseDecode();
  if (is_stream_open_) {
    LogRequestEnd(request_, state_, run_.answer_head.status, "cut",
                  "the stream could not be resumed");
    sink_.Abort();
    return;
  }
  LogRequestEnd(request_, state_, run_.answer_head.status, "answered",
                fmt::format("no stream, framing {}", http::FramingName(run_.answer_head.framing)));
  ForwardWholeAnswer(sink_, run_.answer_head, std::move(answer_body_));
}

void GenerationExchange::OnPrefillAnswer() {
  Upstream& prefill = run_.attempt->upstream();
  const TimePoint now = state_.clock.now();
  if (run_.answer_head.status != 200) {
    if (run_.answer_facts.wrong_instance) {
      ExcludeMisdirected(state_, prefill);
    } else {
      core::RecordAnswer(prefill.health, core::AnswerResult::kErrorAnswer, now);
    }
    OnPrefillFailure(fmt::format("prefill answered {}", run_.answer_head.status));
    return;
  }
  ++completed_prefills_;
  const Result<std::string> handle = platform::DecodePrefillAnswer(answer_body_);
  if (!handle) {
    core::RecordAnswer(prefill.health, core::AnswerResult::kNoAnswer, now);
    OnPrefillFailure(handle.error().message);
    return;
  }
  core::RecordAnswer(prefill.health, core::AnswerResult::kSuccess, now);
  RecordPrefillAnswer(request_, state_, prefill, now - run_.started, queued_tokens_);
  core::Hold(run_.handle,
             fmt::format("{}:{}/{}", prefill.info.address, prefill.info.port, handle.value()),
             now + Milliseconds(request_.service->engine_limits().prefill_hold_ms) - kKvHoldMargin);
  run_.attempt.reset();
  const bool is_overdue = early_connection_ && early_connection_->IsOverdue(now);
  if (is_overdue) {
    request_.tried.push_back(run_.decode->key);
  }
  if (IsTooLateInStop()) {
    EndForStop();
    return;
  }
  if (EndIfItMayNotRun()) {
    return;
  }
  bool is_confirmed = ConfirmDecode();
  if (!is_confirmed && is_overdue && !IsClosed(*run_.decode, now)) {
    // No other engine has room, and the connection may still be made.
    request_.tried.pop_back();
    is_confirmed = true;
  }
  if (!is_confirmed) {
    // The call has reached no engine, so the next one is no further arrival.
    has_retry_ = true;
    OnDecodeNotRun("the decode engine ended or was closed to new requests during prefill");
    return;
  }
  StartDecode();
}

void GenerationExchange::ConnectEarly() {
  early_connection_ = EarlyConnection::Start(state_.context, state_.clock, run_.decode, [this] {
    state_.metrics.Count("early_connections_failed_total");
    request_.tried.push_back(run_.decode->key);
    if (ConfirmDecode()) {
      ConnectEarly();
    }
  });
}

bool GenerationExchange::ConfirmDecode() {
  const std::shared_ptr<Upstream> engine = ChooseDecode(request_, state_, run_, MemoryTokens());
  if (engine && engine != run_.decode) {
    LogRequestStep(request_, "moved", *engine, run_.decode->info.id);
    state_.metrics.Count("generations_moved_total");
    ReserveDecode(engine);
  }
  return engine != nullptr;
}

std::string GenerationExchange::DescribeLoss(std::string_view cause) const {
  return gateway::DescribeLoss(request_, run_, splitter_, state_.clock.now() - run_.started, cause);
}

void GenerationExchange::CheckProven(bool is_complete) {
  const TimePoint now = state_.clock.now();
  if (!run_.first_event) {
    run_.first_event = now;
  }
  if (!run_.is_proven && (is_complete || now - *run_.first_event >= kProvenTime)) {
    run_.is_proven = true;
    RecordAnsweredStart(request_, state_, run_.started);
  }
}

void GenerationExchange::RecordLossUnlessProven() {
  if (!run_.is_proven) {
    RecordStartLoss(request_, state_, run_.attempt->upstream(), run_.started);
  }
}

void GenerationExchange::OnPrefillFailure(std::string_view why) {
  LogRequestStep(request_, "prefill_failed", run_.attempt->upstream(), why);
  run_.attempt.reset();
  ReleasePrefill();
  ++failures_without_run_;
  if (TakeBackSilentRun()) {
    return;
  }
  if (failures_without_run_ >= kMaxFailuresWithoutRun || !TakeRetry()) {
    EndWithFailure("prefill failed", kNoCapacityRetryMs);
    return;
  }
  ReleaseDecode();
  Enqueue();
}

void GenerationExchange::OnDecodeNotRun(std::string_view why) {
  LogRequestStep(request_, "decode_not_run", *run_.decode, why);
  run_.attempt.reset();
  ReleaseDecode();
  ++failures_without_run_;
  if (silent_) {
    // The engine may have free capacity when it is asked again.
    std::erase(request_.tried, run_.decode->key);
    TakeBackSilentRun();
    return;
  }
  if (failures_without_run_ >= kMaxFailuresWithoutRun || !TakeRetry()) {
    EndWithFailure(why, kNoCapacityRetryMs);
    return;
  }
  if (failures_without_run_ >= 2) {
    // The engines that refused may have free capacity again.
    request_.tried.clear();
  }
  phase_ = Phase::kWaiting;
  // A prompt that was read is kept for a short time only.
  if (!core::IsHeld(run_.handle, state_.clock.now()) || !TryStart()) {
    Enqueue();
  }
}

void GenerationExchange::EndWithFailure(std::string_view why, std::int64_t retry_ms) {
  if (TakeBackSilentRun()) {
    return;
  }
  phase_ = Phase::kDone;
  ReleaseDecode();
  if (is_stream_open_) {
    LogRequestEnd(request_, state_, 200, "cut", why);
    sink_.Abort();
  } else if (possible_runs_ > 0) {
    AnswerOutcomeUnknown(request_, state_, sink_, 502, why);
  } else {
    AnswerNotRun(request_, state_, sink_, why, retry_ms);
  }
}

void GenerationExchange::OnDecodeBroken(AttemptFailure failure) {
  ++possible_runs_;
  core::RecordOffer(run_.handle, core::OfferResult::kBroken);
  LogRequestStep(request_, "decode_broke", *run_.decode, DescribeLoss(FailureName(failure)));
  run_.attempt.reset();
  ReleaseDecode();
  if (TakeBackSilentRun()) {
    return;
  }
  const bool may_continue = core::MayRunAgain(*request_.route) &&
                            possible_runs_ < request_.route->max_upstreams && TakeRetry();
  if (!may_continue) {
    EndWithFailure("the engine failed before the answer was complete", kNoUpstreamRetryMs);
    return;
  }
  Enqueue();
}

void GenerationExchange::OnAttemptFailure(AttemptFailure failure) {
  if (phase_ == Phase::kDone) {
    return;
  }
  state_.dispatcher.Wake(request_.service->name);
  const TimePoint now = state_.clock.now();
  if (failure != AttemptFailure::kTimedOut) {
    core::RecordAnswer(run_.attempt->upstream().health,
                       failure == AttemptFailure::kNotConnected ? core::AnswerResult::kNoAnswer
                                                                : core::AnswerResult::kLost,
                       now);
  }
  if (failure == AttemptFailure::kNotConnected) {
    // The call has reached no engine, so the next one is no further arrival.
    has_retry_ = true;
  }
  if (IsConnectionLost(failure)) {
    RecordLossUnlessProven();
  }
  if (phase_ == Phase::kPrefill) {
    OnPrefillFailure(failure == AttemptFailure::kNotConnected ? "connection failed"
                                                              : DescribeLoss("no complete answer"));
    return;
  }
  if (failure == AttemptFailure::kNotConnected) {
    core::RecordOffer(run_.handle, core::OfferResult::kNotReached);
    OnDecodeNotRun("connection to the engine failed");
    return;
  }
  OnDecodeBroken(failure);
}

}  // namespace rattanramp::gateway
