#include "gateway/config_watch.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/config_order.h"

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
    case ConfigAnswer::kReturned:
      return "returned";
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
  is_reading_all_ = true;
  poller_.table->ReadAll(source_.config_table, [this](const Result<store::TableRows>& rows) {
    is_reading_all_ = false;
    if (!rows) {
      OnFailure(rows.error());
      return;
    }
    RecordSuccess(poller_, kWhat);
    listener_.OnConfigAnswer(ConfigAnswer::kWholeTable);
    OnReply(rows.value(), /*is_whole=*/true);
    WaitForChanges();
  });
}

void ConfigWatch::WaitForChanges() {
  call_sent_ = clock_.now();
  const auto on_answer = [this](const Result<store::TableRows>& rows) {
    if (rows) {
      RecordSuccess(poller_, kWhat);
      listener_.OnConfigAnswer(ConfigAnswer::kChanges);
      const core::ReplyUse use = OnReply(rows.value(), /*is_whole=*/false);
      const bool reads_all = use == core::ReplyUse::kReadWholeTable;
      Continue(use == core::ReplyUse::kUse,
               [this, reads_all] { reads_all ? ReadAll() : WaitForChanges(); });
    } else if (rows.error().kind == ErrorKind::kNotFound) {
      OnHistoryLost();
    } else {
      // Changes may have been missed, because an unresponsive service and one without changes look
      // the same.
      OnFailure(rows.error());
    }
  };
  poller_.table->WaitForChanges(source_.config_table, state_.store.version, wait_, on_answer);
}

void ConfigWatch::Continue(bool has_progress, std::function<void()> next) {
  const std::int64_t before = has_progress ? 0 : unused_answers_;
  unused_answers_ = has_progress ? 0 : unused_answers_ + 1;
  ScheduleNext(poller_, before == 0 ? Duration::zero() : BackOff(before), std::move(next));
}

void ConfigWatch::OnHistoryLost() {
  listener_.OnConfigAnswer(ConfigAnswer::kHistoryLost);
  if (unused_answers_ == 0) {
    Log(LogLevel::kInfo, "configuration_history_lost", {{"store_version", state_.store.version}});
  }
  // In series, the position stays ahead of the store: one without eras has returned from a copy.
  Continue(/*has_progress=*/false, [this] { ReadAll(); });
}

void ConfigWatch::OnEra(std::int64_t era) {
  // Until the first answer, a whole read is in progress or scheduled anyway.
  if (poller_.is_stopped || !state_.answered || era <= era_) {
    return;
  }
  RecordReturn(era);
  ReadAllNow();
}

void ConfigWatch::OnPositionLost() {
  // A read that is in progress or scheduled brings the position up to date.
  if (!poller_.is_stopped && !is_reading_all_ && !poller_.is_waiting) {
    ReadAllNow();
  }
}

void ConfigWatch::ReadAllNow() {
  CancelSchedule(poller_);
  poller_.table->Cancel();
  ReadAll();
}

void ConfigWatch::RecordReturn(std::int64_t era) {
  era_ = era;
  listener_.OnConfigAnswer(ConfigAnswer::kReturned);
  Log(LogLevel::kWarning, "store_returned",
      {{"store_era", era},
       {"store_version_before", state_.store.version},
       {"row_version_before", state_.row.version}});
}

void ConfigWatch::OnFailure(const Error& error) {
  ScheduleNext(poller_, RecordFailure(poller_, kWhat, error), [this] { ReadAll(); });
}

core::ReplyUse ConfigWatch::OnReply(const store::TableRows& rows, bool is_whole) {
  on_reply_(rows);
  const core::StorePosition position = core::PositionOf(rows.era, rows.version, state_.store);
  if (!state_.answered) {
    era_ = position.era;
  } else if (position.era > era_) {
    RecordReturn(position.era);
  }
  state_.answered = clock_.now();
  const core::ReplyUse use = core::JudgeReply(state_.store, position, is_whole);
  if (use == core::ReplyUse::kReadWholeTable) {
    return use;
  }
  const bool is_outdated = use == core::ReplyUse::kOutdated;
  if (is_outdated) {
    listener_.OnConfigAnswer(ConfigAnswer::kOutdated);
  }
  if (std::exchange(is_outdated_, is_outdated) != is_outdated && is_outdated) {
    Log(LogLevel::kWarning, "store_answer_outdated",
        {{"store_era", position.era},
         {"store_version", position.version},
         {"known_era", state_.store.era},
         {"known_version", state_.store.version}});
  }
  state_.store = std::max(state_.store, position);
  for (const store::TableRow& row : rows.rows) {
    if (row.key == source_.config_key) {
      OnRow(row, position.era);
    }
  }
  if (state_.row.version > 0 && state_.row.era == state_.store.era && rows.clock_ms > 0 &&
      !is_outdated) {
    listener_.OnConfigEvidence({state_.row, rows.clock_ms}, call_sent_);
  }
  return use;
}

void ConfigWatch::OnRow(const store::TableRow& row, std::int64_t era) {
  const core::StorePosition position{era, row.version};
  if (position < state_.row) {
    listener_.OnConfigAnswer(ConfigAnswer::kOlderRow);
    if (std::exchange(logged_row_version_, row.version) != row.version) {
      Log(LogLevel::kWarning, "configuration_row_unused",
          {{"row_version", row.version},
           {"store_era", era},
           {"newest_row_version", state_.row.version},
           {"newest_row_era", state_.row.era}});
    }
  }
  if (position > state_.row) {
    // A configuration that was removed has no successor that could be in force.
    state_.row = position;
    if (!row.is_removed) {
      listener_.OnConfigRow(row.value, position);
    }
  }
}

}  // namespace rattanramp::gateway
