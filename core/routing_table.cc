#include "core/routing_table.h"

#include <algorithm>
#include <cctype>

namespace rattanramp::core {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

Error Invalid(const RouteRule& route, const std::string& what, const std::string& remedy) {
  return Error{ErrorKind::kInvalidArgument, "route '" + route.name + "': " + what, remedy};
}

Result<void> CheckRoute(const RouteRule& route) {
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return Invalid(route,
                   "path prefix '" + route.path_prefix + "' does not begin and end with a slash",
                   "use a path prefix that begins and ends with a slash");
  }
  if (route.timeout_ms <= 0) {
    return Invalid(route, "invalid timeout of " + std::to_string(route.timeout_ms) + " ms",
                   "use a timeout above 0 ms");
  }
  std::int64_t total = 0;
  for (const ServiceShare& share : route.services) {
    if (share.weight < 0) {
      return Invalid(route, "negative weight for service '" + share.service + "'",
                     "use weights of 0 or more");
    }
    total += share.weight;
  }
  if (total <= 0) {
    return Invalid(route, "no service has a weight above 0",
                   "list at least one service with a weight above 0");
  }
  return Success();
}

}  // namespace

Result<std::shared_ptr<const RoutingTable>> RoutingTable::Create(RoutingRules rules) {
  std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
  table->rules_ = std::move(rules);
  const std::vector<RouteRule>& routes = table->rules_.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Result<void> checked = CheckRoute(routes[i]);
    if (!checked) {
      return checked.error();
    }
    table->by_host_[LowerCase(routes[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : table->by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
      return routes[a].path_prefix.size() > routes[b].path_prefix.size();
    });
  }
  for (std::size_t i = 0; i < table->rules_.services.size(); ++i) {
    table->services_[table->rules_.services[i].name] = i;
  }
  table->keys_ = CallerKeys(table->rules_.workspaces);
  return std::shared_ptr<const RoutingTable>(std::move(table));
}

const RouteRule* RoutingTable::Match(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(LowerCase(host.substr(0, host.find(':'))));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (path.starts_with(rules_.routes[index].path_prefix)) {
      return &rules_.routes[index];
    }
  }
  return nullptr;
}

const ServiceRule* RoutingTable::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &rules_.services[found->second];
}

const std::string& ServiceFor(const RouteRule& route, std::uint64_t request_hash) {
  std::uint64_t total = 0;
  for (const ServiceShare& share : route.services) {
    total += static_cast<std::uint64_t>(share.weight);
  }
  std::uint64_t point = request_hash % total;
  for (const ServiceShare& share : route.services) {
    if (point < static_cast<std::uint64_t>(share.weight)) {
      return share.service;
    }
    point -= static_cast<std::uint64_t>(share.weight);
  }
  return route.services.back().service;
}

bool MayRunAgain(const RouteRule& route) {
  return route.kind == RequestKind::kRepeatable ||
         (route.kind == RequestKind::kStream && route.is_resumable);
}

}  // namespace rattanramp::core
