#include "gateway/config_evidence.h"

#include <utility>

#include "base/log.h"
#include "core/config_freshness.h"

namespace rattanramp::gateway {
namespace {

// Largest text of a configuration that fits into one datagram, with room for the other fields.
constexpr std::size_t kMaxRowBytes = 60'000;

// Time between two requests for a row; an answer takes one round trip between gateways.
constexpr Milliseconds kRequestInterval{100};

// Time within which the answer to such a request is taken.
constexpr Milliseconds kAnswerTime{2'000};

// Bytes per second of rows that are sent to peers, out of the link of the smallest VM (10 Mbit/s).
// Peers that get none ask another gateway or again.
constexpr std::int64_t kMaxRowBytesPerSecond = 250'000;

/// Position in a message; era 0 in those of gateways that do not know eras.
template <typename Message>
core::StorePosition RowOf(const Message& message) {
  return {message.era, message.row_version};
}

}  // namespace

ConfigEvidenceSection::ConfigEvidenceSection(GatewayState& state, Send send, RowHandler on_row)
    : state_(state), send_(std::move(send)), on_row_(std::move(on_row)) {}

void ConfigEvidenceSection::SetRow(const std::string& text, const core::StorePosition& row) {
  row_text_ = text;
  row_ = row;
}

void ConfigEvidenceSection::AddTo(wire::GatewayLoad& report, bool /*is_complete*/) {
  const core::ConfigEvidence& newest = state_.freshness.newest;
  if (!is_active() || newest.row.version == 0 || newest.clock_ms == 0) {
    return;
  }
  wire::GatewayConfigEvidence evidence;
  evidence.row_version = newest.row.version;
  evidence.clock_ms = newest.clock_ms;
  if (newest.row.era > 0) {
    evidence.__set_era(newest.row.era);
  }
  report.__set_config_evidence(evidence);
}

void ConfigEvidenceSection::Record(const wire::GatewayLoad& report) {
  if (!is_active()) {
    return;
  }
  // The row's evidence is in the same report.
  if (report.__isset.config_evidence) {
    core::RecordPeerEvidence(state_.freshness,
                             {RowOf(report.config_evidence), report.config_evidence.clock_ms},
                             state_.clock.now());
  }
  const bool is_asked = report.gateway == asked_peer_ && state_.clock.now() < asked_until_;
  if (is_asked && report.__isset.config_row && RowOf(report.config_row) > row_ &&
      RowOf(report.config_row) <= state_.freshness.newest.row) {
    state_.metrics.Count("config_rows_from_peers_total");
    Log(LogLevel::kInfo, "configuration_from_peer",
        {{"peer", report.gateway},
         {"row_version", report.config_row.row_version},
         {"store_era", report.config_row.era}});
    on_row_(report.config_row.text, RowOf(report.config_row));
  }
  if (report.__isset.config_evidence && RowOf(report.config_evidence) > row_) {
    RequestRow(report.gateway);
  }
  if (report.__isset.wanted_config &&
      row_ >= core::StorePosition{report.wanted_config_era, report.wanted_config}) {
    SendRow(report.gateway);
  }
}

void ConfigEvidenceSection::RequestRow(const std::string& peer) {
  const TimePoint now = state_.clock.now();
  if (next_request_ && now < *next_request_) {
    return;
  }
  next_request_ = now + kRequestInterval;
  asked_peer_ = peer;
  asked_until_ = now + kAnswerTime;
  state_.metrics.Count("config_rows_requested_total");
  send_(peer, [this](wire::GatewayLoad& report) {
    const core::StorePosition& newest = state_.freshness.newest.row;
    report.__set_wanted_config(newest.version);
    report.__set_wanted_config_era(newest.era);
  });
}

void ConfigEvidenceSection::SendRow(const std::string& peer) {
  const TimePoint now = state_.clock.now();
  if (row_text_.empty() || row_text_.size() > kMaxRowBytes || (next_row_ && now < *next_row_)) {
    return;
  }
  next_row_ = now + std::chrono::microseconds(static_cast<std::int64_t>(row_text_.size()) *
                                              1'000'000 / kMaxRowBytesPerSecond);
  state_.metrics.Count("config_rows_sent_total");
  send_(peer, [this](wire::GatewayLoad& report) {
    wire::GatewayConfigRow row;
    row.row_version = row_.version;
    row.text = row_text_;
    row.__set_era(row_.era);
    report.__set_config_row(row);
    // The receiver needs the evidence, too.
    AddTo(report, /*is_complete=*/false);
  });
}

}  // namespace rattanramp::gateway
