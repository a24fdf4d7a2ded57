// Tree of settings. A node inherits every value from its parent and overrides only what differs.
//
// A node is a JSON object {"values": {key: value}, "services": {name: node},
// "failure_domains": {name: node}, "models": {name: node}}; all members are optional. A path names
// a node, for example "/services/verdicts/failure_domains/fd-a". The root is "/".
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "settings/settings.h"

namespace rattanramp::settings {

/// One edit of a tree: sets a key of a node, or removes the key when unset is true. With an empty
/// key, the node itself is created or removed.
struct Operation {
  std::string path;
  std::string key;
  nlohmann::json value;
  bool unset = false;
};

/// Value of a key and the path of the node that sets it ("default" for the built-in value).
struct OriginValue {
  std::string origin;
  nlohmann::json value;
};

/// Effective value of a key, the node that sets it and the values that it overrides.
struct Explanation {
  std::string key;
  nlohmann::json value;
  std::string origin;
  /// Values of the nodes above the origin, nearest first; the last one is the default.
  std::vector<OriginValue> overridden;
};

/// How much of a tree is checked.
enum class TreeCheck {
  /// For settings sent by operators: checks keys, types, ranges and rules between keys.
  kFull,
  /// For settings that an entry has already accepted and that are received from the platform or a
  /// peer. An entry of a newer version may have accepted keys, choices and ranges that this version
  /// does not support; they are kept and have no effect in this process.
  kReplicated,
};

class SettingsTree {
 public:
  SettingsTree() = default;

  /// Parses and checks a tree. Error: kInvalidArgument with path, key, value and remedy.
  static Result<SettingsTree> Parse(std::string_view text, TreeCheck check = TreeCheck::kFull);
  /// Same for parsed JSON. Empty "values", "services", "failure_domains" and "models" objects are
  /// removed.
  static Result<SettingsTree> FromJson(nlohmann::json root, TreeCheck check = TreeCheck::kFull);

  /// Effective settings. Starts at the root; each step descends to the child for the service, else
  /// the failure domain, else the model, until no child matches. Empty names match nothing.
  Settings Resolve(std::string_view service, std::string_view failure_domain,
                   std::string_view model) const;

  /// Resolves the same nodes as Resolve and returns the origin of the value of every key.
  std::vector<Explanation> Explain(std::string_view service, std::string_view failure_domain,
                                   std::string_view model) const;

  /// Paths of the nodes that Resolve takes values from, the root first.
  std::vector<std::string> ResolvedPaths(std::string_view service, std::string_view failure_domain,
                                         std::string_view model) const;

  /// Names of the services below the root.
  std::vector<std::string> services() const;
  bool has_service(std::string_view name) const;

  /// Paths of all nodes, parents before children.
  std::vector<std::string> Paths() const;

  /// Values set at one node; an empty object when there are none or no such node.
  nlohmann::json ValuesAt(const std::string& path) const;

  /// Tree with the edits applied in order; the result is checked as a whole. Errors:
  /// kInvalidArgument, kNotFound (an unset operation names a key or node that does not exist).
  Result<SettingsTree> Apply(const std::vector<Operation>& operations,
                             TreeCheck check = TreeCheck::kFull) const;

  const nlohmann::json& json() const { return root_; }

 private:
  nlohmann::json root_ = nlohmann::json::object();
};

/// Operations that transform one tree into another.
std::vector<Operation> Difference(const SettingsTree& from, const SettingsTree& to);

/// Reads operations from a JSON array of {"op","path","key","value"}. Error: kInvalidArgument.
Result<std::vector<Operation>> ParseOperations(const nlohmann::json& array);
nlohmann::json ToJson(const std::vector<Operation>& operations);

}  // namespace rattanramp::settings
