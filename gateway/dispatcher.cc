#include "gateway/dispatcher.h"

#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace rattanramp::gateway {
namespace {

// How far down the line a smaller request may pass one that does not fit yet. More would let small
// requests starve large ones.
constexpr std::size_t kLookAhead = 3;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& context, const Clock& clock)
    : context_(context), clock_(clock) {}

std::uint64_t Dispatcher::Add(const std::string& service, core::QueuedRequest request,
                              std::int64_t tokens, TryStart try_start) {
  request.id = next_id_++;
  Line& line = lines_[service];
  line.order.Push(request);
  line.entries[request.id] = {std::move(try_start), tokens, request.due};
  Wake(service);
  return request.id;
}

void Dispatcher::Remove(const std::string& service, std::uint64_t id) {
  Line& line = lines_[service];
  line.order.Remove(id);
  line.entries.erase(id);
}

void Dispatcher::Wake(const std::string& service) {
  const auto line = lines_.find(service);
  if (line == lines_.end() || line->second.is_woken || line->second.entries.empty()) {
    return;
  }
  line->second.is_woken = true;
  asio::post(context_, [this, service] { Run(service); });
}

void Dispatcher::WakeAll() {
  for (const auto& [service, line] : lines_) {
    Wake(service);
  }
}

std::size_t Dispatcher::waiting(const std::string& service) const {
  const auto line = lines_.find(service);
  return line == lines_.end() ? 0 : line->second.entries.size();
}

core::WaitingTokens Dispatcher::Sum(const Line& line) const {
  core::WaitingTokens sum;
  const TimePoint now = clock_.now();
  for (const auto& [id, entry] : line.entries) {
    (entry.due < now ? sum.late : sum.on_time) += entry.tokens;
  }
  return sum;
}

core::WaitingTokens Dispatcher::waiting_tokens(const std::string& service) const {
  const auto line = lines_.find(service);
  return line == lines_.end() ? core::WaitingTokens() : Sum(line->second);
}

std::map<std::string, core::WaitingTokens> Dispatcher::waiting_tokens_by_service() const {
  std::map<std::string, core::WaitingTokens> tokens;
  for (const auto& [service, line] : lines_) {
    const core::WaitingTokens sum = Sum(line);
    if (sum.on_time > 0 || sum.late > 0) {
      tokens[service] = sum;
    }
  }
  return tokens;
}

void Dispatcher::Run(const std::string& service) {
  Line& line = lines_[service];
  line.is_woken = false;
  std::vector<std::uint64_t> ids;
  bool has_started = true;
  while (has_started) {
    has_started = false;
    line.order.Next(clock_.now(), kLookAhead, ids);
    for (const std::uint64_t id : ids) {
      const auto entry = line.entries.find(id);
      if (entry == line.entries.end()) {
        continue;
      }
      const TryStart try_start = entry->second.try_start;
      if (try_start()) {
        Remove(service, id);
        has_started = true;
        break;
      }
    }
  }
}

}  // namespace rattanramp::gateway
