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

/// Options of all commands that change settings.
struct ChangeOptions {
  std::string author;
  /// Empty: a new id is generated. Otherwise the change is sent as a repeat of the one with this
  /// id.
  std::string change_id;
  /// Empty: the current version of the entry.
  std::optional<std::int64_t> expected_version;
  SendOptions send;
};

/// Prints the message and remedy of the error and returns code.
ExitCode Fail(const Output& output, ExitCode code, const Error& error);

/// Prints the tree, or the node at path and those below it.
ExitCode GetSettings(const OperatorClient& client, const std::string& path, const Output& output);

ExitCode ChangeSettings(const OperatorClient& client,
                        const std::vector<settings::Operation>& operations,
                        const ChangeOptions& options, const Output& output);

/// Applies a file as one change. The file holds either the target tree or an array of operations.
ExitCode ApplyFile(const OperatorClient& client, const std::string& file, bool dry_run,
                   const ChangeOptions& options, const Output& output);

/// Checks a file that holds a tree, without sending a request.
ExitCode ValidateFile(const std::string& file, const Output& output);

ExitCode ExplainSettings(const OperatorClient& client, const std::string& service,
                         const std::string& failure_domain, const std::string& model,
                         const Output& output);

ExitCode PrintHistory(const OperatorClient& client, int limit, const Output& output);

ExitCode PrintKeys(bool markdown, const Output& output);

/// Value of a key given as text: parsed as JSON, or the text itself when it is not JSON or when the
/// key takes a string and the JSON value is not one.
nlohmann::json ParseValue(const std::string& key, const std::string& text);

}  // namespace rattanramp::ctl
