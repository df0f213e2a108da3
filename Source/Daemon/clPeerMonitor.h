#pragma once

#include "clManifestSynchronizer.h"
#include "clPeerNetwork.h"
#include "clPeerTable.h"
#include "clProxyState.h"

#include <functional>

namespace catkinloom {

/// Exchanges heartbeats with the other proxies and fetches the manifest from a
/// peer that reports a newer version.
class peer_monitor : public peer_handler
{
public:
  /// Serves a request that another proxy forwarded.
  using forward_handler = std::function<peer_answer(const peer_request&)>;

  peer_monitor(proxy_state& aState, manifest_synchronizer& aManifest);

  void SetForwardHandler(forward_handler aForward)
  {
    mForward = std::move(aForward);
  }

  /// Listens for messages of the peers. Errors: BadSettings.
  result<void> Listen(const std::string& aAddress);

  /// Sends heartbeats until the daemon stops; runs in a fiber.
  void Run();

  /// Applies the proxies of the new manifest and sends heartbeats at once, so
  /// that the peers learn of the new version.
  void OnManifestChanged();

  peer_table& Peers() { return mPeers; }
  peer_network& Network() { return mNetwork; }

  peer_heartbeat OnHeartbeat(const peer_heartbeat& aHeartbeat) override;
  peer_manifest_change OnFetchManifest(
    const std::vector<std::string>& aDigests) override;
  peer_answer OnForward(const peer_request& aRequest) override;

private:
  peer_heartbeat MakeHeartbeat() const;
  void SendHeartbeats();
  void SendHeartbeat(const std::string& aAddress);
  /// Records a peer's heartbeat and, if the peer reports a newer manifest,
  /// fetches it from aAddress. An empty aAddress means that the sender's
  /// address is unknown; nothing is fetched then.
  void RecordHeartbeat(const peer_heartbeat& aHeartbeat,
                       const std::string& aAddress);
  /// Address of a peer by its name; empty if it is not in the peer table.
  std::string AddressOf(const std::string& aName) const;

  proxy_state& mState;
  manifest_synchronizer& mManifest;
  forward_handler mForward;
  peer_table mPeers;
  std::minstd_rand mRandom;
  peer_network mNetwork;
};

} // namespace catkinloom
