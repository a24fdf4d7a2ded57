#include "gateway/program.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "base/clock.h"
#include "base/heap.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "gateway/settings.h"
#include "platform/config_format.h"
#include "platform/store_client.h"

namespace rattanramp::gateway {
namespace {

constexpr int kExitBindFailed = 1;
constexpr int kExitInvalidSettings = 2;

// Log lines are buffered in memory for this long and then written with one system call.
constexpr Milliseconds kLogFlushInterval{250};

StoreSource MakeSource(asio::io_context& context, const Settings& settings) {
  StoreSource source;
  source.config_table = platform::ConfigTable();
  source.config_key = platform::ConfigKey();
  source.upstream_table = platform::UpstreamTable();
  source.gateway_table = "rattanramp_gateways";
  source.order_table = "rattanramp_orders";
  source.make_client = [&context, server = settings.table_service] {
    return platform::StoreClient::Create(context, server);
  };
  return source;
}

void ReloadSettings(const std::string& path, Gateway& gateway) {
  const Result<Settings> settings = ReadSettingsFile(path);
  if (!settings) {
    Log(LogLevel::kError, "settings_rejected",
        {{"error", settings.error().message}, {"remedy", settings.error().remedy}});
    return;
  }
  gateway.Reload(settings.value());
  Log(LogLevel::kInfo, "settings_reloaded");
}

class Program {
 public:
  Program(asio::io_context& context, Gateway& gateway, std::string settings_path)
      : context_(context),
        gateway_(gateway),
        settings_path_(std::move(settings_path)),
        signals_(context, SIGTERM, SIGINT, SIGHUP),
        flush_timer_(context) {
    WaitForSignal();
    FlushLog();
  }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](const std::error_code& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        ReloadSettings(settings_path_, gateway_);
      } else {
        Log(LogLevel::kInfo, "stopping", {{"signal", signal}});
        gateway_.Stop([this] { context_.stop(); });
      }
      WaitForSignal();
    });
  }

  void FlushLog() {
    FlushBufferedLog();
    flush_timer_.expires_after(kLogFlushInterval);
    flush_timer_.async_wait([this](const std::error_code& error) {
      if (!error) {
        FlushLog();
      }
    });
  }

  asio::io_context& context_;
  Gateway& gateway_;
  std::string settings_path_;
  asio::signal_set signals_;
  asio::steady_timer flush_timer_;
};

}  // namespace

int RunProgram(const ProgramOptions& options) {
  const Result<Settings> settings = ReadSettingsFile(options.settings_path);
  if (!settings) {
    std::cerr << settings.error().message << "; " << settings.error().remedy << "\n";
    return kExitInvalidSettings;
  }
  if (options.check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  const Result<void> logging = InitBufferedLogging(settings.value().node, options.log_level);
  if (!logging) {
    std::cerr << logging.error().message << "; " << logging.error().remedy << "\n";
    return kExitInvalidSettings;
  }
  FixLargeBlocks();
  // Without SIGPIPE, a write to a connection that the peer has closed returns an error instead of
  // ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  // The event loop runs on one thread, so no locks are needed.
  asio::io_context context(1);
  const SuspensionClock clock;
  Result<std::unique_ptr<Gateway>> gateway =
      Gateway::Create(context, clock, settings.value(), MakeSource(context, settings.value()));
  if (!gateway) {
    Log(LogLevel::kError, "cannot_start",
        {{"error", gateway.error().message}, {"remedy", gateway.error().remedy}});
    FlushBufferedLog();
    return kExitBindFailed;
  }
  Log(LogLevel::kInfo, "started",
      {{"failure_domain", settings.value().failure_domain},
       {"memory_limit_bytes", settings.value().memory_limit_bytes},
       {"max_descriptors", settings.value().max_descriptors},
       {"key_removal_ms", ToMs(settings.value().key_removal_limit.value_or(Duration::zero()))},
       {"limit_window_ms", ToMs(settings.value().limit_tolerance.window)},
       {"limit_overshoot", settings.value().limit_tolerance.overshoot},
       {"limit_slack", settings.value().limit_tolerance.slack}});
  Program program(context, *gateway.value(), options.settings_path);
  context.run();
  FlushBufferedLog();
  return 0;
}

}  // namespace rattanramp::gateway
