// State of the upstreams in one gateway: the platform's list, the load of this gateway, the load
// that its peers report, and the health as shown by recent answers.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "core/placement.h"
#include "core/request_facts.h"
#include "core/routing_table.h"
#include "core/server_speed.h"
#include "core/upstream_directory.h"
#include "core/upstream_health.h"
#include "core/upstream_suspicion.h"
#include "http/client_connection.h"

namespace rattanramp::gateway {

/// Connection to an upstream, and what it has carried.
struct UpstreamConnection {
  std::shared_ptr<http::ClientConnection> connection;
  /// Hashes of the ids of all requests that were sent on the connection.
  std::vector<std::uint64_t> sent_ids;
};

struct IdleConnection {
  UpstreamConnection upstream_connection;
  /// Until this time the upstream keeps the connection open.
  TimePoint usable_until;
};

/// What an incarnation of an upstream has said of itself, in answers and in the list. Belongs to
/// the incarnation, not to its entry: it holds when the entry is removed or comes back.
struct OwnStatement {
  /// It leaves, and gets no new requests any more.
  bool is_leaving = false;
  /// It has asked this gateway for no requests before this time.
  TimePoint paused_until;
  /// Its entry was removed and has come back. The store may have performed an old beat late, so
  /// that the upstream gets no requests before it has answered a health check, or the entry must
  /// have been renewed.
  bool is_unconfirmed = false;
};

struct Upstream {
  core::UpstreamInfo info;
  asio::ip::tcp::endpoint endpoint;
  /// Identical in all gateways; differs between incarnations of an upstream.
  std::int64_t key = 0;
  core::UpstreamLoad local_load;
  core::UpstreamLoad peer_load;
  core::UpstreamHealth health;
  /// As measured by this gateway, and by its peers.
  core::ServerSpeed speed;
  core::ServerSpeed peer_speed;
  /// Idle connections, the most recently used last.
  std::vector<IdleConnection> idle;
  /// The upstream is no longer in the list, or was replaced by another incarnation.
  bool is_removed = false;
  /// Receives no new requests, because this gateway or a peer has recorded that the upstream drains
  /// or changes its stage.
  bool is_excluded = false;
  /// Shared by all objects of the same incarnation, also by those that are removed.
  std::shared_ptr<OwnStatement> statement = std::make_shared<OwnStatement>();
  /// Of the fleet; null: the upstream belongs to none.
  std::shared_ptr<core::UpstreamSuspicions> suspicions;

  bool is_leaving() const { return statement->is_leaving; }
  TimePoint paused_until() const { return statement->paused_until; }
};

/// Whether no new request may be sent to the upstream, whatever its load and health.
bool IsClosed(const Upstream& upstream, TimePoint now);

/// Records what an upstream has said of itself in an answer to this gateway. Idle connections to
/// one that leaves are closed.
void RecordOwnStatement(Upstream& upstream, const core::AnswerFacts& facts, TimePoint now);

/// Whether the upstream is left out of placement because it has failed lately.
bool IsAvoided(const Upstream& upstream, TimePoint now);

/// Records that a connection to the upstream failed or was lost, and bytes of its answers.
void RecordFailureSign(Upstream& upstream, core::FailureSign sign, TimePoint now);
void RecordLifeSign(Upstream& upstream, TimePoint now);

/// Upstream::key of an entry of the list.
std::int64_t KeyOf(const core::UpstreamInfo& info);

/// Load that one gateway causes at one upstream.
struct PeerLoad {
  std::int64_t key = 0;
  core::UpstreamLoad load;
};

/// Content of the last load report of a peer.
struct PeerState {
  std::vector<PeerLoad> loads;
  /// Engine memory that the queued generations are expected to take, by service.
  std::map<std::string, core::WaitingTokens> waiting_tokens;
  /// Keys of upstreams that must receive no new requests.
  std::vector<std::int64_t> excluded;
};

class Fleet {
 public:
  void Apply(const core::DirectoryChange& change);

  /// Upstreams of a service, in the same order as the candidates of FillCandidates.
  std::span<const std::shared_ptr<Upstream>> OfService(std::string_view service) const;

  /// Fills in one placement candidate for each upstream of the service. Upstreams in `tried` are
  /// marked unusable; `prompt_id` determines the prefix-cache affinity.
  void FillCandidates(std::string_view service, const core::ServiceRule& rule,
                      std::span<const std::int64_t> tried, std::string_view prompt_id,
                      TimePoint now, std::vector<core::PlacementCandidate>& candidates) const;

  /// Whether candidates are rated by the speed that was measured.
  void SetWeighsSpeed(bool weighs_speed) { weighs_speed_ = weighs_speed; }

  /// Replaces the previous report of a peer. The cost depends on the size of both reports, not on
  /// the number of peers or upstreams.
  void SetPeerState(const std::string& peer, PeerState state);
  /// Like SetPeerState, but the peer's load at upstreams that `change` does not name is kept.
  void ChangePeerState(const std::string& peer, PeerState change);
  void RemovePeer(const std::string& peer);

