#include "ctl/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <functional>

#include "ctl/completion.h"
#include "ctl/settings_commands.h"
#include "ctl/table.h"

namespace rattanramp::ctl {
namespace {

constexpr const char* kFooter =
    "Exit codes: 0 done, 1 refused (nothing was changed), 2 wrong usage, 3 conflict with another "
    "change,\n4 no process reached, 5 outcome unknown (repeat with the printed --change-id).";

/// Values of all options and arguments.
struct Arguments {
  std::vector<std::string> entries;
  double timeout_seconds = 10;
  bool json = false;
  std::string path;
  std::string key;
  std::string value;
  std::string file;
  std::string service;
  std::string failure_domain;
  std::string model;
  std::string upstream;
  int limit = 20;
  bool dry_run = false;
  bool markdown = false;
  std::int64_t expected_version = -1;
  ChangeOptions change;
};

using Command = std::function<ExitCode(const Arguments&, const Output&)>;
using ClientCommand =
    std::function<ExitCode(const OperatorClient&, const Arguments&, const Output&)>;

/// Command that sends requests to the operator port of a process.
Command WithClient(ClientCommand command) {
  return [command = std::move(command)](const Arguments& arguments, const Output& output) {
    constexpr double kMsPerSecond = 1000;
    const Milliseconds timeout(static_cast<std::int64_t>(arguments.timeout_seconds * kMsPerSecond));
    const Result<OperatorClient> client = OperatorClient::Create(arguments.entries, timeout);
    if (!client) {
      return Fail(output, kExitUsage, client.error());
    }
    return command(client.value(), arguments, output);
  };
}

ChangeOptions MakeChangeOptions(const Arguments& arguments) {
  ChangeOptions options = arguments.change;
  if (options.author.empty()) {
    const char* user = std::getenv("USER");
    options.author = user != nullptr && *user != '\0' ? user : "unknown";
  }
  if (arguments.expected_version >= 0) {
    options.expected_version = arguments.expected_version;
  }
  return options;
}

ExitCode DumpState(const OperatorClient& client, const Arguments&, const Output& output) {
  const Result<OperatorResponse> response = client.Get("/state");
  if (!response) {
    return Fail(output, kExitUnreachable, response.error());
  }
  if (!IsOk(response.value())) {
    return Fail(output, kExitRefused, ErrorFromResponse(response.value()));
  }
  output.out << response.value().text << "\n";
  return kExitOk;
}

ExitCode ListUpstreams(const OperatorClient& client, const Arguments&, const Output& output) {
  const Result<OperatorResponse> response = client.Get("/upstreams");
  if (!response) {
    return Fail(output, kExitUnreachable, response.error());
  }
  if (!IsOk(response.value())) {
    return Fail(output, kExitRefused, ErrorFromResponse(response.value()));
  }
  const nlohmann::json& body = response.value().body;
  const nlohmann::json list =
      body.is_object() ? body.value("upstreams", nlohmann::json::array()) : body;
  if (output.json || !list.is_array()) {
    output.out << response.value().text << "\n";
  } else if (list.empty()) {
    output.out << "no upstreams\n";
  } else {
    PrintObjects(list, output.out);
  }
  return kExitOk;
}

ExitCode DrainUpstream(const OperatorClient& client, const Arguments& arguments,
                       const Output& output) {
  if (arguments.upstream.find_first_of("/?#% ") != std::string::npos) {
    return Fail(output, kExitUsage,
                {ErrorKind::kInvalidArgument, "bad upstream id '" + arguments.upstream + "'",
                 "use an id from 'upstream list'"});
  }
  const std::string path = "/upstreams/" + arguments.upstream + "/drain";
  const Result<OperatorResponse> response = client.PostToAny(path, "{}");
  if (!response) {
    const bool sent = response.error().kind == ErrorKind::kReplyLost;
    return Fail(output, sent ? kExitUnknown : kExitUnreachable, response.error());
  }
  if (output.json) {
    output.out << response.value().text << "\n";
  }
  if (!IsOk(response.value())) {
    return Fail(output, kExitRefused, ErrorFromResponse(response.value()));
  }
  if (!output.json) {
    output.out << "draining " << arguments.upstream << "\n";
  }
  return kExitOk;
}

/// Defines all commands and options. Parsing stores the selected command in command_; Run executes
/// it.
class CommandTree {
 public:
  CommandTree() : app_("Operators' command of rattanramp.", "rattanramp-ctl") {
    app_.require_subcommand(1);
    app_.footer(kFooter);
    app_.add_option(
            "--entry,--target", arguments_.entries,
            "operator address HOST:PORT; may be repeated; addresses are tried in order. "
            "settings and upstream commands require an entry, state dump accepts any process")
        ->envname("RATTANRAMP_ENTRY")
        ->take_all()
        ->expected(1)
        ->type_name("HOST:PORT");
    app_.add_flag("--json", arguments_.json, "print JSON instead of tables");
    app_.add_option("--timeout", arguments_.timeout_seconds, "time limit for one response")
        ->check(CLI::Range(0.01, 600.0))
        ->type_name("SECONDS")
        ->capture_default_str();
    AddSettingsCommands();
    CLI::App* state = AddGroup(app_, "state", "State of a process");
    AddCommand(*state, "dump", "Print the state of a process as JSON", WithClient(DumpState));
    CLI::App* upstream = AddGroup(app_, "upstream", "List and drain the upstreams of an entry");
    AddCommand(*upstream, "list", "List upstreams", WithClient(ListUpstreams));
    CLI::App* drain = AddCommand(*upstream, "drain",
                                 "Drain an upstream: it refuses new work and finishes running work",
                                 WithClient(DrainUpstream));
    drain->add_option("id", arguments_.upstream, "id of the upstream's agent")
        ->required()
        ->type_name("ID");
    CLI::App* completion = AddGroup(app_, "completion", "Shell completion");
    AddCommand(*completion, "bash",
               "Print a completion script; use: source <(rattanramp-ctl completion bash)",
               [this](const Arguments&, const Output& output) {
                 output.out << BashCompletion(app_);
                 return kExitOk;
               });
  }

