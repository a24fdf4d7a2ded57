#include "core/shared_bound.h"

#include <algorithm>
#include <utility>

namespace rattanramp::core {
namespace {

// Reports that are missing when a member counts as silent, and time that they may take.
constexpr int kMissedReports = 1;
constexpr Milliseconds kReportMargin{100};

// Reports of all members together that are missing when a process counts as alone.
constexpr std::int64_t kMissedOfAll = 8;
constexpr Milliseconds kMinAloneTime{100};
constexpr Milliseconds kAloneMargin{50};

std::size_t PlaceOf(SharedBound& bound, std::string_view name, TimePoint now) {
  const auto known = bound.by_name.find(name);
  if (known != bound.by_name.end()) {
    return known->second;
  }
  const auto free = std::find_if(bound.members.begin(), bound.members.end(),
                                 [](const BoundMember& member) { return member.name.empty(); });
  const std::size_t index = static_cast<std::size_t>(free - bound.members.begin());
  if (free == bound.members.end()) {
    bound.members.emplace_back();
  }
  BoundMember& member = bound.members[index];
  member = {};
  member.name = std::string(name);
  member.last_report = now;
  bound.by_name.emplace(member.name, index);
  return index;
}

}  // namespace

Duration SilentAfter(const SharedBoundTiming& timing) {
  return kMissedReports * timing.report_interval + kReportMargin;
}

Duration AloneAfter(const SharedBoundTiming& timing, std::int64_t live) {
  const Duration longest = timing.report_interval + kAloneMargin;
  return live <= 0 ? longest
                   : std::clamp<Duration>(kMissedOfAll * timing.report_interval / live,
                                          std::min<Duration>(kMinAloneTime, longest), longest);
}

ReportingMember RecordMemberReport(SharedBound& bound, std::string_view name, std::int64_t process,
                                   TimePoint now) {
  ReportingMember sender;
  sender.index = PlaceOf(bound, name, now);
  BoundMember& member = bound.members[sender.index];
  sender.is_first = !member.process;
  sender.is_restarted = member.process && *member.process != process;
  sender.was_silent = std::exchange(member.is_silent, false);
  member.process = process;
  member.last_report = now;
  bound.last_report = now;
  return sender;
}

void ListMembers(SharedBound& bound, std::span<const std::string> names, TimePoint now) {
  bound.is_listed = true;
  for (BoundMember& member : bound.members) {
    member.is_listed = false;
  }
  for (const std::string& name : names) {
    if (!name.empty()) {
      bound.members[PlaceOf(bound, name, now)].is_listed = true;
    }
  }
}

std::vector<SilentMember> FindSilent(SharedBound& bound, const SharedBoundTiming& timing,
                                     TimePoint now) {
  std::vector<SilentMember> silent;
  const auto live =
      std::count_if(bound.members.begin(), bound.members.end(),
                    [](const BoundMember& m) { return !m.name.empty() && !m.is_silent; });
  const std::optional<TimePoint> alone_at =
      bound.last_report ? std::optional(*bound.last_report + AloneAfter(timing, live))
                        : std::nullopt;
  for (std::size_t i = 0; i < bound.members.size(); ++i) {
    BoundMember& member = bound.members[i];
    if (member.name.empty() || member.is_silent) {
      continue;
    }
    TimePoint since = member.last_report + SilentAfter(timing);
    if (alone_at) {
      since = std::min(since, *alone_at);
    }
    if (since < now) {
      member.is_silent = true;
      silent.push_back({i, since});
    }
  }
  std::sort(silent.begin(), silent.end(),
            [](const SilentMember& a, const SilentMember& b) { return a.since < b.since; });
  return silent;
}

std::vector<std::size_t> ForgetGone(SharedBound& bound, const SharedBoundTiming& timing,
                                    TimePoint now) {
  std::vector<std::size_t> gone;
  for (std::size_t i = 0; i < bound.members.size(); ++i) {
    BoundMember& member = bound.members[i];
    if (!member.name.empty() && !member.is_listed && member.is_silent &&
        now - member.last_report > timing.forget_after) {
      bound.by_name.erase(member.name);
      member = {};
      gone.push_back(i);
    }
  }
  return gone;
}

double CountMembers(const SharedBound& bound) {
  return 1 + static_cast<double>(bound.by_name.size());
}

double CountSilent(const SharedBound& bound) {
  return static_cast<double>(std::count_if(
      bound.members.begin(), bound.members.end(),
      [](const BoundMember& member) { return !member.name.empty() && member.is_silent; }));
}

double LivePart(double aside, double members) {
  return std::clamp(1 - aside, 1 / std::max(1.0, members), 1.0);
}

}  // namespace rattanramp::core
