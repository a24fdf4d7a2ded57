#include "gateway/settings.h"

#include <criterion/criterion.h>

#include <string>

using namespace rattanramp;

namespace {

std::string Replace(std::string text, const std::string& part, const std::string& replacement) {
  const std::size_t at = text.find(part);
  cr_assert_neq(at, std::string::npos);
  return text.replace(at, part.size(), replacement);
}

const std::string kCompleteSettings = R"({
  "node": "n", "failure_domain": "d", "address": "10.1.0.35",
  "listen": {"callers": "10.1.0.35:8144", "readiness": "10.1.0.35:8140", "metrics_port": 9464},
  "peer_ports": [7660, 7675], "table_service": "10.200.1.7:8142",
  "stop_grace_s": 8, "disconnected_after_ms": 3000, "upstream_leave_ms": "2000",
  "retry_bound": {"ratio": 0.2, "slack": 58, "window_s": 10}
})";

}  // namespace

// Guards against numbers that the template writes as JSON strings being refused or read as zero.
Test(gateway_settings, numbers_are_accepted_as_strings) {
  const gateway::Settings settings = gateway::ParseSettings(kCompleteSettings).value();
  cr_assert_eq(settings.callers.port(), 8'144);
  cr_assert(settings.disconnected_after == Milliseconds(3'000));
  cr_assert(settings.upstream_drain_limit == Milliseconds(2'000));
  cr_assert_eq(settings.retry_bound.slack, 58);
}

// Guards against a process that starts with a default value in place of an invalid setting. The
// error must name the field.
Test(gateway_settings, errors_name_the_invalid_field) {
  for (const auto& [part, replacement, name] :
       {std::tuple{"3000", "0", "/disconnected_after_ms"},
        {"\"2000\"", "\"soon\"", "/upstream_leave_ms"},
        {"\"10.1.0.35:8144\"", "\"10.1.0.35\"", "/listen/callers"},
        {"\"n\"", "\"\"", "/node"}}) {
    const Result<gateway::Settings> settings =
        gateway::ParseSettings(Replace(kCompleteSettings, part, replacement));
    cr_assert(!settings.has_value());
    cr_assert_neq(settings.error().message.find(name), std::string::npos, "%s",
                  settings.error().message.c_str());
    cr_assert(!settings.error().remedy.empty());
  }
}
