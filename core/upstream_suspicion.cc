#include "core/upstream_suspicion.h"

#include <algorithm>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

// Own lost connections that close an upstream without a sign of a peer.
constexpr std::int64_t kLossesThatClose = 2;

// Peers whose signs close an upstream of which this gateway has seen none.
constexpr std::size_t kPeersThatClose = 2;

/// Null if no more upstreams can be kept.
Suspicion* FindOrAdd(UpstreamSuspicions& suspicions, std::int64_t upstream) {
  const auto found = suspicions.by_upstream.find(upstream);
  if (found != suspicions.by_upstream.end()) {
    return &found->second;
  }
  return suspicions.by_upstream.size() < kMaxSuspicions ? &suspicions.by_upstream[upstream]
                                                        : nullptr;
}

void AddFailure(Suspicion& suspicion, TimePoint at) {
  if (suspicion.rounds == 0 || at > suspicion.failed_at + kSignMargin) {
    ++suspicion.rounds;
  }
  suspicion.failed_at = std::max(suspicion.failed_at, at);
}

bool HasFailures(const Suspicion& suspicion) { return suspicion.rounds > 0; }

/// Returns whether the answer is newer than all failures.
bool AddLife(Suspicion& suspicion, TimePoint at) {
  if (!HasFailures(suspicion) || at < suspicion.failed_at + kSignMargin) {
    return false;
  }
  suspicion.answered_at = std::max(suspicion.answered_at, at);
  suspicion.not_connected = 0;
  suspicion.lost = 0;
  suspicion.peers.clear();
  suspicion.rounds = 0;
  return true;
}

bool IsClosing(const Suspicion& suspicion) {
  return suspicion.not_connected > 0 || suspicion.lost >= kLossesThatClose ||
         (suspicion.lost > 0 && !suspicion.peers.empty()) ||
         suspicion.peers.size() >= kPeersThatClose;
}

/// Number of live gateways that may try the upstream before this one.
std::int64_t TrialRank(const UpstreamSuspicions& suspicions, std::int64_t upstream) {
  const std::uint64_t seed = static_cast<std::uint64_t>(upstream);
  const std::uint64_t own = Hash64(suspicions.own_gateway, seed);
  return std::count_if(suspicions.live_peers.begin(), suspicions.live_peers.end(),
                       [&](const std::string& peer) { return Hash64(peer, seed) < own; });
}

}  // namespace

void RecordFailure(UpstreamSuspicions& suspicions, std::int64_t upstream, FailureSign sign,
                   TimePoint now) {
  Suspicion* suspicion = FindOrAdd(suspicions, upstream);
  if (suspicion == nullptr) {
    return;
  }
  ++(sign == FailureSign::kNotConnected ? suspicion->not_connected : suspicion->lost);
  const bool is_first = suspicion->not_connected + suspicion->lost == 1;
  if (is_first || now > suspicion->own_failed_at + kSignMargin) {
    suspicions.news.insert(upstream);
  }
  suspicion->own_failed_at = now;
  AddFailure(*suspicion, now);
}

bool RecordLife(UpstreamSuspicions& suspicions, std::int64_t upstream, TimePoint now) {
  if (suspicions.by_upstream.empty()) {
    return false;
  }
  const auto found = suspicions.by_upstream.find(upstream);
  if (found == suspicions.by_upstream.end()) {
    return false;
  }
  const bool was_closed = IsClosing(found->second);
  if (!AddLife(found->second, now)) {
    return false;
  }
  found->second.own_answered_at = now;
  suspicions.news.insert(upstream);
  return was_closed;
}

void RecordPeerFailure(UpstreamSuspicions& suspicions, std::int64_t upstream, std::string_view peer,
                       TimePoint at) {
  Suspicion* suspicion = FindOrAdd(suspicions, upstream);
  if (suspicion == nullptr || at <= suspicion->answered_at) {
    return;
  }
  const auto known = suspicion->peers.find(peer);
  if (known == suspicion->peers.end()) {
    suspicion->peers.emplace(peer, at);
  } else {
    known->second = std::max(known->second, at);
  }
  AddFailure(*suspicion, at);
}

void RecordPeerLife(UpstreamSuspicions& suspicions, std::int64_t upstream, TimePoint at) {
  const auto found = suspicions.by_upstream.find(upstream);
  if (found != suspicions.by_upstream.end()) {
    AddLife(found->second, at);
  }
}

void RemovePeer(UpstreamSuspicions& suspicions, std::string_view peer) {
  const auto live = suspicions.live_peers.find(peer);
  if (live != suspicions.live_peers.end()) {
    suspicions.live_peers.erase(live);
  }
  for (auto& [upstream, suspicion] : suspicions.by_upstream) {
    const auto found = suspicion.peers.find(peer);
    if (found != suspicion.peers.end()) {
      suspicion.peers.erase(found);
    }
  }
}

void RemoveOldSigns(UpstreamSuspicions& suspicions, TimePoint now) {
  std::erase_if(suspicions.by_upstream, [&](const auto& entry) {
    const bool is_old =
        std::max(entry.second.failed_at, entry.second.answered_at) + kSuspicionLifetime < now;
    if (is_old) {
      suspicions.news.erase(entry.first);
    }
    return is_old;
  });
}

UpstreamVerdict JudgeUpstream(const UpstreamSuspicions& suspicions, std::int64_t upstream,
                              TimePoint now) {
  if (suspicions.by_upstream.empty()) {
    return {};
  }
  const auto found = suspicions.by_upstream.find(upstream);
  if (found == suspicions.by_upstream.end() || !IsClosing(found->second)) {
    return {};
  }
  const Suspicion& suspicion = found->second;
  const std::int64_t doublings = std::min<std::int64_t>(suspicion.rounds - 1, 8);
  UpstreamVerdict verdict;
  verdict.failed_at = suspicion.failed_at;
  verdict.trial_at =
      suspicion.failed_at + std::min(kMaxTrialPause, kFirstTrialPause * (1 << doublings));
  if (now >= verdict.trial_at) {
    verdict.trial_at += kTrialTurn * TrialRank(suspicions, upstream);
  }
  verdict.admission = now >= verdict.trial_at ? Admission::kTrial : Admission::kNone;
  return verdict;
}

}  // namespace rattanramp::core
