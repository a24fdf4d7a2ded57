#include "control/settings_exchange.h"

namespace rattanramp::control {
namespace {

wire::Frame PullFrame(std::int64_t have_version) {
  wire::SettingsPull pull;
  pull.have_version = have_version;
  wire::Frame frame;
  frame.__set_settings_pull(pull);
  return frame;
}

}  // namespace

std::vector<wire::Frame> OnPeerSettingsVersion(const SettingsReplica& replica,
                                               SettingsPullState& state, std::int64_t peer_version,
                                               TimePoint now) {
  const std::int64_t have_version = replica.version();
  if (peer_version <= have_version) {
    return {};
  }
  const bool already_requested = state.requested_version >= peer_version;
  if (already_requested && now - state.requested_at < kSettingsPullTimeout) {
    return {};
  }
  state = {peer_version, now};
  return {PullFrame(have_version)};
}

std::vector<wire::Frame> OnSettingsPull(const SettingsReplica& replica,
                                        const wire::SettingsPull& pull) {
  wire::Frame frame;
  frame.__set_settings_push(replica.MakePush(pull.have_version));
  return {frame};
}

SettingsPushOutcome OnSettingsPush(SettingsReplica& replica, SettingsPullState& state,
                                   const wire::SettingsPush& push, TimePoint now) {
  SettingsPushOutcome outcome;
  const Result<bool> applied = replica.Apply(push);
  if (applied) {
    outcome.updated = applied.value();
    return outcome;
  }
  outcome.error = applied.error();
  if (applied.error().kind == ErrorKind::kNotFound) {
    state = {push.version, now};
    outcome.frames.push_back(PullFrame(0));
  }
  return outcome;
}

}  // namespace rattanramp::control
