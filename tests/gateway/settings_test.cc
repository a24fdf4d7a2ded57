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

// Guards against settings that a platform lacks: optional ones come from the environment, so that a
// plain template can be filled in without them. Review case 2 could not start a gateway.
Test(gateway_settings, optional_settings_come_from_the_environment) {
  const auto read = [](const std::string& text, const std::string& variable,
                       const std::string& value) {
    return gateway::ParseSettings(
        text, [&](const char* name) { return variable == name ? value.c_str() : nullptr; });
  };
  cr_expect_eq(gateway::ParseSettings(kCompleteSettings).value().memory_limit_bytes, 0);
  cr_expect_eq(read(kCompleteSettings, "RATTANRAMP_MEMORY_MB", "110").value().memory_limit_bytes,
               110 * 1024 * 1024);
  cr_expect_eq(
      read(kCompleteSettings, "RATTANRAMP_MAX_DESCRIPTORS", "4100").value().max_descriptors, 4'100);
  cr_expect_eq(
      *read(kCompleteSettings, "RATTANRAMP_KEY_REMOVAL_MS", "1500").value().key_removal_limit,
      Milliseconds(1'500));
  cr_expect_eq(read(kCompleteSettings, "RATTANRAMP_LIMIT_SLACK", "7").value().limit_tolerance.slack,
               7);
  cr_expect(!read(kCompleteSettings, "RATTANRAMP_KEY_REMOVAL_MS", "").value().key_removal_limit);
  const Result<gateway::Settings> invalid = read(kCompleteSettings, "RATTANRAMP_MEMORY_MB", "much");
  cr_assert(!invalid);
  cr_expect_neq(invalid.error().message.find("/process/memory_mb"), std::string::npos);
  const std::string in_file = Replace(kCompleteSettings, "\"retry_bound\"",
                                      "\"process\": {\"memory_mb\": 50}, \"retry_bound\"");
  cr_expect_eq(read(in_file, "", "").value().memory_limit_bytes, 50 * 1024 * 1024);
  cr_expect_eq(read(in_file, "RATTANRAMP_MEMORY_MB", "60").value().memory_limit_bytes,
               60 * 1024 * 1024);
  const std::string wrong =
      Replace(kCompleteSettings, "\"retry_bound\"", "\"process\": 3, \"retry_bound\"");
  cr_expect(!read(wrong, "RATTANRAMP_MEMORY_MB", "60"));
}
