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

/// One proxy process. Connects the decision logic with callers, upstreams, the
/// platform, peers and operators, and runs until it has been drained.
class daemon_process
{
public:
  daemon_process(event_loop& aLoop,
                 daemon_settings aSettings,
                 std::string aIdentity);

  /// Opens the listening sockets and starts the background fibers. Errors:
  /// BadSettings.
  result<void> Start();

  /// Reports the process as draining to the load balancer and the peers,
  /// accepts requests until the drain notice ends, waits for those in flight
  /// until the drain timeout, and then stops the event loop. Returns at once;
  /// further calls have no effect.
  void Drain();

private:
  void OnManifestChanged();
  /// Runs until the daemon stops, in a fiber.
  void RunTicks();
  /// Lets the promotion system evaluate each group and sends its commands.
  void TickGroups();
  /// Runs until the daemon stops, in a fiber.
  void PollVmList();
  /// Marks the instances whose VMs the platform reports as leaving.
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
