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

/// One edit of a tree. Without a value the key is unset; without a key the whole node is removed.
struct Operation {
  std::string path;
  std::string key;
  nlohmann::json value;
  bool unset = false;
};

/// Effective value of a key and the node that it comes from ("default" for the built-in one).
struct Explanation {
  std::string key;
  nlohmann::json value;
  std::string origin;
};

class SettingsTree {
 public:
  SettingsTree() = default;

  /// Parses and checks a tree. Error: kInvalidArgument with path, key, value and remedy.
  static Result<SettingsTree> Parse(std::string_view text);
  static Result<SettingsTree> FromJson(nlohmann::json root);

  /// Effective settings. From the root on, each step goes to the child for the service, else the
  /// failure domain, else the model, as long as one exists. Empty names match nothing.
  Settings Resolve(std::string_view service, std::string_view failure_domain,
                   std::string_view model) const;

  /// Same walk as Resolve, with the origin of every key.
  std::vector<Explanation> Explain(std::string_view service, std::string_view failure_domain,
                                   std::string_view model) const;

  /// Names of the services below the root.
  std::vector<std::string> services() const;
  bool has_service(std::string_view name) const;

  /// Tree with the edits applied in order and checked. Errors: kInvalidArgument, kNotFound.
  Result<SettingsTree> Apply(const std::vector<Operation>& operations) const;

  const nlohmann::json& json() const { return root_; }

 private:
  nlohmann::json root_ = nlohmann::json::object();
};

/// Reads operations from a JSON array of {"op","path","key","value"}. Error: kInvalidArgument.
Result<std::vector<Operation>> ParseOperations(const nlohmann::json& array);
nlohmann::json ToJson(const std::vector<Operation>& operations);

}  // namespace rattanramp::settings
