// Finds what requests have in common that crashes the upstreams which run them: a part of their
// prompts, or their whole content when a request is repeated. The evidence is the requests that
// were lost with their upstreams, at this process and at its peers.
//
// A crash also ends the sound requests on its upstream, and upstreams end for other reasons. A
// cause is therefore blocked only if several upstreams were lost under it, one after the other, by
// different requests, and nothing with it has been answered since. A reset of connections, or an
// outage, loses all requests that run at one moment; however many these are, they count once. An
// upstream that answers a request which was sent after the loss has not ended, and the loss is no
// evidence at all. What one cause explains is no evidence against another one. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

/// Hash of a part of a prompt, or of the content of a request.
using Cause = std::uint64_t;

/// What a request can crash an upstream with.
struct RequestCauses {
  /// Identical for repeats of the request only.
  Cause content = 0;
  /// Parts of the prompt that other requests may have too, in its order.
  std::vector<Cause> parts;
};

/// A request that was lost with its upstream before the upstream had shown that it can answer it.
struct StartLoss {
  /// Differs between incarnations of an upstream.
  std::int64_t upstream = 0;
  RequestCauses causes;
  TimePoint at;
  /// Recorded by this process, not by a peer.
  bool is_own = false;
  /// Time from the start of the attempt until `at`.
  Duration run_time{};
};

/// What is known of an upstream under which requests were lost.
struct SuspectedUpstream {
  TimePoint last_loss = TimePoint::min();
  /// Latest time at which it was running as the same incarnation; TimePoint::min(): unknown.
  TimePoint running_at = TimePoint::min();
  /// The same as far as this process has seen it itself. Only this is reported to the peers, so
  /// that the time does not grow with each relay.
  TimePoint own_running_at = TimePoint::min();
};

/// Blocks of peers that are kept.
inline constexpr std::size_t kMaxPeerBlocks = 256;

/// Parts that are kept of one loss; prompts with more lose those at their end.
inline constexpr std::size_t kMaxLossParts = 32;

/// Upstreams under which requests were lost that are kept; those with the oldest losses go first.
inline constexpr std::size_t kMaxSuspectedUpstreams = 1'024;

/// Time from a loss after which a request must have been sent whose answer withdraws the loss. It
/// covers the differences between the clocks of processes.
inline constexpr Milliseconds kRunningMargin{500};

/// Losses that are kept. The oldest ones go first, those of blocked causes last.
inline constexpr std::size_t kMaxLosses = 256;

/// Time after which a loss is no evidence any more, and a block without newer losses ends.
inline constexpr Milliseconds kLossLifetime{1'800'000};

/// Causes of requests that were answered, with the latest start of such a request. Those that were
/// not used for the longest time are dropped.
struct AnsweredCauses {
  std::unordered_map<Cause, TimePoint> newer;
  std::unordered_map<Cause, TimePoint> older;
};

struct AnsweredStart {
  TimePoint started;
  std::vector<Cause> parts;
};

struct BlockedCause {
  TimePoint since;
  std::size_t upstreams = 0;
  std::size_t requests = 0;
  bool is_content = false;
  /// Parts that all the lost requests share besides this one, and that no answered request had.
  std::vector<Cause> companions;
  /// Requests without one of the companions are tried again from this time on, one at a time.
  TimePoint next_comparison;
  /// Any request with the cause is tried again at this time.
  TimePoint next_trial;
  TimePoint last_loss;
  /// Trials that were made while nothing else had been answered since the block either, and the
  /// time of the next one.
  int early_trials = 0;
  TimePoint next_early_trial;
};

