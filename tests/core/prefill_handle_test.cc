#include "core/prefill_handle.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <vector>

using namespace rattanramp;
using core::HandleState;
using core::OfferResult;
using core::PrefillHandle;

namespace {

constexpr Milliseconds kHold{420};

PrefillHandle Held() {
  PrefillHandle handle;
  core::Hold(handle, "10.0.0.1:80/h", TimePoint() + kHold);
  return handle;
}

}  // namespace

// Each row of the table in docs/design/engines.md. Load: decode engines crash or are full while
// their prompts are read; each prompt that is given up is read twice.
Test(prefill_handle, is_kept_exactly_while_no_engine_can_have_taken_it) {
  struct Row {
    std::vector<OfferResult> results;
    bool is_kept;
  };
  const std::vector<Row> rows = {
      {{}, true},
      {{OfferResult::kNotReached}, true},
      {{OfferResult::kNotReached, OfferResult::kNotReached, OfferResult::kNotReached}, true},
      {{OfferResult::kRefused}, true},
      {{OfferResult::kRefused, OfferResult::kRefused}, false},
      {{OfferResult::kRefused, OfferResult::kNotReached, OfferResult::kRefused}, false},
      {{OfferResult::kBroken}, false},
      {{OfferResult::kTaken}, false},
      {{OfferResult::kNotReached, OfferResult::kTaken}, false}};
  for (const Row& row : rows) {
    PrefillHandle handle = Held();
    for (const OfferResult result : row.results) {
      cr_assert_eq(core::Offer(handle, TimePoint()), "10.0.0.1:80/h");
      cr_assert(!core::IsHeld(handle, TimePoint()), "it is offered to one engine at a time");
      core::RecordOffer(handle, result);
    }
    cr_assert_eq(core::IsHeld(handle, TimePoint()), row.is_kept);
    cr_assert_eq(core::Offer(handle, TimePoint()).empty(), !row.is_kept);
  }
}

// Load: connections to dark engines time out until the hold has passed. Property: whatever happens,
// no engine is sent a handle that has lapsed or may have been taken.
Test(prefill_handle, lapsed_or_taken_handle_is_never_offered) {
  const bool holds = rc::check([] {
    PrefillHandle handle = Held();
    TimePoint now{};
    bool may_be_taken = false;
    std::int64_t refusals = 0;
    for (int i = 0; i < 8; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 150));
      const bool is_offered = !core::Offer(handle, now).empty();
      RC_ASSERT(is_offered == (now < TimePoint() + kHold && !may_be_taken && refusals < 2));
      if (!is_offered) {
        return;
      }
      const auto result = static_cast<OfferResult>(*rc::gen::inRange(0, 4));
      may_be_taken = result == OfferResult::kTaken || result == OfferResult::kBroken;
      refusals += result == OfferResult::kRefused ? 1 : 0;
      core::RecordOffer(handle, result);
    }
  });
  cr_assert(holds);
}
