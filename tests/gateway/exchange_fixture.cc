#include "tests/gateway/exchange_fixture.h"

#include <utility>

#include "gateway/generation_exchange.h"
#include "gateway/plain_exchange.h"

namespace rattanramp::tests {

void RecordingSink::Answer(int code, const http::Fields& answer_fields, std::string text) {
  status = code;
  fields = answer_fields;
  body += text;
  is_complete = true;
  context.stop();
}

void RecordingSink::StartStream(int code, const http::Fields& answer_fields,
                                gateway::StreamEnd /*end*/) {
  status = code;
  fields = answer_fields;
}

void RecordingSink::EndStream() {
  is_complete = true;
  context.stop();
}

void RecordingSink::Abort() {
  is_aborted = true;
  context.stop();
}

ExchangeFixture::ExchangeFixture()
    : fleet(),
      dispatcher(context, DefaultClock()),
      state{context, DefaultClock(), settings, fleet, dispatcher,
            metrics, retry_windows,  [] {},    {},    1},
      sink(context) {
  settings.retry_bound = {0.2, 58, Milliseconds(10'000)};
}

void ExchangeFixture::Add(const std::string& id, core::UpstreamStage stage, std::uint16_t port,
                          std::int64_t slots) {
  core::UpstreamInfo info;
  info.id = id;
  info.service = "s";
  info.failure_domain = "domain-a";
  info.address = "127.0.0.1";
  info.port = port;
  info.stage = stage;
  info.slots = slots;
  core::DirectoryChange change;
  change.added = {info};
  fleet.Apply(change);
}

std::shared_ptr<gateway::Upstream> ExchangeFixture::RemoveAndReturn(const std::string& id) {
  core::DirectoryChange change;
  change.removed = {fleet.upstreams().at(id)->info};
  fleet.Apply(change);
  change.added = std::exchange(change.removed, {});
  fleet.Apply(change);
  return fleet.upstreams().at(id);
}

gateway::RequestContext ExchangeFixture::MakeRequest(core::RequestKind kind, bool is_resumable,
                                                     std::int64_t max_upstreams,
                                                     std::int64_t timeout_ms) const {
  core::RouteRule route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/p/";
  route.kind = kind;
  route.is_resumable = is_resumable;
  route.timeout_ms = timeout_ms;
  route.target_latency_ms = 900;
  route.target_gap_ms = 300;
  route.max_upstreams = max_upstreams;
  route.services = {{"s", 1}};
  core::ServiceRule service;
  service.name = "s";
  if (kind == core::RequestKind::kStream) {
    service.engine = core::EngineLimits{4, 100'000, 72, 500};
  }
  core::RoutingRules rules;
  rules.routes = {route};
  rules.services = {service};
  gateway::RequestContext request;
  request.table = core::RoutingTable::Create(rules).value();
  request.route = request.table->Match("h", "/p/x");
  request.service = request.table->FindService("s");
  request.head.method = "POST";
  request.head.target = "/p/x";
  request.head.fields = {{"Host", "h"},
                         {"Request-Id", request_id},
                         {"Token-Count", "5000," + std::to_string(max_output_tokens)}};
  request.body = std::make_shared<const std::string>(request_body);
  request.facts.request_id = request_id;
  request.facts.prompt_tokens = 5'000;
  request.facts.max_output_tokens = max_output_tokens;
  request.arrived = DefaultClock().now();
  request.deadline = request.arrived + Milliseconds(timeout_ms);
  request.target = request.arrived + Milliseconds(900);
  return request;
}

void ExchangeFixture::Run(core::RequestKind kind, bool is_resumable, std::int64_t max_upstreams,
                          std::int64_t timeout_ms) {
  gateway::RequestContext request = MakeRequest(kind, is_resumable, max_upstreams, timeout_ms);
  std::unique_ptr<gateway::Exchange> exchange;
  if (kind == core::RequestKind::kStream) {
    exchange = gateway::GenerationExchange::Start(std::move(request), state, sink);
  } else {
    exchange = gateway::PlainExchange::Start(std::move(request), state, sink);
  }
  on_started(*exchange);
  context.run_for(Milliseconds(5'000));
  exchange.reset();
}

}  // namespace rattanramp::tests
