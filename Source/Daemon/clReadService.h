#pragma once

#include "clCallerRequest.h"
#include "clUpstreamDirectory.h"
#include "clUpstreamExchange.h"

namespace catkinloom {

/// Serves reads. Selects an instance, checks that its response satisfies the
/// requirements of the read, and otherwise retries on another instance while
/// the deadline and the retry budget permit.
class read_service
{
public:
  read_service(proxy_state& aState, upstream_directory& aDirectory)
    : mState(aState)
    , mDirectory(aDirectory)
  {
  }

  caller_result Serve(caller_request& aRequest);

  /// Requirements that a request has of the instance that serves it.
  static read_requirements RequirementsOf(const caller_request& aRequest);

private:
  /// Result of one attempt.
  enum class attempt_outcome
  {
    Served,
    Retry,
    Fail,
  };

  struct read_attempt
  {
    route_decision mDecision;
    read_requirements mRequirements;
    caller_answer mAnswer;
    caller_failure mFailure;
  };

  attempt_outcome RunAttempt(const caller_request& aRequest,
                             read_attempt& aAttempt);
  attempt_outcome EvaluateResponse(const caller_request& aRequest,
                                   read_attempt& aAttempt,
                                   upstream_answer& aAnswer);
  attempt_outcome EvaluateFreshness(const caller_request& aRequest,
                                    read_attempt& aAttempt,
                                    const answer_evidence& aEvidence);
  void CountServed(const route_decision& aDecision);
  bool ConsumeRetry();
  void Wait(const caller_request& aRequest);

  proxy_state& mState;
  upstream_directory& mDirectory;
};

} // namespace catkinloom
