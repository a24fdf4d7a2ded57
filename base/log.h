// Structured logs through spdlog, one JSON object per line: on standard error from a background
// thread, or on standard output from an event loop.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/result.h"

namespace rattanramp {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging for a process. level is "debug", "info", "warning", "error" or "off".
Result<void> InitLogging(std::string_view process_id, std::string_view level);

/// Sets up logging for a program with a single event loop: lines are buffered in memory, and
/// FlushBufferedLog, called from a timer, writes them to standard output without blocking. Lines
/// beyond kMaxBufferedLogBytes are dropped and counted.
Result<void> InitBufferedLogging(std::string_view process_id, std::string_view level);
void FlushBufferedLog();

/// Size limit of the log buffer: about 3,000 lines, which one process writes in several seconds of
/// requests.
inline constexpr std::size_t kMaxBufferedLogBytes = 1024 * 1024;

/// Flushes and stops the log thread.
void ShutdownLogging();

/// Writes one line with the event name and the given fields.
void Log(LogLevel level, std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

}  // namespace rattanramp
