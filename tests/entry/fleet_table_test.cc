#include "entry/fleet_table.h"

#include <criterion/criterion.h>

using namespace rattanramp;
using entry::FleetTable;

namespace {

wire::Hello HelloOf(const std::string& id) {
  wire::Hello hello;
  hello.process_id = id;
  hello.role = wire::ProcessRole::AGENT;
  hello.incarnation = 1;
  hello.failure_domain = "fd-a";
  return hello;
}

wire::LoadReport ReportOf(std::int64_t sequence, std::int32_t running) {
  wire::LoadReport report;
  report.sequence = sequence;
  report.state = wire::UpstreamState::READY;
  report.role = wire::EngineRole::BOTH;
  report.model = "m1";
  report.total_pieces = 100;
  report.free_pieces = 100;
  report.max_running = 20;
  report.running = running;
  report.prefill_tokens_per_s = 10'000;
  report.decode_token_ms = 20;
  return report;
}

std::string ChosenDecodeAgent(FleetTable& fleet, const std::string& model = "m1") {
  entry::RouteQuery query;
  query.model = model;
  query.failure_domain = "fd-a";
  query.naive = true;
  query.request.prompt_tokens = 100;
  query.request.expected_output_tokens = 100;
  const Result<entry::ChosenRoute> chosen = fleet.Choose(query);
  return chosen ? chosen.value().decode_agent : "";
}

}  // namespace

// Guards against sending all requests of one report interval to the engine that was least loaded at
// its start. Happens when submitted attempts are not counted before the next report.
Test(fleet_table, submitted_load_counts_until_reported) {
  FleetTable fleet;
  fleet.OnLinkUp(HelloOf("e1"));
  fleet.OnLinkUp(HelloOf("e2"));
  fleet.OnReport("e1", ReportOf(1, 0));
  fleet.OnReport("e2", ReportOf(1, 1));
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string("e1"));
  fleet.OnSubmitted("e1", "a", {10, 100, false});
  fleet.OnSubmitted("e1", "b", {10, 100, false});
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string("e2"));
  // Without an acknowledgement, the agent may have sent this report before it received the submits,
  // so the report does not remove their load.
  fleet.OnReport("e1", ReportOf(2, 0));
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string("e2"));
  fleet.OnAcknowledged("e1", "a");
  fleet.OnFinished("e1", "b");
  fleet.OnReport("e1", ReportOf(3, 0));
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string("e1"));
}

// Guards against choosing an agent that is leaving, has no link or serves another model, and
// against an older report that replaces a newer one.
Test(fleet_table, only_ready_agents_are_chosen) {
  FleetTable fleet;
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string());
  fleet.OnLinkUp(HelloOf("e1"));
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string());
  fleet.OnReport("e1", ReportOf(5, 0));
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string("e1"));
  cr_assert_eq(ChosenDecodeAgent(fleet, "m2"), std::string());
  wire::LoadReport leaving = ReportOf(6, 0);
  leaving.state = wire::UpstreamState::LEAVING;
  fleet.OnReport("e1", leaving);
  fleet.OnReport("e1", ReportOf(4, 0));
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string());
  fleet.OnReport("e1", ReportOf(7, 0));
  fleet.SetListedLeaving({"e1"});
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string());
  fleet.SetListedLeaving({});
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string("e1"));
  fleet.OnAgentLeaving("e1");
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string());
  fleet.OnReport("e1", ReportOf(8, 0));
  fleet.OnLinkDown("e1");
  cr_assert_eq(ChosenDecodeAgent(fleet), std::string());
}
