#include "ctl/completion.h"

#include <spdlog/fmt/fmt.h>

#include <vector>

namespace rattanramp::ctl {
namespace {

std::string OptionNames(const CLI::App& app) {
  std::string names;
  for (const CLI::Option* option : app.get_options()) {
    for (const std::string& name : option->get_lnames()) {
      names += " --" + name;
    }
  }
  return names;
}

/// Appends the case that lists the words allowed after path, then the cases of each subcommand.
void AppendCases(const CLI::App& app, const std::string& path, const std::string& global_options,
                 std::string& cases, std::vector<std::string>& names) {
  std::string words;
  for (const CLI::App* command : app.get_subcommands(nullptr)) {
    words += command->get_name() + " ";
    names.push_back(command->get_name());
  }
  cases += fmt::format("    \"{}\") words=\"{}{}{}\" ;;\n", path, words,
                       path.empty() ? "" : OptionNames(app), global_options);
  for (const CLI::App* command : app.get_subcommands(nullptr)) {
    AppendCases(*command, path + " " + command->get_name(), global_options, cases, names);
  }
}

}  // namespace

std::string BashCompletion(const CLI::App& app) {
  std::string cases;
  std::vector<std::string> names;
  AppendCases(app, "", OptionNames(app), cases, names);
  return fmt::format(
      "_rattanramp_ctl() {{\n"
      "  local words=\"\" path=\"\" i\n"
      "  for ((i = 1; i < COMP_CWORD; i++)); do\n"
      "    case \"${{COMP_WORDS[i]}}\" in\n"
      "      {}) path+=\" ${{COMP_WORDS[i]}}\" ;;\n"
      "    esac\n"
      "  done\n"
      "  case \"$path\" in\n{}"
      "  esac\n"
      "  COMPREPLY=($(compgen -W \"$words\" -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n"
      "}}\n"
      "complete -o default -F _rattanramp_ctl rattanramp-ctl\n",
      fmt::join(names, "|"), cases);
}

}  // namespace rattanramp::ctl
