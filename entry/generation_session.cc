#include "entry/generation_session.h"

#include <utility>

#include "entry/openai_format.h"

namespace rattanramp::entry {
namespace {

/// Interval of the checks whether the caller has disconnected.
constexpr Milliseconds kCallerCheckInterval{200};
/// Interval of the SSE comment lines that are sent while there is no output. They allow a broken
/// connection to be detected (TCP_USER_TIMEOUT) and prevent proxies in front of the entry from
/// closing an idle connection. Also the maximum wait for the first output before the HTTP status is
/// sent.
constexpr Milliseconds kKeepAliveInterval{1'000};
constexpr std::int64_t kMsPerSecond = 1'000;
constexpr const char* kCallerDisconnectedReason = "the caller has disconnected";

}  // namespace

GenerationSession::GenerationSession(const DriverContext& context, GenerationRequest request,
                                     const std::string& failure_domain, Milliseconds lease,
                                     ActiveRequests& active)
    : context_(context),
      driver_(context, std::move(request), failure_domain, lease),
      active_(active, {driver_.request().request_id, driver_.request().service->name, "generation",
                       driver_.request().arrived}),
      created_s_(context.clock.unix_ms() / kMsPerSecond),
      last_write_(context.clock.now()) {}

GenerationSession::~GenerationSession() {
  if (!finished_) {
    driver_.Cancel(kCallerDisconnectedReason);
    refusal_ = driver_.Next(context_.clock.now()).refusal;
    status_ = kCallerDisconnected;
  }
  AccessRecord record;
  record.request_id = driver_.request().request_id;
  record.service = driver_.request().service;
  record.request_kind = "generation";
  record.status = status_;
  record.refusal = refusal_;
  record.stats = driver_.stats();
  record.total_ms = ToMs(context_.clock.now() - driver_.request().arrived);
  LogAccess(record, context_.metrics);
}

GenerationOutput GenerationSession::Next() {
  return driver_.Next(context_.clock.now() + kCallerCheckInterval);
}

bool GenerationSession::CancelIfDisconnected() {
  if (!HttpServer::CallerHasDisconnected()) {
    return false;
  }
  driver_.Cancel(kCallerDisconnectedReason);
  return true;
}

void GenerationSession::Refuse(const Refusal& refusal, httplib::Response& response) {
  refusal_ = refusal;
  status_ = refusal.status;
  finished_ = true;
  WriteRefusal(refusal, driver_.request().request_id, response);
}

void GenerationSession::SendFullResponse(httplib::Response& response) {
  std::string text;
  while (true) {
    GenerationOutput output = Next();
    switch (output.kind) {
      case GenerationOutput::Kind::kText:
        text += output.text;
        break;
      case GenerationOutput::Kind::kDone:
        finished_ = true;
        response.set_content(FullResponse(driver_.request(), driver_.stats(), text, created_s_),
                             "application/json");
        return;
      case GenerationOutput::Kind::kFailed:
        Refuse(output.refusal, response);
        return;
      case GenerationOutput::Kind::kWaiting:
        break;
    }
    // After a cancellation the next output is the refusal.
    static_cast<void>(CancelIfDisconnected());
  }
}

bool GenerationSession::BeginStream(httplib::Response& response) {
  const TimePoint until = context_.clock.now() + kKeepAliveInterval;
  while (!first_output_ && context_.clock.now() < until) {
    GenerationOutput output = Next();
    if (output.kind == GenerationOutput::Kind::kFailed) {
      Refuse(output.refusal, response);
      return false;
    }
    if (output.kind != GenerationOutput::Kind::kWaiting) {
      first_output_ = std::move(output);
    }
    static_cast<void>(CancelIfDisconnected());
  }
  return true;
}

bool GenerationSession::ContinueStream(httplib::DataSink& sink) {
  GenerationOutput output = first_output_ ? std::move(*first_output_) : Next();
  first_output_.reset();
  switch (output.kind) {
    case GenerationOutput::Kind::kText:
      return WriteText(sink, std::move(output.text));
    case GenerationOutput::Kind::kDone: {
      std::string tail;
      if (!partial_character_.empty()) {
        tail = TextEvent(driver_.request(), partial_character_, !wrote_text_, created_s_);
      }
      finished_ = Write(sink, tail + DoneEvents(driver_.request(), driver_.stats(), created_s_));
      sink.done();
      return finished_;
    }
    case GenerationOutput::Kind::kFailed:
      refusal_ = output.refusal;
      finished_ = true;
      static_cast<void>(
          Write(sink, ErrorEvent(RefusalBody(output.refusal, driver_.request().request_id))));
      sink.done();
      return true;
    case GenerationOutput::Kind::kWaiting:
      break;
  }
  if (CancelIfDisconnected()) {
    return false;
  }
  if (context_.clock.now() - last_write_ < kKeepAliveInterval) {
    return true;
  }
  return Write(sink, ": keep-alive\n\n");
}

bool GenerationSession::WriteText(httplib::DataSink& sink, std::string text) {
  text.insert(0, partial_character_);
  const std::size_t complete_bytes = CompleteUtf8Length(text);
  partial_character_ = text.substr(complete_bytes);
  if (complete_bytes == 0) {
    return true;
  }
  const bool first = !wrote_text_;
  wrote_text_ = true;
  return Write(sink, TextEvent(driver_.request(), std::string_view(text).substr(0, complete_bytes),
                               first, created_s_));
}

bool GenerationSession::Write(httplib::DataSink& sink, const std::string& data) {
  last_write_ = context_.clock.now();
  if (sink.write(data.data(), data.size())) {
    return true;
  }
  driver_.Cancel(kCallerDisconnectedReason);
  return false;
}

}  // namespace rattanramp::entry
