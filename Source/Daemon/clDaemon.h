#pragma once

#include "clHttpServer.h"
#include "clManifestSynchronizer.h"
#include "clOperatorService.h"
#include "clPeerMonitor.h"
#include "clPlatformClient.h"
#include "clProxyState.h"
#include "clRequestService.h"
#include "clUpstreamDirectory.h"

namespace catkinloom {

/// One proxy process: wires the decisions to callers, upstreams, platform,
/// peers and operators, and runs them until it has drained.
class daemon_process
{
public:
  daemon_process(event_loop& aLoop,
                 daemon_settings aSettings,
                 std::string aIdentity);

  /// Listens and starts every fiber.  Errors: BadSettings.
  result<void> Start();

  /// Tells the balancer and the peers, finishes what is in flight, and then
  /// stops the event loop.  A second call changes nothing.
  void Drain();

private:
  void OnManifestChanged();
  void RunTicks();
  void TickGroups();
  void PollVmList();
  void ApplyVmList(const std::vector<platform_vm>& aVms);
  void FinishDrain();

  proxy_state mState;
  platform_client mPlatform;
  upstream_directory mDirectory;
  manifest_synchronizer mManifest;
  peer_monitor mPeers;
  request_service mRequests;
  operator_service mOperators;
  http_server mCallerServer;
  http_server mOperatorServer;
};

} // namespace catkinloom
