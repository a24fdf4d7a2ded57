#include "core/caller_keys.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/routing_table.h"

using namespace rattanramp;
using core::CallerKind;

namespace {

core::RouteRule Route(const std::string& name, bool is_public) {
  core::RouteRule rule;
  rule.name = name;
  rule.host = "h";
  rule.path_prefix = "/" + name + "/";
  rule.timeout_ms = 1'000;
  rule.is_public = is_public;
  rule.services = {{"s", 1}};
  return rule;
}

core::WorkspaceRule Workspace(const std::string& name, std::vector<std::string> keys) {
  core::WorkspaceRule rule;
  rule.name = name;
  rule.keys = std::move(keys);
  return rule;
}

}  // namespace

// Guards against requests that run for somebody else: each key belongs to the workspace that holds
// it, and one that two workspaces hold, that nobody holds, or that is empty or overlong to none.
Test(caller_keys, each_key_belongs_to_the_only_workspace_that_holds_it) {
  const bool ok = rc::check("owner", [] {
    std::vector<core::WorkspaceRule> workspaces;
    std::map<std::string, std::set<std::string>> holders;
    // Few letters, so that keys are prefixes of each other and workspaces share some.
    const auto key = [] {
      return *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab\x80")));
    };
    for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
      const std::string name = "w" + std::to_string(i);
      std::vector<std::string> keys;
      for (int j = *rc::gen::inRange(0, 6); j > 0; --j) {
        keys.push_back(key());
        holders[keys.back()].insert(name);
      }
      workspaces.push_back(Workspace(name, keys));
    }
    const core::CallerKeys index(workspaces);
    holders[key()];
    std::size_t shared = 0;
    for (const auto& [text, names] : holders) {
      const core::WorkspaceRule* found = index.Find(text);
      const bool is_owned = !text.empty() && names.size() == 1;
      RC_ASSERT((found == nullptr ? std::string() : found->name) ==
                (is_owned ? *names.begin() : std::string()));
      shared += !text.empty() && names.size() > 1 ? 1 : 0;
    }
    RC_ASSERT((shared > 0) == !index.shared().empty());
  });
  cr_assert(ok);
  const std::vector<core::WorkspaceRule> longest = {
      Workspace("w", {std::string(core::kMaxKeyBytes, 'k'), std::string(2'000, 'k'), ""})};
  const core::CallerKeys index(longest);
  cr_assert_eq(index.Find(longest[0].keys[0]), longest.data());
  cr_assert_null(index.Find(longest[0].keys[1]));
  cr_assert_eq(index.unusable(), 2);
}

// Guards against keys that are asked for where none is needed, and against public routes that would
// run for a workspace.
Test(caller_keys, public_routes_and_tables_without_workspaces_need_no_key) {
  core::RoutingRules rules;
  rules.routes = {Route("open", true), Route("closed", false)};
  for (const bool has_workspaces : {false, true}) {
    if (has_workspaces) {
      rules.workspaces = {Workspace("w", {"k1", "k2"})};
    }
    const auto table = core::RoutingTable::Create(rules).value();
    const core::RouteRule& open = table->routes()[0];
    const core::RouteRule& closed = table->routes()[1];
    for (const char* key : {"", "k1", "x"}) {
      const core::Caller caller = core::IdentifyCaller(*table, open, key);
      cr_assert(caller.kind == CallerKind::kOpen && caller.workspace == nullptr);
    }
    cr_assert(core::IdentifyCaller(*table, closed, "k2").kind ==
              (has_workspaces ? CallerKind::kKnown : CallerKind::kOpen));
    cr_assert(core::IdentifyCaller(*table, closed, "x").kind ==
              (has_workspaces ? CallerKind::kUnknown : CallerKind::kOpen));
    cr_assert(core::IdentifyCaller(*table, closed, "").kind ==
              (has_workspaces ? CallerKind::kMissing : CallerKind::kOpen));
  }
}
