#include "core/routing_table.h"

#include <criterion/criterion.h>

using namespace rattanramp;

namespace {

core::RouteRule Rule(const std::string& name, const std::string& prefix) {
  core::RouteRule rule;
  rule.name = name;
  rule.host = "Shop.example";
  rule.path_prefix = prefix;
  rule.timeout_ms = 1'000;
  rule.services = {{"s", 1}};
  return rule;
}

}  // namespace

// Guards against matching a request to a route with a shorter prefix than the most specific one.
Test(routing_table, longest_prefix_of_the_host_wins) {
  core::RoutingRules rules;
  rules.routes = {Rule("wide", "/a/"), Rule("narrow", "/a/b/")};
  const auto table = core::RoutingTable::Create(rules);
  cr_assert(table.has_value());
  cr_assert_eq(table.value()->Match("shop.example:80", "/a/b/c")->name, "narrow");
  cr_assert_eq(table.value()->Match("SHOP.example", "/a/x")->name, "wide");
  cr_assert(table.value()->Match("shop.example", "/a") == nullptr);
  cr_assert(table.value()->Match("other.example", "/a/x") == nullptr);
}

// Guards against applying a configuration that would divide by zero or match no request.
Test(routing_table, invalid_rules_are_refused) {
  for (const char* prefix : {"", "a/", "/a"}) {
    core::RoutingRules rules;
    rules.routes = {Rule("r", prefix)};
    cr_assert(!core::RoutingTable::Create(rules).has_value());
  }
  core::RoutingRules rules;
  rules.routes = {Rule("r", "/a/")};
  rules.routes[0].services = {{"s", 0}};
  cr_assert(!core::RoutingTable::Create(rules).has_value());
}

// Guards against a traffic split that ignores the weights.
Test(routing_table, split_follows_weights) {
  core::RouteRule rule = Rule("r", "/a/");
  rule.services = {{"big", 90}, {"small", 10}};
  int small = 0;
  for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
    small += core::ServiceFor(rule, hash) == "small" ? 1 : 0;
  }
  cr_assert_eq(small, 100);
}

// Guards against running a request twice that must run only once, or a stream that cannot be
// resumed.
Test(routing_table, only_repeatable_kinds_run_again) {
  core::RouteRule rule = Rule("r", "/a/");
  rule.kind = core::RequestKind::kOnce;
  cr_assert(!core::MayRunAgain(rule));
  rule.kind = core::RequestKind::kStream;
  cr_assert(!core::MayRunAgain(rule));
  rule.is_resumable = true;
  cr_assert(core::MayRunAgain(rule));
  rule.kind = core::RequestKind::kRepeatable;
  cr_assert(core::MayRunAgain(rule));
}
