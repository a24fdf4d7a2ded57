// Connects one generation request to its HTTP response: a single JSON body or server-sent events.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/http_server.h"
#include "entry/access_log.h"
#include "entry/active_requests.h"
#include "entry/generation_driver.h"

namespace rattanramp::entry {

class GenerationSession {
 public:
  GenerationSession(const DriverContext& context, GenerationRequest request,
                    const std::string& failure_domain, Milliseconds lease, ActiveRequests& active);
  /// Cancels the request if its response is not complete, and writes the access log.
  ~GenerationSession();
  GenerationSession(const GenerationSession&) = delete;
  GenerationSession& operator=(const GenerationSession&) = delete;

  /// Waits until the output is complete and fills in the response.
  void SendFullResponse(httplib::Response& response);

  /// Waits briefly for the first output, so that an early refusal is sent with its own HTTP status.
  /// Returns false when the response was filled in with a refusal and there is no stream.
  bool BeginStream(httplib::Response& response);
  /// Content provider of the stream. Returns false when the caller has disconnected.
  bool ContinueStream(httplib::DataSink& sink);

 private:
  GenerationOutput Next();
  /// Cancels the request and returns true when the caller has disconnected.
  bool CancelIfDisconnected();
  bool Write(httplib::DataSink& sink, const std::string& data);
  bool WriteText(httplib::DataSink& sink, std::string text);
  void Refuse(const Refusal& refusal, httplib::Response& response);

  DriverContext context_;
  GenerationDriver driver_;
  ActiveRequest active_;
  std::int64_t created_s_;
  int status_ = 200;
  std::optional<Refusal> refusal_;
  std::optional<GenerationOutput> first_output_;
  /// Bytes of an incomplete UTF-8 character at the end of the text received so far.
  std::string partial_character_;
  bool wrote_text_ = false;
  bool finished_ = false;
  TimePoint last_write_;
};

}  // namespace rattanramp::entry
