// Starts a small fleet of real processes on loopback for failure tests.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "tests/support/child_process.h"

namespace rattanramp::testing {

struct EngineSpec {
  std::string role;
  std::vector<std::string> arguments;
};

struct FleetSpec {
  int entries = 2;
  std::vector<EngineSpec> engines;
  /// Names of plain services; one stand-in and one agent are started for each element.
  std::vector<std::string> services;
  nlohmann::json settings;
};

/// Name of the model that all test engines serve.
inline constexpr const char* kTestModel = "test-model";

class TestFleet {
 public:
  /// Starts all processes and waits until every entry has a ready link to every agent. Aborts the
  /// test when the links are not ready within 20 s.
  explicit TestFleet(FleetSpec spec);
  /// Stops all processes. Removes their logs unless RATTANRAMP_KEEP_LOGS is set.
  ~TestFleet();
  TestFleet(const TestFleet&) = delete;
  TestFleet& operator=(const TestFleet&) = delete;

  ChildProcess& process(const std::string& name);
  /// Starts a process again with the same arguments.
  void Restart(const std::string& name);

  /// "host:port" of the caller interface of entry number index.
  const std::string& caller(int index) const { return callers_.at(index); }
  /// Operator address of a process, "http://host:port".
  const std::string& operator_url(const std::string& name) const { return operators_.at(name); }
  const std::string& upstream_url(const std::string& name) const { return upstreams_.at(name); }
  const std::string& platform_url() const { return platform_url_; }

  /// Sum of held_pieces over all engines that answer; other engines count as zero.
  std::int64_t HeldPieces() const;
  /// Number of runs of an idempotency key, summed over all services.
  std::int64_t RunsOf(const std::string& key) const;

  void SetPlatformFault(const std::string& mode) const;
  /// Replaces the state of a VM in the platform's VM list.
  void SetVmState(const std::string& id, const std::string& state);

 private:
  struct Command {
    std::string program;
    std::vector<std::string> arguments;
  };

  void Spawn(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);
  void SpawnWithConfig(const std::string& name, const std::string& program,
                       const nlohmann::json& boot);
  void StartPlatform();
  void StartEngine(int index, const EngineSpec& engine);
  void StartService(int index, const std::string& service);
  void StartAgent(const std::string& name, int index, const nlohmann::json& upstream);
  void StartEntries();
  void PublishVms() const;
  void WaitReady() const;

  FleetSpec spec_;
  std::string directory_;
  std::string platform_url_;
  std::map<std::string, Command> commands_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  std::vector<std::string> callers_;
  std::map<std::string, std::string> operators_;
  std::map<std::string, std::string> upstreams_;
  std::vector<std::string> engine_names_;
  std::vector<std::string> service_names_;
  nlohmann::json vms_ = nlohmann::json::array();
};

/// Returns the JSON body of a GET, or null unless the status is 200 and the body is JSON.
nlohmann::json GetJson(const std::string& url, const std::string& path);
/// Returns status and JSON body of a POST; status 0 when no HTTP answer arrived.
std::pair<int, nlohmann::json> PostJson(const std::string& url, const std::string& path,
                                        const nlohmann::json& body);

/// Polls the condition until it holds or the limit has passed; returns whether it holds.
bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit);

/// Answer to a streamed completion as the caller received it.
struct StreamedAnswer {
  int status = 0;
  std::string text;
  bool done = false;
  std::string error_kind;
  std::string outcome;
};

/// Sends a streamed completion. on_text is called with all text so far after each text event; the
/// caller closes the connection when it returns false.
StreamedAnswer StreamCompletion(
    const std::string& caller, const std::string& service, const std::string& prompt, int tokens,
    const std::function<bool(const std::string& text)>& on_text = [](const std::string&) {
      return true;
    });

}  // namespace rattanramp::testing
