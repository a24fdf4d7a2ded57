// Measures the index of callers' keys.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace rattanramp::core {

/// Times of building the index for 10,000 workspaces with 4 keys each, and of finding the caller of
/// a request, known and unknown.
nlohmann::ordered_json MeasureCallerKeys(std::uint64_t seed);

}  // namespace rattanramp::core
