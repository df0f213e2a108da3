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

  /// State that is kept between the attempts of one read.
  struct read_attempt
  {
    route_decision mDecision;
    read_requirements mRequirements;
    caller_answer mAnswer;
    /// Returned to the caller if no further attempt is made.
    caller_failure mFailure;
  };

  attempt_outcome RunAttempt(const caller_request& aRequest,
                             read_attempt& aAttempt);
  /// Evaluates the outcome of sending the read and the status of the response.
  attempt_outcome EvaluateResponse(const caller_request& aRequest,
                                   read_attempt& aAttempt,
                                   upstream_answer& aAnswer);
  /// Evaluates a successful response against the requirements of the read, and
  /// queries the group's term for that if necessary.
  attempt_outcome EvaluateFreshness(const caller_request& aRequest,
                                    read_attempt& aAttempt,
                                    const answer_evidence& aEvidence);
  void CountServed(const route_decision& aDecision);
  /// Takes one retry from the retry budget. Returns false if it is used up.
  bool ConsumeRetry();
  /// Waits for a change of the group's state, at most kMaxDecisionWait and
  /// until the deadline.
  void Wait(const caller_request& aRequest);

  proxy_state& mState;
  upstream_directory& mDirectory;
};

} // namespace catkinloom
