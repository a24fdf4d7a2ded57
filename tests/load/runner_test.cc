#include "load/runner.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "load/report.h"
#include "tests/gateway/fake_engine.h"
#include "tests/support/broken_heads.h"

using namespace rattanramp;
using load::RequestKind;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

const std::string kCompletion = R"({"choices":[{"text":"x"}],"key":"k"})";
const std::string kEvents = "data: " + kCompletion + "\n\ndata: [DONE]\n\n";

/// Sends one request to an entry that sends `answer`.
load::RequestRecord Send(RequestKind kind, bool is_stream, const FakeAnswer& answer,
                         std::size_t prompt_bytes = 1) {
  FakeEngine server([&](const std::string& /*head*/, int /*number*/) { return answer; });
  load::Workload workload;
  workload.services.resize(1);
  workload.services[0].service = "s";
  workload.services[0].kind = kind;
  workload.services[0].path = "/items";
  workload.services[0].stream = is_stream;
  load::PlannedRequest request;
  request.prompt = std::string(prompt_bytes, 'u');
  load::RunnerOptions options;
  options.entries = {"127.0.0.1:" + std::to_string(server.port())};
  options.timeout = Milliseconds(2'000);
  return load::RunPlan(workload, {request}, options).front();
}

void ExpectNoAnswer(const std::vector<std::string>& heads) {
  for (const std::string& head : heads) {
    for (const bool is_closed : {false, true}) {
      const auto answer = [&](const std::string& body) {
        FakeAnswer fake{tests::WithLength(head, body)};
        fake.close = is_closed;
        return fake;
      };
      for (const load::RequestRecord& record :
           {Send(RequestKind::kCompletion, true, answer(kEvents)),
            Send(RequestKind::kCompletion, false, answer(kCompletion)),
            Send(RequestKind::kLookup, false, answer("x")),
            Send(RequestKind::kClaim, false, answer("x"))}) {
        cr_expect(!record.complete, "complete after '%s'", head.c_str());
        cr_expect_eq(record.status, 0, "status %d after '%s'", record.status, head.c_str());
        cr_expect(record.error_kind.starts_with("connection: "), "'%s' after '%s'",
                  record.error_kind.c_str(), head.c_str());
      }
      const FakeAnswer counts =
          answer(R"({"prefill_tokens_spent":1,"runs":[{"key":"k","count":1}]})");
      FakeEngine server([&](const std::string& /*head*/, int /*number*/) { return counts; });
      const std::vector<std::string> urls = {"http://127.0.0.1:" + std::to_string(server.port())};
      cr_expect_eq(load::ReadPrefillTotals(urls).spent, 0, "totals: '%s'", head.c_str());
      cr_expect(load::ReadRunsByKey(urls).empty(), "runs: '%s'", head.c_str());
    }
  }
}

}  // namespace

// Guards against a report that counts an answer with a status that HTTP does not have.
Test(load_runner, status_out_of_range_is_no_answer, .timeout = 120) {
  ExpectNoAnswer(tests::HeadsWithBadStatus());
}

// Guards against a report that hides a broken answer: a field's name holds a blank or a control
// byte.
Test(load_runner, field_name_that_is_no_token_is_no_answer, .timeout = 240) {
  ExpectNoAnswer(tests::HeadsWithBadName());
}

// Guards against a part of an answer that counts as a whole one: the entry reset the connection
// while the request was still being sent.
Test(load_runner, answer_reset_during_the_upload_is_broken, .timeout = 120) {
  constexpr std::size_t kUploadBytes = 32 * 1024 * 1024;
  for (int round = 0; round < 10; ++round) {
    for (const bool is_stream : {false, true}) {
      const load::RequestRecord record = Send(
          RequestKind::kCompletion, is_stream,
          {"HTTP/1.1 200 OK\r\n\r\n" + (is_stream ? kEvents : kCompletion), true}, kUploadBytes);
      cr_expect(!record.complete);
      cr_expect(record.error_kind.starts_with("connection: "), "'%s'", record.error_kind.c_str());
    }
  }
}
