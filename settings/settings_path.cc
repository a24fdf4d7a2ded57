#include "settings/settings_path.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <optional>

#include "settings/schema.h"

namespace rattanramp::settings {
namespace {

std::string Escape(std::string_view name) {
  std::string escaped;
  for (const char c : name) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::optional<std::string> Unescape(std::string_view text) {
  std::string name;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '~') {
      name += text[i];
      continue;
    }
    ++i;
    if (i == text.size() || (text[i] != '0' && text[i] != '1')) {
      return std::nullopt;
    }
    name += text[i] == '0' ? '~' : '/';
  }
  return name;
}

Error BadPath(const std::string& path, const std::string& reason) {
  return {ErrorKind::kInvalidArgument, fmt::format("bad settings path '{}': {}", path, reason),
          "write / or pairs such as /services/NAME/failure_domains/NAME/models/NAME"};
}

}  // namespace

bool IsChildKind(std::string_view name) {
  return std::find(kChildKinds.begin(), kChildKinds.end(), name) != kChildKinds.end();
}

Result<std::vector<PathStep>> SplitPath(const std::string& path) {
  if (path.empty() || path.front() != '/') {
    return BadPath(path, "it does not begin with /");
  }
  std::vector<PathStep> steps;
  std::size_t begin = 1;
  while (begin < path.size()) {
    const std::size_t kind_end = std::min(path.find('/', begin), path.size());
    const std::string kind = path.substr(begin, kind_end - begin);
    if (!IsChildKind(kind)) {
      const std::string_view nearest = NearestName(kind, kChildKinds);
      Error error = BadPath(path, fmt::format("'{}' is not a kind of node", kind));
      error.remedy = fmt::format("did you mean '{}{}{}'?", path.substr(0, begin), nearest,
                                 path.substr(kind_end));
      return error;
    }
    const std::size_t name_begin = kind_end + 1;
    if (name_begin >= path.size()) {
      return BadPath(path, fmt::format("a name is missing after '{}'", kind));
    }
    const std::size_t name_end = std::min(path.find('/', name_begin), path.size());
    const std::optional<std::string> name =
        Unescape(std::string_view(path).substr(name_begin, name_end - name_begin));
    if (!name || name->empty()) {
      return BadPath(path, name ? "a name is empty" : "'~' must be followed by 0 or 1");
    }
    const bool repeated = std::any_of(steps.begin(), steps.end(),
                                      [&kind](const PathStep& step) { return step.kind == kind; });
    if (repeated) {
      return BadPath(path, fmt::format("'{}' occurs twice", kind));
    }
    steps.push_back({kind, *name});
    begin = name_end + 1;
    if (begin == path.size()) {
      return BadPath(path, "it ends with /");
    }
  }
  return steps;
}

std::string JoinPath(std::string_view parent, std::string_view kind, std::string_view name) {
  return fmt::format("{}/{}/{}", parent == "/" ? "" : parent, kind, Escape(name));
}

}  // namespace rattanramp::settings
