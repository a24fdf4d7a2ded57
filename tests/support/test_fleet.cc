#include "tests/support/test_fleet.h"

#include <httplib.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

#include "base/ids.h"
#include "tests/support/free_port.h"

namespace rattanramp::testing {
namespace {

using nlohmann::json;

constexpr Milliseconds kStartTimeout{20'000};

[[noreturn]] void FailSetup(const std::string& reason) {
  std::cerr << "test fleet: " << reason << "\n";
  std::abort();
}

std::string FreeAddress() { return "127.0.0.1:" + std::to_string(FreePort()); }

std::string BinDirectory() {
  const char* directory = std::getenv("RATTANRAMP_BIN");
  if (directory == nullptr) {
    FailSetup("RATTANRAMP_BIN is not set; run the test through ctest");
  }
  return directory;
}

}  // namespace

TestFleet::TestFleet(FleetSpec spec) : spec_(std::move(spec)) {
  directory_ = std::filesystem::temp_directory_path() / NewId("rattanramp-test");
  std::filesystem::create_directories(directory_);
  StartPlatform();
  for (std::size_t i = 0; i < spec_.engines.size(); ++i) {
    StartEngine(static_cast<int>(i), spec_.engines[i]);
  }
  for (std::size_t i = 0; i < spec_.services.size(); ++i) {
    StartService(static_cast<int>(i), spec_.services[i]);
  }
  StartEntries();
  PublishVms();
  WaitReady();
}

TestFleet::~TestFleet() {
  processes_.clear();
  if (std::getenv("RATTANRAMP_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

ChildProcess& TestFleet::process(const std::string& name) { return *processes_.at(name); }

void TestFleet::Restart(const std::string& name) {
  const Command& command = commands_.at(name);
  processes_[name] = std::make_unique<ChildProcess>(command.program, command.arguments,
                                                    directory_ + "/" + name + ".log");
}

void TestFleet::Spawn(const std::string& name, const std::string& program,
                      const std::vector<std::string>& arguments) {
  commands_[name] = {BinDirectory() + "/" + program, arguments};
  Restart(name);
}

void TestFleet::SpawnWithConfig(const std::string& name, const std::string& program,
                                const json& boot) {
  const std::string path = directory_ + "/" + name + ".json";
  std::ofstream(path) << boot.dump(2);
  Spawn(name, program, {"--config", path});
}

void TestFleet::StartPlatform() {
  const std::string address = FreeAddress();
  platform_url_ = "http://" + address;
  Spawn("platform", "standin-platform", {"--listen", address});
  if (!WaitUntil([this] { return GetJson(platform_url_, "/vms").is_object(); }, kStartTimeout)) {
    FailSetup("stand-in platform did not answer GET /vms within 20 s");
  }
  const json head = {{"version", 1}};
  const json snapshot = {{"version", 1}, {"tree", spec_.settings}};
  const json change = {{"version", 1},
                       {"change_id", "initial"},
                       {"author", "test"},
                       {"at_unix_ms", 0},
                       {"operations", json::array()}};
  const json body = {
      {"conditions", json::array({{{"key", "settings/head"}, {"version", 0}}})},
      {"writes", json::array({{{"key", "settings/head"}, {"value", head.dump()}},
                              {{"key", "settings/snapshot"}, {"value", snapshot.dump()}},
                              {{"key", "settings/log/1"}, {"value", change.dump()}}})}};
  if (PostJson(platform_url_, "/table/transactions", body).first != 200) {
    FailSetup("platform rejected the initial settings");
  }
}

void TestFleet::StartEngine(int index, const EngineSpec& engine) {
  const std::string name = "engine-" + std::to_string(index);
  const std::string address = FreeAddress();
  std::vector<std::string> arguments = {"--listen",  address,   "--role",
                                        engine.role, "--model", kTestModel};
  arguments.insert(arguments.end(), engine.arguments.begin(), engine.arguments.end());
  Spawn(name, "standin-engine", arguments);
  upstreams_[name] = "http://" + address;
  engine_names_.push_back(name);
  StartAgent("agent-" + name, index,
             {{"url", upstreams_[name]},
              {"kind", "engine"},
              {"model", kTestModel},
              {"role", engine.role}});
}

void TestFleet::StartService(int index, const std::string& service) {
  const std::string name = "service-" + std::to_string(index);
  const std::string address = FreeAddress();
  Spawn(name, "standin-service", {"--listen", address});
  upstreams_[name] = "http://" + address;
  service_names_.push_back(name);
  StartAgent("agent-" + name, index,
             {{"url", upstreams_[name]}, {"kind", "service"}, {"service", service}});
}

void TestFleet::StartAgent(const std::string& name, int index, const json& upstream) {
  const std::string link = FreeAddress();
  const std::string operator_address = FreeAddress();
  const std::string domain = "fd-" + std::to_string(index % 3);
  SpawnWithConfig(
      name, "rattanramp-agent",
      {{"id", name},
       {"failure_domain", domain},
       {"region", "region-1"},
       {"listen", {{"link", link}, {"operator", operator_address}, {"lock", FreeAddress()}}},
       {"platform_url", platform_url_},
       {"upstream", upstream}});
  operators_[name] = "http://" + operator_address;
  vms_.push_back({{"id", name},
                  {"role", "agent"},
                  {"link_address", link},
                  {"failure_domain", domain},
                  {"region", "region-1"},
                  {"state", "live"}});
}

void TestFleet::StartEntries() {
  std::vector<std::string> links;
  for (int i = 0; i < spec_.entries; ++i) {
    links.push_back(FreeAddress());
  }
  for (int i = 0; i < spec_.entries; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    const std::string domain = "fd-" + std::to_string(i % 3);
    const std::string caller = FreeAddress();
    const std::string operator_address = FreeAddress();
    json peers = json::array();
    for (const std::string& link : links) {
      if (link != links[i]) {
        peers.push_back(link);
      }
    }
    SpawnWithConfig(
        name, "rattanramp-entry",
        {{"id", name},
         {"failure_domain", domain},
         {"region", "region-1"},
         {"listen", {{"caller", caller}, {"operator", operator_address}, {"link", links[i]}}},
         {"platform_url", platform_url_},
         {"peers", peers}});
    callers_.push_back(caller);
    operators_[name] = "http://" + operator_address;
    vms_.push_back({{"id", name},
                    {"role", "entry"},
                    {"link_address", links[i]},
                    {"failure_domain", domain},
                    {"region", "region-1"},
                    {"state", "live"}});
  }
}

void TestFleet::PublishVms() const {
  httplib::Client client(platform_url_);
  const json body = {{"vms", vms_}};
  const httplib::Result result = client.Put("/vms", body.dump(), "application/json");
  if (!result || result->status != 200) {
    FailSetup("platform rejected the VM list");
  }
}

void TestFleet::WaitReady() const {
  const std::size_t agents = spec_.engines.size() + spec_.services.size();
  const auto all_linked = [this, agents] {
    for (int i = 0; i < spec_.entries; ++i) {
      const json list = GetJson(operators_.at("entry-" + std::to_string(i)), "/state");
      std::size_t ready = 0;
      for (const json& item :
           list.is_object() ? list.value("fleet", json::array()) : json::array()) {
        ready += item.value("ready", false) ? 1 : 0;
      }
      if (ready != agents) {
        return false;
      }
    }
    return true;
  };
  if (!WaitUntil(all_linked, kStartTimeout)) {
    FailSetup("an entry lacked ready links to some agents after 20 s; logs are in " + directory_);
  }
}

std::int64_t TestFleet::HeldPieces() const {
  std::int64_t held = 0;
  for (const std::string& name : engine_names_) {
    const json engine_state = GetJson(upstreams_.at(name), "/v1/truth");
    held += engine_state.is_object() ? engine_state.value("held_pieces", std::int64_t{0}) : 0;
  }
  return held;
}

std::int64_t TestFleet::RunsOf(const std::string& key) const {
  std::int64_t runs = 0;
  for (const std::string& name : service_names_) {
    const json counts = GetJson(upstreams_.at(name), "/counts");
    for (const json& run :
         counts.is_object() ? counts.value("runs", json::array()) : json::array()) {
      runs += run.value("key", "") == key ? run.value("count", std::int64_t{0}) : 0;
    }
  }
  return runs;
}

void TestFleet::SetPlatformFault(const std::string& mode) const {
  if (PostJson(platform_url_, "/faults", {{"mode", mode}, {"slow_ms", 1000}}).first != 200) {
    FailSetup("platform rejected the fault setting");
  }
}

void TestFleet::SetVmState(const std::string& id, const std::string& state) {
  for (json& vm : vms_) {
    if (vm["id"] == id) {
      vm["state"] = state;
    }
  }
  PublishVms();
}

json GetJson(const std::string& url, const std::string& path) {
  httplib::Client client(url);
  client.set_read_timeout(2, 0);
  const httplib::Result result = client.Get(path);
  if (!result || result->status != 200) {
    return json();
  }
  json body = json::parse(result->body, nullptr, false);
  return body.is_discarded() ? json() : body;
}

std::pair<int, json> PostJson(const std::string& url, const std::string& path, const json& body) {
  httplib::Client client(url);
  client.set_read_timeout(20, 0);
  const httplib::Result result = client.Post(path, body.dump(), "application/json");
  if (!result) {
    return {0, json()};
  }
  json answer = json::parse(result->body, nullptr, false);
  return {result->status, answer.is_discarded() ? json() : answer};
}

bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const TimePoint deadline = DefaultClock().now() + limit;
  while (DefaultClock().now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return condition();
}

StreamedAnswer StreamCompletion(const std::string& caller, const std::string& service,
                                const std::string& prompt, int tokens,
                                const std::function<bool(const std::string& text)>& on_text) {
  StreamedAnswer answer;
  httplib::Client client("http://" + caller);
  client.set_read_timeout(60, 0);
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.set_header("Content-Type", "application/json");
  request.body = json({{"model", kTestModel},
                       {"service", service},
                       {"prompt", prompt},
                       {"max_tokens", tokens},
                       {"stream", true}})
                     .dump();
  std::string buffer;
  request.response_handler = [&answer](const httplib::Response& response) {
    answer.status = response.status;
    return true;
  };
  const auto read_error = [&answer](const json& body) {
    const json error = body.is_object() ? body.value("error", json::object()) : json::object();
    answer.error_kind = error.value("kind", "unreadable");
    answer.outcome = error.value("outcome", "");
  };
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    buffer.append(data, size);
    for (std::size_t end = buffer.find("\n\n"); end != std::string::npos;
         end = buffer.find("\n\n")) {
      const std::string event = buffer.substr(0, end);
      buffer.erase(0, end + 2);
      const std::size_t start = event.find("data: ");
      if (start == std::string::npos) {
        continue;
      }
      const std::string payload = event.substr(start + 6);
      if (payload == "[DONE]") {
        answer.done = true;
        continue;
      }
      const json body = json::parse(payload, nullptr, false);
      if (body.is_object() && body.contains("error")) {
        read_error(body);
        continue;
      }
      answer.text += body.is_object() ? body.value("/choices/0/text"_json_pointer, "") : "";
      if (!on_text(answer.text)) {
        return false;
      }
    }
    return true;
  };
  const httplib::Result result = client.send(request);
  if (answer.status != 200 && !buffer.empty()) {
    read_error(json::parse(buffer, nullptr, false));
  }
  if (!result && answer.error_kind.empty()) {
    answer.error_kind = "connection";
  }
  return answer;
}

}  // namespace rattanramp::testing
