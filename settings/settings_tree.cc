#include "settings/settings_tree.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <utility>

#include "settings/schema.h"

namespace rattanramp::settings {
namespace {

constexpr std::array<std::string_view, 3> kChildKinds = {"services", "failure_domains", "models"};

struct Step {
  std::string path;
  const nlohmann::json* node;
};

bool IsChildKind(std::string_view name) {
  return std::find(kChildKinds.begin(), kChildKinds.end(), name) != kChildKinds.end();
}

const nlohmann::json* FindChild(const nlohmann::json& node, std::string_view kind,
                                std::string_view name) {
  if (name.empty()) {
    return nullptr;
  }
  const auto children = node.find(std::string(kind));
  if (children == node.end()) {
    return nullptr;
  }
  const auto child = children->find(std::string(name));
  return child == children->end() ? nullptr : &*child;
}

std::vector<Step> Walk(const nlohmann::json& root, std::string_view service,
                       std::string_view failure_domain, std::string_view model) {
  const std::array<std::string_view, 3> names = {service, failure_domain, model};
  std::vector<Step> steps = {{"/", &root}};
  for (bool moved = true; moved;) {
    moved = false;
    const Step current = steps.back();
    for (std::size_t i = 0; i < kChildKinds.size() && !moved; ++i) {
      const nlohmann::json* child = FindChild(*current.node, kChildKinds[i], names[i]);
      if (child != nullptr) {
        const std::string prefix = current.path == "/" ? "" : current.path;
        steps.push_back({fmt::format("{}/{}/{}", prefix, kChildKinds[i], names[i]), child});
        moved = true;
      }
    }
  }
  return steps;
}

Result<void> CheckNode(const nlohmann::json& node, const std::string& path) {
  if (!node.is_object()) {
    return Error{ErrorKind::kInvalidArgument, path + ": a node must be an object",
                 "write {\"values\": {...}}"};
  }
  for (const auto& [member, content] : node.items()) {
    if (!content.is_object()) {
      return Error{ErrorKind::kInvalidArgument, path + ": '" + member + "' must be an object",
                   "use values, services, failure_domains or models with an object each"};
    }
    if (member == "values") {
      for (const auto& [key, value] : content.items()) {
        BOOST_OUTCOME_TRYV(CheckValue(path, key, value));
      }
      continue;
    }
    if (!IsChildKind(member)) {
      return Error{ErrorKind::kInvalidArgument, path + ": unknown member '" + member + "'",
                   "use values, services, failure_domains or models"};
    }
    for (const auto& [name, child] : content.items()) {
      const std::string prefix = path == "/" ? "" : path;
      BOOST_OUTCOME_TRYV(CheckNode(child, fmt::format("{}/{}/{}", prefix, member, name)));
    }
  }
  return Success();
}

/// Splits "/services/verdicts" into its parts. The root has none.
Result<std::vector<std::string>> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t begin = 1;
  bool ok = !path.empty() && path.front() == '/';
  while (ok && begin < path.size()) {
    const std::size_t slash = std::min(path.find('/', begin), path.size());
    parts.push_back(path.substr(begin, slash - begin));
    ok = !parts.back().empty();
    begin = slash + 1;
  }
  ok = ok && parts.size() % 2 == 0;
  for (std::size_t i = 0; ok && i < parts.size(); i += 2) {
    ok = IsChildKind(parts[i]);
  }
  if (!ok) {
    return Error{ErrorKind::kInvalidArgument, "bad settings path '" + path + "'",
                 "write / or pairs such as /services/NAME/failure_domains/NAME/models/NAME"};
  }
  return parts;
}

Result<void> ApplyOne(nlohmann::json& root, const Operation& operation) {
  BOOST_OUTCOME_TRY(parts, SplitPath(operation.path));
  nlohmann::json* node = &root;
  for (std::size_t i = 0; i < parts.size(); i += 2) {
    if (operation.unset && FindChild(*node, parts[i], parts[i + 1]) == nullptr) {
      return Error{ErrorKind::kNotFound, "no settings node " + operation.path,
                   "check the path with 'settings get'"};
    }
    if (operation.unset && operation.key.empty() && i + 2 == parts.size()) {
      (*node)[parts[i]].erase(parts[i + 1]);
      return Success();
    }
    node = &(*node)[parts[i]][parts[i + 1]];
    if (node->is_null()) {
      *node = nlohmann::json::object();
    }
  }
  if (operation.unset) {
    if (operation.key.empty()) {
      return Error{ErrorKind::kInvalidArgument, "the root node cannot be removed",
                   "name a key or a node below the root"};
    }
    if (!node->contains("values") || (*node)["values"].erase(operation.key) == 0) {
      return Error{ErrorKind::kNotFound, "'" + operation.key + "' is not set at " + operation.path,
                   "use 'settings explain' to see which node sets it"};
    }
    return Success();
  }
  if (!operation.key.empty()) {
    BOOST_OUTCOME_TRYV(CheckValue(operation.path, operation.key, operation.value));
    (*node)["values"][operation.key] = operation.value;
  }
  return Success();
}

}  // namespace

