#include "settings/settings_tree.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

#include "base/bounded_json.h"
#include "settings/settings_path.h"

using nlohmann::json;
using rattanramp::Error;
using rattanramp::Result;
using rattanramp::settings::Explanation;
using rattanramp::settings::Operation;
using rattanramp::settings::SettingsTree;
namespace settings = rattanramp::settings;

namespace {

/// Names include the characters that paths escape.
const std::vector<std::string> kNames = {"a", "b", "x/y", "~1"};
const std::vector<std::string> kKinds = {"services", "failure_domains", "models"};
const std::vector<std::string> kKeys = {"priority", "crash_limit", "max_attempts"};

/// Reference model of a tree: the values of each node. The key of a node consists of the kinds and
/// names of its path, each after a newline.
using ReferenceTree = std::map<std::string, std::map<std::string, int>>;

rc::Gen<Operation> OperationGenerator() {
  return rc::gen::exec([] {
    std::string path;
    std::vector<std::string> kinds = kKinds;
    const int depth = *rc::gen::inRange(0, 4);
    for (int i = 0; i < depth; ++i) {
      const std::size_t index = *rc::gen::inRange<std::size_t>(0, kinds.size());
      path = settings::JoinPath(path, kinds[index], *rc::gen::elementOf(kNames));
      kinds.erase(kinds.begin() + static_cast<std::ptrdiff_t>(index));
    }
    Operation operation;
    operation.path = path.empty() ? "/" : path;
    operation.unset = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    operation.key = *rc::gen::weightedOneOf<std::string>(
        {{4, rc::gen::elementOf(kKeys)}, {1, rc::gen::just(std::string())}});
    if (!operation.key.empty() && !operation.unset) {
      operation.value = *rc::gen::inRange(1, 20);
    }
    return operation;
  });
}

/// Applies the operations to a tree and skips those that it rejects. The reference tree receives
/// only operations that the tree accepted.
SettingsTree BuildTree(const std::vector<Operation>& operations, ReferenceTree& reference) {
  SettingsTree tree = SettingsTree().Apply({{"/", "kind", "plain", false}}).value();
  reference[""];
  for (const Operation& operation : operations) {
    Result<SettingsTree> next = tree.Apply({operation});
    if (!next) {
      RC_ASSERT(operation.unset);
      continue;
    }
    tree = std::move(next.value());
    std::string node_key;
    const std::vector<settings::PathStep> steps = settings::SplitPath(operation.path).value();
    for (const settings::PathStep& step : steps) {
      node_key += "\n" + step.kind + "\n" + step.name;
      if (!operation.unset) {
        reference[node_key];
      }
    }
    if (operation.unset && operation.key.empty()) {
      std::erase_if(reference, [&node_key](const auto& node) {
        return node.first == node_key || node.first.starts_with(node_key + "\n");
      });
    } else if (operation.unset) {
      reference[node_key].erase(operation.key);
    } else if (!operation.key.empty()) {
      reference[node_key][operation.key] = operation.value.get<int>();
    }
  }
  return tree;
}

std::map<std::string, int> ResolveReference(const ReferenceTree& reference,
                                            const std::vector<std::string>& names) {
  std::map<std::string, int> values = {{"priority", 0}, {"crash_limit", 2}, {"max_attempts", 3}};
  std::string node_key;
  for (bool descended = true; descended;) {
    for (const auto& [key, value] : reference.at(node_key)) {
      values[key] = value;
    }
    descended = false;
    for (std::size_t i = 0; i < names.size() && !descended; ++i) {
      const std::string child = node_key + "\n" + kKinds[i] + "\n" + names[i];
      if (reference.contains(child)) {
        node_key = child;
        descended = true;
      }
    }
  }
  return values;
}

std::string MessageAndRemedy(const Error& error) { return error.message + " " + error.remedy; }

void AssertMentions(const Error& error, const std::string& text) {
  cr_assert(MessageAndRemedy(error).find(text) != std::string::npos, "%s lacks %s",
            MessageAndRemedy(error).c_str(), text.c_str());
}

}  // namespace

// Guards against inheritance that differs from its definition, and against explanations that differ
// from the effective settings.
Test(settings_tree, resolves_like_the_reference_model) {
  cr_assert(rc::check([] {
    ReferenceTree reference;
    const SettingsTree tree =
        BuildTree(*rc::gen::container<std::vector<Operation>>(OperationGenerator()), reference);
    const std::vector<std::string> names = {
        *rc::gen::elementOf(kNames), *rc::gen::elementOf(kNames), *rc::gen::elementOf(kNames)};
    const std::map<std::string, int> expected = ResolveReference(reference, names);
    const json resolved = tree.Resolve(names[0], names[1], names[2]);
    for (const auto& [key, value] : expected) {
      RC_ASSERT(resolved[key] == value);
    }
    for (const Explanation& explanation : tree.Explain(names[0], names[1], names[2])) {
      RC_ASSERT(explanation.value == resolved[explanation.key]);
      RC_ASSERT((explanation.origin == "default") == explanation.overridden.empty());
    }
    RC_ASSERT(tree.Paths().size() == reference.size());
  }));
}

