#include "ctl/settings_commands.h"

#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <fstream>
#include <sstream>
#include <utility>

#include "base/bounded_json.h"
#include "base/ids.h"
#include "ctl/table.h"
#include "settings/schema.h"

namespace rattanramp::ctl {
namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace);
}

Result<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return Error{ErrorKind::kNotFound, "cannot read " + file, "pass an existing, non-empty file"};
  }
  return text.str();
}

struct CurrentSettings {
  std::int64_t version = 0;
  settings::SettingsTree tree;
};

Result<CurrentSettings> FetchCurrentSettings(const OperatorClient& client) {
  BOOST_OUTCOME_TRY(response, client.Get("/settings"));
  if (!IsOk(response)) {
    return ErrorFromResponse(response);
  }
  const json body = response.body.is_object() ? response.body : json::object();
  const json version = body.value("version", json());
  if (!version.is_number_integer() || !body.contains("tree")) {
    return Error{ErrorKind::kProtocol, "GET /settings has no version and tree",
                 "pass the operator address of an entry with --entry"};
  }
  BOOST_OUTCOME_TRY(
      tree, settings::SettingsTree::FromJson(body["tree"], settings::TreeCheck::kReplicated));
  return CurrentSettings{version.get<std::int64_t>(), std::move(tree)};
}

ExitCode ExitCodeFor(const Error& error) {
  return error.kind == ErrorKind::kUnavailable ? kExitUnreachable : kExitRefused;
}

std::string TimeText(std::int64_t unix_ms) {
  constexpr std::int64_t kMsPerSecond = 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(unix_ms / kMsPerSecond)));
}

std::string OperationText(const json& operation) {
  const std::string key = CellText(operation.value("key", json()));
  std::string text =
      CellText(operation.value("op", json())) + " " + CellText(operation.value("path", json()));
  if (!key.empty()) {
    text += " " + key;
  }
  if (operation.contains("value")) {
    text += " " + CellText(operation["value"]);
  }
  return text;
}

void AddChange(const json& change, Table& table) {
  const json operations = change.value("operations", json::array());
  std::vector<std::string> cells = {CellText(change.value("version", json())),
                                    TimeText(change.value("at_unix_ms", std::int64_t{0})),
                                    CellText(change.value("author", json())),
                                    CellText(change.value("change_id", json()))};
  if (operations.empty()) {
    table.Add(cells);
  }
  for (const json& operation : operations) {
    cells.push_back(operation.is_object() ? OperationText(operation) : "");
    table.Add(cells);
    cells.assign(cells.size() - 1, "");
  }
}

Table ChangesTable() { return Table({"VERSION", "TIME", "AUTHOR", "CHANGE_ID", "OPERATION"}); }

/// Whether a path names the node at prefix or one below it.
bool IsAtOrBelow(const std::string& path, const std::string& prefix) {
  return prefix == "/" || path == prefix || path.starts_with(prefix + "/");
}

}  // namespace

ExitCode Fail(const Output& output, ExitCode code, const Error& error) {
  output.err << "error: " << error.message << "\n";
  if (!error.remedy.empty()) {
    output.err << "remedy: " << error.remedy << "\n";
  }
  return code;
}

ExitCode GetSettings(const OperatorClient& client, const std::string& path, const Output& output) {
  const Result<CurrentSettings> current = FetchCurrentSettings(client);
  if (!current) {
    return Fail(output, ExitCodeFor(current.error()), current.error());
  }
  const settings::SettingsTree& tree = current.value().tree;
  const std::vector<std::string> paths = tree.Paths();
  if (std::find(paths.begin(), paths.end(), path) == paths.end()) {
    const std::vector<std::string_view> names(paths.begin(), paths.end());
    return Fail(output, kExitRefused,
                {ErrorKind::kNotFound, "no settings node " + path,
                 "did you mean '" + std::string(settings::NearestName(path, names)) + "'?"});
  }
  if (output.json && path == "/") {
    output.out << Dump({{"version", current.value().version}, {"tree", tree.json()}}) << "\n";
    return kExitOk;
  }
  Table table({"PATH", "KEY", "VALUE"});
  json nodes = json::object();
  for (const std::string& node_path : paths) {
    if (!IsAtOrBelow(node_path, path)) {
      continue;
    }
    const json values = tree.ValuesAt(node_path);
    nodes[node_path] = values;
    for (const auto& [key, value] : values.items()) {
      table.Add({node_path, key, CellText(value)});
    }
    if (values.empty()) {
      table.Add({node_path, "-", "-"});
    }
  }
  if (output.json) {
    output.out << Dump({{"version", current.value().version}, {"nodes", nodes}}) << "\n";
    return kExitOk;
  }
  output.out << "version " << current.value().version << "\n";
  table.Print(output.out);
  return kExitOk;
}