Result<SettingsTree> SettingsTree::Parse(std::string_view text) {
  nlohmann::json root = nlohmann::json::parse(text, nullptr, false);
  if (root.is_discarded()) {
    return Error{ErrorKind::kInvalidArgument, "settings are not valid JSON",
                 "check the text with a JSON validator"};
  }
  return FromJson(std::move(root));
}

Result<SettingsTree> SettingsTree::FromJson(nlohmann::json root) {
  BOOST_OUTCOME_TRYV(CheckNode(root, "/"));
  SettingsTree tree;
  tree.root_ = std::move(root);
  return tree;
}

Settings SettingsTree::Resolve(std::string_view service, std::string_view failure_domain,
                               std::string_view model) const {
  nlohmann::json merged = nlohmann::json::object();
  for (const Step& step : Walk(root_, service, failure_domain, model)) {
    if (step.node->contains("values")) {
      merged.update((*step.node)["values"]);
    }
  }
  return merged.get<Settings>();
}

std::vector<Explanation> SettingsTree::Explain(std::string_view service,
                                               std::string_view failure_domain,
                                               std::string_view model) const {
  const nlohmann::json defaults = Settings();
  const std::vector<Step> steps = Walk(root_, service, failure_domain, model);
  std::vector<Explanation> explanations;
  for (const KeySpec& spec : Keys()) {
    const std::string key(spec.name);
    Explanation explanation{key, defaults.at(key), "default"};
    for (const Step& step : steps) {
      if (step.node->contains("values") && (*step.node)["values"].contains(key)) {
        explanation.value = (*step.node)["values"][key];
        explanation.origin = step.path;
      }
    }
    explanations.push_back(std::move(explanation));
  }
  return explanations;
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

Result<SettingsTree> SettingsTree::Apply(const std::vector<Operation>& operations) const {
  nlohmann::json root = root_;
  for (const Operation& operation : operations) {
    BOOST_OUTCOME_TRYV(ApplyOne(root, operation));
  }
  return FromJson(std::move(root));
}

Result<std::vector<Operation>> ParseOperations(const nlohmann::json& array) {
  const Error malformed{ErrorKind::kInvalidArgument, "operations are malformed",
                        "send an array of {\"op\":\"set\"|\"unset\",\"path\",\"key\",\"value\"}"};
  if (!array.is_array() || array.empty()) {
    return malformed;
  }
  std::vector<Operation> operations;
  for (const nlohmann::json& item : array) {
    if (!item.is_object() || !item.contains("path") || !item["path"].is_string()) {
      return malformed;
    }
    const nlohmann::json op = item.value("op", nlohmann::json());
    const nlohmann::json key = item.value("key", nlohmann::json(""));
    if ((op != "set" && op != "unset") || !key.is_string() ||
        (op == "set" && !key.get<std::string>().empty() && !item.contains("value"))) {
      return malformed;
    }
    operations.push_back({item["path"], key, item.value("value", nlohmann::json()), op == "unset"});
  }
  return operations;
}

nlohmann::json ToJson(const std::vector<Operation>& operations) {
  nlohmann::json array = nlohmann::json::array();
  for (const Operation& operation : operations) {
    nlohmann::json item = {{"op", operation.unset ? "unset" : "set"},
                           {"path", operation.path},
                           {"key", operation.key}};
    if (!operation.unset) {
      item["value"] = operation.value;
    }
    array.push_back(std::move(item));
  }
  return array;
}

}  // namespace rattanramp::settings
