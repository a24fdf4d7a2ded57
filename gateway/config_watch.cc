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
  poller_.table->ReadAll(source_.config_table, [this](const Result<store::TableRows>& rows) {
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
      history_losses_ = 0;
      listener_.OnConfigAnswer(ConfigAnswer::kChanges);
      if (OnReply(rows.value(), /*is_whole=*/false)) {
        ScheduleNext(poller_, Duration::zero(), [this] { WaitForChanges(); });
      } else {
        ReadAll();
      }
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

void ConfigWatch::OnHistoryLost() {
  listener_.OnConfigAnswer(ConfigAnswer::kHistoryLost);
  const std::int64_t losses = history_losses_++;
  if (losses == 0) {
    Log(LogLevel::kInfo, "configuration_history_lost", {{"store_version", state_.store.version}});
    ReadAll();
    return;
  }
  // The store's versions stay behind the position, as those of one that does not state its era may.
  ScheduleNext(poller_, BackOff(losses), [this] { ReadAll(); });
}

void ConfigWatch::OnEra(std::int64_t era) {
  // The first read is in progress while no era is known.
  if (poller_.is_stopped || era_ == 0 || era <= era_) {
    return;
  }
  RecordReturn(era);
  // The held call may have been lost with the store's connections.
  poller_.timer.cancel();
  poller_.table->Cancel();
  ReadAll();
}

void ConfigWatch::RecordReturn(std::int64_t era) {
  if (std::exchange(era_, era) == 0 || era <= 0) {
    return;
  }
  listener_.OnConfigAnswer(ConfigAnswer::kReturned);
  Log(LogLevel::kWarning, "store_returned",
      {{"store_era", era},
       {"store_version_before", state_.store.version},
       {"row_version_before", state_.row.version}});
}

void ConfigWatch::OnFailure(const Error& error) {
  ScheduleNext(poller_, RecordFailure(poller_, kWhat, error), [this] { ReadAll(); });
}

bool ConfigWatch::OnReply(const store::TableRows& rows, bool is_whole) {
  on_reply_(rows);
  state_.answered = clock_.now();
  const core::StorePosition position = core::PositionOf(rows.era, rows.version, state_.store);
  if (position.era > era_) {
    RecordReturn(position.era);
  }
  const core::ReplyUse use = core::JudgeReply(state_.store, position, is_whole);
  if (use == core::ReplyUse::kReadWholeTable) {
    return false;
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
  return true;
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
