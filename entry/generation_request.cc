#include "entry/generation_request.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "entry/crash_tracker.h"

namespace rattanramp::entry {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;

Refusal Refuse(const char* kind, int status, std::string message, std::string remedy) {
  Refusal refusal;
  refusal.kind = kind;
  refusal.status = status;
  refusal.message = std::move(message);
  refusal.remedy = std::move(remedy);
  return refusal;
}

RefusalOr<std::string> StringField(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end() || found->is_null()) {
    return std::string();
  }
  if (!found->is_string()) {
    return Refuse("malformed_json", kBadRequest, std::string("'") + name + "' is not a string",
                  std::string("send '") + name + "' as a string");
  }
  return found->get<std::string>();
}

RefusalOr<std::string> CompletionPrompt(const json& body) {
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string() ||
      prompt->get_ref<const std::string&>().empty()) {
    return Refuse("missing_prompt", kBadRequest, "'prompt' is missing, empty or not a string",
                  "send the prompt as one non-empty string");
  }
  return prompt->get<std::string>();
}

RefusalOr<std::string> ChatPrompt(const json& body) {
  const auto messages = body.find("messages");
  const Refusal missing =
      Refuse("missing_prompt", kBadRequest, "'messages' has no message with 'role' and 'content'",
             "send messages: [{\"role\":\"user\",\"content\":\"...\"}]");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return missing;
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
        !message.contains("content") || !message["content"].is_string()) {
      return missing;
    }
    prompt +=
        message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
  }
  return prompt;
}

RefusalOr<std::shared_ptr<const Service>> ChooseService(const std::string& service_name,
                                                        const std::string& model,
                                                        const ServiceDirectory& directory) {
  if (!service_name.empty()) {
    std::shared_ptr<const Service> service = directory.Find(service_name);
    if (!service || service->settings.kind != "language") {
      return Refuse("unknown_service", kNotFound,
                    "no language service is named '" + service_name + "'",
                    "use the name of a language service in the settings");
    }
    return service;
  }
  std::vector<std::shared_ptr<const Service>> matches = directory.LanguageServices(model);
  if (matches.empty()) {
    return Refuse("unknown_model", kNotFound, "no service uses the model '" + model + "'",
                  "GET /v1/models lists the models");
  }
  if (matches.size() > 1) {
    return Refuse("unknown_service", kNotFound, "several services match the request",
                  "name one in the X-Service header or the 'service' field");
  }
  return matches.front();
}

RefusalOr<std::int32_t> OutputLimit(const json& body, const settings::Settings& settings) {
  const char* name =
      body.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
  const auto found = body.find(name);
  if (found == body.end() || found->is_null()) {
    return static_cast<std::int32_t>(
        std::min(settings.expected_output_tokens, settings.max_output_tokens));
  }
  const bool valid =
      found->is_number_integer() && *found >= 1 && *found <= settings.max_output_tokens;
  if (!valid) {
    return Refuse("bad_max_tokens", kBadRequest,
                  std::string("'") + name + "' is not an integer from 1 to " +
                      std::to_string(settings.max_output_tokens),
                  "send a value in that range or leave the field out");
  }
  return found->get<std::int32_t>();
}

RefusalOr<bool> StreamFlag(const json& body) {
  const auto found = body.find("stream");
  if (found == body.end() || found->is_null()) {
    return false;
  }
  if (!found->is_boolean()) {
    return Refuse("malformed_json", kBadRequest, "'stream' is not a boolean",
                  "send 'stream' as true or false");
  }
  return found->get<bool>();
}

}  // namespace

std::int32_t EstimateTokens(std::size_t bytes) {
  return static_cast<std::int32_t>((bytes + kBytesPerToken - 1) / kBytesPerToken);
}

RefusalOr<GenerationRequest> ParseGeneration(const std::string& body, bool chat,
                                             const std::string& service_header,
                                             const ServiceDirectory& directory) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return Refuse("malformed_json", kBadRequest, "the body is not a JSON object",
                  "check the body with a JSON validator");
  }
  GenerationRequest request;
  request.chat = chat;
  BOOST_OUTCOME_TRY(model, StringField(parsed, "model"));
  BOOST_OUTCOME_TRY(service_field, StringField(parsed, "service"));
  BOOST_OUTCOME_TRY(service, ChooseService(service_header.empty() ? service_field : service_header,
                                           model, directory));
  const settings::Settings& settings = service->settings;
  if (!model.empty() && model != settings.model) {
    return Refuse("unknown_model", kNotFound,
                  "service '" + service->name + "' does not use the model '" + model + "'",
                  "use '" + settings.model + "' or leave 'model' out");
  }
  if (static_cast<std::int64_t>(body.size()) > settings.max_body_bytes) {
    return Refuse("body_too_large", kPayloadTooLarge,
                  "the body has " + std::to_string(body.size()) + " bytes",
                  "send at most " + std::to_string(settings.max_body_bytes) + " bytes");
  }
  BOOST_OUTCOME_TRY(prompt, chat ? ChatPrompt(parsed) : CompletionPrompt(parsed));
  request.prompt_tokens = EstimateTokens(prompt.size());
  if (request.prompt_tokens > settings.max_prompt_tokens) {
    return Refuse("prompt_too_long", kPayloadTooLarge,
                  "the prompt has about " + std::to_string(request.prompt_tokens) + " tokens",
                  "send at most " + std::to_string(settings.max_prompt_tokens) + " tokens");
  }
  BOOST_OUTCOME_TRY(max_output, OutputLimit(parsed, settings));
  BOOST_OUTCOME_TRY(stream, StreamFlag(parsed));
  request.max_output_tokens = max_output;
  request.stream = stream;
  request.model = settings.model;
  request.service = std::move(service);
  request.prompt = std::move(prompt);
  request.fingerprint = Fingerprint(request.service->name, request.model, body);
  return request;
}

}  // namespace rattanramp::entry
