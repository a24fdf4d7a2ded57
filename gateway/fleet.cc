#include "gateway/fleet.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Within a region a connection is established in a few ms. TCP sends a lost first packet again only
// after 1 s; by then another upstream would have answered.
constexpr Milliseconds kConnectTimeout{300};

// How long idle connections are kept for upstreams that state no idle timeout. Stated timeouts are
// whole seconds, so a timeout that is not stated may be below 1 s.
constexpr Milliseconds kDefaultIdleTime{400};

// Subtracted from the stated idle timeout, so that no request is sent while the upstream closes the
// connection.
constexpr Milliseconds kIdleMargin{400};

// Requests after which a connection is closed, so that the list of their ids stays small: 2 KB for
// a connection, and one new connection in 256 requests.
constexpr std::size_t kMaxRequestsPerConnection = 256;

// Removed upstreams whose statements are remembered.
constexpr std::size_t kMaxRemoved = 4'096;

// Time in the list after which the entry of an upstream that has come back must have been renewed:
// one that is not expires after three heartbeats of 1.2 s, and is missing from the next read.
constexpr Milliseconds kRenewedTime{6'000};

asio::ip::tcp::endpoint EndpointOf(const core::UpstreamInfo& info) {
  // The decoder of the upstream list has already validated the address.
  return {asio::ip::make_address_v4(info.address), info.port};
}

/// A plain server with too many connections resets further ones, but has requests running; one that
/// has ended has none. Generations run for seconds at an engine that has gone silent.
core::UpstreamVerdict Judge(const Upstream& upstream, TimePoint now) {
  const bool runs = upstream.info.stage == core::UpstreamStage::kPlain &&
                    upstream.local_load.running + upstream.peer_load.running > 0;
  return runs || !upstream.suspicions
             ? core::UpstreamVerdict()
             : core::JudgeUpstream(*upstream.suspicions, upstream.key, now);
}

}  // namespace

std::int64_t KeyOf(const core::UpstreamInfo& info) {
  return SignedHash64(info.id, static_cast<std::uint64_t>(info.started_unix_ms));
}

bool IsClosed(const Upstream& upstream, TimePoint now) {
  return upstream.is_removed || upstream.info.is_draining || upstream.is_excluded ||
         upstream.is_leaving() || upstream.statement->is_unconfirmed ||
         now < upstream.paused_until();
}

void RecordOwnStatement(Upstream& upstream, const core::AnswerFacts& facts, TimePoint now) {
  OwnStatement& statement = *upstream.statement;
  if (facts.pause_ms) {
    if (statement.paused_until <= now) {
      Log(LogLevel::kInfo, "upstream_pauses",
          {{"upstream", upstream.info.id}, {"pause_ms", *facts.pause_ms}});
    }
    statement.paused_until = std::max(statement.paused_until, now + Milliseconds(*facts.pause_ms));
  }
  if (!facts.is_leaving || std::exchange(statement.is_leaving, true)) {
    return;
  }
  Log(LogLevel::kInfo, "upstream_leaves", {{"upstream", upstream.info.id}});
  for (IdleConnection& idle : upstream.idle) {
    idle.upstream_connection.connection->Close();
  }
  upstream.idle.clear();
}

bool IsAvoided(const Upstream& upstream, TimePoint now) {
  return core::IsBackingOff(upstream.health, now) ||
         Judge(upstream, now).admission == core::Admission::kNone;
}

void RecordFailureSign(Upstream& upstream, core::FailureSign sign, TimePoint now) {
  // The end of one that leaves or was removed is no news.
  if (!upstream.suspicions || upstream.is_removed || upstream.is_leaving()) {
    return;
  }
  const bool was_avoided = IsAvoided(upstream, now);
  core::RecordFailure(*upstream.suspicions, upstream.key, sign, now);
  if (!was_avoided && IsAvoided(upstream, now)) {
    Log(LogLevel::kInfo, "upstream_suspected",
        {{"upstream", upstream.info.id},
         {"by",
          sign == core::FailureSign::kNotConnected ? "connection failed" : "connection lost"}});
  }
}

void RecordLifeSign(Upstream& upstream, TimePoint now) {
  if (upstream.suspicions && core::RecordLife(*upstream.suspicions, upstream.key, now)) {
    Log(LogLevel::kInfo, "upstream_lives", {{"upstream", upstream.info.id}});
  }
}