  int Run(std::vector<std::string> arguments, std::ostream& out, std::ostream& err) {
    std::reverse(arguments.begin(), arguments.end());
    try {
      app_.parse(std::move(arguments));
    } catch (const CLI::ParseError& error) {
      return app_.exit(error, out, err) == 0 ? kExitOk : kExitUsage;
    }
    return command_(arguments_, Output{out, err, arguments_.json});
  }

 private:
  static CLI::App* AddGroup(CLI::App& parent, const std::string& name, const std::string& text) {
    CLI::App* group = parent.add_subcommand(name, text);
    group->require_subcommand(1);
    group->fallthrough();
    return group;
  }

  CLI::App* AddCommand(CLI::App& parent, const std::string& name, const std::string& text,
                       Command command) {
    CLI::App* leaf = parent.add_subcommand(name, text);
    leaf->fallthrough();
    leaf->callback([this, command = std::move(command)] { command_ = command; });
    return leaf;
  }

  CLI::App* AddChangeCommand(CLI::App& parent, const std::string& name, const std::string& text,
                             ClientCommand command) {
    CLI::App* leaf = AddCommand(parent, name, text, WithClient(std::move(command)));
    leaf->add_option("--author", arguments_.change.author,
                     "author recorded with the change (default: $USER)");
    leaf->add_option("--change-id", arguments_.change.change_id,
                     "repeat an earlier change whose outcome is unknown");
    leaf->add_option("--expected-version", arguments_.expected_version,
                     "refuse unless the settings have this version (default: the current version)")
        ->check(CLI::NonNegativeNumber);
    return leaf;
  }

  void AddPath(CLI::App& command) {
    command.add_option("path", arguments_.path, "node, for example /services/verdicts")
        ->required()
        ->type_name("PATH");
  }

