// Implements PlatformStore over the platform's HTTP interface.
#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "store/platform_store.h"

namespace rattanramp::store {

class HttpPlatform : public PlatformStore {
 public:
  /// `url` has the form http://HOST:PORT. Errors: kInvalidArgument.
  static Result<std::unique_ptr<HttpPlatform>> Create(const std::string& url, Milliseconds timeout);

  Result<std::optional<Row>> Read(const std::string& key) override;
  Result<std::vector<Row>> Scan(const std::string& prefix) override;
  Result<CommitResult> Commit(const Transaction& transaction) override;
  Result<std::optional<std::string>> ReadObject(const std::string& name) override;
  Result<void> WriteObject(const std::string& name, const std::string& content) override;
  Result<VmList> ListVms() override;

 private:
  HttpPlatform(std::string url, Milliseconds timeout);

  std::string url_;
  Milliseconds timeout_;
};

}  // namespace rattanramp::store
