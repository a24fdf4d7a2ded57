#include "gateway/store_watch.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// A leaving upstream must be known within 2 s of the table's acknowledgement (the users' bound
// drain_ms); this leaves room for one failed call.
constexpr Milliseconds kUpstreamInterval{600};

// The table service holds a call for a change this long. A connection that has gone silent is found
// soon after; a configuration must be in force within 2 s (config_apply_ms).
constexpr Milliseconds kConfigWait{1'000};

// How often a gateway renews its row, and how long a row that does not change counts. The number of
// gateways only divides the bound on retries, so a late change does little harm.
constexpr Milliseconds kGatewayInterval{3'000};
constexpr Milliseconds kGatewayTimeout{8'000};

// Pauses after failed calls, doubling. The platform prices refused calls too.
constexpr Milliseconds kFirstPause{100};
constexpr Milliseconds kLongestPause{400};

}  // namespace

StoreWatch::Follower::Follower(asio::io_context& context, std::unique_ptr<store::AsyncTable> client)
    : table(std::move(client)), timer(context) {}

StoreWatch::StoreWatch(asio::io_context& context, const Clock& clock, StoreWatcher& watcher,
                       StoreSource source, std::string own_name, std::string own_row)
    : clock_(clock),
      watcher_(watcher),
      source_(std::move(source)),
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
  config_.table->WaitForChanges(source_.config_table, config_seen_, kConfigWait,
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
    Succeeded(upstreams_, "upstreams");
    watcher_.OnUpstreamRows(rows.value().rows);
    Later(upstreams_, kUpstreamInterval, &StoreWatch::ReadUpstreams);
  });
}

void StoreWatch::WriteOwnRow() {
  gateways_.table->Write(source_.gateway_table, own_name_, own_row_,
                         [this](const Result<void>& written) {
                           if (!written) {
                             Later(gateways_, Failed(gateways_, "gateways", written.error()),
                                   &StoreWatch::ReadGateways);
                             return;
                           }
                           ReadGateways();
                         });
}

void StoreWatch::ReadGateways() {
  gateways_.table->ReadAll(source_.gateway_table, [this](const Result<store::TableRows>& rows) {
    if (!rows) {
      Later(gateways_, Failed(gateways_, "gateways", rows.error()) + kGatewayInterval / 3,
            &StoreWatch::WriteOwnRow);
      return;
    }
    Succeeded(gateways_, "gateways");
    OnGateways(rows.value());
    Later(gateways_, kGatewayInterval, &StoreWatch::WriteOwnRow);
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
    if (now - entry.changed < kGatewayTimeout) {
      live[row.key] = row.value;
    }
    seen[row.key] = entry;
  }
  seen_gateways_ = std::move(seen);
  watcher_.OnGatewayRows(live);
}

void StoreWatch::Later(Follower& follower, Duration wait, void (StoreWatch::*next)()) {
  follower.timer.expires_after(wait);
  follower.timer.async_wait([this, next](const std::error_code& error) {
    if (!error && !is_stopped_) {
      (this->*next)();
    }
  });
}

Duration StoreWatch::Failed(Follower& follower, const char* what, const Error& error) {
  if (!std::exchange(follower.is_lost, true)) {
    Log(LogLevel::kWarning, "dependency_lost", {{"what", what}, {"error", error.message}});
  }
  const int doublings = static_cast<int>(std::min<std::int64_t>(follower.failures++, 4));
  return std::min<Duration>(kLongestPause, kFirstPause * (1 << doublings));
}

void StoreWatch::Succeeded(Follower& follower, const char* what) {
  if (std::exchange(follower.is_lost, false)) {
    Log(LogLevel::kInfo, "dependency_regained",
        {{"what", what}, {"failed_calls", follower.failures}});
  }
  follower.failures = 0;
}

}  // namespace rattanramp::gateway
