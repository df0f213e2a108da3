#pragma once

#include "clCallerClassTable.h"
#include "clError.h"
#include "clGroupTable.h"
#include "clHttpMessage.h"
#include "clManifest.h"
#include "clSessionToken.h"

#include <string>

namespace catkinloom {

struct proxy_state;

/// A validated caller request.
struct caller_request
{
  group_row_number mGroup = 0;
  std::string mGroupName;
  /// Declaration of the request in the manifest.
  manifest_request mDeclared;
  session_token mSession;
  /// True if the caller sent a session token. Without a token, a read is served
  /// from current data only, because the caller's lower bound is unknown.
  bool mHasSession = false;
  std::string mIdempotencyKey;
  caller_class_number mCallerClass = 0;
  time_point mArrivedAt;
  time_point mDeadline;
  std::string mBody;
};

/// Response body for a caller and the instance that produced it.
struct caller_answer
{
  std::string mBody;
  std::string mInstance;
};

/// Error returned to a caller, with what is known about the execution of the
/// request.
struct caller_failure
{
  error mError;
  request_outcome mOutcome = request_outcome::NotRun;
};

/// Either a response or a failure.
using caller_result =
  boost::outcome_v2::basic_result<caller_answer,
                                  caller_failure,
                                  boost::outcome_v2::policy::terminate>;

/// Session token from the Catkinloom-Session header or, if that is absent, from
/// the cookie; empty if neither is present.
std::string_view
SessionTokenOf(const http_request& aRequest);

/// Adds a session token to a response, as header and as cookie.
void
SetSession(http_response& aResponse, const std::string& aText);

/// Parses and validates a request to /v1/GROUP/REQUEST. Moves the body out of
/// aRequest. Errors: BadRequest, BadSessionToken, UnknownGroup, UnknownRequest,
/// IdempotencyKeyRequired.
result<caller_request>
ParseCallerRequest(const proxy_state& aState, http_request& aRequest);

/// Builds the HTTP response for a result; the session token and the outcome are
/// sent as headers.
http_response
EncodeCallerResult(const caller_request& aRequest,
                   const caller_result& aResult);

/// Builds the HTTP response for a request that was rejected before execution.
http_response
EncodeRefusal(const error& aError);

} // namespace catkinloom
