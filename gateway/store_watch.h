// Follows what the platform's tables say: the configuration, the upstreams and the other gateways.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/upstream_directory.h"
#include "gateway/store_source.h"
#include "store/async_table.h"

namespace rattanramp::gateway {

/// Receives what changed.
class StoreWatcher {
 public:
  virtual ~StoreWatcher() = default;
  virtual void OnConfigRow(const std::string& text, std::int64_t row_version) = 0;
  virtual void OnUpstreamRows(const std::vector<store::TableRow>& rows) = 0;
  /// Rows of all gateways by name, this one's included, that have changed lately.
  virtual void OnGatewayRows(const std::map<std::string, std::string>& rows) = 0;
};

class StoreWatch {
 public:
  StoreWatch(asio::io_context& context, const Clock& clock, StoreWatcher& watcher,
             StoreSource source, std::string own_name, std::string own_row);

  void Start();
  /// Takes this gateway's row out of the table and stops following.
  void Leave(std::function<void()> done);

 private:
  struct Follower {
    Follower(asio::io_context& context, std::unique_ptr<store::AsyncTable> client);
    std::unique_ptr<store::AsyncTable> table;
    asio::steady_timer timer;
    bool is_lost = false;
    std::int64_t failures = 0;
  };

  void ReadConfig();
  void WaitForConfig();
  void OnConfig(const store::TableRows& rows);
  void ReadUpstreams();
  void WriteOwnRow();
  void ReadGateways();
  void OnGateways(const store::TableRows& rows);
  void Later(Follower& follower, Duration wait, void (StoreWatch::*next)());
  /// Notes a failure, logging the first of a series, and returns the wait before the next call.
  Duration Failed(Follower& follower, const char* what, const Error& error);
  void Succeeded(Follower& follower, const char* what);

  const Clock& clock_;
  StoreWatcher& watcher_;
  StoreSource source_;
  std::string own_name_;
  std::string own_row_;
  Follower config_;
  Follower upstreams_;
  Follower gateways_;
  std::int64_t config_seen_ = 0;
  std::int64_t config_row_version_ = 0;
  bool is_stopped_ = false;
  struct SeenRow {
    std::int64_t version = 0;
    TimePoint changed;
  };
  std::map<std::string, SeenRow> seen_gateways_;
};

}  // namespace rattanramp::gateway