void Fleet::Apply(const core::DirectoryChange& change) {
  for (const core::UpstreamInfo& info : change.removed) {
    Remove(info.id);
  }
  for (const core::UpstreamInfo& info : change.added) {
    Add(info);
  }
  ConfirmMostlyReturned(change);
  for (const core::UpstreamInfo& info : change.updated) {
    const auto found = by_id_.find(info.id);
    const bool is_same_process =
        found != by_id_.end() && found->second->info.started_unix_ms == info.started_unix_ms &&
        found->second->info.service == info.service && found->second->endpoint == EndpointOf(info);
    if (is_same_process) {
      if (found->second->info.stage != info.stage) {
        // The cause of an exclusion, a change of the stage, has ended.
        EndExclusion(found->second->key);
      }
      found->second->info = info;
      // A beat from before the entry said so may still be performed.
      found->second->statement->is_leaving |= info.is_draining;
    } else {
      Remove(info.id);
      Add(info);
    }
  }
}

void Fleet::ConfirmMostlyReturned(const core::DirectoryChange& change) {
  std::map<std::string_view, std::size_t> returned;
  for (const core::UpstreamInfo& info : change.added) {
    returned[info.service] += by_id_.at(info.id)->statement->is_unconfirmed ? 1 : 0;
  }
  for (const auto& [service, count] : returned) {
    const std::span<const std::shared_ptr<Upstream>> upstreams = OfService(service);
    if (count < 2 || 2 * count <= upstreams.size()) {
      continue;
    }
    for (const std::shared_ptr<Upstream>& upstream : upstreams) {
      upstream->statement->is_unconfirmed = false;
    }
  }
}

void Fleet::ConfirmReturned(TimePoint now) {
  std::erase_if(returned_, [now](auto& entry) {
    auto& [upstream, seen] = entry;
    if (upstream->is_removed || upstream->is_leaving() || !upstream->statement->is_unconfirmed) {
      return true;
    }
    if (!seen) {
      seen = now;
      Log(LogLevel::kInfo, "upstream_returned", {{"upstream", upstream->info.id}});
    }
    if (now - *seen < kRenewedTime) {
      return false;
    }
    upstream->statement->is_unconfirmed = false;
    Log(LogLevel::kInfo, "returned_upstream_confirmed",
        {{"upstream", upstream->info.id}, {"by", "renewed entry"}});
    return true;
  });
}

std::span<const std::shared_ptr<Upstream>> Fleet::OfService(std::string_view service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? std::span<const std::shared_ptr<Upstream>>()
                                    : std::span(found->second);
}

void Fleet::FillCandidates(std::string_view service, const core::ServiceRule& rule,
                           std::span<const std::int64_t> tried, std::string_view prompt_id,
                           TimePoint now, std::vector<core::PlacementCandidate>& candidates) const {
  candidates.clear();
  std::vector<std::string_view> domains;
  for (const std::shared_ptr<Upstream>& upstream : OfService(service)) {
    core::PlacementCandidate candidate;
    const core::UpstreamInfo& info = upstream->info;
    candidate.stage = info.stage;
    const auto domain = std::find(domains.begin(), domains.end(), info.failure_domain);
    candidate.failure_domain = static_cast<std::uint32_t>(domain - domains.begin());
    if (domain == domains.end()) {
      domains.push_back(info.failure_domain);
    }
    const bool may_be_used = !IsClosed(*upstream, now) &&
                             std::find(tried.begin(), tried.end(), upstream->key) == tried.end();
    const core::UpstreamVerdict verdict = Judge(*upstream, now);
    candidate.is_backing_off = may_be_used && (core::IsBackingOff(upstream->health, now) ||
                                               verdict.admission == core::Admission::kNone);
    candidate.back_off_until = upstream->health.back_off_until;
    candidate.failed_at = verdict.failed_at;
    candidate.is_usable = may_be_used && !candidate.is_backing_off;
    candidate.is_on_probation =
        core::IsOnProbation(upstream->health) || verdict.admission != core::Admission::kFree;
    candidate.slots = rule.engine && rule.engine->slots > 0
                          ? std::min(info.slots, rule.engine->slots)
                          : info.slots;
    candidate.memory_tokens = rule.engine ? rule.engine->memory_tokens : 0;
    candidate.failure_share = upstream->health.failure_share;
    if (weighs_speed_) {
      candidate.slowness = core::Slowness(upstream->speed, upstream->peer_speed, now);
    }
    if (!prompt_id.empty()) {
      candidate.affinity = Hash64(prompt_id, static_cast<std::uint64_t>(upstream->key));
    }
    candidate.load = {upstream->local_load.running + upstream->peer_load.running,
                      upstream->local_load.reserved_tokens + upstream->peer_load.reserved_tokens,
                      upstream->local_load.prefill_tokens + upstream->peer_load.prefill_tokens};
    candidates.push_back(candidate);
  }
  core::LimitBackOff(candidates);
}

