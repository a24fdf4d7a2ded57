#include "gateway/stage_controller.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/gateway/exchange_fixture.h"
#include "tests/gateway/fake_engine.h"
#include "tests/gateway/fake_table.h"
#include "tests/support/broken_heads.h"

using namespace rattanramp;
using core::UpstreamStage;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::FakeTable;
using tests::FakeTables;

namespace {

constexpr const char* kOrderTable = "orders";
constexpr Milliseconds kStep{250};

/// Nine engines, of which four start as prefill engines (the initial state of the benchmark
/// deployment kivu-tartan), and the gateways that order them.
class TestSite {
 public:
  explicit TestSite(const FakeEngine::Script& script) {
    for (int i = 0; i < 9; ++i) {
      engines_.push_back(std::make_unique<FakeEngine>(script));
    }
    core::ServiceRule service;
    service.name = "s";
    service.engine = core::EngineLimits{64, 107'085, 72, 500, 6'000};
    core::RoutingRules rules;
    rules.services = {service};
    rules_ = core::RoutingTable::Create(rules).value();
  }

  struct Gateway {
    Gateway(TestSite& site, const std::string& name)
        : fleet(),
          dispatcher(site.context_, site.clock_),
          state{site.context_, site.clock_, settings, fleet, dispatcher,
                metrics,       windows,     [] {},    {},    1},
          stage_controller(state, std::make_unique<FakeTable>(site.context_, site.tables),
                           kOrderTable, name) {}
    gateway::Settings settings;
    gateway::Fleet fleet;
    Metrics metrics;
    gateway::Dispatcher dispatcher;
    std::map<std::string, core::RetryWindow> windows;
    gateway::GatewayState state;
    gateway::StageController stage_controller;
  };

  Gateway& AddGateway(const std::string& name) {
    gateways_.push_back(std::make_unique<Gateway>(*this, name));
    core::DirectoryChange change;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      change.added.push_back(Info(i));
    }
    gateways_.back()->fleet.Apply(change);
    return *gateways_.back();
  }

  core::UpstreamInfo Info(std::size_t i) const {
    core::UpstreamInfo info;
    info.id = "e" + std::to_string(i);
    info.service = "s";
    info.failure_domain = "domain-" + std::to_string(i % 3);
    info.address = "127.0.0.1";
    info.port = engines_[i]->port();
    info.stage = i < 4 ? UpstreamStage::kPrefill : UpstreamStage::kDecode;
    info.slots = 64;
    return info;
  }

  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) {
      clock_.Advance(kStep);
      tables.clock_ms += kStep.count();
      for (const std::unique_ptr<Gateway>& gateway : gateways_) {
        gateway->stage_controller.Tick(*rules_, true);
      }
      context_.restart();
      context_.run_for(Milliseconds(30));
    }
  }

  std::size_t orders() const {
    std::size_t count = 0;
    for (const std::unique_ptr<FakeEngine>& engine : engines_) {
      count += engine->heads().size();
    }
    return count;
  }

  FakeTables tables;

 private:
  asio::io_context context_;
  ManualClock clock_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::shared_ptr<const core::RoutingTable> rules_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

FakeAnswer AcceptOrder(const std::string& /*head*/, int /*number*/) {
  return {"HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}", false};
}

std::size_t CountUsableEngines(TestSite::Gateway& gateway) {
  core::ServiceRule service;
  service.name = "s";
  std::vector<core::PlacementCandidate> candidates;
  gateway.fleet.FillCandidates("s", service, {}, {}, DefaultClock().now(), candidates);
  std::size_t usable = 0;
  for (const core::PlacementCandidate& candidate : candidates) {
    usable += candidate.is_usable ? 1 : 0;
  }
  return usable;
}

}  // namespace

// Guards against too few decode engines for the memory that a burst needs (as on benchmark day
// quiet-1), and against requests to an engine while it changes its stage.
Test(stage_controller, one_of_four_prefill_engines_changes_stage, .timeout = 30) {
  TestSite site(AcceptOrder);
  TestSite::Gateway& gateway = site.AddGateway("a");
  site.Run(Milliseconds(6'000));
  cr_assert_eq(site.orders(), 1);
  cr_assert_eq(CountUsableEngines(gateway), 8);
  core::DirectoryChange change;
  for (std::size_t i = 0; i < 4; ++i) {
    const core::UpstreamInfo info = site.Info(i);
    if (gateway.fleet.upstreams().at(info.id)->is_excluded) {
      change.updated = {info};
      change.updated[0].stage = UpstreamStage::kDecode;
    }
  }
  gateway.fleet.Apply(change);
  site.Run(Milliseconds(20'000));
  cr_assert_eq(site.orders(), 1);
  cr_assert_eq(CountUsableEngines(gateway), 9);
}

// Guards against two gateways that both send orders. After a start each has received no report of
// the other, so both sort first; the record in the store must let only one of them send orders.
Test(stage_controller, only_one_of_two_gateways_sends_orders, .timeout = 30) {
  TestSite site(AcceptOrder);
  site.AddGateway("a");
  TestSite::Gateway& second = site.AddGateway("b");
  site.Run(Milliseconds(9'000));
  cr_assert_eq(site.orders(), 1);
  const std::string record = site.tables.tables[kOrderTable]["last"].value;
  cr_assert_neq(record.find("\"a\""), std::string::npos, "%s", record.c_str());
  cr_assert_eq(second.fleet.LocalExclusions().size(), 0);
}

// Guards against sending an order when it is unknown whether its record was written: another
// gateway could hold the order lease.
Test(stage_controller, no_order_is_sent_after_a_lost_store_reply, .timeout = 30) {
  TestSite site(AcceptOrder);
  site.AddGateway("a");
  site.tables.loses_next_reply = true;
  site.Run(Milliseconds(2'250));
  cr_assert_eq(site.orders(), 0);
  site.Run(Milliseconds(4'000));
  cr_assert_eq(site.orders(), 1);
}

// Guards against sending orders without a record in the store: while the store is unavailable, no
// order may be sent.
Test(stage_controller, no_order_is_sent_while_the_store_is_unavailable, .timeout = 30) {
  TestSite site(AcceptOrder);
  site.AddGateway("a");
  site.tables.failure = Error{ErrorKind::kUnavailable, "unavailable", "wait"};
  site.Run(Milliseconds(6'000));
  cr_assert_eq(site.orders(), 0);
}

// Guards against ordering a second engine because the first has not answered: the first may still
// carry out the order seconds later (fault "applied_late").
Test(stage_controller, unanswered_order_stays_pending_until_its_deadline, .timeout = 30) {
  TestSite site([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {"", true};
  });
  site.AddGateway("a");
  site.Run(Milliseconds(12'000));
  cr_assert_eq(site.orders(), 1);
}

// Guards against ordering a second engine because the answer of the first has a status that HTTP
// does not have, which is no refusal.
Test(stage_controller, order_with_a_broken_answer_stays_pending, .timeout = 60) {
  for (const std::string& head : tests::HeadsWithBadStatus()) {
    TestSite site([&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
      return {tests::WithLength(head, "{}")};
    });
    site.AddGateway("a");
    site.Run(Milliseconds(12'000));
    cr_expect_eq(site.orders(), 1, "%zu orders after '%s'", site.orders(), head.c_str());
  }
}
