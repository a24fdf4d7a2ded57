// Paths of nodes in the settings tree, for example "/services/verdicts/failure_domains/fd-a".
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace rattanramp::settings {

/// Kinds of child nodes, in the order of precedence in which settings are resolved.
inline constexpr std::array<std::string_view, 3> kChildKinds = {"services", "failure_domains",
                                                                "models"};

bool IsChildKind(std::string_view name);

struct PathStep {
  std::string kind;
  std::string name;
};

/// Splits a path into its steps; the root "/" has none. A kind occurs at most once, because
/// resolving settings could never reach a second step of the same kind. '/' in a name is written ~1
/// and '~' is written ~0. Error: kInvalidArgument naming the nearest valid path.
Result<std::vector<PathStep>> SplitPath(const std::string& path);

/// Path of the child node below parent.
std::string JoinPath(std::string_view parent, std::string_view kind, std::string_view name);

}  // namespace rattanramp::settings
