// Bash completion of rattanramp-ctl.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace rattanramp::ctl {

/// Script that completes the subcommands and options of app. Use it with
/// `source <(rattanramp-ctl completion bash)`.
std::string BashCompletion(const CLI::App& app);

}  // namespace rattanramp::ctl
