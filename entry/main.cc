// rattanramp-entry: the router process between callers and upstreams.
#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "base/log.h"
#include "base/signals.h"
#include "entry/entry.h"
#include "store/http_platform.h"

namespace {

constexpr int kExitFailure = 1;
/// Exit code when requests in flight were aborted at shutdown.
constexpr int kExitRequestsAborted = 3;
constexpr rattanramp::Milliseconds kPlatformTimeout{2'000};

int Fail(const rattanramp::Error& error) {
  std::cerr << error.message << "\nremedy: " << error.remedy << "\n";
  return kExitFailure;
}

rattanramp::Result<std::unique_ptr<rattanramp::entry::Entry>> MakeEntry(
    const rattanramp::settings::BootConfig& boot) {
  BOOST_OUTCOME_TRY(platform,
                    rattanramp::store::HttpPlatform::Create(boot.platform_url, kPlatformTimeout));
  return rattanramp::entry::Entry::Create(boot, std::move(platform));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("rattanramp-entry: router between callers and upstreams");
  std::string config;
  std::string log_level = "info";
  app.add_option("--config", config, "boot file (JSON)")->required();
  app.add_option("--log-level", log_level, "debug, info, warning, error or off");
  CLI11_PARSE(app, argc, argv);

  rattanramp::BlockStopSignals();
  const rattanramp::Result<rattanramp::settings::BootConfig> boot =
      rattanramp::settings::BootConfig::Load(config);
  if (!boot) {
    return Fail(boot.error());
  }
  const rattanramp::Result<void> logging = rattanramp::InitLogging(boot.value().id, log_level);
  if (!logging) {
    return Fail(logging.error());
  }
  rattanramp::Result<std::unique_ptr<rattanramp::entry::Entry>> entry = MakeEntry(boot.value());
  if (!entry) {
    return Fail(entry.error());
  }
  entry.value()->Start();
  while (rattanramp::WaitForStopSignal(std::chrono::hours(1)) == 0) {
  }
  const std::size_t aborted = entry.value()->Drain();
  entry.value()->Stop();
  rattanramp::ShutdownLogging();
  return aborted == 0 ? 0 : kExitRequestsAborted;
}
