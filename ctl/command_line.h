// Command line of rattanramp-ctl.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rattanramp::ctl {

/// Runs one command; arguments are those after the program name. Returns an ExitCode.
int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace rattanramp::ctl