  void AddSettingsCommands() {
    CLI::App* group = AddGroup(app_, "settings", "Read and change settings");
    AddCommand(*group, "get", "Print the settings, or those of a node and the nodes below it",
               WithClient([](const OperatorClient& client, const Arguments& arguments,
                             const Output& output) {
                 return GetSettings(client, arguments.path.empty() ? "/" : arguments.path, output);
               }))
        ->add_option("path", arguments_.path, "node, for example /services/verdicts")
        ->type_name("PATH");
    CLI::App* set = AddChangeCommand(
        *group, "set", "Set a key of a node; the node is created when it does not exist",
        [](const OperatorClient& client, const Arguments& arguments, const Output& output) {
          const settings::Operation operation{arguments.path, arguments.key,
                                              ParseValue(arguments.key, arguments.value), false};
          return ChangeSettings(client, {operation}, MakeChangeOptions(arguments), output);
        });
    AddPath(*set);
    set->add_option("key", arguments_.key, "see 'settings keys'")->required()->type_name("KEY");
    set->add_option("value", arguments_.value, "JSON value, or text for keys that take text")
        ->required()
        ->type_name("VALUE");
    CLI::App* unset = AddChangeCommand(
        *group, "unset", "Unset a key, so that it is inherited again, or remove a node",
        [](const OperatorClient& client, const Arguments& arguments, const Output& output) {
          const settings::Operation operation{arguments.path, arguments.key, {}, true};
          return ChangeSettings(client, {operation}, MakeChangeOptions(arguments), output);
        });
    AddPath(*unset);
    unset->add_option("key", arguments_.key, "if omitted, the whole node is removed")
        ->type_name("KEY");
    CLI::App* apply = AddChangeCommand(
        *group, "apply",
        "Replace the settings with the tree in a file, or apply the array of operations in it, as "
        "one change",
        [](const OperatorClient& client, const Arguments& arguments, const Output& output) {
          return ApplyFile(client, arguments.file, arguments.dry_run, MakeChangeOptions(arguments),
                           output);
        });
    AddFile(*apply);
    apply->add_flag("--dry-run", arguments_.dry_run, "print the operations and change nothing");
    CLI::App* validate = AddCommand(
        *group, "validate", "Check a file with a settings tree without contacting a process",
        [](const Arguments& arguments, const Output& output) {
          return ValidateFile(arguments.file, output);
        });
    AddFile(*validate);
    CLI::App* explain = AddCommand(
        *group, "explain", "Print effective values, where they come from and what they override",
        WithClient(
            [](const OperatorClient& client, const Arguments& arguments, const Output& output) {
              return ExplainSettings(client, arguments.service, arguments.failure_domain,
                                     arguments.model, output);
            }));
    explain->add_option("--service", arguments_.service, "name of a service");
    explain->add_option("--failure-domain", arguments_.failure_domain, "name of a failure domain");
    explain->add_option("--model", arguments_.model, "name of a model");
    AddCommand(*group, "history", "Print the latest changes",
               WithClient([](const OperatorClient& client, const Arguments& arguments,
                             const Output& output) {
                 return PrintHistory(client, arguments.limit, output);
               }))
        ->add_option("--limit", arguments_.limit, "maximum number of changes to print")
        ->check(CLI::Range(1, 500))
        ->capture_default_str();
    AddCommand(*group, "keys", "Print all keys with unit, default and allowed values",
               [](const Arguments& arguments, const Output& output) {
                 return PrintKeys(arguments.markdown, output);
               })
        ->add_flag("--markdown", arguments_.markdown, "print a Markdown table");
  }

  void AddFile(CLI::App& command) {
    command.add_option("file", arguments_.file, "JSON file")->required()->type_name("FILE");
  }

  CLI::App app_;
  Arguments arguments_;
  Command command_;
};

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err) {
  return CommandTree().Run(arguments, out, err);
}

}  // namespace rattanramp::ctl
