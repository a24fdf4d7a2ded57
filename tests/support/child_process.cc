#include "tests/support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace rattanramp::testing {

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
                           const std::string& log_file) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = fork();
  if (pid_ == 0) {
    // The kernel kills the child when the test process ends, also when it crashes.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(program.c_str(), argv.data());
    _exit(127);
  }
  close(log);
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) const {
  if (!reaped_) {
    kill(pid_, signal);
  }
}

void ChildProcess::Kill() {
  if (reaped_) {
    return;
  }
  kill(pid_, SIGKILL);
  static_cast<void>(Wait(std::chrono::seconds(10)));
}

int ChildProcess::Wait(Duration timeout) {
  const TimePoint deadline = DefaultClock().now() + timeout;
  while (!reaped_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      reaped_ = true;
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (DefaultClock().now() > deadline) {
      return -1;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return exit_code_;
}

bool ChildProcess::running() { return Wait(Duration::zero()) == -1 && !reaped_; }

}  // namespace rattanramp::testing
