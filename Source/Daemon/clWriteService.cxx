#include "clWriteService.h"

#include "clLog.h"
#include "clUpstreamMessages.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Maximum wait for a change of the group's state before the write is routed
/// again.
constexpr milliseconds kMaxDecisionWait{ 50 };

caller_failure
NotRun(error_kind aKind, std::string aDetail)
{
  return { { aKind, std::move(aDetail) }, request_outcome::NotRun };
}

/// Percent-encodes all bytes except letters, digits, '-' and '_' for use in a
/// request target.
std::string
PercentEncode(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (std::isalnum(code) != 0 || character == '-' || character == '_') {
      escaped += character;
    } else {
      escaped += fmt::format("%{:02X}", code);
    }
  }
  return escaped;
}

} // namespace

caller_result
write_service::Serve(caller_request& aRequest)
{
  while (mState.Now() < aRequest.mDeadline) {
    attempt_result result = RunAttempt(aRequest);
    if (result) {
      return std::move(*result);
    }
  }
  return NotRun(error_kind::NoCurrentPrimary,
                "Group " + aRequest.mGroupName +
                  " had no usable primary before the deadline. The request "
                  "was not run; send it again.");
}

void
write_service::Wait(const caller_request& aRequest)
{
  mState.SignalOf(aRequest.mGroup)
    .WaitUntil(std::min(aRequest.mDeadline, mState.Now() + kMaxDecisionWait));
}

write_service::attempt_result
write_service::RunAttempt(caller_request& aRequest)
{
  const route_decision decision = mState.mRouter.DecideWrite(
    mState.mGroups.Group(aRequest.mGroup), mState.Now());
  const auto link = mDirectory.Find(aRequest.mGroup, decision.mInstance);
  if (decision.mAction == route_action::Wait || link == nullptr) {
    Wait(aRequest);
    return std::nullopt;
  }
  Log(log_level::Decision,
      "route",
      "Write routed; sending it to the primary. group={} request={} "
      "instance={} term={} reason={}",
      aRequest.mGroupName,
      aRequest.mDeclared.mName,
      link->mInstance.mName,
      decision.mTerm,
      ReasonName(decision.mReason));
  http_request request = EncodeExecute(aRequest);
  upstream_answer answer = SendToUpstream(mState, *link, aRequest, request);
  switch (answer.mOutcome) {
    case upstream_outcome::Answered:
      return HandleAnswer(aRequest, decision, *link, answer);
    case upstream_outcome::QueueFull:
      return NotRun(error_kind::Overloaded, answer.mDetail);
    case upstream_outcome::Uncertain:
      return HandleUncertain(aRequest,
                             { answer.mDetail,
                               decision.mTerm,
                               answer.mConnectionName,
                               link->mControl });
    case upstream_outcome::NoConnection:
    case upstream_outcome::NotSent:
      Wait(aRequest);
      return std::nullopt;
  }
  return std::nullopt;
}

write_service::attempt_result
write_service::HandleAnswer(caller_request& aRequest,
                            const route_decision& aDecision,
                            upstream_link& aLink,
                            upstream_answer& aAnswer)
{
  const unsigned status = aAnswer.mResponse.result_int();
  if (status == 421 || status == 503) {
    // The instance rejected the request before execution, so that it can safely
    // be sent again.
    aLink.mControl->RequestFreshReport(mState.Now());
    Wait(aRequest);
    return std::nullopt;
  }
  if (status >= 400 && status < 500) {
    return NotRun(error_kind::UpstreamRefused, aAnswer.mResponse.body());
  }
  if (status != 200) {
    return HandleUncertain(
      aRequest,
      { "The upstream returned an error that does not tell whether the "
        "request ran",
        aDecision.mTerm,
        aAnswer.mConnectionName,
        aLink.mControl });
  }
  return Acknowledge(aRequest, aDecision, aLink, aAnswer);
}

write_service::attempt_result
write_service::Acknowledge(caller_request& aRequest,
                           const route_decision& aDecision,
                           upstream_link& aLink,
                           upstream_answer& aAnswer)
{
  const term_number term = TermOfAnswer(aAnswer.mResponse);
  const log_position position = LogOfAnswer(aAnswer.mResponse);
  const std::string instance = aLink.mInstance.mName;
  const std::shared_ptr<upstream_control> control = aLink.mControl;
  const bool sameTerm = term == aDecision.mTerm;
  if (!sameTerm || !AwaitAcknowledgement(aRequest, { term, position })) {
    Log(log_level::Warning,
        "write",
        "Write not confirmed; its outcome counts as uncertain. "
        "group={} instance={} term={} index={}",
        aRequest.mGroupName,
        instance,
        term,
        position.mIndex);
    return HandleUncertain(
      aRequest,
      { "The group did not confirm the write in the primary's term",
        term,
        aAnswer.mConnectionName,
        control });
  }
  aRequest.mSession.RaiseFloor(aRequest.mGroupName, position);
  return caller_answer{ std::move(aAnswer.mResponse.body()), instance };
}

