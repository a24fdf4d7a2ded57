#include "platform/request_format.h"

#include <criterion/criterion.h>

using namespace rattanramp;

namespace {

http::RequestHead Head(http::Fields fields) {
  http::RequestHead head;
  head.method = "POST";
  head.target = "/a/b?c=d";
  head.fields = std::move(fields);
  return head;
}

}  // namespace

// Guards against a caller controlling internal behaviour by sending fields that only the gateway
// may set. They must be removed or replaced; all other fields must be forwarded.
Test(request_format, reserved_fields_of_the_caller_are_replaced) {
  const http::RequestHead head = Head({{"Host", "h"},
                                       {"Request-Id", "r1"},
                                       {"Deadline-Ms", "14000"},
                                       {"Kv-Source", "1.2.3.4:5/x"},
                                       {"serving-stage", "prefill"},
                                       {"Pin-Ms", "9"},
                                       {"Kv-Hold", "h"},
                                       {"Kv-Backup", "1.2.3.4:5"},
                                       {"Request-Priority", "0"},
                                       {"Model-Id", "m"},
                                       {"Token-Count", "10,20"}});
  platform::UpstreamRequest request;
  request.instance = "i-1";
  request.remaining_ms = 900;
  const std::string text = platform::EncodeUpstreamRequest(head, 3, request);
  cr_assert(text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
  for (const char* removed : {"Kv-Source", "serving-stage", "Pin-Ms", "Kv-Hold", "Kv-Backup",
                              "Request-Priority", "14000"}) {
    cr_assert_eq(text.find(removed), std::string::npos, "%s was forwarded", removed);
  }
  for (const char* kept :
       {"Request-Id: r1\r\n", "Model-Id: m\r\n", "Token-Count: 10,20\r\n", "Deadline-Ms: 900\r\n",
        "Expect-Instance: i-1\r\n", "Content-Length: 3\r\n"}) {
    cr_assert_neq(text.find(kept), std::string::npos, "%s is missing", kept);
  }
}

// Guards against odd values of what a server says of itself: a pause of any text, and a statement
// of another process at the address.
Test(request_format, statements_of_a_server_are_read) {
  const auto decode = [](int status, const std::string& name, const std::string& value) {
    http::ResponseHead head;
    head.status = status;
    head.fields = {{"Request-Id", "r1"}, {name, value}};
    return platform::DecodeAnswer(head);
  };
  const auto pause = [&](const std::string& value) {
    return decode(503, "Retry-After", value).pause_ms;
  };
  cr_assert(pause("2") == 2'000);
  cr_assert(pause("0.25") == 250);
  cr_assert(pause("1.5") == 1'500);
  cr_assert(pause("0") == 0);
  for (const char* value :
       {"", "-1", "soon", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT", ".5", "1.x"}) {
    cr_assert(!pause(value), "'%s' was taken for a pause", value);
  }
  for (const char* value : {"999999999", "99999999999999999999999999", "3600.5"}) {
    cr_assert(pause(value) == 3'600'000, "'%s'", value);
  }
  cr_assert(!decode(200, "Retry-After", "2").pause_ms);
  cr_assert(decode(200, "Server-Leaving", "1").is_leaving);
  cr_assert(decode(503, "server-leaving", "1").is_leaving);
  cr_assert(!decode(200, "Server-Leaving", "0").is_leaving);
  cr_assert(!decode(421, "Server-Leaving", "1").is_leaving);
}

// Guards against parts of prompts that are taken for different ones because of their spelling, and
// against the last part, which only this request or its session has, counting as shared.
Test(request_format, prompt_parts_are_read_without_the_last_one) {
  const auto decode = [](const std::string& parts) {
    return platform::DecodeRequest(Head({{"Request-Id", "r1"}, {"Prompt-Prefix", parts}})).value();
  };
  const core::RequestFacts facts = decode("5C1E07a2:800, 91bd3f06:410 ,e4402b7d:250");
  cr_assert((facts.prompt_parts == std::vector<std::string>{"5c1e07a2", "91bd3f06"}));
  cr_assert_eq(facts.prompt_id, "e4402b7d");
  cr_assert(decode("e4402b7d:250").prompt_parts.empty());
  cr_assert_eq(decode("e4402b7d:250").prompt_id, "e4402b7d");
  cr_assert_eq(decode(",,").prompt_parts.size(), 2);
  cr_assert(decode("").prompt_id.empty());
}

// Guards against a continued stream starting at the wrong event: the last event that the gateway
// received must replace the caller's Last-Event-Id.
Test(request_format, continuation_replaces_the_callers_last_event_id) {
  const http::RequestHead head = Head({{"Request-Id", "r1"}, {"Last-Event-Id", "3"}});
  platform::UpstreamRequest request;
  request.resume_after_event = 12;
  const std::string text = platform::EncodeUpstreamRequest(head, 0, request);
  cr_assert_neq(text.find("Last-Event-Id: 12\r\n"), std::string::npos);
  cr_assert_eq(text.find("Last-Event-Id: 3\r\n"), std::string::npos);
  request.resume_after_event.reset();
  cr_assert_neq(platform::EncodeUpstreamRequest(head, 0, request).find("Last-Event-Id: 3\r\n"),
                std::string::npos);
}

// Guards against a prefill request with a Last-Event-Id when a stream is continued. The field
// applies to the decode only.
Test(request_format, prefill_has_no_last_event_id) {
  const http::RequestHead head = Head({{"Request-Id", "r1"}, {"Last-Event-Id", "3"}});
  platform::UpstreamRequest request;
  request.call = platform::UpstreamCall::kPrefill;
  request.resume_after_event = 12;
  const std::string text = platform::EncodeUpstreamRequest(head, 0, request);
  cr_assert_eq(text.find("Last-Event-Id"), std::string::npos);
  cr_assert_neq(text.find("Serving-Stage: prefill\r\n"), std::string::npos);
}

// Guards against malformed numbers in headers being decoded as zero, and against a missing or
// repeated Request-Id being accepted.
Test(request_format, error_names_the_malformed_header) {
  cr_assert(!platform::DecodeRequest(Head({})).has_value());
  for (const http::Field& field :
       {http::Field{"Deadline-Ms", "soon"}, http::Field{"Token-Count", "1,x"},
        http::Field{"Last-Event-Id", "-1"}, http::Field{"Request-Id", "twice"}}) {
    const Result<core::RequestFacts> facts =
        platform::DecodeRequest(Head({{"Request-Id", "r1"}, field}));
    cr_assert(!facts.has_value());
    cr_assert_neq(facts.error().message.find(field.name), std::string::npos);
  }
}

// Guards against misinterpreting whether the upstream executed the request. Only Not-Executed and
// status 421 state that it did not; a repetition without such a statement could run it twice.
Test(request_format, response_states_whether_the_request_ran) {
  http::ResponseHead head;
  head.status = 503;
  cr_assert(!platform::DecodeAnswer(head).not_run);
  head.fields = {{"Not-Executed", "1"}};
  cr_assert(platform::DecodeAnswer(head).not_run);
  head.fields = {};
  head.status = 421;
  cr_assert(platform::DecodeAnswer(head).not_run);
  cr_assert(platform::DecodeAnswer(head).wrong_instance);
  head.status = 200;
  head.fields = {{"Response-Seal", "x"}, {"Keep-Alive", "timeout=4, max=9"}};
  const core::AnswerFacts facts = platform::DecodeAnswer(head);
  cr_assert(facts.is_signed);
  cr_assert_eq(*facts.idle_timeout_ms, 4'000);
}

// Guards against taking the mixture of two answers for a refusal or a success. Each of its
// statements alone would be one.
Test(request_format, mixture_of_two_answers_is_contradictory) {
  const http::Field id = {"Request-Id", "r1"};
  const http::Field signature = {"Response-Seal", "s"};
  const http::Field not_executed = {"Not-Executed", "1"};
  const auto is_contradictory = [](int status, const http::Fields& fields) {
    http::ResponseHead head;
    head.status = status;
    head.fields = fields;
    return platform::DecodeAnswer(head).is_contradictory;
  };
  cr_assert(!is_contradictory(200, {id, signature}));
  cr_assert(!is_contradictory(500, {id, signature}));
  for (const int status : {400, 421, 429, 503}) {
    cr_assert(!is_contradictory(status, {id, not_executed}));
    cr_assert(is_contradictory(status, {id, not_executed, signature}));
    cr_assert(is_contradictory(status, {id, not_executed, id}));
    cr_assert(is_contradictory(status, {not_executed, not_executed}));
  }
  cr_assert(is_contradictory(421, {id, signature}));
  cr_assert(is_contradictory(200, {id, not_executed}));
  cr_assert(is_contradictory(200, {signature, signature}));
}

// Guards against taking a body of another type, or an encoded one, for a stream of events.
Test(request_format, response_states_whether_the_body_is_a_stream) {
  http::ResponseHead head;
  cr_assert(platform::DecodeAnswer(head).is_event_stream);
  for (const char* type : {"text/event-stream", "Text/Event-Stream; charset=utf-8"}) {
    head.fields = {{"content-type", type}, {"Content-Encoding", "identity"}};
    cr_assert(platform::DecodeAnswer(head).is_event_stream);
    cr_assert(!platform::DecodeAnswer(head).is_encoded);
  }
  for (const char* type : {"application/json", "text/plain", ""}) {
    head.fields = {{"Content-Type", type}, {"content-encoding", "gzip"}};
    cr_assert(!platform::DecodeAnswer(head).is_event_stream);
    cr_assert(platform::DecodeAnswer(head).is_encoded);
  }
}

// Guards against an order being executed by another process at the same address, which
// Expect-Instance prevents, or after a newer order, which the fencing token prevents.
Test(request_format, stage_order_has_instance_holder_and_token) {
  const platform::EncodedCall call = platform::EncodeStageOrder(
      {"i-7", "10.1.64.9:8080", core::UpstreamStage::kDecode, "node-7", 41});
  cr_assert_neq(call.head.find("POST /rattanramp/order HTTP/1.1\r\n"), std::string::npos);
  cr_assert_neq(call.head.find("Expect-Instance: i-7\r\n"), std::string::npos);
  cr_assert_neq(call.head.find("Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n"),
                std::string::npos);
  cr_assert_eq(call.body, R"({"fence":41,"holder":"node-7","op":"stage","stage":"decode"})");
  cr_assert(platform::DecodeOrderAnswer(202) == platform::OrderOutcome::kAccepted);
  cr_assert(platform::DecodeOrderAnswer(200) == platform::OrderOutcome::kAccepted);
  cr_assert(platform::DecodeOrderAnswer(409) == platform::OrderOutcome::kBusy);
  cr_assert(platform::DecodeOrderAnswer(421) == platform::OrderOutcome::kRefused);
}

// Guards against a decode being sent without the KV cache of its prompt, which happens if a prefill
// response without a handle is accepted.
Test(request_format, prefill_answer_without_a_handle_is_an_error) {
  cr_assert_eq(platform::DecodePrefillAnswer(R"({"kv_handle":"3fa","tokens":5})").value(), "3fa");
  for (const char* body : {"", "[]", "{}", R"({"kv_handle":5})", R"({"kv_handle":""})"}) {
    cr_assert(!platform::DecodePrefillAnswer(body).has_value());
  }
}

// Guards against a faulty engine adding header fields to the request of another one: its handle is
// sent as a header value.
Test(request_format, handle_that_is_no_header_value_is_an_error) {
  for (const char* body : {R"({"kv_handle":"3fa\r\nX-Injected: 1"})", R"({"kv_handle":"3 fa"})",
                           R"({"kv_handle":"3fa\u0000"})"}) {
    cr_assert(!platform::DecodePrefillAnswer(body).has_value(), "%s", body);
  }
}

// Guards against undefined arithmetic on an idle timeout that does not fit its unit.
Test(request_format, absurd_idle_timeout_is_limited) {
  http::ResponseHead head;
  head.status = 200;
  head.fields = {{"Keep-Alive", "timeout=9223372036854775807"}};
  const std::optional<std::int64_t> timeout = platform::DecodeAnswer(head).idle_timeout_ms;
  cr_assert(timeout && *timeout > 0 && *timeout <= 86'400'000);
}
