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
  http_response Serve(http_request& aRequest);
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
