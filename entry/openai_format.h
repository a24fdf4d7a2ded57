// Formats responses in the OpenAI-compatible JSON format.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "entry/generation_request.h"
#include "entry/request_stats.h"

namespace rattanramp::entry {

/// Returns "length" when max_output_tokens was reached, else "stop".
std::string_view FinishReason(const GenerationRequest& request, const RequestStats& stats);

/// Returns the JSON body of a response without streaming, including usage.
std::string FullResponse(const GenerationRequest& request, const RequestStats& stats,
                         const std::string& text, std::int64_t created_s);

/// Returns a server-sent event with a part of the text. first marks the first event of the stream.
std::string TextEvent(const GenerationRequest& request, std::string_view text, bool first,
                      std::int64_t created_s);

/// Returns the last events of a complete stream: finish reason with usage, then "[DONE]".
std::string DoneEvents(const GenerationRequest& request, const RequestStats& stats,
                       std::int64_t created_s);

/// Returns the last event of a stream that failed.
std::string ErrorEvent(const nlohmann::json& body);

/// Returns the length of the longest prefix that does not end inside a UTF-8 character. A chunk may
/// end inside a character; its remaining bytes are sent with the next chunk.
std::size_t CompleteUtf8Length(std::string_view text);

}  // namespace rattanramp::entry
