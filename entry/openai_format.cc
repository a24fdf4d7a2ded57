#include "entry/openai_format.h"

#include <algorithm>

namespace rattanramp::entry {
namespace {

using nlohmann::json;

/// Serializes JSON and replaces invalid UTF-8, which the text of a model may contain. Without the
/// replacement, serialization would throw and abort the response.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ServerSentEvent(const json& value) { return "data: " + Dump(value) + "\n\n"; }

json ResponseObject(const GenerationRequest& request, const char* object, std::int64_t created_s) {
  return {{"id", request.request_id},
          {"object", object},
          {"created", created_s},
          {"model", request.model}};
}

json StreamObject(const GenerationRequest& request, json choice, std::int64_t created_s) {
  json chunk = ResponseObject(request, request.chat ? "chat.completion.chunk" : "text_completion",
                              created_s);
  choice["index"] = 0;
  chunk["choices"] = json::array({std::move(choice)});
  return chunk;
}

json Usage(const RequestStats& stats) {
  return {{"prompt_tokens", stats.prompt_tokens},
          {"completion_tokens", stats.output_tokens},
          {"total_tokens", stats.prompt_tokens + stats.output_tokens}};
}

}  // namespace

std::string_view FinishReason(const GenerationRequest& request, const RequestStats& stats) {
  return stats.output_tokens >= request.max_output_tokens ? "length" : "stop";
}

std::string FullResponse(const GenerationRequest& request, const RequestStats& stats,
                         const std::string& text, std::int64_t created_s) {
  json choice = {{"index", 0}, {"finish_reason", FinishReason(request, stats)}};
  if (request.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
    choice["logprobs"] = nullptr;
  }
  json answer =
      ResponseObject(request, request.chat ? "chat.completion" : "text_completion", created_s);
  answer["choices"] = json::array({std::move(choice)});
  answer["usage"] = Usage(stats);
  return Dump(answer);
}

std::string TextEvent(const GenerationRequest& request, std::string_view text, bool first,
                      std::int64_t created_s) {
  json choice = {{"finish_reason", nullptr}};
  if (request.chat) {
    choice["delta"] = {{"content", text}};
    if (first) {
      choice["delta"]["role"] = "assistant";
    }
  } else {
    choice["text"] = text;
  }
  return ServerSentEvent(StreamObject(request, std::move(choice), created_s));
}

std::string DoneEvents(const GenerationRequest& request, const RequestStats& stats,
                       std::int64_t created_s) {
  json choice = {{"finish_reason", FinishReason(request, stats)}};
  if (request.chat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  json chunk = StreamObject(request, std::move(choice), created_s);
  chunk["usage"] = Usage(stats);
  return ServerSentEvent(chunk) + "data: [DONE]\n\n";
}

std::string ErrorEvent(const json& body) { return "event: error\n" + ServerSentEvent(body); }

std::size_t CompleteUtf8Length(std::string_view text) {
  constexpr std::size_t kMaxCharacterBytes = 4;
  const std::size_t checked_bytes = std::min(kMaxCharacterBytes, text.size());
  for (std::size_t from_end = 1; from_end <= checked_bytes; ++from_end) {
    const unsigned char byte = static_cast<unsigned char>(text[text.size() - from_end]);
    if ((byte & 0xC0U) == 0x80U) {
      continue;
    }
    std::size_t length = 1;
    if ((byte & 0xE0U) == 0xC0U) {
      length = 2;
    } else if ((byte & 0xF0U) == 0xE0U) {
      length = 3;
    } else if ((byte & 0xF8U) == 0xF0U) {
      length = 4;
    }
    return length > from_end ? text.size() - from_end : text.size();
  }
  return text.size();
}

}  // namespace rattanramp::entry
