#pragma once

#include "clCallerRequest.h"
#include "clUpstreamDirectory.h"

namespace catkinloom {

/// How sending one request to one instance ended.
enum class upstream_outcome
{
  /// The instance answered.
  Answered,
  /// Nothing was sent; another try is free.
  NotSent,
  /// No connection could be had before the deadline.
  NoConnection,
  /// The caller's class has too many waiting.
  QueueFull,
  /// It was sent and no answer came.
  Uncertain,
};

/// Result of sending one request to one instance.
struct upstream_answer
{
  upstream_outcome mOutcome = upstream_outcome::NotSent;
  http_response mResponse;
  std::string mDetail;
  time_point mSentAt;
  /// Name of the connection that carried the request.
  std::string mConnectionName;
};

/// Sends a message for a caller's request to an instance over one of its pooled
/// connections, within one attempt's time, and records what the answer tells
/// about the instance.  The caller holds aLink.
upstream_answer
SendToUpstream(proxy_state& aState,
               const upstream_link& aLink,
               const caller_request& aRequest,
               http_request& aMessage);

/// The request as the instance gets it.
http_request
EncodeExecute(const caller_request& aRequest);

} // namespace catkinloom
