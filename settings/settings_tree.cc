#include "settings/settings_tree.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <utility>

#include "base/bounded_json.h"
#include "settings/rules.h"
#include "settings/schema.h"
#include "settings/settings_path.h"

namespace rattanramp::settings {
namespace {

using nlohmann::json;

struct MatchedNode {
  std::string path;
  const json* node;
};

const json* FindChild(const json& node, std::string_view kind, std::string_view name) {
  if (name.empty()) {
    return nullptr;
  }
  const json::const_iterator children = node.find(std::string(kind));
  if (children == node.end()) {
    return nullptr;
  }
  const json::const_iterator child = children->find(std::string(name));
  return child == children->end() ? nullptr : &*child;
}

/// Nodes from which Resolve takes values, the root first.
std::vector<MatchedNode> FindMatchingNodes(const json& root, std::string_view service,
                                           std::string_view failure_domain,
                                           std::string_view model) {
  const std::array<std::string_view, 3> names = {service, failure_domain, model};
  std::vector<MatchedNode> matches = {{"/", &root}};
  for (bool descended = true; descended;) {
    descended = false;
    const MatchedNode current = matches.back();
    for (std::size_t i = 0; i < kChildKinds.size() && !descended; ++i) {
      const json* child = FindChild(*current.node, kChildKinds[i], names[i]);
      if (child != nullptr) {
        matches.push_back({JoinPath(current.path, kChildKinds[i], names[i]), child});
        descended = true;
      }
    }
  }
  return matches;
}

/// Calls visit(path, node) for a node and all nodes below it, parents first.
template <typename Visitor>
void ForEachNode(const json& node, const std::string& path, const Visitor& visit) {
  visit(path, node);
  for (const std::string_view kind : kChildKinds) {
    const json::const_iterator children = node.find(std::string(kind));
    if (children == node.end()) {
      continue;
    }
    for (const auto& [name, child] : children->items()) {
      ForEachNode(child, JoinPath(path, kind, name), visit);
    }
  }
}

/// Path of a node and the values that it inherits.
struct NodeContext {
  std::string path;
  /// Merged values of all ancestors.
  json inherited = json::object();
  /// Kind of each step of the path.
  std::vector<std::string> kinds;
};

Result<void> CheckNode(const json& node, const NodeContext& context, TreeCheck check);

Result<void> CheckValues(const json& values, const NodeContext& context, TreeCheck check) {
  for (const auto& [key, value] : values.items()) {
    const bool known = FindKey(key) != nullptr;
    if (check == TreeCheck::kFull || (known && !HasKeyType(key, value))) {
      BOOST_OUTCOME_TRYV(CheckValue(context.path, key, value));
    }
  }
  return Success();
}

Result<void> CheckChildren(const std::string& kind, const json& children,
                           const NodeContext& context, TreeCheck check) {
  if (std::find(context.kinds.begin(), context.kinds.end(), kind) != context.kinds.end()) {
    return Error{
        ErrorKind::kInvalidArgument,
        fmt::format("{}: '{}' is used again below a node of the same kind", context.path, kind),
        "use each kind at most once in a path"};
  }
  for (const auto& [name, child] : children.items()) {
    if (name.empty()) {
      return Error{ErrorKind::kInvalidArgument,
                   fmt::format("{}: a name in '{}' is empty", context.path, kind),
                   "give the node a name"};
    }
    NodeContext child_context = context;
    child_context.path = JoinPath(context.path, kind, name);
    child_context.kinds.push_back(kind);
    BOOST_OUTCOME_TRYV(CheckNode(child, child_context, check));
  }
  return Success();
}

Result<void> CheckNode(const json& node, const NodeContext& context, TreeCheck check) {
  if (!node.is_object()) {
    return Error{ErrorKind::kInvalidArgument, context.path + ": a node must be an object",
                 "write {\"values\": {...}}"};
  }
  for (const auto& [member, content] : node.items()) {
    const bool known = member == "values" || IsChildKind(member);
    if (!known && check == TreeCheck::kReplicated) {
      continue;
    }
    if (!known) {
      constexpr std::array<std::string_view, 4> kMembers = {"values", "services", "failure_domains",
                                                            "models"};
      const std::string remedy =
          FindKey(member) != nullptr
              ? fmt::format("write the key into \"values\" of {}", context.path)
              : fmt::format("did you mean '{}'?", NearestName(member, kMembers));
      return Error{ErrorKind::kInvalidArgument,
                   fmt::format("{}: unknown member '{}'", context.path, member), remedy};
    }
    if (!content.is_object()) {
      return Error{ErrorKind::kInvalidArgument,
                   fmt::format("{}: '{}' must be an object", context.path, member),
                   fmt::format("write \"{}\": {{...}}", member)};
    }
  }
  NodeContext child_context = context;
  if (node.contains("values")) {
    BOOST_OUTCOME_TRYV(CheckValues(node["values"], context, check));
    child_context.inherited.update(node["values"]);
  }
  if (check == TreeCheck::kFull) {
    const bool is_service =
        std::find(context.kinds.begin(), context.kinds.end(), "services") != context.kinds.end();
    BOOST_OUTCOME_TRYV(
        CheckRules(context.path, child_context.inherited.get<Settings>(), is_service));
  }
  for (const std::string_view kind : kChildKinds) {
    const std::string member(kind);
    if (node.contains(member)) {
      BOOST_OUTCOME_TRYV(CheckChildren(member, node[member], child_context, check));
    }
  }
  return Success();
}

/// Removes empty member objects, so that equal settings have equal trees. Empty nodes are kept,
/// because a service may exist without values.
void Normalise(json& node) {
  for (const std::string_view kind : kChildKinds) {
    const json::iterator children = node.find(std::string(kind));
    if (children == node.end()) {
      continue;
    }
    for (json& child : *children) {
      Normalise(child);
    }
    if (children->empty()) {
      node.erase(children);
    }
  }
  const json::iterator values = node.find("values");
  if (values != node.end() && values->empty()) {
    node.erase(values);
  }
}

std::string NearestPath(const json& root, const std::string& path) {
  std::vector<std::string> paths;
  ForEachNode(root, "/", [&paths](const std::string& found, const json&) {
    if (found != "/") {
      paths.push_back(found);
    }
  });
  if (paths.empty()) {
    return "the tree has no nodes below /";
  }
  const std::vector<std::string_view> views(paths.begin(), paths.end());
  return fmt::format("did you mean '{}'?", NearestName(path, views));
}

Result<void> ApplyUnset(json& root, const std::vector<PathStep>& steps,
                        const Operation& operation) {
  if (steps.empty() && operation.key.empty()) {
    return Error{ErrorKind::kInvalidArgument, "the root node cannot be removed",
                 "name a key or a node below the root"};
  }
  json* node = &root;
  for (const PathStep& step : steps) {
    if (FindChild(*node, step.kind, step.name) == nullptr) {
      return Error{ErrorKind::kNotFound, "no settings node " + operation.path,
                   NearestPath(root, operation.path)};
    }
    if (operation.key.empty() && &step == &steps.back()) {
      (*node)[step.kind].erase(step.name);
      return Success();
    }
    node = &(*node)[step.kind][step.name];
  }
  if (node->contains("values") && (*node)["values"].erase(operation.key) > 0) {
    return Success();
  }
  const std::string remedy = FindKey(operation.key) != nullptr
                                 ? "use 'settings explain' to see which node sets it"
                                 : fmt::format("did you mean '{}'?", NearestKey(operation.key));
  return Error{ErrorKind::kNotFound,
               fmt::format("'{}' is not set at {}", operation.key, operation.path), remedy};
}

void ApplySet(json& root, const std::vector<PathStep>& steps, const Operation& operation) {
  json* node = &root;
  for (const PathStep& step : steps) {
    node = &(*node)[step.kind][step.name];
    if (node->is_null()) {
      *node = json::object();
    }
  }
  if (!operation.key.empty()) {
    (*node)["values"][operation.key] = operation.value;
  }
}

/// Appends the operations that transform the node at path from its form in `from` to its form in
/// `to`. The node exists in both trees.
void AppendDifference(const json& from, const json& to, const std::string& path,
                      std::vector<Operation>& operations) {
  const json empty_object = json::object();
  const json& old_values = from.contains("values") ? from["values"] : empty_object;
  const json& new_values = to.contains("values") ? to["values"] : empty_object;
  for (const auto& [key, value] : old_values.items()) {
    if (!new_values.contains(key)) {
      operations.push_back({path, key, json(), true});
    }
  }
  for (const auto& [key, value] : new_values.items()) {
    if (!old_values.contains(key) || old_values[key] != value) {
      operations.push_back({path, key, value, false});
    }
  }
  for (const std::string_view kind : kChildKinds) {
    const std::string member(kind);
    const json& old_children = from.contains(member) ? from[member] : empty_object;
    const json& new_children = to.contains(member) ? to[member] : empty_object;
    for (const auto& [name, child] : old_children.items()) {
      if (!new_children.contains(name)) {
        operations.push_back({JoinPath(path, kind, name), "", json(), true});
      }
    }
    for (const auto& [name, child] : new_children.items()) {
      const std::string child_path = JoinPath(path, kind, name);
      const bool existed = old_children.contains(name);
      if (!existed) {
        operations.push_back({child_path, "", json(), false});
      }
      AppendDifference(existed ? old_children[name] : empty_object, child, child_path, operations);
    }
  }
}

Result<Operation> ParseOperation(const json& item, std::size_t index) {
  const auto malformed = [index](const std::string& problem) {
    return Error{ErrorKind::kInvalidArgument, fmt::format("operation {}: {}", index + 1, problem),
                 "write {\"op\":\"set\"|\"unset\",\"path\",\"key\",\"value\"}"};
  };
  if (!item.is_object()) {
    return malformed("it is not an object");
  }
  constexpr std::array<std::string_view, 4> kMembers = {"op", "path", "key", "value"};
  for (const auto& [member, value] : item.items()) {
    if (std::find(kMembers.begin(), kMembers.end(), member) == kMembers.end()) {
      return malformed(fmt::format("unknown member '{}'; did you mean '{}'?", member,
                                   NearestName(member, kMembers)));
    }
  }
  const json op = item.value("op", json());
  if (op != "set" && op != "unset") {
    return malformed("'op' must be set or unset");
  }
  const json path = item.value("path", json());
  if (!path.is_string()) {
    return malformed("'path' must be a string");
  }
  const json key = item.value("key", json(""));
  if (!key.is_string()) {
    return malformed("'key' must be a string");
  }
  const bool is_unset = op == "unset";
  const bool has_key = !key.get_ref<const std::string&>().empty();
  if (!is_unset && has_key && !item.contains("value")) {
    return malformed("'value' is missing");
  }
  if (!is_unset && !has_key && item.contains("value") && !item["value"].is_null()) {
    return malformed("'value' needs a 'key'");
  }
  return Operation{path, key, item.value("value", json()), is_unset};
}

}  // namespace

Result<SettingsTree> SettingsTree::Parse(std::string_view text, TreeCheck check) {
  std::optional<nlohmann::json> root = ParseBoundedJson(text);
  if (!root) {
    return Error{ErrorKind::kInvalidArgument,
                 "settings are not valid JSON, or nest deeper than 64 levels",
                 "check the text with a JSON validator"};
  }
  return FromJson(std::move(*root), check);
}

Result<SettingsTree> SettingsTree::FromJson(nlohmann::json root, TreeCheck check) {
  BOOST_OUTCOME_TRYV(CheckNode(root, {"/", nlohmann::json::object(), {}}, check));
  Normalise(root);
  SettingsTree tree;
  tree.root_ = std::move(root);
  return tree;
}

Settings SettingsTree::Resolve(std::string_view service, std::string_view failure_domain,
                               std::string_view model) const {
  nlohmann::json merged = nlohmann::json::object();
  for (const MatchedNode& match : FindMatchingNodes(root_, service, failure_domain, model)) {
    if (match.node->contains("values")) {
      merged.update((*match.node)["values"]);
    }
  }
  return merged.get<Settings>();
}

std::vector<Explanation> SettingsTree::Explain(std::string_view service,
                                               std::string_view failure_domain,
                                               std::string_view model) const {
  const nlohmann::json defaults = Settings();
  const std::vector<MatchedNode> matches = FindMatchingNodes(root_, service, failure_domain, model);
  std::vector<Explanation> explanations;
  for (const KeySpec& spec : Keys()) {
    const std::string key(spec.name);
    Explanation explanation{key, defaults.at(key), "default", {}};
    for (const MatchedNode& match : matches) {
      if (match.node->contains("values") && (*match.node)["values"].contains(key)) {
        explanation.overridden.insert(explanation.overridden.begin(),
                                      {explanation.origin, explanation.value});
        explanation.value = (*match.node)["values"][key];
        explanation.origin = match.path;
      }
    }
    explanations.push_back(std::move(explanation));
  }
  return explanations;
}

std::vector<std::string> SettingsTree::ResolvedPaths(std::string_view service,
                                                     std::string_view failure_domain,
                                                     std::string_view model) const {
  std::vector<std::string> paths;
  for (const MatchedNode& match : FindMatchingNodes(root_, service, failure_domain, model)) {
    paths.push_back(match.path);
  }
  return paths;
}

std::vector<std::string> SettingsTree::services() const {
  std::vector<std::string> names;
  if (root_.contains("services")) {
    for (const auto& [name, node] : root_["services"].items()) {
      names.push_back(name);
    }
  }
  return names;
}

bool SettingsTree::has_service(std::string_view name) const {
  return FindChild(root_, "services", name) != nullptr;
}

std::vector<std::string> SettingsTree::Paths() const {
  std::vector<std::string> paths;
  ForEachNode(root_, "/",
              [&paths](const std::string& path, const nlohmann::json&) { paths.push_back(path); });
  return paths;
}

nlohmann::json SettingsTree::ValuesAt(const std::string& path) const {
  const Result<std::vector<PathStep>> steps = SplitPath(path);
  if (!steps) {
    return nlohmann::json::object();
  }
  const nlohmann::json* node = &root_;
  for (const PathStep& step : steps.value()) {
    node = FindChild(*node, step.kind, step.name);
    if (node == nullptr) {
      return nlohmann::json::object();
    }
  }
  return node->value("values", nlohmann::json::object());
}

Result<SettingsTree> SettingsTree::Apply(const std::vector<Operation>& operations,
                                         TreeCheck check) const {
  nlohmann::json root = root_;
  for (const Operation& operation : operations) {
    BOOST_OUTCOME_TRY(steps, SplitPath(operation.path));
    if (operation.unset) {
      BOOST_OUTCOME_TRYV(ApplyUnset(root, steps, operation));
    } else {
      ApplySet(root, steps, operation);
    }
  }
  return FromJson(std::move(root), check);
}

std::vector<Operation> Difference(const SettingsTree& from, const SettingsTree& to) {
  std::vector<Operation> operations;
  AppendDifference(from.json(), to.json(), "/", operations);
  return operations;
}

Result<std::vector<Operation>> ParseOperations(const nlohmann::json& array) {
  if (!array.is_array() || array.empty()) {
    return Error{ErrorKind::kInvalidArgument, "operations must be a non-empty array",
                 "send an array of {\"op\":\"set\"|\"unset\",\"path\",\"key\",\"value\"}"};
  }
  std::vector<Operation> operations;
  for (std::size_t i = 0; i < array.size(); ++i) {
    BOOST_OUTCOME_TRY(operation, ParseOperation(array[i], i));
    operations.push_back(std::move(operation));
  }
  return operations;
}

nlohmann::json ToJson(const std::vector<Operation>& operations) {
  nlohmann::json array = nlohmann::json::array();
  for (const Operation& operation : operations) {
    nlohmann::json item = {{"op", operation.unset ? "unset" : "set"},
                           {"path", operation.path},
                           {"key", operation.key}};
    if (!operation.unset && !operation.key.empty()) {
      item["value"] = operation.value;
    }
    array.push_back(std::move(item));
  }
  return array;
}

}  // namespace rattanramp::settings