struct CrashCauses {
  /// Start of this process.
  TimePoint started;
  /// Oldest first.
  std::vector<StartLoss> losses;
  /// By upstream.
  std::unordered_map<std::int64_t, SuspectedUpstream> suspected_upstreams;
  /// Parts of requests that this process, and those that its peers, have seen answered. Only the
  /// first are reported to the peers, so that the times do not grow with each relay.
  AnsweredCauses answered_parts;
  AnsweredCauses answered_at_peers;
  AnsweredCauses answered_contents;
  /// The last requests that this process has seen answered.
  std::deque<AnsweredStart> recent_answers;
  std::map<Cause, BlockedCause> blocked;
  /// Causes that peers, or an earlier process, have blocked.
  std::set<Cause> blocked_at_peers;
  /// Losses or answers have been recorded since `blocked` was determined.
  bool is_outdated = false;
  /// Counts the losses that this process has recorded.
  std::uint64_t own_losses = 0;
};

/// Records a loss that this process or a peer has observed. A loss that is known already keeps its
/// earliest time. Returns whether it is new; a loss of an upstream that has been running since is
/// not recorded.
bool RecordLoss(CrashCauses& causes, StartLoss loss, TimePoint now);

/// Whether an answer of the upstream to a request that was sent to it at `at` withdraws losses.
bool MayWithdraw(const CrashCauses& causes, std::int64_t upstream, TimePoint at);

/// Records that an upstream has answered a request that was sent to it at `at`, so that its earlier
/// losses were those of connections. is_own: seen by this process, not by a peer. Returns the
/// number of losses that are withdrawn.
std::size_t RecordRunning(CrashCauses& causes, std::int64_t upstream, TimePoint at, bool is_own);

/// Records that bytes arrive at `at` on a connection on which the upstream was sent a request at
/// `started`. If that was before its losses, the process that lost them runs on; which incarnation
/// it is needs no confirmation. Returns the number of losses that are withdrawn.
std::size_t RecordContinued(CrashCauses& causes, std::int64_t upstream, TimePoint started,
                            TimePoint at);

/// Upstreams with losses that this process has seen running since, with the latest time.
std::map<std::int64_t, TimePoint> UpstreamsSeenRunning(const CrashCauses& causes);

/// Records that an upstream has answered a request that was sent to it at `started`.
void RecordAnswered(CrashCauses& causes, const RequestCauses& request, TimePoint started);

/// The same for a part of prompts, as a peer has reported it.
void RecordPeerAnswered(CrashCauses& causes, Cause part, TimePoint started);

/// Records that a peer, or an earlier process, has blocked a cause. It is blocked here too if the
/// recorded losses prove it, whatever else explains them.
void RecordPeerBlock(CrashCauses& causes, Cause cause);

/// Latest start of a request with the cause that was answered; TimePoint::min(): none is known.
TimePoint LastAnswered(const CrashCauses& causes, Cause cause);

/// Removes losses that are older than kLossLifetime.
void RemoveOldLosses(CrashCauses& causes, TimePoint now);

/// Determines the blocked causes anew if the evidence has changed.
void UpdateBlocked(CrashCauses& causes, TimePoint now);

struct CrashVerdict {
  bool is_refused = false;
  /// The request is sent although a cause is blocked, to find out whether the block is right. It
  /// must not be repeated.
  bool is_trial = false;
  /// The blocked cause; its evidence is in CrashCauses::blocked.
  Cause cause = 0;
  /// Of a refused request: time until it may be tried.
  Duration retry_after{};
};

/// Decides whether a request may be sent to an upstream. may_try: this process is the one that
/// tries blocked causes again.
CrashVerdict JudgeRequest(CrashCauses& causes, const RequestCauses& request, bool may_try,
                          TimePoint now);

/// The parts of the recorded losses that this process has seen answered, with the latest start.
std::map<Cause, TimePoint> AnsweredPartsInQuestion(const CrashCauses& causes);

/// Whether requests without the blocked cause have been answered since it was blocked, so that the
/// cause and not an outage explains the losses.
bool HasContrast(const CrashCauses& causes, Cause cause);

/// The losses on which the block of a cause rests: as few as prove it.
std::vector<StartLoss> EvidenceOf(const CrashCauses& causes, Cause cause, TimePoint now);

}  // namespace rattanramp::core
