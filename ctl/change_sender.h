// Sends a settings change and repeats it with the same change_id until its outcome is known or the
// attempts are used up.
#pragma once

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/result.h"
#include "ctl/exit_code.h"
#include "ctl/operator_client.h"

namespace rattanramp::ctl {

struct SendOptions {
  /// Maximum number of attempts to send a change; each uses the next address.
  int max_attempts = 5;
  /// Wait after the first attempt; doubles after each further one.
  Milliseconds initial_back_off{200};
};

struct SendResult {
  ExitCode exit_code = kExitUnknown;
  /// Body of the last response; null when the last attempt received none.
  nlohmann::json body;
  /// Set unless exit_code is kExitOk.
  Error error;
};

/// Sends a change; change is the body of POST /settings/changes. From the second attempt on,
/// "repeat" is set when an earlier attempt may have taken effect.
SendResult SendChange(const OperatorClient& client, nlohmann::json change,
                      const SendOptions& options);

}  // namespace rattanramp::ctl
