#include "gateway/config_watch.h"

#include <algorithm>
#include <utility>

namespace rattanramp::gateway {
namespace {

constexpr const char* kWhat = "configuration";

}  // namespace

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
    OnReply(rows.value());
    WaitForChanges();
  });
}

void ConfigWatch::WaitForChanges() {
  call_sent_ = clock_.now();
  poller_.table->WaitForChanges(source_.config_table, table_version_, wait_,
                                [this](const Result<store::TableRows>& rows) {
                                  if (rows) {
                                    RecordSuccess(poller_, kWhat);
                                    OnReply(rows.value());
                                    ScheduleNext(poller_, Duration::zero(),
                                                 [this] { WaitForChanges(); });
                                    return;
                                  }
                                  if (rows.error().kind == ErrorKind::kNotFound) {
                                    ReadAll();
                                    return;
                                  }
                                  // Changes may have been missed, because an unresponsive service
                                  // and one without changes look the same.
                                  OnFailure(rows.error());
                                });
}

void ConfigWatch::OnFailure(const Error& error) {
  ScheduleNext(poller_, RecordFailure(poller_, kWhat, error), [this] { ReadAll(); });
}

void ConfigWatch::OnReply(const store::TableRows& rows) {
  on_reply_(rows);
  // A reply that is behind an earlier one shows an old state.
  const bool is_current = rows.version >= table_version_;
  table_version_ = std::max(table_version_, rows.version);
  for (const store::TableRow& row : rows.rows) {
    if (row.key == source_.config_key && row.version > row_version_) {
      // A configuration that was removed has no successor that could be in force.
      row_version_ = row.version;
      if (!row.is_removed) {
        listener_.OnConfigRow(row.value, row.version);
      }
    }
  }
  if (row_version_ > 0 && rows.clock_ms > 0 && is_current) {
    listener_.OnConfigEvidence({row_version_, rows.clock_ms}, call_sent_);
  }
}

}  // namespace rattanramp::gateway
