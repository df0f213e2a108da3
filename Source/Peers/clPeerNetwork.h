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

/// What this daemon does with its peers' calls.  All of it runs on the event
/// loop's thread; fetchManifest and forward run in a fiber.
class peer_handler
{
public:
  virtual ~peer_handler() = default;
  virtual peer_heartbeat OnHeartbeat(const peer_heartbeat& aHeartbeat) = 0;
  virtual peer_manifest_change OnFetchManifest(
    const std::vector<std::string>& aDigests) = 0;
  virtual peer_answer OnForward(const peer_request& aRequest) = 0;
};

/// Cap'n Proto RPC with other daemons, on a thread of its own because the
/// library brings its own event loop.  Calls suspend the calling fiber.
class peer_network
{
public:
  peer_network(event_loop& aLoop, peer_handler& aHandler);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  /// Listens on `IP:port`.  Errors: BadSettings.
  result<void> Listen(const std::string& aAddress);

  /// Errors: UpstreamUnreachable, DeadlineExceeded.
  result<peer_heartbeat> SendHeartbeat(const std::string& aAddress,
                                       const peer_heartbeat& aHeartbeat,
                                       milliseconds aTimeout);
  result<peer_manifest_change> FetchManifest(
    const std::string& aAddress,
    const std::vector<std::string>& aDigests,
    milliseconds aTimeout);
  /// UpstreamUnreachable means that the request was not sent, and
  /// OutcomeUnknown that it may have been.
  result<peer_answer> Forward(const std::string& aAddress,
                              const peer_request& aRequest,
                              milliseconds aTimeout);

  class network_thread;

private:
  std::unique_ptr<network_thread> mThread;
};

} // namespace catkinloom
