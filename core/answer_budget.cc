#include "core/answer_budget.h"

namespace rattanramp::core {
namespace {

std::size_t SharedPart(std::size_t bytes) {
  return bytes > kOwnAnswerBytes ? bytes - kOwnAnswerBytes : 0;
}

}  // namespace

bool AnswerAllowance::Take(std::size_t bytes) {
  const std::size_t more = SharedPart(bytes_ + bytes) - SharedPart(bytes_);
  if (more > kSharedAnswerBytes - budget_.shared_bytes) {
    return false;
  }
  budget_.shared_bytes += more;
  bytes_ += bytes;
  return true;
}

void AnswerAllowance::Release() {
  budget_.shared_bytes -= SharedPart(bytes_);
  bytes_ = 0;
}

}  // namespace rattanramp::core
