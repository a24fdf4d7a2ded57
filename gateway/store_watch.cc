#include "gateway/store_watch.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Part of the operator's bound disconnected_after that config_wait leaves unused. It covers the
// time until a held call times out, and the pause and reconnection before the next call.
constexpr Milliseconds kConfigWaitMargin{1'200};

// Part of the bound disconnected_after that the interval of upstream reads leaves unused: the
// timeout of one call (1.6 s) and the duration of the next.
constexpr Milliseconds kUpstreamContactMargin{1'700};

// Part of the bound upstream_drain_limit that the interval of upstream reads leaves unused. It
// covers the call, the handlers queued before it on the event loop, and requests sent just before.
constexpr Milliseconds kUpstreamDrainMargin{900};

// Share of the limit on the use of removed keys after which a held call without a change has been
// answered, and the time that its answer takes.
constexpr double kMaxHoldShare = 0.6;
constexpr Milliseconds kHoldReplyTime{200};

// Lower limit of the intervals. Bounds that would need a shorter interval are not met. At this
// limit 600 nodes make about three calls a second each, within the 2,000 reads a second that the
// users' store allows.
constexpr Milliseconds kMinInterval{300};

// Shortest pause between two reads of the upstreams, as a share of their interval. It is at least
// as long as the last read took: gateways whose reads are slow, as after a restart of a large
// fleet, would otherwise keep the store and the network busy.
constexpr double kMinPauseShare = 0.25;

// Time after which a read of the upstreams counts as overdue, and between two probes of the store.
// The end of an outage is seen at most one connection attempt later than this. Stores take 4 to 25
// ms in normal operation; one that is slow gets a multiple of what the last read took.
constexpr Milliseconds kMinProbeInterval{300};
constexpr Milliseconds kMaxProbeInterval{1'500};
constexpr int kOverdueFactor = 2;

// A row that has not changed for this many renewal intervals is ignored. Late detection is
// acceptable: the number of gateways only divides the bound on retries.
constexpr int kMaxMissedRenewals = 2;

// Minimum time between reads of the gateway table: many unknown peers may send reports at once.
constexpr Milliseconds kMinRefreshInterval{1'000};

// Shortest time until a refused write of the own row is repeated. The users' store refuses writes
// while more than a second of them is waiting.
constexpr Milliseconds kOwnRowRetry{1'000};

}  // namespace

PollIntervals PollIntervalsFor(Duration disconnected_after, Duration upstream_drain_limit) {
  const auto clamp = [](Duration time) {
    return std::max(kMinInterval, std::chrono::duration_cast<Milliseconds>(time));
  };
  PollIntervals intervals;
  intervals.config_wait = clamp(disconnected_after - kConfigWaitMargin);
  intervals.upstream_interval = clamp(std::min(disconnected_after - kUpstreamContactMargin,
                                               upstream_drain_limit - kUpstreamDrainMargin));
  return intervals;
}

PollIntervals WithKeyRemovalLimit(PollIntervals intervals, Duration key_removal_limit) {
  const auto longest =
      std::chrono::duration_cast<Milliseconds>(kMaxHoldShare * key_removal_limit) - kHoldReplyTime;
  intervals.config_wait = std::min(intervals.config_wait, std::max(kMinInterval, longest));
  return intervals;
}

StoreWatch::StoreWatch(asio::io_context& context, const Clock& clock, StoreListener& listener,
                       StoreSource source, const PollIntervals& intervals, std::string own_name,
                       std::string own_row)
    : clock_(clock),
      listener_(listener),
      source_(std::move(source)),
      intervals_(intervals),
      own_name_(std::move(own_name)),
      own_row_(std::move(own_row)),
      config_(context, clock, listener, source_, intervals.config_wait,
              [this](const store::TableRows& rows) {
                core::ObserveStoreClock(store_clock_, rows.clock_ms, clock_.now());
              }),
      upstreams_(context, source_.make_client()),
      gateways_(context, source_.make_client()),
      probe_(context, source_.make_client()) {}

void StoreWatch::Start() {
  config_.Start();
  ReadUpstreams();
  WriteOwnRow();
}

void StoreWatch::Deregister(std::function<void()> done) {
  is_stopped_ = true;
  config_.Stop();
  for (StorePoller* poller : {&upstreams_, &gateways_, &probe_}) {
    StopPolling(*poller);
  }
  gateways_.table->Remove(
      source_.gateway_table, own_name_, [done = std::move(done)](const Result<void>& removed) {
        if (!removed) {
          // The row is no longer renewed, so the other gateways ignore it after about 20 seconds.
          Log(LogLevel::kInfo, "own_row_left_behind", {{"error", removed.error().message}});
        }
        done();
      });
}

void StoreWatch::ReadUpstreams() {
  upstream_read_started_ = clock_.now();
  StartProbes();
  upstreams_.table->ReadAll(source_.upstream_table, [this](const Result<store::TableRows>& rows) {
    if (rows) {
      OnUpstreams(rows.value());
      return;
    }
    core::RecordStoreFailure(contact_);
    ScheduleNext(upstreams_, RecordFailure(upstreams_, "upstreams", rows.error()),
                 &StoreWatch::ReadUpstreams);
  });
}

void StoreWatch::OnUpstreams(const store::TableRows& rows) {
  RecordSuccess(upstreams_, "upstreams");
  config_.OnEra(rows.era);
  if (usual_read_time_ && rows.era > list_era_) {
    // Entries that were written since the copy are missing until their writers repeat them.
    core::RecordStoreFailure(contact_);
  }
  list_era_ = std::max(list_era_, rows.era);
  const TimePoint now = clock_.now();
  core::ObserveStoreClock(store_clock_, rows.clock_ms, now);
  core::RecordStoreAnswer(contact_, now);
  usual_read_time_ = now - upstream_read_started_;
  may_repeat_read_ = true;
  min_upstream_pause_ = std::clamp<Duration>(
      *usual_read_time_,
      std::chrono::duration_cast<Duration>(kMinPauseShare * intervals_.upstream_interval),
      intervals_.upstream_interval);
  // The store may have answered long before the answer arrived.
  const TimePoint read_at = rows.clock_ms > 0 ? std::clamp(OwnTimeOf(rows.clock_ms).value_or(now),
                                                           upstream_read_started_, now)
                                              : now;
  listener_.OnUpstreamRows(rows.rows, core::TakeInterruption(contact_), rows.clock_ms, read_at);
  ScheduleNext(upstreams_,
               has_used_first_interval_ ? NextUpstreamRead(rows.clock_ms) : FirstInterval(),
               &StoreWatch::ReadUpstreams);
  has_used_first_interval_ = true;
  if (!listener_.NextRemoval()) {
    StopProbes();
  }
}

void StoreWatch::RepeatUpstreamRead() {
  may_repeat_read_ = false;
  upstreams_.table->Cancel();
  // The store was away while the read was sent, and answers again.
  core::RecordStoreFailure(contact_);
  core::RecordStoreAnswer(contact_, clock_.now());
  RecordFailure(upstreams_, "upstreams",
                Error{ErrorKind::kReplyLost, "the read is not answered, other calls are",
                      "check the network path to the platform"});
  ReadUpstreams();
}

Duration StoreWatch::ProbeInterval() const {
  return std::clamp<Duration>(kOverdueFactor * usual_read_time_.value_or(Duration::zero()),
                              kMinProbeInterval, kMaxProbeInterval);
}

bool StoreWatch::IsReadOverdue() const {
  return !upstreams_.is_waiting && clock_.now() - upstream_read_started_ >= ProbeInterval();
}

void StoreWatch::StartProbes() {
  // The first read takes long while a large fleet starts.
  if (is_probing_ || !usual_read_time_) {
    return;
  }
  is_probing_ = true;
  ScheduleProbe();
}

void StoreWatch::StopProbes() {
  is_probing_ = false;
  is_probe_sent_ = false;
  CancelSchedule(probe_);
  probe_.table->Cancel();
}

void StoreWatch::ScheduleProbe() {
  ScheduleNext(probe_, ProbeInterval(), &StoreWatch::OnProbeTimer);
}

void StoreWatch::OnProbeTimer() {
  if (!IsReadOverdue() && !listener_.NextRemoval()) {
    // The read was sent after the timer was started.
    if (upstreams_.is_waiting) {
      StopProbes();
    } else {
      ScheduleProbe();
    }
    return;
  }
  if (is_probe_sent_) {
    probe_.table->Cancel();
    core::RecordStoreFailure(contact_);
  }
  is_probe_sent_ = true;
  probe_.table->WaitForChanges(
      source_.config_table, config_.state().store.version, Milliseconds(0),
      [this](const Result<store::TableRows>& rows) { OnProbeAnswered(rows); });
  ScheduleProbe();
}

void StoreWatch::OnProbeAnswered(const Result<store::TableRows>& rows) {
  is_probe_sent_ = false;
  // The history may be gone, which is an answer too.
  if (!rows && rows.error().kind != ErrorKind::kNotFound) {
    core::RecordStoreFailure(contact_);
    return;
  }
  if (rows) {
    config_.OnEra(rows.value().era);
  } else {
    config_.OnPositionLost();
  }
  const bool was_failing = contact_.is_failing;
  core::RecordStoreAnswer(contact_, clock_.now());
  if (IsReadOverdue()) {
    if (was_failing || may_repeat_read_) {
      RepeatUpstreamRead();
    }
  } else if (was_failing && upstreams_.is_waiting) {
    ScheduleNext(upstreams_, Duration::zero(), &StoreWatch::ReadUpstreams);
  }
}

Duration StoreWatch::NextUpstreamRead(std::int64_t read_clock_ms) const {
  const TimePoint now = clock_.now();
  const std::optional<TimePoint> removal = listener_.NextRemoval();
  const Duration until_removal =
      removal ? std::max(Duration::zero(), *removal - now) : Duration::max();
  return std::min(until_removal, UsualWait(read_clock_ms));
}

Duration StoreWatch::UsualWait(std::int64_t read_clock_ms) const {
  const std::optional<TimePoint> read_at = OwnTimeOf(read_clock_ms);
  const TimePoint now = clock_.now();
  if (read_clock_ms == 0 || !read_at) {
    return intervals_.upstream_interval;
  }
  const Duration age =
      core::ReadAge(intervals_.upstream_interval, own_name_, read_clock_ms, listener_.ListPeers());
  return std::max(min_upstream_pause_, *read_at + age - now);
}

core::ListInterruption StoreWatch::OnListNews() {
  RecordSuccess(upstreams_, "upstreams");
  core::RecordStoreAnswer(contact_, clock_.now());
  return core::TakeInterruption(contact_);
}

void StoreWatch::PostponeRead(std::int64_t read_clock_ms) {
  if (is_stopped_) {
    return;
  }
  if (upstreams_.is_waiting) {
    ScheduleNext(upstreams_, NextUpstreamRead(read_clock_ms), &StoreWatch::ReadUpstreams);
  }
  if (listener_.NextRemoval()) {
    StartProbes();
  }
}

Duration StoreWatch::FirstInterval() const {
  return std::chrono::duration_cast<Duration>(NameShare() * intervals_.upstream_interval);
}

double StoreWatch::NameShare() const {
  return static_cast<double>(Hash64(own_name_) % 1'000) / 1'000.0;
}

void StoreWatch::WriteOwnRow() {
  gateways_.table->Write(
      source_.gateway_table, own_name_, own_row_, [this](const Result<void>& written) {
        own_row_renewal_ = clock_.now() + intervals_.gateway_interval;
        if (!written) {
          own_row_renewal_ = clock_.now() + OwnRowRetry();
          ScheduleNext(gateways_, RecordFailure(gateways_, "gateways", written.error()),
                       &StoreWatch::ReadGateways);
          return;
        }
        own_row_failures_ = 0;
        ReadGateways();
      });
}

Duration StoreWatch::OwnRowRetry() {
  const int doublings = static_cast<int>(std::min<std::int64_t>(own_row_failures_++, 8));
  return std::min<Duration>(
      intervals_.gateway_interval,
      std::chrono::duration_cast<Duration>((1.0 + NameShare()) * kOwnRowRetry * (1 << doublings)));
}

void StoreWatch::RefreshGateways() {
  const TimePoint now = clock_.now();
  // If a call is in progress, its answer or the next renewal delivers the new row.
  if (is_stopped_ || !gateways_.is_waiting || now - last_gateways_read_ < kMinRefreshInterval) {
    return;
  }
  ScheduleNext(gateways_, Duration::zero(), &StoreWatch::ReadGateways);
}

void StoreWatch::ReadGateways() {
  last_gateways_read_ = clock_.now();
  gateways_.table->ReadAll(source_.gateway_table, [this](const Result<store::TableRows>& rows) {
    if (!rows) {
      ScheduleNext(gateways_,
                   RecordFailure(gateways_, "gateways", rows.error()) + kMinRefreshInterval,
                   &StoreWatch::WriteOwnRow);
      return;
    }
    RecordSuccess(gateways_, "gateways");
    config_.OnEra(rows.value().era);
    core::ObserveStoreClock(store_clock_, rows.value().clock_ms, clock_.now());
    OnGateways(rows.value());
    const Duration wait = std::max(Duration::zero(), own_row_renewal_ - clock_.now());
    ScheduleNext(gateways_, wait, &StoreWatch::WriteOwnRow);
  });
}

void StoreWatch::OnGateways(const store::TableRows& rows) {
  const TimePoint now = clock_.now();
  std::map<std::string, std::string> current_rows;
  std::map<std::string, GatewayRow> rows_by_name;
  for (const store::TableRow& row : rows.rows) {
    GatewayRow gateway_row{row.version, now};
    const auto previous = gateway_rows_.find(row.key);
    if (previous != gateway_rows_.end() && previous->second.version == row.version) {
      gateway_row.changed = previous->second.changed;
    }
    if (now - gateway_row.changed <
        kMaxMissedRenewals * intervals_.gateway_interval + kMinRefreshInterval) {
      current_rows[row.key] = row.value;
    }
    rows_by_name[row.key] = gateway_row;
  }
  gateway_rows_ = std::move(rows_by_name);
  listener_.OnGatewayRows(current_rows);
}

void StoreWatch::ScheduleNext(StorePoller& poller, Duration wait, void (StoreWatch::*next)()) {
  gateway::ScheduleNext(poller, wait, [this, next] { (this->*next)(); });
}

}  // namespace rattanramp::gateway
