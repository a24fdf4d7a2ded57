#include "gateway/generation_exchange.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/log.h"
#include "core/placement.h"
#include "gateway/caller_check.h"
#include "gateway/crash_guard.h"

namespace rattanramp::gateway {
namespace {

// Time for which a sound engine may be silent beyond its usual delay: about a second (users'
// documentation), and half of that as a margin.
constexpr Milliseconds kSoundSilence{1'500};

// Wait for the answer to a prefill after which another engine is tried. A prompt waits at most
// core::kMaxPrefillQueueMs and takes up to 200 ms itself.
constexpr Milliseconds kPrefillTimeout = kSoundSilence + Milliseconds(500);

// The same for the first event of a decode whose prompt another engine prefilled. The usual wait is
// a transfer of a few ms, one step, and the tokens of one event: 50 ms, and up to the target gap of
// 300 ms at a full engine.
constexpr Milliseconds kFirstEventTimeout = kSoundSilence + Milliseconds(400);

// The same when the decode engine prefills the prompt itself, interleaved with other decodes.
constexpr Milliseconds kInPlaceFirstEventTimeout = kSoundSilence + Milliseconds(1'000);

// The same for the gap between events.
constexpr Milliseconds kReadTimeout = kSoundSilence + Milliseconds(300);

// Time after the caller's own limit at which a silent attempt ends in any case. Callers that have
// not disconnected by then do not keep that limit.
constexpr Milliseconds kCallerLimitMargin{500};

// Shortest time from the start of a prefill to the first event that is planned for. An engine with
// free capacity takes 100 to 200 ms.
constexpr Milliseconds kMinServiceTime{250};

// Minimum Retry-After of callers refused because of a long queue, and the range over which their
// retries are spread. Bursts last 4 to 5 s; callers wait at most a third of their remaining time,
// which is 14 s at first.
constexpr std::int64_t kMinRetryMs = 2'200;
constexpr std::int64_t kRetrySpreadMs = 2'200;

// Smallest deadline of a first attempt, as a share of the route's timeout. The users' callers state
// 85% of the timeout or more at first; a smaller deadline means that earlier attempts used the
// rest.
constexpr double kFirstAttemptShare = 0.85;

// Subtracted from the time for which an engine keeps a prefilled prompt: a round trip and the start
// of the KV transfer.
constexpr Milliseconds kKvHoldMargin{80};

// Time until the start of a generation is recorded at the other gateways: the delay of the report,
// a few ms on the network, and the event loops.
constexpr Milliseconds kContendedInterval{12};

// Number of failures without a run after which the request is refused.
constexpr std::int64_t kMaxFailuresWithoutRun = 4;

// Unsent bytes to the caller above which reading from the engine pauses.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

// Retry-After when the engines have no capacity: a part of a stream's duration, in which some of
// the running streams end.
constexpr std::int64_t kNoCapacityRetryMs = 800;

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
  PrepareCrashGuard(exchange->request_);
  if (exchange->EndIfItMayNotRun() || exchange->RefuseIfQueueIsLong()) {
    return exchange;
  }
  exchange->caller_timeout_timer_.expires_after(exchange->CallerTimeoutAt() - kMinServiceTime -
                                                now);
  exchange->caller_timeout_timer_.async_wait(
      [raw = exchange.get(),
       lifetime = std::weak_ptr<bool>(exchange->lifetime_)](const std::error_code& error) {
        if (!error && lifetime.lock()) {
          raw->OnCallerTimeout();
        }
      });
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
  attempt_.reset();
  ReleaseDecode();
  ReleasePrefill();
  state_.dispatcher.Wake(request_.service->name);
}

void GenerationExchange::OnCallerDisconnected() {
  if (phase_ == Phase::kDone) {
    return;
  }
  LogRequestEnd(request_, state_, 499, "caller_gone",
                is_stream_open_ ? "during the stream" : "before the stream started");
  phase_ = Phase::kDone;
  attempt_.reset();
  ReleaseDecode();
}

void GenerationExchange::OnBytesSent() {
  if (is_paused_ && attempt_ && sink_.unsent_bytes() < kMaxUnsentBytes / 2) {
    is_paused_ = false;
    attempt_->ResumeReading();
  }
}

std::int64_t GenerationExchange::MemoryTokens() const {
  return core::ExpectedMemoryTokens({request_.facts.prompt_tokens, request_.facts.max_output_tokens,
                                     request_.facts.expected_output_tokens, generated_tokens()});
}

std::int64_t GenerationExchange::generated_tokens() const {
  return splitter_.events * request_.service->engine_limits().tokens_per_event;
}

void GenerationExchange::UpdateReservation() {
  if (has_reservation_) {
    const std::int64_t tokens = MemoryTokens();
    decode_->local_load.reserved_tokens += tokens - reserved_tokens_;
    reserved_tokens_ = tokens;
  }
}

std::optional<std::int64_t> GenerationExchange::ResumePoint() const { return splitter_.last_id; }

bool GenerationExchange::MayMoveLater() const {
  return core::MayRunAgain(*request_.route) && possible_runs_ + 1 < request_.route->max_upstreams;
}

bool GenerationExchange::HasOtherEngine() const {
  const TimePoint now = state_.clock.now();
  std::vector<core::PlacementCandidate> candidates;
  state_.fleet.FillCandidates(request_.service->name, *request_.service, request_.tried,
                              request_.facts.prompt_id, now, candidates);
  if (phase_ == Phase::kDecode) {
    // Free capacity for which requests of the peers wait cannot be taken at once.
    const core::WaitingTokens peers = state_.fleet.PeerWaitingTokens(request_.service->name);
    if (!is_stream_open_ && (peers.on_time > 0 || peers.late > 0)) {
      return false;
    }
    return core::PlaceGeneration(candidates, {request_.facts.prompt_tokens, MemoryTokens()},
                                 request_.seed)
        .has_value();
  }
  const std::span<const std::shared_ptr<Upstream>> upstreams =
      state_.fleet.OfService(request_.service->name);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].stage == core::UpstreamStage::kPrefill && candidates[i].is_usable &&
        upstreams[i] != prefill_) {
      return true;
    }
  }
  return false;
}

