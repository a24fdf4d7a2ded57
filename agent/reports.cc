#include "agent/reports.h"

#include <algorithm>
#include <utility>

namespace rattanramp::agent {
namespace {

/// Longest time between reports. It lets entries distinguish an agent without changes from one that
/// no longer sends.
constexpr Milliseconds kMaxReportInterval{2000};
/// Number of recent events kept for links that have not been sent all of them. A new link receives
/// these first, as its initial information about cached prefixes.
constexpr std::size_t kMaxBufferedEvents = 512;
constexpr std::size_t kMaxEventsPerReport = 256;

}  // namespace

void Reporter::AddLink(core::ConnectionId connection, const std::shared_ptr<link::Link>& link) {
  Receiver& receiver = receivers_[connection];
  receiver.link = link;
  receiver.next_event = first_event_;
  wire::LoadReport report = context_.snapshot();
  report.sequence = ++sequence_;
  SendTo(receiver, std::move(report));
}

void Reporter::RemoveLink(core::ConnectionId connection) { receivers_.erase(connection); }

void Reporter::AddEvents(const CacheEvents& events) {
  if (events.incarnation != events_incarnation_) {
    // A restarted engine has lost its cache, so events of the earlier incarnation are dropped.
    first_event_ += static_cast<std::int64_t>(events_.size());
    events_.clear();
    events_incarnation_ = events.incarnation;
  }
  events_.insert(events_.end(), events.events.begin(), events.events.end());
  while (events_.size() > kMaxBufferedEvents) {
    events_.pop_front();
    ++first_event_;
  }
}

void Reporter::Request(bool urgent) {
  requested_ = true;
  if (urgent) {
    SendAll(context_.snapshot(), context_.clock.now());
  }
}

void Reporter::Tick(TimePoint now) {
  const Duration since = now - last_sent_;
  if (since < Milliseconds(context_.SettingsOf("").report_ms)) {
    return;
  }
  wire::LoadReport report = context_.snapshot();
  report.sequence = last_.sequence;
  if (since >= kMaxReportInterval || HasUnsentEvents() || !(report == last_)) {
    SendAll(std::move(report), now);
  }
}

void Reporter::SendAll(wire::LoadReport report, TimePoint now) {
  report.sequence = ++sequence_;
  last_ = report;
  last_sent_ = now;
  requested_ = false;
  for (auto& [connection, receiver] : receivers_) {
    SendTo(receiver, report);
  }
}

void Reporter::SendTo(Receiver& receiver, wire::LoadReport report) {
  FillEvents(receiver, report);
  wire::Frame frame;
  frame.__set_load_report(report);
  // An error is ignored: the next report replaces this one, and if the send queue stays full, the
  // silence timeout of the peer closes the link.
  static_cast<void>(receiver.link->Send(frame));
}

void Reporter::FillEvents(Receiver& receiver, wire::LoadReport& report) const {
  receiver.next_event = std::max(receiver.next_event, first_event_);
  while (receiver.next_event - first_event_ < static_cast<std::int64_t>(events_.size()) &&
         report.prefix_events.size() < kMaxEventsPerReport) {
    const CacheEvent& event = events_[static_cast<std::size_t>(receiver.next_event - first_event_)];
    wire::PrefixEvent sent;
    sent.sequence = event.sequence;
    sent.block_hash = event.block_hash;
    sent.stored = event.stored;
    report.prefix_events.push_back(sent);
    ++receiver.next_event;
  }
}

bool Reporter::HasUnsentEvents() const {
  const std::int64_t end = first_event_ + static_cast<std::int64_t>(events_.size());
  return std::any_of(receivers_.begin(), receivers_.end(),
                     [end](const auto& entry) { return entry.second.next_event < end; });
}

}  // namespace rattanramp::agent
