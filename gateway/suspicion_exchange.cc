#include "gateway/suspicion_exchange.h"

#include <chrono>
#include <utility>
#include <vector>

namespace rattanramp::gateway {
namespace {

// Signs that one report holds, about 20 bytes each.
constexpr std::size_t kMaxReportedSigns = 64;

// How long complete reports repeat a sign, because datagrams may be lost.
constexpr Milliseconds kSignRepeatTime{1'500};

wire::GatewayUpstreamSign Encode(std::int64_t upstream, const core::Suspicion& suspicion,
                                 TimePoint now) {
  const bool has_answered = suspicion.own_answered_at > suspicion.own_failed_at;
  const TimePoint at = has_answered ? suspicion.own_answered_at : suspicion.own_failed_at;
  wire::GatewayUpstreamSign sign;
  sign.upstream_key = upstream;
  sign.kind = has_answered ? wire::GatewayUpstreamSignKind::ANSWERED
                           : wire::GatewayUpstreamSignKind::FAILED;
  sign.age_ms = std::chrono::duration_cast<Milliseconds>(now - at).count();
  return sign;
}

}  // namespace

SuspicionExchange::SuspicionExchange(core::UpstreamSuspicions& suspicions, const Clock& clock,
                                     std::string own_gateway)
    : suspicions_(suspicions), clock_(clock) {
  suspicions_.own_gateway = std::move(own_gateway);
}

void SuspicionExchange::AddTo(wire::GatewayLoad& report, bool is_complete) {
  const TimePoint now = clock_.now();
  core::RemoveOldSigns(suspicions_, now);
  if (is_complete) {
    for (const auto& [upstream, suspicion] : suspicions_.by_upstream) {
      const TimePoint at = std::max(suspicion.own_answered_at, suspicion.own_failed_at);
      if (at != TimePoint::min() && now - at <= kSignRepeatTime) {
        suspicions_.news.insert(upstream);
      }
    }
  }
  std::vector<wire::GatewayUpstreamSign> signs;
  while (!suspicions_.news.empty() && signs.size() < kMaxReportedSigns) {
    const std::int64_t upstream = *suspicions_.news.begin();
    suspicions_.news.erase(suspicions_.news.begin());
    signs.push_back(Encode(upstream, suspicions_.by_upstream.at(upstream), now));
  }
  if (!signs.empty()) {
    report.__set_upstream_signs(signs);
  }
}

void SuspicionExchange::Record(const wire::GatewayLoad& report) {
  suspicions_.live_peers.insert(report.gateway);
  const TimePoint now = clock_.now();
  for (const wire::GatewayUpstreamSign& sign : report.upstream_signs) {
    if (sign.age_ms < 0 || sign.age_ms > core::kSuspicionLifetime.count()) {
      continue;
    }
    const TimePoint at = now - Milliseconds(sign.age_ms);
    if (sign.kind == wire::GatewayUpstreamSignKind::ANSWERED) {
      core::RecordPeerLife(suspicions_, sign.upstream_key, at);
    } else {
      core::RecordPeerFailure(suspicions_, sign.upstream_key, report.gateway, at);
    }
  }
}

void SuspicionExchange::OnPeerLost(const std::string& peer) { core::RemovePeer(suspicions_, peer); }

}  // namespace rattanramp::gateway