  /// Engine memory that the generations queued at the peers are expected to take.
  core::WaitingTokens PeerWaitingTokens(const std::string& service) const;

  /// Sends an upstream no new requests before `until`. The exclusion is also reported to the peers,
  /// which may not have detected its cause yet.
  void Exclude(std::int64_t key, TimePoint until);
  void EndExclusion(std::int64_t key);
  void ExpireExclusions(TimePoint now);
  /// Keys of the upstreams that this gateway excludes.
  std::vector<std::int64_t> LocalExclusions() const;

  /// Earliest time at which one of the upstreams of a service takes requests, if all those that do
  /// not leave have asked for none; empty otherwise. stage: only upstreams of this stage count.
  std::optional<TimePoint> PausedUntil(std::string_view service, core::UpstreamStage stage,
                                       TimePoint now) const;

  /// Null when no upstream has the key.
  const Upstream* Find(std::int64_t key) const;
  Upstream* FindUpstream(std::int64_t key);

  /// Load that this gateway causes, for each upstream at which it has running or prefilling
  /// requests.
  std::vector<PeerLoad> LocalLoad() const;

  /// Lets upstreams that have come back get requests when their entries have stayed long enough to
  /// have been renewed. Called at intervals.
  void ConfirmReturned(TimePoint now);
  /// Upstreams that have come back, and when this was first seen by ConfirmReturned. Some may have
  /// been confirmed or removed since.
  std::span<const std::pair<std::shared_ptr<Upstream>, std::optional<TimePoint>>> returned() const {
    return returned_;
  }

  /// Signs of upstreams that may have ended.
  core::UpstreamSuspicions& suspicions() { return *suspicions_; }

  std::size_t size() const { return by_id_.size(); }
  const std::map<std::string, std::shared_ptr<Upstream>, std::less<>>& upstreams() const {
    return by_id_;
  }

 private:
  void Add(const core::UpstreamInfo& info);
  void Remove(const std::string& id);
  /// Lets the upstreams of a service get requests at once if most of them have come back with this
  /// change: the list was incomplete.
  void ConfirmMostlyReturned(const core::DirectoryChange& change);
  /// Forgets what the upstreams said that were removed before the last kMaxRemoved.
  void ForgetOldStatements();
  /// Adds a peer's report to the sums, or subtracts it (sign -1).
  void AddToSums(const PeerState& state, std::int64_t sign);
  /// Copies the sums of one upstream key to the upstream.
  void UpdateFromSums(std::int64_t key);

  /// What all peers together report about one upstream.
  struct PeerSum {
    core::UpstreamLoad load;
    std::int64_t exclusions = 0;
  };

  bool weighs_speed_ = true;
  std::map<std::string, std::shared_ptr<Upstream>, std::less<>> by_id_;
  std::unordered_map<std::int64_t, std::shared_ptr<Upstream>> by_key_;
  std::map<std::string, std::vector<std::shared_ptr<Upstream>>, std::less<>> by_service_;
  std::shared_ptr<core::UpstreamSuspicions> suspicions_ =
      std::make_shared<core::UpstreamSuspicions>();
  std::map<std::string, PeerState> peer_states_;
  /// By key; also of upstreams that this gateway has not read from the list yet.
  std::unordered_map<std::int64_t, PeerSum> peer_sums_;
  std::map<std::string, core::WaitingTokens> peer_waiting_;
  /// By key: until when.
  std::map<std::int64_t, TimePoint> local_exclusions_;
  /// By key: of the upstreams in the list, and of those that were removed, which may come back: an
  /// older list, a store that has lost its newest rows, or one that performs an old beat late.
  std::unordered_map<std::int64_t, std::shared_ptr<OwnStatement>> statements_;
  std::vector<std::pair<std::shared_ptr<Upstream>, std::optional<TimePoint>>> returned_;
  /// Keys of upstreams that were removed, oldest first; a key may occur several times.
  std::deque<std::int64_t> removed_keys_;
};

/// Returns a connection to the upstream: the most recently used idle one, or a new one. An idle
/// connection that has carried a request of the same id is not used: a second copy of that answer
/// would look like the answer to this request. Requests without an id get a new connection.
UpstreamConnection AcquireConnection(Upstream& upstream, asio::io_context& context,
                                     std::string_view request_id, TimePoint now);

/// A new connection on which nothing was sent yet.
std::shared_ptr<http::ClientConnection> OpenableConnection(const Upstream& upstream,
                                                           asio::io_context& context);

/// Stores a connection as idle for a later request. idle_timeout_ms: the value that the upstream
/// stated; empty: it stated none.
void ReleaseConnection(const std::shared_ptr<Upstream>& upstream,
                       UpstreamConnection upstream_connection,
                       std::optional<std::int64_t> idle_timeout_ms, TimePoint now);

/// Closes the idle connections whose usable_until has passed: the upstream may close them soon.
void CloseExpiredConnections(Upstream& upstream, TimePoint now);

}  // namespace rattanramp::gateway
