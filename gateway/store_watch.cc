#include "gateway/store_watch.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// A call that the service holds is given up this long after its time, and a failed one is repeated
// after a pause and a connection: what is left of the operator's bound for both.
constexpr Milliseconds kConfigMargin{1'200};

// Timeout of a call (1.6 s) and the time of the next one.
constexpr Milliseconds kUpstreamCallMargin{1'700};

// Time of a call and of what waits before it on the event loop, here and for requests that were
// sent just before.
constexpr Milliseconds kUpstreamMargin{900};

// Bounds too tight for any pace are missed rather than answered by calls without a pause: 600 nodes
// at three calls a second are within the 2,000 reads a second of the users' store.
constexpr Milliseconds kLeastInterval{300};

// A row that has not changed for this many renewals is ignored. The number of gateways only divides
// the bound on retries, so a late change does little harm.
constexpr int kMissedRenewals = 2;

// Reports of unknown peers may come from many at once.
constexpr Milliseconds kLeastRefresh{1'000};

// Pauses after failed calls, doubling. The platform prices refused calls too.
constexpr Milliseconds kInitialBackOff{100};
constexpr Milliseconds kMaxBackOff{400};

}  // namespace

WatchPace PaceFor(Duration disconnected_after, Duration upstream_drain_limit) {
  const auto whole = [](Duration time) {
    return std::max(kLeastInterval, std::chrono::duration_cast<Milliseconds>(time));
  };
  WatchPace pace;
  pace.config_wait = whole(disconnected_after - kConfigMargin);
  pace.upstream_interval = whole(
      std::min(disconnected_after - kUpstreamCallMargin, upstream_drain_limit - kUpstreamMargin));
  return pace;
}

StoreWatch::Follower::Follower(asio::io_context& context, std::unique_ptr<store::AsyncTable> client)
    : table(std::move(client)), timer(context) {}

StoreWatch::StoreWatch(asio::io_context& context, const Clock& clock, StoreWatcher& watcher,
                       StoreSource source, const WatchPace& pace, std::string own_name,
                       std::string own_row)
    : clock_(clock),
      watcher_(watcher),
      source_(std::move(source)),
      pace_(pace),
      own_name_(std::move(own_name)),
      own_row_(std::move(own_row)),
      config_(context, source_.make_client()),
      upstreams_(context, source_.make_client()),
      gateways_(context, source_.make_client()) {}

void StoreWatch::Start() {
  ReadConfig();
  ReadUpstreams();
  WriteOwnRow();
}

void StoreWatch::Leave(std::function<void()> done) {
  is_stopped_ = true;
  for (Follower* follower : {&config_, &upstreams_, &gateways_}) {
    follower->timer.cancel();
    follower->table->Cancel();
  }
  gateways_.table->Remove(
      source_.gateway_table, own_name_, [done = std::move(done)](const Result<void>& removed) {
        if (!removed) {
          // The row no longer changes and is ignored by the others after some seconds.
          Log(LogLevel::kInfo, "own_row_left_behind", {{"error", removed.error().message}});
        }
        done();
      });
}

void StoreWatch::ReadConfig() {
  config_.table->ReadAll(source_.config_table, [this](const Result<store::TableRows>& rows) {
    if (!rows) {
      Later(config_, Failed(config_, "configuration", rows.error()), &StoreWatch::ReadConfig);
      return;
    }
    Succeeded(config_, "configuration");
    OnConfig(rows.value());
    WaitForConfig();
  });
}

void StoreWatch::WaitForConfig() {
  config_.table->WaitForChanges(source_.config_table, config_seen_, pace_.config_wait,
                                [this](const Result<store::TableRows>& rows) {
                                  if (rows) {
                                    Succeeded(config_, "configuration");
                                    OnConfig(rows.value());
                                    Later(config_, Duration::zero(), &StoreWatch::WaitForConfig);
                                    return;
                                  }
                                  if (rows.error().kind == ErrorKind::kNotFound) {
                                    ReadConfig();
                                    return;
                                  }
                                  // Changes may have been missed: a silent service is not told from
                                  // a quiet one.
                                  Later(config_, Failed(config_, "configuration", rows.error()),
                                        &StoreWatch::ReadConfig);
                                });
}

void StoreWatch::OnConfig(const store::TableRows& rows) {
  config_seen_ = std::max(config_seen_, rows.version);
  for (const store::TableRow& row : rows.rows) {
    if (row.key == source_.config_key && !row.is_removed && row.version > config_row_version_) {
      config_row_version_ = row.version;
      watcher_.OnConfigRow(row.value, row.version);
    }
  }
}

void StoreWatch::ReadUpstreams() {
  upstreams_.table->ReadAll(source_.upstream_table, [this](const Result<store::TableRows>& rows) {
    if (!rows) {
      Later(upstreams_, Failed(upstreams_, "upstreams", rows.error()), &StoreWatch::ReadUpstreams);
      return;
    }
    const bool has_failed = upstreams_.failures > 0;
    Succeeded(upstreams_, "upstreams");
    watcher_.OnUpstreamRows(rows.value().rows, has_failed);
    Later(upstreams_, is_phase_set_ ? pace_.upstream_interval : FirstInterval(),
          &StoreWatch::ReadUpstreams);
    is_phase_set_ = true;
  });
}

Duration StoreWatch::FirstInterval() const {
  const double share = static_cast<double>(Hash64(own_name_) % 1'000) / 1'000.0;
  return std::chrono::duration_cast<Duration>(share * pace_.upstream_interval);
}

void StoreWatch::WriteOwnRow() {
  gateways_.table->Write(source_.gateway_table, own_name_, own_row_,
                         [this](const Result<void>& written) {
                           own_row_due_ = clock_.now() + pace_.gateway_interval;
                           if (!written) {
                             Later(gateways_, Failed(gateways_, "gateways", written.error()),
                                   &StoreWatch::ReadGateways);
                             return;
                           }
                           ReadGateways();
                         });
}

void StoreWatch::RefreshGateways() {
  const TimePoint now = clock_.now();
  // While a call is in progress its answer, or the next renewal, brings the row.
  if (is_stopped_ || !gateways_.is_pausing || now - gateways_read_ < kLeastRefresh) {
    return;
  }
  Later(gateways_, Duration::zero(), &StoreWatch::ReadGateways);
}

void StoreWatch::ReadGateways() {
  gateways_read_ = clock_.now();
  gateways_.table->ReadAll(source_.gateway_table, [this](const Result<store::TableRows>& rows) {
    if (!rows) {
      Later(gateways_, Failed(gateways_, "gateways", rows.error()) + kLeastRefresh,
            &StoreWatch::WriteOwnRow);
      return;
    }
    Succeeded(gateways_, "gateways");
    OnGateways(rows.value());
    const Duration wait = std::max(Duration::zero(), own_row_due_ - clock_.now());
    Later(gateways_, wait, &StoreWatch::WriteOwnRow);
  });
}

void StoreWatch::OnGateways(const store::TableRows& rows) {
  const TimePoint now = clock_.now();
  std::map<std::string, std::string> live;
  std::map<std::string, SeenRow> seen;
  for (const store::TableRow& row : rows.rows) {
    SeenRow entry{row.version, now};
    const auto known = seen_gateways_.find(row.key);
    if (known != seen_gateways_.end() && known->second.version == row.version) {
      entry.changed = known->second.changed;
    }
    if (now - entry.changed < kMissedRenewals * pace_.gateway_interval + kLeastRefresh) {
      live[row.key] = row.value;
    }
    seen[row.key] = entry;
  }
  seen_gateways_ = std::move(seen);
  watcher_.OnGatewayRows(live);
}

void StoreWatch::Later(Follower& follower, Duration wait, void (StoreWatch::*next)()) {
  follower.is_pausing = true;
  follower.timer.expires_after(wait);
  follower.timer.async_wait([this, &follower, next](const std::error_code& error) {
    if (!error && !is_stopped_) {
      follower.is_pausing = false;
      (this->*next)();
    }
  });
}

Duration StoreWatch::Failed(Follower& follower, const char* what, const Error& error) {
  if (!std::exchange(follower.is_lost, true)) {
    Log(LogLevel::kWarning, "dependency_lost", {{"what", what}, {"error", error.message}});
  }
  const int doublings = static_cast<int>(std::min<std::int64_t>(follower.failures++, 4));
  return std::min<Duration>(kMaxBackOff, kInitialBackOff * (1 << doublings));
}

void StoreWatch::Succeeded(Follower& follower, const char* what) {
  if (std::exchange(follower.is_lost, false)) {
    Log(LogLevel::kInfo, "dependency_regained",
        {{"what", what}, {"failed_calls", follower.failures}});
  }
  follower.failures = 0;
}

}  // namespace rattanramp::gateway
