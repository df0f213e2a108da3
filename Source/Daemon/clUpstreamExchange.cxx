#include "clUpstreamExchange.h"

#include "clLog.h"
#include "clUpstreamMessages.h"

namespace catkinloom {

namespace {

/// The row of the link's instance; null when the manifest dropped it.
instance_row*
RowOf(proxy_state& aState, const upstream_link& aLink, group_row_number aGroup)
{
  group_row& group = aState.mGroups.Group(aGroup);
  const auto number = FindInstance(group, aLink.mInstance.mName);
  return number ? &group.mInstances[*number] : nullptr;
}

void
CountInFlight(proxy_state& aState,
              const upstream_link& aLink,
              group_row_number aGroup,
              int aChange)
{
  if (instance_row* row = RowOf(aState, aLink, aGroup)) {
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
  instance_row* row = RowOf(aState, aLink, aGroup);
  if (row == nullptr) {
    return;
  }
  SmoothAnswerTime(*row, aState.Now() - aSentAt);
  aLink.mPool->SetExpected(ExpectedAnswerTime(*row));
  const auto number =
    FindInstance(aState.mGroups.Group(aGroup), aLink.mInstance.mName);
  aState.mGroups.RecordProgress(
    aGroup, *number, TermOfAnswer(aResponse), LogOfAnswer(aResponse), aSentAt);
}

connection_state
StateAfter(const http_response& aResponse)
{
  return HeaderOf(aResponse, header::kConnectionState) == "clean"
           ? connection_state::Clean
           : connection_state::Dirty;
}

exchange_end
EndOfRefusal(error_kind aKind)
{
  switch (aKind) {
    case error_kind::Overloaded:
      return exchange_end::Refused;
    case error_kind::DeadlineExceeded:
      return exchange_end::NoConnection;
    default:
      return exchange_end::NotSent;
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
               upstream_link& aLink,
               group_row_number aGroup,
               caller_number aCaller,
               http_request& aRequest,
               time_point aDeadline)
{
  upstream_answer answer;
  const std::shared_ptr<upstream_pool> pool = aLink.mPool;
  auto acquired = pool->Acquire(aCaller, aDeadline);
  if (!acquired) {
    answer.mEnd = EndOfRefusal(acquired.error().mKind);
    answer.mDetail = acquired.error().mDetail;
    return answer;
  }
  std::unique_ptr<upstream_connection> connection = std::move(acquired.value());
  SetHeader(aRequest, header::kClient, connection->mName);
  answer.mConnection = connection->mName;
  answer.mSentAt = aState.Now();
  CountInFlight(aState, aLink, aGroup, 1);
  exchange_result outcome = connection->mHttp.Exchange(
    aRequest,
    std::max<nanoseconds>(aDeadline - answer.mSentAt, nanoseconds(1)));
  CountInFlight(aState, aLink, aGroup, -1);
  if (outcome.IsOk()) {
    RecordAnswer(aState, aLink, aGroup, outcome.mResponse, answer.mSentAt);
    pool->Release(
      std::move(connection), aCaller, StateAfter(outcome.mResponse));
    answer.mEnd = exchange_end::Answered;
    answer.mResponse = std::move(outcome.mResponse);
    return answer;
  }
  answer.mDetail = outcome.mFailure;
  const bool sent = outcome.mProgress == exchange_progress::MaybeSent;
  answer.mEnd = sent ? exchange_end::Uncertain : exchange_end::NotSent;
  pool->Release(std::move(connection),
                aCaller,
                sent ? connection_state::Uncertain : connection_state::Unused);
  // The instance may be gone: find out now rather than at the next probe.
  aLink.mControl->WantFresh(aState.Now());
  return answer;
}

} // namespace catkinloom
