// Blocking HTTP client based on cpp-httplib. The library accepts heads that are no HTTP, so they
// pass through ResponseParser first.
#pragma once

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>

namespace rattanramp::http {

/// Fails with httplib::Error::Read when a response head is malformed. Informational responses are
/// skipped.
class StrictClient final : public httplib::ClientImpl {
 public:
  /// url has the form http://HOST:PORT; without a port, 80 is used.
  static std::unique_ptr<StrictClient> Create(const std::string& url);

 private:
  using httplib::ClientImpl::ClientImpl;

  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream& stream)> exchange) override;
};

}  // namespace rattanramp::http
