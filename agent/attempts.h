// Attempts that entries have submitted, with their output and the replies sent. Link thread only.
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

/// The event that a run at the upstream waits for. kProbing: the next load report, after the engine
/// reported that the request is unknown. kWaiting: a retry after the engine reported full memory.
enum class RunStage { kNone, kImporting, kPrefilling, kStreaming, kResuming, kProbing, kWaiting };

/// The current request at the engine for an attempt.
struct Run {
  /// Incremented at each call of the upstream port. Results with an older number are ignored.
  int number = 0;
  std::string engine_id;
  std::shared_ptr<RunControl> control;
  RunStage stage = RunStage::kNone;
  /// Time at which the current stage times out.
  TimePoint deadline;
  int imports = 0;
  /// Number of resumptions since the last output.
  int resumes_without_output = 0;
  /// Time of the first of the latest consecutive memory_full answers.
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
  /// Output so far. Kept until the attempt is removed, so that an entry can resume it.
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
  /// Deletes the attempt and its lease. A copy of its Submit that arrives later is refused.
  void Remove(const std::string& id);
  /// Records the id, so that a Submit that arrives after its Cancel is refused.
  void MarkRemoved(const std::string& id);
  bool WasRemoved(const std::string& id) const { return removed_.contains(id); }

  void Grant(Attempt& attempt, std::int64_t wait_ms);
  /// Ends an attempt that was not granted.
  void Refuse(Attempt& attempt, wire::Refused refused);
  void FinishPrefill(Attempt& attempt, const wire::PrefillDone& done);
  /// Appends output and sends it. Text that was already received is ignored. Returns false if
  /// offset is beyond the end of the output.
  bool Append(Attempt& attempt, std::int64_t offset, std::string_view text, std::int32_t tokens);
  /// Ends a granted attempt. Sets attempt_id and total_bytes, and output_tokens if it is zero.
  void Finish(Attempt& attempt, wire::End end);

  /// Moves the attempt to another link and sends its state and the output from offset on.
  void Resume(Attempt& attempt, const std::shared_ptr<link::Link>& link,
              core::ConnectionId connection, std::int64_t offset);

  /// Removes ended attempts whose link is up, and recorded ids, after their retention times.
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
