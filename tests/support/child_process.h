// Child process of a test; the destructor kills it.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/clock.h"

namespace rattanramp::testing {

class ChildProcess {
 public:
  /// Starts the program with the arguments; stdout and stderr are appended to the log file.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  /// Sends SIGKILL and waits up to 10 s for the process to end.
  void Kill();
  /// Returns the exit code, 128 + signal number for a process ended by a signal, or -1 when the
  /// process still runs after the timeout.
  int Wait(Duration timeout);
  bool running();

 private:
  pid_t pid_ = -1;
  bool reaped_ = false;
  int exit_code_ = -1;
};

}  // namespace rattanramp::testing
