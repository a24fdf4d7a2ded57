// Answers in the usual OpenAI-compatible shapes.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "entry/generation_request.h"
#include "entry/request_stats.h"

namespace rattanramp::entry {

/// "length" when all tokens that were asked for were generated, else "stop".
std::string_view FinishReason(const GenerationRequest& request, const RequestStats& stats);

/// Whole answer with usage.
std::string FullResponse(const GenerationRequest& request, const RequestStats& stats,
                         const std::string& text, std::int64_t created_s);

/// Server-sent event with a piece of the text; first marks the first piece.
std::string TextEvent(const GenerationRequest& request, std::string_view text, bool first,
                      std::int64_t created_s);

/// Last events of a whole stream: finish reason, usage and the end mark.
std::string DoneEvents(const GenerationRequest& request, const RequestStats& stats,
                       std::int64_t created_s);

/// Last event of a stream that could not be finished.
std::string ErrorEvent(const nlohmann::json& body);

/// Length of the longest prefix that does not end inside a UTF-8 character. A chunk may end there;
/// the rest is sent with the next one.
std::size_t CompleteUtf8Length(std::string_view text);

}  // namespace rattanramp::entry