void Fleet::SetPeerState(const std::string& peer, PeerState state) {
  PeerState& current = peer_states_[peer];
  AddToSums(current, -1);
  current = std::move(state);
  AddToSums(current, 1);
}

void Fleet::ChangePeerState(const std::string& peer, PeerState change) {
  std::unordered_set<std::int64_t> changed;
  for (const PeerLoad& load : change.loads) {
    changed.insert(load.key);
  }
  for (const PeerLoad& load : peer_states_[peer].loads) {
    if (!changed.contains(load.key)) {
      change.loads.push_back(load);
    }
  }
  SetPeerState(peer, std::move(change));
}

void Fleet::Exclude(std::int64_t key, TimePoint until) {
  local_exclusions_[key] = until;
  UpdateFromSums(key);
}

void Fleet::EndExclusion(std::int64_t key) {
  local_exclusions_.erase(key);
  UpdateFromSums(key);
}

void Fleet::ExpireExclusions(TimePoint now) {
  for (auto entry = local_exclusions_.begin(); entry != local_exclusions_.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    const std::int64_t key = entry->first;
    entry = local_exclusions_.erase(entry);
    UpdateFromSums(key);
  }
}

std::vector<std::int64_t> Fleet::LocalExclusions() const {
  std::vector<std::int64_t> keys;
  for (const auto& [key, until] : local_exclusions_) {
    keys.push_back(key);
  }
  for (const auto& [id, upstream] : by_id_) {
    if (upstream->is_leaving() && !local_exclusions_.contains(upstream->key)) {
      keys.push_back(upstream->key);
    }
  }
  return keys;
}

std::optional<TimePoint> Fleet::PausedUntil(std::string_view service, core::UpstreamStage stage,
                                            TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const std::shared_ptr<Upstream>& upstream : OfService(service)) {
    if (upstream->info.stage != stage || upstream->info.is_draining || upstream->is_leaving() ||
        upstream->is_excluded || upstream->statement->is_unconfirmed) {
      continue;
    }
    if (upstream->paused_until() <= now) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(TimePoint::max()), upstream->paused_until());
  }
  return earliest;
}

const Upstream* Fleet::Find(std::int64_t key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second.get();
}

Upstream* Fleet::FindUpstream(std::int64_t key) {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second.get();
}

core::WaitingTokens Fleet::PeerWaitingTokens(const std::string& service) const {
  const auto waiting = peer_waiting_.find(service);
  return waiting == peer_waiting_.end() ? core::WaitingTokens() : waiting->second;
}

void Fleet::RemovePeer(const std::string& peer) {
  const auto found = peer_states_.find(peer);
  if (found != peer_states_.end()) {
    AddToSums(found->second, -1);
    peer_states_.erase(found);
  }
}

std::vector<PeerLoad> Fleet::LocalLoad() const {
  std::vector<PeerLoad> loads;
  for (const auto& [id, upstream] : by_id_) {
    if (upstream->local_load.running > 0 || upstream->local_load.prefill_tokens > 0 ||
        upstream->local_load.reserved_tokens > 0) {
      loads.push_back({upstream->key, upstream->local_load});
    }
  }
  return loads;
}

void Fleet::Add(const core::UpstreamInfo& info) {
  std::shared_ptr<Upstream> upstream = std::make_shared<Upstream>();
  upstream->info = info;
  upstream->endpoint = EndpointOf(info);
  upstream->key = KeyOf(info);
  upstream->suspicions = suspicions_;
  const auto [statement, is_new] = statements_.try_emplace(upstream->key, upstream->statement);
  upstream->statement = statement->second;
  upstream->statement->is_leaving |= info.is_draining;
  upstream->statement->is_unconfirmed = !is_new;
  if (!is_new && !upstream->is_leaving()) {
    returned_.emplace_back(upstream, std::nullopt);
  }
  by_service_[info.service].push_back(upstream);
  by_key_[upstream->key] = upstream;
  by_id_[info.id] = upstream;
  UpdateFromSums(upstream->key);
}

void Fleet::Remove(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  std::shared_ptr<Upstream> upstream = found->second;
  upstream->is_removed = true;
  for (IdleConnection& idle : upstream->idle) {
    idle.upstream_connection.connection->Close();
  }
  upstream->idle.clear();
  std::erase(by_service_[upstream->info.service], upstream);
  const auto keyed = by_key_.find(upstream->key);
  if (keyed != by_key_.end() && keyed->second == upstream) {
    by_key_.erase(keyed);
  }
  by_id_.erase(found);
  removed_keys_.push_back(upstream->key);
  ForgetOldStatements();
}

