// Child process of a test, ended when the object goes out of scope.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/clock.h"

namespace rattanramp::testing {

class ChildProcess {
 public:
  /// Starts the program with the arguments; output goes to the log file.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  /// SIGKILL and wait.
  void Kill();
  /// Exit code, -1 after the timeout, 128 + signal for a killed process.
  int Wait(Duration timeout);
  bool running();

 private:
  pid_t pid_ = -1;
  bool reaped_ = false;
  int exit_code_ = -1;
};

}  // namespace rattanramp::testing
