#include "core/shared_list.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace rattanramp;
using core::ListNews;
using core::ListView;
using core::UpstreamInfo;

namespace {

UpstreamInfo Upstream(int number, bool is_draining = false) {
  UpstreamInfo info;
  info.id = "u" + std::to_string(number);
  info.service = "s";
  info.address = "10.0.0." + std::to_string(number % 200);
  info.port = 80;
  info.is_draining = is_draining;
  return info;
}

std::vector<UpstreamInfo> List(int count) {
  std::vector<UpstreamInfo> list;
  for (int i = 0; i < count; ++i) {
    list.push_back(Upstream(i));
  }
  return list;
}

/// A fleet of gateways that read one list; time passes in steps of 10 ms.
struct TestFleet {
  struct Gateway {
    std::string name;
    ListView view;
    TimePoint view_time;
    bool is_stopped = false;
  };

  TestFleet(int count, double lost_share) : lost(lost_share) {
    for (int i = 0; i < count; ++i) {
      Gateway gateway;
      gateway.name = "g" + std::to_string(i);
      core::RecordRead(gateway.view, list, clock_ms);
      gateway.view_time = now;
      gateways.push_back(gateway);
    }
  }

  void Step() {
    now += Milliseconds(10);
    clock_ms += 10;
    for (Gateway& reader : gateways) {
      const Duration age =
          core::ReadAge(kInterval, reader.name, reader.view.read_clock_ms, gateways.size() - 1);
      if (reader.is_stopped || now - reader.view_time < age) {
        continue;
      }
      ++reads;
      const ListNews news = core::RecordRead(reader.view, list, clock_ms);
      reader.view_time = now;
      for (Gateway& peer : gateways) {
        const bool is_lost = static_cast<double>(random() % 1'000) < 1'000 * lost;
        if (&peer != &reader && !peer.is_stopped && !is_lost && core::ApplyNews(peer.view, news)) {
          peer.view_time = now;
        }
      }
    }
    for (const Gateway& gateway : gateways) {
      if (!gateway.is_stopped) {
        oldest = std::max(oldest, now - gateway.view_time);
      }
    }
  }

  static constexpr Milliseconds kInterval{2'100};
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::int64_t clock_ms = 1'000'000;
  std::vector<UpstreamInfo> list = List(50);
  std::vector<Gateway> gateways;
  std::mt19937 random{20261204};
  double lost = 0;
  int reads = 0;
  Duration oldest{};
};

}  // namespace

// Guards against reads whose number grows with the number of gateways: on the sweep of
// kivu-tartan-large, 298 gateways read 2,997 entries every 3 s each, and one of them missed a
// leaving upstream.
Test(shared_list, fleet_reads_the_list_a_few_times_per_interval) {
  for (const int count : {2, 15, 103, 300}) {
    TestFleet fleet(count, 0);
    for (int step = 0; step < 2'100; ++step) {
      fleet.Step();
    }
    // Ten intervals. Alone, each gateway reads ten times.
    cr_assert_leq(fleet.reads, 10 * 4, "%d reads by %d gateways", fleet.reads, count);
    cr_assert_leq(fleet.oldest, Duration(TestFleet::kInterval));
  }
}

// Guards against a view that is older than the interval of a gateway that reads alone, when
// announcements are lost, entries change, and readers stop without a word.
Test(shared_list, every_view_is_as_fresh_as_if_read_alone) {
  TestFleet fleet(30, 0.2);
  for (int step = 0; step < 3'000; ++step) {
    if (step % 37 == 0) {
      fleet.list[fleet.random() % fleet.list.size()].is_draining ^= true;
    }
    if (step % 91 == 0) {
      fleet.list[fleet.random() % fleet.list.size()] = Upstream(1'000 + step);
    }
    if (step % 300 == 0) {
      fleet.gateways[fleet.random() % fleet.gateways.size()].is_stopped = true;
    }
    fleet.Step();
    cr_assert_leq(fleet.oldest, Duration(TestFleet::kInterval));
  }
  // Whoever has the digest of a read has its list.
  for (const TestFleet::Gateway& a : fleet.gateways) {
    for (const TestFleet::Gateway& b : fleet.gateways) {
      if (a.view.read_clock_ms == b.view.read_clock_ms) {
        cr_assert(a.view.upstreams == b.view.upstreams);
      }
    }
  }
}

// Guards against news that change a view although the view lacks an earlier change, that come from
// the past, or that reach a gateway that has read nothing yet.
Test(shared_list, news_that_do_not_fit_change_nothing) {
  std::vector<UpstreamInfo> list = List(5);
  ListView reader;
  ListView other;
  core::RecordRead(reader, list, 100);
  core::RecordRead(other, list, 110);
  list[1].is_draining = true;
  core::RecordRead(reader, list, 200);
  list[2].is_draining = true;
  const ListNews missed_one = core::RecordRead(reader, list, 300);
  cr_assert(!core::ApplyNews(other, missed_one));
  cr_assert(!other.upstreams.at("u2").is_draining);
  cr_assert_eq(other.read_clock_ms, 110);
  ListNews old = missed_one;
  old.read_clock_ms = 90;
  cr_assert(!core::ApplyNews(other, old));
  ListView empty;
  cr_assert(!core::ApplyNews(empty, missed_one));
  core::RecordRead(other, list, 310);
  list.pop_back();
  const ListNews removal = core::RecordRead(reader, list, 400);
  cr_assert(core::ApplyNews(other, removal));
  cr_assert_eq(other.upstreams.size(), 4);
}

// Guards against a paused process that takes a read of some seconds ago for a new one: the age
// follows from the store's clock, not from the arrival.
Test(shared_list, age_of_news_follows_the_clock_of_the_store) {
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  core::StoreClock clock;
  cr_assert(!core::OwnTimeOf(clock, 5'000));
  core::ObserveStoreClock(clock, 5'000, start + Milliseconds(40));
  core::ObserveStoreClock(clock, 6'000, start + Milliseconds(1'004));
  // This response waited while the process was paused.
  core::ObserveStoreClock(clock, 7'000, start + Milliseconds(6'000));
  const std::optional<TimePoint> time = core::OwnTimeOf(clock, 7'000);
  cr_assert(time);
  cr_assert_eq(ToMs(*time - start), 2'004.0);
}

// Load pattern: many changes between two reads, announced to hundreds of peers. Guards against
// announcements that fill the link of their sender, and against each gateway that could not use one
// sending another (sweep of kivu-tartan-large at 298 gateways: 1.6 MB a second at the busiest).
Test(shared_list, announcements_are_bounded_and_not_answered_by_others) {
  ListNews news;
  news.read_clock_ms = 300;
  cr_assert(core::MayAnnounce(news, 200, 0, 297));
  cr_assert(core::MayAnnounce(news, 200, 200, 297));
  // A peer has announced a read since.
  cr_assert(!core::MayAnnounce(news, 200, 250, 297));
  // The first read of a process: nobody has its previous view.
  cr_assert(!core::MayAnnounce(news, 0, 0, 297));
  for (int i = 0; i < 10; ++i) {
    news.changed.push_back(Upstream(i));
  }
  cr_assert(core::MayAnnounce(news, 200, 0, 102));
  cr_assert(!core::MayAnnounce(news, 200, 0, 297));
}
