#include "gateway/config_watch.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace rattanramp::gateway {
namespace {

constexpr const char* kWhat = "configuration";

}  // namespace

std::string_view NameOf(ConfigAnswer answer) {
  switch (answer) {
    case ConfigAnswer::kWholeTable:
      return "whole_table";
    case ConfigAnswer::kChanges:
      return "changes";
    case ConfigAnswer::kHistoryLost:
      return "history_lost";
    case ConfigAnswer::kOutdated:
      return "outdated";
    case ConfigAnswer::kOlderRow:
      return "older_row";
  }
  return "";
}

ConfigWatch::ConfigWatch(asio::io_context& context, const Clock& clock, ConfigListener& listener,
                         const StoreSource& source, Milliseconds wait, ReplyHandler on_reply)
    : clock_(clock),
      listener_(listener),
      source_(source),
      wait_(wait),
      on_reply_(std::move(on_reply)),
      poller_(context, source.make_client()) {}

void ConfigWatch::ReadAll() {
  call_sent_ = clock_.now();
  poller_.table->ReadAll(source_.config_table, [this](const Result<store::TableRows>& rows) {
    if (!rows) {
      OnFailure(rows.error());
      return;
    }
    RecordSuccess(poller_, kWhat);
    listener_.OnConfigAnswer(ConfigAnswer::kWholeTable);
    OnReply(rows.value());
    WaitForChanges();
  });
}

void ConfigWatch::WaitForChanges() {
  call_sent_ = clock_.now();
  const auto on_answer = [this](const Result<store::TableRows>& rows) {
    if (rows) {
      RecordSuccess(poller_, kWhat);
      has_lost_history_ = false;
      listener_.OnConfigAnswer(ConfigAnswer::kChanges);
      OnReply(rows.value());
      ScheduleNext(poller_, Duration::zero(), [this] { WaitForChanges(); });
    } else if (rows.error().kind == ErrorKind::kNotFound) {
      OnHistoryLost();
    } else {
      // Changes may have been missed, because an unresponsive service and one without changes look
      // the same.
      OnFailure(rows.error());
    }
  };
  poller_.table->WaitForChanges(source_.config_table, state_.store_version, wait_, on_answer);
}

void ConfigWatch::OnHistoryLost() {
  listener_.OnConfigAnswer(ConfigAnswer::kHistoryLost);
  if (!std::exchange(has_lost_history_, true)) {
    Log(LogLevel::kInfo, "configuration_history_lost", {{"store_version", state_.store_version}});
  }
  ReadAll();
}

void ConfigWatch::OnFailure(const Error& error) {
  ScheduleNext(poller_, RecordFailure(poller_, kWhat, error), [this] { ReadAll(); });
}

void ConfigWatch::OnReply(const store::TableRows& rows) {
  on_reply_(rows);
  state_.answered = clock_.now();
  // A reply that is behind an earlier one shows an old state.
  const bool is_outdated = rows.version < state_.store_version;
  if (is_outdated) {
    listener_.OnConfigAnswer(ConfigAnswer::kOutdated);
  }
  if (std::exchange(is_outdated_, is_outdated) != is_outdated && is_outdated) {
    Log(LogLevel::kWarning, "store_answer_outdated",
        {{"store_version", rows.version}, {"known_version", state_.store_version}});
  }
  state_.store_version = std::max(state_.store_version, rows.version);
  for (const store::TableRow& row : rows.rows) {
    if (row.key == source_.config_key) {
      OnRow(row);
    }
  }
  if (state_.row_version > 0 && rows.clock_ms > 0 && !is_outdated) {
    listener_.OnConfigEvidence({state_.row_version, rows.clock_ms}, call_sent_);
  }
}

void ConfigWatch::OnRow(const store::TableRow& row) {
  if (row.version < state_.row_version) {
    listener_.OnConfigAnswer(ConfigAnswer::kOlderRow);
    if (std::exchange(logged_row_version_, row.version) != row.version) {
      Log(LogLevel::kWarning, "configuration_row_unused",
          {{"row_version", row.version}, {"newest_row_version", state_.row_version}});
    }
  }
  if (row.version > state_.row_version) {
    // A configuration that was removed has no successor that could be in force.
    state_.row_version = row.version;
    if (!row.is_removed) {
      listener_.OnConfigRow(row.value, row.version);
    }
  }
}

}  // namespace rattanramp::gateway
