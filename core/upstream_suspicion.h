// Finds upstreams that may have ended, from the signs that this gateway and its peers have seen: a
// connection that could not be made or was lost, and an answer. An upstream whose streams broke has
// no load, and would otherwise get the next requests of all gateways. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

enum class FailureSign {
  kNotConnected,
  /// Lost under a request. Sound upstreams lose single connections too.
  kConnectionLost,
};

enum class Admission {
  kFree,
  /// One request at a time over all gateways, to find out whether the upstream lives.
  kTrial,
  kNone,
};

/// Signs of one incarnation of an upstream since its last sign of life.
struct Suspicion {
  /// Connections that this gateway could not make, and those that it lost.
  std::int64_t not_connected = 0;
  std::int64_t lost = 0;
  /// By peer: when it saw its last failure.
  std::map<std::string, TimePoint, std::less<>> peers;
  /// Last failure and last answer that this gateway has seen itself; TimePoint::min(): none.
  TimePoint own_failed_at = TimePoint::min();
  TimePoint own_answered_at = TimePoint::min();
  /// The same over all gateways.
  TimePoint failed_at = TimePoint::min();
  TimePoint answered_at = TimePoint::min();
  /// Failures one after the other, without those of one moment.
  std::int64_t rounds = 0;
};

/// Time without a trial after the first failure; it doubles with each further round.
inline constexpr Milliseconds kFirstTrialPause{400};
inline constexpr Milliseconds kMaxTrialPause{3'200};

/// Time by which one gateway may try an upstream before the next one: until its trial is reported.
inline constexpr Milliseconds kTrialTurn{40};

/// Failures within this time are of one moment, and answers within it may be older than they.
inline constexpr Milliseconds kSignMargin{50};

/// Time after its last sign at which an upstream is not suspected any more.
inline constexpr Milliseconds kSuspicionLifetime{10'000};

/// Upstreams whose signs are kept; of others none are recorded until some have lapsed.
inline constexpr std::size_t kMaxSuspicions = 1'024;

struct UpstreamSuspicions {
  std::string own_gateway;
  std::set<std::string, std::less<>> live_peers;
  /// By key of the incarnation; only those with signs of failure.
  std::unordered_map<std::int64_t, Suspicion> by_upstream;
  /// Upstreams of which this gateway has seen a sign that it has not reported yet.
  std::set<std::int64_t> news;
};

/// Records a failure that this gateway has seen.
void RecordFailure(UpstreamSuspicions& suspicions, std::int64_t upstream, FailureSign sign,
                   TimePoint now);

/// Records bytes of an answer that this gateway has received from this very incarnation. Returns
/// whether they end a suspicion.
bool RecordLife(UpstreamSuspicions& suspicions, std::int64_t upstream, TimePoint now);

/// The same signs as a peer has reported them; `at`: when it saw them.
void RecordPeerFailure(UpstreamSuspicions& suspicions, std::int64_t upstream, std::string_view peer,
                       TimePoint at);
void RecordPeerLife(UpstreamSuspicions& suspicions, std::int64_t upstream, TimePoint at);

/// Removes a peer that is lost, and its signs.
void RemovePeer(UpstreamSuspicions& suspicions, std::string_view peer);

/// Removes signs that are older than kSuspicionLifetime.
void RemoveOldSigns(UpstreamSuspicions& suspicions, TimePoint now);

struct UpstreamVerdict {
  Admission admission = Admission::kFree;
  /// Unless kFree: the last failure, and when this gateway may make a trial.
  TimePoint failed_at;
  TimePoint trial_at;
};

/// Decides what an upstream may get from this gateway. Its own signs close an upstream, a single
/// lost connection only together with the sign of a peer. Those of peers count from two peers on,
/// because one that is cut off sees all upstreams fail.
UpstreamVerdict JudgeUpstream(const UpstreamSuspicions& suspicions, std::int64_t upstream,
                              TimePoint now);

}  // namespace rattanramp::core
