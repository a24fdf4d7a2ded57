#include "settings/schema.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "base/bounded_json.h"
#include "settings/settings.h"

namespace rattanramp::settings {
namespace {

constexpr double kDayMs = 86'400'000;
constexpr double kMaxTokens = 1'000'000;

constexpr std::array kKeys = {
    KeySpec{"kind", ValueType::kChoice, "", 0, 0, "language|plain",
            "language: routed to model engines; plain: forwarded to a plain HTTP service"},
    KeySpec{"model", ValueType::kString, "", 0, 0, "", "model that a language service uses"},
    KeySpec{"customer", ValueType::kString, "", 0, 0, "",
            "customer that owns the service; fair shares are computed per customer"},
    KeySpec{"policy", ValueType::kChoice, "", 0, 0, "planned|naive",
            "planned: reservation and estimated first-token time; naive: least connections"},
    KeySpec{"first_output_target_ms", ValueType::kInteger, "ms", 1, kDayMs, "",
            "latency target of the first output"},
    KeySpec{"pace_target_ms", ValueType::kInteger, "ms", 1, 600'000, "",
            "latency target between output tokens"},
    KeySpec{"deadline_ms", ValueType::kInteger, "ms", 1, kDayMs, "", "time limit of a request"},
    KeySpec{"repeatable", ValueType::kBoolean, "", 0, 0, "",
            "whether a request may run more than once; false requires an Idempotency-Key"},
    KeySpec{
        "patient", ValueType::kBoolean, "", 0, 0, "",
        "whether callers accept late responses; if true, requests are queued instead of refused"},
    KeySpec{"priority", ValueType::kInteger, "", -100, 100, "",
            "requests with a smaller value are served first"},
    KeySpec{"fair_share_weight", ValueType::kNumber, "", 0.01, 1000, "",
            "weight of the customer's share during overload"},
    KeySpec{"max_body_bytes", ValueType::kInteger, "bytes", 1, 8'000'000, "",
            "maximum size of a request body"},
    KeySpec{"max_prompt_tokens", ValueType::kInteger, "tokens", 1, kMaxTokens, "",
            "maximum length of a prompt"},
    KeySpec{"max_output_tokens", ValueType::kInteger, "tokens", 1, kMaxTokens, "",
            "maximum number of output tokens per request"},
    KeySpec{"expected_output_tokens", ValueType::kInteger, "tokens", 1, kMaxTokens, "",
            "typical output length, used to reserve decode memory"},
    KeySpec{"in_place_prompt_tokens", ValueType::kInteger, "tokens", 0, kMaxTokens, "",
            "prompts up to this length are prefilled at the decode engine"},
    KeySpec{"hold_margin_ms", ValueType::kInteger, "ms", 0, 600'000, "",
            "how long decode memory stays reserved beyond the expected end of the prefill"},
    KeySpec{"transfer_slack", ValueType::kNumber, "", 1, 100, "",
            "factor on the expected KV transfer time after which a transfer counts as stalled"},
    KeySpec{"transfer_base_ms", ValueType::kInteger, "ms", 0, 60'000, "",
            "fixed part of the KV transfer deadline"},
    KeySpec{"pace_idle_factor", ValueType::kInteger, "", 2, 10'000, "",
            "number of pace targets without a token after which a stream counts as idle"},
    KeySpec{"subset_size", ValueType::kInteger, "agents", 1, 4096, "",
            "number of agents per model and role that an entry connects to"},
    KeySpec{"max_attempts", ValueType::kInteger, "", 1, 20, "",
            "maximum number of attempts per repeatable request"},
    KeySpec{"retry_budget_percent", ValueType::kNumber, "%", 0, 100, "",
            "retries allowed as a share of requests"},
    KeySpec{"retry_min_per_second", ValueType::kNumber, "1/s", 0, 1000, "",
            "retries allowed regardless of the share"},
    KeySpec{"crash_limit", ValueType::kInteger, "", 1, 100, "",
            "number of upstream crashes after which a request is refused"},
    KeySpec{"suspicion_ttl_ms", ValueType::kInteger, "ms", 1000, kDayMs, "",
            "time after which a recorded crash expires"},
    KeySpec{"call_memory_entries", ValueType::kInteger, "", 100, 10'000'000, "",
            "maximum number of idempotency keys that an agent stores"},
    KeySpec{"call_memory_ms", ValueType::kInteger, "ms", 60'000, 30 * kDayMs, "",
            "validity period of an issued idempotency key"},
    KeySpec{"call_group_ms", ValueType::kInteger, "ms", 0, 1000, "",
            "how long an agent collects intent records for one transaction"},
    KeySpec{"heartbeat_ms", ValueType::kInteger, "ms", 10, 60'000, "",
            "interval of heartbeats between processes"},
    KeySpec{"link_dead_ms", ValueType::kInteger, "ms", 50, 600'000, "",
            "time without received data after which a link is closed and reconnected"},
    KeySpec{"lease_ms", ValueType::kInteger, "ms", 100, 600'000, "",
            "time without renewal after which an agent cancels an attempt"},
    KeySpec{"report_ms", ValueType::kInteger, "ms", 10, 60'000, "",
            "minimum interval between load reports"},
    KeySpec{"settings_poll_ms", ValueType::kInteger, "ms", 100, 600'000, "",
            "interval at which an entry reads the settings version from the platform"},
    KeySpec{"vm_poll_ms", ValueType::kInteger, "ms", 100, 600'000, "",
            "interval at which an entry reads the VM list"},
    KeySpec{"drain_timeout_ms", ValueType::kInteger, "ms", 0, kDayMs, "",
            "maximum time to wait for requests in flight at shutdown"},
    KeySpec{"checks_fencing", ValueType::kBoolean, "", 0, 0, "",
            "whether the engine refuses orders with an old fencing number"},
};

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[b.size()];
}

bool HasType(const KeySpec& spec, const nlohmann::json& value) {
  switch (spec.type) {
    case ValueType::kBoolean:
      return value.is_boolean();
    case ValueType::kInteger:
      return value.is_number_integer();
    case ValueType::kNumber:
      return value.is_number();
    case ValueType::kString:
    case ValueType::kChoice:
      return value.is_string();
  }
  return false;
}

bool IsChoice(std::string_view choices, std::string_view value) {
  return !value.empty() && value.find('|') == std::string_view::npos &&
         fmt::format("|{}|", choices).find(fmt::format("|{}|", value)) != std::string::npos;
}

/// Maximum number of bytes of an unknown name that are compared with the known names. Longer names
/// occur only in random input.
constexpr std::size_t kMaxComparedBytes = 256;

}  // namespace

