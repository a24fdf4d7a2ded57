// Reads the platform's tables at intervals: the configuration, the upstreams and the other
// gateways.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/shared_list.h"
#include "core/store_contact.h"
#include "core/upstream_directory.h"
#include "gateway/config_watch.h"
#include "gateway/store_poller.h"
#include "gateway/store_source.h"
#include "store/async_table.h"

namespace rattanramp::gateway {

/// Receives the rows that StoreWatch has read.
class StoreListener : public ConfigListener {
 public:
  /// interruption: since the previous view of the list. clock_ms: the store's clock at the read; 0:
  /// unknown. read_at: own time at which the list was as in `rows`.
  virtual void OnUpstreamRows(const std::vector<store::TableRow>& rows,
                              const core::ListInterruption& interruption, std::int64_t clock_ms,
                              TimePoint read_at) = 0;
  /// When the list must be read again to remove upstreams that are missing from it; empty: none is.
  virtual std::optional<TimePoint> NextRemoval() const { return std::nullopt; }
  /// Number of gateways from which news about the list of upstreams may come.
  virtual std::size_t ListPeers() const = 0;
  /// Rows by gateway name, including this gateway's own. Rows that are no longer renewed are left
  /// out.
  virtual void OnGatewayRows(const std::map<std::string, std::string>& rows) = 0;
};

/// How often the tables are read. The platform charges for each call and for its bytes.
struct PollIntervals {
  /// How long the service holds a call open while it waits for a change of the configuration. A
  /// connection that no longer delivers data is detected after this time plus the call's timeout.
  Milliseconds config_wait{1'000};
  Milliseconds upstream_interval{600};
  /// Time between renewals of this gateway's row. New peers are detected earlier, by their load
  /// reports.
  Milliseconds gateway_interval{10'000};
};

/// The longest intervals that meet two bounds of the operator: an unresponsive connection is
/// detected within disconnected_after, and a draining upstream within upstream_drain_limit.
PollIntervals PollIntervalsFor(Duration disconnected_after, Duration upstream_drain_limit);

/// Shortens the held calls so that their replies show often enough that the configuration is the
/// newest: a key that was taken away must not be used later than `key_removal_limit` after that.
PollIntervals WithKeyRemovalLimit(PollIntervals intervals, Duration key_removal_limit);

class StoreWatch {
 public:
  StoreWatch(asio::io_context& context, const Clock& clock, StoreListener& listener,
             StoreSource source, const PollIntervals& intervals, std::string own_name,
             std::string own_row);

  void Start();
  /// Reads the table of gateways ahead of schedule; called when an unknown gateway sends a report.
  void RefreshGateways();
  /// Called when a peer's read confirms or updates the list of upstreams. Returns what has happened
  /// to the own reads since the last view.
  core::ListInterruption OnListNews();
  /// Called when that view is in use: postpones the next own read.
  void PostponeRead(std::int64_t read_clock_ms);
  /// Own time at which the store's clock showed `clock_ms`; empty while it is unknown.
  std::optional<TimePoint> OwnTimeOf(std::int64_t clock_ms) const {
    return core::OwnTimeOf(store_clock_, clock_ms);
  }
  const ConfigWatchState& config_state() const { return config_.state(); }
  /// Removes this gateway's row from the table and stops all reads.
  void Deregister(std::function<void()> done);

 private:
  void ReadUpstreams();
  void OnUpstreams(const store::TableRows& rows);
  /// Ends a read that is not answered although the store answers other calls, and repeats it.
  void RepeatUpstreamRead();
  /// While a read of the upstreams is not answered, or missing upstreams are kept, small calls on
  /// another connection show when the store answers, or whether it still does.
  void StartProbes();
  void StopProbes();
  void OnProbeTimer();
  void OnProbeAnswered(const Result<store::TableRows>& rows);
  void ScheduleProbe();
  Duration ProbeInterval() const;
  bool IsReadOverdue() const;
  /// Wait after the first read. It differs between gateways, so that gateways that start together
  /// read at different times; the first to read that an upstream drains reports it to the others.
  Duration FirstInterval() const;
  /// Share from 0 to 1 that differs between gateways.
  double NameShare() const;
  void WriteOwnRow();
  /// Time until a failed write of the own row is repeated: between one and two times kOwnRowRetry,
  /// doubled with each further failure, and at most the renewal interval.
  Duration OwnRowRetry();
  void ReadGateways();
  void OnGateways(const store::TableRows& rows);
  /// Time until the list of upstreams must be read again after a view of the given store time.
  Duration NextUpstreamRead(std::int64_t read_clock_ms) const;
  /// The same, if no missing upstream is kept.
  Duration UsualWait(std::int64_t read_clock_ms) const;
  void ScheduleNext(StorePoller& poller, Duration wait, void (StoreWatch::*next)());

  const Clock& clock_;
  StoreListener& listener_;
  StoreSource source_;
  PollIntervals intervals_;
  std::string own_name_;
  std::string own_row_;
  ConfigWatch config_;
  StorePoller upstreams_;
  StorePoller gateways_;
  StorePoller probe_;
  bool is_stopped_ = false;
  bool has_used_first_interval_ = false;
  core::StoreClock store_clock_;
  core::StoreContact contact_;
  TimePoint upstream_read_started_;
  /// Newest era of the store in a list.
  std::int64_t list_era_ = 0;
  /// How long the last answered read of the upstreams took; empty: none was answered.
  std::optional<Duration> usual_read_time_;
  /// No read has been repeated since the last answered one.
  bool may_repeat_read_ = true;
  bool is_probing_ = false;
  bool is_probe_sent_ = false;
  Duration min_upstream_pause_{};
  TimePoint last_gateways_read_;
  TimePoint own_row_renewal_;
  std::int64_t own_row_failures_ = 0;
  struct GatewayRow {
    std::int64_t version = 0;
    TimePoint changed;
  };
  std::map<std::string, GatewayRow> gateway_rows_;
};

}  // namespace rattanramp::gateway