void Fleet::ForgetOldStatements() {
  while (removed_keys_.size() > kMaxRemoved) {
    const std::int64_t key = removed_keys_.front();
    removed_keys_.pop_front();
    const bool is_needed =
        by_key_.contains(key) ||
        std::find(removed_keys_.begin(), removed_keys_.end(), key) != removed_keys_.end();
    if (!is_needed) {
      statements_.erase(key);
    }
  }
}

void Fleet::AddToSums(const PeerState& state, std::int64_t sign) {
  for (const PeerLoad& load : state.loads) {
    PeerSum& sum = peer_sums_[load.key];
    sum.load.running += sign * load.load.running;
    sum.load.reserved_tokens += sign * load.load.reserved_tokens;
    sum.load.prefill_tokens += sign * load.load.prefill_tokens;
    UpdateFromSums(load.key);
  }
  for (const std::int64_t key : state.excluded) {
    peer_sums_[key].exclusions += sign;
    UpdateFromSums(key);
  }
  for (const auto& [service, tokens] : state.waiting_tokens) {
    core::WaitingTokens& sum = peer_waiting_[service];
    sum.on_time += sign * tokens.on_time;
    sum.late += sign * tokens.late;
  }
}

void Fleet::UpdateFromSums(std::int64_t key) {
  const auto sum = peer_sums_.find(key);
  const PeerSum total = sum == peer_sums_.end() ? PeerSum() : sum->second;
  const auto upstream = by_key_.find(key);
  if (upstream != by_key_.end()) {
    upstream->second->peer_load = total.load;
    upstream->second->is_excluded = total.exclusions > 0 || local_exclusions_.contains(key);
  }
  const bool is_empty = total.load.running == 0 && total.load.reserved_tokens == 0 &&
                        total.load.prefill_tokens == 0 && total.exclusions == 0;
  if (is_empty && sum != peer_sums_.end()) {
    peer_sums_.erase(sum);
  }
}

UpstreamConnection AcquireConnection(Upstream& upstream, asio::io_context& context,
                                     std::string_view request_id, TimePoint now) {
  CloseExpiredConnections(upstream, now);
  const std::uint64_t id_hash = Hash64(request_id);
  for (std::size_t i = upstream.idle.size(); i > 0 && !request_id.empty(); --i) {
    UpstreamConnection& idle = upstream.idle[i - 1].upstream_connection;
    if (std::find(idle.sent_ids.begin(), idle.sent_ids.end(), id_hash) != idle.sent_ids.end()) {
      continue;
    }
    UpstreamConnection acquired = std::move(idle);
    upstream.idle.erase(upstream.idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (acquired.connection->is_open()) {
      acquired.connection->SetIdleEndHandler(nullptr);
      acquired.sent_ids.push_back(id_hash);
      return acquired;
    }
  }
  return {OpenableConnection(upstream, context), {id_hash}};
}

std::shared_ptr<http::ClientConnection> OpenableConnection(const Upstream& upstream,
                                                           asio::io_context& context) {
  return http::ClientConnection::Create(context, upstream.endpoint, kConnectTimeout);
}

void ReleaseConnection(const std::shared_ptr<Upstream>& upstream,
                       UpstreamConnection upstream_connection,
                       std::optional<std::int64_t> idle_timeout_ms, TimePoint now) {
  const Duration usable =
      idle_timeout_ms ? Milliseconds(*idle_timeout_ms) - kIdleMargin : Duration(kDefaultIdleTime);
  http::ClientConnection& connection = *upstream_connection.connection;
  if (upstream->is_removed || upstream->is_leaving() || usable <= Duration::zero() ||
      upstream_connection.sent_ids.size() >= kMaxRequestsPerConnection) {
    connection.Close();
    return;
  }
  std::weak_ptr<Upstream> weak = upstream;
  connection.SetIdleEndHandler([weak, raw = &connection] {
    const std::shared_ptr<Upstream> owner = weak.lock();
    if (owner) {
      std::erase_if(owner->idle, [raw](const IdleConnection& idle) {
        return idle.upstream_connection.connection.get() == raw;
      });
    }
  });
  upstream->idle.push_back({std::move(upstream_connection), now + usable});
}

void CloseExpiredConnections(Upstream& upstream, TimePoint now) {
  std::erase_if(upstream.idle, [now](const IdleConnection& idle) {
    if (idle.usable_until > now) {
      return false;
    }
    idle.upstream_connection.connection->Close();
    return true;
  });
}

}  // namespace rattanramp::gateway
