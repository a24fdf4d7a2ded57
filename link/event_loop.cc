#include "link/event_loop.h"

#include <utility>

namespace rattanramp::link {

EventLoop::EventLoop() : context_(1), work_guard_(asio::make_work_guard(context_)) {}

EventLoop::~EventLoop() { Stop(); }

void EventLoop::Start() {
  thread_ = std::thread([this] { context_.run(); });
}

void EventLoop::Stop() {
  work_guard_.reset();
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void EventLoop::Post(std::function<void()> task) { asio::post(context_, std::move(task)); }

void EventLoop::RunEvery(Duration period, std::function<void()> task) {
  std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(context_);
  timer->expires_after(period);
  Schedule(timer, period, std::make_shared<std::function<void()>>(std::move(task)));
}

void EventLoop::Schedule(const std::shared_ptr<asio::steady_timer>& timer, Duration period,
                         const std::shared_ptr<std::function<void()>>& task) {
  timer->async_wait([this, timer, period, task](const asio::error_code& error) {
    if (error) {
      return;
    }
    (*task)();
    timer->expires_after(period);
    Schedule(timer, period, task);
  });
}

}  // namespace rattanramp::link
