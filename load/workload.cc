#include "load/workload.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "base/hash.h"

namespace rattanramp::load {

// Outside the anonymous namespace so that argument-dependent lookup finds them.
NLOHMANN_JSON_SERIALIZE_ENUM(RequestKind, {{RequestKind::kCompletion, "completion"},
                                           {RequestKind::kLookup, "lookup"},
                                           {RequestKind::kClaim, "claim"}})
NLOHMANN_JSON_SERIALIZE_ENUM(KeyKind, {{KeyKind::kOwn, "own"}, {KeyKind::kIssued, "issued"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TokenDistribution, median, sigma, min, max)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Bursts, every_s, for_s, factor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceLoad, service, kind, model, path, rate_per_s,
                                                stream, prompt_tokens, output_tokens,
                                                shared_prefix_share, shared_prefixes,
                                                shared_prefix_tokens, cancel_share, repeat_share,
                                                key_kind, first_output_target_ms, pace_target_ms)

namespace {

using nlohmann::json;

constexpr std::int64_t kBytesPerToken = 4;

/// Random lower-case text with spaces of the given length.
std::string RandomText(std::mt19937_64& random, std::int64_t bytes) {
  constexpr std::string_view kAlphabet = "abcdefghijklmnopqrstuvwxyz      ";
  constexpr int kBitsPerLetter = 5;
  constexpr int kLettersPerDraw = 12;
  std::string text;
  text.reserve(static_cast<std::size_t>(bytes) + kLettersPerDraw);
  while (static_cast<std::int64_t>(text.size()) < bytes) {
    std::uint64_t bits = random();
    for (int i = 0; i < kLettersPerDraw; ++i) {
      text.push_back(kAlphabet[bits & 31U]);
      bits >>= kBitsPerLetter;
    }
  }
  text.resize(static_cast<std::size_t>(bytes));
  return text;
}

std::int64_t DrawTokens(std::mt19937_64& random, const TokenDistribution& distribution) {
  std::lognormal_distribution<double> draw(std::log(distribution.median), distribution.sigma);
  const std::int64_t tokens = std::llround(draw(random));
  return std::clamp(tokens, distribution.min, distribution.max);
}

std::string DrawPrompt(std::mt19937_64& random, const ServiceLoad& load) {
  std::uniform_real_distribution<double> share(0, 1);
  const std::int64_t bytes = DrawTokens(random, load.prompt_tokens) * kBytesPerToken;
  std::string prompt;
  if (share(random) < load.shared_prefix_share) {
    std::uniform_int_distribution<std::int64_t> pick(0, load.shared_prefixes - 1);
    const std::string name = load.service + std::to_string(pick(random));
    std::mt19937_64 prefix_random(Hash64(name));
    prompt = RandomText(prefix_random, load.shared_prefix_tokens * kBytesPerToken);
  }
  const std::int64_t own_bytes =
      std::max<std::int64_t>(kBytesPerToken, bytes - static_cast<std::int64_t>(prompt.size()));
  return prompt + RandomText(random, own_bytes);
}

/// Factor on the rate at a time; each period starts with a burst.
double BurstFactor(const Bursts& bursts, double at_s) {
  if (bursts.every_s <= 0) {
    return 1;
  }
  return std::fmod(at_s, bursts.every_s) < bursts.for_s ? bursts.factor : 1;
}

void DrawService(const Workload& workload, std::size_t index, std::uint64_t seed, double length_s,
                 double rate_factor, std::vector<PlannedRequest>& plan) {
  const ServiceLoad& load = workload.services[index];
  std::mt19937_64 random(Hash64(load.service, seed));
  std::uniform_real_distribution<double> share(0, 1);
  const double peak_factor = std::max(1.0, workload.bursts.factor);
  const double peak_rate = load.rate_per_s * rate_factor * peak_factor;
  if (peak_rate <= 0) {
    return;
  }
  std::exponential_distribution<double> interarrival_s(peak_rate);
  // Thinning: arrivals are generated at the peak rate and kept with probability current rate / peak
  // rate.
  for (double at_s = interarrival_s(random); at_s < length_s; at_s += interarrival_s(random)) {
    if (share(random) * peak_factor > BurstFactor(workload.bursts, at_s)) {
      continue;
    }
    PlannedRequest request;
    request.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at_s));
    request.service = index;
    request.number = random();
    request.cancel = share(random) < load.cancel_share;
    request.repeat = share(random) < load.repeat_share;
    if (load.kind == RequestKind::kCompletion) {
      request.prompt = DrawPrompt(random, load);
      request.output_tokens = DrawTokens(random, load.output_tokens);
    }
    plan.push_back(std::move(request));
  }
}

}  // namespace

Result<Workload> Workload::Parse(std::string_view text) {
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object() || !root.contains("services") || !root["services"].is_array()) {
    return Error{ErrorKind::kInvalidArgument,
                 "workload is not a JSON object with an array 'services'",
                 "see load/workloads for examples"};
  }
  Workload workload;
  try {
    workload.name = root.value("name", "unnamed");
    workload.services = root["services"].get<std::vector<ServiceLoad>>();
    workload.bursts = root.value("bursts", Bursts());
  } catch (const json::exception& error) {
    return Error{ErrorKind::kInvalidArgument, std::string("workload: ") + error.what(),
                 "correct the type of the named member"};
  }
  return workload;
}

Result<Workload> Workload::Load(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return Error{ErrorKind::kNotFound, "cannot open workload file " + file,
                 "pass the path of a readable workload file"};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return Parse(text.str());
}

std::vector<PlannedRequest> DrawPlan(const Workload& workload, std::uint64_t seed, Duration length,
                                     double rate_factor) {
  std::vector<PlannedRequest> plan;
  const double length_s = std::chrono::duration<double>(length).count();
  for (std::size_t i = 0; i < workload.services.size(); ++i) {
    DrawService(workload, i, seed, length_s, rate_factor, plan);
  }
  std::sort(plan.begin(), plan.end(),
            [](const PlannedRequest& a, const PlannedRequest& b) { return a.at < b.at; });
  return plan;
}

}  // namespace rattanramp::load
