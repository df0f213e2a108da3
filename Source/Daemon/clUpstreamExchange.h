#pragma once

#include "clCallerRequest.h"
#include "clUpstreamDirectory.h"

namespace catkinloom {

/// Outcome of sending one request to one instance.
enum class upstream_outcome
{
  /// The instance responded.
  Answered,
  /// Nothing was sent; the request can be retried safely.
  NotSent,
  /// No connection became available before the deadline; nothing was sent.
  NoConnection,
  /// The queue of the caller's class is full; nothing was sent.
  QueueFull,
  /// The request may have been sent, and no response was received.
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
/// connections, within the attempt time-out and the request's deadline. Records
/// the response time, term and log position of the response. The calling fiber
/// must hold a reference to aLink until this returns.
upstream_answer
SendToUpstream(proxy_state& aState,
               const upstream_link& aLink,
               const caller_request& aRequest,
               http_request& aMessage);

/// Builds the message that executes the request on an instance.
http_request
EncodeExecute(const caller_request& aRequest);

} // namespace catkinloom
