// Parser of the server-sent events of an engine.
#pragma once

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace rattanramp::agent {

/// Longest event of an engine, in bytes.
inline constexpr std::size_t kMaxEventBytes = 256 * 1024;

class EventStream {
 public:
  explicit EventStream(std::function<void(const nlohmann::json&)> on_event);

  /// Parses received bytes, which may end anywhere within an event. Returns false if an event is
  /// not a JSON object, or longer than kMaxEventBytes.
  bool Feed(std::string_view bytes);

 private:
  bool ParseLine(std::string_view line);

  std::function<void(const nlohmann::json&)> on_event_;
  std::string pending_;
  std::string data_;
};

}  // namespace rattanramp::agent
