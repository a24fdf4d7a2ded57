// Answers of upstreams that are no valid HTTP, or that were cut off while the request was still
// being sent.
#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "agent/http_engine.h"
#include "agent/http_service.h"
#include "tests/gateway/fake_engine.h"
#include "tests/support/broken_heads.h"

using namespace rattanramp;
using namespace rattanramp::agent;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::WithLength;

namespace {

// More than the socket buffers of both sides hold.
constexpr std::size_t kUploadBytes = 32 * 1024 * 1024;

const std::string kEvents =
    "data: {\"offset\":0,\"text\":\"x\",\"tokens\":1}\n\n"
    "data: {\"done\":true,\"output_tokens\":1}\n\n";

std::string UrlOf(const FakeEngine& server) {
  return "http://127.0.0.1:" + std::to_string(server.port());
}

CallReply Call(const FakeAnswer& answer, const std::string& body = "") {
  FakeEngine server([&](const std::string& /*head*/, int /*number*/) { return answer; });
  const std::unique_ptr<HttpService> service = HttpService::Create(UrlOf(server)).value();
  CallRequest request;
  request.request_id = "c1";
  request.method = "POST";
  request.path = "/claims";
  request.body = body;
  request.timeout = Milliseconds(2'000);
  RunControl control;
  return service->Call(request, control);
}

/// Expects that neither calls nor requests to engines take answers with these heads for answers.
void ExpectNoAnswer(const std::vector<std::string>& heads) {
  for (const std::string& head : heads) {
    for (const bool is_closed : {false, true}) {
      const auto answer = [&](const std::string& body) {
        FakeAnswer fake{WithLength(head, body)};
        fake.close = is_closed;
        return fake;
      };
      const CallReply reply = Call(answer("body"));
      cr_expect_eq(reply.status, RunStatus::kBroken, "call: status %d after '%s'",
                   reply.http_status, head.c_str());
      FakeEngine prefill([&](const std::string& /*head*/, int /*number*/) {
        return answer(R"({"kv_handle":"h","prompt_tokens":1})");
      });
      RunControl control;
      const std::unique_ptr<HttpEngine> port = HttpEngine::Create(UrlOf(prefill)).value();
      cr_expect_eq(port->Prefill({"p1", "prompt", 0}, control).run.status, RunStatus::kBroken,
                   "prefill: '%s'", head.c_str());
      FakeEngine stream(
          [&](const std::string& /*head*/, int /*number*/) { return answer(kEvents); });
      bool is_accepted = false;
      GenerateRequest request;
      request.request_id = "g1";
      RunSink sink;
      sink.on_accepted = [&] { is_accepted = true; };
      sink.on_output = [](const OutputChunk& /*chunk*/) {};
      const RunResult run =
          HttpEngine::Create(UrlOf(stream)).value()->Generate(request, sink, control);
      cr_expect_eq(run.status, RunStatus::kBroken, "stream: '%s'", head.c_str());
      cr_expect(!is_accepted);
      FakeEngine load([&](const std::string& /*head*/, int /*number*/) {
        return answer(R"({"incarnation":1,"total_pieces":1})");
      });
      const std::unique_ptr<HttpEngine> probed = HttpEngine::Create(UrlOf(load)).value();
      cr_expect(!probed->Load().has_value(), "load: '%s'", head.c_str());
      cr_expect(!probed->Events(0).has_value(), "events: '%s'", head.c_str());
      cr_expect(!probed->CancelAll().has_value(), "control: '%s'", head.c_str());
    }
  }
}

/// Uploads to a server that answers at once and never reads the rest of the request. Then it resets
/// the connection, or ends its side in an orderly way and keeps the other one open for 3 s.
CallReply UploadUnread(const std::string& answer, bool is_reset) {
  using asio::ip::tcp;
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\n" + answer));
    if (!is_reset) {
      socket.shutdown(tcp::socket::shutdown_send);
      std::this_thread::sleep_for(std::chrono::milliseconds(3'000));
    }
    // With unread bytes, the end of the socket is a reset.
  });
  const std::unique_ptr<HttpService> service =
      HttpService::Create("http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()))
          .value();
  CallRequest request;
  request.request_id = "c1";
  request.method = "POST";
  request.path = "/claims";
  request.body = std::string(kUploadBytes, 'u');
  request.timeout = Milliseconds(2'000);
  RunControl control;
  const CallReply reply = service->Call(request, control);
  server.join();
  return reply;
}

}  // namespace

// Guards against a call that is reported as answered with a status that HTTP does not have.
Test(broken_answer, status_out_of_range_is_no_answer, .timeout = 300) {
  ExpectNoAnswer(tests::HeadsWithBadStatus());
}

// Guards against an answer with a field whose name holds a blank or a control byte: the field would
// be left out, and with it the framing of the body.
Test(broken_answer, field_name_that_is_no_token_is_no_answer, .timeout = 300) {
  ExpectNoAnswer(tests::HeadsWithBadName());
}

// Guards against a body that is passed on with the framing of its chunks.
Test(broken_answer, unknown_transfer_coding_is_no_answer, .timeout = 30) {
  FakeAnswer answer{
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"};
  answer.close = true;
  cr_expect_eq(Call(answer).status, RunStatus::kBroken);
}

// Guards against an informational response that is taken for the answer.
Test(broken_answer, informational_responses_are_skipped, .timeout = 30) {
  const CallReply reply =
      Call({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
            "Link: x\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n"
            "ok"});
  cr_expect_eq(reply.status, RunStatus::kDone);
  cr_expect_eq(reply.http_status, 201);
  cr_expect_eq(reply.body, std::string("ok"));
}

// Guards against a part of an answer that counts as a whole one: the server answered at once,
// without a length, and reset the connection while the request was still being sent.
Test(broken_answer, answer_reset_during_the_upload_is_broken, .timeout = 120) {
  for (int round = 0; round < 20; ++round) {
    const CallReply reply =
        Call({"HTTP/1.1 200 OK\r\n\r\npart", true}, std::string(kUploadBytes, 'u'));
    cr_expect_eq(reply.status, RunStatus::kBroken, "status %d, '%s'", reply.http_status,
                 reply.body.c_str());
  }
}

// Guards against a sound answer that is lost because the server sent it before it had read the
// request and then ended its side in an orderly way.
Test(broken_answer, early_answer_with_an_orderly_end_is_taken, .timeout = 120) {
  using asio::ip::tcp;
  for (const std::string& framing : {std::string(), std::string("Content-Length: 2\r\n")}) {
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::thread server([&] {
      tcp::socket socket = acceptor.accept();
      std::string request;
      std::error_code error;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\n" + framing + "\r\nok"));
      socket.shutdown(tcp::socket::shutdown_send);
      std::vector<char> bytes(64 * 1024);
      for (std::size_t read = request.size(); read < kUploadBytes && !error;) {
        read += socket.read_some(asio::buffer(bytes), error);
      }
    });
    const std::unique_ptr<HttpService> service =
        HttpService::Create("http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()))
            .value();
    CallRequest request;
    request.request_id = "c1";
    request.method = "POST";
    request.path = "/claims";
    request.body = std::string(kUploadBytes, 'u');
    request.timeout = Milliseconds(2'000);
    RunControl control;
    const CallReply reply = service->Call(request, control);
    server.join();
    cr_expect_eq(reply.status, RunStatus::kDone, "%s", reply.message.c_str());
    cr_expect_eq(reply.body, std::string("ok"));
  }
}

// Guards against a part of an answer that counts as a whole one, when the server never reads the
// rest of the request.
Test(broken_answer, part_of_an_early_answer_is_broken_when_the_request_stays_unread,
     .timeout = 60) {
  for (const std::string& answer :
       {std::string("Content-Length: 9\r\n\r\npart"),
        std::string("Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")}) {
    for (const bool is_reset : {true, false}) {
      cr_expect_eq(UploadUnread(answer, is_reset).status, RunStatus::kBroken, "'%s'",
                   answer.c_str());
    }
  }
  cr_expect_eq(UploadUnread("\r\npart", true).status, RunStatus::kBroken);
}

// Guards against a sound answer that is lost because the server never reads the rest of the
// request.
Test(broken_answer, early_answer_is_taken_when_the_request_stays_unread, .timeout = 60) {
  const CallReply reply = UploadUnread("Content-Length: 2\r\n\r\nok", false);
  cr_expect_eq(reply.status, RunStatus::kDone);
  cr_expect_eq(reply.body, std::string("ok"));
}
