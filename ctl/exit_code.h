// Exit codes of rattanramp-ctl.
#pragma once

namespace rattanramp::ctl {

enum ExitCode : int {
  kExitOk = 0,
  /// The process or a local check refused the command; nothing was changed.
  kExitRefused = 1,
  /// Wrong arguments or an unreadable file.
  kExitUsage = 2,
  /// Another change was accepted first; nothing was changed by this one.
  kExitConflict = 3,
  /// No process could be reached; nothing was changed.
  kExitUnreachable = 4,
  /// The change may or may not have taken effect.
  kExitUnknown = 5,
};

}  // namespace rattanramp::ctl
