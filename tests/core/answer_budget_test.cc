#include "core/answer_budget.h"

#include <criterion/criterion.h>

#include <memory>
#include <vector>

using namespace rattanramp::core;

// Guards against 200 answers without end that together take more than the 24 MB in which a gateway
// must go on serving. Pattern: each answer has an own part, and all share the rest.
Test(answer_budget, endless_answers_together_stay_within_the_bound) {
  constexpr std::size_t kAnswers = 200;
  constexpr std::size_t kRead = 8 * 1024;
  AnswerBudget budget;
  std::vector<std::unique_ptr<AnswerAllowance>> answers;
  std::size_t taken = 0;
  for (std::size_t i = 0; i < kAnswers; ++i) {
    answers.push_back(std::make_unique<AnswerAllowance>(budget));
    while (answers.back()->Take(kRead)) {
      taken += kRead;
    }
  }
  cr_assert_leq(taken, kAnswers * kOwnAnswerBytes + kSharedAnswerBytes);
  // Twice as much memory may be allocated as is filled.
  cr_assert_leq(2 * kAnswers * kOwnAnswerBytes + kSharedAnswerBytes, 20 * 1024 * 1024);
  // A small answer is served while the shared part is used up.
  AnswerAllowance small(budget);
  cr_assert(small.Take(kOwnAnswerBytes));
  answers.clear();
  small.Release();
  cr_assert_eq(budget.shared_bytes, 0);
  cr_assert(small.Take(kSharedAnswerBytes));
}