std::span<const KeySpec> Keys() { return kKeys; }

const KeySpec* FindKey(std::string_view name) {
  const auto* found = std::find_if(kKeys.begin(), kKeys.end(),
                                   [name](const KeySpec& spec) { return spec.name == name; });
  return found == kKeys.end() ? nullptr : found;
}

std::string_view NearestName(std::string_view name, std::span<const std::string_view> candidates) {
  const std::string_view compared = name.substr(0, kMaxComparedBytes);
  std::string_view nearest;
  std::size_t smallest = std::string_view::npos;
  for (const std::string_view candidate : candidates) {
    const std::size_t distance = EditDistance(candidate, compared);
    if (distance < smallest) {
      smallest = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

std::string_view NearestKey(std::string_view name) {
  std::array<std::string_view, kKeys.size()> names;
  std::transform(kKeys.begin(), kKeys.end(), names.begin(),
                 [](const KeySpec& spec) { return spec.name; });
  return NearestName(name, names);
}

bool HasKeyType(std::string_view key, const nlohmann::json& value) {
  const KeySpec* spec = FindKey(key);
  return spec != nullptr && HasType(*spec, value);
}

std::string AllowedValues(const KeySpec& spec) {
  switch (spec.type) {
    case ValueType::kBoolean:
      return "true or false";
    case ValueType::kInteger:
      return fmt::format("an integer from {:.0f} to {:.0f}", spec.min, spec.max);
    case ValueType::kNumber:
      return fmt::format("a number from {} to {}", spec.min, spec.max);
    case ValueType::kString:
      return "a string";
    case ValueType::kChoice: {
      std::string text(spec.choices);
      for (std::size_t bar = text.find('|'); bar != std::string::npos; bar = text.find('|')) {
        text.replace(bar, 1, " or ");
      }
      return text;
    }
  }
  return "";
}

std::string KeysAsMarkdown() {
  const nlohmann::json defaults = Settings();
  std::string text = "| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n";
  for (const KeySpec& spec : kKeys) {
    const nlohmann::json& value = defaults.at(std::string(spec.name));
    const bool is_empty_text = value.is_string() && value.get_ref<const std::string&>().empty();
    const std::string shown = is_empty_text ? "" : fmt::format("`{}`", value.dump());
    text += fmt::format("| `{}` | {} | {} | {} | {} |\n", spec.name, spec.unit, shown,
                        AllowedValues(spec), spec.description);
  }
  return text;
}

Result<void> CheckValue(std::string_view path, std::string_view key, const nlohmann::json& value) {
  const KeySpec* spec = FindKey(key);
  if (spec == nullptr) {
    return Error{ErrorKind::kInvalidArgument,
                 fmt::format("{}: unknown key '{}'", path, key.substr(0, kMaxComparedBytes)),
                 fmt::format("did you mean '{}'?", NearestKey(key))};
  }
  bool ok = HasType(*spec, value);
  if (ok && (spec->type == ValueType::kInteger || spec->type == ValueType::kNumber)) {
    const double number = value.get<double>();
    ok = number >= spec->min && number <= spec->max;
  }
  if (ok && spec->type == ValueType::kChoice) {
    ok = IsChoice(spec->choices, value.get_ref<const std::string&>());
  }
  if (!ok) {
    return Error{ErrorKind::kInvalidArgument,
                 fmt::format("{}: {} has the value {}", path, key, ShortText(value)),
                 fmt::format("set it to {}{}{}", AllowedValues(*spec),
                             spec->unit.empty() ? "" : " ", spec->unit)};
  }
  return Success();
}

}  // namespace rattanramp::settings
