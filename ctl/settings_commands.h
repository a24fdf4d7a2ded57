// The commands below `rattanramp-ctl settings`.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/change_sender.h"
#include "ctl/exit_code.h"
#include "ctl/operator_client.h"
#include "settings/settings_tree.h"

namespace rattanramp::ctl {

struct Output {
  std::ostream& out;
  std::ostream& err;
  /// Print JSON instead of tables.
  bool json = false;
};

/// What all changing commands have in common.
struct ChangeOptions {
  std::string author;
  /// Empty: a new one is made. Otherwise the change counts as a repeat.
  std::string change_id;
  /// Empty: the present version of the entry.
  std::optional<std::int64_t> expected_version;
  SendOptions send;
};

/// Prints message and remedy and returns the code.
ExitCode Fail(const Output& output, ExitCode code, const Error& error);

/// Prints the tree, or the node at path and those below it.
ExitCode GetSettings(const OperatorClient& client, const std::string& path, const Output& output);

ExitCode ChangeSettings(const OperatorClient& client,
                        const std::vector<settings::Operation>& operations,
                        const ChangeOptions& options, const Output& output);

/// file holds a tree, to which the settings are brought, or an array of operations.
ExitCode ApplyFile(const OperatorClient& client, const std::string& file, bool dry_run,
                   const ChangeOptions& options, const Output& output);

/// Checks a file with a tree; needs no process.
ExitCode ValidateFile(const std::string& file, const Output& output);

ExitCode ExplainSettings(const OperatorClient& client, const std::string& service,
                         const std::string& failure_domain, const std::string& model,
                         const Output& output);

ExitCode PrintHistory(const OperatorClient& client, int limit, const Output& output);

ExitCode PrintKeys(bool markdown, const Output& output);

/// Value of a key given as text: JSON, or plain text for keys that take text.
nlohmann::json ParseValue(const std::string& key, const std::string& text);

}  // namespace rattanramp::ctl
