#include "clPeerMonitor.h"

#include "clLog.h"

namespace catkinloom {

namespace {

constexpr milliseconds kManifestFetchTimeout{ 2000 };

/// Size of one heartbeat and its response on the wire; counted in
/// catkinloom_control_bytes_total.
constexpr double kHeartbeatBytes = 320;

} // namespace

peer_monitor::peer_monitor(proxy_state& aState,
                           manifest_synchronizer& aManifest)
  : mState(aState)
  , mManifest(aManifest)
  , mPeers(aState.mSettings.mName, aState.mSettings.mTiming.mPeerTimeout)
  , mRandom(std::random_device{}())
  , mNetwork(aState.mLoop, *this)
{
  mPeers.AddSeeds(aState.mSettings.mPeers);
}

result<void>
peer_monitor::Listen(const std::string& aAddress)
{
  return mNetwork.Listen(aAddress);
}

void
peer_monitor::Run()
{
  while (true) {
    SendHeartbeats();
    mState.mLoop.Sleep(mState.mSettings.mTiming.mHeartbeatInterval);
  }
}

void
peer_monitor::OnManifestChanged()
{
  mPeers.Apply(mState.mManifest.mProxies);
  SendHeartbeats();
}

void
peer_monitor::SendHeartbeats()
{
  for (const std::size_t target : mPeers.PickTargets(mRandom)) {
    mState.mLoop.Spawn(
      [this, address = mPeers.Rows()[target].mDeclared.mPeerAddress] {
        SendHeartbeat(address);
      });
  }
}

peer_heartbeat
peer_monitor::MakeHeartbeat() const
{
  peer_heartbeat heartbeat;
  heartbeat.mSender = mState.mSettings.mName;
  heartbeat.mIdentity = mState.mIdentity;
  heartbeat.mManifestVersion = mState.mManifestVersion;
  heartbeat.mDraining = mState.mDraining;
  return heartbeat;
}

void
peer_monitor::SendHeartbeat(const std::string& aAddress)
{
  mState.mMetrics.mHeartbeatsSent.Increment();
  mState.mMetrics.mControlBytes.Increment(kHeartbeatBytes);
  const auto answer = mNetwork.SendHeartbeat(
    aAddress, MakeHeartbeat(), mState.mSettings.mTiming.mPeerTimeout / 2);
  if (!answer) {
    mPeers.RecordMissedResponse(aAddress, mState.Now());
    return;
  }
  RecordHeartbeat(answer.value(), aAddress);
}

void
peer_monitor::RecordHeartbeat(const peer_heartbeat& aHeartbeat,
                              const std::string& aAddress)
{
  mPeers.RecordHeartbeat(
    aHeartbeat.mSender, aHeartbeat.mManifestVersion, aHeartbeat.mDraining);
  if (aHeartbeat.mManifestVersion <= mState.mManifestVersion ||
      aAddress.empty()) {
    return;
  }
  const auto change = mNetwork.FetchManifest(
    aAddress, mManifest.BucketDigests(), kManifestFetchTimeout);
  if (!change) {
    return;
  }
  const auto applied = mManifest.ApplyChange(change.value());
  if (!applied) {
    Log(
      log_level::Warning,
      "manifest",
      "Manifest from a peer rejected; the one in force stays. peer={} cause={}",
      aHeartbeat.mSender,
      applied.error().mDetail);
  }
}

std::string
peer_monitor::AddressOf(const std::string& aName) const
{
  for (const peer_row& row : mPeers.Rows()) {
    if (row.mDeclared.mName == aName) {
      return row.mDeclared.mPeerAddress;
    }
  }
  return {};
}

peer_heartbeat
peer_monitor::OnHeartbeat(const peer_heartbeat& aHeartbeat)
{
  // Runs in its own fiber, because it may fetch the manifest from the sender,
  // and the response must not wait for that.
  mState.mLoop.Spawn(
    [this, aHeartbeat, address = AddressOf(aHeartbeat.mSender)] {
      RecordHeartbeat(aHeartbeat, address);
    });
  return MakeHeartbeat();
}

peer_manifest_change
peer_monitor::OnFetchManifest(const std::vector<std::string>& aDigests)
{
  return mManifest.ChangeSince(aDigests);
}

peer_answer
peer_monitor::OnForward(const peer_request& aRequest)
{
  return mForward(aRequest);
}

} // namespace catkinloom
