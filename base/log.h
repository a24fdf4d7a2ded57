// Structured logs: one JSON object a line on standard error, through spdlog's background thread.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/result.h"

namespace rattanramp {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging for a process. level is "debug", "info", "warning" or "error".
Result<void> InitLogging(std::string_view process_id, std::string_view level);

/// Flushes and stops the log thread.
void ShutdownLogging();

/// Writes one line with the event name and the given fields.
void Log(LogLevel level, std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace rattanramp