bool GenerationExchange::TakeRetry() {
  return std::exchange(has_retry_, false) || TakeExtraArrival(state_, request_.service->name);
}

bool GenerationExchange::OnSilence(Duration silent_for) {
  const Duration caller_limit =
      core::FirstEventTimeout(request_.route->target_latency_ms, request_.route->target_gap_ms);
  if (silent_for >= caller_limit + kCallerLimitMargin) {
    return true;
  }
  // Ending the attempt is of use only if another engine can go on at once, and to the end; until
  // then this one may still do so.
  const bool may_move = phase_ == Phase::kPrefill
                            ? failures_without_run_ + 1 < kMaxFailuresWithoutRun
                            : MayMoveLater();
  const bool has_time =
      !state_.stop || core::CanEndInTime(*state_.stop, state_.clock.now(), request_.deadline,
                                         ExpectedDuration(request_, state_));
  has_retry_ = may_move && has_time && HasOtherEngine() && TakeRetry();
  return has_retry_;
}

bool GenerationExchange::IsRetriedByCaller() const {
  const double stated_ms = static_cast<double>(request_.facts.deadline_ms.value_or(0));
  return stated_ms > 0 &&
         stated_ms < kFirstAttemptShare * static_cast<double>(request_.route->timeout_ms);
}

TimePoint GenerationExchange::CallerTimeoutAt() const {
  return request_.arrived +
         core::FirstEventTimeout(request_.route->target_latency_ms, request_.route->target_gap_ms);
}

