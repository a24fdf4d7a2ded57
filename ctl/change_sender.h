// Sends a settings change and repeats it with the same change_id until its outcome is known.
#pragma once

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/result.h"
#include "ctl/exit_code.h"
#include "ctl/operator_client.h"

namespace rattanramp::ctl {

struct SendOptions {
  /// Tries of one change, spread over the addresses.
  int max_attempts = 5;
  /// Wait after the first try; doubles with each further one.
  Milliseconds initial_back_off{200};
};

struct SendResult {
  ExitCode exit_code = kExitUnknown;
  /// Body of the last answer, null when there was none.
  nlohmann::json body;
  /// Set unless exit_code is kExitOk.
  Error error;
};

/// change is the body of POST /settings/changes. "repeat" is set from the second try on when an
/// earlier one may have taken effect.
SendResult SendChange(const OperatorClient& client, nlohmann::json change,
                      const SendOptions& options);

}  // namespace rattanramp::ctl