// Guards against a list of operations that does not produce the target tree, and against a tree
// that changes when it is written as text and parsed again.
Test(settings_tree, difference_transforms_one_tree_into_the_other) {
  cr_assert(rc::check([] {
    ReferenceTree reference;
    const SettingsTree from =
        BuildTree(*rc::gen::container<std::vector<Operation>>(OperationGenerator()), reference);
    const SettingsTree to =
        BuildTree(*rc::gen::container<std::vector<Operation>>(OperationGenerator()), reference);
    const std::vector<Operation> operations = settings::Difference(from, to);
    RC_ASSERT(operations.empty() == (from.json() == to.json()));
    RC_ASSERT(from.Apply(operations).value().json() == to.json());
    RC_ASSERT(SettingsTree::Parse(to.json().dump()).value().json() == to.json());
    if (!operations.empty()) {
      const std::vector<Operation> parsed =
          settings::ParseOperations(settings::ToJson(operations)).value();
      RC_ASSERT(from.Apply(parsed).value().json() == to.json());
    }
  }));
}

// Guards against errors about an unknown name that do not suggest the nearest valid one.
Test(settings_tree, errors_name_the_nearest_valid_name) {
  const SettingsTree tree =
      SettingsTree::Parse(R"({"services":{"verdicts":{"values":{"kind":"plain"}}}})").value();
  AssertMentions(tree.Apply({{"/", "heartbeat", 5, false}}).error(), "heartbeat_ms");
  AssertMentions(tree.Apply({{"/service/verdicts", "kind", "plain", false}}).error(),
                 "'/services/verdicts'");
  AssertMentions(tree.Apply({{"/services/verdict", "kind", json(), true}}).error(),
                 "'/services/verdicts'");
  AssertMentions(tree.Apply({{"/services/verdicts", "knd", json(), true}}).error(), "'kind'");
  AssertMentions(SettingsTree::Parse(R"({"service":{}})").error(), "'services'");
  AssertMentions(SettingsTree::Parse(R"({"lease_ms":3000})").error(), "\"values\"");
  AssertMentions(settings::ParseOperations(json::parse(R"([{"op":"set","pth":"/"}])")).error(),
                 "'path'");
}

// Guards against accepting settings that would cancel healthy work or route to no model. Each value
// may be valid alone; inheritance then combines it with values of other nodes.
Test(settings_tree, checks_rules_on_inherited_values) {
  const std::vector<std::string> bad = {
      R"({"values":{"heartbeat_ms":2000}})",
      R"({"values":{"lease_ms":2000}})",
      R"({"values":{"lease_ms":5000},"failure_domains":{"f":{"values":{"link_dead_ms":5000}}}})",
      R"({"services":{"a":{}}})",
      R"({"services":{"a":{"failure_domains":{"f":{"values":{"model":"m"}}}}}})",
      R"({"services":{"a":{"services":{"b":{}}}}})"};
  for (const std::string& text : bad) {
    cr_assert(!SettingsTree::Parse(text).has_value(), "%s", text.c_str());
  }
  cr_assert(SettingsTree::Parse(R"({"values":{"model":"m"},"services":{"a":{}}})").has_value());
  cr_assert(
      SettingsTree::Parse(R"({"values":{"lease_ms":9000,"link_dead_ms":7000,"heartbeat_ms":5000}})")
          .has_value());
  AssertMentions(SettingsTree::Parse(bad[2]).error(), "/failure_domains/f: lease_ms (5000)");
}

// Guards against a process of an older version that rejects replicated settings because an entry of
// a newer version accepted a key, choice or range that the older version does not support.
Test(settings_tree, replicated_settings_keep_unknown_keys) {
  const std::string text =
      R"({"values":{"new_key":1,"policy":"newer","priority":1000,"crash_limit":4},"zones":{}})";
  cr_assert(!SettingsTree::Parse(text).has_value());
  const SettingsTree tree = SettingsTree::Parse(text, settings::TreeCheck::kReplicated).value();
  cr_assert(tree.Resolve("", "", "").crash_limit == 4);
  cr_assert(tree.json()["values"]["new_key"] == 1);
  cr_assert(
      !SettingsTree::Parse(R"({"values":{"crash_limit":"4"}})", settings::TreeCheck::kReplicated)
           .has_value());
}

// Guards against a stack overflow on deeply nested text.
Test(settings_tree, rejects_deep_nesting) {
  std::string nodes;
  for (int i = 0; i < 100'000; ++i) {
    nodes += R"({"services":{"a":)";
  }
  cr_assert(!SettingsTree::Parse(nodes).has_value());
  cr_assert(!rattanramp::ParseBoundedJson(std::string(1'000'000, '[')).has_value());
  const std::string closed = std::string(100'000, '[') + std::string(100'000, ']');
  cr_assert(!rattanramp::ParseBoundedJson(closed).has_value());
  const std::string quoted = R"(["\"[)" + std::string(100, '[') + R"(\\"])";
  cr_assert(rattanramp::ParseBoundedJson(quoted).has_value());
  cr_assert(!rattanramp::ParseBoundedJson(R"(["\\",)" + std::string(100, '[')).has_value());
}

// Guards against a crash or an exception on random text, paths and operations.
Test(settings_tree, random_input_does_not_crash) {
  cr_assert(rc::check([](const std::string& text) {
    static_cast<void>(SettingsTree::Parse(text));
    static_cast<void>(settings::SplitPath("/" + text));
    json node = {{"values", {{text, text}}}, {text, {{text, text}}}};
    static_cast<void>(SettingsTree::FromJson(node));
    static_cast<void>(SettingsTree::FromJson(node, settings::TreeCheck::kReplicated));
    static_cast<void>(SettingsTree().Apply({{text, text, text, false}}));
    static_cast<void>(SettingsTree().Apply({{text, text, text, true}}));
    static_cast<void>(settings::ParseOperations(json::array({{{text, text}}, text})));
  }));
}
