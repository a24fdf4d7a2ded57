// What a gateway knows of the upstreams: the platform's list, its own work there, what its peers
// say of theirs, and how they answered lately.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "core/placement.h"
#include "core/routing_table.h"
#include "core/upstream_directory.h"
#include "core/upstream_health.h"
#include "http/client_connection.h"

namespace rattanramp::gateway {

struct IdleConnection {
  std::shared_ptr<http::ClientConnection> connection;
  /// Until then the upstream surely keeps it open.
  TimePoint usable_until;
};

struct Upstream {
  core::UpstreamInfo info;
  asio::ip::tcp::endpoint endpoint;
  /// Same in all gateways; differs between incarnations.
  std::int64_t key = 0;
  core::UpstreamLoad local_load;
  core::UpstreamLoad peer_load;
  core::UpstreamHealth health;
  /// Most recently used last.
  std::vector<IdleConnection> idle;
  /// No longer in the list, or replaced by another incarnation.
  bool is_removed = false;
  /// This gateway or a peer knows that it leaves or changes its stage: it gets no new work.
  bool is_excluded = false;
};

/// Upstream::key of an entry of the list.
std::int64_t KeyOf(const core::UpstreamInfo& info);

/// Load of one upstream as a peer tells it.
struct PeerLoad {
  std::int64_t key = 0;
  core::UpstreamLoad load;
};

/// What a peer tells of its work.
struct PeerState {
  std::vector<PeerLoad> loads;
  /// Memory of waiting generations by service.
  std::map<std::string, core::WaitingTokens> waiting_tokens;
  /// Keys of upstreams that must get no new work.
  std::vector<std::int64_t> excluded;
};

class Fleet {
 public:
  explicit Fleet(std::string own_domain);

  void Apply(const core::DirectoryChange& change);

  /// Upstreams of a service, in the order that candidates use.
  std::span<const std::shared_ptr<Upstream>> OfService(std::string_view service) const;

  /// What placement needs to know. `tried` are not usable; `prompt_id` is for the affinity.
  void FillCandidates(std::string_view service, const core::ServiceRule& rule,
                      std::span<const std::int64_t> tried, std::string_view prompt_id,
                      TimePoint now, std::vector<core::PlacementCandidate>& candidates) const;

  /// Replaces what a peer said before.
  void SetPeerState(const std::string& peer, PeerState state);
  void RemovePeer(const std::string& peer);

  /// Memory that generations waiting at the peers will take.
  core::WaitingTokens PeerWaitingTokens(const std::string& service) const;

  /// Keeps new work from an upstream until then, here and at the peers, which may not know yet.
  void Exclude(std::int64_t key, TimePoint until);
  void EndExclusion(std::int64_t key);
  void ExpireExclusions(TimePoint now);
  /// Keys of the upstreams that this gateway excludes.
  std::vector<std::int64_t> LocalExclusions() const;

  /// Null when no upstream has the key.
  const Upstream* Find(std::int64_t key) const;

  /// Upstreams at which this gateway has work.
  std::vector<PeerLoad> LocalLoad() const;

  std::size_t size() const { return by_id_.size(); }
  const std::map<std::string, std::shared_ptr<Upstream>, std::less<>>& upstreams() const {
    return by_id_;
  }

 private:
  void Add(const core::UpstreamInfo& info);
  void Remove(const std::string& id);
  void SumPeerStates();

  std::string own_domain_;
  std::map<std::string, std::shared_ptr<Upstream>, std::less<>> by_id_;
  std::map<std::string, std::vector<std::shared_ptr<Upstream>>, std::less<>> by_service_;
  std::map<std::string, PeerState> peer_states_;
  /// By key: until when.
  std::map<std::int64_t, TimePoint> local_exclusions_;
};

/// A connection to the upstream: the open one that was used last, or a new one.
std::shared_ptr<http::ClientConnection> AcquireConnection(Upstream& upstream,
                                                          asio::io_context& context, TimePoint now);

/// Keeps a connection for the next request. idle_timeout_ms: as the upstream stated it.
void ReleaseConnection(const std::shared_ptr<Upstream>& upstream,
                       std::shared_ptr<http::ClientConnection> connection,
                       std::optional<std::int64_t> idle_timeout_ms, TimePoint now);

/// Closes idle connections that the upstream may close soon.
void CloseExpiredConnections(Upstream& upstream, TimePoint now);

}  // namespace rattanramp::gateway
