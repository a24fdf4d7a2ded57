#include "standins/program.h"

#include <iostream>

namespace rattanramp::standins {

void StartProgram(std::string_view name, const std::string& listen) {
  BlockStopSignals();
  const std::string process_id = std::string(name) + "@" + listen;
  if (!InitLogging(process_id, "info")) {
    std::cerr << R"({"event":"cannot set up logging"})" << '\n';
  }
}

int ReportStartFailure(const Error& error) {
  Log(LogLevel::kError, "cannot start", {{"error", error.message}, {"remedy", error.remedy}});
  ShutdownLogging();
  return 1;
}

void WaitUntilStopped(int port) {
  Log(LogLevel::kInfo, "listening", {{"port", port}});
  while (WaitForStopSignal(std::chrono::hours(1)) == 0) {
  }
  Log(LogLevel::kInfo, "stopping");
}

}  // namespace rattanramp::standins
