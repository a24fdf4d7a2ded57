// Sends load reports to all linked entries. Link thread only.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "agent/context.h"
#include "agent/upstream_port.h"
#include "core/lease.h"
#include "link/link.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::agent {

class Reporter {
 public:
  explicit Reporter(AgentContext& context) : context_(context) {}

  void AddLink(core::ConnectionId connection, const std::shared_ptr<link::Link>& link);
  void RemoveLink(core::ConnectionId connection);

  void AddEvents(const CacheEvents& events);

  /// Requests a report. An urgent one is sent at once, any other by the next Tick that is due.
  void Request(bool urgent);
  void Tick(TimePoint now);

 private:
  struct Receiver {
    std::shared_ptr<link::Link> link;
    /// Number of the next event to send, counted from the start of the process.
    std::int64_t next_event = 0;
  };
  void SendAll(wire::LoadReport report, TimePoint now);
  void SendTo(Receiver& receiver, wire::LoadReport report);
  void FillEvents(Receiver& receiver, wire::LoadReport& report) const;
  bool HasUnsentEvents() const;

  AgentContext& context_;
  std::map<core::ConnectionId, Receiver> receivers_;
  std::deque<CacheEvent> events_;
  std::int64_t first_event_ = 0;
  std::int64_t events_incarnation_ = 0;
  std::int64_t sequence_ = 0;
  wire::LoadReport last_;
  TimePoint last_sent_;
  bool requested_ = false;
};

}  // namespace rattanramp::agent
