#include "core/shared_list.h"

#include <algorithm>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

std::uint64_t DigestOf(const UpstreamInfo& info) {
  std::uint64_t digest = Hash64(info.id, 1);
  digest = Hash64(info.service, digest);
  digest = Hash64(info.failure_domain, digest);
  digest = Hash64(info.address, digest);
  const std::int64_t numbers[] = {info.port, static_cast<std::int64_t>(info.stage), info.slots,
                                  info.is_draining ? 1 : 0, info.started_unix_ms};
  return Hash64({reinterpret_cast<const char*>(numbers), sizeof(numbers)}, digest);
}

std::uint64_t DigestOf(const ListView& view, std::string_view id) {
  const auto found = view.upstreams.find(id);
  return found == view.upstreams.end() ? 0 : DigestOf(found->second);
}

}  // namespace

ListNews RecordRead(ListView& view, std::span<const UpstreamInfo> list,
                    std::int64_t read_clock_ms) {
  ListView next;
  next.read_clock_ms = read_clock_ms;
  ListNews news;
  for (const UpstreamInfo& info : list) {
    if (!next.upstreams.emplace(info.id, info).second) {
      continue;
    }
    next.digest += DigestOf(info);
    const auto previous = view.upstreams.find(info.id);
    if (previous == view.upstreams.end() || !(previous->second == info)) {
      news.changed.push_back(info);
    }
  }
  for (const auto& [id, info] : view.upstreams) {
    if (!next.upstreams.contains(id)) {
      news.removed.push_back(id);
    }
  }
  view = std::move(next);
  news.read_clock_ms = read_clock_ms;
  news.digest = view.digest;
  return news;
}

bool MayAnnounce(const ListNews& news, std::int64_t previous_clock_ms, std::int64_t heard_clock_ms,
                 std::size_t peers) {
  return previous_clock_ms > 0 && heard_clock_ms <= previous_clock_ms &&
         (news.changed.size() + news.removed.size()) * peers <= kNewsEntryBudget;
}

bool ApplyNews(ListView& view, const ListNews& news) {
  if (view.read_clock_ms == 0 || news.read_clock_ms <= view.read_clock_ms) {
    return false;
  }
  std::uint64_t digest = view.digest;
  for (const UpstreamInfo& info : news.changed) {
    digest += DigestOf(info) - DigestOf(view, info.id);
  }
  for (const std::string& id : news.removed) {
    digest -= DigestOf(view, id);
  }
  if (digest != news.digest) {
    return false;
  }
  for (const UpstreamInfo& info : news.changed) {
    view.upstreams[info.id] = info;
  }
  for (const std::string& id : news.removed) {
    view.upstreams.erase(id);
  }
  view.digest = digest;
  view.read_clock_ms = news.read_clock_ms;
  return true;
}

std::vector<UpstreamInfo> Entries(const ListView& view) {
  std::vector<UpstreamInfo> entries;
  entries.reserve(view.upstreams.size());
  for (const auto& [id, info] : view.upstreams) {
    entries.push_back(info);
  }
  return entries;
}

void ObserveStoreClock(StoreClock& clock, std::int64_t clock_ms, TimePoint now) {
  if (clock_ms <= 0) {
    return;
  }
  const std::int64_t own_ms =
      std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
  const std::int64_t offset_ms = clock_ms - own_ms;
  clock.offset_ms = std::max(clock.offset_ms.value_or(offset_ms), offset_ms);
}

std::optional<TimePoint> OwnTimeOf(const StoreClock& clock, std::int64_t clock_ms) {
  if (!clock.offset_ms) {
    return std::nullopt;
  }
  return TimePoint(Milliseconds(clock_ms - *clock.offset_ms));
}

Duration ReadAge(Duration interval, std::string_view own_name, std::int64_t read_clock_ms,
                 std::size_t peers) {
  if (peers == 0) {
    return interval;
  }
  const std::uint64_t hash = Hash64(own_name, static_cast<std::uint64_t>(read_clock_ms));
  const double fraction = static_cast<double>(hash % 10'000) / 10'000.0;
  return std::chrono::duration_cast<Duration>((kEarliestShare + (1.0 - kEarliestShare) * fraction) *
                                              interval);
}

}  // namespace rattanramp::core
