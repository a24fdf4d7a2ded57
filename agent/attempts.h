// Attempts that entries have submitted, with their output and what was answered. Link thread only.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/context.h"
#include "core/lease.h"
#include "link/link.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::agent {

enum class Phase { kQueued, kHeld, kRunning, kEnded };

/// What a run at the upstream is waiting for.
enum class RunStage { kNone, kImporting, kPrefilling, kStreaming, kResuming, kProbing, kWaiting };

/// The request at the engine that serves an attempt at present.
struct Run {
  /// Grows with each call of the upstream port; results with an older number are ignored.
  int number = 0;
  std::string engine_id;
  std::shared_ptr<RunControl> control;
  RunStage stage = RunStage::kNone;
  /// End of the present stage.
  TimePoint deadline;
  int imports = 0;
  /// Resumptions since the last output.
  int silent_resumes = 0;
  /// Start of the present series of memory_full answers.
  std::optional<TimePoint> memory_full_since;
};

struct Attempt {
  std::string id;
  wire::Submit submit;
  Phase phase = Phase::kQueued;
  std::shared_ptr<link::Link> link;
  TimePoint arrived;
  TimePoint ended_at;

  bool granted = false;
  std::int64_t wait_ms = 0;
  std::optional<wire::Refused> refused;
  std::optional<wire::PrefillDone> prefill_done;
  std::optional<wire::End> end;
  /// Output so far; kept until the entry has it.
  std::string output;
  std::int32_t output_tokens = 0;

  std::optional<wire::StartDecode> start;
  Run run;
};

class AttemptTable {
 public:
  explicit AttemptTable(AgentContext& context) : context_(context) {}

  Attempt* Find(const std::string& id);
  /// The id must be new.
  Attempt& Add(wire::Submit submit, const std::shared_ptr<link::Link>& link,
               core::ConnectionId connection);
  /// Forgets the attempt and its lease. A late copy of its Submit is then refused.
  void Remove(const std::string& id);
  /// Refuses a Submit of this id that arrives later; for a Cancel that overtook it.
  void MarkRemoved(const std::string& id);
  bool WasRemoved(const std::string& id) const { return removed_.contains(id); }

  void Grant(Attempt& attempt, std::int64_t wait_ms);
  /// Ends an attempt that was not granted.
  void Refuse(Attempt& attempt, wire::Refused refused);
  void FinishPrefill(Attempt& attempt, const wire::PrefillDone& done);
  /// Adds output and sends it. Text before the end of the output is dropped. False on a gap.
  bool Append(Attempt& attempt, std::int64_t offset, std::string_view text, std::int32_t tokens);
  /// total_bytes, output_tokens and attempt_id are filled in.
  void Finish(Attempt& attempt, wire::End end);

  /// Moves the attempt to another link and sends what the entry has not got.
  void Resume(Attempt& attempt, const std::shared_ptr<link::Link>& link,
              core::ConnectionId connection, std::int64_t offset);

  /// Removes ended attempts that have been kept long enough on a working link, and old marks.
  void RemoveDelivered(TimePoint now);

  core::LeaseTable& leases() { return leases_; }
  const core::LeaseTable& leases() const { return leases_; }
  const std::map<std::string, Attempt>& all() const { return attempts_; }
  /// Attempts that have not ended.
  std::size_t active() const;
  std::vector<std::string> ActiveIds() const;

 private:
  void Send(const Attempt& attempt, const wire::Frame& frame);
  void SendOutput(const Attempt& attempt, std::int64_t offset, std::int32_t tokens);
  void MarkEnded(Attempt& attempt);

  AgentContext& context_;
  std::map<std::string, Attempt> attempts_;
  core::LeaseTable leases_;
  std::map<std::string, TimePoint> removed_;
};

}  // namespace rattanramp::agent