bool GenerationExchange::RefuseIfQueueIsLong() {
  const std::string& service = request_.service->name;
  core::QueueState queue;
  const core::WaitingTokens local = state_.dispatcher.waiting_tokens(service);
  const core::WaitingTokens peers = state_.fleet.PeerWaitingTokens(service);
  queue.waiting_tokens = local.on_time + peers.on_time;
  if (IsRetriedByCaller()) {
    queue.waiting_tokens += local.late + peers.late;
  }
  if (queue.waiting_tokens == 0) {
    return false;
  }
  const TimePoint now = state_.clock.now();
  for (const std::shared_ptr<Upstream>& upstream : state_.fleet.OfService(service)) {
    if (upstream->info.stage == core::UpstreamStage::kDecode && !IsClosed(*upstream, now) &&
        !core::IsBackingOff(upstream->health, now)) {
      queue.capacity_tokens += request_.service->engine_limits().memory_tokens;
    }
  }
  queue.mean_hold_ms = ProfileOf(state_, service).hold_ms;
  const double wait_ms = core::ExpectedWaitMs(queue);
  const TimePoint latest_first_event = IsRetriedByCaller() ? CallerTimeoutAt() : request_.target;
  if (wait_ms <= ToMs(latest_first_event - now) - ToMs(kMinServiceTime)) {
    return false;
  }
  phase_ = Phase::kDone;
  // The answer will be late in any case, and the burst lasts some seconds. The random part of the
  // delay keeps the refused callers from retrying all at once.
  const std::int64_t retry_ms =
      kMinRetryMs +
      static_cast<std::int64_t>(request_.seed % static_cast<std::uint64_t>(kRetrySpreadMs));
  AnswerNotRun(request_, state_, sink_,
               fmt::format("queue of {} tokens has an expected wait of {:.0f} ms",
                           queue.waiting_tokens, wait_ms),
               retry_ms);
  return true;
}

void GenerationExchange::OnCallerTimeout() {
  if (phase_ != Phase::kWaiting || is_stream_open_ || possible_runs_ > 0) {
    return;
  }
  phase_ = Phase::kDone;
  AnswerNotRun(request_, state_, sink_, "no engine capacity before the caller's timeout",
               kNoCapacityRetryMs);
}

