// rattanramp-load: sends a seeded workload to a running fleet and reports goodput and latencies.

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "load/report.h"
#include "load/runner.h"
#include "load/workload.h"
#include "standins/expected_output.h"

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct Arguments {
  std::string workload;
  std::vector<std::string> entries;
  std::vector<std::string> engines;
  std::vector<std::string> services;
  std::uint64_t seed = 1;
  double seconds = 10;
  double rate_factor = 1;
  std::string output;
  bool strict = false;
  bool check_text = false;
};

int Run(const Arguments& arguments) {
  using rattanramp::load::Workload;
  const rattanramp::Result<Workload> workload = Workload::Load(arguments.workload);
  if (!workload) {
    std::cerr << workload.error().message << "; " << workload.error().remedy << "\n";
    return kExitUsage;
  }
  rattanramp::load::RunnerOptions options;
  options.entries = arguments.entries;
  if (arguments.check_text) {
    options.expected_output = [](const std::string& prompt, std::int64_t tokens) {
      return rattanramp::standins::ExpectedOutput(prompt, 0, tokens);
    };
  }
  const std::vector<rattanramp::load::PlannedRequest> plan =
      rattanramp::load::DrawPlan(workload.value(), arguments.seed,
                                 std::chrono::duration_cast<rattanramp::Duration>(
                                     std::chrono::duration<double>(arguments.seconds)),
                                 arguments.rate_factor);
  const rattanramp::load::PrefillTotals before =
      rattanramp::load::ReadPrefillTotals(arguments.engines);
  const std::vector<rattanramp::load::RequestRecord> records =
      rattanramp::load::RunPlan(workload.value(), plan, options);
  const rattanramp::load::ReportInput input{workload.value(),
                                            records,
                                            arguments.seconds,
                                            before,
                                            rattanramp::load::ReadPrefillTotals(arguments.engines),
                                            rattanramp::load::ReadRunsByKey(arguments.services)};
  const nlohmann::json report = rattanramp::load::MakeReport(input);
  std::cout << rattanramp::load::FormatTable(report);
  if (!arguments.output.empty()) {
    std::ofstream(arguments.output) << report.dump(2) << "\n";
  }
  const nlohmann::json& total = report.at("total");
  const bool all_complete =
      total.at("whole").get<std::int64_t>() + total.at("cancelled").get<std::int64_t>() ==
      total.at("sent").get<std::int64_t>();
  const bool no_violations =
      total.at("wrong") == 0 && total.at("run_twice") == 0 && total.at("untruthful") == 0;
  return no_violations && (all_complete || !arguments.strict) ? 0 : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Arguments arguments;
  CLI::App app{
      "Sends a seeded workload to rattanramp entries and reports goodput, latencies, "
      "refusals and wasted prefill."};
  app.add_option("--workload", arguments.workload, "workload file")->required();
  app.add_option("--entry", arguments.entries, "caller address HOST:PORT of an entry; repeatable")
      ->required();
  app.add_option("--engine", arguments.engines, "URL of a stand-in engine, for prefill counters");
  app.add_option("--service", arguments.services, "URL of a stand-in service, for run counts");
  app.add_option("--seed", arguments.seed, "seed of the request plan")->capture_default_str();
  app.add_option("--seconds", arguments.seconds, "time in which requests are sent")
      ->capture_default_str();
  app.add_option("--rate-factor", arguments.rate_factor, "factor on all rates")
      ->capture_default_str();
  app.add_option("--output", arguments.output, "file for the JSON report");
  app.add_flag("--check-text", arguments.check_text,
               "compare answers with the stand-in engine's text");
  app.add_flag("--strict", arguments.strict,
               "fail unless every answer that is not cancelled is complete");
  CLI11_PARSE(app, argc, argv);
  return Run(arguments);
}
