#include "platform/store_client.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/gateway/fake_engine.h"
#include "tests/gateway/run_until.h"
#include "tests/support/broken_heads.h"

using namespace rattanramp;

namespace {

tests::FakeAnswer OkAnswer(const std::string& body) {
  return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

/// Result of reading a table from a service.
std::optional<Result<store::TableRows>> ReadFrom(tests::FakeEngine& service) {
  asio::io_context context;
  const std::unique_ptr<platform::StoreClient> client =
      platform::StoreClient::Create(context, {asio::ip::address_v4::loopback(), service.port()});
  std::optional<Result<store::TableRows>> rows;
  client->ReadAll("t", [&](Result<store::TableRows> read) { rows = std::move(read); });
  tests::RunUntil(context, [&] { return rows.has_value(); });
  return rows;
}

std::optional<Result<store::TableRows>> ReadAnswer(const tests::FakeAnswer& answer) {
  tests::FakeEngine service([&](const std::string& /*head*/, int /*number*/) { return answer; });
  return ReadFrom(service);
}

/// Result of reading a table from a service that answers with `body`.
std::optional<Result<store::TableRows>> ReadAnswer(const std::string& body) {
  return ReadAnswer(OkAnswer(body));
}

}  // namespace

// Guards against a process that ends, or cannot read a table any more, because one row has a value
// that is not base64 or a field of an unexpected type.
Test(store_client, odd_row_does_not_hide_the_others, .timeout = 30) {
  const std::optional<Result<store::TableRows>> rows = ReadAnswer(
      R"({"ver":5,"now_ms":7,"rows":[{"key":"a","value":"%%%","ver":1},)"
      R"({"key":"b","value":"eHk=","ver":"two","deleted":"no"},{"key":"c","value":5,"ver":1e300},)"
      R"({"key":"d","value":"eHk=","ver":4}]})");
  cr_assert(rows && rows->has_value());
  cr_assert_eq(rows->value().rows.size(), 4);
  cr_assert_eq(rows->value().rows[0].value, "");
  cr_assert_eq(rows->value().rows[1].value, "xy");
  cr_assert_eq(rows->value().rows[3].value, "xy");
  cr_assert_eq(rows->value().rows[3].version, 4);
  cr_assert_eq(rows->value().clock_ms, 7);
}

// Guards against a process that ends because the service's own fields have unexpected types.
Test(store_client, odd_answer_is_an_error_or_has_no_rows, .timeout = 60) {
  const std::string nested = std::string(20'000, '[') + std::string(20'000, ']');
  for (const std::string& body :
       {std::string(R"({"rows":5})"), std::string("[]"), std::string(R"({"rows":[5]})"),
        R"({"rows":)" + nested + "}", nested}) {
    const std::optional<Result<store::TableRows>> rows = ReadAnswer(body);
    cr_expect(rows && !rows->has_value());
  }
  const std::optional<Result<store::TableRows>> empty =
      ReadAnswer(R"({"ver":"five","now_ms":{},"has_more":1,"rows":[]})");
  cr_assert(empty && empty->has_value());
  cr_assert_eq(empty->value().rows.size(), 0);
}

// Guards against a process that runs out of memory because the service, or what answers in its
// place, sends a body without end.
Test(store_client, endless_answer_is_an_error, .timeout = 30) {
  tests::FakeEngine service([&](const std::string& /*head*/, int /*number*/) -> tests::FakeAnswer {
    tests::FakeAnswer answer{"HTTP/1.1 200 OK\r\n\r\n"};
    answer.endless = std::string(4'096, ' ');
    return answer;
  });
  const std::optional<Result<store::TableRows>> rows = ReadFrom(service);
  cr_assert(rows && !rows->has_value());
  cr_expect_eq(rows->error().kind, ErrorKind::kProtocol);
  cr_expect_lt(service.endless_bytes(), 32 * 1024 * 1024);
}

// Guards against a missed change of a row that is written after its page was read.
Test(store_client, table_has_the_version_of_its_first_page, .timeout = 30) {
  // Row "a" is written with version 6 after the first page, so changes must be read from 5 on.
  tests::FakeEngine service([](const std::string& /*head*/, int number) {
    switch (number) {
      case 0:
        return OkAnswer(R"({"ver":5,"has_more":true,"rows":[{"key":"a","ver":1}]})");
      case 1:
        return OkAnswer(R"({"ver":6,"has_more":true,"rows":[{"key":"b","ver":2}]})");
      default:
        return OkAnswer(R"({"ver":7,"has_more":false,"rows":[{"key":"c","ver":7}]})");
    }
  });
  const std::optional<Result<store::TableRows>> rows = ReadFrom(service);
  cr_assert(rows && rows->has_value());
  cr_assert_eq(service.heads().size(), 3);
  cr_assert_eq(rows->value().rows.size(), 3);
  cr_assert_eq(rows->value().rows[0].version, 1);
  cr_assert_eq(rows->value().version, 5, "%ld", static_cast<long>(rows->value().version));
}

// Guards against missed changes that were left out of an answer because it has a maximum size.
Test(store_client, incomplete_changes_have_the_version_of_their_last_row, .timeout = 30) {
  const auto version_of = [](const std::string& body) {
    tests::FakeEngine service(
        [&](const std::string& /*head*/, int /*number*/) { return OkAnswer(body); });
    asio::io_context context;
    const std::unique_ptr<platform::StoreClient> client =
        platform::StoreClient::Create(context, {asio::ip::address_v4::loopback(), service.port()});
    std::optional<Result<store::TableRows>> rows;
    client->WaitForChanges("t", 5, Milliseconds(100),
                           [&](Result<store::TableRows> read) { rows = std::move(read); });
    tests::RunUntil(context, [&] { return rows.has_value(); });
    return rows && rows->has_value() ? rows->value().version : -1;
  };
  const std::string rows = R"("rows":[{"key":"a","ver":6},{"key":"b","ver":8}])";
  cr_expect_eq(version_of(R"({"ver":12,"has_more":true,)" + rows + "}"), 8);
  cr_expect_eq(version_of(R"({"ver":12,"has_more":false,)" + rows + "}"), 12);
  cr_expect_eq(version_of(R"({"ver":12,)" + rows + "}"), 12);
}

// Guards against a table that lost rows because its answer was cut: without a length, a service
// that crashes ends its answer like one that has finished.
Test(store_client, cut_answer_without_a_length_is_an_error, .timeout = 30) {
  const std::string body = R"({"ver":5,"rows":[{"key":"a","ver":1},{"key":"b","ver":2}]})";
  for (std::size_t size = 0; size <= body.size(); ++size) {
    tests::FakeAnswer answer{"HTTP/1.1 200 OK\r\n\r\n" + body.substr(0, size)};
    answer.close = true;
    const std::optional<Result<store::TableRows>> rows = ReadAnswer(answer);
    cr_assert(rows);
    cr_expect_eq(rows->has_value(), size == body.size(), "%zu bytes", size);
  }
}

namespace {

void ExpectNoRows(const std::vector<std::string>& heads) {
  const std::string body = R"({"ver":5,"rows":[{"key":"a","ver":1}]})";
  for (const std::string& head : heads) {
    for (const bool is_closed : {false, true}) {
      tests::FakeAnswer answer{tests::WithLength(head, body)};
      answer.close = is_closed;
      const std::optional<Result<store::TableRows>> rows = ReadAnswer(answer);
      cr_assert(rows);
      cr_expect(!rows->has_value(), "rows after '%s'", head.c_str());
      cr_expect(rows->has_value() || rows->error().message.find("in time") == std::string::npos,
                "timeout after '%s'", head.c_str());
    }
  }
}

}  // namespace

// Guards against rows from an answer with a status that HTTP does not have, and against a call that
// waits for another answer.
Test(store_client, status_out_of_range_is_an_error, .timeout = 60) {
  ExpectNoRows(tests::HeadsWithBadStatus());
}

// Guards against rows from an answer with a field whose name holds a blank or a control byte.
Test(store_client, field_name_that_is_no_token_is_an_error, .timeout = 60) {
  ExpectNoRows(tests::HeadsWithBadName());
}

// Guards against a write that counts as done although the service reset the connection while the
// request was still being sent.
Test(store_client, answer_reset_during_the_upload_is_an_error, .timeout = 120) {
  const std::string value(24 * 1024 * 1024, 'u');
  for (int round = 0; round < 10; ++round) {
    tests::FakeEngine service([](const std::string& /*head*/, int /*number*/) -> tests::FakeAnswer {
      return {"HTTP/1.1 200 OK\r\n\r\n{}", true};
    });
    asio::io_context context;
    const std::unique_ptr<platform::StoreClient> client =
        platform::StoreClient::Create(context, {asio::ip::address_v4::loopback(), service.port()});
    std::optional<Result<void>> written;
    client->Write("t", "k", value, [&](Result<void> result) { written = std::move(result); });
    tests::RunUntil(context, [&] { return written.has_value(); });
    cr_expect(written && !written->has_value());
  }
}
