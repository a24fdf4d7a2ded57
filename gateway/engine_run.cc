#include "gateway/engine_run.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <utility>

namespace rattanramp::gateway {

LoadReservation::LoadReservation(std::shared_ptr<Upstream> upstream, const core::UpstreamLoad& load,
                                 const std::function<void()>& on_change)
    : upstream_(std::move(upstream)), load_(load), on_change_(&on_change) {
  upstream_->local_load.running += load_.running;
  upstream_->local_load.reserved_tokens += load_.reserved_tokens;
  on_change();
}

LoadReservation::LoadReservation(LoadReservation&& other) noexcept
    : upstream_(std::exchange(other.upstream_, nullptr)),
      load_(other.load_),
      on_change_(other.on_change_) {}

LoadReservation& LoadReservation::operator=(LoadReservation&& other) noexcept {
  if (this != &other) {
    Release();
    upstream_ = std::exchange(other.upstream_, nullptr);
    load_ = other.load_;
    on_change_ = other.on_change_;
  }
  return *this;
}

void LoadReservation::SetTokens(std::int64_t reserved_tokens) {
  if (upstream_) {
    upstream_->local_load.reserved_tokens += reserved_tokens - load_.reserved_tokens;
    load_.reserved_tokens = reserved_tokens;
  }
}

void LoadReservation::Release() {
  if (const std::shared_ptr<Upstream> upstream = std::exchange(upstream_, nullptr)) {
    upstream->local_load.running -= load_.running;
    upstream->local_load.reserved_tokens -= load_.reserved_tokens;
    (*on_change_)();
  }
}

bool IsStream(const http::ResponseHead& head, const core::AnswerFacts& facts) {
  return head.status == 200 && facts.is_signed && facts.is_event_stream && !facts.is_encoded;
}

std::string DescribeLoss(const RequestContext& request, const EngineRun& run,
                         const core::EventSplitter& splitter, Duration after,
                         std::string_view cause) {
  return fmt::format(
      "{} after {:.0f} ms and {} events, framing {}, {} bytes of an event, prompt parts {}", cause,
      ToMs(after), splitter.events - run.events_before,
      run.is_streaming ? http::FramingName(run.answer_head.framing) : "none",
      splitter.partial.size(), fmt::join(request.facts.prompt_parts, " "));
}

}  // namespace rattanramp::gateway
