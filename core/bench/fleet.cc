#include "core/bench/fleet.h"

namespace rattanramp::core {
namespace {

constexpr std::uint32_t kModels = 19;
constexpr std::uint32_t kDomains = 13;
constexpr std::uint32_t kRegions = 4;

int Between(int low, int high, std::mt19937_64& random) {
  return std::uniform_int_distribution<int>(low, high)(random);
}

}  // namespace

BenchFleet MakeFleet(std::uint32_t engines, std::uint32_t domains, std::mt19937_64& random) {
  BenchFleet fleet;
  fleet.domains = domains;
  for (std::uint32_t i = 0; i < engines; ++i) {
    EngineView engine;
    engine.index = i;
    engine.failure_domain = i / 2 % domains;
    engine.role = i % 2 == 0 ? EngineRole::kPrefill : EngineRole::kDecode;
    engine.ready = true;
    engine.total_pieces = 40;
    engine.free_pieces = Between(0, 40, random);
    engine.max_running = 20;
    engine.running = Between(0, 20, random);
    engine.queued = Between(0, 1, random);
    engine.queued_prefill_tokens = Between(0, 20'000, random);
    engine.prefill_tokens_per_s = Between(8'000, 12'000, random);
    engine.decode_token_ms = 20 + 2 * engine.running;
    engine.link_queue_bytes = Between(0, 500'000'000, random);
    engine.link_bytes_per_s = 5e9;
    engine.kv_bytes_per_token = 50'000;
    fleet.engines.push_back(engine);
  }
  for (std::uint32_t from = 0; from < domains; ++from) {
    for (std::uint32_t to = 0; to < domains; ++to) {
      fleet.one_way_ms.push_back(from == to ? 0.1 : from / 4 == to / 4 ? 1.5 : 40);
    }
  }
  return fleet;
}

RouteRequest MakeRequest(const BenchFleet& fleet, std::mt19937_64& random,
                         std::vector<CachedPrefix>& cached) {
  constexpr int kCachedEngines = 32;
  RouteRequest request;
  request.failure_domain = static_cast<std::uint32_t>(random() % fleet.domains);
  request.prompt_tokens = Between(50, 30'000, random);
  request.expected_output_tokens = Between(10, 500, random);
  request.first_output_target_ms = 600;
  request.pace_target_ms = 63;
  request.patient = Between(0, 1, random) == 1;
  request.seed = random();
  cached.clear();
  for (int i = 0; i < kCachedEngines; ++i) {
    const auto engine = static_cast<std::uint32_t>(random() % fleet.engines.size());
    cached.push_back({engine, Between(1, 4, random) * kPieceTokens});
  }
  request.cached = cached;
  return request;
}

BenchFleet MakeMixedFleet() {
  constexpr std::uint32_t kPrefillEngines = 5;
  constexpr std::uint32_t kEngines = 11;
  BenchFleet fleet;
  fleet.domains = 3;
  fleet.one_way_ms = {0.1, 1.5, 1.5, 1.5, 0.1, 1.5, 1.5, 1.5, 0.1};
  for (std::uint32_t i = 0; i < kEngines; ++i) {
    EngineView engine;
    engine.index = i;
    engine.failure_domain = i % fleet.domains;
    engine.role = i < kPrefillEngines ? EngineRole::kPrefill : EngineRole::kDecode;
    engine.ready = true;
    engine.total_pieces = engine.free_pieces = 40;
    engine.max_running = 20;
    engine.prefill_tokens_per_s = 20'000;
    engine.decode_token_ms = MixedTokenMs(0);
    engine.link_bytes_per_s = 5e9;
    engine.kv_bytes_per_token = 50'000;
    fleet.engines.push_back(engine);
  }
  return fleet;
}

RouteRequest MakeMixedRequest(std::mt19937_64& random) {
  RouteRequest request;
  request.patient = Between(1, 10, random) <= 4;
  request.prompt_tokens =
      request.patient ? Between(4'500, 24'000, random) : Between(200, 2'000, random);
  request.expected_output_tokens =
      request.patient ? Between(100, 300, random) : Between(20, 50, random);
  request.first_output_target_ms = request.patient ? 5'000 : 600;
  request.pace_target_ms = 63;
  request.seed = random();
  return request;
}

std::vector<SubsetAgent> MakeAgents(std::uint32_t count, std::vector<std::string>& ids) {
  ids.clear();
  for (std::uint32_t i = 0; i < count; ++i) {
    ids.push_back("agent-" + std::to_string(i));
  }
  std::vector<SubsetAgent> agents;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::uint32_t domain = i % kDomains;
    agents.push_back({ids[i], i / kDomains % (kModels * 2), domain, domain % kRegions});
  }
  return agents;
}

}  // namespace rattanramp::core
