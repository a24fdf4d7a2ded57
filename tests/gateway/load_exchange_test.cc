#include "gateway/load_exchange.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "gateway/dispatcher.h"
#include "gateway/fleet.h"
#include "tests/support/free_port.h"

using namespace rattanramp;
using gateway::Fleet;
using gateway::LoadExchange;

namespace {

core::UpstreamInfo Engine(const std::string& id) {
  core::UpstreamInfo info;
  info.id = id;
  info.service = "s";
  info.address = "127.0.0.1";
  info.port = 1;
  info.stage = core::UpstreamStage::kDecode;
  info.slots = 8;
  return info;
}

/// One gateway's part in the exchange.
struct Peer {
  Peer(asio::io_context& context, std::string name)
      : fleet("domain-a"),
        dispatcher(context, DefaultClock()),
        endpoint(asio::ip::make_address_v4("127.0.0.1"),
                 static_cast<std::uint16_t>(testing::FreePort())) {
    core::DirectoryChange change;
    change.added = {Engine("e1"), Engine("e2")};
    fleet.Apply(change);
    exchange = std::move(LoadExchange::Create(
                             context, DefaultClock(), fleet, dispatcher, std::move(name), endpoint,
                             [this] { ++changes; }, [this] { ++unknown; })
                             .value());
  }

  gateway::Upstream& engine(const std::string& id) { return *fleet.upstreams().at(id); }

  Fleet fleet;
  gateway::Dispatcher dispatcher;
  asio::ip::udp::endpoint endpoint;
  std::unique_ptr<LoadExchange> exchange;
  int changes = 0;
  int unknown = 0;
};

struct Pair {
  Pair() : a(context, "a"), b(context, "b") {
    a.exchange->SetPeers({{"b", b.endpoint}});
    b.exchange->SetPeers({{"a", a.endpoint}});
  }

  void Run(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }

  asio::io_context context;
  Peer a;
  Peer b;
};

}  // namespace

// Burst of generations at several gateways: each must see the memory that the others have taken
// within a few ms, or all send to the engine that looks best.
Test(load_exchange, start_of_a_generation_is_known_at_once, .timeout = 30) {
  Pair pair;
  pair.Run(Milliseconds(20));
  pair.a.engine("e1").local_load = {1, 7'700, 5'200};
  pair.a.exchange->TellSoon();
  pair.Run(Milliseconds(60));
  cr_assert_eq(pair.b.engine("e1").peer_load.running, 1);
  cr_assert_eq(pair.b.engine("e1").peer_load.reserved_tokens, 7'700);
  cr_assert_eq(pair.b.engine("e1").peer_load.prefill_tokens, 5'200);
  cr_assert_eq(pair.b.engine("e2").peer_load.running, 0);
}

// Guards against the work of a gateway that was killed blocking memory for good.
Test(load_exchange, load_of_a_lost_peer_is_forgotten, .timeout = 30) {
  Pair pair;
  pair.a.engine("e1").local_load = {1, 7'700, 0};
  pair.Run(Milliseconds(300));
  cr_assert_eq(pair.b.engine("e1").peer_load.running, 1);
  pair.a.exchange->Stop();
  pair.Run(Milliseconds(2'500));
  cr_assert_eq(pair.b.engine("e1").peer_load.running, 0);
  cr_assert_eq(pair.b.exchange->live_peers(), 0);
}

// Guards against new work for an engine that leaves or changes its stage, sent by gateways that
// read the list later.
Test(load_exchange, withheld_upstream_is_withheld_everywhere, .timeout = 30) {
  Pair pair;
  pair.a.fleet.Exclude(pair.a.engine("e1").key, DefaultClock().now() + Milliseconds(600));
  pair.a.exchange->TellSoon();
  pair.Run(Milliseconds(100));
  cr_assert(pair.a.engine("e1").is_excluded);
  cr_assert(pair.b.engine("e1").is_excluded);
  cr_assert(!pair.b.engine("e2").is_excluded);
  pair.Run(Milliseconds(1'200));
  cr_assert(!pair.a.engine("e1").is_excluded);
  cr_assert(!pair.b.engine("e1").is_excluded);
}

// Guards against a new gateway that hears nothing until the others read their table again, and
// against two gateways that give orders.
Test(load_exchange, unknown_peer_and_first_gateway_are_noticed, .timeout = 30) {
  Pair pair;
  cr_assert(pair.b.exchange->is_first());
  pair.Run(Milliseconds(500));
  cr_assert_eq(pair.b.unknown, 0);
  cr_assert(pair.a.exchange->is_first());
  cr_assert(!pair.b.exchange->is_first());
  pair.b.exchange->SetPeers({});
  pair.Run(Milliseconds(500));
  cr_assert_gt(pair.b.unknown, 0);
}

// Guards against datagrams that are not ours ending the process or counting as load.
Test(load_exchange, garbage_is_ignored, .timeout = 30) {
  Pair pair;
  asio::ip::udp::socket socket(pair.context, asio::ip::udp::v4());
  for (const std::string& bytes :
       {std::string(), std::string(2'000, '\xff'), std::string("hello")}) {
    socket.send_to(asio::buffer(bytes), pair.b.endpoint);
  }
  // Longer than the interval at which unchanged load is told again.
  pair.Run(Milliseconds(900));
  cr_assert_eq(pair.b.exchange->live_peers(), 1);
}