ExitCode ChangeSettings(const OperatorClient& client,
                        const std::vector<settings::Operation>& operations,
                        const ChangeOptions& options, const Output& output) {
  std::int64_t expected_version = options.expected_version.value_or(0);
  if (!options.expected_version) {
    const Result<CurrentSettings> current = FetchCurrentSettings(client);
    if (!current) {
      return Fail(output, ExitCodeFor(current.error()), current.error());
    }
    expected_version = current.value().version;
  }
  const std::string change_id = options.change_id.empty() ? NewId("change") : options.change_id;
  // Printed before sending, because the operator needs it to repeat the change when this program is
  // interrupted.
  output.err << "change_id: " << change_id << "\n";
  const json change = {{"change_id", change_id},
                       {"author", options.author},
                       {"expected_version", expected_version},
                       {"repeat", !options.change_id.empty()},
                       {"operations", settings::ToJson(operations)}};
  const SendResult send_result = SendChange(client, change, options.send);
  if (output.json) {
    output.out << Dump(send_result.body) << "\n";
  }
  if (send_result.exit_code == kExitOk) {
    if (!output.json) {
      output.out << "accepted as version " << CellText(send_result.body.value("version", json()))
                 << (send_result.body.value("repeated", false) ? " by an earlier request" : "")
                 << "\n";
    }
    return kExitOk;
  }
  const json error =
      send_result.body.is_object() ? send_result.body.value("error", json()) : json();
  if (send_result.exit_code == kExitConflict && !output.json && error.is_object() &&
      error.value("winner", json()).is_object()) {
    Table table = ChangesTable();
    AddChange(error["winner"], table);
    output.out << "the change that was accepted first:\n";
    table.Print(output.out);
  }
  return Fail(output, send_result.exit_code, send_result.error);
}

ExitCode ApplyFile(const OperatorClient& client, const std::string& file, bool dry_run,
                   const ChangeOptions& options, const Output& output) {
  const Result<std::string> text = ReadFile(file);
  if (!text) {
    return Fail(output, kExitUsage, text.error());
  }
  const json content = ParseBoundedJson(text.value()).value_or(json());
  ChangeOptions with_version = options;
  std::vector<settings::Operation> operations;
  if (content.is_array()) {
    Result<std::vector<settings::Operation>> parsed = settings::ParseOperations(content);
    if (!parsed) {
      return Fail(output, kExitRefused, parsed.error());
    }
    operations = std::move(parsed.value());
  } else {
    const Result<settings::SettingsTree> target = settings::SettingsTree::Parse(text.value());
    if (!target) {
      return Fail(output, kExitRefused, target.error());
    }
    const Result<CurrentSettings> current = FetchCurrentSettings(client);
    if (!current) {
      return Fail(output, ExitCodeFor(current.error()), current.error());
    }
    operations = settings::Difference(current.value().tree, target.value());
    // The operations are valid only for the version from which the difference was computed.
    with_version.expected_version = options.expected_version.value_or(current.value().version);
  }
  if (operations.empty()) {
    output.out << (output.json ? "{\"operations\": []}\n" : "nothing to change\n");
    return kExitOk;
  }
  const json list = settings::ToJson(operations);
  if (dry_run && output.json) {
    output.out << Dump({{"operations", list}}) << "\n";
  }
  if (!output.json) {
    for (const json& operation : list) {
      output.out << OperationText(operation) << "\n";
    }
  }
  return dry_run ? kExitOk : ChangeSettings(client, operations, with_version, output);
}

