// Sends this gateway's load to the peer gateways by UDP, and receives theirs.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "core/crash_causes.h"
#include "core/shared_list.h"
#include "gateway/dispatcher.h"
#include "gateway/fleet.h"
#include "wire/gateway_codec.h"

namespace rattanramp::gateway {

/// How often a gateway reports its load. The pace falls with the number of peers, because each
/// report is sent to all of them.
struct ReportPace {
  /// Between reports on the progress of streams and the load of plain services. Plain requests
  /// start and end faster than any report; for that reason placement chooses at random between
  /// servers.
  Duration interval{};
  /// Between reports of unchanged load, so that a lost datagram has only a short effect.
  Duration repeat_interval{};
  /// A peer without a report for this long counts as stopped, and its load is removed.
  Duration peer_timeout{};
  /// Delay before the start or end of a generation is reported. Further starts and ends within the
  /// delay share the datagram.
  Duration start_delay{};
};

ReportPace ReportPaceFor(std::size_t peers);

/// What a gateway has reported.
struct SentLoad {
  /// Sorted by key.
  std::vector<PeerLoad> loads;
  std::map<std::string, core::WaitingTokens> waiting;
  std::vector<std::int64_t> excluded;
  /// CrashCauses::own_losses at the time of the report.
  std::uint64_t own_losses = 0;
};

/// A part of the reports that another module fills and reads.
class ReportSection {
 public:
  virtual ~ReportSection() = default;
  /// Adds the module's fields to a report. is_complete: one of the reports at intervals, which
  /// repeat what earlier ones contain; the others are sent when something has changed.
  virtual void AddTo(wire::GatewayLoad& report, bool is_complete) = 0;
  virtual void Record(const wire::GatewayLoad& report) = 0;
  /// Whether there is something that peers must know before the next complete report.
  virtual bool has_news() const { return false; }
  virtual void OnPeerLost(const std::string& /*peer*/) {}
};

class LoadExchange {
 public:
  using ListNewsHandler = std::function<void(const core::ListNews&)>;

  /// Errors: kIo when the port cannot be bound.
  static Result<std::unique_ptr<LoadExchange>> Create(
      asio::io_context& context, const Clock& clock, Fleet& fleet, const Dispatcher& dispatcher,
      core::CrashCauses& crash_causes, std::string own_name, const asio::ip::udp::endpoint& listen,
      std::function<void()> on_change, std::function<void()> on_unknown_peer,
      ListNewsHandler on_list_news = nullptr);

  /// The section must outlive the exchange.
  void AddSection(ReportSection& section) { sections_.push_back(&section); }
  /// Sends one peer, at once, a report that has the fields which `fill` adds. No effect if the peer
  /// is unknown.
  void SendTo(const std::string& peer, const std::function<void(wire::GatewayLoad&)>& fill);

  /// Replaces the peers to which reports are sent.
  void SetPeers(std::map<std::string, asio::ip::udp::endpoint> peers);
  /// Reports what has changed to the peers after ReportPace::start_delay, or later if the reports
  /// would take too much of the link; called when a generation starts or ends.
  void ScheduleReport();
  /// Tells the peers at once what a read of the list of upstreams has found.
  void AnnounceList(const core::ListNews& news);
  /// Number of peers whose last report is not older than ReportPace::peer_timeout.
  std::size_t live_peers() const { return last_reports_.size(); }
  /// Whether this gateway's name sorts before the names of all live peers.
  bool is_first() const {
    return last_reports_.empty() || own_name_ < last_reports_.begin()->first;
  }
  void Stop();

 private:
  struct LastReport {
    std::int64_t sequence = 0;
    TimePoint received;
  };

  LoadExchange(asio::io_context& context, const Clock& clock, Fleet& fleet,
               const Dispatcher& dispatcher, core::CrashCauses& crash_causes, std::string own_name,
               std::function<void()> on_change, std::function<void()> on_unknown_peer,
               ListNewsHandler on_list_news);

  void Receive();
  void OnDatagram(std::size_t size);
  void Tick();
  SentLoad LocalLoad() const;
  /// The report has the queued work and the exclusions of last_sent_.
  wire::GatewayLoad MakeReport(const std::vector<PeerLoad>& loads);
  /// Reports the load that has changed since the last report of either kind.
  void SendChange();
  void SendComplete(const core::ListNews* news);
  /// Adds what this gateway knows about causes of crashes. relays: also what it has from peers.
  void AddCrashEvidence(wire::GatewayLoad& report, bool relays) const;
  void RecordCrashEvidence(const wire::GatewayLoad& report);
  void SendToPeers(const std::string& datagram);

  const Clock& clock_;
  Fleet& fleet_;
  const Dispatcher& dispatcher_;
  core::CrashCauses& crash_causes_;
  std::string own_name_;
  std::function<void()> on_change_;
  std::function<void()> on_unknown_peer_;
  ListNewsHandler on_list_news_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer report_timer_;
  bool is_report_scheduled_ = false;
  std::array<char, 64 * 1024> datagram_{};
  asio::ip::udp::endpoint sender_;
  std::map<std::string, asio::ip::udp::endpoint> peers_;
  std::map<std::string, LastReport> last_reports_;
  std::vector<ReportSection*> sections_;
  SentLoad last_sent_;
  SentLoad last_complete_;
  TimePoint last_complete_at_;
  /// Not before this time, so that change reports keep to kMaxChangeBytesPerSecond.
  TimePoint next_change_report_;
  std::int64_t sequence_ = 0;
  std::int64_t complete_reports_ = 0;
  bool is_stopped_ = false;
};

}  // namespace rattanramp::gateway
