#include "ctl/operator_client.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "tests/gateway/fake_engine.h"
#include "tests/support/broken_heads.h"

using namespace rattanramp;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

constexpr Milliseconds kTimeout{1'000};

std::vector<std::string> AddressOf(const FakeEngine& server) {
  return {"127.0.0.1:" + std::to_string(server.port())};
}

/// Expects that commands do not take answers with these heads for answers.
void ExpectNoAnswer(const std::vector<std::string>& heads) {
  for (const std::string& head : heads) {
    for (const bool is_closed : {false, true}) {
      FakeEngine server([&](const std::string& /*head*/, int /*number*/) {
        FakeAnswer answer{tests::WithLength(head, "{}")};
        answer.close = is_closed;
        return answer;
      });
      const ctl::OperatorClient client =
          ctl::OperatorClient::Create(AddressOf(server), kTimeout).value();
      const Result<ctl::OperatorResponse> read = client.Get("/state", {{"name", "value"}});
      cr_expect(!read.has_value() && read.error().kind == ErrorKind::kUnavailable, "get: '%s'",
                head.c_str());
      const Result<ctl::OperatorResponse> written = client.Post(0, "/settings/changes", "{}");
      cr_expect(!written.has_value() && written.error().kind == ErrorKind::kReplyLost, "post: '%s'",
                head.c_str());
    }
  }
}

}  // namespace

// Guards against a command that reports the outcome of a change from an answer with a status that
// HTTP does not have.
Test(operator_client, status_out_of_range_is_no_answer, .timeout = 60) {
  ExpectNoAnswer(tests::HeadsWithBadStatus());
}

// Guards against the same after a field whose name holds a blank or a control byte.
Test(operator_client, field_name_that_is_no_token_is_no_answer, .timeout = 120) {
  ExpectNoAnswer(tests::HeadsWithBadName());
}

// Guards against a change that counts as accepted although the process reset the connection while
// the request was still being sent.
Test(operator_client, answer_reset_during_the_upload_is_broken, .timeout = 120) {
  constexpr std::size_t kUploadBytes = 32 * 1024 * 1024;
  for (int round = 0; round < 20; ++round) {
    FakeEngine server([](const std::string& /*head*/, int /*number*/) {
      return FakeAnswer{"HTTP/1.1 200 OK\r\n\r\n{}", true};
    });
    const Result<ctl::OperatorResponse> written =
        ctl::OperatorClient::Create(AddressOf(server), kTimeout)
            .value()
            .Post(0, "/settings/changes", std::string(kUploadBytes, 'u'));
    cr_expect(!written.has_value() && written.error().kind == ErrorKind::kReplyLost);
  }
}
