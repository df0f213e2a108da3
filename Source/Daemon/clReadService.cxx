#include "clReadService.h"

#include "clLog.h"
#include "clUpstreamMessages.h"

namespace catkinloom {

namespace {

/// Longest wait for news before a decision is made anew.
constexpr milliseconds kMaxDecisionWait{ 50 };

caller_failure
NoInstance(const std::string& aGroup, route_reason aReason)
{
  return { { error_kind::NoCurrentPrimary,
             "No instance of " + aGroup + " could serve the read in time: " +
               std::string(ReasonName(aReason)) + "." },
           request_outcome::NotRun };
}

caller_failure
SessionAhead(log_position aFloor)
{
  return { { error_kind::SessionAhead,
             "The session token names position " +
               std::to_string(aFloor.mTerm) + "." +
               std::to_string(aFloor.mIndex) +
               ", which the group has not reached. Send 'new' to start a "
               "session." },
           request_outcome::NotRun };
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
    NoInstance(aRequest.mGroupName, route_reason::PrimaryUnknown);
  while (mState.Now() < aRequest.mDeadline) {
    switch (Try(aRequest, attempt)) {
      case attempt_end::Served:
        CountServed(attempt.mDecision);
        return std::move(attempt.mAnswer);
      case attempt_end::GiveUp:
        return std::move(attempt.mFailure);
      case attempt_end::TryAgain:
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
read_service::MayRetry()
{
  if (!mState.mRetryBudget.TryRetry()) {
    return false;
  }
  mState.mMetrics.mRetries.Increment();
  return true;
}

read_service::attempt_end
read_service::Try(const caller_request& aRequest, read_attempt& aAttempt)
{
  const group_row& group = mState.mGroups.Group(aRequest.mGroup);
  const bool floorIsAhead =
    aAttempt.mRequirements.mFloor.mTerm > HighestTerm(group) &&
    mState.Now() > aRequest.mArrivedAt + mState.mSettings.mTiming.mSessionWait;
  if (floorIsAhead) {
    aAttempt.mFailure = SessionAhead(aAttempt.mRequirements.mFloor);
    return attempt_end::GiveUp;
  }
  aAttempt.mDecision =
    mState.mRouter.DecideRead(group, aAttempt.mRequirements, mState.Now());
  const route_decision& decision = aAttempt.mDecision;
  const auto link = mDirectory.Find(aRequest.mGroup, decision.mInstance);
  const bool waits = decision.mAction == route_action::Wait ||
                     aAttempt.mRequirements.mFloor.mTerm > HighestTerm(group);
  if (waits || link == nullptr) {
    aAttempt.mFailure = NoInstance(aRequest.mGroupName, decision.mReason);
    Wait(aRequest);
    return attempt_end::TryAgain;
  }
  Log(log_level::Decision,
      "route",
      "Read placed. group={} request={} instance={} term={} reason={}",
      aRequest.mGroupName,
      aRequest.mDeclared.mName,
      link->mInstance.mName,
      decision.mTerm,
      ReasonName(decision.mReason));
  http_request request = EncodeExecute(aRequest);
  upstream_answer answer = SendToUpstream(mState, *link, aRequest, request);
  aAttempt.mAnswer.mInstance = link->mInstance.mName;
  return Judge(aRequest, aAttempt, answer);
}

read_service::attempt_end
read_service::Judge(const caller_request& aRequest,
                    read_attempt& aAttempt,
                    upstream_answer& aAnswer)
{
  if (aAnswer.mOutcome == upstream_outcome::QueueFull) {
    aAttempt.mFailure = { { error_kind::Overloaded, aAnswer.mDetail },
                          request_outcome::NotRun };
    return attempt_end::GiveUp;
  }
  if (aAnswer.mOutcome != upstream_outcome::Answered) {
    aAttempt.mFailure = { { error_kind::UpstreamUnreachable, aAnswer.mDetail },
                          request_outcome::NotRun };
    aAttempt.mRequirements.mExcluded |= 1U << aAttempt.mDecision.mInstance;
    if (aAnswer.mOutcome == upstream_outcome::NotSent) {
      Wait(aRequest);
      return attempt_end::TryAgain;
    }
    return MayRetry() ? attempt_end::TryAgain : attempt_end::GiveUp;
  }
  const unsigned status = aAnswer.mResponse.result_int();
  if (status == 503) {
    Wait(aRequest);
    return attempt_end::TryAgain;
  }
  if (status != 200) {
    aAttempt.mFailure = { { error_kind::UpstreamRefused,
                            aAnswer.mResponse.body() },
                          request_outcome::NotRun };
    return attempt_end::GiveUp;
  }
  aAttempt.mAnswer.mBody = std::move(aAnswer.mResponse.body());
  return JudgeState(
    aRequest,
    aAttempt,
    { TermOfAnswer(aAnswer.mResponse), LogOfAnswer(aAnswer.mResponse) });
}

read_service::attempt_end
read_service::JudgeState(const caller_request& aRequest,
                         read_attempt& aAttempt,
                         const answer_evidence& aEvidence)
{
  while (true) {
    const read_evaluation verdict =
      EvaluateRead(mState.mRouter,
                   mState.mGroups.Group(aRequest.mGroup),
                   aAttempt.mRequirements,
                   aAttempt.mDecision,
                   aEvidence,
                   aRequest.mArrivedAt,
                   mState.Now());
    switch (verdict) {
      case read_evaluation::Serve:
        return attempt_end::Served;
      case read_evaluation::QueryTerm:
        if (mState.Now() >= aRequest.mDeadline) {
          aAttempt.mFailure =
            NoInstance(aRequest.mGroupName, route_reason::TermUnconfirmed);
          return attempt_end::GiveUp;
        }
        mDirectory.QueryTerm(
          aRequest.mGroup, aRequest.mArrivedAt, aRequest.mDeadline);
        break;
      case read_evaluation::TryAnotherInstance:
        aAttempt.mRequirements.mExcluded |= 1U << aAttempt.mDecision.mInstance;
        return attempt_end::TryAgain;
      case read_evaluation::Reroute:
        aAttempt.mFailure =
          NoInstance(aRequest.mGroupName, route_reason::TermUnconfirmed);
        return attempt_end::TryAgain;
      case read_evaluation::SessionAhead:
        aAttempt.mFailure = SessionAhead(aAttempt.mRequirements.mFloor);
        return attempt_end::GiveUp;
    }
  }
}

} // namespace catkinloom
