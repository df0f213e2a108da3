#pragma once

#include "clCallerTable.h"
#include "clError.h"
#include "clGroupTable.h"
#include "clHttpMessage.h"
#include "clManifest.h"
#include "clSessionToken.h"

#include <string>

namespace catkinloom {

struct proxy_state;

/// A caller's request after all of its parts were checked.
struct caller_request
{
  group_row_number mGroup = 0;
  std::string mGroupName;
  manifest_request mDeclared;
  session_token mSession;
  /// The caller sent a token; without one only current data is safe.
  bool mHasSession = false;
  std::string mIdempotencyKey;
  caller_number mCaller = 0;
  time_point mArrivedAt;
  time_point mDeadline;
  std::string mBody;
};

/// What is answered to a caller's request.
struct caller_answer
{
  std::string mBody;
  std::string mInstance;
};

/// A request that did not end in a plain answer.
struct caller_failure
{
  error mError;
  request_outcome mOutcome = request_outcome::NotRun;
};

/// A caller's answer, or why there is none.
using caller_result =
  boost::outcome_v2::basic_result<caller_answer,
                                  caller_failure,
                                  boost::outcome_v2::policy::terminate>;

/// The session token from its header, else from the cookie.
std::string_view
SessionTokenOf(const http_request& aRequest);

/// Hands a session token to the caller, as header and as cookie.
void
SetSession(http_response& aResponse, const std::string& aText);

/// Checks a request to /v1/GROUP/REQUEST.  Errors: BadRequest,
/// BadSessionToken, UnknownGroup, UnknownRequest, IdempotencyKeyRequired.
result<caller_request>
ReadCallerRequest(const proxy_state& aState, http_request& aRequest);

/// Turns a result into HTTP, with session and outcome in the headers.
http_response
EncodeCallerResult(const caller_request& aRequest,
                   const caller_result& aResult);

/// Turns an error before any work into HTTP; the request was not run.
http_response
EncodeRefusal(const error& aError);

} // namespace catkinloom