ExitCode ValidateFile(const std::string& file, const Output& output) {
  const Result<std::string> text = ReadFile(file);
  if (!text) {
    return Fail(output, kExitUsage, text.error());
  }
  const Result<settings::SettingsTree> tree = settings::SettingsTree::Parse(text.value());
  if (output.json) {
    json result = {{"valid", tree.has_value()}};
    if (!tree) {
      result["error"] = {{"message", tree.error().message}, {"remedy", tree.error().remedy}};
    }
    output.out << Dump(result) << "\n";
  }
  if (!tree) {
    return Fail(output, kExitRefused, tree.error());
  }
  if (!output.json) {
    output.out << "valid: " << tree.value().Paths().size() << " nodes, "
               << tree.value().services().size() << " services\n";
  }
  return kExitOk;
}

ExitCode ExplainSettings(const OperatorClient& client, const std::string& service,
                         const std::string& failure_domain, const std::string& model,
                         const Output& output) {
  const Result<OperatorResponse> response =
      client.Get("/settings/explain",
                 {{"service", service}, {"failure_domain", failure_domain}, {"model", model}});
  if (!response) {
    return Fail(output, kExitUnreachable, response.error());
  }
  if (!IsOk(response.value()) || !response.value().body.is_object()) {
    return Fail(output, kExitRefused, ErrorFromResponse(response.value()));
  }
  const json& body = response.value().body;
  if (output.json) {
    output.out << Dump(body) << "\n";
    return kExitOk;
  }
  Table table({"KEY", "VALUE", "UNIT", "ORIGIN", "OVERRIDES"});
  for (const json& item : body.value("values", json::array())) {
    std::string overridden;
    for (const json& hidden : item.value("overridden", json::array())) {
      overridden += (overridden.empty() ? "" : ", ") + CellText(hidden.value("value", json())) +
                    " (" + CellText(hidden.value("origin", json())) + ")";
    }
    table.Add({CellText(item.value("key", json())), CellText(item.value("value", json())),
               CellText(item.value("unit", json())), CellText(item.value("origin", json())),
               overridden});
  }
  table.Print(output.out);
  if (body.contains("note")) {
    output.err << "note: " << CellText(body["note"]) << "\n";
  }
  return kExitOk;
}

ExitCode PrintHistory(const OperatorClient& client, int limit, const Output& output) {
  const Result<OperatorResponse> response =
      client.Get("/settings/history", {{"limit", std::to_string(limit)}});
  if (!response) {
    return Fail(output, kExitUnreachable, response.error());
  }
  if (!IsOk(response.value()) || !response.value().body.is_object()) {
    return Fail(output, kExitRefused, ErrorFromResponse(response.value()));
  }
  if (output.json) {
    output.out << Dump(response.value().body) << "\n";
    return kExitOk;
  }
  Table table = ChangesTable();
  for (const json& change : response.value().body.value("changes", json::array())) {
    if (change.is_object()) {
      AddChange(change, table);
    }
  }
  table.Print(output.out);
  return kExitOk;
}

ExitCode PrintKeys(bool markdown, const Output& output) {
  if (markdown) {
    output.out << settings::KeysAsMarkdown();
    return kExitOk;
  }
  const json defaults = settings::Settings();
  json list = json::array();
  Table table({"KEY", "UNIT", "DEFAULT", "ALLOWED"});
  for (const settings::KeySpec& spec : settings::Keys()) {
    const std::string key(spec.name);
    const std::string allowed = settings::AllowedValues(spec);
    table.Add({key, std::string(spec.unit), CellText(defaults[key]), allowed});
    list.push_back({{"key", key},
                    {"unit", spec.unit},
                    {"default", defaults[key]},
                    {"allowed", allowed},
                    {"description", spec.description}});
  }
  if (output.json) {
    output.out << Dump(list) << "\n";
  } else {
    table.Print(output.out);
  }
  return kExitOk;
}

json ParseValue(const std::string& key, const std::string& text) {
  const settings::KeySpec* spec = settings::FindKey(key);
  const std::optional<json> parsed = ParseBoundedJson(text);
  const bool expects_string = spec != nullptr && (spec->type == settings::ValueType::kString ||
                                                  spec->type == settings::ValueType::kChoice);
  if (!parsed || (expects_string && !parsed->is_string())) {
    return text;
  }
  return *parsed;
}

}  // namespace rattanramp::ctl
