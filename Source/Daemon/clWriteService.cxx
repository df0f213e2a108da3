#include "clWriteService.h"

#include "clLog.h"
#include "clUpstreamMessages.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Longest wait for news before a decision is made anew.
constexpr milliseconds kDecisionWait{ 50 };

caller_failure
NotRun(error_kind aKind, std::string aDetail)
{
  return { { aKind, std::move(aDetail) }, request_outcome::NotRun };
}

/// Escapes everything but letters and digits for a request target.
std::string
EscapeQuery(const std::string& aText)
{
  std::string escaped;
  for (const char letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (std::isalnum(code) != 0 || letter == '-' || letter == '_') {
      escaped += letter;
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
    attempt_result result = Try(aRequest);
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
    .WaitUntil(std::min(aRequest.mDeadline, mState.Now() + kDecisionWait));
}

write_service::attempt_result
write_service::Try(caller_request& aRequest)
{
  const route_decision decision = mState.mRouter.DecideWrite(
    mState.mGroups.Group(aRequest.mGroup), mState.Now());
  upstream_link* link = mDirectory.Find(aRequest.mGroup, decision.mInstance);
  if (decision.mAction == route_action::Wait || link == nullptr) {
    Wait(aRequest);
    return std::nullopt;
  }
  const std::string instance = link->mInstance.mName;
  Log(log_level::Decision,
      "route",
      "Write placed. group={} request={} instance={} term={} reason={}",
      aRequest.mGroupName,
      aRequest.mDeclared.mName,
      instance,
      decision.mTerm,
      ReasonName(decision.mReason));
  http_request request = EncodeExecute(aRequest);
  const time_point deadline =
    std::min(aRequest.mDeadline,
             mState.Now() + mState.mSettings.mTiming.mAttemptTimeout);
  upstream_answer answer = SendToUpstream(
    mState, *link, aRequest.mGroup, aRequest.mCaller, request, deadline);
  switch (answer.mEnd) {
    case exchange_end::Answered:
      return OnAnswer(aRequest, decision, instance, answer);
    case exchange_end::Refused:
      return NotRun(error_kind::Overloaded, answer.mDetail);
    case exchange_end::Uncertain:
      return OnUncertain(aRequest, answer.mDetail);
    case exchange_end::NoConnection:
    case exchange_end::NotSent:
      Wait(aRequest);
      return std::nullopt;
  }
  return std::nullopt;
}

write_service::attempt_result
write_service::OnAnswer(caller_request& aRequest,
                        const route_decision& aDecision,
                        const std::string& aInstance,
                        upstream_answer& aAnswer)
{
  const unsigned status = aAnswer.mResponse.result_int();
  if (status == 421 || status == 503) {
    // The instance refused before running anything.
    upstream_link* link = mDirectory.Find(aRequest.mGroup, aDecision.mInstance);
    if (link != nullptr) {
      link->mControl->WantFresh(mState.Now());
    }
    Wait(aRequest);
    return std::nullopt;
  }
  if (status >= 400 && status < 500) {
    return NotRun(error_kind::UpstreamRefused, aAnswer.mResponse.body());
  }
  if (status != 200) {
    return OnUncertain(aRequest, "The upstream failed on the request");
  }
  return Acknowledge(aRequest, aDecision, aInstance, aAnswer);
}

write_service::attempt_result
write_service::Acknowledge(caller_request& aRequest,
                           const route_decision& aDecision,
                           const std::string& aInstance,
                           upstream_answer& aAnswer)
{
  const term_number term = TermOfAnswer(aAnswer.mResponse);
  const log_position position = LogOfAnswer(aAnswer.mResponse);
  const bool sameTerm = term == aDecision.mTerm;
  if (!sameTerm || !IsAcknowledged(aRequest, { term, position })) {
    Log(log_level::Warning,
        "write",
        "Write not confirmed. group={} instance={} term={} index={}",
        aRequest.mGroupName,
        aInstance,
        term,
        position.mIndex);
    return OnUncertain(aRequest, "No majority of the group confirmed it");
  }
  aRequest.mSession.Raise(aRequest.mGroupName, position);
  return caller_answer{ std::move(aAnswer.mResponse.body()), aInstance };
}

bool
write_service::IsAcknowledged(const caller_request& aRequest,
                              const answer_evidence& aEvidence)
{
  return mDirectory.AwaitWrite(
           aRequest.mGroup, aEvidence, aRequest.mDeadline) ==
         write_verdict::Acknowledge;
}

write_service::attempt_result
write_service::OnUncertain(caller_request& aRequest, const std::string& aDetail)
{
  const bool mayRepeat = aRequest.mDeclared.mRepeatable &&
                         mState.Now() < aRequest.mDeadline &&
                         mState.mRetryBudget.TryRetry();
  if (mayRepeat) {
    mState.mMetrics.mRetries.Increment();
    Wait(aRequest);
    return std::nullopt;
  }
  return Resolve(aRequest, aDetail);
}

caller_result
write_service::Resolve(caller_request& aRequest, const std::string& aDetail)
{
  while (!aRequest.mIdempotencyKey.empty() &&
         mState.Now() < aRequest.mDeadline) {
    if (auto answer = LookUp(aRequest)) {
      mState.mMetrics.mOutcomesResolved.Increment();
      return std::move(*answer);
    }
    Wait(aRequest);
  }
  return caller_failure{
    { error_kind::OutcomeUnknown,
      aDetail + ". The request may have run. Send it again with the same "
                "Idempotency-Key to learn its outcome." },
    request_outcome::Unknown
  };
}

std::optional<caller_answer>
write_service::LookUp(caller_request& aRequest)
{
  const route_decision decision = mState.mRouter.DecideWrite(
    mState.mGroups.Group(aRequest.mGroup), mState.Now());
  upstream_link* link = mDirectory.Find(aRequest.mGroup, decision.mInstance);
  if (decision.mAction == route_action::Wait || link == nullptr) {
    return std::nullopt;
  }
  const std::string instance = link->mInstance.mName;
  http_request request = MakeRequest(
    http::verb::get, "/outcome?key=" + EscapeQuery(aRequest.mIdempotencyKey));
  const time_point deadline =
    std::min(aRequest.mDeadline,
             mState.Now() + mState.mSettings.mTiming.mAttemptTimeout);
  upstream_answer answer = SendToUpstream(
    mState, *link, aRequest.mGroup, aRequest.mCaller, request, deadline);
  const bool found = answer.mEnd == exchange_end::Answered &&
                     answer.mResponse.result_int() == 200;
  const log_position position = LogOfAnswer(answer.mResponse);
  if (!found || TermOfAnswer(answer.mResponse) != decision.mTerm ||
      !IsAcknowledged(aRequest, { decision.mTerm, position })) {
    return std::nullopt;
  }
  Log(log_level::Info,
      "write",
      "Uncertain write had run. group={} key={} instance={}",
      aRequest.mGroupName,
      aRequest.mIdempotencyKey,
      instance);
  aRequest.mSession.Raise(aRequest.mGroupName, position);
  return caller_answer{ std::move(answer.mResponse.body()), instance };
}

} // namespace catkinloom
