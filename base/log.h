// Structured logs through spdlog, one JSON object a line: on standard error from a background
// thread, or on standard output from an event loop.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/result.h"

namespace rattanramp {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging for a process. level is "debug", "info", "warning" or "error".
Result<void> InitLogging(std::string_view process_id, std::string_view level);

/// Logging for programs on one event loop: lines collect in memory and FlushBufferedLog, called
/// from a timer, writes them to standard output without blocking. Lines beyond kMaxBufferedLogBytes
/// are dropped and counted.
Result<void> InitBufferedLogging(std::string_view process_id, std::string_view level);
void FlushBufferedLog();

/// About 3,000 lines: several seconds of requests of one process.
inline constexpr std::size_t kMaxBufferedLogBytes = 1024 * 1024;

/// Flushes and stops the log thread.
void ShutdownLogging();

/// Writes one line with the event name and the given fields.
void Log(LogLevel level, std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace rattanramp
