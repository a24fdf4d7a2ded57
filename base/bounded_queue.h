// Bounded queue between two threads. A push to a full queue fails instead of blocking the producer.
#pragma once

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include "base/clock.h"

namespace rattanramp {

template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : items_(capacity) {}

  /// Returns false when the queue is full or closed.
  bool TryPush(T item) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (closed_ || items_.full()) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  /// Waits for an item. Returns nullopt when the timeout expires, or when the queue is closed and
  /// empty.
  std::optional<T> Pop(Duration timeout) {
    std::unique_lock<std::mutex> lock(mutex_);
    ready_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  void Close() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  bool closed() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return closed_;
  }

  std::size_t size() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return items_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  boost::circular_buffer<T> items_;
  bool closed_ = false;
};

}  // namespace rattanramp
