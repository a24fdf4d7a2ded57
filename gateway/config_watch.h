// Reads the configuration's table: once in full, then by held calls that the store answers when
// the table changes.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "core/config_freshness.h"
#include "gateway/store_poller.h"
#include "gateway/store_source.h"
#include "store/async_table.h"

namespace rattanramp::gateway {

/// Receives what ConfigWatch has read.
class ConfigListener {
 public:
  virtual ~ConfigListener() = default;
  virtual void OnConfigRow(const std::string& text, std::int64_t row_version) = 0;
  /// Called after each reply about the configuration, also one without a change, once its rows have
  /// been passed on. sent: when the call was sent.
  virtual void OnConfigEvidence(const core::ConfigEvidence& /*evidence*/, TimePoint /*sent*/) {}
};

class ConfigWatch {
 public:
  /// Called with each reply, before its rows are used.
  using ReplyHandler = std::function<void(const store::TableRows&)>;

  /// wait: how long the store holds a call open while nothing changes.
  ConfigWatch(asio::io_context& context, const Clock& clock, ConfigListener& listener,
              const StoreSource& source, Milliseconds wait, ReplyHandler on_reply);

  void Start() { ReadAll(); }
  void Stop() { StopPolling(poller_); }

  /// Highest version of the store in a reply.
  std::int64_t table_version() const { return table_version_; }

 private:
  void ReadAll();
  void WaitForChanges();
  void OnReply(const store::TableRows& rows);
  /// Reads all rows again after the back-off.
  void OnFailure(const Error& error);

  const Clock& clock_;
  ConfigListener& listener_;
  const StoreSource& source_;
  Milliseconds wait_;
  ReplyHandler on_reply_;
  StorePoller poller_;
  std::int64_t table_version_ = 0;
  std::int64_t row_version_ = 0;
  TimePoint call_sent_;
};

}  // namespace rattanramp::gateway
