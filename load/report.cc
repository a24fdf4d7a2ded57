#include "load/report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <memory>

#include "http/strict_client.h"

namespace rattanramp::load {
namespace {

using nlohmann::json;

double Quantile(std::vector<double> samples, double quantile) {
  if (samples.empty()) {
    return 0;
  }
  const std::size_t rank = std::min(
      samples.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(samples.size())));
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank),
                   samples.end());
  return samples[rank];
}

bool IsOnTime(const ServiceLoad& load, const RequestRecord& record) {
  return record.complete && record.correct &&
         record.first_output_ms <= load.first_output_target_ms &&
         record.pace_mean_ms <= load.pace_target_ms;
}

/// Whether the outcome in the caller's answer to a claim agrees with the service's count of runs.
bool OutcomeMatchesRuns(const RequestRecord& record, std::int64_t runs) {
  if (record.outcome == "ran") {
    return runs == 1;
  }
  // A repeat may run after an earlier attempt was refused with not_run, so not_run is checked only
  // for the first request.
  if (record.outcome == "not_run" && !record.repeat) {
    return runs == 0;
  }
  return runs <= 1;
}

json ReportService(const ReportInput& input, std::size_t index) {
  const ServiceLoad& load = input.workload.services[index];
  std::vector<double> first_output;
  std::vector<double> pace;
  json refusals = json::object();
  std::int64_t sent = 0;
  std::int64_t complete = 0;
  std::int64_t wrong = 0;
  std::int64_t on_time = 0;
  std::int64_t cancelled = 0;
  std::int64_t run_twice = 0;
  std::int64_t outcome_mismatches = 0;
  for (const RequestRecord& record : input.records) {
    if (record.service != index) {
      continue;
    }
    ++sent;
    if (record.cancelled) {
      ++cancelled;
      continue;
    }
    if (record.complete) {
      ++complete;
      first_output.push_back(record.first_output_ms);
      pace.push_back(record.pace_mean_ms);
    } else {
      const std::string kind = record.error_kind.empty() ? "incomplete" : record.error_kind;
      refusals[kind] = refusals.value(kind, 0) + 1;
    }
    wrong += record.correct ? 0 : 1;
    on_time += IsOnTime(load, record) ? 1 : 0;
    if (!record.key.empty()) {
      const auto runs = input.runs_by_key.find(record.key);
      const std::int64_t count = runs == input.runs_by_key.end() ? 0 : runs->second;
      run_twice += count > 1 ? 1 : 0;
      outcome_mismatches += OutcomeMatchesRuns(record, count) ? 0 : 1;
    }
  }
  return {{"sent", sent},
          {"whole", complete},
          {"wrong", wrong},
          {"on_time", on_time},
          {"cancelled", cancelled},
          {"goodput_per_s", static_cast<double>(on_time) / input.length_s},
          {"first_output_p50_ms", Quantile(first_output, 0.5)},
          {"first_output_p95_ms", Quantile(first_output, 0.95)},
          {"pace_p50_ms", Quantile(pace, 0.5)},
          {"pace_p95_ms", Quantile(pace, 0.95)},
          {"refusals", refusals},
          {"run_twice", run_twice},
          {"untruthful", outcome_mismatches}};
}

json SumServices(const json& services) {
  json total = json::object();
  for (const char* member :
       {"sent", "whole", "wrong", "on_time", "cancelled", "run_twice", "untruthful"}) {
    std::int64_t sum = 0;
    for (const json& service : services) {
      sum += service.at(member).get<std::int64_t>();
    }
    total[member] = sum;
  }
  return total;
}

}  // namespace

json MakeReport(const ReportInput& input) {
  json services = json::object();
  for (std::size_t i = 0; i < input.workload.services.size(); ++i) {
    services[input.workload.services[i].service + "/" +
             (input.workload.services[i].path.empty()
                  ? "completions"
                  : input.workload.services[i].path.substr(1))] = ReportService(input, i);
  }
  json total = SumServices(services);
  total["goodput_per_s"] = total["on_time"].get<double>() / input.length_s;
  total["prefill_tokens_spent"] = input.after.spent - input.before.spent;
  total["prefill_tokens_wasted"] = input.after.wasted - input.before.wasted;
  return {{"workload", input.workload.name}, {"services", services}, {"total", total}};
}

std::string FormatTable(const json& report) {
  std::string table = fmt::format("{:<24}{:>6}{:>7}{:>8}{:>7}{:>10}{:>10}{:>9}{:>9}  {}\n",
                                  "service", "sent", "whole", "on time", "wrong", "first p50",
                                  "first p95", "pace p50", "pace p95", "refusals");
  for (const auto& [name, service] : report.at("services").items()) {
    table += fmt::format(
        "{:<24}{:>6}{:>7}{:>8}{:>7}{:>10.0f}{:>10.0f}{:>9.1f}{:>9.1f}  {}\n", name,
        service.at("sent").get<std::int64_t>(), service.at("whole").get<std::int64_t>(),
        service.at("on_time").get<std::int64_t>(), service.at("wrong").get<std::int64_t>(),
        service.at("first_output_p50_ms").get<double>(),
        service.at("first_output_p95_ms").get<double>(), service.at("pace_p50_ms").get<double>(),
        service.at("pace_p95_ms").get<double>(), service.at("refusals").dump());
  }
  const json& total = report.at("total");
  table += fmt::format(
      "goodput {:.2f}/s, cancelled by callers {}, prefill tokens spent {}, wasted {}, claims run "
      "twice {}, outcome mismatches {}\n",
      total.at("goodput_per_s").get<double>(), total.at("cancelled").get<std::int64_t>(),
      total.at("prefill_tokens_spent").get<std::int64_t>(),
      total.at("prefill_tokens_wasted").get<std::int64_t>(),
      total.at("run_twice").get<std::int64_t>(), total.at("untruthful").get<std::int64_t>());
  return table;
}

PrefillTotals ReadPrefillTotals(const std::vector<std::string>& engine_urls) {
  PrefillTotals totals;
  for (const std::string& url : engine_urls) {
    const std::unique_ptr<http::StrictClient> client = http::StrictClient::Create(url);
    const httplib::Result result = client->Get("/v1/truth");
    const json body = result ? json::parse(result->body, nullptr, false) : json();
    if (body.is_object()) {
      totals.spent += body.value("prefill_tokens_spent", std::int64_t{0});
      totals.wasted += body.value("prefill_tokens_wasted", std::int64_t{0});
    }
  }
  return totals;
}

std::map<std::string, std::int64_t> ReadRunsByKey(const std::vector<std::string>& service_urls) {
  std::map<std::string, std::int64_t> runs;
  for (const std::string& url : service_urls) {
    const std::unique_ptr<http::StrictClient> client = http::StrictClient::Create(url);
    const httplib::Result result = client->Get("/counts");
    const json body = result ? json::parse(result->body, nullptr, false) : json();
    if (!body.is_object() || !body.contains("runs")) {
      continue;
    }
    for (const json& run : body["runs"]) {
      runs[run.value("key", "")] += run.value("count", std::int64_t{0});
    }
  }
  return runs;
}

}  // namespace rattanramp::load
