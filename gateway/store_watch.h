// Follows what the platform's tables say: the configuration, the upstreams and the other gateways.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/upstream_directory.h"
#include "gateway/store_source.h"
#include "store/async_table.h"

namespace rattanramp::gateway {

/// Receives what changed.
class StoreListener {
 public:
  virtual ~StoreListener() = default;
  virtual void OnConfigRow(const std::string& text, std::int64_t row_version) = 0;
  /// has_failed: a read has failed since the last list.
  virtual void OnUpstreamRows(const std::vector<store::TableRow>& rows, bool has_failed) = 0;
  /// Rows of all gateways by name, this one's included, that have changed lately.
  virtual void OnGatewayRows(const std::map<std::string, std::string>& rows) = 0;
};

/// How often the tables are read. Each call is priced, and so are its bytes.
struct PollIntervals {
  /// How long the service holds a call for a change of the configuration. A connection that has
  /// gone silent is found when this and the call's timeout are over.
  Milliseconds config_wait{1'000};
  Milliseconds upstream_interval{600};
  /// Between renewals of the own row. Peers that are new make themselves known by their reports.
  Milliseconds gateway_interval{10'000};
};

/// The slowest pace that finds a silent connection before the VM counts as connected again, and a
/// leaving upstream in time. Both bounds are the operator's.
PollIntervals PollIntervalsFor(Duration disconnected_after, Duration upstream_drain_limit);

class StoreWatch {
 public:
  StoreWatch(asio::io_context& context, const Clock& clock, StoreListener& listener,
             StoreSource source, const PollIntervals& intervals, std::string own_name,
             std::string own_row);

  void Start();
  /// Reads the table of gateways soon: a report came from one that is not known yet.
  void RefreshGateways();
  /// Takes this gateway's row out of the table and stops following.
  void Deregister(std::function<void()> done);

 private:
  struct Poller {
    Poller(asio::io_context& context, std::unique_ptr<store::AsyncTable> client);
    std::unique_ptr<store::AsyncTable> table;
    asio::steady_timer timer;
    bool is_failing = false;
    /// Between two calls.
    bool is_waiting = false;
    std::int64_t failures = 0;
  };

  void ReadConfig();
  void WaitForConfig();
  void OnConfig(const store::TableRows& rows);
  void ReadUpstreams();
  /// Spreads the reads of gateways that start together; the first that sees an upstream leave tells
  /// the others.
  Duration FirstInterval() const;
  void WriteOwnRow();
  void ReadGateways();
  void OnGateways(const store::TableRows& rows);
  void ScheduleNext(Poller& poller, Duration wait, void (StoreWatch::*next)());
  /// Notes a failure, logging the first of a series, and returns the wait before the next call.
  Duration RecordFailure(Poller& poller, const char* what, const Error& error);
  void RecordSuccess(Poller& poller, const char* what);

  const Clock& clock_;
  StoreListener& listener_;
  StoreSource source_;
  PollIntervals intervals_;
  std::string own_name_;
  std::string own_row_;
  Poller config_;
  Poller upstreams_;
  Poller gateways_;
  std::int64_t config_table_version_ = 0;
  std::int64_t config_row_version_ = 0;
  bool is_stopped_ = false;
  bool is_start_spread_ = false;
  TimePoint last_gateways_read_;
  TimePoint own_row_renewal_;
  struct GatewayRow {
    std::int64_t version = 0;
    TimePoint changed;
  };
  std::map<std::string, GatewayRow> gateway_rows_;
};

}  // namespace rattanramp::gateway
