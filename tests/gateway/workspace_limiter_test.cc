#include "gateway/workspace_limiter.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/exchange_fixture.h"
#include "wire/gateway_codec.h"

using namespace rattanramp;

namespace {

std::vector<core::WorkspaceRule> Rules(int count) {
  std::vector<core::WorkspaceRule> rules(static_cast<std::size_t>(count));
  for (core::WorkspaceRule& rule : rules) {
    rule.name = "w" + std::to_string(&rule - rules.data());
    rule.rate_per_s = rule.burst = 1'000;
    rule.counts_tokens = true;
    rule.plain_tokens = 100;
  }
  return rules;
}

}  // namespace

// Guards against a request over the limit that is run, callers that all come back at once, units
// that stay taken by a request that was never sent, and limits that touch other workspaces.
Test(workspace_limiter, refuses_with_429_and_gives_units_back) {
  tests::ExchangeFixture fixture;
  const Clock& clock = fixture.state.clock;
  const core::LimitTolerance tolerance{Milliseconds(8'000), 0.1, 0};
  gateway::WorkspaceLimiter limiter(tolerance, clock);
  const std::vector<core::WorkspaceRule> rules = Rules(2);
  limiter.SetPeers({}, clock.now());
  limiter.SetRules({}, clock.now());
  limiter.SetRules(rules, clock.now());
  fixture.state.limiter = &limiter;
  const auto ask = [&](const core::WorkspaceRule* workspace, std::uint64_t seed) {
    gateway::RequestContext request =
        fixture.MakeRequest(core::RequestKind::kRepeatable, false, 2, 4'000);
    request.workspace = workspace;
    request.facts.prompt_tokens = 0;
    request.facts.max_output_tokens = 0;
    request.seed = seed;
    fixture.sink.status = 0;
    limiter.Admit(request, fixture.state, fixture.sink);
    return request;
  };
  const auto taken_of = [&](const core::WorkspaceRule& rule) {
    const nlohmann::json state = limiter.State(fixture.state.clock.now());
    for (const auto& entry : state["workspaces"]) {
      if (entry["workspace"] == rule.name) {
        return std::pair(entry["used"].get<std::int64_t>(), entry["level"].get<double>());
      }
    }
    return std::pair(std::int64_t{0}, 0.0);
  };
  gateway::RequestContext last = ask(rules.data(), 1);
  while (fixture.sink.status == 0) {
    last = ask(rules.data(), 1);
  }
  cr_assert_eq(fixture.sink.status, 429);
  cr_assert_eq(last.limit_units, 0);
  const auto retry_after = [&] {
    return std::stod(*http::FindField(fixture.sink.fields, "Retry-After"));
  };
  const double first = retry_after();
  ask(rules.data(), 999);
  cr_assert_eq(fixture.sink.status, 429);
  cr_assert_gt(retry_after(), first + 0.1);
  ask(nullptr, 1);
  cr_assert_eq(fixture.sink.status, 0);
  limiter.Tick(fixture.metrics, fixture.state.clock.now());
  cr_assert_neq(fixture.metrics.PrometheusText().find("workspaces_limited_total 1"),
                std::string::npos);
  // A request that was taken and then refused for another reason.
  const double before = taken_of(rules[0]).second;
  gateway::RequestContext refused = std::move(last);
  refused.limit_units = 100;
  gateway::AnswerNotRun(refused, fixture.state, fixture.sink, "test", std::nullopt);
  const double after = taken_of(rules[0]).second;
  cr_assert_geq(after, before + 100, "%f after %f", after, before);
}

// Guards against reports that do not fit into a datagram, and a peer's use that is not counted.
Test(workspace_limiter, reports_what_was_used_in_few_bytes) {
  tests::ExchangeFixture fixture;
  gateway::WorkspaceLimiter limiter({Milliseconds(8'000), 0.1, 1e6}, DefaultClock());
  const std::vector<core::WorkspaceRule> rules = Rules(1'000);
  wire::GatewayLoad empty;
  limiter.AddTo(empty, true);
  cr_assert_not(empty.__isset.workspace_use);
  const std::size_t bare = wire::EncodeGatewayLoad(empty).size();
  limiter.SetPeers({}, DefaultClock().now());
  limiter.SetRules({}, DefaultClock().now());
  limiter.SetRules(rules, DefaultClock().now());
  for (const core::WorkspaceRule& rule : rules) {
    gateway::RequestContext request =
        fixture.MakeRequest(core::RequestKind::kRepeatable, false, 2, 4'000);
    request.workspace = &rule;
    request.facts.prompt_tokens = 5'200;
    request.facts.max_output_tokens = 70;
    cr_assert(limiter.Admit(request, fixture.state, fixture.sink));
  }
  wire::GatewayLoad report;
  limiter.AddTo(report, false);
  const std::size_t entries = report.workspace_use.size();
  cr_assert_eq(entries, 8);
  cr_assert_eq(report.workspace_use.front().used, 5'270);
  const double entry_bytes = static_cast<double>(wire::EncodeGatewayLoad(report).size() - bare) /
                             static_cast<double>(entries);
  cr_assert_leq(entry_bytes, 20);
  cr_log_info("bytes of an entry: %.1f\n", entry_bytes);
}
