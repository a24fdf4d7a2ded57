#include "agent/state_dump.h"

namespace rattanramp::agent {
namespace {

using nlohmann::json;

const char* PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kQueued:
      return "queued";
    case Phase::kHeld:
      return "held";
    case Phase::kRunning:
      return "running";
    case Phase::kEnded:
      return "ended";
  }
  return "";
}

const char* StageName(RunStage stage) {
  switch (stage) {
    case RunStage::kNone:
      return "none";
    case RunStage::kImporting:
      return "importing";
    case RunStage::kPrefilling:
      return "prefilling";
    case RunStage::kStreaming:
      return "streaming";
    case RunStage::kResuming:
      return "resuming";
    case RunStage::kProbing:
      return "probing";
    case RunStage::kWaiting:
      return "waiting";
  }
  return "";
}

}  // namespace

json DumpUpstream(const AgentContext& context) {
  const UpstreamLoad& load = context.status.load;
  return {{"upstream",
           {{"url", context.boot.upstream.url},
            {"kind", context.boot.upstream.kind},
            {"service", context.boot.upstream.service},
            {"model", context.boot.upstream.model},
            {"up", context.status.up},
            {"clean", context.status.clean},
            {"incarnation", load.incarnation},
            {"free_pieces", load.free_pieces},
            {"running", load.running}}},
          {"suspects", context.crash_table.by_fingerprint.size()}};
}

json DumpMemory(const core::MemoryLedger& memory) {
  json reservations = json::object();
  for (const auto& [attempt, reservation] : memory.reservations) {
    reservations[attempt] = reservation.pieces;
  }
  return {{"total_pieces", memory.total_pieces},
          {"held_pieces", memory.reserved_pieces},
          {"free_pieces", core::FreePieces(memory)},
          {"holds", reservations}};
}

json DumpQueue(const core::AgentQueue& queue) {
  return {{"length", queue.items.size()},
          {"capacity", queue.capacity},
          {"tokens", core::QueuedTokens(queue)}};
}

json DumpAttempts(const AttemptTable& attempts, TimePoint now) {
  json list = json::array();
  for (const auto& [id, attempt] : attempts.all()) {
    const auto lease = attempts.leases().leases.find(id);
    list.push_back(
        {{"id", id},
         {"request", attempt.submit.request_id},
         {"kind", wire::to_string(attempt.submit.kind)},
         {"phase", PhaseName(attempt.phase)},
         {"stage", StageName(attempt.run.stage)},
         {"age_ms", ToMs(now - attempt.arrived)},
         {"output_bytes", attempt.output.size()},
         {"connection", lease == attempts.leases().leases.end() ? 0 : lease->second.holder}});
  }
  return list;
}

json DumpCalls(const Calls& calls) {
  return {{"entries", calls.ledger().calls.size()},
          {"abandoned", calls.ledger().abandoned.size()},
          {"running", calls.running()},
          {"queued", calls.queued()},
          {"results_to_record", calls.pending_results()}};
}

wire::EngineRole::type EngineRoleOf(const std::string& role) {
  if (role == "prefill") {
    return wire::EngineRole::PREFILL;
  }
  if (role == "decode") {
    return wire::EngineRole::DECODE;
  }
  return role == "service" ? wire::EngineRole::SERVICE : wire::EngineRole::BOTH;
}

}  // namespace rattanramp::agent
