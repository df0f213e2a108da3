#pragma once

#include "clClock.h"
#include "clError.h"
#include "clPeerMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinloom {

class event_loop;

/// Handles RPC calls from peers.  Each call runs in its own fiber on the event
/// loop's thread.
class peer_handler
{
public:
  virtual ~peer_handler() = default;
  virtual peer_heartbeat OnHeartbeat(const peer_heartbeat& aHeartbeat) = 0;
  virtual peer_manifest_change OnFetchManifest(
    const std::vector<std::string>& aDigests) = 0;
  virtual peer_answer OnForward(const peer_request& aRequest) = 0;
};

/// Cap'n Proto RPC client and server for other daemons.  Runs on a separate
/// thread because the library has its own event loop.  Calls suspend the
/// calling fiber.
class peer_network
{
public:
  peer_network(event_loop& aLoop, peer_handler& aHandler);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  /// Listens on `IP:port`.  Errors: BadSettings.
  result<void> Listen(const std::string& aAddress);

  /// Exchanges heartbeats with a peer.  Errors of this call and the next:
  /// UpstreamUnreachable when no connection was made, OutcomeUnknown when the
  /// call failed or timed out after that.
  result<peer_heartbeat> SendHeartbeat(const std::string& aAddress,
                                       const peer_heartbeat& aHeartbeat,
                                       milliseconds aTimeout);
  /// Fetches the buckets of a peer's manifest whose digests are not listed.
  result<peer_manifest_change> FetchManifest(
    const std::string& aAddress,
    const std::vector<std::string>& aDigests,
    milliseconds aTimeout);
  /// Runs a caller's request on a peer.  Errors: UpstreamUnreachable when the
  /// request was not sent, OutcomeUnknown when it may have been sent.
  result<peer_answer> Forward(const std::string& aAddress,
                              const peer_request& aRequest,
                              milliseconds aTimeout);

  class network_thread;

private:
  std::unique_ptr<network_thread> mThread;
};

} // namespace catkinloom
