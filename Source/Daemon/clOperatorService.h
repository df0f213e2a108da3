#pragma once

#include "clHttpServer.h"
#include "clManifestSynchronizer.h"
#include "clPeerMonitor.h"
#include "clProxyState.h"
#include "clUpstreamDirectory.h"

#include <functional>

namespace catkinloom {

/// HTTP service for operators: health, metrics, status, routing explanations,
/// manifest submission and drain.
class operator_service
{
public:
  using drain_handler = std::function<void()>;

  operator_service(proxy_state& aState,
                   manifest_synchronizer& aManifest,
                   peer_monitor& aPeers,
                   upstream_directory& aDirectory,
                   drain_handler aDrain);

  http_response Handle(http_request& aRequest);

private:
  http_response Health(http_request& aRequest);
  http_response Metrics(http_request& aRequest);
  http_response Status(http_request& aRequest);
  http_response Groups(http_request& aRequest);
  http_response Explain(http_request& aRequest);
  http_response SubmitManifest(http_request& aRequest);
  http_response Drain(http_request& aRequest);

  /// Method and path of an operator request, and its handler.
  struct operator_route
  {
    http::verb mVerb;
    std::string_view mPath;
    http_response (operator_service::*mHandler)(http_request&);
  };
  static const std::vector<operator_route>& Routes();

  proxy_state& mState;
  manifest_synchronizer& mManifest;
  peer_monitor& mPeers;
  upstream_directory& mDirectory;
  drain_handler mDrain;
};

} // namespace catkinloom
