// Bounds the memory of answers that are kept until they are complete. A faulty upstream may send
// bytes without end, and several of them may do so at once.
#pragma once

#include <cstddef>

namespace rattanramp::core {

/// Each answer may take this much, whatever the others take. Answers of the users' services have
/// some KB.
inline constexpr std::size_t kOwnAnswerBytes = 32 * 1024;

/// Larger answers share this much.
inline constexpr std::size_t kSharedAnswerBytes = 6 * 1024 * 1024;

struct AnswerBudget {
  /// Bytes that answers hold beyond their kOwnAnswerBytes.
  std::size_t shared_bytes = 0;
};

/// Bytes of one answer that count against a budget. Returns them when it is destroyed.
class AnswerAllowance {
 public:
  explicit AnswerAllowance(AnswerBudget& budget) : budget_(budget) {}
  ~AnswerAllowance() { Release(); }
  AnswerAllowance(const AnswerAllowance&) = delete;
  AnswerAllowance& operator=(const AnswerAllowance&) = delete;

  /// Returns false, and takes nothing, when the answer would exceed the budget.
  bool Take(std::size_t bytes);
  /// Returns all bytes; called when the answer has been passed on or dropped.
  void Release();

 private:
  AnswerBudget& budget_;
  std::size_t bytes_ = 0;
};

}  // namespace rattanramp::core
