// Converts the agent's state to JSON for the operator port.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "agent/attempts.h"
#include "agent/calls.h"
#include "agent/context.h"
#include "core/agent_queue.h"
#include "core/memory_ledger.h"

namespace rattanramp::agent {

nlohmann::json DumpUpstream(const AgentContext& context);
nlohmann::json DumpMemory(const core::MemoryLedger& memory);
nlohmann::json DumpQueue(const core::AgentQueue& queue);
nlohmann::json DumpAttempts(const AttemptTable& attempts, TimePoint now);
nlohmann::json DumpCalls(const Calls& calls);

/// Converts "prefill", "decode", "both" or "service" to the wire enum.
wire::EngineRole::type EngineRoleOf(const std::string& role);

}  // namespace rattanramp::agent
