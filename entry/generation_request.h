// Parses and validates generation requests: body, service, model and limits.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "entry/refusal.h"
#include "entry/service_directory.h"

namespace rattanramp::entry {

struct GenerationRequest {
  std::string request_id;
  std::shared_ptr<const Service> service;
  std::string model;
  std::string prompt;
  std::int32_t prompt_tokens = 0;
  std::int32_t max_output_tokens = 0;
  bool chat = false;
  bool stream = false;
  std::int64_t fingerprint = 0;
  TimePoint arrived;
};

/// Estimates the number of tokens of a text at 4 bytes per token.
std::int32_t EstimateTokens(std::size_t bytes);

/// Parses the body of POST /v1/completions or, if chat is true, of POST /v1/chat/completions.
/// service_header is the value of the X-Service header, or empty.
RefusalOr<GenerationRequest> ParseGeneration(const std::string& body, bool chat,
                                             const std::string& service_header,
                                             const ServiceDirectory& directory);

}  // namespace rattanramp::entry