bool
write_service::AwaitAcknowledgement(const caller_request& aRequest,
                                    const answer_evidence& aEvidence)
{
  return mDirectory.AwaitWrite(
           aRequest.mGroup, aEvidence, aRequest.mDeadline) ==
         write_evaluation::Acknowledge;
}

write_service::attempt_result
write_service::HandleUncertain(caller_request& aRequest,
                               const uncertain_request& aUncertain)
{
  const bool canRetry = aRequest.mDeclared.mRepeatable &&
                        mState.Now() < aRequest.mDeadline &&
                        mState.mRetryBudget.TryRetry();
  if (canRetry) {
    mState.mMetrics.mRetries.Increment();
    Wait(aRequest);
    return std::nullopt;
  }
  return Resolve(aRequest, aUncertain);
}

caller_result
write_service::Resolve(caller_request& aRequest,
                       const uncertain_request& aUncertain)
{
  while (!aRequest.mIdempotencyKey.empty() &&
         mState.Now() < aRequest.mDeadline) {
    caller_answer answer;
    switch (LookUpOutcome(aRequest, aUncertain, answer)) {
      case lookup_outcome::Found:
        mState.mMetrics.mOutcomesResolved.Increment();
        return answer;
      case lookup_outcome::NeverRan:
        mState.mMetrics.mOutcomesResolved.Increment();
        return NotRun(error_kind::UpstreamUnreachable,
                      aUncertain.mDetail +
                        ". The group's log shows that the request was not run; "
                        "send it again.");
      case lookup_outcome::Undetermined:
        Wait(aRequest);
        break;
    }
  }
  return caller_failure{
    { error_kind::OutcomeUnknown,
      aUncertain.mDetail +
        ". The request may have run. Send it again with the same "
        "Idempotency-Key to learn its outcome." },
    request_outcome::Unknown
  };
}

write_service::lookup_outcome
write_service::LookUpOutcome(caller_request& aRequest,
                             const uncertain_request& aUncertain,
                             caller_answer& aAnswer)
{
  const route_decision decision = mState.mRouter.DecideWrite(
    mState.mGroups.Group(aRequest.mGroup), mState.Now());
  const auto link = mDirectory.Find(aRequest.mGroup, decision.mInstance);
  if (decision.mAction == route_action::Wait || link == nullptr) {
    return lookup_outcome::Undetermined;
  }
  aAnswer.mInstance = link->mInstance.mName;
  // The primary may still run the request while its connection is open and the
  // term in which it was sent is current. After a change of term, the old
  // primary cannot add to the log.
  const bool canStillRun =
    decision.mTerm <= aUncertain.mTerm &&
    !aUncertain.mControl->HasEnded(aUncertain.mConnectionName);
  http_request request = MakeRequest(
    http::verb::get, "/outcome?key=" + PercentEncode(aRequest.mIdempotencyKey));
  const upstream_answer answer =
    SendToUpstream(mState, *link, aRequest, request);
  const unsigned status = answer.mResponse.result_int();
  const bool hasValidResponse =
    answer.mOutcome == upstream_outcome::Answered &&
    (status == 200 || status == 404) &&
    TermOfAnswer(answer.mResponse) == decision.mTerm;
  const log_position position = LogOfAnswer(answer.mResponse);
  const bool isAbsent = status == 404;
  if (!hasValidResponse || (isAbsent && canStillRun)) {
    return lookup_outcome::Undetermined;
  }
  // The result is final only if a majority holds the log up to this position.
  // No later primary can then have a different log up to there.
  const answer_evidence evidence{ decision.mTerm, position };
  if (!AwaitMajorityConfirmation(aRequest, evidence)) {
    return lookup_outcome::Undetermined;
  }
  Log(log_level::Info,
      "write",
      "Uncertain write resolved; its outcome is returned to the caller. "
      "group={} key={} instance={} ran={}",
      aRequest.mGroupName,
      aRequest.mIdempotencyKey,
      aAnswer.mInstance,
      !isAbsent);
  if (isAbsent) {
    return lookup_outcome::NeverRan;
  }
  aRequest.mSession.RaiseFloor(aRequest.mGroupName, position);
  aAnswer.mBody = answer.mResponse.body();
  return lookup_outcome::Found;
}

bool
write_service::AwaitMajorityConfirmation(const caller_request& aRequest,
                                         const answer_evidence& aEvidence)
{
  return mDirectory.AwaitMajority(
           aRequest.mGroup, aEvidence, aRequest.mDeadline) ==
         write_evaluation::Acknowledge;
}

} // namespace catkinloom