void GenerationExchange::Enqueue() {
  phase_ = Phase::kWaiting;
  core::QueuedRequest waiting;
  waiting.priority = request_.priority();
  waiting.due = request_.target;
  if (is_stream_open_) {
    // The caller has already received part of this stream, so it precedes all requests that have
    // not started.
    waiting.priority -= 1;
    waiting.due = request_.deadline;
  } else if (IsRetriedByCaller()) {
    // A retried request is already late. It waits behind those that can be on time, but is not
    // refused again.
    waiting.due = request_.arrived - Milliseconds(1);
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
  if (now < next_capacity_try_) {
    return false;
  }
  std::vector<core::PlacementCandidate> candidates;
  state_.fleet.FillCandidates(request_.service->name, *request_.service, request_.tried,
                              request_.facts.prompt_id, now, candidates);
  core::GenerationNeed need;
  need.prompt_tokens = request_.facts.prompt_tokens;
  need.memory_tokens = MemoryTokens();
  const std::optional<TimePoint> paused_until =
      state_.fleet.PausedUntil(request_.service->name, core::UpstreamStage::kDecode, now);
  if (paused_until && !is_stream_open_ && possible_runs_ == 0 &&
      *paused_until + kMinServiceTime > CallerTimeoutAt()) {
    queue_id_ = 0;
    EndWithFailure("all engines have asked for a pause",
                   std::chrono::duration_cast<Milliseconds>(*paused_until - now).count());
    return true;
  }
  if (!MayTakeCapacity(candidates, need, now)) {
    return false;
  }
  const std::optional<core::GenerationPlacement> placement =
      core::PlaceGeneration(candidates, need, request_.seed);
  if (!placement) {
    return false;
  }
  queue_id_ = 0;
  if (!request_.started) {
    request_.started = now;
  }
  const std::span<const std::shared_ptr<Upstream>> upstreams =
      state_.fleet.OfService(request_.service->name);
  // Logs the load on which the placement was based, before this request is added to it.
  LogRequestStep(request_, "placed", *upstreams[placement->decode],
                 placement->prefill ? upstreams[*placement->prefill]->info.id : "prefill in place");
  ReserveDecode(upstreams[placement->decode]);
  if (!kv_source_.empty() && now < kv_source_expiry_) {
    // The engine chosen before did not use the prefilled prompt.
    StartDecode(std::exchange(kv_source_, {}));
  } else if (placement->prefill &&
             (completed_prefills_ == 0 || TakeExtraArrival(state_, request_.service->name))) {
    StartPrefill(upstreams[*placement->prefill]);
  } else {
    StartDecode({});
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

bool GenerationExchange::MayTakeCapacity(std::span<const core::PlacementCandidate> candidates,
                                         const core::GenerationNeed& need, TimePoint now) {
  const std::string& service = request_.service->name;
  core::ContendedCapacity contended;
  contended.peers = state_.fleet.PeerWaitingTokens(service);
  if (is_stream_open_ || (contended.peers.on_time == 0 && contended.peers.late == 0)) {
    return true;
  }
  next_capacity_try_ = now + kContendedInterval;
  contended.is_late = IsRetriedByCaller() || now > request_.target;
  contended.local = state_.dispatcher.waiting_tokens(service);
  contended.fits = core::CountFits(candidates, need);
  ++capacity_tries_;
  const double draw = static_cast<double>(Hash64({reinterpret_cast<const char*>(&capacity_tries_),
                                                  sizeof(capacity_tries_)},
                                                 request_.seed) %
                                          10'000) /
                      10'000.0;
  return core::MayTakeContendedCapacity(contended, draw);
}

void GenerationExchange::ReserveDecode(const std::shared_ptr<Upstream>& decode) {
  ReleaseDecode();
  decode_ = decode;
  has_reservation_ = true;
  decode_->local_load.running += 1;
  reserved_tokens_ = MemoryTokens();
  reserved_at_ = state_.clock.now();
  decode_->local_load.reserved_tokens += reserved_tokens_;
  state_.on_reservation_change();
}

void GenerationExchange::ReleaseDecode() {
  if (std::exchange(has_reservation_, false)) {
    decode_->local_load.running -= 1;
    decode_->local_load.reserved_tokens -= reserved_tokens_;
    state_.on_reservation_change();
  }
}

void GenerationExchange::ReservePrefill(const std::shared_ptr<Upstream>& prefill) {
  ReleasePrefill();
  prefill_ = prefill;
  prefill_->local_load.reserved_tokens += request_.facts.prompt_tokens;
}

void GenerationExchange::ReleasePrefill() {
  if (prefill_) {
    prefill_->local_load.reserved_tokens -= request_.facts.prompt_tokens;
    prefill_.reset();
    state_.on_reservation_change();
  }
}

void GenerationExchange::StartPrefill(const std::shared_ptr<Upstream>& prefill) {
  phase_ = Phase::kPrefill;
  ReservePrefill(prefill);
  request_.tried_ids.push_back(prefill->info.id);
  const TimePoint now = state_.clock.now();
  platform::UpstreamRequest call;
  call.call = platform::UpstreamCall::kPrefill;
  call.instance = prefill->info.id;
  call.remaining_ms = RemainingMs(request_, now);
  call.workspace = request_.workspace_name();
  AttemptPlan plan;
  plan.head = platform::EncodeUpstreamRequest(request_.head, request_.body->size(), call);
  plan.body = request_.body;
  plan.request_id = request_.facts.request_id;
  plan.first_byte_timeout = kPrefillTimeout;
  plan.read_timeout = kReadTimeout;
  plan.silence_result = core::AnswerResult::kNoAnswer;
  plan.load.running = 1;
  plan.load.prefill_tokens = request_.facts.prompt_tokens;
  answer_body_.clear();
  answer_allowance_.Release();
  plan.send_before = request_.deadline;
  attempt_started_ = now;
  events_before_attempt_ = splitter_.events;
  attempt_first_event_.reset();
  is_proven_ = false;
  // When a stream is resumed, it was the answer of an earlier attempt, not of this prefill.
  is_streaming_ = false;
  attempt_ = Attempt::Start(state_.context, state_.clock, prefill, std::move(plan), *this);
}

void GenerationExchange::StartDecode(const std::string& kv_source) {
  phase_ = Phase::kDecode;
  sent_kv_source_ = kv_source;
  request_.tried.push_back(decode_->key);
  request_.tried_ids.push_back(decode_->info.id);
  const TimePoint now = state_.clock.now();
  platform::UpstreamRequest call;
  call.instance = decode_->info.id;
  call.remaining_ms = RemainingMs(request_, now);
  call.workspace = request_.workspace_name();
  call.kv_source = kv_source;
  call.resume_after_event = ResumePoint();
  AttemptPlan plan;
  plan.head = platform::EncodeUpstreamRequest(request_.head, request_.body->size(), call);
  plan.body = request_.body;
  plan.request_id = request_.facts.request_id;
  plan.send_before = request_.deadline;
  plan.first_byte_timeout = kv_source.empty() ? kInPlaceFirstEventTimeout : kFirstEventTimeout;
  plan.read_timeout = kReadTimeout;
  plan.silence_result = core::AnswerResult::kNoAnswer;
  if (kv_source.empty()) {
    plan.load.prefill_tokens = request_.facts.prompt_tokens;
  }
  answer_body_.clear();
  answer_allowance_.Release();
  is_streaming_ = false;
  core::DropPartialEvent(splitter_);
  attempt_started_ = now;
  events_before_attempt_ = splitter_.events;
  attempt_first_event_.reset();
  is_proven_ = false;
  attempt_ = Attempt::Start(state_.context, state_.clock, decode_, std::move(plan), *this);
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
      possible_runs_ > 0 || (phase_ == Phase::kDecode && attempt_->has_sent());
  phase_ = Phase::kDone;
  attempt_.reset();
  ReleaseDecode();
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
  answer_head_ = head;
  answer_facts_ = facts;
  if (!facts.wrong_instance) {
    RecordRunningUpstream(state_, attempt_->upstream(), attempt_started_);
  }
  const bool is_stream =
      head.status == 200 && facts.is_signed && facts.is_event_stream && !facts.is_encoded;
  if (phase_ != Phase::kDecode || !is_stream) {
    return;
  }
  ReleasePrefill();
  is_streaming_ = true;
  if (!is_stream_open_) {
    is_stream_open_ = true;
    stream_end_ = StreamEndOf(head);
    sink_.StartStream(head.status, platform::CallerFields(head), stream_end_);
  }
}

BodyProgress GenerationExchange::OnAnswerBody(std::string_view bytes) {
  if (!is_streaming_) {
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
  if (!first_event_) {
    first_event_ = state_.clock.now();
    state_.metrics.Observe("first_event_ms", ToMs(*first_event_ - request_.arrived));
  }
  CheckProven(/*is_complete=*/false);
  UpdateReservation();
  sink_.StreamBytes(events);
  const bool goes_on = progress == BodyProgress::kProgress || progress == BodyProgress::kNone;
  if (goes_on && sink_.unsent_bytes() > kMaxUnsentBytes && attempt_) {
    is_paused_ = true;
    attempt_->PauseReading();
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
  core::UpstreamHealth& health = decode_->health;
  const TimePoint now = state_.clock.now();
  if (answer_facts_.wrong_instance) {
    ExcludeMisdirected(state_, *decode_);
    kv_source_ = sent_kv_source_;
    OnDecodeNotRun("another process answers at the engine's address");
    return;
  }
  if (answer_facts_.not_run) {
    core::RecordAnswer(health, core::AnswerResult::kErrorAnswer, now);
    OnDecodeNotRun("the engine refused the request");
    return;
  }
  if (!is_streaming_) {
    core::RecordAnswer(health,
                       answer_head_.status >= 500 ? core::AnswerResult::kErrorAnswer
                                                  : core::AnswerResult::kSuccess,
                       now);
    // A success that is not a stream cannot continue one.
    const bool is_stray = answer_head_.status == 200 && is_stream_open_;
    if (answer_head_.status >= 500 || is_stray ||
        !core::IsAnswerOfRun(answer_facts_, answer_head_.status)) {
      OnDecodeBroken(AttemptFailure::kConnectionClosed);
      return;
    }
    ForwardAnswer();
    return;
  }
  const core::StreamEnding ending =
      core::JudgeEnding(splitter_, StreamEndOf(answer_head_) == StreamEnd::kStated);
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
  core::RecordAnswer(health, core::AnswerResult::kSuccess, now);
  CheckProven(/*is_complete=*/ending == core::StreamEnding::kWhole);
  phase_ = Phase::kDone;
  core::RecordGeneration(
      ProfileOf(state_, request_.service->name),
      {static_cast<double>(request_.facts.prompt_tokens),
       static_cast<double>(core::ExpectedMemoryTokens(
           {request_.facts.prompt_tokens, generated_tokens(), generated_tokens(), 0})),
       ToMs(now - reserved_at_), static_cast<double>(generated_tokens())});
  ReleaseDecode();
  sink_.StreamBytes(splitter_.partial);
  LogRequestEnd(request_, state_, 200, "answered",
                fmt::format("{} events, first after {:.0f} ms, framing {}", splitter_.events,
                            ToMs(first_event_.value_or(now) - request_.arrived),
                            http::FramingName(answer_head_.framing)));
  sink_.EndStream();
}

void GenerationExchange::ForwardAnswer() {
  phase_ = Phase::kDone;
  ReleaseDecode();
  if (is_stream_open_) {
    LogRequestEnd(request_, state_, answer_head_.status, "cut", "the stream could not be resumed");
    sink_.Abort();
    return;
  }
  LogRequestEnd(request_, state_, answer_head_.status, "answered",
                fmt::format("no stream, framing {}", http::FramingName(answer_head_.framing)));
  ForwardWholeAnswer(sink_, answer_head_, std::move(answer_body_));
}

void GenerationExchange::OnPrefillAnswer() {
  Upstream& prefill = attempt_->upstream();
  const TimePoint now = state_.clock.now();
  if (answer_head_.status != 200) {
    if (answer_facts_.wrong_instance) {
      ExcludeMisdirected(state_, prefill);
    } else {
      core::RecordAnswer(prefill.health, core::AnswerResult::kErrorAnswer, now);
    }
    OnPrefillFailure(fmt::format("prefill answered {}", answer_head_.status));
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
  kv_source_expiry_ =
      now + Milliseconds(request_.service->engine_limits().prefill_hold_ms) - kKvHoldMargin;
  const std::string source =
      fmt::format("{}:{}/{}", prefill.info.address, prefill.info.port, handle.value());
  attempt_.reset();
  if (IsClosed(*decode_, now)) {
    kv_source_ = source;
    OnDecodeNotRun("the decode engine was closed to new requests during prefill");
    return;
  }
  if (IsTooLateInStop()) {
    EndForStop();
    return;
  }
  if (EndIfItMayNotRun()) {
    return;
  }
  MoveIfOverloaded(now);
  StartDecode(source);
}

void GenerationExchange::MoveIfOverloaded(TimePoint now) {
  std::vector<core::PlacementCandidate> candidates;
  state_.fleet.FillCandidates(request_.service->name, *request_.service, request_.tried,
                              request_.facts.prompt_id, now, candidates);
  const std::span<const std::shared_ptr<Upstream>> upstreams =
      state_.fleet.OfService(request_.service->name);
  const auto chosen = std::find(upstreams.begin(), upstreams.end(), decode_);
  if (chosen == upstreams.end()) {
    return;
  }
  const std::optional<std::size_t> other =
      core::LessLoadedDecode(candidates, static_cast<std::size_t>(chosen - upstreams.begin()),
                             {request_.facts.prompt_tokens, MemoryTokens()}, request_.seed);
  if (other) {
    LogRequestStep(request_, "moved", *upstreams[*other], decode_->info.id);
    state_.metrics.Count("generations_moved_total");
    ReserveDecode(upstreams[*other]);
  }
}

std::string GenerationExchange::DescribeLoss(std::string_view cause) const {
  return fmt::format(
      "{} after {:.0f} ms and {} events, framing {}, {} bytes of an event, prompt parts {}", cause,
      ToMs(state_.clock.now() - attempt_started_), splitter_.events - events_before_attempt_,
      is_streaming_ ? http::FramingName(answer_head_.framing) : "none", splitter_.partial.size(),
      fmt::join(request_.facts.prompt_parts, " "));
}

void GenerationExchange::CheckProven(bool is_complete) {
  const TimePoint now = state_.clock.now();
  if (!attempt_first_event_) {
    attempt_first_event_ = now;
  }
  if (!is_proven_ && (is_complete || now - *attempt_first_event_ >= kProvenTime)) {
    is_proven_ = true;
    RecordAnsweredStart(request_, state_, attempt_started_);
  }
}

void GenerationExchange::RecordLossUnlessProven() {
  if (!is_proven_) {
    RecordStartLoss(request_, state_, attempt_->upstream(), attempt_started_);
  }
}

void GenerationExchange::OnPrefillFailure(std::string_view why) {
  LogRequestStep(request_, "prefill_failed", attempt_->upstream(), why);
  attempt_.reset();
  ReleasePrefill();
  if (++failures_without_run_ >= kMaxFailuresWithoutRun || !TakeRetry()) {
    EndWithFailure("prefill failed", kNoCapacityRetryMs);
    return;
  }
  ReleaseDecode();
  Enqueue();
}

void GenerationExchange::OnDecodeNotRun(std::string_view why) {
  LogRequestStep(request_, "decode_not_run", *decode_, why);
  attempt_.reset();
  ReleaseDecode();
  if (++failures_without_run_ >= kMaxFailuresWithoutRun || !TakeRetry()) {
    EndWithFailure(why, kNoCapacityRetryMs);
    return;
  }
  if (failures_without_run_ >= 2) {
    // The engines that refused may have free capacity again.
    request_.tried.clear();
  }
  Enqueue();
}

void GenerationExchange::EndWithFailure(std::string_view why, std::int64_t retry_ms) {
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
  LogRequestStep(request_, "decode_broke", *decode_, DescribeLoss(FailureName(failure)));
  attempt_.reset();
  ReleaseDecode();
  const bool may_continue = core::MayRunAgain(*request_.route) &&
                            possible_runs_ < request_.route->max_upstreams && TakeRetry();
  if (!may_continue) {
    EndWithFailure("the engine failed before the answer was complete", kNoUpstreamRetryMs);
    return;
  }
  phase_ = Phase::kWaiting;
  // The capacity for which a silent engine was left must not be taken by another request meanwhile.
  if (failure != AttemptFailure::kTimedOut || !TryStart()) {
    Enqueue();
  }
}

void GenerationExchange::OnAttemptFailure(AttemptFailure failure) {
  if (phase_ == Phase::kDone) {
    return;
  }
  state_.dispatcher.Wake(request_.service->name);
  const TimePoint now = state_.clock.now();
  if (failure != AttemptFailure::kTimedOut) {
    core::RecordAnswer(attempt_->upstream().health,
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
    kv_source_ = sent_kv_source_;
    OnDecodeNotRun("connection to the engine failed");
    return;
  }
  OnDecodeBroken(failure);
}

}  // namespace rattanramp::gateway
