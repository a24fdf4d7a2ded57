#include "link/link.h"

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

#include "link/event_loop.h"
#include "link/link_dialer.h"
#include "link/link_listener.h"

using namespace std::chrono_literals;
using rattanramp::Error;
using rattanramp::Milliseconds;
using rattanramp::Result;
namespace link_ns = rattanramp::link;
namespace wire = rattanramp::wire;

namespace {

class CountingHandler : public link_ns::LinkHandler {
 public:
  wire::Hello LocalHello() override {
    wire::Hello hello;
    hello.protocol_version = protocol_version;
    hello.process_id = "test";
    return hello;
  }
  std::int64_t SettingsVersion() override { return 1; }
  void OnUp(const std::shared_ptr<link_ns::Link>& link) override {
    ++up_events;
    last_link = link;
  }
  void OnFrame(const std::shared_ptr<link_ns::Link>&, wire::Frame frame) override {
    chunks += frame.__isset.chunk ? 1 : 0;
  }
  void OnDown(const std::shared_ptr<link_ns::Link>&, const Error&) override { ++down_events; }

  std::int32_t protocol_version = wire::kProtocolVersion;
  std::atomic<int> up_events{0};
  std::atomic<int> down_events{0};
  std::atomic<int> chunks{0};
  std::shared_ptr<link_ns::Link> last_link;
};

bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(5ms);
  }
  return condition();
}

link_ns::LinkOptions FastOptions() {
  link_ns::LinkOptions options;
  options.heartbeat = 50ms;
  options.silence_timeout = 300ms;
  return options;
}

}  // namespace

// Guards against frames that are lost although the link is up, and against a dialer that does not
// dial again after the peer has closed the link.
Test(link, delivers_frames_and_redials) {
  link_ns::EventLoop loop;
  loop.Start();
  std::shared_ptr<CountingHandler> server = std::make_shared<CountingHandler>();
  std::shared_ptr<CountingHandler> client = std::make_shared<CountingHandler>();
  auto listener = link_ns::LinkListener::Create(loop, "127.0.0.1:0", FastOptions(), server).value();
  listener->Start();
  auto dialer = link_ns::LinkDialer::Create(loop, "127.0.0.1:" + std::to_string(listener->port()),
                                            FastOptions(), client)
                    .value();
  dialer->Start();
  cr_assert(WaitUntil([&] { return client->up_events == 1 && server->up_events == 1; }, 2s));
  for (int i = 0; i < 100; ++i) {
    wire::Frame frame;
    frame.__set_chunk(wire::Chunk());
    cr_assert(client->last_link->Send(frame).has_value());
  }
  cr_assert(WaitUntil([&] { return server->chunks == 100; }, 2s));
  server->last_link->Close("test");
  cr_assert(WaitUntil([&] { return client->up_events == 2; }, 2s));
  cr_assert_eq(client->down_events, 1);
  dialer->Stop();
  loop.Stop();
}

// Guards against a dialer that waits indefinitely for a peer that accepts the connection but never
// sends Hello. The dialer must close the connection after the silence timeout and dial again.
Test(link, redials_a_peer_that_sends_no_greeting) {
  link_ns::EventLoop loop;
  asio::ip::tcp::acceptor acceptor(loop.context(),
                                   asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  std::atomic<int> accepted{0};
  std::vector<asio::ip::tcp::socket> sockets;
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!error) {
        sockets.push_back(std::move(socket));
        ++accepted;
        accept();
      }
    });
  };
  accept();
  loop.Start();
  std::shared_ptr<CountingHandler> client = std::make_shared<CountingHandler>();
  auto dialer = link_ns::LinkDialer::Create(
                    loop, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                    FastOptions(), client)
                    .value();
  dialer->Start();
  cr_assert(WaitUntil([&] { return accepted >= 2; }, 3s));
  cr_assert_eq(client->up_events, 0);
  dialer->Stop();
  loop.Stop();
}

// Guards against frames that reach a silent peer after its link was given up: an orderly close lets
// TCP deliver them when a partition ends.
Test(link, silent_link_is_reset) {
  link_ns::EventLoop loop;
  asio::io_context peer;
  asio::ip::tcp::acceptor acceptor(peer,
                                   asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  loop.Start();
  const std::shared_ptr<CountingHandler> client = std::make_shared<CountingHandler>();
  auto dialer = link_ns::LinkDialer::Create(
                    loop, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                    FastOptions(), client)
                    .value();
  dialer->Start();
  asio::ip::tcp::socket socket = acceptor.accept();
  std::array<char, 4'096> bytes{};
  asio::error_code error;
  while (!error) {
    socket.read_some(asio::buffer(bytes), error);
  }
  cr_assert(error == asio::error::connection_reset, "%s", error.message().c_str());
  dialer->Stop();
  loop.Stop();
}

// Guards against processes with different protocol versions that exchange frames and interpret them
// differently. The link must not come up.
Test(link, refuses_other_protocol_version) {
  link_ns::EventLoop loop;
  loop.Start();
  std::shared_ptr<CountingHandler> server = std::make_shared<CountingHandler>();
  std::shared_ptr<CountingHandler> client = std::make_shared<CountingHandler>();
  client->protocol_version = wire::kProtocolVersion + 1;
  auto listener = link_ns::LinkListener::Create(loop, "127.0.0.1:0", FastOptions(), server).value();
  listener->Start();
  auto dialer = link_ns::LinkDialer::Create(loop, "127.0.0.1:" + std::to_string(listener->port()),
                                            FastOptions(), client)
                    .value();
  dialer->Start();
  std::this_thread::sleep_for(500ms);
  cr_assert_eq(server->up_events, 0);
  dialer->Stop();
  loop.Stop();
}
