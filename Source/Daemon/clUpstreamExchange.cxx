#include "clUpstreamExchange.h"

#include "clInstanceExchange.h"
#include "clLog.h"
#include "clUpstreamMessages.h"

namespace catkinloom {

namespace {

/// Returns the row of the link's instance, or null if a manifest removed it.
instance_row*
FindRow(proxy_state& aState,
        const upstream_link& aLink,
        group_row_number aGroup)
{
  group_row& group = aState.mGroups.Group(aGroup);
  const auto number = FindInstance(group, aLink.mInstance.mName);
  return number ? &group.mInstances[*number] : nullptr;
}

void
AdjustInFlight(proxy_state& aState,
               const upstream_link& aLink,
               group_row_number aGroup,
               int aChange)
{
  if (instance_row* row = FindRow(aState, aLink, aGroup)) {
    row->mInFlight = static_cast<std::uint32_t>(
      std::max(0, static_cast<int>(row->mInFlight) + aChange));
  }
}

void
RecordAnswer(proxy_state& aState,
             const upstream_link& aLink,
             group_row_number aGroup,
             const http_response& aResponse,
             time_point aSentAt)
{
  instance_row* row = FindRow(aState, aLink, aGroup);
  if (row == nullptr) {
    return;
  }
  SmoothResponseTime(*row, aState.Now() - aSentAt);
  aLink.mPool->SetExpectedResponseTime(ExpectedResponseTime(*row));
  const auto number =
    FindInstance(aState.mGroups.Group(aGroup), aLink.mInstance.mName);
  aState.mGroups.RecordProgress(
    aGroup, *number, TermOfAnswer(aResponse), LogOfAnswer(aResponse), aSentAt);
}

connection_state
StateAfter(const http_response& aResponse)
{
  return GetHeader(aResponse, header::kConnectionState) == "clean"
           ? connection_state::Clean
           : connection_state::Dirty;
}

upstream_outcome
OutcomeOfError(error_kind aKind)
{
  switch (aKind) {
    case error_kind::Overloaded:
      return upstream_outcome::QueueFull;
    case error_kind::DeadlineExceeded:
      return upstream_outcome::NoConnection;
    default:
      return upstream_outcome::NotSent;
  }
}

} // namespace

http_request
EncodeExecute(const caller_request& aRequest)
{
  http_request request =
    MakeRequest(http::verb::post, "/execute", aRequest.mBody);
  if (!aRequest.mIdempotencyKey.empty()) {
    SetHeader(request, header::kIdempotencyKey, aRequest.mIdempotencyKey);
  }
  return request;
}

upstream_answer
SendToUpstream(proxy_state& aState,
               const upstream_link& aLink,
               const caller_request& aRequest,
               http_request& aMessage)
{
  const group_row_number group = aRequest.mGroup;
  const caller_class_number callerClass = aRequest.mCallerClass;
  const time_point deadline =
    std::min(aRequest.mDeadline,
             aState.Now() + aState.mSettings.mTiming.mAttemptTimeout);
  upstream_answer answer;
  const std::shared_ptr<upstream_pool> pool = aLink.mPool;
  auto acquired = pool->Acquire(callerClass, deadline);
  if (!acquired) {
    answer.mOutcome = OutcomeOfError(acquired.error().mKind);
    answer.mDetail = acquired.error().mDetail;
    return answer;
  }
  std::unique_ptr<upstream_connection> connection = std::move(acquired.value());
  SetHeader(aMessage, header::kClient, connection->mName);
  answer.mConnectionName = connection->mName;
  answer.mSentAt = aState.Now();
  AdjustInFlight(aState, aLink, group, 1);
  exchange_result outcome = ExchangeWithInstance(
    connection->mHttp,
    aMessage,
    aState.NextRequestId(),
    std::max<nanoseconds>(deadline - answer.mSentAt, nanoseconds(1)));
  AdjustInFlight(aState, aLink, group, -1);
  if (outcome.IsOk()) {
    RecordAnswer(aState, aLink, group, outcome.mResponse, answer.mSentAt);
    pool->Release(
      std::move(connection), callerClass, StateAfter(outcome.mResponse));
    answer.mOutcome = upstream_outcome::Answered;
    answer.mResponse = std::move(outcome.mResponse);
    return answer;
  }
  answer.mDetail = outcome.mFailure;
  const bool maybeSent = outcome.mProgress == exchange_progress::MaybeSent;
  answer.mOutcome =
    maybeSent ? upstream_outcome::Uncertain : upstream_outcome::NotSent;
  pool->Release(std::move(connection),
                callerClass,
                maybeSent ? connection_state::Uncertain
                          : connection_state::Unused);
  // The instance may be down: request a report now instead of waiting for the
  // next probe.
  aLink.mControl->RequestFreshReport(aState.Now());
  return answer;
}

} // namespace catkinloom
