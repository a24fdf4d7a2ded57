// Parts of a bound that several processes share without a common counter: which of them are live,
// and which part stays set aside for those that are not.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

struct SharedBoundTiming {
  /// Longest time between two reports of a member.
  Duration report_interval = Milliseconds(400);
  /// A silent member that is listed no more is forgotten after this time without a report. Until
  /// then it may be a process that has lost both the store and its peers.
  Duration forget_after = Milliseconds(16'000);
};

/// A member without a report for this long is silent.
Duration SilentAfter(const SharedBoundTiming& timing);
/// All members are silent when none of `live` members has reported for this long. The more there
/// are, the sooner.
Duration AloneAfter(const SharedBoundTiming& timing, std::int64_t live);

/// A process other than this one that may use the bound.
struct BoundMember {
  /// Empty: the place is free.
  std::string name;
  /// Tells a restarted process from its predecessor; empty until its first report.
  std::optional<std::int64_t> process;
  bool is_listed = false;
  bool is_silent = true;
  /// Last report; the time of its listing until the first one.
  TimePoint last_report;
};

struct SharedBound {
  /// Indexes stay valid until the member is forgotten.
  std::vector<BoundMember> members;
  std::map<std::string, std::size_t, std::less<>> by_name;
  std::optional<TimePoint> last_report;
  /// The list of members has been read; without it no part is known to be safe.
  bool is_listed = false;
};

struct ReportingMember {
  std::size_t index = 0;
  bool was_silent = false;
  /// It has not reported to this process before.
  bool is_first = false;
  /// Another process than the one of the report before; its counts start anew.
  bool is_restarted = false;
};

struct SilentMember {
  std::size_t index = 0;
  TimePoint since;
};

/// Records a report. A sender that is not listed becomes a member.
ReportingMember RecordMemberReport(SharedBound& bound, std::string_view name, std::int64_t process,
                                   TimePoint now);

/// Replaces the list of the members, without this process. New ones are silent until they report.
void ListMembers(SharedBound& bound, std::span<const std::string> names, TimePoint now);

/// Members that have become silent since the last call, by time.
std::vector<SilentMember> FindSilent(SharedBound& bound, const SharedBoundTiming& timing,
                                     TimePoint now);

/// Frees the places of the members that are known to be gone and returns their indexes.
std::vector<std::size_t> ForgetGone(SharedBound& bound, const SharedBoundTiming& timing,
                                    TimePoint now);

/// Number of members, this process included.
double CountMembers(const SharedBound& bound);
double CountSilent(const SharedBound& bound);

/// Part that the live members may use together when `aside` (the sum of the silent members' parts)
/// is not theirs: at least one in `members`, because each silent member sets as much aside.
double LivePart(double aside, double members);

}  // namespace rattanramp::core
