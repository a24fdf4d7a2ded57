// The calls that a generation makes at engines: what is sent, and how long an answer may take.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "gateway/attempt.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

/// Has the engine read the prompt.
AttemptPlan PlanPrefill(const RequestContext& request, const Upstream& engine, TimePoint now);

/// Has the engine run the request. kv_source: where the prompt is kept that another engine has
/// read; empty: the engine reads it itself. resume_after: id of the last event of the stream that
/// was received.
AttemptPlan PlanDecode(const RequestContext& request, const Upstream& engine,
                       std::string_view kv_source, std::optional<std::int64_t> resume_after,
                       TimePoint now);

}  // namespace rattanramp::gateway
