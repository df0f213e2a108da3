#include "clDaemon.h"

#include "clLog.h"
#include "clPlacement.h"

namespace catkinloom {

namespace {

/// Maximum body size on the operator port; holds a YAML manifest of 6,300
/// groups.
constexpr std::size_t kMaxManifestBytes = 8388608;

constexpr milliseconds kDrainPollInterval{ 20 };

http_server_limits
CallerLimits(const limit_settings& aLimits)
{
  return { aLimits.mHeaderBytes,
           aLimits.mBodyBytes,
           aLimits.mReadTimeout,
           aLimits.mReadTimeout };
}

http_server_limits
OperatorLimits(const limit_settings& aLimits)
{
  return { aLimits.mHeaderBytes,
           kMaxManifestBytes,
           aLimits.mReadTimeout,
           aLimits.mReadTimeout };
}

} // namespace

daemon_process::daemon_process(event_loop& aLoop,
                               daemon_settings aSettings,
                               std::string aIdentity)
  : mState(aLoop, std::move(aSettings), std::move(aIdentity))
  , mPlatform(mState)
  , mDirectory(mState)
  , mManifest(mState, mPlatform, [this] { OnManifestChanged(); })
  , mPeers(mState, mManifest)
  , mRequests(mState, mDirectory, mPeers)
  , mOperators(mState, mManifest, mPeers, mDirectory, [this] { Drain(); })
  , mCallerServer(aLoop, CallerLimits(mState.mSettings.mLimits))
  , mOperatorServer(aLoop, OperatorLimits(mState.mSettings.mLimits))
{
}

result<void>
daemon_process::Start()
{
  const listen_settings& listen = mState.mSettings.mListen;
  mPeers.SetForwardHandler([this](const peer_request& aRequest) {
    return mRequests.HandleForwarded(aRequest);
  });
  BOOST_OUTCOME_TRY(mPeers.Listen(listen.mPeers));
  BOOST_OUTCOME_TRY(mOperatorServer.Listen(
    listen.mOperators, [this](http_request& aRequest, const http_peer&) {
      return mOperators.Handle(aRequest);
    }));
  BOOST_OUTCOME_TRY(mCallerServer.Listen(
    listen.mCallers, [this](http_request& aRequest, const http_peer&) {
      return mRequests.Handle(aRequest);
    }));
  mState.mLoop.Spawn([this] { mManifest.Run(); });
  mState.mLoop.Spawn([this] { mPeers.Run(); });
  mState.mLoop.Spawn([this] { RunTicks(); });
  mState.mLoop.Spawn([this] { PollVmList(); });
  Log(log_level::Info,
      "daemon",
      "Daemon started; accepting requests. name={} zone={} callers={} "
      "operators={} peers={}",
      mState.mSettings.mName,
      mState.mSettings.mZone,
      listen.mCallers,
      listen.mOperators,
      listen.mPeers);
  return boost::outcome_v2::success();
}

void
daemon_process::OnManifestChanged()
{
  const manifest& declared = mState.mManifest;
  std::vector<std::string_view> names;
  for (const manifest_proxy& proxy : declared.mProxies) {
    names.push_back(proxy.mName);
  }
  const auto proxiesPerGroup =
    ProxiesPerGroup(static_cast<std::uint32_t>(names.size()));
  std::vector<manifest_group> placed;
  for (const manifest_group& group : declared.mGroups) {
    if (PlacementRank(group.mName, mState.mSettings.mName, names) <
        proxiesPerGroup) {
      placed.push_back(group);
    }
  }
  Log(log_level::Decision,
      "placement",
      "Groups placed by the new manifest; requests for the others are "
      "forwarded. placed={} of={}",
      placed.size(),
      declared.mGroups.size());
  mState.mGroups.Apply(placed);
  milliseconds maxAge{ 0 };
  for (const manifest_request& request : declared.mRequests) {
    maxAge = std::max(maxAge, request.mMaxAge.value_or(milliseconds(0)));
  }
  mState.mGroups.SetMaxStalenessBound(maxAge);
  mState.mRequests.Apply(declared.mRequests);
  mState.mCallers.Apply(declared.mCallers);
  mState.mPromotion.Reset();
  mDirectory.Apply();
  mPeers.OnManifestChanged();
}

void
daemon_process::RunTicks()
{
  while (true) {
    TickGroups();
    mState.mMetrics.mCallerConnections.Set(
      static_cast<double>(mCallerServer.ConnectionCount()));
    mState.mLoop.Sleep(mState.mSettings.mTiming.mTickInterval);
  }
}

void
daemon_process::TickGroups()
{
  const time_point now = mState.Now();
  const auto live = mPeers.Peers().LiveNames(now);
  std::vector<promotion_command> commands;
  for (group_row_number group = 0; group < mState.mGroups.Size(); ++group) {
    if (mState.mGroups.Group(group).mRetired) {
      continue;
    }
    const std::size_t rank = PlacementRank(
      mState.mGroups.Group(group).mName, mState.mSettings.mName, live);
    mState.mPromotion.Tick(mState.mGroups, group, rank, now, commands);
  }
  for (const promotion_command& command : commands) {
    mDirectory.SendCommand(command);
  }
}

void
daemon_process::PollVmList()
{
  while (true) {
    // If the platform does not respond, the last VM list stays in use.
    if (const auto vms = mPlatform.ListVms()) {
      ApplyVmList(vms.value());
    }
    mState.mLoop.Sleep(mState.mSettings.mTiming.mVmListInterval);
  }
}

void
daemon_process::ApplyVmList(const std::vector<platform_vm>& aVms)
{
  for (group_row_number group = 0; group < mState.mGroups.Size(); ++group) {
    for (instance_row& row : mState.mGroups.Group(group).mInstances) {
      bool leaving = false;
      for (const platform_vm& vm : aVms) {
        leaving |= vm.mLeaving && vm.mName == row.mDeclared.mName;
      }
      if (leaving && !row.mLeaving) {
        Log(log_level::Info,
            "placement",
            "Instance is leaving; no new requests are sent to it. instance={}",
            row.mDeclared.mName);
      }
      row.mLeaving = leaving;
    }
  }
}

void
daemon_process::Drain()
{
  if (mState.mDraining) {
    return;
  }
  mState.mDraining = true;
  Log(log_level::Info,
      "daemon",
      "Drain started; health checks fail and requests are accepted until the "
      "drain notice ends.");
  mState.mLoop.Spawn([this] { FinishDrain(); });
}

void
daemon_process::FinishDrain()
{
  const limit_settings& limits = mState.mSettings.mLimits;
  mState.mLoop.Sleep(limits.mDrainNotice);
  mCallerServer.Drain();
  const time_point end = mState.Now() + limits.mDrainTimeout;
  while (mCallerServer.ActiveRequests() > 0 && mState.Now() < end) {
    mState.mLoop.Sleep(kDrainPollInterval);
  }
  Log(log_level::Info,
      "daemon",
      "Drain finished; the process stops. requests_cut={}",
      mCallerServer.ActiveRequests());
  mDirectory.Stop();
  mState.mLoop.Stop();
}

} // namespace catkinloom
