#pragma once

#include "clPeerMonitor.h"
#include "clReadService.h"
#include "clWriteService.h"

namespace catkinloom {

/// Handles requests of callers. Serves those for groups that are placed on this
/// proxy and forwards the others to a proxy that serves their group.
class request_service
{
public:
  request_service(proxy_state& aState,
                  upstream_directory& aDirectory,
                  peer_monitor& aPeers);

  http_response Handle(http_request& aRequest);

  /// Serves a request that another proxy forwarded.
  peer_answer HandleForwarded(const peer_request& aRequest);

private:
  /// Serves a request on this proxy.
  http_response Serve(http_request& aRequest);
  /// Sends a request to the proxies that serve the group, one after another
  /// until one responds. After a failed call that may have reached a proxy,
  /// only a repeatable request is sent to the next one.
  http_response Forward(http_request& aRequest, const std::string& aGroup);
  void CountOutcome(const http_response& aResponse, time_point aStart);

  proxy_state& mState;
  peer_monitor& mPeers;
  read_service mReads;
  write_service mWrites;
};

/// Name of the group in the target /v1/GROUP/REQUEST; empty if the target has
/// another prefix.
std::string_view
GroupOfTarget(std::string_view aTarget);

} // namespace catkinloom
