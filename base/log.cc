#include "base/log.h"

#include <fcntl.h>
#include <spdlog/async.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cerrno>
#include <memory>

namespace rattanramp {
namespace {

constexpr std::size_t kLogQueueEntries = 8192;
constexpr const char* kLinePrefix = R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","process":")";

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

/// Buffers lines until FlushBufferedLog writes them. Must be used from a single thread.
class BufferSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  void WriteToStdout() {
    if (dropped_lines_ > 0 && buffer_.size() < kMaxBufferedLogBytes) {
      buffer_ +=
          "{\"event\":\"log_lines_dropped\",\"lines\":" + std::to_string(dropped_lines_) + "}\n";
      dropped_lines_ = 0;
    }
    while (!buffer_.empty()) {
      const ssize_t written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written <= 0) {
        // Standard output is blocked or closed: lines stay buffered, and new ones are dropped when
        // the buffer is full.
        return;
      }
      buffer_.erase(0, static_cast<std::size_t>(written));
    }
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (buffer_.size() >= kMaxBufferedLogBytes) {
      ++dropped_lines_;
      return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    buffer_.append(line.data(), line.size());
  }
  void flush_() override {}

 private:
  std::string buffer_;
  std::int64_t dropped_lines_ = 0;
};

std::shared_ptr<BufferSink>& BufferSinkInstance() {
  static std::shared_ptr<BufferSink> sink;
  return sink;
}

}  // namespace

Result<void> InitBufferedLogging(std::string_view process_id, std::string_view level) {
  const spdlog::level::level_enum parsed = spdlog::level::from_str(std::string(level));
  if (parsed == spdlog::level::off && level != "off") {
    return Error{ErrorKind::kInvalidArgument, "unknown log level '" + std::string(level) + "'",
                 "use debug, info, warning, error or off"};
  }
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags < 0 || ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0) {
    return Error{ErrorKind::kIo, "standard output cannot be made non-blocking",
                 "start the process with an open standard output"};
  }
  BufferSinkInstance() = std::make_shared<BufferSink>();
  std::shared_ptr<spdlog::logger> logger =
      std::make_shared<spdlog::logger>("rattanramp", BufferSinkInstance());
  logger->set_pattern(kLinePrefix + std::string(process_id) + "\",%v}");
  logger->set_level(parsed);
  spdlog::set_default_logger(logger);
  return Success();
}

void FlushBufferedLog() {
  if (BufferSinkInstance()) {
    BufferSinkInstance()->WriteToStdout();
  }
}

Result<void> InitLogging(std::string_view process_id, std::string_view level) {
  const spdlog::level::level_enum parsed = spdlog::level::from_str(std::string(level));
  if (parsed == spdlog::level::off && level != "off") {
    return Error{ErrorKind::kInvalidArgument, "unknown log level '" + std::string(level) + "'",
                 "use debug, info, warning, error or off"};
  }
  spdlog::init_thread_pool(kLogQueueEntries, 1);
  // A full log queue drops its oldest line, so that logging never blocks a request.
  std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::async_logger>(
      "rattanramp", std::make_shared<spdlog::sinks::stderr_sink_mt>(), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern(kLinePrefix + std::string(process_id) + "\",%v}");
  logger->set_level(parsed);
  logger->flush_on(spdlog::level::warn);
  spdlog::set_default_logger(logger);
  spdlog::flush_every(std::chrono::seconds(1));
  return Success();
}

void ShutdownLogging() { spdlog::shutdown(); }

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  spdlog::logger* logger = spdlog::default_logger_raw();
  if (logger == nullptr || !logger->should_log(ToSpdlog(level))) {
    return;
  }
  nlohmann::json line = {{"event", event}};
  line.update(fields);
  const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The pattern supplies the outer braces.
  const std::string_view members = std::string_view(text).substr(1, text.size() - 2);
  logger->log(ToSpdlog(level), members);
}

}  // namespace rattanramp
