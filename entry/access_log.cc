#include "entry/access_log.h"

#include "base/log.h"

namespace rattanramp::entry {
namespace {

std::string Series(const std::string& name, const std::string& service,
                   const std::string& outcome = "") {
  const std::string outcome_label = outcome.empty() ? "" : "\",outcome=\"" + outcome;
  return name + "{service=\"" + service + outcome_label + "\"}";
}

}  // namespace

bool MetTargets(const AccessRecord& record) {
  if (record.refusal || !record.service) {
    return false;
  }
  const settings::Settings& settings = record.service->settings;
  const double first_output_ms = record.stats.first_token_ms.value_or(record.total_ms);
  return first_output_ms <= static_cast<double>(settings.first_output_target_ms) &&
         PaceMeanMs(record.stats) <= static_cast<double>(settings.pace_target_ms);
}

void LogAccess(const AccessRecord& record, Metrics& metrics) {
  const std::string service = record.service ? record.service->name : "";
  const std::string outcome =
      record.refusal ? std::string(OutcomeName(record.refusal->outcome)) : "ok";
  const RequestStats& stats = record.stats;
  const bool met = MetTargets(record);
  nlohmann::json line = {{"service", service},
                         {"kind", record.request_kind},
                         {"outcome", outcome},
                         {"status", record.status},
                         {"first_token_ms", nullptr},
                         {"pace_mean_ms", PaceMeanMs(stats)},
                         {"pace_max_ms", stats.pace_max_ms},
                         {"targets_met", met},
                         {"tokens", stats.output_tokens},
                         {"prompt_tokens", stats.prompt_tokens},
                         {"prefill_tokens", stats.prefill_tokens},
                         {"wasted_prefill_tokens", stats.wasted_prefill_tokens},
                         {"attempts", stats.attempts},
                         {"total_ms", record.total_ms},
                         {"request_id", record.request_id}};
  if (stats.first_token_ms) {
    line["first_token_ms"] = *stats.first_token_ms;
  }
  if (record.refusal) {
    line["refusal"] = record.refusal->kind;
  }
  Log(LogLevel::kInfo, "access", line);

  metrics.Count(Series("requests_total", service, outcome));
  if (record.refusal) {
    metrics.Count("refusals_total{kind=\"" + record.refusal->kind + "\"}");
  }
  if (met) {
    metrics.Count(Series("targets_met_total", service));
  }
  if (stats.first_token_ms) {
    metrics.Observe(Series("first_token_ms", service), *stats.first_token_ms);
  }
  if (stats.tokens_after_first > 0) {
    metrics.Observe(Series("pace_mean_ms", service), PaceMeanMs(stats));
    metrics.Observe(Series("pace_max_ms", service), stats.pace_max_ms);
  }
  metrics.Count(Series("output_tokens_total", service), stats.output_tokens);
  metrics.Count(Series("prefill_tokens_total", service), static_cast<double>(stats.prefill_tokens));
  metrics.Count(Series("wasted_prefill_tokens_total", service),
                static_cast<double>(stats.wasted_prefill_tokens));
}

}  // namespace rattanramp::entry
