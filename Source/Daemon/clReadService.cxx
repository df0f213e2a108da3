#include "clReadService.h"

#include "clLog.h"
#include "clUpstreamMessages.h"

namespace catkinloom {

namespace {

/// Maximum wait for a change of the group's state before the read is routed
/// again.
constexpr milliseconds kMaxDecisionWait{ 50 };

caller_failure
NoInstanceFailure(const std::string& aGroup, route_reason aReason)
{
  return { { error_kind::NoCurrentPrimary,
             "No instance of " + aGroup +
               " could serve the read before the deadline: " +
               std::string(ReasonName(aReason)) + "; send it again." },
           request_outcome::NotRun };
}

caller_failure
SessionAhead(log_position aFloor)
{
  return {
    { error_kind::SessionAhead,
      "The session token names position " + std::to_string(aFloor.mTerm) + "." +
        std::to_string(aFloor.mIndex) +
        ", which the group has not reached; send Catkinloom-Session: new to "
        "start a new session." },
    request_outcome::NotRun
  };
}

} // namespace

read_requirements
read_service::RequirementsOf(const caller_request& aRequest)
{
  read_requirements requirements;
  requirements.mFloor = aRequest.mSession.Floor(aRequest.mGroupName);
  if (aRequest.mHasSession) {
    requirements.mMaxAge = aRequest.mDeclared.mMaxAge;
  }
  return requirements;
}

caller_result
read_service::Serve(caller_request& aRequest)
{
  read_attempt attempt;
  attempt.mRequirements = RequirementsOf(aRequest);
  if (attempt.mRequirements.mMaxAge) {
    mState.mGroups.RecordBoundedStalenessRead(
      aRequest.mGroup, *attempt.mRequirements.mMaxAge, mState.Now());
  }
  attempt.mFailure =
    NoInstanceFailure(aRequest.mGroupName, route_reason::PrimaryUnknown);
  while (mState.Now() < aRequest.mDeadline) {
    switch (RunAttempt(aRequest, attempt)) {
      case attempt_outcome::Served:
        CountServed(attempt.mDecision);
        return std::move(attempt.mAnswer);
      case attempt_outcome::Fail:
        return std::move(attempt.mFailure);
      case attempt_outcome::Retry:
        break;
    }
  }
  return std::move(attempt.mFailure);
}

void
read_service::CountServed(const route_decision& aDecision)
{
  const bool byReplica = aDecision.mAction == route_action::UseReplica;
  (byReplica ? mState.mMetrics.mReadsByReplica
             : mState.mMetrics.mReadsByPrimary)
    .Increment();
}

void
read_service::Wait(const caller_request& aRequest)
{
  mState.SignalOf(aRequest.mGroup)
    .WaitUntil(std::min(aRequest.mDeadline, mState.Now() + kMaxDecisionWait));
}

bool
read_service::ConsumeRetry()
{
  if (!mState.mRetryBudget.TryRetry()) {
    return false;
  }
  mState.mMetrics.mRetries.Increment();
  return true;
}

read_service::attempt_outcome
read_service::RunAttempt(const caller_request& aRequest, read_attempt& aAttempt)
{
  const group_row& group = mState.mGroups.Group(aRequest.mGroup);
  const bool floorIsAhead =
    aAttempt.mRequirements.mFloor.mTerm > HighestTerm(group) &&
    mState.Now() >
      aRequest.mArrivedAt + mState.mSettings.mTiming.mSessionWaitTimeout;
  if (floorIsAhead) {
    aAttempt.mFailure = SessionAhead(aAttempt.mRequirements.mFloor);
    return attempt_outcome::Fail;
  }
  aAttempt.mDecision =
    mState.mRouter.DecideRead(group, aAttempt.mRequirements, mState.Now());
  const route_decision& decision = aAttempt.mDecision;
  const auto link = mDirectory.Find(aRequest.mGroup, decision.mInstance);
  const bool mustWait =
    decision.mAction == route_action::Wait ||
    aAttempt.mRequirements.mFloor.mTerm > HighestTerm(group);
  if (mustWait || link == nullptr) {
    aAttempt.mFailure =
      NoInstanceFailure(aRequest.mGroupName, decision.mReason);
    Wait(aRequest);
    return attempt_outcome::Retry;
  }
  Log(log_level::Decision,
      "route",
      "Read routed; sending it to the instance. group={} request={} "
      "instance={} term={} reason={}",
      aRequest.mGroupName,
      aRequest.mDeclared.mName,
      link->mInstance.mName,
      decision.mTerm,
      ReasonName(decision.mReason));
  http_request request = EncodeExecute(aRequest);
  upstream_answer answer = SendToUpstream(mState, *link, aRequest, request);
  aAttempt.mAnswer.mInstance = link->mInstance.mName;
  return EvaluateResponse(aRequest, aAttempt, answer);
}

read_service::attempt_outcome
read_service::EvaluateResponse(const caller_request& aRequest,
                               read_attempt& aAttempt,
                               upstream_answer& aAnswer)
{
  if (aAnswer.mOutcome == upstream_outcome::QueueFull) {
    aAttempt.mFailure = { { error_kind::Overloaded, aAnswer.mDetail },
                          request_outcome::NotRun };
    return attempt_outcome::Fail;
  }
  if (aAnswer.mOutcome != upstream_outcome::Answered) {
    aAttempt.mFailure = { { error_kind::UpstreamUnreachable, aAnswer.mDetail },
                          request_outcome::NotRun };
    aAttempt.mRequirements.mExcluded |= 1U << aAttempt.mDecision.mInstance;
    if (aAnswer.mOutcome == upstream_outcome::NotSent) {
      Wait(aRequest);
      return attempt_outcome::Retry;
    }
    return ConsumeRetry() ? attempt_outcome::Retry : attempt_outcome::Fail;
  }
  const unsigned status = aAnswer.mResponse.result_int();
  if (status == 503) {
    // The instance rejected the request before execution.
    Wait(aRequest);
    return attempt_outcome::Retry;
  }
  if (status != 200) {
    aAttempt.mFailure = { { error_kind::UpstreamRefused,
                            aAnswer.mResponse.body() },
                          request_outcome::NotRun };
    return attempt_outcome::Fail;
  }
  aAttempt.mAnswer.mBody = std::move(aAnswer.mResponse.body());
  return EvaluateFreshness(
    aRequest,
    aAttempt,
    { TermOfAnswer(aAnswer.mResponse), LogOfAnswer(aAnswer.mResponse) });
}

read_service::attempt_outcome
read_service::EvaluateFreshness(const caller_request& aRequest,
                                read_attempt& aAttempt,
                                const answer_evidence& aEvidence)
{
  while (true) {
    const read_evaluation evaluation =
      EvaluateRead(mState.mRouter,
                   mState.mGroups.Group(aRequest.mGroup),
                   aAttempt.mRequirements,
                   aAttempt.mDecision,
                   aEvidence,
                   aRequest.mArrivedAt,
                   mState.Now());
    switch (evaluation) {
      case read_evaluation::Serve:
        return attempt_outcome::Served;
      case read_evaluation::QueryTerm:
        if (mState.Now() >= aRequest.mDeadline) {
          aAttempt.mFailure = NoInstanceFailure(aRequest.mGroupName,
                                                route_reason::TermUnconfirmed);
          return attempt_outcome::Fail;
        }
        mDirectory.QueryTerm(
          aRequest.mGroup, aRequest.mArrivedAt, aRequest.mDeadline);
        break;
      case read_evaluation::TryAnotherInstance:
        aAttempt.mRequirements.mExcluded |= 1U << aAttempt.mDecision.mInstance;
        return attempt_outcome::Retry;
      case read_evaluation::Reroute:
        aAttempt.mFailure =
          NoInstanceFailure(aRequest.mGroupName, route_reason::TermUnconfirmed);
        return attempt_outcome::Retry;
      case read_evaluation::SessionAhead:
        aAttempt.mFailure = SessionAhead(aAttempt.mRequirements.mFloor);
        return attempt_outcome::Fail;
    }
  }
}

} // namespace catkinloom
