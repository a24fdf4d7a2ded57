#include "agent/failures.h"

namespace rattanramp::agent {

wire::Refused MakeRefused(wire::RefusalKind::type kind, wire::Outcome::type outcome,
                          const std::string& message, const std::string& remedy,
                          std::int64_t retry_after_ms) {
  wire::Refused refused;
  refused.kind = kind;
  refused.outcome = outcome;
  refused.message = message;
  refused.remedy = remedy;
  refused.retry_after_ms = retry_after_ms;
  return refused;
}

wire::End MakeFailure(wire::RefusalKind::type kind, wire::Outcome::type outcome,
                      const std::string& message, const std::string& remedy) {
  wire::End end;
  end.outcome = outcome;
  end.complete = false;
  end.__set_error(kind);
  end.message = message;
  end.remedy = remedy;
  return end;
}

wire::Refused ToRefused(const wire::End& end, std::int64_t retry_after_ms) {
  return MakeRefused(end.error, end.outcome, end.message, end.remedy, retry_after_ms);
}

}  // namespace rattanramp::agent
