#include "core/crash_causes.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace rattanramp::core {
namespace {

// Upstreams and different requests that must have been lost with a cause before it is blocked. With
// two upstreams per request, the second request reaches them.
constexpr std::size_t kMinUpstreams = 3;
constexpr std::size_t kMinRequests = 2;

// Moments at which the upstreams must have been lost. Losses of requests that were running at the
// same time can have one moment.
constexpr std::size_t kMinMoments = 2;

// Error of the times that peers report. A request that is repeated at once starts less than a
// millisecond after the loss.
constexpr Milliseconds kMomentTolerance{5};

// The same for a cause that has been answered before the losses. An outage of many upstreams at
// once meets such causes too: the losses must be spread in time, and other requests must have been
// answered since the first of them.
constexpr std::size_t kMinUpstreamsOfAnswered = 4;
constexpr std::size_t kMinRequestsOfAnswered = 3;
constexpr Milliseconds kMinSpreadOfAnswered{1'000};
constexpr std::size_t kMinOtherAnswers = 3;

constexpr std::size_t kMaxRecentAnswers = 32;

// Answered causes that are kept in each half of the memory.
constexpr std::size_t kMaxAnswered = 2'048;

// Time between requests that lack a companion of the blocked cause.
constexpr Milliseconds kComparisonInterval{1'000};

// Time from the last loss until a blocked cause is tried again.
constexpr Milliseconds kTrialInterval{300'000};

// Time for which an answer to other requests is awaited after a block, the time between the trials
// that are made without one, and their number. In an outage after a start of all processes, a part
// that all requests have can be blocked.
constexpr Milliseconds kContrastTime{2'000};
constexpr Milliseconds kEarlyTrialInterval{10'000};
constexpr int kMaxEarlyTrials = 2;

// The same for a part that was lost with upstreams that another cause explains, but in requests
// without that cause.
constexpr std::size_t kMinSharedUpstreams = 6;
constexpr std::size_t kMinSharedRequests = 4;

// Part of the upstreams that were lost at about the same times which must have been lost with the
// cause. A sound request is lost with a few of the many upstreams that end at once in an outage.
constexpr std::size_t kMinShareDivisor = 4;
constexpr Milliseconds kCoincidence{250};

struct Evidence {
  /// Fewest moments that explain the losses of all upstreams.
  std::size_t moments = 0;
  TimePoint last_moment = TimePoint::min();
  std::vector<TimePoint> times;
  std::set<std::int64_t> upstreams;
  std::set<Cause> requests;
  TimePoint first = TimePoint::max();
  TimePoint last = TimePoint::min();
  /// Largest index in a prompt.
  std::size_t depth = 0;
};

/// Whether the loss is the first one of its upstream, and its request was sent after the last
/// moment.
bool IsNewMoment(const Evidence& evidence, const StartLoss& loss) {
  return !evidence.upstreams.contains(loss.upstream) &&
         (evidence.moments == 0 ||
          loss.at - loss.run_time + kMomentTolerance > evidence.last_moment);
}

/// The losses must be added in the order of their times.
void AddLoss(Evidence& evidence, const StartLoss& loss, std::size_t depth) {
  if (IsNewMoment(evidence, loss)) {
    ++evidence.moments;
    evidence.last_moment = loss.at;
  }
  evidence.times.push_back(loss.at);
  evidence.upstreams.insert(loss.upstream);
  evidence.requests.insert(loss.causes.content);
  evidence.first = std::min(evidence.first, loss.at);
  evidence.last = std::max(evidence.last, loss.at);
  evidence.depth = std::max(evidence.depth, depth);
}

bool HasPart(const std::vector<Cause>& parts, Cause part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool IsKnown(const CrashCauses& causes, Cause cause) {
  return LastAnswered(causes, cause) != TimePoint::min();
}

std::size_t OtherAnswersSince(const CrashCauses& causes, Cause part, TimePoint since) {
  return static_cast<std::size_t>(
      std::count_if(causes.recent_answers.begin(), causes.recent_answers.end(),
                    [part, since](const AnsweredStart& answer) {
                      return answer.started > since && !HasPart(answer.parts, part);
                    }));
}

bool IsProven(const CrashCauses& causes, Cause cause, bool is_content, const Evidence& evidence) {
  const bool is_known = IsKnown(causes, cause);
  if (evidence.upstreams.size() < (is_known ? kMinUpstreamsOfAnswered : kMinUpstreams) ||
      evidence.moments < kMinMoments) {
    return false;
  }
  if (is_known && evidence.last - evidence.first < kMinSpreadOfAnswered) {
    return false;
  }
  if (is_content) {
    return true;
  }
  return evidence.requests.size() >= (is_known ? kMinRequestsOfAnswered : kMinRequests) &&
         (!is_known || OtherAnswersSince(causes, cause, evidence.first) >= kMinOtherAnswers);
}

/// Whether the upstreams that were lost with the cause are a large part of those that were lost at
/// about the same times and that no blocked cause explains.
bool StandsOut(const CrashCauses& causes, const Evidence& evidence,
               const std::set<std::int64_t>& explained) {
  std::set<std::int64_t> lost;
  for (const StartLoss& loss : causes.losses) {
    const bool coincides =
        std::any_of(evidence.times.begin(), evidence.times.end(), [&loss](TimePoint time) {
          return loss.at - time <= kCoincidence && time - loss.at <= kCoincidence;
        });
    if (coincides && !explained.contains(loss.upstream)) {
      lost.insert(loss.upstream);
    }
  }
  return evidence.upstreams.size() * kMinShareDivisor >= lost.size();
}

using EvidenceByCause = std::map<Cause, Evidence>;

/// Evidence against each part, or against each content, at the upstreams that no blocked cause
/// explains.
EvidenceByCause CollectEvidence(const CrashCauses& causes, bool of_content,
                                const std::set<std::int64_t>& explained, TimePoint now) {
  EvidenceByCause evidence;
  for (const StartLoss& loss : causes.losses) {
    if (now - loss.at >= kLossLifetime || explained.contains(loss.upstream)) {
      continue;
    }
    const auto add = [&](Cause cause, std::size_t depth) {
      if (loss.at > LastAnswered(causes, cause)) {
        AddLoss(evidence[cause], loss, depth);
      }
    };
    if (of_content) {
      add(loss.causes.content, 0);
      continue;
    }
    for (std::size_t i = 0; i < loss.causes.parts.size(); ++i) {
      add(loss.causes.parts[i], i);
    }
  }
  return evidence;
}

/// The cause that explains the losses best: one that was never answered before one that was, and
/// the part that is deepest in the prompts, which the fewest sound requests have.
EvidenceByCause::const_iterator BestCause(const CrashCauses& causes, bool is_content,
                                          const EvidenceByCause& evidence,
                                          const std::set<std::int64_t>& explained) {
  const auto rank = [&](const auto& entry) {
    return std::tuple(!IsKnown(causes, entry.first), entry.second.depth,
                      entry.second.upstreams.size(), entry.first);
  };
  EvidenceByCause::const_iterator best = evidence.end();
  for (auto entry = evidence.begin(); entry != evidence.end(); ++entry) {
    if (IsProven(causes, entry->first, is_content, entry->second) &&
        (best == evidence.end() || rank(*entry) > rank(*best)) &&
        StandsOut(causes, entry->second, explained)) {
      best = entry;
    }
  }
  return best;
}

bool CountsAgainst(const CrashCauses& causes, const StartLoss& loss, Cause cause, TimePoint now) {
  return (loss.causes.content == cause || HasPart(loss.causes.parts, cause)) &&
         loss.at > LastAnswered(causes, cause) && now - loss.at < kLossLifetime;
}

std::vector<Cause> CompanionsOf(const CrashCauses& causes, Cause part, TimePoint now) {
  std::optional<std::vector<Cause>> shared;
  for (const StartLoss& loss : causes.losses) {
    if (!CountsAgainst(causes, loss, part, now)) {
      continue;
    }
    if (!shared) {
      shared = loss.causes.parts;
    } else {
      std::erase_if(*shared, [&](Cause other) { return !HasPart(loss.causes.parts, other); });
    }
  }
  std::vector<Cause> companions = shared.value_or(std::vector<Cause>());
  std::erase_if(companions, [&](Cause other) { return other == part || IsKnown(causes, other); });
  return companions;
}

void Block(const CrashCauses& causes, Cause cause, bool is_content, const Evidence& evidence,
           TimePoint now, std::map<Cause, BlockedCause>& blocked) {
  const auto previous = causes.blocked.find(cause);
  BlockedCause& block = blocked[cause];
  if (previous != causes.blocked.end()) {
    block = previous->second;
  } else {
    block.since = now;
    block.next_comparison = now;
    block.next_early_trial = now + kContrastTime;
  }
  block.next_trial = std::max(block.next_trial, evidence.last + kTrialInterval);
  block.last_loss = evidence.last;
  block.upstreams = evidence.upstreams.size();
  block.requests = evidence.requests.size();
  block.is_content = is_content;
  if (!is_content) {
    block.companions = CompanionsOf(causes, cause, now);
  }
}

/// Blocks parts that crash the same upstreams as others do at the same time. Sound requests are
/// lost with those upstreams too, but not with that many of them.
void BlockConcurrentParts(const CrashCauses& causes, TimePoint now,
                          std::map<Cause, BlockedCause>& blocked) {
  const auto is_blocked = [&blocked](Cause part) { return blocked.contains(part); };
  EvidenceByCause evidence;
  for (const StartLoss& loss : causes.losses) {
    const std::vector<Cause>& parts = loss.causes.parts;
    if (now - loss.at >= kLossLifetime || std::any_of(parts.begin(), parts.end(), is_blocked)) {
      continue;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
      AddLoss(evidence[parts[i]], loss, i);
    }
  }
  for (const auto& [part, found] : evidence) {
    if (!IsKnown(causes, part) && found.upstreams.size() >= kMinSharedUpstreams &&
        found.requests.size() >= kMinSharedRequests && found.moments >= kMinMoments) {
      Block(causes, part, /*is_content=*/false, found, now, blocked);
    }
  }
}

/// Adds the blocked causes of one kind to `blocked`, and the upstreams that they explain to
/// `explained`.
void BlockKind(const CrashCauses& causes, bool is_content, TimePoint now,
               std::map<Cause, BlockedCause>& blocked, std::set<std::int64_t>& explained) {
  // A later block explains nothing of an earlier one: two causes may crash the same upstreams.
  const EvidenceByCause all = CollectEvidence(causes, is_content, {}, now);
  std::set<Cause> candidates = causes.blocked_at_peers;
  for (const auto& [cause, previous] : causes.blocked) {
    candidates.insert(cause);
  }
  for (const Cause cause : candidates) {
    const auto evidence = all.find(cause);
    if (evidence != all.end() && IsProven(causes, cause, is_content, evidence->second)) {
      Block(causes, cause, is_content, evidence->second, now, blocked);
      explained.insert(evidence->second.upstreams.begin(), evidence->second.upstreams.end());
    }
  }
  while (true) {
    const EvidenceByCause rest = CollectEvidence(causes, is_content, explained, now);
    const auto best = BestCause(causes, is_content, rest, explained);
    if (best == rest.end()) {
      return;
    }
    Block(causes, best->first, is_content, best->second, now, blocked);
    explained.insert(best->second.upstreams.begin(), best->second.upstreams.end());
  }
}

/// Removes the oldest loss that supports no block, or the oldest one.
void RemoveOneLoss(CrashCauses& causes, TimePoint now) {
  const auto supports_block = [&](const StartLoss& loss) {
    return std::any_of(causes.blocked.begin(), causes.blocked.end(), [&](const auto& entry) {
      return CountsAgainst(causes, loss, entry.first, now);
    });
  };
  const auto found = std::find_if_not(causes.losses.begin(), causes.losses.end(), supports_block);
  causes.losses.erase(found == causes.losses.end() ? causes.losses.begin() : found);
}

/// Latest start that is remembered; TimePoint::min(): none.
TimePoint Find(const AnsweredCauses& answered, Cause cause) {
  TimePoint latest = TimePoint::min();
  for (const auto* half : {&answered.newer, &answered.older}) {
    const auto found = half->find(cause);
    if (found != half->end()) {
      latest = std::max(latest, found->second);
    }
  }
  return latest;
}

/// Whether the request has a part besides the blocked one and its companions that was never
/// answered. Its loss would not show which of them is to blame. only_lost: only parts that were
/// lost with an upstream count.
bool HasOtherSuspect(const CrashCauses& causes, const RequestCauses& request, Cause blocked,
                     const std::vector<Cause>& companions, bool only_lost) {
  return std::any_of(request.parts.begin(), request.parts.end(), [&](Cause part) {
    return part != blocked && !HasPart(companions, part) && !IsKnown(causes, part) &&
           (!only_lost ||
            std::any_of(causes.losses.begin(), causes.losses.end(), [part](const StartLoss& loss) {
              return HasPart(loss.causes.parts, part);
            }));
  });
}

/// The entry of an upstream, which is added if necessary.
SuspectedUpstream& Suspect(CrashCauses& causes, std::int64_t upstream) {
  auto& suspected = causes.suspected_upstreams;
  if (!suspected.contains(upstream) && suspected.size() >= kMaxSuspectedUpstreams) {
    suspected.erase(std::min_element(
        suspected.begin(), suspected.end(),
        [](const auto& a, const auto& b) { return a.second.last_loss < b.second.last_loss; }));
  }
  return suspected[upstream];
}

// Time between two looks at the streams that go on at an upstream with losses.
constexpr Milliseconds kContinuedInterval{100};

/// Whether the upstream has been running since the loss.
bool IsWithdrawn(const StartLoss& loss, const SuspectedUpstream& upstream) {
  return upstream.running_at != TimePoint::min() && loss.at + kRunningMargin <= upstream.running_at;
}

void Remember(AnsweredCauses& answered, Cause cause, TimePoint started) {
  if (answered.newer.size() >= kMaxAnswered) {
    answered.older = std::exchange(answered.newer, {});
  }
  const TimePoint latest = std::max(started, Find(answered, cause));
  answered.newer[cause] = latest;
}

}  // namespace

bool RecordLoss(CrashCauses& causes, StartLoss loss, TimePoint now) {
  loss.at = std::min(loss.at, now);
  if (now - loss.at >= kLossLifetime) {
    return false;
  }
  if (loss.causes.parts.size() > kMaxLossParts) {
    loss.causes.parts.resize(kMaxLossParts);
  }
  SuspectedUpstream& upstream = Suspect(causes, loss.upstream);
  if (IsWithdrawn(loss, upstream)) {
    return false;
  }
  upstream.last_loss = std::max(upstream.last_loss, loss.at);
  const auto known =
      std::find_if(causes.losses.begin(), causes.losses.end(), [&loss](const StartLoss& other) {
        return other.upstream == loss.upstream && other.causes.content == loss.causes.content;
      });
  if (known != causes.losses.end()) {
    if (loss.at < known->at) {
      known->at = loss.at;
      std::stable_sort(causes.losses.begin(), causes.losses.end(),
                       [](const StartLoss& a, const StartLoss& b) { return a.at < b.at; });
      causes.is_outdated = true;
    }
    return false;
  }
  if (causes.losses.size() >= kMaxLosses) {
    RemoveOneLoss(causes, now);
  }
  const auto later = std::find_if(causes.losses.rbegin(), causes.losses.rend(),
                                  [&loss](const StartLoss& other) { return other.at <= loss.at; });
  causes.own_losses += loss.is_own ? 1 : 0;
  causes.losses.insert(later.base(), std::move(loss));
  causes.is_outdated = true;
  return true;
}

bool MayWithdraw(const CrashCauses& causes, std::int64_t upstream, TimePoint at) {
  const auto suspected = causes.suspected_upstreams.find(upstream);
  return suspected != causes.suspected_upstreams.end() &&
         at >= suspected->second.last_loss + kRunningMargin &&
         suspected->second.own_running_at < suspected->second.last_loss + kRunningMargin;
}

std::size_t RecordRunning(CrashCauses& causes, std::int64_t upstream, TimePoint at, bool is_own) {
  const auto found = causes.suspected_upstreams.find(upstream);
  if (found == causes.suspected_upstreams.end()) {
    return 0;
  }
  SuspectedUpstream& suspected = found->second;
  if (is_own) {
    suspected.own_running_at = std::max(suspected.own_running_at, at);
  }
  if (at <= suspected.running_at) {
    return 0;
  }
  suspected.running_at = at;
  const std::size_t withdrawn = std::erase_if(causes.losses, [&](const StartLoss& loss) {
    return loss.upstream == upstream && IsWithdrawn(loss, suspected);
  });
  causes.is_outdated = causes.is_outdated || withdrawn > 0;
  return withdrawn;
}

std::size_t RecordContinued(CrashCauses& causes, std::int64_t upstream, TimePoint started,
                            TimePoint at) {
  const auto suspected = causes.suspected_upstreams.find(upstream);
  // Further bytes of the same moment say nothing new.
  if (suspected == causes.suspected_upstreams.end() ||
      (suspected->second.own_running_at != TimePoint::min() &&
       at < suspected->second.own_running_at + kContinuedInterval)) {
    return 0;
  }
  bool has_loss = false;
  for (const StartLoss& loss : causes.losses) {
    if (loss.upstream != upstream || loss.at + kRunningMargin > at) {
      continue;
    }
    if (started + kRunningMargin > loss.at) {
      return 0;
    }
    has_loss = true;
  }
  return has_loss ? RecordRunning(causes, upstream, at, /*is_own=*/true) : 0;
}

std::map<std::int64_t, TimePoint> UpstreamsSeenRunning(const CrashCauses& causes) {
  std::map<std::int64_t, TimePoint> running;
  for (const auto& [upstream, suspected] : causes.suspected_upstreams) {
    if (suspected.own_running_at != TimePoint::min()) {
      running[upstream] = suspected.own_running_at;
    }
  }
  return running;
}

void RecordAnswered(CrashCauses& causes, const RequestCauses& request, TimePoint started) {
  Remember(causes.answered_contents, request.content, started);
  for (const Cause part : request.parts) {
    Remember(causes.answered_parts, part, started);
  }
  if (!request.parts.empty()) {
    causes.recent_answers.push_back({started, request.parts});
    if (causes.recent_answers.size() > kMaxRecentAnswers) {
      causes.recent_answers.pop_front();
    }
  }
  causes.is_outdated = causes.is_outdated || !causes.losses.empty();
}

void RecordPeerAnswered(CrashCauses& causes, Cause part, TimePoint started) {
  if (started > LastAnswered(causes, part)) {
    Remember(causes.answered_at_peers, part, started);
    causes.is_outdated = causes.is_outdated || !causes.losses.empty();
  }
}

void RecordPeerBlock(CrashCauses& causes, Cause cause) {
  if (causes.blocked_at_peers.size() < kMaxPeerBlocks &&
      causes.blocked_at_peers.insert(cause).second) {
    causes.is_outdated = true;
  }
}

TimePoint LastAnswered(const CrashCauses& causes, Cause cause) {
  return std::max({Find(causes.answered_parts, cause), Find(causes.answered_at_peers, cause),
                   Find(causes.answered_contents, cause)});
}

std::map<Cause, TimePoint> AnsweredPartsInQuestion(const CrashCauses& causes) {
  std::map<Cause, TimePoint> answered;
  for (const StartLoss& loss : causes.losses) {
    for (const Cause part : loss.causes.parts) {
      const TimePoint started = Find(causes.answered_parts, part);
      if (started != TimePoint::min()) {
        answered[part] = started;
      }
    }
  }
  return answered;
}

void RemoveOldLosses(CrashCauses& causes, TimePoint now) {
  const std::size_t removed = std::erase_if(
      causes.losses, [now](const StartLoss& loss) { return now - loss.at >= kLossLifetime; });
  std::erase_if(causes.suspected_upstreams, [now](const auto& entry) {
    return entry.second.last_loss != TimePoint::min() &&
           now - entry.second.last_loss >= kLossLifetime;
  });
  causes.is_outdated = causes.is_outdated || removed > 0;
  if (causes.losses.empty()) {
    causes.blocked_at_peers.clear();
  }
}

void UpdateBlocked(CrashCauses& causes, TimePoint now) {
  if (!std::exchange(causes.is_outdated, false)) {
    return;
  }
  std::map<Cause, BlockedCause> blocked;
  std::set<std::int64_t> explained;
  BlockKind(causes, /*is_content=*/false, now, blocked, explained);
  if (!blocked.empty()) {
    BlockConcurrentParts(causes, now, blocked);
  }
  BlockKind(causes, /*is_content=*/true, now, blocked, explained);
  causes.blocked = std::move(blocked);
}

CrashVerdict JudgeRequest(CrashCauses& causes, const RequestCauses& request, bool may_try,
                          TimePoint now) {
  UpdateBlocked(causes, now);
  CrashVerdict verdict;
  if (causes.blocked.empty()) {
    return verdict;
  }
  BlockedCause* block = nullptr;
  const auto check = [&](Cause cause) {
    const auto found = causes.blocked.find(cause);
    if (found == causes.blocked.end()) {
      return;
    }
    // A request with two blocked causes could not show which of them is blocked wrongly.
    verdict.is_refused = block != nullptr;
    verdict.cause = cause;
    block = &found->second;
  };
  std::for_each(request.parts.begin(), request.parts.end(), check);
  check(request.content);
  if (block == nullptr) {
    return verdict;
  }
  const bool lacks_companion =
      std::any_of(block->companions.begin(), block->companions.end(),
                  [&request](Cause part) { return !HasPart(request.parts, part); });
  if (!verdict.is_refused && lacks_companion && now >= block->next_comparison) {
    block->next_comparison = now + kComparisonInterval;
    verdict.is_trial = true;
    return verdict;
  }
  // Without any answer since the block, an outage explains the losses as well. What was lost before
  // this process started is left to the later trial.
  if (!verdict.is_refused && may_try && !block->is_content &&
      block->early_trials < kMaxEarlyTrials && block->last_loss >= causes.started &&
      now >= block->next_early_trial && !HasContrast(causes, verdict.cause) &&
      !HasOtherSuspect(causes, request, verdict.cause, block->companions,
                       /*only_lost=*/now >= block->since + kEarlyTrialInterval)) {
    ++block->early_trials;
    block->next_early_trial = now + kEarlyTrialInterval;
    verdict.is_trial = true;
    return verdict;
  }
  if (now >= block->next_trial) {
    // All processes have the same losses, so that the time of the trial passes at all of them.
    block->next_trial = now + kTrialInterval;
    if (!verdict.is_refused && may_try) {
      verdict.is_trial = true;
      return verdict;
    }
  }
  verdict.is_refused = true;
  verdict.retry_after =
      lacks_companion ? Duration(kComparisonInterval) : Duration(block->next_trial - now);
  return verdict;
}

bool HasContrast(const CrashCauses& causes, Cause cause) {
  const auto block = causes.blocked.find(cause);
  return block != causes.blocked.end() && OtherAnswersSince(causes, cause, block->second.since) > 0;
}

std::vector<StartLoss> EvidenceOf(const CrashCauses& causes, Cause cause, TimePoint now) {
  std::vector<StartLoss> kept;
  Evidence evidence;
  const StartLoss* newest = nullptr;
  for (const StartLoss& loss : causes.losses) {
    if (!CountsAgainst(causes, loss, cause, now)) {
      continue;
    }
    newest = &loss;
    const bool is_new_upstream = !evidence.upstreams.contains(loss.upstream);
    const bool is_new_request = !evidence.requests.contains(loss.causes.content);
    if ((is_new_upstream && evidence.upstreams.size() < kMinUpstreamsOfAnswered) ||
        (is_new_request && evidence.requests.size() < kMinRequestsOfAnswered) ||
        (IsNewMoment(evidence, loss) && evidence.moments < kMinMoments)) {
      kept.push_back(loss);
      AddLoss(evidence, loss, 0);
    }
  }
  // The newest loss shows how long the losses were spread.
  if (newest != nullptr && kept.back().at < newest->at) {
    kept.push_back(*newest);
  }
  return kept;
}

}  // namespace rattanramp::core
